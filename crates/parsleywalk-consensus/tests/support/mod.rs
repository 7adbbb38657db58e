//! A deterministic simulation of a cluster with simulated time, network and disks, checked by an oracle.

#![allow(dead_code, unreachable_pub, reason = "no test file uses all items")]

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

use disk::SimulatedDisk;
use oracle::{DigestState, Oracle};

/// A scheduled event of one VM. Events of an earlier epoch are dropped.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Deliver { from: ReplicaId, to: ReplicaId, message_index: usize },
    Synced { epoch: u64, ticket: WriteTicket },
    Tick { epoch: u64 },
    Snapshot { epoch: u64, index: LogIndex, payload: Vec<u8> },
}

/// A simulated VM with its process, disk and clock.
pub struct Machine {
    pub id: ReplicaId,
    pub node: Option<ConsensusNode>,
    pub disk: SimulatedDisk,
    pub observer: bool,
    pub suspended_until: u64,
    pub state: DigestState,
    /// Incremented whenever the process starts or stops.
    epoch: u64,
    /// The rate of the VM's clock in millionths of simulated time.
    rate: u64,
    started: u64,
    last_sync: u64,
    next_tick: u64,
}

/// The size and the settings of a simulated cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    pub voters: u32,
    pub spares: u32,
    pub observers: u32,
    pub settings: ConsensusSettings,
    /// Keeps the incarnation of a VM that lost its disk, to show that a new one is needed.
    pub keep_incarnation: bool,
    /// The largest drift of the clocks in thousandths, or `None` for the drift that the settings permit.
    pub actual_drift: Option<u32>,
    /// Gives all voters empty logs that name them as bootstrap VMs, and starts no process.
    pub bootstrap: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        let settings = ConsensusSettings {
            append_bytes: 200,
            append_window: 3,
            snapshot_chunk_bytes: 64,
            snapshot_entries: 40,
            retained_entries: 10,
            ..ConsensusSettings::default()
        };
        Self {
            voters: 3,
            spares: 0,
            observers: 1,
            settings,
            keep_incarnation: false,
            actual_drift: None,
            bootstrap: false,
        }
    }
}

/// A simulated cluster. Its VMs are numbered from 1.
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub oracle: Oracle,
    pub now: u64,
    pub random: Pcg32,
    /// The sender and the receiver of each interrupted link.
    pub cut_links: BTreeSet<(VmNumber, VmNumber)>,
    /// The share of messages that are lost.
    pub loss_permille: u32,
    /// The share of messages that are duplicated.
    pub duplicate_permille: u32,
    /// The longest delay of a message in microseconds.
    pub max_delay_us: u64,
    /// The longest duration of a sync in microseconds.
    pub max_sync_us: u64,
    options: ClusterOptions,
    queue: BinaryHeap<Reverse<(u64, u64, usize, SimulatedEvent)>>,
    messages: Vec<Option<ConsensusMessage>>,
    sequence: u64,
    incarnations: u64,
    proposals: u64,
}

impl Cluster {
    pub fn new(seed: u64, options: ClusterOptions) -> Self {
        let total = options.voters + options.spares + options.observers;
        let vms: Vec<VmNumber> = (1..=total).map(VmNumber::new).collect();
        let id = |vm: &VmNumber| ReplicaId::new(*vm, Incarnation::new(u64::from(vm.get())));
        let voters: Vec<ReplicaId> = vms.iter().take(options.voters as usize).map(id).collect();
        let bootstrapped = RecoveredLog::bootstrapped(ReplicaSet::new(voters.clone()));
        let machine = |vm: &VmNumber| {
            let bootstrap_vms = voters.iter().map(|voter| voter.vm).collect();
            let recovered = match voters.contains(&id(vm)) {
                true if options.bootstrap => RecoveredLog { bootstrap_vms, ..RecoveredLog::default() },
                true => bootstrapped.clone(),
                false => RecoveredLog::default(),
            };
            Machine {
                id: id(vm),
                node: None,
                disk: SimulatedDisk::new(recovered),
                observer: vm.get() > options.voters + options.spares,
                suspended_until: 0,
                state: DigestState::default(),
                epoch: 0,
                rate: 1_000_000,
                started: 0,
                last_sync: 0,
                next_tick: 0,
            }
        };
        let mut cluster = Self {
            machines: vms.iter().map(machine).collect(),
            oracle: Oracle::default(),
            now: 0,
            random: Pcg32::seed_from_u64(seed),
            cut_links: BTreeSet::new(),
            loss_permille: 0,
            duplicate_permille: 0,
            max_delay_us: 3000,
            max_sync_us: 3000,
            options,
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            sequence: 0,
            incarnations: 1000,
            proposals: 0,
        };
        if !cluster.options.bootstrap {
            cluster.heal();
        }
        cluster
    }

