//! The coordinator, which turns events into actions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_api::{ReplicaChange, WorkerReport};
use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusNode, EntryPayload, LogEntry, LogIndex, MembershipChange, ProposalId,
    ProposalRefusal, ReplicaId, ReplicaRole,
};
use parsleywalk_control::{Applied, ControlCommand, ControlState, StateChange};
use parsleywalk_units::{MonotonicTime, StateTime, VmNumber};

use crate::call_table::{CallTable, FinishedCall, ReplyTo};
use crate::leader_state::{LeaderState, MAX_OPEN_PROPOSALS, PendingOperation};
use crate::progress::ProgressTable;
use crate::proposals::{ProposalKind, ProposalTable};
use crate::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, CoordinatorRecord, CoordinatorSettings,
    LeaderCall, LeaderReply, report, view,
};

/// The interval at which this daemon reports its progress to the leader.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The control plane of one daemon: replicated log, control state and calls and, while its replica is the leader, the
/// scheduling policy and the worker leases.
pub struct DaemonCoordinator {
    pub(crate) node: ConsensusNode,
    pub(crate) state: ControlState,
    pub(crate) applied: LogIndex,
    pub(crate) calls: CallTable,
    pub(crate) proposals: ProposalTable,
    pub(crate) leader_state: Option<LeaderState>,
    progress: ProgressTable,
    next_progress: MonotonicTime,
    settings: CoordinatorSettings,
    seed: u64,
    /// Added to the call tokens in messages, so that a late reply to an earlier process on this VM is not taken as the
    /// reply to a call of this one.
    call_offset: u64,
    /// The actions of the step in progress.
    actions: Vec<CoordinatorAction>,
}

impl DaemonCoordinator {
    /// Creates a coordinator with an opened log and default settings.
    ///
    /// `daemons` are the VMs of all daemons. `seed` drives the policy's randomness and distinguishes the calls of this
    /// process from those of earlier ones, so each start needs a different one.
    #[must_use]
    pub fn new(node: ConsensusNode, daemons: impl Iterator<Item = VmNumber>, seed: u64) -> Self {
        Self::with_settings(node, daemons, seed, CoordinatorSettings::default())
    }

    /// Creates a coordinator as [`DaemonCoordinator::new`] does, with the given settings.
    #[must_use]
    pub fn with_settings(
        node: ConsensusNode,
        daemons: impl Iterator<Item = VmNumber>,
        seed: u64,
        settings: CoordinatorSettings,
    ) -> Self {
        let own = node.id().vm;
        Self {
            progress: ProgressTable::new(daemons.filter(|vm| *vm != own)),
            node,
            state: ControlState::new(),
            applied: LogIndex::ZERO,
            calls: CallTable::default(),
            proposals: ProposalTable::default(),
            leader_state: None,
            next_progress: MonotonicTime::ZERO,
            settings,
            seed,
            call_offset: mix_seed(seed),
            actions: Vec::new(),
        }
    }
}

/// Commands.
impl DaemonCoordinator {
    /// Handles an event and returns the actions to execute. `at` is the state time of the commands that it causes.
    pub fn step(&mut self, now: MonotonicTime, at: StateTime, event: CoordinatorEvent) -> Vec<CoordinatorAction> {
        match event {
            CoordinatorEvent::Call { call, body, timeout } => {
                let refused = self.calls.add(now, call, body, timeout);
                self.finish(refused);
                self.try_calls(now, at);
            }
            CoordinatorEvent::Receive { from, message } => self.receive(now, at, from, message),
            CoordinatorEvent::Persisted { ticket } => self.step_log(now, ConsensusEvent::Persisted { ticket }),
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles everything that is due at `now` and returns the actions to execute.
    ///
    /// Must be called at [`DaemonCoordinator::next_deadline`] or earlier.
    pub fn tick(&mut self, now: MonotonicTime, at: StateTime) -> Vec<CoordinatorAction> {
        if self.node.next_deadline() <= now {
            self.step_log(now, ConsensusEvent::Tick);
        }
        let expired = self.calls.expire(now);
        self.finish(expired);
        self.try_calls(now, at);
        self.finish_operations(now);
        self.decide(now, at);
        if self.next_progress <= now {
            self.next_progress = now + PROGRESS_REPORT_INTERVAL;
            self.report_progress();
        }
        std::mem::take(&mut self.actions)
    }

    fn receive(&mut self, now: MonotonicTime, at: StateTime, vm: VmNumber, message: CoordinatorMessage) {
        match message {
            CoordinatorMessage::Log { from, to, message } => {
                let own = self.node.id();
                // A message to an earlier incarnation of this VM must not reach the current one.
                if from.vm == vm && (to == own || to == ReplicaId::any(own.vm)) {
                    self.step_log(now, ConsensusEvent::Receive { from, message });
                }
            }
            CoordinatorMessage::Call { call, body } => self.serve_call(now, at, ReplyTo::Peer(vm, call), body),
            CoordinatorMessage::Reply { call, body } => {
                let call = CallToken::new(call.get().wrapping_sub(self.call_offset));
                let finished = self.calls.complete(now, call, body);
                self.finish(finished);
            }
            CoordinatorMessage::Progress { applied } => {
                self.progress.record(now, vm, applied);
                self.finish_operations(now);
            }
        }
    }

    fn finish(&mut self, finished: impl IntoIterator<Item = FinishedCall>) {
        let actions =
            finished.into_iter().map(|done| CoordinatorAction::Finish { call: done.call, result: done.result });
        self.actions.extend(actions);
    }

    fn record(&mut self, record: CoordinatorRecord) {
        self.actions.push(CoordinatorAction::Record(record));
    }

    fn send(&mut self, to: VmNumber, message: CoordinatorMessage) {
        self.actions.push(CoordinatorAction::Send { to, message });
    }
}

/// The replicated log and the control state.
impl DaemonCoordinator {
    /// Steps the consensus node and executes the actions that it returns.
    fn step_log(&mut self, now: MonotonicTime, event: ConsensusEvent) {
        let mut actions: VecDeque<ConsensusAction> = self.node.step(now, event).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.execute(now, action));
        }
    }

