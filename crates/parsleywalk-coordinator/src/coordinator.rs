//! The coordinator: events in, actions out.

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
use crate::leader::{LeaderDuties, PROPOSAL_LIMIT, PendingOperation};
use crate::progress::ProgressTable;
use crate::proposals::{ProposalKind, ProposalTable};
use crate::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, CoordinatorRecord, CoordinatorSettings,
    LeaderCall, LeaderReply, report, view,
};

/// The wait between reports of how far this daemon has applied the log.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// One daemon's log, state and calls and, while its replica leads, policy and leases.
pub struct DaemonCoordinator {
    pub(crate) node: ConsensusNode,
    pub(crate) state: ControlState,
    pub(crate) applied: LogIndex,
    pub(crate) calls: CallTable,
    pub(crate) proposals: ProposalTable,
    pub(crate) duties: Option<LeaderDuties>,
    progress: ProgressTable,
    next_progress: MonotonicTime,
    settings: CoordinatorSettings,
    seed: u64,
    /// Added to the tokens of calls in messages, so that a late answer to a call of an earlier process on this VM is
    /// not taken as the answer to a call of this one.
    call_offset: u64,
    /// Actions of the step in progress.
    actions: Vec<CoordinatorAction>,
}

impl DaemonCoordinator {
    /// Starts with an opened log. `daemons` are the VMs of all daemons; `seed` drives the policy's randomness and tells
    /// this process' calls from those of earlier ones, so each start needs another.
    #[must_use]
    pub fn new(node: ConsensusNode, daemons: impl Iterator<Item = VmNumber>, seed: u64) -> Self {
        Self::with_settings(node, daemons, seed, CoordinatorSettings::default())
    }

    /// Starts as [`DaemonCoordinator::new`] does, with other settings than the default.
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
            duties: None,
            next_progress: MonotonicTime::ZERO,
            settings,
            seed,
            call_offset: spread(seed),
            actions: Vec::new(),
        }
    }
}

/// Commands.
impl DaemonCoordinator {
    /// Handles an event. `at` stamps the commands that follow from it.
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