    fn local_time(&self, machine_index: usize) -> MonotonicTime {
        let machine = &self.machines[machine_index];
        let elapsed = self.now - machine.started;
        MonotonicTime::from_micros(1_000_000 + elapsed * machine.rate / 1_000_000)
    }

    /// Starts the VM's process from the durable state on its disk.
    pub fn start(&mut self, machine_index: usize) {
        let drift = u64::from(self.options.actual_drift.unwrap_or(self.options.settings.clock_drift)) * 1000;
        let rate = self.random.random_range(1_000_000 - drift..=1_000_000 + drift);
        let seed = self.random.random();
        let contact_points: Vec<VmNumber> =
            self.machines.iter().filter(|machine| !machine.observer).map(|machine| machine.id.vm).collect();
        let settings = ConsensusSettings { contact_points: contact_points.clone(), ..self.options.settings.clone() };
        self.incarnations += 1;
        let now = self.now;
        let machine = &mut self.machines[machine_index];
        machine.epoch += 1;
        machine.rate = rate;
        machine.started = now;
        machine.last_sync = now;
        machine.next_tick = u64::MAX;
        machine.suspended_until = 0;
        machine.state = DigestState::default();
        let start = MonotonicTime::from_micros(1_000_000);
        machine.node = Some(if machine.observer {
            machine.id = ReplicaId::new(machine.id.vm, Incarnation::new(self.incarnations));
            ConsensusNode::observer(settings, machine.id, contact_points, seed, start)
        } else {
            ConsensusNode::open(settings, machine.id, machine.disk.recover(), seed, start).expect("disk is intact")
        });
        self.step(machine_index, ConsensusEvent::Tick);
    }

    /// Kills the VM's process. A random prefix of the unsynced writes remains on the disk.
    pub fn crash(&mut self, machine_index: usize) {
        let kept = self.random.random_range(0..=self.machines[machine_index].disk.unsynced());
        let machine = &mut self.machines[machine_index];
        machine.node = None;
        machine.epoch += 1;
        machine.disk.crash(kept);
        self.oracle.drop_proposals(machine.id);
    }

    /// Kills the VM's process and empties its disk. The VM gets a new incarnation unless `keep_incarnation` is set.
    pub fn lose_disk(&mut self, machine_index: usize) {
        self.crash(machine_index);
        self.oracle.counts.disks_lost += 1;
        self.incarnations += 1;
        let machine = &mut self.machines[machine_index];
        machine.disk = SimulatedDisk::new(RecoveredLog::default());
        if !self.options.keep_incarnation {
            machine.id = ReplicaId::new(machine.id.vm, Incarnation::new(self.incarnations));
        }
    }

    pub fn suspend(&mut self, machine_index: usize, millis: u64) {
        self.machines[machine_index].suspended_until = self.now + millis * 1000;
    }

    pub fn isolate(&mut self, machine_index: usize) {
        let vm = self.machines[machine_index].id.vm;
        for other in self.machines.iter().map(|machine| machine.id.vm).filter(|other| *other != vm) {
            self.cut_links.insert((vm, other));
            self.cut_links.insert((other, vm));
        }
    }

