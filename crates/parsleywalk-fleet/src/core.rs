//! One replica: its log, its state and, while it leads, the decisions about workers.

use std::collections::VecDeque;
use std::time::Duration;

use log::{debug, error, info};
use parsleywalk_batch::{
    BatchCommand, BatchReply, BatchState, Dispatcher, FencingToken, ReportResponse, ReportStep, SortedTable,
    WorkerReport, decode_commands, encode_commands,
};
use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusNode, EntryPayload, LogEntry, LogTerm, LogWrite,
    ProposalId, ReplicaId, ReplicaRole, WriteTicket,
};
use parsleywalk_units::{MonotonicTime, VmNumber, ZoneName};

use crate::admission;
use crate::members::{self, MemberView};
use crate::office::{LeaderOffice, log_orders};
use crate::settings::FleetSettings;
use crate::waiter::{EntryWaiters, PlacedProposal, QueuedCommands, ReplySender, Waiter, WaitingReport};
use crate::{FleetMetrics, LeaderReply, LeaderRequest, LogMessage};

/// The wait between two looks at leases and members.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The wait between two rounds of placement when nothing else calls for one; occurrences become due by it.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// The entries that may be on their way: one is synced while the next is sent.
const ENTRY_WINDOW: usize = 2;
/// The most commands of one entry.
const ENTRY_COMMANDS: usize = 512;
/// How long an answer waits beyond its time for a round of placement that is being committed: about a commit. Under load
/// there is always such a round, so this must be bounded.
const PLACEMENT_WAIT: Duration = Duration::from_millis(30);
/// The least wait between two rounds of placement, since each looks at all workers.
const PLAN_PAUSE: Duration = Duration::from_millis(15);
/// The exit code when the log holds what can't be decoded.
const CORRUPT_EXIT: i32 = 65;

/// What the replica asks its runtime to do.
#[derive(Debug)]
pub(crate) enum CoreOutput {
    Send { to: VmNumber, message: LogMessage },
    Persist { ticket: WriteTicket, write: LogWrite },
}

/// One replica of the batch state.
pub(crate) struct ReplicaCore {
    settings: FleetSettings,
    node: ConsensusNode,
    state: BatchState,
    office: Option<LeaderOffice>,
    next_proposal: ProposalId,
    /// Commands for the next entry. Under load an entry takes many, since each costs messages to every replica and a
    /// sync.
    queued: Vec<QueuedCommands>,
    /// Proposals without a place in the log yet.
    open: SortedTable<ProposalId, EntryWaiters>,
    placed: VecDeque<PlacedProposal>,
    held: Vec<WaitingReport>,
    /// When the first held report is due.
    held_until: MonotonicTime,
    /// The state has changed since the held reports were looked at.
    held_changed: bool,
    zones: SortedTable<VmNumber, ZoneName>,
    outputs: Vec<CoreOutput>,
    metrics: FleetMetrics,
}

impl ReplicaCore {
    pub(crate) fn new(settings: FleetSettings, node: ConsensusNode, metrics: FleetMetrics) -> Self {
        let mut zones = SortedTable::default();
        zones.insert(settings.vm(), settings.zone.clone());
        Self {
            settings,
            node,
            state: BatchState::default(),
            office: None,
            next_proposal: ProposalId::new(1),
            queued: Vec::new(),
            open: SortedTable::default(),
            placed: VecDeque::new(),
            held: Vec::new(),
            held_until: MonotonicTime::NEVER,
            held_changed: false,
            zones,
            outputs: Vec::new(),
            metrics,
        }
    }

    /// What the runtime has to do; to be asked for after every command.
    pub(crate) fn take_outputs(&mut self) -> Vec<CoreOutput> {
        std::mem::take(&mut self.outputs)
    }
}

/// Queries.
impl ReplicaCore {
    pub(crate) fn next_deadline(&self) -> MonotonicTime {
        let mut next = self.node.next_deadline();
        if let Some(office) = &self.office {
            next = next.min(office.next_plan).min(office.next_upkeep);
        }
        next.min(self.held_until)
    }

    pub(crate) fn leader(&self) -> Option<VmNumber> {
        self.node.leader().map(|leader| leader.vm)
    }

    pub(crate) fn leads(&self, now: MonotonicTime) -> bool {
        self.office.is_some() && self.node.has_leader_lease(now)
    }

    /// Whether the replica follows or is a leader, so that it has no need to search.
    pub(crate) fn has_leader(&self) -> bool {
        self.node.leader().is_some()
    }

