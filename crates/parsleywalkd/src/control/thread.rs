//! The control thread's loop: events in, actions out.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use log::{error, info, warn};
use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusNode, EntryPayload, LogEntry, LogIndex, LogWrite,
    MembershipChange, ProposalId, ProposalRefusal, ReplicaId, ReplicaRole, WriteTicket,
};
use parsleywalk_control::{Applied, ControlCommand, ControlState, StateChange};
use parsleywalk_peer::{PeerLane, PeerNetwork, ReceivedMessage};
use parsleywalk_units::MonotonicTime;

use super::call::{LeaderCall, LeaderReply};
use super::event::ControlEvent;
use super::forwarded::{CallTable, ReplyTo};
use super::leader::{LeaderDuties, PROPOSAL_LIMIT, PendingOperation};
use super::progress::ProgressTable;
use super::proposals::{ProposalKind, ProposalTable};
use super::{report, view};
use crate::clock::ProcessClock;
use crate::message::DaemonMessage;
use crate::metrics::DaemonMetrics;
use crate::router::RouterHandle;
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// Events that may wait for the control thread; a call beyond them is refused as not sent.
pub(crate) const EVENT_LIMIT: usize = 16_384;

/// The most events handled before time-driven work is looked at again.
const BATCH_LIMIT: usize = 512;

/// The wait between reports of how far this daemon has applied the log.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// The exit code when the log holds what can't be decoded.
const CORRUPT_EXIT: i32 = 65;

/// What the control thread needs of the daemon.
pub(crate) struct ControlLinks {
    pub(crate) clock: ProcessClock,
    pub(crate) network: Arc<PeerNetwork<DaemonMessage>>,
    pub(crate) router: RouterHandle,
    pub(crate) metrics: DaemonMetrics,
    /// Takes log writes; a daemon without a disk has none.
    pub(crate) store: Option<Sender<(WriteTicket, LogWrite)>>,
    pub(crate) seed: u64,
}

/// The state of the control thread.
pub(crate) struct ControlThread {
    pub(super) settings: DaemonSettings,
    pub(super) links: ControlLinks,
    pub(super) node: ConsensusNode,
    pub(super) state: ControlState,
    pub(super) applied: LogIndex,
    pub(super) calls: CallTable,
    pub(super) proposals: ProposalTable,
    pub(super) duties: Option<LeaderDuties>,
    progress: ProgressTable,
    next_progress: MonotonicTime,
}

/// Starts the control thread.
pub(crate) fn start(
    settings: &DaemonSettings,
    links: ControlLinks,
    node: ConsensusNode,
    queue: Receiver<ControlEvent>,
) -> Result<std::thread::JoinHandle<()>> {
    let others = settings.daemons.iter().map(|daemon| daemon.vm).filter(|vm| *vm != settings.vm);
    let thread = ControlThread {
        progress: ProgressTable::new(others),
        settings: settings.clone(),
        links,
        node,
        state: ControlState::new(),
        applied: LogIndex::ZERO,
        calls: CallTable::default(),
        proposals: ProposalTable::default(),
        duties: None,
        next_progress: MonotonicTime::ZERO,
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || thread.run(&queue))
        .map_err(|cause| DaemonError::Thread { step: "start control thread", cause })
}

impl ControlThread {
    fn run(mut self, queue: &Receiver<ControlEvent>) {
        loop {
            let now = self.links.clock.now();
            let first = match queue.recv_timeout(self.next_deadline().since(now)) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Events that wait are handled together, so that their log entries go into one message and one sync.
            for event in first.into_iter().chain(queue.try_iter().take(BATCH_LIMIT)) {
                if matches!(event, ControlEvent::Stop) {
                    return;
                }
                self.handle(event);
            }
            self.work_due();
        }
    }