    fn execute(&mut self, now: MonotonicTime, action: ConsensusAction) -> Vec<ConsensusAction> {
        match action {
            ConsensusAction::Send { to, message } => {
                let from = self.node.id();
                self.send(to.vm, CoordinatorMessage::Log { from, to, message });
            }
            ConsensusAction::Persist { ticket, write } => {
                self.actions.push(CoordinatorAction::Persist { ticket, write });
            }
            ConsensusAction::Apply { entry } => self.apply(now, &entry),
            ConsensusAction::InstallSnapshot { index, payload } => self.install(index, &payload),
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.state.encode();
                self.record(CoordinatorRecord::SnapshotTaken { index, bytes: payload.len() });
                return self.node.step(now, ConsensusEvent::SnapshotTaken { index, payload });
            }
            ConsensusAction::Accepted { proposal, index, term } => self.proposals.record_index(proposal, index, term),
            ConsensusAction::Refused { proposal, reason, .. } => self.refuse(now, proposal, reason),
            ConsensusAction::RoleChanged { role, term, leader } => {
                self.record(CoordinatorRecord::RoleChanged { role, term, leader });
                self.change_role(now, role);
            }
        }
        Vec::new()
    }

    fn change_role(&mut self, now: MonotonicTime, role: ReplicaRole) {
        let term = self.node.term();
        if role != ReplicaRole::Leader {
            self.leader_state = None;
        } else if self.leader_state.as_ref().is_none_or(|leader_state| leader_state.term != term) {
            self.leader_state = Some(LeaderState::new(&self.settings, term, self.seed ^ term.get()));
        }
        self.calls.retry_all(now);
    }

    fn apply(&mut self, now: MonotonicTime, entry: &LogEntry) {
        let applied = match &entry.payload {
            EntryPayload::Command(payload) => match ControlCommand::decode(payload) {
                Ok(command) => Some(self.state.apply(&command)),
                Err(cause) => {
                    let reason = format!("command at index {}: {cause}", entry.index);
                    self.actions.push(CoordinatorAction::Fail { reason });
                    return;
                }
            },
            EntryPayload::Empty | EntryPayload::Membership(_) => None,
        };
        self.applied = entry.index;
        if let Some(applied) = &applied {
            self.record(CoordinatorRecord::CommandApplied { refused: applied.reply.refusal().is_some() });
            self.observe_changes(now, &applied.changes);
        }
        self.complete_proposal(now, entry, applied);
        if let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| !leader_state.ready && leader_state.term == entry.term)
        {
            leader_state.begin_term(now, &self.state);
            self.progress.begin_term(now);
            self.calls.retry_all(now);
            self.record(CoordinatorRecord::LeaderReady { term: entry.term, index: entry.index });
        }
    }

    fn observe_changes(&mut self, now: MonotonicTime, changes: &[StateChange]) {
        let mut urgent = false;
        for change in changes {
            match change {
                StateChange::ConfigurationChanged { version } => {
                    self.record(CoordinatorRecord::ConfigurationInForce { version: *version });
                    self.actions.push(CoordinatorAction::Configure);
                    urgent = true;
                }
                StateChange::ZoneChanged { zone, in_service } => {
                    self.record(CoordinatorRecord::ZoneChanged { zone: zone.clone(), in_service: *in_service });
                    urgent = true;
                }
                StateChange::WorkerLost { worker, .. } => {
                    self.record(CoordinatorRecord::WorkerLost { worker: worker.clone() });
                }
                _ => {}
            }
            if let Some(leader_state) = self.leader_state.as_mut().filter(|leader_state| leader_state.ready) {
                leader_state.observe(now, &self.state, change);
            }
        }
        if urgent {
            self.report_progress();
        }
    }

    fn install(&mut self, index: LogIndex, payload: &[u8]) {
        match ControlState::decode(payload) {
            Ok(state) => self.state = state,
            Err(cause) => {
                let reason = format!("snapshot at index {index}: {cause}");
                self.actions.push(CoordinatorAction::Fail { reason });
                return;
            }
        }
        self.applied = index;
        self.record(CoordinatorRecord::SnapshotInstalled { index, revision: self.state.revision() });
        self.actions.push(CoordinatorAction::Configure);
        self.report_progress();
    }

    fn report_progress(&mut self) {
        let own = self.node.id().vm;
        if let Some(leader) = self.node.leader().filter(|leader| leader.vm != own) {
            self.send(leader.vm, CoordinatorMessage::Progress { applied: self.applied });
        }
    }
}