    /// Ends all network, disk and suspension faults and starts all stopped processes.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        (self.loss_permille, self.duplicate_permille, self.max_delay_us, self.max_sync_us) = (0, 0, 3000, 3000);
        for machine_index in 0..self.machines.len() {
            self.machines[machine_index].suspended_until = 0;
            if self.machines[machine_index].node.is_none() {
                self.start(machine_index);
            }
        }
    }

    /// Returns the ready leader with the newest term.
    pub fn leader(&self) -> Option<usize> {
        let ready = |node: &ConsensusNode| node.is_ready().then(|| node.term());
        let leaders = self.machines.iter().enumerate();
        leaders.filter_map(|(at, machine)| Some((ready(machine.node.as_ref()?)?, at))).max().map(|(_, at)| at)
    }

    pub fn node(&self, machine_index: usize) -> &ConsensusNode {
        self.machines[machine_index].node.as_ref().expect("the process runs")
    }

    /// Proposes a new command at the VM if its process runs.
    pub fn propose(&mut self, machine_index: usize) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId::new(self.proposals);
        let payload = self.proposals.to_le_bytes().to_vec();
        self.step(machine_index, ConsensusEvent::Propose { proposal, payload });
        proposal
    }

    pub fn propose_change(&mut self, machine_index: usize, change: MembershipChange) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId::new(self.proposals);
        self.step(machine_index, ConsensusEvent::ChangeMembership { proposal, change });
        proposal
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + u64::try_from(duration.as_micros()).expect("short");
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            self.run_next();
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns the simulated time that this took. Panics after the timeout.
    pub fn run_until(&mut self, what: &str, timeout: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        let end = self.now + u64::try_from(timeout.as_micros()).expect("short");
        while !condition(self) {
            assert!(self.now < end, "liveness: not within {timeout:?}: {what}; {}", self.describe());
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

    fn schedule(&mut self, at: u64, machine_index: usize, event: SimulatedEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, machine_index, event)));
    }

    fn run_next(&mut self) {
        let Some(Reverse((at, _, machine_index, event))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let machine = &mut self.machines[machine_index];
        let suspended_until = machine.suspended_until;
        if suspended_until > self.now {
            return self.schedule(suspended_until, machine_index, event);
        }
        match event {
            SimulatedEvent::Deliver { from, to, message_index } => {
                let addressed = machine.node.is_some() && (to.incarnation.get() == 0 || to == machine.id);
                if let Some(message) = self.messages[message_index].take().filter(|_| addressed) {
                    self.step(machine_index, ConsensusEvent::Receive { from, message });
                }
            }
            SimulatedEvent::Synced { epoch, ticket } if epoch == machine.epoch => {
                machine.disk.sync(ticket);
                self.step(machine_index, ConsensusEvent::Persisted { ticket });
            }
            SimulatedEvent::Tick { epoch } if epoch == machine.epoch => {
                machine.next_tick = u64::MAX;
                self.step(machine_index, ConsensusEvent::Tick);
            }
            SimulatedEvent::Snapshot { epoch, index, payload } if epoch == machine.epoch => {
                self.step(machine_index, ConsensusEvent::SnapshotTaken { index, payload });
            }
            SimulatedEvent::Synced { .. } | SimulatedEvent::Tick { .. } | SimulatedEvent::Snapshot { .. } => {}
        }
    }

    fn step(&mut self, machine_index: usize, event: ConsensusEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.local_time(machine_index);
            let Some(node) = self.machines[machine_index].node.as_mut() else { return };
            for action in node.step(now, event) {
                self.execute(machine_index, action, &mut events);
            }
        }
        self.check_leases();
        self.schedule_tick(machine_index);
    }

    fn schedule_tick(&mut self, machine_index: usize) {
        let now = self.local_time(machine_index);
        let machine = &self.machines[machine_index];
        let Some(node) = &machine.node else { return };
        let wait = node.next_deadline().as_micros().saturating_sub(now.as_micros());
        let at = self.now + wait * 1_000_000 / machine.rate + 1;
        if at < machine.next_tick {
            let epoch = machine.epoch;
            self.machines[machine_index].next_tick = at;
            self.schedule(at, machine_index, SimulatedEvent::Tick { epoch });
        }
    }

    fn execute(&mut self, machine_index: usize, action: ConsensusAction, events: &mut Vec<ConsensusEvent>) {
        let id = self.machines[machine_index].id;
        match action {
            ConsensusAction::Send { to, message } => self.transmit(id, to, &message),
            ConsensusAction::Persist { ticket, write } => {
                self.oracle.on_write(&write);
                let sync_us = self.random.random_range(100..=self.max_sync_us);
                let machine = &mut self.machines[machine_index];
                machine.disk.write(ticket, write);
                machine.last_sync = machine.last_sync.max(self.now) + sync_us;
                let (at, epoch) = (machine.last_sync, machine.epoch);
                self.schedule(at, machine_index, SimulatedEvent::Synced { epoch, ticket });
            }
            ConsensusAction::Apply { entry } => {
                let disks = |voter: ReplicaId| {
                    self.machines.iter().find(|machine| machine.id == voter).map(|machine| machine.disk.last_index())
                };
                self.oracle.on_applied(id, &entry, disks);
                self.machines[machine_index].state.apply(id, &entry);
                self.oracle.check_state(id, &self.machines[machine_index].state);
            }
            ConsensusAction::InstallSnapshot { index, payload } => {
                self.machines[machine_index].state = DigestState::decode(&payload);
                assert_eq!(self.machines[machine_index].state.index, index.get(), "snapshot of {index} at {id}");
                self.oracle.check_state(id, &self.machines[machine_index].state);
            }
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.machines[machine_index].state.encode();
                assert_eq!(self.machines[machine_index].state.index, index.get(), "snapshot requested at {id}");
                // Encoding takes time in a daemon, so other events may be handled before the snapshot arrives.
                if self.random.random_ratio(1, 2) {
                    events.push(ConsensusEvent::SnapshotTaken { index, payload });
                } else {
                    let (epoch, at) =
                        (self.machines[machine_index].epoch, self.now + self.random.random_range(1..200_000));
                    self.schedule(at, machine_index, SimulatedEvent::Snapshot { epoch, index, payload });
                }
            }
            ConsensusAction::Accepted { proposal, index, term } => self.oracle.on_accepted(id, proposal, index, term),
            ConsensusAction::Refused { proposal, reason, .. } => self.oracle.on_refused(id, proposal, reason),
            ConsensusAction::RoleChanged { role, term, .. } => {
                if role == ReplicaRole::Leader {
                    self.oracle.on_elected(id, term);
                }
            }
        }
    }

    fn transmit(&mut self, from: ReplicaId, to: ReplicaId, message: &ConsensusMessage) {
        let Some(target) = self.machines.iter().position(|machine| machine.id.vm == to.vm) else { return };
        let lost = self.cut_links.contains(&(from.vm, to.vm)) || self.random.random_ratio(self.loss_permille, 1000);
        let copies = if lost { 0 } else { 1 + u32::from(self.random.random_ratio(self.duplicate_permille, 1000)) };
        for _ in 0..copies {
            self.messages.push(Some(message.clone()));
            let message_index = self.messages.len() - 1;
            let at = self.now + self.random.random_range(300..=self.max_delay_us);
            self.schedule(at, target, SimulatedEvent::Deliver { from, to, message_index });
        }
    }

    fn check_leases(&self) {
        let holds = |(machine_index, machine): (usize, &Machine)| {
            machine.node.as_ref().is_some_and(|node| node.has_leader_lease(self.local_time(machine_index)))
        };
        let holders: Vec<ReplicaId> = (self.machines.iter().enumerate())
            .filter(|(machine_index, machine)| holds((*machine_index, *machine)))
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
