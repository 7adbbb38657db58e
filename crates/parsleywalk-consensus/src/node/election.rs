//! Elections, terms and role changes.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;
use rand::RngExt;

use super::{ConsensusNode, DeferredStep};
use crate::{ConsensusAction, ConsensusMessage, LogIndex, LogTerm, ProposalRefusal, ReplicaId, ReplicaRole};

impl ConsensusNode {
    /// Restarts the election timer with a new randomized timeout.
    pub(super) fn reset_election(&mut self) {
        let min = self.settings.election_timeout_min.as_micros();
        let max = self.settings.election_timeout_max.as_micros();
        let micros = self.rng.random_range(min..max);
        self.election_deadline = self.now + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
    }

    /// Switches between follower and learner according to the membership. A leader, an observer and a candidate that is
    /// a voter keep their roles.
    pub(super) fn update_role(&mut self) {
        if matches!(self.role, ReplicaRole::Observer | ReplicaRole::Leader) {
            return;
        }
        let voter = self.history.is_voter(self.id);
        match (self.role, voter) {
            (ReplicaRole::Candidate, true) => {}
            (_, true) => self.role = ReplicaRole::Follower,
            (_, false) => self.role = ReplicaRole::Learner,
        }
    }

    /// Adopts a newer term or the leader of the current term. A leader of an older term and a candidate become
    /// followers.
    pub(super) fn adopt_term(&mut self, term: LogTerm, leader: Option<ReplicaId>) {
        assert!(term >= self.term, "an older term cannot be adopted");
        let newer = term > self.term;
        if self.role == ReplicaRole::Leader {
            assert!(newer, "a term has at most one leader");
            self.step_down();
        }
        if self.role == ReplicaRole::Candidate {
            self.role = ReplicaRole::Follower;
        }
        self.granted_by.clear();
        if newer {
            self.enter_term(term, None);
            self.persist_hard_state(Vec::new());
        }
        if leader.is_some() {
            assert!(self.leader.is_none() || self.leader == leader, "a term has at most one leader");
            self.leader = leader;
        }
        self.update_role();
    }

    /// Enters a new term and resets the state that belongs to the previous one.
    pub(super) fn enter_term(&mut self, term: LogTerm, vote: Option<ReplicaId>) {
        self.term = term;
        self.vote = vote;
        self.leader = None;
        self.incoming = None;
        self.verified_index = self.commit;
        self.commit_confirmed_at = None;
    }

