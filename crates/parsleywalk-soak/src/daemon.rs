//! One daemon: its VM with disk and clock, and its process.

use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, LogIndex, RecoveredLog, ReplicaId, ReplicaSet};
use parsleywalk_control::LeaseSettings;
use parsleywalk_coordinator::{CallToken, CoordinatorSettings, DaemonCoordinator};
use parsleywalk_routing::{RequestRouter, RouterSettings, ServiceRoute};
use parsleywalk_scheduler::PolicySettings;
use parsleywalk_units::{DispatchId, Incarnation, MonotonicTime, RequestId, VmNumber};
use std::time::Duration;

use crate::clock::DriftingClock;
use crate::disk::ModelDisk;

/// The zone of each daemon: 3 + 2 + 2 over three zones, replicas first (2 + 2 + 1), then two observers.
pub(crate) const DAEMON_ZONES: [usize; 7] = [0, 0, 1, 1, 2, 0, 2];
/// The daemons with disks.
pub(crate) const REPLICAS: usize = 5;
/// The names of the zones.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// The lease of workers; 15 minutes in the product, seconds here so that leases end often.
pub(crate) const LEASE: Duration = Duration::from_secs(6);

/// Who waits for the result of a call.
#[derive(Debug)]
pub(crate) enum CallSink {
    Claim {
        request: RequestId,
    },
    Report {
        worker: usize,
        life: u64,
    },
    Operation {
        operation: usize,
    },
    Job {
        job: usize,
        cancel: bool,
    },
    /// Nobody.
    Dropped,
}

/// Who waits for the answer to a request.
#[derive(Debug)]
pub(crate) enum RequestSink {
    Caller { copy: usize },
    Peer { daemon: usize, call: DispatchId },
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    pub(crate) logical: usize,
    pub(crate) repeatable: bool,
    pub(crate) deadline: MonotonicTime,
    pub(crate) sink: RequestSink,
}

/// A daemon's process with all that it keeps in memory.
pub(crate) struct Process {
    pub(crate) coordinator: DaemonCoordinator,
    pub(crate) router: RequestRouter,
    pub(crate) routes: Vec<ServiceRoute>,
    pub(crate) requests: BTreeMap<RequestId, HeldRequest>,
    pub(crate) calls: BTreeMap<CallToken, CallSink>,
    pub(crate) forwards: BTreeMap<DispatchId, MonotonicTime>,
    pub(crate) dispatches: BTreeSet<DispatchId>,
    pub(crate) next_entry: usize,
    pub(crate) last_call: u64,
    pub(crate) last_request: u64,
    /// The highest index at which the oracle compared this process' state.
    pub(crate) compared: LogIndex,
}

/// One VM with a daemon.
pub(crate) struct Daemon {
    pub(crate) vm: VmNumber,
    pub(crate) zone: usize,
    pub(crate) id: ReplicaId,
    pub(crate) disk: ModelDisk,
    pub(crate) clock: DriftingClock,
    pub(crate) process: Option<Process>,
    pub(crate) life: u64,
    pub(crate) started: u64,
    pub(crate) frozen_until: u64,
    pub(crate) next_wake: u64,
    pub(crate) last_sync: u64,
}

impl Daemon {
    pub(crate) fn is_replica(place: usize) -> bool {
        place < REPLICAS
    }

    /// The VMs with disks, at first.
    fn contact_points() -> Vec<VmNumber> {
        (0..REPLICAS).map(vm_number).collect()
    }

    /// A replica's first disk holds the membership of all five.
    pub(crate) fn new(place: usize, clock: DriftingClock) -> Self {
        let id = |place: usize| ReplicaId::new(vm_number(place), Incarnation::new(place as u64 + 1));
        let founders = ReplicaSet::new((0..REPLICAS).map(id).collect());
        let recovered =
            if Self::is_replica(place) { RecoveredLog::bootstrapped(founders) } else { RecoveredLog::default() };
        Self {
            vm: vm_number(place),
            zone: DAEMON_ZONES[place],
            id: id(place),
            disk: ModelDisk::new(recovered),
            clock,
            process: None,
            life: 0,
            started: 0,
            frozen_until: 0,
            next_wake: u64::MAX,
            last_sync: 0,
        }
    }

    /// Starts the process from the disk. `number` tells this process from all others.
    pub(crate) fn start(&mut self, now: u64, place: usize, clock: DriftingClock, number: u64) {
        let contact_points = Self::contact_points();
        let settings = ConsensusSettings {
            contact_points: contact_points.clone(),
            snapshot_entries: 400,
            retained_entries: 60,
            snapshot_chunk_bytes: 16 * 1024,
            ..ConsensusSettings::default()
        };
        self.clock = clock;
        (self.life, self.started, self.frozen_until) = (self.life + 1, now, 0);
        (self.next_wake, self.last_sync) = (u64::MAX, now);
        let local = clock.read(now);
        let node = if Self::is_replica(place) {
            ConsensusNode::open(settings, self.id, self.disk.recover(), number, local).expect("the disk is sound")
        } else {
            self.id = ReplicaId::new(self.vm, Incarnation::new(number));
            ConsensusNode::observer(settings, self.id, contact_points, number, local)
        };
        let coordinator_settings = CoordinatorSettings {
            lease: LeaseSettings { lease: LEASE, ..LeaseSettings::default() },
            policy: PolicySettings {
                probe_backoff: Duration::from_secs(2),
                ramp: Duration::from_secs(5),
                guard_release_delay: Duration::from_secs(3),
                ..PolicySettings::default()
            },
        };
        let daemons = (0..DAEMON_ZONES.len()).map(vm_number);
        let in_zone = DAEMON_ZONES.iter().filter(|zone| **zone == self.zone).count();
        let router_settings = RouterSettings {
            zone_entries: u32::try_from(in_zone).unwrap_or(1),
            other_zones: 2,
            dispatch_limit: 64,
            ..RouterSettings::default()
        };
        self.process = Some(Process {
            coordinator: DaemonCoordinator::with_settings(node, daemons, number, coordinator_settings),
            router: RequestRouter::new(router_settings, number),
            routes: Vec::new(),
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            forwards: BTreeMap::new(),
            dispatches: BTreeSet::new(),
            next_entry: 0,
            last_call: 0,
            last_request: 0,
            compared: LogIndex::ZERO,
        });
    }
}

pub(crate) fn vm_number(place: usize) -> VmNumber {
    VmNumber::new(u32::try_from(place + 1).unwrap_or(u32::MAX))
}

pub(crate) fn place_of(vm: VmNumber) -> usize {
    vm.get() as usize - 1
}