    /// Does what the clock asks for. To be called at [`DaemonCoordinator::next_deadline`] or earlier.
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
            self.next_progress = now + PROGRESS_INTERVAL;
            self.report_progress();
        }
        std::mem::take(&mut self.actions)
    }

    fn receive(&mut self, now: MonotonicTime, at: StateTime, vm: VmNumber, message: CoordinatorMessage) {
        match message {
            CoordinatorMessage::Log { from, to, message } => {
                let own = self.node.id();
                // A message for an older incarnation of this VM must not reach the present one.
                if from.vm == vm && (to == own || to == ReplicaId::any(own.vm)) {
                    self.step_log(now, ConsensusEvent::Receive { from, message });
                }
            }
            CoordinatorMessage::Call { call, body } => self.serve_call(now, at, ReplyTo::Peer(vm, call), body),
            CoordinatorMessage::Reply { call, body } => {
                let call = CallToken::new(call.get().wrapping_sub(self.call_offset));
                let finished = self.calls.answer(now, call, body);
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

/// The log and the state.
impl DaemonCoordinator {
    /// Steps the log and carries out what follows.
    fn step_log(&mut self, now: MonotonicTime, event: ConsensusEvent) {
        let mut actions: VecDeque<ConsensusAction> = self.node.step(now, event).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.carry_out(now, action));
        }
    }

    fn carry_out(&mut self, now: MonotonicTime, action: ConsensusAction) -> Vec<ConsensusAction> {
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
            ConsensusAction::Accepted { proposal, index, term } => self.proposals.place(proposal, index, term),
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
            self.duties = None;
        } else if self.duties.as_ref().is_none_or(|duties| duties.term != term) {
            self.duties = Some(LeaderDuties::new(&self.settings, term, self.seed ^ term.get()));
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
            self.note_changes(now, &applied.changes);
        }
        self.answer_proposal(now, entry, applied);
        if let Some(duties) = self.duties.as_mut().filter(|duties| !duties.ready && duties.term == entry.term) {
            duties.take_office(now, &self.state);
            self.progress.take_office(now);
            self.calls.retry_all(now);
            self.record(CoordinatorRecord::LeaderReady { term: entry.term, index: entry.index });
        }
    }

    fn note_changes(&mut self, now: MonotonicTime, changes: &[StateChange]) {
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
            if let Some(duties) = self.duties.as_mut().filter(|duties| duties.ready) {
                duties.observe(now, &self.state, change);
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

/// Proposals and their answers.
impl DaemonCoordinator {
    fn propose(&mut self, now: MonotonicTime, at: StateTime, mut command: ControlCommand, kind: ProposalKind) {
        command.set_at(at);
        let proposal = self.proposals.open(kind);
        self.step_log(now, ConsensusEvent::Propose { proposal, payload: command.encode() });
    }

    fn answer_proposal(&mut self, now: MonotonicTime, entry: &LogEntry, applied: Option<Applied>) {
        let Some(kind) = self.proposals.apply(entry.index, entry.term) else { return };
        match (kind, applied) {
            (ProposalKind::Command(reply_to), Some(applied)) => {
                self.reply(now, reply_to, LeaderReply::Applied(applied.reply));
            }
            (ProposalKind::Operation(reply_to), Some(applied)) => {
                let operation = PendingOperation::new(now, entry.index, reply_to, applied.reply);
                if let Some(duties) = &mut self.duties {
                    duties.operations.push(operation);
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

    /// Answers the operators whose command is in force at every daemon that was heard from lately.
    fn finish_operations(&mut self, now: MonotonicTime) {
        let Some(duties) = &mut self.duties else { return };
        let progress = &self.progress;
        let is_settled = |operation: &mut PendingOperation| {
            operation.deadline <= now || progress.in_force(now, operation.index).waited_for == 0
        };
        let finished: Vec<PendingOperation> = duties.operations.extract_if(.., is_settled).collect();
        for operation in finished {
            let mut report = self.progress.in_force(now, operation.index);
            report.in_force.push(self.node.id().vm);
            report.in_force.sort_unstable();
            let reply = LeaderReply::Operation {
                reply: operation.reply,
                in_force: report.in_force,
                not_heard: report.not_heard,
            };
            self.reply(now, operation.reply_to, reply);
        }
    }

    fn reply(&mut self, now: MonotonicTime, reply_to: ReplyTo, body: LeaderReply) {
        match reply_to {
            ReplyTo::Local(call) => {
                let finished = self.calls.answer(now, call, body);
                self.finish(finished);
            }
            ReplyTo::Peer(vm, call) => self.send(vm, CoordinatorMessage::Reply { call, body }),
        }
    }
}

/// Calls.
impl DaemonCoordinator {
    /// Sends the due calls to the leader, or serves them where this daemon is the leader.
    fn try_calls(&mut self, now: MonotonicTime, at: StateTime) {
        if self.calls.next_deadline() > now {
            return;
        }
        let own = self.node.id().vm;
        let Some(leader) = self.node.leader().map(|leader| leader.vm) else {
            // Without a leader the calls stay due; they are tried as soon as one is known.
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
            if self.leads(now) {
                self.calls.mark_sent(call);
            }
            self.serve_call(now, at, ReplyTo::Local(call), body);
        }
    }

    fn serve_call(&mut self, now: MonotonicTime, at: StateTime, reply_to: ReplyTo, call: LeaderCall) {
        if !self.leads(now) {
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
                let reply = view::explain_job(&self.state, self.duties.as_ref(), &job);
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
        let Some(duties) = &mut self.duties else { return };
        let outcome = report::handle(now, at, &self.state, duties, report, entries, self.settings.lease.lease);
        let reply = LeaderReply::Json(serde_json::to_vec(&outcome.reply).unwrap_or_default());
        self.record(CoordinatorRecord::ReportAnswered);
        self.reply(now, reply_to, reply);
        for command in outcome.commands {
            self.propose(now, at, command, ProposalKind::Own);
        }
    }

    fn decide(&mut self, now: MonotonicTime, at: StateTime) {
        if !self.leads(now) || self.proposals.len() > PROPOSAL_LIMIT {
            return;
        }
        let Some(duties) = &mut self.duties else { return };
        for command in duties.decide(now, at, &self.state) {
            self.propose(now, at, command, ProposalKind::Own);
        }
    }
}

/// Queries.
impl DaemonCoordinator {
    /// When [`DaemonCoordinator::tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        let decision = self.duties.as_ref().filter(|duties| duties.ready).map(|duties| duties.next_decision);
        let times = [self.node.next_deadline(), self.calls.next_deadline(), self.next_progress];
        times.into_iter().chain(decision).min().unwrap_or(MonotonicTime::ZERO)
    }

    /// Whether this daemon may act as the leader now.
    #[must_use]
    pub fn leads(&self, now: MonotonicTime) -> bool {
        self.duties.as_ref().is_some_and(|duties| duties.ready) && self.node.has_leader_lease(now)
    }

    /// Whether this daemon may take callers: it holds a configuration at least as new as a quorum's when it started.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_caught_up()
    }

    /// The replicated log.
    #[must_use]
    pub const fn log(&self) -> &ConsensusNode {
        &self.node
    }

    /// The replicated state as far as this daemon has applied it.
    #[must_use]
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// The last applied index.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }
}

/// Spreads close seeds far apart: the finalizer of `SplitMix64`.
const fn spread(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
