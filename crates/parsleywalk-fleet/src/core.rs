//! State machine of one replica: its log, its state and, while it leads, its management of workers.

mod reports;
mod requests;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use log::{debug, error, info};
use parsleywalk_batch::{
    BatchCommand, BatchReply, BatchState, FencingToken, JobFailures, JobId, JobRecord, SortedMap, WorkspaceUsage,
    decode_commands, encode_commands,
};
use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusNode, EntryPayload, LogEntry, LogTerm, LogWrite,
    ProposalId, ReplicaId, ReplicaRole, WriteTicket,
};
use parsleywalk_peer::DaemonRelease;
use parsleywalk_units::{MonotonicTime, VmNumber, WorkerId, ZoneName};

use crate::held_reports::HeldReports;
use crate::leader_state::LeaderState;
use crate::members::{self, MemberView};
use crate::settings::FleetSettings;
use crate::waiter::{AppendedProposal, EntryWaiters, JobRequest, QueuedCommands, Waiter};
use crate::{FleetMetrics, LeaderReply, LogMessage};

/// The interval between two checks of leases and members.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum interval between two scheduling cycles when nothing else triggers one; also how often scheduled
/// occurrences are checked for being due.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of uncommitted entries: one is synced while the next is sent.
const MAX_ENTRIES_IN_FLIGHT: usize = 2;
/// The maximum number of commands in one entry.
const MAX_ENTRY_COMMANDS: usize = 512;
/// The maximum size of the commands in one entry in bytes, unless a single one is larger; the log refuses an entry of
/// 1 MiB.
const MAX_ENTRY_BYTES: usize = 512 * 1024;
/// The exit code used when the log cannot be decoded.
const CORRUPT_LOG_EXIT_CODE: i32 = 65;

/// An action that the replica requests from its runtime.
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
    /// Present from the first applied entry of this replica's own term until it stops leading.
    leader_state: Option<LeaderState>,
    next_proposal: ProposalId,
    /// Commands for the next entry. Under load an entry batches many, because each entry costs a sync and messages to
    /// every replica.
    queued: Vec<QueuedCommands>,
    /// Proposals without an index in the log yet.
    proposed: SortedMap<ProposalId, EntryWaiters>,
    /// Proposals that are in the log but not yet committed, in the order of their indexes.
    appended: VecDeque<AppendedProposal>,
    /// Reports whose commands are committed and whose responses are held.
    held: HeldReports,
    /// The workers on which runs have been placed since the held reports were last examined.
    placed_workers: Vec<WorkerId>,
    zones: SortedMap<VmNumber, ZoneName>,
    /// The releases of the other replicas, as known when the last configuration with workspaces was received.
    releases: SortedMap<VmNumber, DaemonRelease>,
    outputs: Vec<CoreOutput>,
    metrics: FleetMetrics,
}

impl ReplicaCore {
    pub(crate) fn new(settings: FleetSettings, node: ConsensusNode, metrics: FleetMetrics) -> Self {
        let mut zones = SortedMap::default();
        zones.insert(settings.vm(), settings.zone.clone());
        Self {
            settings,
            node,
            state: BatchState::default(),
            leader_state: None,
            next_proposal: ProposalId::new(1),
            queued: Vec::new(),
            proposed: SortedMap::default(),
            appended: VecDeque::new(),
            held: HeldReports::default(),
            placed_workers: Vec::new(),
            zones,
            releases: SortedMap::default(),
            outputs: Vec::new(),
            metrics,
        }
    }

    /// Returns the actions requested since the last call. The runtime must call it after each method that changes the
    /// state.
    pub(crate) fn take_outputs(&mut self) -> Vec<CoreOutput> {
        std::mem::take(&mut self.outputs)
    }
}

/// Read-only methods.
impl ReplicaCore {
    pub(crate) fn next_deadline(&self) -> MonotonicTime {
        let mut next = self.node.next_deadline();
        if let Some(leader_state) = &self.leader_state {
            next = next.min(leader_state.next_plan).min(leader_state.next_check);
        }
        next.min(self.held.next_deadline() + self.placement_wait())
    }

    pub(crate) fn leader(&self) -> Option<VmNumber> {
        self.node.leader().map(|leader| leader.vm)
    }

    /// Returns the known leader unless it is this replica.
    fn other_leader(&self) -> Option<VmNumber> {
        self.leader().filter(|leader| *leader != self.node.id().vm)
    }

    pub(crate) fn is_leader(&self, now: MonotonicTime) -> bool {
        self.leader_state.is_some() && self.node.has_leader_lease(now)
    }

    /// Returns true if the replica knows a leader, so that it need not search for one.
    pub(crate) fn has_leader(&self) -> bool {
        self.node.leader().is_some()
    }