    /// Gives up the leadership. Uncommitted proposals are reported as lost, since a later leader decides their outcome.
    pub(super) fn step_down(&mut self) {
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.next_heartbeat = MonotonicTime::NEVER;
        self.peers.clear();
        self.sent_heartbeats.clear();
        self.uncommitted_bytes = 0;
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let reason = ProposalRefusal::LeadershipLost;
            self.actions.push(ConsensusAction::Refused { proposal, reason, leader: None });
        }
        self.reset_election();
        self.update_role();
    }

    /// Records contact with the leader of the current term.
    pub(super) fn record_leader_contact(&mut self) {
        self.withhold_votes_until = self.withhold_votes_until.max(self.now + self.settings.leader_lease);
        self.next_join = self.now + self.settings.election_timeout_min;
        self.reset_election();
    }

    pub(super) fn start_election(&mut self) {
        if self.history.is_voter(self.id) {
            self.become_candidate();
        } else {
            self.update_role();
        }
    }

    /// Starts a pre-vote, or a new term if this replica is the only voter.
    fn become_candidate(&mut self) {
        self.reset_election();
        self.role = ReplicaRole::Candidate;
        self.leader = None;
        self.granted_by = vec![self.id];
        let only_voter = self.history.voters() == [self.id];
        if only_voter || self.settings.disabled.pre_vote {
            return self.start_term();
        }
        self.pre_voting = true;
        let message = ConsensusMessage::PreVote {
            term: self.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.broadcast_join();
    }

    fn start_term(&mut self) {
        self.pre_voting = false;
        self.enter_term(self.term.next(), Some(self.id));
        self.granted_by.clear();
        self.reset_election();
        self.persist_hard_state(vec![DeferredStep::RequestVotes { term: self.term }]);
    }

    /// Requests votes once this candidate's vote for itself is synced.
    pub(super) fn request_votes(&mut self, term: LogTerm) {
        if self.role != ReplicaRole::Candidate || self.term != term || self.pre_voting {
            return;
        }
        self.granted_by = vec![self.id];
        let message =
            ConsensusMessage::Vote { term, last_index: self.log.last_index(), last_term: self.log.last_term() };
        self.send_to_voters(&message);
        self.count_votes();
    }

    fn send_to_voters(&mut self, message: &ConsensusMessage) {
        for voter in self.history.voters() {
            if voter != self.id {
                self.send(voter, message.clone());
            }
        }
    }

    fn count_votes(&mut self) {
        if !self.history.has_quorum(|voter| self.granted_by.contains(&voter)) {
            return;
        }
        if self.pre_voting { self.start_term() } else { self.become_leader() }
    }

    /// Returns true if a leader may hold a lease that relies on this replica withholding its vote.
    fn withholds_vote(&self) -> bool {
        if self.settings.disabled.vote_withholding {
            return false;
        }
        self.now < self.withhold_votes_until || (self.role == ReplicaRole::Leader && self.holds_quorum_lease(self.now))
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: LogTerm) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(&mut self, from: ReplicaId, term: LogTerm, last_index: LogIndex, last_term: LogTerm) {
        if self.role == ReplicaRole::Observer {
            return;
        }
        let withheld = self.withholds_vote();
        let behind = !self.is_up_to_date(last_index, last_term);
        let granted = term > self.term && !withheld && !behind;
        let reply = ConsensusMessage::PreVoteReply { term: if granted { term } else { self.term }, granted };
        self.send_after_hard_state(from, reply);
        if behind && !withheld && self.role == ReplicaRole::Learner {
            // The sender counts this replica as a voter because of a membership change that this replica does not know
            // of, or knows to be committed. If the sender needs this vote for a majority, no replica with a shorter log
            // can be elected. This replica therefore becomes a candidate among the voters that it knows; as the leader
            // it replicates its log to them and then steps down.
            self.become_candidate();
        }
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: ReplicaId, term: LogTerm, granted: bool) {
        if !granted && term > self.term {
            return self.adopt_term(term, None);
        }
        if granted && self.role == ReplicaRole::Candidate && self.pre_voting && term == self.term.next() {
            self.record_vote(from);
        }
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, term: LogTerm, last_index: LogIndex, last_term: LogTerm) {
        if self.role == ReplicaRole::Observer {
            return;
        }
        if term < self.term {
            let message = ConsensusMessage::VoteReply { term: self.term, granted: false };
            return self.send_after_hard_state(from, message);
        }
        // Requests are ignored while votes are withheld, so that a partitioned replica cannot depose a working leader. That
        // holds for the current term as well, since a newer term can be adopted from other messages meanwhile.
        let repeats_vote = term == self.term && self.vote == Some(from);
        if !repeats_vote && self.withholds_vote() {
            return;
        }
        if term > self.term {
            self.adopt_term(term, None);
        }
        let can_vote = self.vote.is_none_or(|vote| vote == from) && self.leader.is_none();
        let granted = can_vote && self.is_up_to_date(last_index, last_term);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.reset_election();
            self.persist_hard_state(Vec::new());
        }
        self.send_after_hard_state(from, ConsensusMessage::VoteReply { term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, term: LogTerm, granted: bool) {
        if term > self.term {
            return self.adopt_term(term, None);
        }
        if granted && self.role == ReplicaRole::Candidate && !self.pre_voting && term == self.term {
            self.record_vote(from);
        }
    }

    fn record_vote(&mut self, from: ReplicaId) {
        // The candidate's vote for itself is recorded first, once it is synced; the other votes are requested after
        // that.
        if self.history.is_voter(from) && !self.granted_by.contains(&from) && self.granted_by.contains(&self.id) {
            self.granted_by.push(from);
            self.count_votes();
        }
    }
}
