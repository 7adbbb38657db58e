//! An in-process run of replicas with simulated time, network and disks, checked by an oracle.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod chaos;
pub mod disk;
pub mod oracle;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusNode, ConsensusSettings, LogIndex, MembershipChange,
    ProposalId, RecoveredLog, ReplicaId, ReplicaRole, ReplicaSet, WriteTicket,
};
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use disk::Disk;
use oracle::{Oracle, Replay};

/// What is to happen to a VM at a time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Deliver { from: ReplicaId, to: ReplicaId, parcel: usize },
    Synced { life: u64, ticket: WriteTicket },
    Wake { life: u64 },
    Snapshot { life: u64, index: LogIndex, payload: Vec<u8> },
}

/// One VM.
pub struct Machine {
    pub id: ReplicaId,
    pub node: Option<ConsensusNode>,
    pub disk: Disk,
    pub observer: bool,
    pub frozen_until: u64,
    pub replay: Replay,
    life: u64,
    /// The clock runs at this many millionths of real time, from an arbitrary start.
    rate: u64,
    started: u64,
    last_sync: u64,
    next_wake: u64,
}

/// How a run differs from the default.
#[derive(Debug, Clone)]
pub struct Plan {
    pub voters: u32,
    pub spares: u32,
    pub observers: u32,
    pub settings: ConsensusSettings,
    /// Starts VMs with lost disks under their old incarnation, as if nobody drew a new one.
    pub keep_incarnation: bool,
    /// How far clocks are off, in thousandths, where it is not as far as the settings permit.
    pub clock_error: Option<u32>,
    /// Gives all voters empty folders that name them as founders, and starts nothing.
    pub found: bool,
}

impl Default for Plan {
    fn default() -> Self {
        let settings = ConsensusSettings {
            append_bytes: 200,
            append_window: 3,
            snapshot_chunk_bytes: 64,
            snapshot_entries: 40,
            retained_entries: 10,
            ..ConsensusSettings::default()
        };
        Self { voters: 3, spares: 0, observers: 1, settings, keep_incarnation: false, clock_error: None, found: false }
    }
}

/// A set of VMs, numbered from 1.
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub oracle: Oracle,
    pub now: u64,
    pub random: Pcg32,
    pub cuts: BTreeSet<(VmNumber, VmNumber)>,
    /// Lost and repeated messages, in thousandths.
    pub loss: u32,
    pub repeat: u32,
    /// The longest delay of a message and of a sync in microseconds.
    pub delay: u64,
    pub sync: u64,
    plan: Plan,
    queue: BinaryHeap<Reverse<(u64, u64, usize, Happening)>>,
    parcels: Vec<Option<ConsensusMessage>>,
    sequence: u64,
    incarnations: u64,
    proposals: u64,
}

impl Cluster {
    pub fn new(seed: u64, plan: Plan) -> Self {
        let total = plan.voters + plan.spares + plan.observers;
        let vms: Vec<VmNumber> = (1..=total).map(VmNumber::new).collect();
        let id = |vm: &VmNumber| ReplicaId::new(*vm, Incarnation::new(u64::from(vm.get())));
        let voters: Vec<ReplicaId> = vms.iter().take(plan.voters as usize).map(id).collect();
        let bootstrapped = RecoveredLog::bootstrapped(ReplicaSet::new(voters.clone()));
        let machine = |vm: &VmNumber| {
            let bootstrap_vms = voters.iter().map(|voter| voter.vm).collect();
            let recovered = match voters.contains(&id(vm)) {
                true if plan.found => RecoveredLog { bootstrap_vms, ..RecoveredLog::default() },
                true => bootstrapped.clone(),
                false => RecoveredLog::default(),
            };
            Machine {
                id: id(vm),
                node: None,
                disk: Disk::new(recovered),
                observer: vm.get() > plan.voters + plan.spares,
                frozen_until: 0,
                replay: Replay::default(),
                life: 0,
                rate: 1_000_000,
                started: 0,
                last_sync: 0,
                next_wake: 0,
            }
        };
        let mut cluster = Self {
            machines: vms.iter().map(machine).collect(),
            oracle: Oracle::default(),
            now: 0,
            random: Pcg32::seed_from_u64(seed),
            cuts: BTreeSet::new(),
            loss: 0,
            repeat: 0,
            delay: 3000,
            sync: 3000,
            plan,
            queue: BinaryHeap::new(),
            parcels: Vec::new(),
            sequence: 0,
            incarnations: 1000,
            proposals: 0,
        };
        if !cluster.plan.found {
            cluster.heal();
        }
        cluster
    }

