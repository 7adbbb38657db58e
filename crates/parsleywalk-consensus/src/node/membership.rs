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
    /// Adds a VM that may hold a replica: a learner announces itself there too.
    pub fn add_contact_point(&mut self, vm: VmNumber) {
        if vm != self.id.vm
            && let Err(place) = self.contact_points.binary_search(&vm)
        {
            self.contact_points.insert(place, vm);
        }
    }
}

impl ConsensusNode {
    /// Announces a learner or an observer to every contact; the leader among them answers with entries.
    pub(super) fn send_join(&mut self) {
        self.join_at = self.now + self.settings.join_interval;
        self.leader = None;
        self.announce_to_contacts();
    }

    /// Lets the leader among the contacts know of this replica, which may have been replaced while it was away.
    pub(super) fn announce_to_contacts(&mut self) {
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
            // A replacement on the same VM must not announce itself to itself.
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
                    // The sender has restarted or lost contact: what it holds is found out again.
                    peer.matched = LogIndex::ZERO;
                    peer.observer = observer;
                    peer.probe_from(next);
                }
                None => self.track(PeerProgress::new(from, observer, next, self.now)),
            }
        } else if !observer && empty {
            self.joiners.insert(from.vm, (from, self.now));
            self.found();
        }
    }

    /// Forms the first membership, once every founding VM has announced an empty folder.
    ///
    /// The founding VM with the lowest number waits for all the others, so that a founder whose folder was emptied and
    /// initialised again by mistake cannot form a second set beside the existing one.
    fn found(&mut self) {
        let first = self.bootstrap_vms.iter().min() == Some(&self.id.vm);
        if !first || self.log.last_index() > LogIndex::ZERO || self.role != ReplicaRole::Learner {
            return;
        }
        let recent = self.settings.join_interval * 3;
        let mut members = vec![self.id];
        for vm in self.bootstrap_vms.iter().filter(|vm| **vm != self.id.vm) {
            match self.joiners.get(vm) {
                Some((joiner, heard)) if self.now < *heard + recent => members.push(*joiner),
                _ => return,
            }
        }
        self.enter_term(self.term.next(), Some(self.id));
        let payload = EntryPayload::Membership(ReplicaSet::new(members));
        let entry = LogEntry { index: LogIndex::new(1), term: self.term, payload };
        self.append_entry(entry.clone());
        let write = LogWrite { hard_state: Some(self.hard_state()), entries: vec![entry], ..LogWrite::default() };
        // The entry exists nowhere else, so the others may hear of it only once it is synced.
        self.role = ReplicaRole::Candidate;
        self.asking = false;
        self.granted.clear();
        self.withhold_until = self.now;
        self.reset_election();
        self.persist(write, vec![DeferredStep::Campaign { term: self.term }]);
    }

    pub(super) fn change_membership(&mut self, proposal: ProposalId, change: MembershipChange) {
        match self.changed_set(change) {
            Ok(set) => {
                self.accept(proposal, EntryPayload::Membership(set));
                self.track_voters();
            }
            Err(reason) => self.refuse(proposal, reason),
        }
    }

    fn changed_set(&self, change: MembershipChange) -> Result<ReplicaSet, ProposalRefusal> {
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
        let (leaves, joins) = match change {
            MembershipChange::Add { vm } => (None, Some(vm)),
            MembershipChange::Replace { old, new } => (Some(old), Some(new)),
            MembershipChange::Remove { vm } => (Some(vm), None),
        };
        if let Some(vm) = leaves {
            let before = voters.len();
            voters.retain(|voter| voter.vm != vm);
            if voters.len() == before {
                return Err(ProposalRefusal::InvalidChange);
            }
        }
        if let Some(vm) = joins {
            if voters.iter().any(|voter| voter.vm == vm) {
                return Err(ProposalRefusal::InvalidChange);
            }
            voters.push(self.synced_learner(vm)?);
        }
        if voters.is_empty() {
            return Err(ProposalRefusal::InvalidChange);
        }
        // Nothing at all could be committed until the silent voters return, since a change cannot be taken back.
        let set = ReplicaSet::new(voters);
        let reachable = |voter| voter == self.id || self.peers.iter().any(|peer| peer.id == voter && self.hears(peer));
        if set.has_quorum(reachable) { Ok(set) } else { Err(ProposalRefusal::TooFewReachable) }
    }

    /// Tells whether the peer has answered lately; each answers every heartbeat.
    pub(super) fn hears(&self, peer: &PeerProgress) -> bool {
        self.now < peer.heard + self.settings.election_timeout_min
    }

    /// Returns the newest learner of the VM, if it holds everything that is committed.
    fn synced_learner(&self, vm: VmNumber) -> Result<ReplicaId, ProposalRefusal> {
        let learners = self.peers.iter().filter(|peer| peer.id.vm == vm && !peer.observer);
        let learner = learners
            .filter(|peer| !self.history.is_voter(peer.id))
            .max_by_key(|peer| peer.id.incarnation)
            .ok_or(ProposalRefusal::LearnerUnknown)?;
        // The learner's answers follow its syncs, so its copies count from the moment it becomes a voter.
        let synced = learner.matched >= self.commit && self.hears(learner);
        if !synced && !self.settings.disabled.learner_sync {
            return Err(ProposalRefusal::LearnerBehind);
        }
        Ok(learner.id)
    }

    /// Replaces a voter by a newer incarnation of the same VM, which has lost the older one's disk.
    pub(super) fn replace_lost_replicas(&mut self) {
        if self.history.is_pending() || !self.is_ready() {
            return;
        }
        let lost = self.peers.iter().filter(|peer| !self.hears(peer)).find(|old| {
            let newer = |peer: &PeerProgress| {
                !peer.observer && peer.id.vm == old.id.vm && peer.id.incarnation > old.id.incarnation
            };
            self.history.is_voter(old.id) && self.peers.iter().any(newer)
        });
        let Some(vm) = lost.map(|old| old.id.vm) else { return };
        if let Ok(set) = self.changed_set(MembershipChange::Replace { old: vm, new: vm }) {
            self.append_own(EntryPayload::Membership(set));
            self.track_voters();
        }
    }

    /// Forgets learners and observers that have been silent for long.
    pub(super) fn expire_peers(&mut self) {
        let (now, expiry) = (self.now, self.settings.peer_expiry);
        let history = &self.history;
        self.peers.retain(|peer| history.is_voter(peer.id) || now < peer.heard + expiry);
    }
}
