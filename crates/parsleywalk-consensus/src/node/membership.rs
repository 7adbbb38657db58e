//! Voters, learners and observers.

use super::{ConsensusNode, DeferredStep};
use crate::progress::PeerProgress;
use crate::{
    ConsensusMessage, EntryPayload, LogEntry, LogIndex, LogWrite, MembershipChange, ProposalId, ProposalRefusal,
    ReplicaId, ReplicaRole, ReplicaSet,
};
use parsleywalk_units::VmNumber;

/// Commands.
impl ConsensusNode {
    /// Adds a VM that may run a replica, to which a learner or an observer announces itself.
    pub fn add_contact_point(&mut self, vm: VmNumber) {
        if vm != self.id.vm
            && let Err(index) = self.contact_points.binary_search(&vm)
        {
            self.contact_points.insert(index, vm);
        }
    }
}

impl ConsensusNode {
    /// Announces a learner or an observer periodically while it has no contact to a leader. The leader answers with
    /// entries.
    pub(super) fn send_join(&mut self) {
        self.next_join = self.now + self.settings.join_interval;
        self.leader = None;
        self.broadcast_join();
    }

    /// Announces this node to all contact points and voters. A candidate does so as well, since it may have been
    /// removed from the voters while it was disconnected.
    pub(super) fn broadcast_join(&mut self) {
        let mut vms = self.contact_points.clone();
        vms.extend(self.history.voters().iter().map(|voter| voter.vm));
        vms.sort_unstable();
        vms.dedup();
        let message = ConsensusMessage::Join {
            observer: self.role == ReplicaRole::Observer,
            empty: self.log.last_index() == LogIndex::ZERO,
            last_index: self.log.last_index(),
        };
        for vm in vms {
            // The address matches any incarnation on the VM, so a replacement on this VM would receive its own message.
            if vm != self.id.vm {
                self.send(ReplicaId::any(vm), message.clone());
            }
        }
    }

    pub(super) fn on_join(&mut self, from: ReplicaId, observer: bool, empty: bool, last_index: LogIndex) {
        if self.role == ReplicaRole::Leader {
            if self.history.is_voter(from) {
                return;
            }
            let next = last_index.min(self.log.last_index()).next();
            match self.peer(from) {
                Some(peer) => {
                    // The sender restarted or lost contact, so its matching log prefix has to be probed again.
                    peer.matched = LogIndex::ZERO;
                    peer.observer = observer;
                    peer.probe_from(next);
                }
                None => self.track_peer(PeerProgress::new(from, observer, next, self.now)),
            }
        } else if !observer && empty {
            self.bootstrap_peers.insert(from.vm, (from, self.now));
            self.try_bootstrap();
        }
    }

    /// Forms the first membership once all bootstrap VMs have announced empty logs.
    ///
    /// Only the bootstrap VM with the lowest number does so, and it waits for all others. A bootstrap VM whose folder
    /// was emptied and initialised again by mistake therefore cannot form a second membership beside the existing one.
    fn try_bootstrap(&mut self) {
        let is_first = self.bootstrap_vms.iter().min() == Some(&self.id.vm);
        if !is_first || self.log.last_index() > LogIndex::ZERO || self.role != ReplicaRole::Learner {
            return;
        }
        let max_age = self.settings.join_interval * 3;
        let mut members = vec![self.id];
        for vm in self.bootstrap_vms.iter().filter(|vm| **vm != self.id.vm) {
            match self.bootstrap_peers.get(vm) {
                Some((peer, last_heard)) if self.now < *last_heard + max_age => members.push(*peer),
                _ => return,
            }
        }
        self.enter_term(self.term.next(), Some(self.id));
        let payload = EntryPayload::Membership(ReplicaSet::new(members));
        let entry = LogEntry { index: LogIndex::new(1), term: self.term, payload };
        self.append_entry(entry.clone());
        let write = LogWrite { hard_state: Some(self.hard_state()), entries: vec![entry], ..LogWrite::default() };
        // No other replica has the entry, so it must be synced before any other replica learns of it.
        self.role = ReplicaRole::Candidate;
        self.pre_voting = false;
        self.granted_by.clear();
        self.withhold_votes_until = self.now;
        self.reset_election();
        self.persist(write, vec![DeferredStep::RequestVotes { term: self.term }]);
    }