    /// Returns the active jobs of which runs have failed, that of the newest failure first, with the time since then, or
    /// `None` if this replica does not lead.
    pub(crate) fn failing_jobs(&self, now: MonotonicTime) -> Option<Vec<(JobId, JobFailures, Duration)>> {
        let leader_state = self.leader_state.as_ref().filter(|_| self.is_leader(now))?;
        let jobs = leader_state.dispatcher.failing_jobs().into_iter();
        Some(jobs.map(|(job, failures)| (job, failures.clone(), now.since(failures.last_at))).collect())
    }

    /// Returns what the workspaces use and wait for, or `None` if this replica does not lead.
    pub(crate) fn workspace_usage(&self, now: MonotonicTime) -> Option<Vec<WorkspaceUsage>> {
        let leader_state = self.leader_state.as_ref().filter(|_| self.is_leader(now))?;
        Some(leader_state.dispatcher.workspace_usage(&self.state))
    }

    /// Updates the metrics that describe the state.
    pub(crate) fn record_state_metrics(&self, now: MonotonicTime) {
        self.metrics.record_state(&self.state, crate::clock::unix_ms());
        self.metrics.record_workspaces(self.workspace_usage(now));
    }

    /// Returns the replicas whose releases this one has to know: all others while it leads and no workspaces are active.
    pub(crate) fn replicas_to_query(&self, now: MonotonicTime) -> Vec<VmNumber> {
        let is_needed = self.is_leader(now) && self.state.workspaces().is_none();
        if is_needed { self.other_replicas() } else { Vec::new() }
    }

    /// Returns the VMs of the other replicas that receive the log, while this replica leads.
    fn other_replicas(&self) -> Vec<VmNumber> {
        let status = self.node.status();
        let peers = status.peers.iter().filter(|peer| peer.role != ReplicaRole::Observer).map(|peer| peer.id.vm);
        let members = status.voters.iter().chain(&status.outgoing).map(|voter| voter.vm);
        let mut replicas: Vec<VmNumber> = peers.chain(members).filter(|vm| *vm != status.id.vm).collect();
        replicas.sort_unstable();
        replicas.dedup();
        replicas
    }

    fn locate_reply(&self) -> LeaderReply {
        LeaderReply::Located {
            leader: self.leader(),
            term: self.node.term(),
            members: self.node.voters().iter().map(|voter| voter.vm).collect(),
        }
    }
}

/// Methods that change the state.
impl ReplicaCore {
    pub(crate) fn add_contact_point(&mut self, vm: VmNumber) {
        self.node.add_contact_point(vm);
    }

    /// Records the releases of the other replicas.
    pub(crate) fn record_releases(&mut self, release: impl Fn(VmNumber) -> Option<DaemonRelease>) {
        self.releases = SortedMap::default();
        for vm in self.other_replicas() {
            if let Some(release) = release(vm) {
                self.releases.insert(vm, release);
            }
        }
    }

    pub(crate) fn handle_message(&mut self, now: MonotonicTime, vm: VmNumber, zone: ZoneName, message: LogMessage) {
        self.zones.insert(vm, zone);
        let own = self.node.id();
        // A message for an earlier incarnation of this VM must not reach the current one.
        if message.from.vm == vm && (message.to == own || message.to == ReplicaId::any(own.vm)) {
            self.step(now, ConsensusEvent::Receive { from: message.from, message: message.message });
        }
        self.advance(now);
    }