    fn next_deadline(&self) -> MonotonicTime {
        let decision = self.duties.as_ref().filter(|duties| duties.ready).map(|duties| duties.next_decision);
        let times =
            [Some(self.node.next_deadline()), Some(self.calls.next_deadline()), Some(self.next_progress), decision];
        times.into_iter().flatten().min().unwrap_or(MonotonicTime::ZERO)
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.links.clock.now();
        match event {
            ControlEvent::Call { call, timeout, done } => {
                self.calls.add(now, call, timeout, done);
                self.try_calls(now);
            }
            ControlEvent::Peer(received) => self.handle_peer(now, received),
            ControlEvent::Persisted(tickets) => {
                for ticket in tickets {
                    self.step(now, ConsensusEvent::Persisted { ticket });
                }
            }
            ControlEvent::Query(query) => query(self),
            ControlEvent::Stop => {}
        }
    }

    fn handle_peer(&mut self, now: MonotonicTime, received: ReceivedMessage<DaemonMessage>) {
        let vm = received.from.vm;
        match received.message {
            DaemonMessage::Consensus { from, to, message } => {
                let own = self.node.id();
                // A message for an older incarnation of this VM must not reach the present one.
                if from.vm == vm && (to == own || to == ReplicaId::any(own.vm)) {
                    self.step(now, ConsensusEvent::Receive { from, message });
                }
            }
            DaemonMessage::Call { call, body } => self.serve_call(now, ReplyTo::Peer(vm, call), body),
            DaemonMessage::Reply { call, body } => self.calls.answer(now, call, body),
            DaemonMessage::Progress { applied, .. } => {
                self.progress.record(now, vm, applied);
                self.finish_operations(now);
            }
            DaemonMessage::Announce(_) | DaemonMessage::Forward { .. } | DaemonMessage::ForwardReply { .. } => {
                warn!("event=misrouted_message peer={vm}");
            }
        }
    }

    /// Does what the clock asks for.
    fn work_due(&mut self) {
        let now = self.links.clock.now();
        if self.node.next_deadline() <= now {
            self.step(now, ConsensusEvent::Tick);
        }
        self.calls.expire(now);
        self.try_calls(now);
        self.finish_operations(now);
        self.decide(now);
        if self.next_progress <= now {
            self.next_progress = now + PROGRESS_INTERVAL;
            self.report_progress();
        }
    }

