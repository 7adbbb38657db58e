//! The state machine of one replica or observer.

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

/// What waits for a write to be synced.
#[derive(Debug)]
enum DeferredStep {
    Send {
        to: ReplicaId,
        message: ConsensusMessage,
    },
    /// Counts the leader's own entries.
    CountOwn {
        term: LogTerm,
        index: LogIndex,
    },
    /// Counts the own vote and asks for others.
    Campaign {
        term: LogTerm,
    },
}

/// A write that has not been reported as synced.
#[derive(Debug)]
struct PendingWrite {
    ticket: WriteTicket,
    sets_hard_state: bool,
    steps: Vec<DeferredStep>,
}

/// A snapshot that is being received.
#[derive(Debug)]
struct IncomingSnapshot {
    index: LogIndex,
    term: LogTerm,
    payload: Vec<u8>,
}

/// One replica or observer of the log.
///
/// It does no I/O: [`step`](Self::step) takes one event and returns what to do, in order.
#[derive(Debug)]
pub struct ConsensusNode {
    settings: ConsensusSettings,
    id: ReplicaId,
    generator: Pcg32,
    now: MonotonicTime,
    role: ReplicaRole,
    leader: Option<ReplicaId>,
    term: LogTerm,
    vote: Option<ReplicaId>,
    log: LogWindow,
    history: MembershipHistory,
    /// The last entry that the snapshot on disk holds.
    snapshot_index: LogIndex,
    /// A snapshot just taken, kept for the peers that need one until the step ends. The state is in memory already, so
    /// that another is asked for when it is needed instead of holding this one.
    offered: Option<LogSnapshot>,
    commit: LogIndex,
    applied: LogIndex,
    /// Votes are withheld until then.
    withhold_until: MonotonicTime,
    election_at: MonotonicTime,
    /// When a leader that held its lease last named the committed index in this term.
    commit_heard: Option<MonotonicTime>,
    /// The committed index that the leader last reported.
    leader_commit: LogIndex,
    /// The last index up to which the log is known to equal that of the current term's leader.
    verified: LogIndex,
    join_at: MonotonicTime,
    contact_points: Vec<VmNumber>,
    bootstrap_vms: Vec<VmNumber>,
    /// Empty folders that announced themselves to a founder.
    joiners: BTreeMap<VmNumber, (ReplicaId, MonotonicTime)>,
    /// Candidates: whether votes are only being asked about, and who granted.
    asking: bool,
    granted: Vec<ReplicaId>,
    /// Leaders: when the term's leadership began, its first entry and what is known of the others.
    led_since: MonotonicTime,
    first_own: LogIndex,
    own_matched: LogIndex,
    peers: Vec<PeerProgress>,
    round: u64,
    rounds: VecDeque<(u64, MonotonicTime)>,
    heartbeat_at: MonotonicTime,
    uncommitted_bytes: usize,
    proposals: VecDeque<(LogIndex, ProposalId)>,
    incoming: Option<IncomingSnapshot>,
    snapshot_asked: Option<LogIndex>,
    /// The applied entries after which the next snapshot is asked for.
    snapshot_due: u64,
    next_ticket: WriteTicket,
    pending: VecDeque<PendingWrite>,
    announced: Option<(ReplicaRole, LogTerm, Option<ReplicaId>)>,
    actions: Vec<ConsensusAction>,
}

