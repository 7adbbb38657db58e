//! Elections and roles.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;
use rand::RngExt;

use super::{ConsensusNode, DeferredStep};
use crate::{ConsensusAction, ConsensusMessage, LogIndex, LogTerm, ProposalRefusal, ReplicaId, ReplicaRole};

impl ConsensusNode {
    pub(super) fn reset_election(&mut self) {
        let least = self.settings.election_timeout_min.as_micros();
        let most = self.settings.election_timeout_max.as_micros();
        let micros = self.generator.random_range(least..most);
        self.election_at = self.now + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
    }

    /// Sets the role of a replica that neither leads nor asks for votes.
    pub(super) fn settle_role(&mut self) {
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

    /// Adopts a newer term, or a leader of the same one, and follows.
    pub(super) fn follow(&mut self, term: LogTerm, leader: Option<ReplicaId>) {
        assert!(term >= self.term, "an older term cannot be adopted");
        let newer = term > self.term;
        if self.role == ReplicaRole::Leader {
            assert!(newer, "a term has one leader");
            self.step_down();
        }
        if self.role == ReplicaRole::Candidate {
            self.role = ReplicaRole::Follower;
        }
        self.granted.clear();
        if newer {
            self.enter_term(term, None);
            self.persist_hard_state(Vec::new());
        }
        if leader.is_some() {
            assert!(self.leader.is_none() || self.leader == leader, "a term has one leader");
            self.leader = leader;
        }
        self.settle_role();
    }

    /// Forgets what only held in the previous term.
    pub(super) fn enter_term(&mut self, term: LogTerm, vote: Option<ReplicaId>) {
        self.term = term;
        self.vote = vote;
        self.leader = None;
        self.incoming = None;
        self.verified = self.commit;
        self.commit_heard = None;
    }

    /// Gives up the leadership. Proposals that wait are reported, since only a later leader decides on them.
    pub(super) fn step_down(&mut self) {
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.heartbeat_at = MonotonicTime::NEVER;
        self.peers.clear();
        self.rounds.clear();
        self.uncommitted_bytes = 0;
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let reason = ProposalRefusal::LeadershipLost;
            self.actions.push(ConsensusAction::Refused { proposal, reason, leader: None });
        }
        self.reset_election();
        self.settle_role();
    }

    /// Notes that the leader of the current term was heard from.
    pub(super) fn hear_leader(&mut self) {
        self.withhold_until = self.withhold_until.max(self.now + self.settings.leader_lease);
        self.join_at = self.now + self.settings.election_timeout_min;
        self.reset_election();
    }

    pub(super) fn start_election(&mut self) {
        if self.history.is_voter(self.id) {
            self.ask_for_votes();
        } else {
            self.settle_role();
        }
    }

    fn ask_for_votes(&mut self) {
        self.reset_election();
        self.role = ReplicaRole::Candidate;
        self.leader = None;
        self.granted = vec![self.id];
        let alone = self.history.voters() == [self.id];
        if alone || self.settings.disabled.pre_vote {
            return self.start_term();
        }
        self.asking = true;
        let message = ConsensusMessage::PreVote {
            term: self.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.announce_to_contacts();
    }

    fn start_term(&mut self) {
        self.asking = false;
        self.enter_term(self.term.next(), Some(self.id));
        self.granted.clear();
        self.reset_election();
        self.persist_hard_state(vec![DeferredStep::Campaign { term: self.term }]);
    }

    /// Asks for votes once the own one is synced.
    pub(super) fn campaign(&mut self, term: LogTerm) {
        if self.role != ReplicaRole::Candidate || self.term != term || self.asking {
            return;
        }
        self.granted = vec![self.id];
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
        if !self.history.has_quorum(|voter| self.granted.contains(&voter)) {
            return;
        }
        if self.asking { self.start_term() } else { self.lead() }
    }

    /// Tells whether a leader may still rely on this replica's vote being withheld.
    fn withholds_vote(&self) -> bool {
        if self.settings.disabled.vote_withholding {
            return false;
        }
        self.now < self.withhold_until || (self.role == ReplicaRole::Leader && self.quorum_lease(self.now))
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
            // The sender counts this replica as a voter in a change that this replica does not know of, or knows to be
            // committed. If the change needs its vote, nobody else can lead: it leads the voters that it knows until
            // they hold its log, and then steps down.
            self.ask_for_votes();
        }
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: ReplicaId, term: LogTerm, granted: bool) {
        if !granted && term > self.term {
            return self.follow(term, None);
        }
        if granted && self.role == ReplicaRole::Candidate && self.asking && term == self.term.next() {
            self.grant_from(from);
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
        // A withheld vote leaves the term alone, so that a replica without contact cannot depose a working leader.
        if term > self.term && self.withholds_vote() {
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from) && self.leader.is_none();
        let granted = free && self.is_up_to_date(last_index, last_term);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.reset_election();
            self.persist_hard_state(Vec::new());
        }
        self.send_after_hard_state(from, ConsensusMessage::VoteReply { term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, term: LogTerm, granted: bool) {
        if term > self.term {
            return self.follow(term, None);
        }
        if granted && self.role == ReplicaRole::Candidate && !self.asking && term == self.term {
            self.grant_from(from);
        }
    }

    fn grant_from(&mut self, from: ReplicaId) {
        // The own vote counts once it is synced; replies cannot arrive before.
        if self.history.is_voter(from) && !self.granted.contains(&from) && self.granted.contains(&self.id) {
            self.granted.push(from);
            self.count_votes();
        }
    }
}