    fn local_time(&self, position: usize) -> MonotonicTime {
        let machine = &self.machines[position];
        let passed = self.now - machine.started;
        MonotonicTime::from_micros(1_000_000 + passed * machine.rate / 1_000_000)
    }

    /// Starts the VM's process from its disk.
    pub fn start(&mut self, position: usize) {
        let drift = u64::from(self.plan.clock_error.unwrap_or(self.plan.settings.clock_drift)) * 1000;
        let rate = self.random.random_range(1_000_000 - drift..=1_000_000 + drift);
        let seed = self.random.random();
        let contact_points: Vec<VmNumber> =
            self.machines.iter().filter(|machine| !machine.observer).map(|machine| machine.id.vm).collect();
        let settings = ConsensusSettings { contact_points: contact_points.clone(), ..self.plan.settings.clone() };
        self.incarnations += 1;
        let now = self.now;
        let machine = &mut self.machines[position];
        machine.life += 1;
        machine.rate = rate;
        machine.started = now;
        machine.last_sync = now;
        machine.next_wake = u64::MAX;
        machine.frozen_until = 0;
        machine.replay = Replay::default();
        let start = MonotonicTime::from_micros(1_000_000);
        machine.node = Some(if machine.observer {
            machine.id = ReplicaId::new(machine.id.vm, Incarnation::new(self.incarnations));
            ConsensusNode::observer(settings, machine.id, contact_points, seed, start)
        } else {
            ConsensusNode::open(settings, machine.id, machine.disk.recover(), seed, start).expect("disk is sound")
        });
        self.step(position, ConsensusEvent::Tick);
    }

    /// Ends the VM's process; a part of the writes that were not synced may be on the disk.
    pub fn crash(&mut self, position: usize) {
        let kept = self.random.random_range(0..=self.machines[position].disk.unsynced());
        let machine = &mut self.machines[position];
        machine.node = None;
        machine.life += 1;
        machine.disk.crash(kept);
        self.oracle.forget(machine.id);
    }

    /// Ends the VM's process and empties its disk. The next start draws a new incarnation.
    pub fn lose_disk(&mut self, position: usize) {
        self.crash(position);
        self.oracle.counts.disks_lost += 1;
        self.incarnations += 1;
        let machine = &mut self.machines[position];
        machine.disk = Disk::new(RecoveredLog::default());
        if !self.plan.keep_incarnation {
            machine.id = ReplicaId::new(machine.id.vm, Incarnation::new(self.incarnations));
        }
    }

    pub fn freeze(&mut self, position: usize, millis: u64) {
        self.machines[position].frozen_until = self.now + millis * 1000;
    }

    pub fn isolate(&mut self, position: usize) {
        let vm = self.machines[position].id.vm;
        for other in self.machines.iter().map(|machine| machine.id.vm).filter(|other| *other != vm) {
            self.cuts.insert((vm, other));
            self.cuts.insert((other, vm));
        }
    }

    /// Ends every fault of the network and starts every stopped process.
    pub fn heal(&mut self) {
        self.cuts.clear();
        (self.loss, self.repeat, self.delay, self.sync) = (0, 0, 3000, 3000);
        for position in 0..self.machines.len() {
            self.machines[position].frozen_until = 0;
            if self.machines[position].node.is_none() {
                self.start(position);
            }
        }
    }