    pub(crate) fn handle_persisted(&mut self, now: MonotonicTime, tickets: Vec<WriteTicket>) {
        if let Some(ticket) = tickets.into_iter().max() {
            self.step(now, ConsensusEvent::Persisted { ticket });
        }
        self.advance(now);
    }

    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        if self.node.next_deadline() <= now {
            self.step(now, ConsensusEvent::Tick);
        }
        self.run_maintenance(now);
        if let Some(leader_state) = &mut self.leader_state
            && leader_state.next_plan <= now
        {
            leader_state.next_plan = now + MAX_PLAN_INTERVAL;
            leader_state.plan_due = true;
        }
        self.advance(now);
    }

    /// Runs a scheduling cycle, proposes queued commands and answers held reports, each if it is due.
    fn advance(&mut self, now: MonotonicTime) {
        self.plan(now);
        self.propose_queued(now);
        self.answer_held(now);
    }

    fn plan(&mut self, now: MonotonicTime) {
        if !self.is_leader(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        if !leader_state.plan_due || leader_state.placement_pending {
            return;
        }
        let earliest = leader_state.pacer.earliest();
        if now < earliest {
            leader_state.next_plan = leader_state.next_plan.min(earliest);
            return;
        }
        leader_state.plan_due = false;
        let start = Instant::now();
        let runs = leader_state.dispatcher.plan(now, crate::clock::unix_ms(), &self.state);
        leader_state.pacer.record(now, start.elapsed());
        self.metrics.refusals_disproved(leader_state.dispatcher.take_disproved_refusals());
        self.metrics.place_waits_ended(leader_state.dispatcher.take_place_wait_results());
        if runs.is_empty() {
            return;
        }
        leader_state.placement_pending = true;
        debug!("event=runs_placed count={}", runs.len());
        self.propose(vec![BatchCommand::Place { runs }], Waiter::Plan);
    }

    fn run_maintenance(&mut self, now: MonotonicTime) {
        let leads = self.is_leader(now);
        let Some(state) = self.leader_state.as_mut().filter(|state| leads && state.next_check <= now) else { return };
        state.next_check = now + CHECK_INTERVAL;
        let mut commands = Vec::new();
        if !state.maintenance_pending {
            commands = state.dispatcher.expire_leases(now, &self.state);
            let losses = commands.iter().filter(|command| matches!(command, BatchCommand::Lose { .. }));
            self.metrics.leases_expired(losses.count());
            commands.extend(state.forget_command(&self.state, now, self.settings.retention));
            state.maintenance_pending = !commands.is_empty();
        }
        if !commands.is_empty() {
            self.propose(commands, Waiter::Maintenance);
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
            since_contact: Duration::from_millis(peer.silent_ms),
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
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.begin_request(&waiter);
        }
        self.queued.push(QueuedCommands { commands, waiter });
    }

    /// Proposes queued commands in as few entries as possible, up to the number of entries allowed in flight.
    fn propose_queued(&mut self, now: MonotonicTime) {
        while !self.queued.is_empty() && self.appended.len() + self.proposed.len() < MAX_ENTRIES_IN_FLIGHT {
            let mut commands = Vec::new();
            let mut waiters = EntryWaiters::new();
            let (mut taken, mut bytes) = (0, 0);
            for queued in &self.queued {
                bytes += queued.commands.iter().map(BatchCommand::size_hint).sum::<usize>();
                let is_full = commands.len() + queued.commands.len() > MAX_ENTRY_COMMANDS || bytes > MAX_ENTRY_BYTES;
                if taken > 0 && is_full {
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
            self.proposed.insert(proposal, waiters);
            self.step(now, ConsensusEvent::Propose { proposal, payload: encode_commands(&commands) });
        }
    }
}

/// Log and consensus.
impl ReplicaCore {
    fn step(&mut self, now: MonotonicTime, event: ConsensusEvent) {
        let mut actions: VecDeque<ConsensusAction> = self.node.step(now, event).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.execute(now, action));
        }
    }

    fn execute(&mut self, now: MonotonicTime, action: ConsensusAction) -> Vec<ConsensusAction> {
        match action {
            ConsensusAction::Send { to, message } => self.send(to, message),
            ConsensusAction::Persist { ticket, write } => self.outputs.push(CoreOutput::Persist { ticket, write }),
            ConsensusAction::Apply { entry } => self.apply(now, &entry),
            ConsensusAction::InstallSnapshot { index, payload } => match BatchState::decode(&payload) {
                Ok(state) => {
                    info!("event=snapshot_installed index={index} bytes={}", payload.len());
                    self.state = state;
                }
                Err(cause) => exit_on_corrupt_log(&format!("snapshot at index {index}: {cause}")),
            },
            ConsensusAction::TakeSnapshot { index } => {
                let payload = self.state.encode();
                info!("event=snapshot_taken index={index} bytes={}", payload.len());
                return self.node.step(now, ConsensusEvent::SnapshotTaken { index, payload });
            }
            ConsensusAction::Accepted { proposal, index, term } => {
                if let Some(waiters) = self.proposed.remove(&proposal) {
                    self.appended.push_back(AppendedProposal { index, term, waiters });
                }
            }
            ConsensusAction::Refused { proposal, reason, leader } => {
                let reply = if reason.is_outcome_unknown() {
                    LeaderReply::Uncertain
                } else {
                    LeaderReply::NotLeader { leader: leader.map(|leader| leader.vm) }
                };
                for (waiter, _) in self.proposed.remove(&proposal).unwrap_or_default() {
                    self.abandon(waiter, reply.clone());
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
        let leader_text = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
        info!("event=role_changed role={role} term={term} leader={leader_text}");
        if role == ReplicaRole::Leader {
            return;
        }
        if self.leader_state.take().is_some() {
            info!("event=leadership_ended term={term}");
        }
        let leader = leader.map(|leader| leader.vm);
        for held in self.held.take_all() {
            held.sender.send(LeaderReply::NotLeader { leader });
        }
        for queued in std::mem::take(&mut self.queued) {
            self.abandon(queued.waiter, LeaderReply::NotLeader { leader });
        }
        // An entry that is in the log but not committed may still be committed by the next leader.
        for proposal in std::mem::take(&mut self.appended) {
            for (waiter, _) in proposal.waiters {
                self.abandon(waiter, LeaderReply::Uncertain);
            }
        }
    }

    /// Releases a waiter whose commands were not committed or may not have been.
    fn abandon(&mut self, waiter: Waiter, reply: LeaderReply) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.end_request(&waiter);
        }
        match waiter {
            Waiter::Reply(sender) | Waiter::Configure(sender, _) => sender.send(reply),
            Waiter::Submit(request) | Waiter::Cancel(request) => request.sender.send(reply),
            Waiter::Report(report) => report.sender.send(LeaderReply::NotLeader { leader: None }),
            Waiter::Plan => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.placement_pending = false;
                    leader_state.plan_due = true;
                }
            }
            Waiter::Maintenance => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.maintenance_pending = false;
                    leader_state.dispatcher.withdraw_losses();
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
                    if self.leader_state.is_some() {
                        self.placed_workers.extend(commands.iter().flat_map(placed_workers).cloned());
                    }
                }
                Err(cause) => exit_on_corrupt_log(&format!("entry at index {}: {cause}", entry.index)),
            }
        }
        let ended = self.state.take_newly_ended();
        if self.leader_state.is_some() {
            for (job, status) in ended {
                if self.state.job(job).is_some_and(JobRecord::is_tombstone) {
                    continue;
                }
                let failures = self.state.job(job).map_or(0, JobRecord::failures);
                self.metrics.job_ended(status);
                info!("event=job_ended job={job} status={status:?} failed_runs={failures} index={}", entry.index);
            }
        }
        self.begin_term(now, entry.term);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.plan_due = true;
        }
        while self.appended.front().is_some_and(|proposal| proposal.index <= entry.index) {
            let Some(proposal) = self.appended.pop_front() else { break };
            let committed = proposal.index == entry.index && proposal.term == entry.term;
            let mut commands_seen = 0;
            for (waiter, commands) in proposal.waiters {
                commands_seen += commands;
                if committed {
                    let reply = replies.get(commands_seen.wrapping_sub(1)).copied();
                    self.complete(now, waiter, reply.unwrap_or(BatchReply::Done));
                } else {
                    self.abandon(waiter, LeaderReply::Uncertain);
                }
            }
        }
    }

    /// Creates the leader state once an entry of this replica's own term is applied.
    fn begin_term(&mut self, now: MonotonicTime, term: LogTerm) {
        if self.leader_state.is_some() || self.node.role() != ReplicaRole::Leader || term != self.node.term() {
            return;
        }
        self.metrics.election_won();
        info!("event=office_taken term={term} jobs={}", self.state.active_count());
        self.leader_state = Some(LeaderState::new(self.settings.dispatch.clone(), FencingToken::new(term.get()), now));
    }

    fn complete(&mut self, now: MonotonicTime, waiter: Waiter, reply: BatchReply) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.end_request(&waiter);
        }
        match waiter {
            Waiter::Configure(sender, version) => {
                let active = self.state.configuration().map(|configuration| configuration.version);
                sender.send(if active >= Some(version) { LeaderReply::Done } else { LeaderReply::NotReady });
            }
            Waiter::Reply(sender) => {
                let reply = match reply {
                    BatchReply::Done => LeaderReply::Done,
                    BatchReply::NoJob => LeaderReply::NoJob,
                };
                sender.send(reply);
            }
            Waiter::Submit(JobRequest { job, owner, sender }) => {
                // Another workspace's job with the same id may have been committed first.
                let stored = self.state.job(job).and_then(|record| record.workspace.as_ref());
                let is_foreign = self.state.workspaces().is_some() && stored.is_some() && stored != owner.as_ref();
                sender.send(if is_foreign { LeaderReply::Forbidden } else { LeaderReply::Done });
            }
            Waiter::Cancel(JobRequest { job, sender, .. }) => {
                let is_known = self.state.job(job).is_some_and(|record| !record.is_tombstone());
                sender.send(if is_known { LeaderReply::Done } else { LeaderReply::NoJob });
            }
            Waiter::Report(report) => self.hold(now, report),
            Waiter::Plan => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.placement_pending = false;
                }
            }
            Waiter::Maintenance => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.maintenance_pending = false;
                }
            }
        }
    }
}

/// Returns the workers on which a command places runs.
fn placed_workers(command: &BatchCommand) -> impl Iterator<Item = &WorkerId> {
    let runs = if let BatchCommand::Place { runs } = command { runs.as_slice() } else { &[] };
    runs.iter().map(|placement| &placement.worker)
}

/// Ends the process. A replica whose state differs from the log must not continue, because it could break the
/// guarantees.
fn exit_on_corrupt_log(reason: &str) {
    error!("event=log_not_decodable error={reason:?}");
    std::process::exit(CORRUPT_LOG_EXIT_CODE);
}
