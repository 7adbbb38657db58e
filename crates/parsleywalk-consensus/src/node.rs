//! The consensus state machine of a replica or observer.

mod election;
mod follower;
mod leader;
mod membership;
mod open;
mod query;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};
use std::mem;

use parsleywalk_units::{MonotonicTime, VmNumber};
use rand_pcg::Pcg32;

use crate::history::MembershipHistory;
use crate::progress::PeerProgress;
use crate::window::LogWindow;
use crate::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusSettings, HardState, LogIndex, LogSnapshot, LogTerm,
    LogWrite, ProposalId, ReplicaId, ReplicaRole, WriteTicket,
};

/// A step that runs once a write is synced.
#[derive(Debug)]
enum DeferredStep {
    Send {
        to: ReplicaId,
        message: ConsensusMessage,
    },
    /// Counts the leader's own copy of its entries.
    RecordOwnSync {
        term: LogTerm,
        index: LogIndex,
    },
    /// Counts the candidate's vote for itself and requests the votes of others.
    RequestVotes {
        term: LogTerm,
    },
}

/// A write that is not reported as synced yet.
#[derive(Debug)]
struct PendingWrite {
    ticket: WriteTicket,
    sets_hard_state: bool,
    steps: Vec<DeferredStep>,
}

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
struct IncomingSnapshot {
    index: LogIndex,
    term: LogTerm,
    payload: Vec<u8>,
}

/// A replica or observer of the replicated log.
///
/// The node does no I/O: [`step`](Self::step) takes one event and returns the actions to execute in order.
#[derive(Debug)]
pub struct ConsensusNode {
    settings: ConsensusSettings,
    id: ReplicaId,
    rng: Pcg32,
    now: MonotonicTime,
    role: ReplicaRole,
    leader: Option<ReplicaId>,
    term: LogTerm,
    vote: Option<ReplicaId>,
    log: LogWindow,
    history: MembershipHistory,
    /// The last entry that the snapshot on disk covers.
    snapshot_index: LogIndex,
    /// The snapshot taken in the current step, for peers that need one. It is dropped when the step ends, since the
    /// state itself is in memory and a new snapshot can be requested when it is needed.
    recent_snapshot: Option<LogSnapshot>,
    commit: LogIndex,
    applied: LogIndex,
    /// The time until which votes are withheld for a leader that may hold its lease.
    withhold_votes_until: MonotonicTime,
    election_deadline: MonotonicTime,
    /// When the current term's leader, holding its lease, last reported its commit index.
    commit_confirmed_at: Option<MonotonicTime>,
    /// The largest commit index that a leader has reported.
    leader_commit: LogIndex,
    /// The last index up to which the log is known to match that of the current term's leader.
    verified_index: LogIndex,
    next_join: MonotonicTime,
    contact_points: Vec<VmNumber>,
    bootstrap_vms: Vec<VmNumber>,
    /// The replicas with empty logs that have announced themselves, with the time of their last announcement.
    bootstrap_peers: BTreeMap<VmNumber, (ReplicaId, MonotonicTime)>,
    /// Candidates only: whether the candidate is in the pre-vote phase.
    pre_voting: bool,
    /// Candidates only: the replicas that granted their vote or pre-vote.
    granted_by: Vec<ReplicaId>,
    /// Leaders only: when the node became the leader.
    leader_since: MonotonicTime,
    /// Leaders only: the first entry of the leader's term.
    term_start_index: LogIndex,
    /// Leaders only: the last of the leader's own entries that is synced.
    synced_index: LogIndex,
    /// Leaders only: the other replicas and observers, sorted by id.
    peers: Vec<PeerProgress>,
    /// The number of the last heartbeat.
    round: u64,
    /// Leaders only: the numbers and sending times of the latest heartbeats.
    sent_heartbeats: VecDeque<(u64, MonotonicTime)>,
    next_heartbeat: MonotonicTime,
    uncommitted_bytes: usize,
    /// Leaders only: the accepted proposals that are not applied yet, in log order.
    proposals: VecDeque<(LogIndex, ProposalId)>,
    incoming: Option<IncomingSnapshot>,
    /// The last entry that the requested snapshot must cover, until that snapshot has been taken.
    requested_snapshot: Option<LogIndex>,
    /// The number of applied entries after which the next snapshot is requested.
    snapshot_threshold: u64,
    next_ticket: WriteTicket,
    pending_writes: VecDeque<PendingWrite>,
    /// The role, term and leader of the last `RoleChanged` action.
    reported_role: Option<(ReplicaRole, LogTerm, Option<ReplicaId>)>,
    actions: Vec<ConsensusAction>,
}