    /// Brings the metrics of the state up to date.
    pub(crate) fn measure(&self) {
        self.metrics.state(&self.state, crate::clock::FleetClock::unix_ms());
    }

    fn located(&self) -> LeaderReply {
        LeaderReply::Located {
            leader: self.leader(),
            term: self.node.term(),
            members: self.node.voters().iter().map(|voter| voter.vm).collect(),
        }
    }
}

/// Commands.
impl ReplicaCore {
    pub(crate) fn add_contact_point(&mut self, vm: VmNumber) {
        self.node.add_contact_point(vm);
    }

    pub(crate) fn receive(&mut self, now: MonotonicTime, vm: VmNumber, zone: ZoneName, message: LogMessage) {
        self.zones.insert(vm, zone);
        let own = self.node.id();
        // A message for an older incarnation of this VM must not reach the present one.
        if message.from.vm == vm && (message.to == own || message.to == ReplicaId::any(own.vm)) {
            self.step(now, ConsensusEvent::Receive { from: message.from, message: message.message });
        }
        self.settle(now);
    }

    pub(crate) fn persisted(&mut self, now: MonotonicTime, tickets: Vec<WriteTicket>) {
        if let Some(ticket) = tickets.into_iter().max() {
            self.step(now, ConsensusEvent::Persisted { ticket });
        }
        self.settle(now);
    }

    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        if self.node.next_deadline() <= now {
            self.step(now, ConsensusEvent::Tick);
        }
        self.upkeep(now);
        if let Some(office) = &mut self.office
            && office.next_plan <= now
        {
            office.next_plan = now + PLAN_INTERVAL;
            office.plan_due = true;
        }
        self.settle(now);
    }

    /// Serves a request, and answers it at once or when it is committed.
    pub(crate) fn serve(&mut self, now: MonotonicTime, request: LeaderRequest, reply: ReplySender) {
        if matches!(request, LeaderRequest::Locate) {
            drop(reply.send(self.located()));
            return;
        }
        if !self.leads(now) {
            let leader = self.leader().filter(|leader| *leader != self.node.id().vm);
            drop(reply.send(LeaderReply::NotLeader { leader }));
            return;
        }
        match request {
            LeaderRequest::Locate => {}
            LeaderRequest::Report(report) => self.report(now, &report, reply),
            LeaderRequest::Leave { worker, incarnation } => {
                info!("event=worker_leaving worker={worker} incarnation={incarnation:?}");
                if let Some(office) = &mut self.office {
                    office.dispatcher.leave(&worker, incarnation);
                }
                drop(reply.send(LeaderReply::Done));
            }
            LeaderRequest::ReadConfiguration => {
                let configuration = self.state.configuration();
                let answer = configuration.map_or(LeaderReply::NoConfiguration, |configuration| {
                    LeaderReply::Configuration { version: configuration.version, text: configuration.text.clone() }
                });
                drop(reply.send(answer));
            }
            LeaderRequest::Configure(configuration) => {
                let held = self.state.configuration().map(|current| current.version);
                info!("event=configuration_received version={} held={held:?}", configuration.version);
                if held.is_some_and(|held| held >= configuration.version) {
                    drop(reply.send(LeaderReply::Done));
                } else {
                    self.propose(vec![BatchCommand::Configure(configuration)], Waiter::Reply(reply));
                }
            }
            LeaderRequest::SetZone { zone, direction } => {
                info!("event=zone_change zone={zone} direction={direction}");
                self.propose(vec![BatchCommand::SetZone { zone, direction }], Waiter::Reply(reply));
            }
            LeaderRequest::Queue { host, path, action } => {
                let unix_ms = crate::clock::FleetClock::unix_ms();
                match admission::decide(&self.state, unix_ms, &host, &path, action) {
                    admission::Decision::Answer(answer) => drop(reply.send(answer)),
                    admission::Decision::Commit(command) => self.take_request(now, command, reply),
                }
            }
        }
        self.settle(now);
    }

    /// Commits a caller's request, or refuses it.
    fn take_request(&mut self, now: MonotonicTime, command: BatchCommand, reply: ReplySender) {
        if let Some(refusal) = self.refusal(now, &command) {
            drop(reply.send(refusal));
            return;
        }
        if let BatchCommand::Submit(submission) = &command {
            let (job, queue, steps) = (submission.job, &submission.queue, submission.spec.steps.len());
            info!("event=job_accepted job={job} queue={queue} steps={steps}");
            self.metrics.job_accepted();
        }
        self.propose(vec![command], Waiter::Reply(reply));
    }

    /// Returns the answer to a submission for which the service has no room.
    fn refusal(&mut self, now: MonotonicTime, command: &BatchCommand) -> Option<LeaderReply> {
        let BatchCommand::Submit(submission) = command else { return None };
        let refusal = self.office.as_mut()?.dispatcher.admit(now, &self.state, submission)?;
        self.metrics.refused(refusal.reason);
        info!("event=job_refused job={} queue={} reason={:?}", submission.job, submission.queue, refusal.reason);
        Some(LeaderReply::Refused { retry_after: refusal.retry_after, reason: refusal.reason.to_owned() })
    }

    fn report(&mut self, now: MonotonicTime, report: &WorkerReport, reply: ReplySender) {
        let Some(office) = &mut self.office else { return };
        let (worker, sequence) = (report.worker.clone(), report.sequence);
        match office.dispatcher.observe(now, &self.state, report) {
            ReportStep::Overtaken => {
                let answer = ReportResponse { orders: None, next_report: Duration::from_millis(100) };
                drop(reply.send(LeaderReply::Report(Box::new(answer))));
            }
            ReportStep::Commit(commands) => {
                self.metrics.runs_ended(&commands);
                office.plan_due = true;
                let hold_until = now + office.dispatcher.hold(&self.state, &worker);
                let waiting = WaitingReport { worker, sequence, hold_until, reply };
                if commands.is_empty() {
                    self.hold(now, waiting);
                } else {
                    self.propose(commands, Waiter::Report(waiting));
                }
            }
        }
    }

    /// Does what follows from what was applied: places waiting tasks and answers held reports.
    fn settle(&mut self, now: MonotonicTime) {
        self.plan(now);
        self.propose_queued(now);
        self.answer_held(now);
    }

    fn plan(&mut self, now: MonotonicTime) {
        if !self.leads(now) {
            return;
        }
        let Some(office) = &mut self.office else { return };
        if !office.plan_due || office.planning {
            return;
        }
        if now < office.planned + PLAN_PAUSE {
            office.next_plan = office.next_plan.min(office.planned + PLAN_PAUSE);
            return;
        }
        office.planned = now;
        office.plan_due = false;
        let runs = office.dispatcher.plan(now, crate::clock::FleetClock::unix_ms(), &self.state);
        if runs.is_empty() {
            return;
        }
        office.planning = true;
        debug!("event=runs_placed count={}", runs.len());
        self.propose(vec![BatchCommand::Place { runs }], Waiter::Plan);
    }

    /// Answers a report, or holds it until there are orders or its time is over.
    fn hold(&mut self, now: MonotonicTime, report: WaitingReport) {
        if let Some(office) = &self.office
            && (report.hold_until <= now && !office.planning
                || office.dispatcher.has_orders(&self.state, &report.worker))
        {
            self.held_changed = true;
        }
        self.held_until = self.held_until.min(report.hold_until);
        self.held.push(report);
    }

    fn answer_held(&mut self, now: MonotonicTime) {
        if self.held.is_empty() || (!self.held_changed && now < self.held_until) {
            return;
        }
        self.held_changed = false;
        if !self.leads(now) {
            let leader = self.leader().filter(|leader| *leader != self.node.id().vm);
            for report in self.held.drain(..) {
                drop(report.reply.send(LeaderReply::NotLeader { leader }));
            }
            return;
        }
        let Some(office) = &mut self.office else { return };
        let state = &self.state;
        // While a round of placement is being committed, a report may get its orders with the answer.
        let planning = office.planning;
        let is_due = |dispatcher: &Dispatcher, report: &WaitingReport| {
            let over = report.hold_until <= now && (!planning || report.hold_until + PLACEMENT_WAIT <= now);
            over || dispatcher.has_orders(state, &report.worker)
        };
        let due: Vec<WaitingReport> = self.held.extract_if(.., |report| is_due(&office.dispatcher, report)).collect();
        self.held_until = self.held.iter().map(|report| report.hold_until).min().unwrap_or(MonotonicTime::NEVER);
        if self.held_until <= now {
            self.held_until = now + PLACEMENT_WAIT;
        }
        for report in due {
            let answer = office.dispatcher.answer(state, &report.worker, report.sequence);
            log_orders(&report.worker, &answer);
            self.metrics.answered(&answer);
            drop(report.reply.send(LeaderReply::Report(Box::new(answer))));
        }
    }

    fn upkeep(&mut self, now: MonotonicTime) {
        let leads = self.leads(now);
        let Some(office) = self.office.as_mut().filter(|office| leads && office.next_upkeep <= now) else { return };
        office.next_upkeep = now + UPKEEP_INTERVAL;
        let mut commands = Vec::new();
        if !office.expiring {
            commands = office.dispatcher.expire(now, &self.state);
            self.metrics.leases_expired(commands.len());
            commands.extend(office.forget(&self.state, now, self.settings.retention));
            office.expiring = !commands.is_empty();
        }
        if !commands.is_empty() {
            self.propose(commands, Waiter::Upkeep);
        }
        self.change_members(now);
    }

    fn change_members(&mut self, now: MonotonicTime) {
        if self.node.is_changing_membership() {
            return;
        }
        let status = self.node.status();
        let views = status.peers.iter().map(|peer| MemberView {
            vm: peer.id.vm,
            zone: self.zones.get(&peer.id.vm).cloned(),
            role: peer.role,
            silent: Duration::from_millis(peer.silent_ms),
            lag: peer.lag,
        });
        let views: Vec<MemberView> = views.collect();
        let own = (status.id.vm, self.settings.zone.clone());
        if let Some(change) = members::choose_change(&own, &views, self.settings.voters) {
            info!("event=membership_change change={change:?}");
            let proposal = self.next_proposal;
            self.next_proposal = proposal.next();
            self.step(now, ConsensusEvent::ChangeMembership { proposal, change });
        }
    }

    fn propose(&mut self, commands: Vec<BatchCommand>, waiter: Waiter) {
        self.queued.push(QueuedCommands { commands, waiter });
    }

    /// Puts the commands that wait into one entry, unless enough entries are on their way.
    fn propose_queued(&mut self, now: MonotonicTime) {
        while !self.queued.is_empty() && self.placed.len() + self.open.len() < ENTRY_WINDOW {
            let mut commands = Vec::new();
            let mut waiters = EntryWaiters::new();
            let mut taken = 0;
            for queued in &self.queued {
                if taken > 0 && commands.len() + queued.commands.len() > ENTRY_COMMANDS {
                    break;
                }
                commands.extend_from_slice(&queued.commands);
                taken += 1;
                // A configuration may fill an entry by itself.
                if queued.commands.iter().any(|command| matches!(command, BatchCommand::Configure(_))) {
                    break;
                }
            }
            for queued in self.queued.drain(..taken) {
                waiters.push((queued.waiter, queued.commands.len()));
            }
            let proposal = self.next_proposal;
            self.next_proposal = proposal.next();
            self.open.insert(proposal, waiters);
            self.step(now, ConsensusEvent::Propose { proposal, payload: encode_commands(&commands) });
        }
    }
}