    /// Steps the log and carries out what follows.
    fn step(&mut self, now: MonotonicTime, event: ConsensusEvent) {
        let mut actions: VecDeque<ConsensusAction> = self.node.step(now, event).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.carry_out(now, action));
        }
    }

    fn carry_out(&mut self, now: MonotonicTime, action: ConsensusAction) -> Vec<ConsensusAction> {
        match action {
            ConsensusAction::Send { to, message } => self.send(to, message),
            ConsensusAction::Persist { ticket, write } => self.persist(ticket, write),
            ConsensusAction::Apply { entry } => self.apply(now, &entry),
            ConsensusAction::InstallSnapshot { index, payload } => self.install(index, &payload),
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.state.encode();
                info!("event=snapshot_taken index={index} bytes={}", payload.len());
                return self.node.step(now, ConsensusEvent::SnapshotTaken { index, payload });
            }
            ConsensusAction::Accepted { proposal, index, term } => self.proposals.place(proposal, index, term),
            ConsensusAction::Refused { proposal, reason, .. } => self.refuse(now, proposal, reason),
            ConsensusAction::RoleChanged { role, term, leader } => {
                let leader_vm = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
                info!("event=role_changed role={role} term={term} leader={leader_vm}");
                self.change_role(now, role);
            }
        }
        Vec::new()
    }

    fn send(&self, to: ReplicaId, message: ConsensusMessage) {
        let lane =
            if matches!(message, ConsensusMessage::SnapshotChunk { .. }) { PeerLane::Bulk } else { PeerLane::Control };
        let from = self.node.id();
        self.links.network.send(to.vm, lane, &DaemonMessage::Consensus { from, to, message });
    }

    fn persist(&self, ticket: WriteTicket, write: LogWrite) {
        let Some(store) = &self.links.store else { return };
        if store.send((ticket, write)).is_err() {
            error!("event=storage_thread_gone");
            std::process::exit(CORRUPT_EXIT);
        }
    }

    fn change_role(&mut self, now: MonotonicTime, role: ReplicaRole) {
        let term = self.node.term();
        if role != ReplicaRole::Leader {
            self.duties = None;
        } else if self.duties.as_ref().is_none_or(|duties| duties.term != term) {
            self.duties = Some(LeaderDuties::new(term, self.links.seed ^ term.get()));
        }
        self.calls.retry_all(now);
    }

    fn apply(&mut self, now: MonotonicTime, entry: &LogEntry) {
        if let EntryPayload::Command(payload) = &entry.payload {
            let command = ControlCommand::decode(payload).unwrap_or_else(|cause| {
                // Skipping an entry would let this replica's state differ from the others'.
                error!("event=command_not_decodable index={} error={:?}", entry.index, cause.to_string());
                std::process::exit(CORRUPT_EXIT);
            });
            let applied = self.state.apply(&command);
            self.links.metrics.command(if applied.reply.refusal().is_some() { "refused" } else { "accepted" });
            self.applied = entry.index;
            self.note_changes(now, &applied.changes);
            self.answer_proposal(now, entry, Some(applied));
        } else {
            self.applied = entry.index;
            self.answer_proposal(now, entry, None);
        }
        if let Some(duties) = &mut self.duties
            && !duties.ready
            && duties.term == entry.term
        {
            duties.take_office(now, &self.state);
            self.progress.take_office(now);
            info!("event=leader_ready term={} index={}", entry.term, entry.index);
            self.calls.retry_all(now);
        }
    }

    fn note_changes(&mut self, now: MonotonicTime, changes: &[StateChange]) {
        let mut urgent = false;
        for change in changes {
            match change {
                StateChange::ConfigurationChanged { version } => {
                    info!("event=configuration_in_force version={version}");
                    self.configure_router();
                    urgent = true;
                }
                StateChange::ZoneChanged { zone, in_service } => {
                    info!("event=zone_changed zone={zone} in_service={in_service}");
                    urgent = true;
                }
                StateChange::WorkerLost { worker, .. } => info!("event=worker_lost worker={worker}"),
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

    fn configure_router(&self) {
        if let Some(configuration) = self.state.configuration() {
            self.links.router.configure(view::service_routes(&configuration.catalog));
        }
    }

    fn install(&mut self, index: LogIndex, payload: &[u8]) {
        self.state = ControlState::decode(payload).unwrap_or_else(|cause| {
            error!("event=snapshot_not_decodable index={index} error={:?}", cause.to_string());
            std::process::exit(CORRUPT_EXIT);
        });
        self.applied = index;
        info!("event=snapshot_installed index={index} revision={}", self.state.revision());
        self.configure_router();
        self.report_progress();
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
            (_, reason) if reason.is_unknown() => LeaderReply::Lost,
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
        let finished: Vec<PendingOperation> = duties
            .operations
            .extract_if(.., |operation| {
                operation.deadline <= now || progress.in_force(now, operation.index).waited_for == 0
            })
            .collect();
        for operation in finished {
            let mut report = self.progress.in_force(now, operation.index);
            report.in_force.push(self.settings.vm);
            report.in_force.sort_unstable();
            let reply = LeaderReply::Operation {
                reply: operation.reply,
                in_force: report.in_force,
                not_heard: report.not_heard,
            };
            self.reply(now, operation.reply_to, reply);
        }
    }

    fn report_progress(&mut self) {
        let Some(leader) = self.node.leader().filter(|leader| leader.vm != self.settings.vm) else { return };
        let message = DaemonMessage::Progress { applied: self.applied };
        self.links.network.send(leader.vm, PeerLane::Control, &message);
    }

    /// Sends the due calls to the leader, or serves them where this daemon is the leader.
    fn try_calls(&mut self, now: MonotonicTime) {
        if self.calls.next_deadline() > now {
            return;
        }
        let own = self.settings.vm;
        let leader = self.node.leader().map(|leader| leader.vm);
        for (call, body) in self.calls.due(now) {
            match leader {
                Some(vm) if vm == own => {
                    if self.leads(now) {
                        self.calls.mark_sent(call);
                    }
                    self.serve_call(now, ReplyTo::Local(call), body);
                }
                Some(vm) if self.links.network.send(vm, PeerLane::Control, &DaemonMessage::Call { call, body }) => {
                    self.calls.mark_sent(call);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Whether this daemon may act as the leader now.
    pub(super) fn leads(&self, now: MonotonicTime) -> bool {
        self.duties.as_ref().is_some_and(|duties| duties.ready) && self.node.has_leader_lease(now)
    }

    fn reply(&mut self, now: MonotonicTime, reply_to: ReplyTo, body: LeaderReply) {
        match reply_to {
            ReplyTo::Local(call) => self.calls.answer(now, call, body),
            ReplyTo::Peer(vm, call) => {
                self.links.network.send(vm, PeerLane::Control, &DaemonMessage::Reply { call, body });
            }
        }
    }

    fn serve_call(&mut self, now: MonotonicTime, reply_to: ReplyTo, call: LeaderCall) {
        if !self.leads(now) {
            self.reply(now, reply_to, LeaderReply::NotLeader);
            return;
        }
        match call {
            LeaderCall::Command(command) => self.propose(now, *command, ProposalKind::Command(reply_to)),
            LeaderCall::Operation(command) => self.propose(now, *command, ProposalKind::Operation(reply_to)),
            LeaderCall::ChangeReplicas(change) => {
                let proposal = self.proposals.open(ProposalKind::Membership(reply_to));
                let change = match change {
                    parsleywalk_api::ReplicaChange::Add(vm) => MembershipChange::Add { vm },
                    parsleywalk_api::ReplicaChange::Replace { old, new } => MembershipChange::Replace { old, new },
                };
                self.step(now, ConsensusEvent::ChangeMembership { proposal, change });
            }
            LeaderCall::Report { report, entries } => self.serve_report(now, reply_to, &report, entries),
            LeaderCall::JobStatus(job) => self.reply(now, reply_to, view::job_status(&self.state, &job)),
            LeaderCall::JobResult(job) => self.reply(now, reply_to, view::job_result(&self.state, &job)),
            LeaderCall::Explain(job) => {
                let reply = view::explain_job(&self.state, self.duties.as_ref(), &job);
                self.reply(now, reply_to, reply);
            }
        }
    }

    fn serve_report(&mut self, now: MonotonicTime, reply_to: ReplyTo, body: &[u8], entries: Vec<std::net::SocketAddr>) {
        let Some(duties) = &mut self.duties else { return };
        let Ok(parsed) = serde_json::from_slice(body) else {
            self.reply(now, reply_to, LeaderReply::Refused("malformed report".to_owned()));
            return;
        };
        let outcome = report::handle(now, ProcessClock::stamp(), &self.state, duties, &parsed, entries);
        let reply = LeaderReply::Json(serde_json::to_vec(&outcome.reply).unwrap_or_default());
        self.links.metrics.report();
        self.reply(now, reply_to, reply);
        for command in outcome.commands {
            self.propose(now, command, ProposalKind::Own);
        }
    }

    fn decide(&mut self, now: MonotonicTime) {
        if !self.leads(now) || self.proposals.len() > PROPOSAL_LIMIT {
            return;
        }
        let Some(duties) = &mut self.duties else { return };
        let commands = duties.decide(now, ProcessClock::stamp(), &self.state);
        for command in commands {
            self.propose(now, command, ProposalKind::Own);
        }
    }

    fn propose(&mut self, now: MonotonicTime, mut command: ControlCommand, kind: ProposalKind) {
        command.set_at(ProcessClock::stamp());
        let proposal = self.proposals.open(kind);
        self.step(now, ConsensusEvent::Propose { proposal, payload: command.encode() });
    }

    /// Whether this daemon takes callers: it holds a configuration at least as new as a quorum's when it started.
    pub(super) fn is_ready(&self) -> bool {
        self.node.is_caught_up()
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.links.clock.now()
    }
}
