//! A daemon: its VM with disk and clock, and its process.

use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, LogIndex, RecoveredLog, ReplicaId, ReplicaSet};
use parsleywalk_control::LeaseSettings;
use parsleywalk_coordinator::{CallToken, CoordinatorSettings, DaemonCoordinator};
use parsleywalk_routing::{RequestRouter, RouterSettings, ServiceRoute};
use parsleywalk_scheduler::PolicySettings;
use parsleywalk_units::{DispatchId, Incarnation, MonotonicTime, RequestId, VmNumber};
use std::time::Duration;

use crate::clock::DriftingClock;
use crate::disk::SimulatedDisk;

/// The zone of each daemon: three, two and two daemons per zone. The replicas come first (two, two and one per zone),
/// then the two observers.
pub(crate) const DAEMON_ZONES: [usize; 7] = [0, 0, 1, 1, 2, 0, 2];
/// The number of replicas, which are the daemons with disks.
pub(crate) const REPLICA_COUNT: usize = 5;
/// The names of the zones.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// The lease of workers. It is shorter than the 15 minutes of the product, so that leases expire often.
pub(crate) const WORKER_LEASE: Duration = Duration::from_secs(6);

/// The recipient of the result of a call to the leader.
#[derive(Debug)]
pub(crate) enum ReplySink {
    Claim {
        request: RequestId,
    },
    Report {
        worker: usize,
        generation: u64,
    },
    Operation {
        operation: usize,
    },
    Job {
        job: usize,
        cancel: bool,
    },
    /// The result is ignored.
    Ignored,
}

/// The recipient of the response to a request.
#[derive(Debug)]
pub(crate) enum ResponseSink {
    Caller { copy: usize },
    Peer { daemon: usize, call: DispatchId },
}

/// A request that an entry daemon has admitted and not responded to yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) logical: usize,
    pub(crate) repeatable: bool,
    pub(crate) deadline: MonotonicTime,
    pub(crate) sink: ResponseSink,
}

/// A daemon's process with its in-memory state.
pub(crate) struct Process {
    pub(crate) coordinator: DaemonCoordinator,
    pub(crate) router: RequestRouter,
    pub(crate) routes: Vec<ServiceRoute>,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) calls: BTreeMap<CallToken, ReplySink>,
    pub(crate) forwards: BTreeMap<DispatchId, MonotonicTime>,
    pub(crate) dispatches: BTreeSet<DispatchId>,
    pub(crate) next_entry: usize,
    pub(crate) last_call: u64,
    pub(crate) last_request: u64,
    /// The last applied index for which the oracle checked this process's state.
    pub(crate) last_compared: LogIndex,
}

/// A VM with a daemon, whose process may be down.
pub(crate) struct Daemon {
    pub(crate) vm: VmNumber,
    pub(crate) zone: usize,
    pub(crate) id: ReplicaId,
    pub(crate) disk: SimulatedDisk,
    pub(crate) clock: DriftingClock,
    pub(crate) process: Option<Process>,
    pub(crate) generation: u64,
    pub(crate) started: u64,
    pub(crate) frozen_until: u64,
    pub(crate) next_wake: u64,
    pub(crate) last_sync: u64,
}

impl Daemon {
    pub(crate) fn is_replica(index: usize) -> bool {
        index < REPLICA_COUNT
    }

    /// Returns the VMs of the replicas, to which a joining daemon announces itself.
    fn contact_points() -> Vec<VmNumber> {
        (0..REPLICA_COUNT).map(vm_number).collect()
    }

    /// Creates a daemon without a process. A replica's initial disk contains the membership of all five replicas.
    pub(crate) fn new(index: usize, clock: DriftingClock) -> Self {
        let id = |index: usize| ReplicaId::new(vm_number(index), Incarnation::new(index as u64 + 1));
        let bootstrap_members = ReplicaSet::new((0..REPLICA_COUNT).map(id).collect());
        let recovered = if Self::is_replica(index) {
            RecoveredLog::bootstrapped(bootstrap_members)
        } else {
            RecoveredLog::default()
        };
        Self {
            vm: vm_number(index),
            zone: DAEMON_ZONES[index],
            id: id(index),
            disk: SimulatedDisk::new(recovered),
            clock,
            process: None,
            generation: 0,
            started: 0,
            frozen_until: 0,
            next_wake: u64::MAX,
            last_sync: 0,
        }
    }

    /// Starts the process from its disk. `number` is unique to this process.
    pub(crate) fn start(&mut self, now: u64, index: usize, clock: DriftingClock, number: u64) {
        let contact_points = Self::contact_points();
        let settings = ConsensusSettings {
            contact_points: contact_points.clone(),
            snapshot_entries: 400,
            retained_entries: 60,
            snapshot_chunk_bytes: 16 * 1024,
            ..ConsensusSettings::default()
        };
        self.clock = clock;
        (self.generation, self.started, self.frozen_until) = (self.generation + 1, now, 0);
        (self.next_wake, self.last_sync) = (u64::MAX, now);
        let local = clock.read(now);
        let node = if Self::is_replica(index) {
            ConsensusNode::open(settings, self.id, self.disk.recover(), number, local)
                .expect("the disk contents are valid")
        } else {
            self.id = ReplicaId::new(self.vm, Incarnation::new(number));
            ConsensusNode::observer(settings, self.id, contact_points, number, local)
        };
        let coordinator_settings = CoordinatorSettings {
            lease: LeaseSettings { lease: WORKER_LEASE, ..LeaseSettings::default() },
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
            last_compared: LogIndex::ZERO,
        });
    }
}

pub(crate) fn vm_number(index: usize) -> VmNumber {
    VmNumber::new(u32::try_from(index + 1).unwrap_or(u32::MAX))
}

pub(crate) fn daemon_index(vm: VmNumber) -> usize {
    vm.get() as usize - 1
}