    /// Returns the newest leader that is ready.
    pub fn leader(&self) -> Option<usize> {
        let ready = |node: &ConsensusNode| node.is_ready().then(|| node.term());
        let leaders = self.machines.iter().enumerate();
        leaders.filter_map(|(at, machine)| Some((ready(machine.node.as_ref()?)?, at))).max().map(|(_, at)| at)
    }

    pub fn node(&self, position: usize) -> &ConsensusNode {
        self.machines[position].node.as_ref().expect("the process runs")
    }

    /// Proposes a new command at the VM, if its process runs.
    pub fn propose(&mut self, position: usize) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId::new(self.proposals);
        let payload = self.proposals.to_le_bytes().to_vec();
        self.step(position, ConsensusEvent::Propose { proposal, payload });
        proposal
    }

    pub fn change(&mut self, position: usize, change: MembershipChange) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId::new(self.proposals);
        self.step(position, ConsensusEvent::ChangeMembership { proposal, change });
        proposal
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("short");
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            self.run_next();
        }
        self.now = end;
    }

    /// Runs until the condition holds; panics after the time limit.
    pub fn run_until(&mut self, what: &str, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        let end = self.now + u64::try_from(limit.as_micros()).expect("short");
        while !condition(self) {
            assert!(self.now < end, "liveness: not within {limit:?}: {what}; {}", self.describe());
            self.run_next();
        }
        Duration::from_micros(self.now - start)
    }

    pub fn describe(&self) -> String {
        let describe = |machine: &Machine| match &machine.node {
            Some(node) => {
                let status = node.status();
                format!(
                    "{}:{}@{} last={} commit={} leader={:?} voters={:?}",
                    status.id,
                    status.role,
                    status.term,
                    status.last_index,
                    status.commit,
                    status.leader.map(|leader| leader.to_string()),
                    status.voters.iter().map(ToString::to_string).collect::<Vec<_>>()
                )
            }
            None => format!("{}:stopped", machine.id),
        };
        self.machines.iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    fn schedule(&mut self, at: u64, position: usize, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, position, happening)));
    }

    fn run_next(&mut self) {
        let Some(Reverse((at, _, position, happening))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let machine = &mut self.machines[position];
        let frozen_until = machine.frozen_until;
        if frozen_until > self.now {
            return self.schedule(frozen_until, position, happening);
        }
        match happening {
            Happening::Deliver { from, to, parcel } => {
                let known = machine.node.is_some() && (to.incarnation.get() == 0 || to == machine.id);
                if let Some(message) = self.parcels[parcel].take().filter(|_| known) {
                    self.step(position, ConsensusEvent::Receive { from, message });
                }
            }
            Happening::Synced { life, ticket } if life == machine.life => {
                machine.disk.sync(ticket);
                self.step(position, ConsensusEvent::Persisted { ticket });
            }
            Happening::Wake { life } if life == machine.life => {
                machine.next_wake = u64::MAX;
                self.step(position, ConsensusEvent::Tick);
            }
            Happening::Snapshot { life, index, payload } if life == machine.life => {
                self.step(position, ConsensusEvent::SnapshotTaken { index, payload });
            }
            Happening::Synced { .. } | Happening::Wake { .. } | Happening::Snapshot { .. } => {}
        }
    }

    fn step(&mut self, position: usize, event: ConsensusEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.local_time(position);
            let Some(node) = self.machines[position].node.as_mut() else { return };
            for action in node.step(now, event) {
                self.carry_out(position, action, &mut events);
            }
        }
        self.check_leases();
        self.schedule_wake(position);
    }

    fn schedule_wake(&mut self, position: usize) {
        let now = self.local_time(position);
        let machine = &self.machines[position];
        let Some(node) = &machine.node else { return };
        let wait = node.next_deadline().as_micros().saturating_sub(now.as_micros());
        let at = self.now + wait * 1_000_000 / machine.rate + 1;
        if at < machine.next_wake {
            let life = machine.life;
            self.machines[position].next_wake = at;
            self.schedule(at, position, Happening::Wake { life });
        }
    }

    fn carry_out(&mut self, position: usize, action: ConsensusAction, events: &mut Vec<ConsensusEvent>) {
        let id = self.machines[position].id;
        match action {
            ConsensusAction::Send { to, message } => self.transmit(id, to, &message),
            ConsensusAction::Persist { ticket, write } => {
                self.oracle.written(&write);
                let took = self.random.random_range(100..=self.sync);
                let machine = &mut self.machines[position];
                machine.disk.write(ticket, write);
                machine.last_sync = machine.last_sync.max(self.now) + took;
                let (at, life) = (machine.last_sync, machine.life);
                self.schedule(at, position, Happening::Synced { life, ticket });
            }
            ConsensusAction::Apply { entry } => {
                let disks = |voter: ReplicaId| {
                    self.machines.iter().find(|machine| machine.id == voter).map(|machine| machine.disk.last())
                };
                self.oracle.applied(id, &entry, disks);
                self.machines[position].replay.apply(id, &entry);
                self.oracle.check_replay(id, &self.machines[position].replay);
            }
            ConsensusAction::InstallSnapshot { index, payload } => {
                self.machines[position].replay = Replay::decode(&payload);
                assert_eq!(self.machines[position].replay.index, index.get(), "snapshot of {index} at {id}");
                self.oracle.check_replay(id, &self.machines[position].replay);
            }
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.machines[position].replay.encode();
                assert_eq!(self.machines[position].replay.index, index.get(), "snapshot asked at {id}");
                // Encoding takes time in a daemon, so other events come between.
                if self.random.random_ratio(1, 2) {
                    events.push(ConsensusEvent::SnapshotTaken { index, payload });
                } else {
                    let (life, at) = (self.machines[position].life, self.now + self.random.random_range(1..200_000));
                    self.schedule(at, position, Happening::Snapshot { life, index, payload });
                }
            }
            ConsensusAction::Accepted { proposal, index, term } => self.oracle.accepted(id, proposal, index, term),
            ConsensusAction::Refused { proposal, reason, .. } => self.oracle.refused(id, proposal, reason),
            ConsensusAction::RoleChanged { role, term, .. } => {
                if role == ReplicaRole::Leader {
                    self.oracle.elected(id, term);
                }
            }
        }
    }

    fn transmit(&mut self, from: ReplicaId, to: ReplicaId, message: &ConsensusMessage) {
        let Some(target) = self.machines.iter().position(|machine| machine.id.vm == to.vm) else { return };
        let lost = self.cuts.contains(&(from.vm, to.vm)) || self.random.random_ratio(self.loss, 1000);
        let copies = if lost { 0 } else { 1 + u32::from(self.random.random_ratio(self.repeat, 1000)) };
        for _ in 0..copies {
            self.parcels.push(Some(message.clone()));
            let parcel = self.parcels.len() - 1;
            let at = self.now + self.random.random_range(300..=self.delay);
            self.schedule(at, target, Happening::Deliver { from, to, parcel });
        }
    }

    fn check_leases(&self) {
        let holds = |(position, machine): (usize, &Machine)| {
            machine.node.as_ref().is_some_and(|node| node.has_leader_lease(self.local_time(position)))
        };
        let holders: Vec<ReplicaId> = (self.machines.iter().enumerate())
            .filter(|(position, machine)| holds((*position, *machine)))
            .map(|(_, machine)| machine.id)
            .collect();
        assert!(holders.len() <= 1, "lease: held by {holders:?} at once at {}us", self.now);
        let holder = self.machines.iter().find(|machine| holders.contains(&machine.id));
        if let Some(node) = holder.and_then(|machine| machine.node.as_ref()) {
            let (commit, known) = (node.commit().get(), self.oracle.last_committed());
            assert!(commit >= known, "lease: {} knows {commit} of {known} committed entries", node.id());
        }
    }
}