/// Proposals and their replies.
impl DaemonCoordinator {
    fn propose(&mut self, now: MonotonicTime, at: StateTime, mut command: ControlCommand, kind: ProposalKind) {
        command.set_at(at);
        let proposal = self.proposals.open(kind);
        self.step_log(now, ConsensusEvent::Propose { proposal, payload: command.encode() });
    }

    fn complete_proposal(&mut self, now: MonotonicTime, entry: &LogEntry, applied: Option<Applied>) {
        let Some(kind) = self.proposals.apply(entry.index, entry.term) else { return };
        match (kind, applied) {
            (ProposalKind::Command(reply_to), Some(applied)) => {
                self.reply(now, reply_to, LeaderReply::Applied(applied.reply));
            }
            (ProposalKind::Operation(reply_to), Some(applied)) => {
                let operation = PendingOperation::new(now, entry.index, reply_to, applied.reply);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.operations.push(operation);
                }
                self.finish_operations(now);
            }
            (ProposalKind::Membership(reply_to), None) => self.reply(now, reply_to, LeaderReply::Done),
            _ => {}
        }
    }

    fn refuse(&mut self, now: MonotonicTime, proposal: ProposalId, reason: ProposalRefusal) {
        let Some(kind) = self.proposals.refuse(proposal) else { return };
        let Some(reply_to) = kind.reply_to() else { return };
        let reply = match (kind, reason) {
            (_, reason) if reason.is_outcome_unknown() => LeaderReply::Lost,
            (ProposalKind::Membership(_), reason) if reason != ProposalRefusal::NotLeader => {
                LeaderReply::Refused(reason.to_string())
            }
            (_, ProposalRefusal::TooLarge) => LeaderReply::Refused(reason.to_string()),
            _ => LeaderReply::NotLeader,
        };
        self.reply(now, reply_to, reply);
    }

    /// Replies to the operators whose command is in force at every responsive daemon, or whose wait has timed out.
    fn finish_operations(&mut self, now: MonotonicTime) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let progress = &self.progress;
        let is_confirmed = |operation: &mut PendingOperation| {
            operation.deadline <= now || progress.confirmations(now, operation.index).pending == 0
        };
        let finished: Vec<PendingOperation> = leader_state.operations.extract_if(.., is_confirmed).collect();
        for operation in finished {
            let mut report = self.progress.confirmations(now, operation.index);
            report.confirmed.push(self.node.id().vm);
            report.confirmed.sort_unstable();
            let reply = LeaderReply::Operation {
                reply: operation.reply,
                in_force: report.confirmed,
                not_heard: report.unconfirmed,
            };
            self.reply(now, operation.reply_to, reply);
        }
    }

    fn reply(&mut self, now: MonotonicTime, reply_to: ReplyTo, body: LeaderReply) {
        match reply_to {
            ReplyTo::Local(call) => {
                let finished = self.calls.complete(now, call, body);
                self.finish(finished);
            }
            ReplyTo::Peer(vm, call) => self.send(vm, CoordinatorMessage::Reply { call, body }),
        }
    }
}