    pub(super) fn change_membership(&mut self, proposal: ProposalId, change: MembershipChange) {
        match self.changed_membership(change) {
            Ok(set) => {
                self.accept(proposal, EntryPayload::Membership(set));
                self.track_voters();
            }
            Err(reason) => self.refuse(proposal, reason),
        }
    }

    fn changed_membership(&self, change: MembershipChange) -> Result<ReplicaSet, ProposalRefusal> {
        if self.role != ReplicaRole::Leader {
            return Err(ProposalRefusal::NotLeader);
        }
        if !self.is_ready() {
            return Err(ProposalRefusal::LeaderNotReady);
        }
        if self.history.is_pending() {
            return Err(ProposalRefusal::ChangePending);
        }
        let mut voters = self.history.newest().voters().to_vec();
        let (removed, added) = match change {
            MembershipChange::Add { vm } => (None, Some(vm)),
            MembershipChange::Replace { old, new } => (Some(old), Some(new)),
            MembershipChange::Remove { vm } => (Some(vm), None),
        };
        if let Some(vm) = removed {
            let before = voters.len();
            voters.retain(|voter| voter.vm != vm);
            if voters.len() == before {
                return Err(ProposalRefusal::InvalidChange);
            }
        }
        if let Some(vm) = added {
            if voters.iter().any(|voter| voter.vm == vm) {
                return Err(ProposalRefusal::InvalidChange);
            }
            voters.push(self.caught_up_learner(vm)?);
        }
        if voters.is_empty() {
            return Err(ProposalRefusal::InvalidChange);
        }
        // A change cannot be undone. Without a responsive majority, nothing could be committed until voters return.
        let set = ReplicaSet::new(voters);
        let reachable =
            |voter| voter == self.id || self.peers.iter().any(|peer| peer.id == voter && self.is_responsive(peer));
        if set.has_quorum(reachable) { Ok(set) } else { Err(ProposalRefusal::TooFewReachable) }
    }

    /// Returns true if a message from the peer has arrived within the shortest election timeout. A peer that can be
    /// reached answers every heartbeat.
    pub(super) fn is_responsive(&self, peer: &PeerProgress) -> bool {
        self.now < peer.last_heard + self.settings.election_timeout_min
    }

    /// Returns the VM's learner with the newest incarnation if it holds everything that is committed.
    fn caught_up_learner(&self, vm: VmNumber) -> Result<ReplicaId, ProposalRefusal> {
        let learners = self.peers.iter().filter(|peer| peer.id.vm == vm && !peer.observer);
        let learner = learners
            .filter(|peer| !self.history.is_voter(peer.id))
            .max_by_key(|peer| peer.id.incarnation)
            .ok_or(ProposalRefusal::LearnerUnknown)?;
        // A learner acknowledges entries only after it has synced them, so they count as soon as it becomes a voter.
        let synced = learner.matched >= self.commit && self.is_responsive(learner);
        if !synced && !self.settings.disabled.learner_sync {
            return Err(ProposalRefusal::LearnerBehind);
        }
        Ok(learner.id)
    }

    /// Replaces an unresponsive voter by a newer incarnation of the same VM. A newer incarnation means that the VM has
    /// lost the older one's disk.
    pub(super) fn replace_lost_replicas(&mut self) {
        if self.history.is_pending() || !self.is_ready() {
            return;
        }
        let lost = self.peers.iter().filter(|peer| !self.is_responsive(peer)).find(|old| {
            let newer = |peer: &PeerProgress| {
                !peer.observer && peer.id.vm == old.id.vm && peer.id.incarnation > old.id.incarnation
            };
            self.history.is_voter(old.id) && self.peers.iter().any(newer)
        });
        let Some(vm) = lost.map(|old| old.id.vm) else { return };
        if let Ok(set) = self.changed_membership(MembershipChange::Replace { old: vm, new: vm }) {
            self.append_as_leader(EntryPayload::Membership(set));
            self.track_voters();
        }
    }

    /// Drops learners and observers that have been unresponsive for `peer_expiry`.
    pub(super) fn expire_peers(&mut self) {
        let (now, expiry) = (self.now, self.settings.peer_expiry);
        let history = &self.history;
        self.peers.retain(|peer| history.is_voter(peer.id) || now < peer.last_heard + expiry);
    }
}