/// The log.
impl ReplicaCore {
    fn step(&mut self, now: MonotonicTime, event: ConsensusEvent) {
        let mut actions: VecDeque<ConsensusAction> = self.node.step(now, event).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.carry_out(now, action));
        }
    }

    fn carry_out(&mut self, now: MonotonicTime, action: ConsensusAction) -> Vec<ConsensusAction> {
        match action {
            ConsensusAction::Send { to, message } => self.send(to, message),
            ConsensusAction::Persist { ticket, write } => self.outputs.push(CoreOutput::Persist { ticket, write }),
            ConsensusAction::Apply { entry } => self.apply(now, &entry),
            ConsensusAction::InstallSnapshot { index, payload } => match BatchState::decode(&payload) {
                Ok(state) => {
                    info!("event=snapshot_installed index={index} bytes={}", payload.len());
                    self.state = state;
                }
                Err(cause) => fail(&format!("snapshot at index {index}: {cause}")),
            },
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.state.encode();
                info!("event=snapshot_taken index={index} bytes={}", payload.len());
                return self.node.step(now, ConsensusEvent::SnapshotTaken { index, payload });
            }
            ConsensusAction::Accepted { proposal, index, term } => {
                if let Some(waiters) = self.open.remove(&proposal) {
                    self.placed.push_back(PlacedProposal { index, term, waiters });
                }
            }
            ConsensusAction::Refused { proposal, reason, leader } => {
                let reply = if reason.is_outcome_unknown() {
                    LeaderReply::Uncertain
                } else {
                    LeaderReply::NotLeader { leader: leader.map(|leader| leader.vm) }
                };
                for (waiter, _) in self.open.remove(&proposal).unwrap_or_default() {
                    self.give_up(waiter, reply.clone());
                }
            }
            ConsensusAction::RoleChanged { role, term, leader } => self.change_role(role, term, leader),
        }
        Vec::new()
    }

    fn send(&mut self, to: ReplicaId, message: ConsensusMessage) {
        let message = LogMessage { from: self.node.id(), to, message };
        self.outputs.push(CoreOutput::Send { to: to.vm, message });
    }

    fn change_role(&mut self, role: ReplicaRole, term: LogTerm, leader: Option<ReplicaId>) {
        let shown = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
        info!("event=role_changed role={role} term={term} leader={shown}");
        if role == ReplicaRole::Leader {
            return;
        }
        if self.office.take().is_some() {
            info!("event=leadership_ended term={term}");
        }
        let leader = leader.map(|leader| leader.vm);
        for held in std::mem::take(&mut self.held) {
            drop(held.reply.send(LeaderReply::NotLeader { leader }));
        }
        for queued in std::mem::take(&mut self.queued) {
            self.give_up(queued.waiter, LeaderReply::NotLeader { leader });
        }
        // What is in the log and not committed may still be committed by the next leader.
        for proposal in std::mem::take(&mut self.placed) {
            for (waiter, _) in proposal.waiters {
                self.give_up(waiter, LeaderReply::Uncertain);
            }
        }
    }

    fn give_up(&mut self, waiter: Waiter, answer: LeaderReply) {
        match waiter {
            Waiter::Reply(reply) => drop(reply.send(answer)),
            Waiter::Report(report) => drop(report.reply.send(LeaderReply::NotLeader { leader: None })),
            Waiter::Plan => {
                if let Some(office) = &mut self.office {
                    office.planning = false;
                    office.plan_due = true;
                }
            }
            Waiter::Upkeep => {
                if let Some(office) = &mut self.office {
                    office.expiring = false;
                }
            }
        }
    }

    fn apply(&mut self, now: MonotonicTime, entry: &LogEntry) {
        let mut replies = Vec::new();
        if let EntryPayload::Command(payload) = &entry.payload {
            match decode_commands(payload) {
                Ok(commands) => {
                    replies.extend(commands.iter().map(|command| self.state.apply(command)));
                }
                Err(cause) => fail(&format!("entry at index {}: {cause}", entry.index)),
            }
        }
        let ended = self.state.take_newly_ended();
        if self.office.is_some() {
            for (job, status) in ended {
                let failures = self.state.job(job).map_or(0, parsleywalk_batch::JobRecord::failures);
                self.metrics.job_ended(status);
                info!("event=job_ended job={job} status={status:?} failed_runs={failures} index={}", entry.index);
            }
        }
        self.held_changed = true;
        self.take_office(now, entry.term);
        if let Some(office) = &mut self.office {
            office.plan_due = true;
        }
        while self.placed.front().is_some_and(|proposal| proposal.index <= entry.index) {
            let Some(proposal) = self.placed.pop_front() else { break };
            let committed = proposal.index == entry.index && proposal.term == entry.term;
            let mut position = 0;
            for (waiter, commands) in proposal.waiters {
                position += commands;
                if committed {
                    let reply = replies.get(position.wrapping_sub(1)).copied();
                    self.finish(waiter, reply.unwrap_or(BatchReply::Done));
                } else {
                    self.give_up(waiter, LeaderReply::Uncertain);
                }
            }
        }
    }

    fn take_office(&mut self, now: MonotonicTime, term: LogTerm) {
        if self.office.is_some() || self.node.role() != ReplicaRole::Leader || term != self.node.term() {
            return;
        }
        self.metrics.election_won();
        info!("event=office_taken term={term} jobs={}", self.state.active_count());
        self.office = Some(LeaderOffice::new(self.settings.dispatch.clone(), FencingToken::new(term.get()), now));
    }

    fn finish(&mut self, waiter: Waiter, reply: BatchReply) {
        match waiter {
            Waiter::Reply(sender) => {
                let answer = match reply {
                    BatchReply::Done => LeaderReply::Done,
                    BatchReply::NoJob => LeaderReply::NoJob,
                };
                drop(sender.send(answer));
            }
            Waiter::Report(report) => {
                self.held_until = self.held_until.min(report.hold_until);
                self.held.push(report);
            }
            Waiter::Plan => {
                if let Some(office) = &mut self.office {
                    office.planning = false;
                }
            }
            Waiter::Upkeep => {
                if let Some(office) = &mut self.office {
                    office.expiring = false;
                }
            }
        }
    }
}

/// Ends the process: going on with a state that differs from the log's could break a guarantee.
fn fail(reason: &str) {
    error!("event=log_not_decodable error={reason:?}");
    std::process::exit(CORRUPT_EXIT);
}