/// Calls to the leader.
impl DaemonCoordinator {
    /// Sends the due calls to the leader, or serves them if this daemon is the leader.
    fn try_calls(&mut self, now: MonotonicTime, at: StateTime) {
        if self.calls.next_deadline() > now {
            return;
        }
        let own = self.node.id().vm;
        let Some(leader) = self.node.leader().map(|leader| leader.vm) else {
            // Without a leader the calls are postponed; a change of the leader makes them due at once.
            self.calls.due(now);
            return;
        };
        for (call, body) in self.calls.due(now) {
            if leader != own {
                self.calls.mark_sent(call);
                let call = CallToken::new(call.get().wrapping_add(self.call_offset));
                self.send(leader, CoordinatorMessage::Call { call, body });
                continue;
            }
            if self.is_active_leader(now) {
                self.calls.mark_sent(call);
            }
            self.serve_call(now, at, ReplyTo::Local(call), body);
        }
    }

    fn serve_call(&mut self, now: MonotonicTime, at: StateTime, reply_to: ReplyTo, call: LeaderCall) {
        if !self.is_active_leader(now) {
            self.reply(now, reply_to, LeaderReply::NotLeader);
            return;
        }
        match call {
            LeaderCall::Command(command) => self.propose(now, at, *command, ProposalKind::Command(reply_to)),
            LeaderCall::Operation(command) => self.propose(now, at, *command, ProposalKind::Operation(reply_to)),
            LeaderCall::ChangeReplicas(change) => {
                let proposal = self.proposals.open(ProposalKind::Membership(reply_to));
                let change = match change {
                    ReplicaChange::Add(vm) => MembershipChange::Add { vm },
                    ReplicaChange::Replace { old, new } => MembershipChange::Replace { old, new },
                };
                self.step_log(now, ConsensusEvent::ChangeMembership { proposal, change });
            }
            LeaderCall::Report { report, entries } => self.serve_report(now, at, reply_to, &(*report).into(), entries),
            LeaderCall::JobStatus(job) => self.reply(now, reply_to, view::job_status(&self.state, &job)),
            LeaderCall::JobResult(job) => self.reply(now, reply_to, view::job_result(&self.state, &job)),
            LeaderCall::Explain(job) => {
                let reply = view::explain_job(&self.state, self.leader_state.as_ref(), &job);
                self.reply(now, reply_to, reply);
            }
        }
    }

    fn serve_report(
        &mut self,
        now: MonotonicTime,
        at: StateTime,
        reply_to: ReplyTo,
        report: &WorkerReport,
        entries: Vec<SocketAddr>,
    ) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let outcome = report::handle(now, at, &self.state, leader_state, report, entries, self.settings.lease.lease);
        let reply = LeaderReply::Json(serde_json::to_vec(&outcome.reply).unwrap_or_default());
        self.record(CoordinatorRecord::ReportAnswered);
        self.reply(now, reply_to, reply);
        for command in outcome.commands {
            self.propose(now, at, command, ProposalKind::Own);
        }
    }

    fn decide(&mut self, now: MonotonicTime, at: StateTime) {
        if !self.is_active_leader(now) || self.proposals.len() > MAX_OPEN_PROPOSALS {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        for command in leader_state.decide(now, at, &self.state) {
            self.propose(now, at, command, ProposalKind::Own);
        }
    }
}

/// Queries.
impl DaemonCoordinator {
    /// Returns the time by which [`DaemonCoordinator::tick`] has to be called.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        let decision = self
            .leader_state
            .as_ref()
            .filter(|leader_state| leader_state.ready)
            .map(|leader_state| leader_state.next_decision);
        let times = [self.node.next_deadline(), self.calls.next_deadline(), self.next_progress];
        times.into_iter().chain(decision).min().unwrap_or(MonotonicTime::ZERO)
    }

    /// Returns true if this daemon may act as the leader now: it has applied everything that was committed before its
    /// term, and its leader lease is valid.
    #[must_use]
    pub fn is_active_leader(&self, now: MonotonicTime) -> bool {
        self.leader_state.as_ref().is_some_and(|leader_state| leader_state.ready) && self.node.has_leader_lease(now)
    }

    /// Returns true if this daemon may accept client requests: its configuration is at least as new as that of a quorum
    /// was when it started.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_caught_up()
    }

    /// Returns the consensus node, which holds the replicated log.
    #[must_use]
    pub const fn log(&self) -> &ConsensusNode {
        &self.node
    }

    /// Returns the control state as far as this daemon has applied the log.
    #[must_use]
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the index of the last applied entry.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }
}

/// Mixes a seed with the finalizer of `SplitMix64`, so that close seeds give distant values.
const fn mix_seed(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