/// Commands.
impl ConsensusNode {
    /// Handles one event and returns what to do, in order.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the log is violated, such as a committed entry that would be overwritten.
    pub fn step(&mut self, now: MonotonicTime, event: ConsensusEvent) -> Vec<ConsensusAction> {
        self.now = self.now.max(now);
        let before = (self.term, self.commit, self.applied);
        // A leader that was frozen finds out before it handles anything that had been queued meanwhile.
        self.check_quorum();
        match event {
            ConsensusEvent::Tick => {}
            ConsensusEvent::Receive { from, message } => self.receive(from, message),
            ConsensusEvent::Persisted { ticket } => self.persisted(ticket),
            ConsensusEvent::Propose { proposal, payload } => self.propose(proposal, payload),
            ConsensusEvent::ChangeMembership { proposal, change } => self.change_membership(proposal, change),
            ConsensusEvent::SnapshotTaken { index, payload } => self.snapshot_taken(index, payload),
        }
        self.run_timers();
        self.apply_committed();
        self.send_entries();
        self.offered = None;
        self.announce_role();
        assert!(self.term >= before.0, "the term must not decrease");
        assert!(self.commit >= before.1, "the committed index must not decrease");
        assert!(self.applied >= before.2 && self.applied <= self.commit, "entries are applied once and when committed");
        assert!(self.commit <= self.log.last_index(), "committed entries must be present");
        mem::take(&mut self.actions)
    }

    fn receive(&mut self, from: ReplicaId, message: ConsensusMessage) {
        if from == self.id {
            return;
        }
        let now = self.now;
        if let Some(peer) = self.peer(from) {
            peer.heard = now;
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
                if self.now >= self.heartbeat_at {
                    self.send_heartbeats();
                }
                self.expire_peers();
                self.replace_lost_replicas();
            }
            ReplicaRole::Follower | ReplicaRole::Candidate => {
                if self.now >= self.election_at {
                    self.start_election();
                }
            }
            ReplicaRole::Learner | ReplicaRole::Observer => {
                if self.now >= self.join_at {
                    self.send_join();
                }
            }
        }
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let entry = self.log.get(index).expect("committed entries are kept until they are applied").clone();
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
            self.ask_for_snapshot();
        }
    }

    fn announce_role(&mut self) {
        let current = (self.role, self.term, self.leader);
        if self.announced != Some(current) {
            self.announced = Some(current);
            self.actions.push(ConsensusAction::RoleChanged { role: self.role, term: self.term, leader: self.leader });
        }
    }

    fn send(&mut self, to: ReplicaId, message: ConsensusMessage) {
        self.actions.push(ConsensusAction::Send { to, message });
    }

    /// Hands a write over and lets the steps wait for it.
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
        self.pending.push_back(PendingWrite { ticket, sets_hard_state, steps });
        self.run_steps(ready);
    }

    fn persist_hard_state(&mut self, steps: Vec<DeferredStep>) {
        let write = LogWrite { hard_state: Some(self.hard_state()), ..LogWrite::default() };
        self.persist(write, steps);
    }

    fn hard_state(&self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.commit }
    }

    /// Sends once every write handed over so far is synced.
    fn send_after_writes(&mut self, to: ReplicaId, message: ConsensusMessage) {
        match self.pending.back_mut() {
            Some(write) if !self.settings.disabled.persist_wait => write.steps.push(DeferredStep::Send { to, message }),
            _ => self.send(to, message),
        }
    }

    /// Sends once the term that the message carries is synced.
    fn send_after_hard_state(&mut self, to: ReplicaId, message: ConsensusMessage) {
        match self.pending.iter_mut().rev().find(|write| write.sets_hard_state) {
            Some(write) if !self.settings.disabled.persist_wait => write.steps.push(DeferredStep::Send { to, message }),
            _ => self.send(to, message),
        }
    }

    fn persisted(&mut self, ticket: WriteTicket) {
        assert!(ticket < self.next_ticket, "only writes that were handed over can be synced");
        while self.pending.front().is_some_and(|write| write.ticket <= ticket) {
            if let Some(write) = self.pending.pop_front() {
                self.run_steps(write.steps);
            }
        }
    }

    fn run_steps(&mut self, steps: Vec<DeferredStep>) {
        for step in steps {
            match step {
                DeferredStep::Send { to, message } => self.send(to, message),
                DeferredStep::CountOwn { term, index } => self.count_own(term, index),
                DeferredStep::Campaign { term } => self.campaign(term),
            }
        }
    }

    fn peer(&mut self, id: ReplicaId) -> Option<&mut PeerProgress> {
        let position = self.peers.binary_search_by_key(&id, |peer| peer.id).ok()?;
        self.peers.get_mut(position)
    }
}