/// Commands.
impl ConsensusNode {
    /// Handles one event and returns the actions to execute in order.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the log is violated, for example if a committed entry would be overwritten.
    pub fn step(&mut self, now: MonotonicTime, event: ConsensusEvent) -> Vec<ConsensusAction> {
        self.now = self.now.max(now);
        let before = (self.term, self.commit, self.applied);
        // A leader whose process was suspended must step down before it handles events that queued up meanwhile.
        self.check_quorum();
        match event {
            ConsensusEvent::Tick => {}
            ConsensusEvent::Receive { from, message } => self.receive(from, message),
            ConsensusEvent::Persisted { ticket } => self.on_persisted(ticket),
            ConsensusEvent::Propose { proposal, payload } => self.propose(proposal, payload),
            ConsensusEvent::ChangeMembership { proposal, change } => self.change_membership(proposal, change),
            ConsensusEvent::SnapshotTaken { index, payload } => self.on_snapshot_taken(index, payload),
        }
        self.run_timers();
        self.apply_committed();
        self.send_entries();
        self.recent_snapshot = None;
        self.report_role_change();
        assert!(self.term >= before.0, "the term must not decrease");
        assert!(self.commit >= before.1, "the committed index must not decrease");
        assert!(
            self.applied >= before.2 && self.applied <= self.commit,
            "entries are applied once, after their commit"
        );
        assert!(self.commit <= self.log.last_index(), "committed entries must be present");
        mem::take(&mut self.actions)
    }

    fn receive(&mut self, from: ReplicaId, message: ConsensusMessage) {
        if from == self.id {
            return;
        }
        let now = self.now;
        if let Some(peer) = self.peer(from) {
            peer.last_heard = now;
        }
        match message {
            ConsensusMessage::Heartbeat { term, round, commit, lease } => {
                self.on_heartbeat(from, term, round, commit, lease);
            }
            ConsensusMessage::HeartbeatReply { term, round } => self.on_heartbeat_reply(from, term, round),
            ConsensusMessage::PreVote { term, last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term);
            }
            ConsensusMessage::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            ConsensusMessage::Vote { term, last_index, last_term } => self.on_vote(from, term, last_index, last_term),
            ConsensusMessage::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            append @ ConsensusMessage::Append { .. } => self.on_append(from, append),
            ConsensusMessage::Appended { term, matched } => self.on_appended(from, term, matched),
            ConsensusMessage::Mismatch { term, refused, hint } => self.on_mismatch(from, term, refused, hint),
            chunk @ ConsensusMessage::SnapshotChunk { .. } => self.on_snapshot_chunk(from, chunk),
            ConsensusMessage::SnapshotWanted { term, index, offset } => {
                self.on_snapshot_wanted(from, term, index, offset);
            }
            ConsensusMessage::Join { observer, empty, last_index } => self.on_join(from, observer, empty, last_index),
        }
    }

    fn run_timers(&mut self) {
        match self.role {
            ReplicaRole::Leader => {
                if self.now >= self.next_heartbeat {
                    self.send_heartbeats();
                }
                self.expire_peers();
                self.replace_lost_replicas();
            }
            ReplicaRole::Follower | ReplicaRole::Candidate => {
                if self.now >= self.election_deadline {
                    self.start_election();
                }
            }
            ReplicaRole::Learner | ReplicaRole::Observer => {
                if self.now >= self.next_join {
                    self.send_join();
                }
            }
        }
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let entry = self.log.get(index).expect("committed entries stay in the log until they are applied").clone();
            assert_eq!(entry.index, index, "entries are applied in index order");
            if self.proposals.front().is_some_and(|(first, _)| *first == index) {
                self.proposals.pop_front();
            }
            if self.role == ReplicaRole::Leader {
                self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(entry.size());
            }
            self.applied = index;
            self.actions.push(ConsensusAction::Apply { entry });
        }
        if self.role == ReplicaRole::Observer {
            self.log.trim_to(self.applied);
            self.history.trim_to(self.applied);
        } else {
            self.request_snapshot_if_due();
        }
    }

    fn report_role_change(&mut self) {
        let current = (self.role, self.term, self.leader);
        if self.reported_role != Some(current) {
            self.reported_role = Some(current);
            self.actions.push(ConsensusAction::RoleChanged { role: self.role, term: self.term, leader: self.leader });
        }
    }

    fn send(&mut self, to: ReplicaId, message: ConsensusMessage) {
        self.actions.push(ConsensusAction::Send { to, message });
    }

    /// Issues a write and defers the steps until it is synced. An observer, which has no disk, runs them at once.
    fn persist(&mut self, write: LogWrite, steps: Vec<DeferredStep>) {
        if self.role == ReplicaRole::Observer {
            return self.run_steps(steps);
        }
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        let sets_hard_state = write.hard_state.is_some();
        self.actions.push(ConsensusAction::Persist { ticket, write });
        let waits = !self.settings.disabled.persist_wait;
        let (steps, ready) = if waits { (steps, Vec::new()) } else { (Vec::new(), steps) };
        self.pending_writes.push_back(PendingWrite { ticket, sets_hard_state, steps });
        self.run_steps(ready);
    }

    fn persist_hard_state(&mut self, steps: Vec<DeferredStep>) {
        let write = LogWrite { hard_state: Some(self.hard_state()), ..LogWrite::default() };
        self.persist(write, steps);
    }

    fn hard_state(&self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.commit }
    }

    /// Sends the message once all writes issued so far are synced.
    fn send_after_writes(&mut self, to: ReplicaId, message: ConsensusMessage) {
        match self.pending_writes.back_mut() {
            Some(write) if !self.settings.disabled.persist_wait => write.steps.push(DeferredStep::Send { to, message }),
            _ => self.send(to, message),
        }
    }

    /// Sends the message once the current term and vote are synced.
    fn send_after_hard_state(&mut self, to: ReplicaId, message: ConsensusMessage) {
        match self.pending_writes.iter_mut().rev().find(|write| write.sets_hard_state) {
            Some(write) if !self.settings.disabled.persist_wait => write.steps.push(DeferredStep::Send { to, message }),
            _ => self.send(to, message),
        }
    }

    fn on_persisted(&mut self, ticket: WriteTicket) {
        assert!(ticket < self.next_ticket, "only issued writes can be synced");
        while self.pending_writes.front().is_some_and(|write| write.ticket <= ticket) {
            if let Some(write) = self.pending_writes.pop_front() {
                self.run_steps(write.steps);
            }
        }
    }

    fn run_steps(&mut self, steps: Vec<DeferredStep>) {
        for step in steps {
            match step {
                DeferredStep::Send { to, message } => self.send(to, message),
                DeferredStep::RecordOwnSync { term, index } => self.record_own_sync(term, index),
                DeferredStep::RequestVotes { term } => self.request_votes(term),
            }
        }
    }

    fn peer(&mut self, id: ReplicaId) -> Option<&mut PeerProgress> {
        let peer_index = self.peers.binary_search_by_key(&id, |peer| peer.id).ok()?;
        self.peers.get_mut(peer_index)
    }
}
