//! Checks of the safety properties during a simulation.

use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_consensus::{
    EntryPayload, LogEntry, LogIndex, LogTerm, LogWrite, ProposalId, ProposalRefusal, ReplicaId, ReplicaSet,
};

/// The replicated state of a simulation, which is a hash of all applied entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DigestState {
    pub index: u64,
    pub digest: u64,
}

impl DigestState {
    pub fn apply(&mut self, at: ReplicaId, entry: &LogEntry) {
        assert_eq!(entry.index.get(), self.index + 1, "apply order at {at}");
        let mut digest = self.digest ^ entry.term.get();
        if let EntryPayload::Command(bytes) = &entry.payload {
            digest = bytes.iter().fold(digest, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
        }
        *self = Self { index: self.index + 1, digest: digest.rotate_left(7).wrapping_add(1) };
    }

    /// Encodes the state, repeated so that a snapshot takes more than one chunk.
    pub fn encode(&self) -> Vec<u8> {
        [self.index.to_le_bytes(), self.digest.to_le_bytes()].concat().repeat(10)
    }

    pub fn decode(payload: &[u8]) -> Self {
        assert_eq!(payload.len(), 160, "snapshot length");
        let number = |at: usize| u64::from_le_bytes(payload[at..at + 8].try_into().expect("8 bytes"));
        assert_eq!(payload[..16], payload[144..], "snapshot chunks are from one snapshot");
        Self { index: number(0), digest: number(8) }
    }
}

/// Records what the nodes do and asserts that no safety property is violated.
#[derive(Default)]
pub struct Oracle {
    pub committed: BTreeMap<LogIndex, LogEntry>,
    digests: BTreeMap<u64, u64>,
    leaders: BTreeMap<LogTerm, ReplicaId>,
    /// The membership entries with the commit index at the time when they were first written.
    changes: BTreeMap<(LogIndex, LogTerm), u64>,
    open: BTreeMap<ProposalId, (ReplicaId, LogIndex, LogTerm)>,
    pub refused: BTreeMap<ProposalId, ProposalRefusal>,
    pub applied: BTreeSet<ProposalId>,
    pub counts: RunCounts,
}

/// The number of events of each kind in a run, to detect runs in which no fault took effect.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RunCounts {
    pub committed: usize,
    pub elections: usize,
    pub changes: usize,
    pub disks_lost: usize,
    pub snapshots_installed: usize,
    pub truncations: usize,
    pub proposals_lost: usize,
}

impl RunCounts {
    pub fn add(&mut self, other: &Self) {
        self.committed += other.committed;
        self.elections += other.elections;
        self.changes += other.changes;
        self.disks_lost += other.disks_lost;
        self.snapshots_installed += other.snapshots_installed;
        self.truncations += other.truncations;
        self.proposals_lost += other.proposals_lost;
    }
}

impl Oracle {
    pub fn last_committed(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| index.get())
    }

    pub fn open_proposals(&self) -> usize {
        self.open.len()
    }

    pub fn on_elected(&mut self, id: ReplicaId, term: LogTerm) {
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "election safety: two leaders in term {term}");
    }

    pub fn elections(&self) -> usize {
        self.leaders.len()
    }

    pub fn counts(&self) -> RunCounts {
        let sets: Vec<&ReplicaSet> = self.memberships().collect();
        let changes = sets.windows(2).filter(|pair| pair[0] != pair[1]).count();
        RunCounts { committed: self.committed.len(), elections: self.elections(), changes, ..self.counts }
    }

    pub fn on_write(&mut self, write: &LogWrite) {
        let committed = self.last_committed();
        self.counts.truncations += usize::from(write.truncate_from.is_some() && write.snapshot.is_none());
        self.counts.snapshots_installed += usize::from(write.truncate_from.is_some() && write.snapshot.is_some());
        for entry in &write.entries {
            if matches!(entry.payload, EntryPayload::Membership(_)) {
                self.changes.entry((entry.index, entry.term)).or_insert(committed);
            }
        }
    }

    /// Checks that an applied entry equals the one that other nodes committed, and that new voters hold what was
    /// committed.
    pub fn on_applied(&mut self, at: ReplicaId, entry: &LogEntry, disk_last: impl Fn(ReplicaId) -> Option<u64>) {
        if let Some(known) = self.committed.get(&entry.index) {
            assert_eq!(known, entry, "committed prefix: {at} differs at {}", entry.index);
        } else {
            if let EntryPayload::Membership(set) = &entry.payload {
                self.check_new_voters(entry, set.voters(), disk_last);
            }
            self.committed.insert(entry.index, entry.clone());
        }
        let applied = self.open.iter().find(|(_, open)| **open == (at, entry.index, entry.term)).map(|(id, _)| *id);
        if let Some(proposal) = applied {
            self.open.remove(&proposal);
            self.applied.insert(proposal);
        }
    }

    fn check_new_voters(&self, entry: &LogEntry, voters: &[ReplicaId], disk_last: impl Fn(ReplicaId) -> Option<u64>) {
        let before = self.voters();
        let Some(committed) = self.changes.get(&(entry.index, entry.term)) else { return };
        for voter in voters.iter().filter(|voter| !before.is_empty() && !before.contains(voter)) {
            // A learner that lost its disk after it was proposed as a voter counts as another disk loss.
            let Some(last) = disk_last(*voter) else { continue };
            assert!(last >= *committed, "redundancy: new voter {voter} has {last} of {committed} committed entries");
        }
    }

    fn memberships(&self) -> impl Iterator<Item = &ReplicaSet> {
        self.committed.values().rev().filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(set) => Some(set),
            _ => None,
        })
    }

    /// Returns the voters of the newest committed membership.
    pub fn voters(&self) -> Vec<ReplicaId> {
        self.memberships().next().map(|set| set.voters().to_vec()).unwrap_or_default()
    }

    /// Returns true if the newest membership is committed twice, which ends a change, or is the first one.
    pub fn change_ended(&self) -> bool {
        let newest: Vec<&ReplicaSet> = self.memberships().take(2).collect();
        newest.len() == 1 || (newest.len() == 2 && newest[0] == newest[1])
    }

    pub fn check_state(&mut self, at: ReplicaId, state: &DigestState) {
        let digest = *self.digests.entry(state.index).or_insert(state.digest);
        assert_eq!(digest, state.digest, "state: {at} differs after {}", state.index);
    }

    pub fn on_accepted(&mut self, id: ReplicaId, proposal: ProposalId, index: LogIndex, term: LogTerm) {
        assert!(self.open.insert(proposal, (id, index, term)).is_none(), "accepted twice");
    }

    pub fn on_refused(&mut self, id: ReplicaId, proposal: ProposalId, reason: ProposalRefusal) {
        let open = self.open.remove(&proposal);
        self.counts.proposals_lost += usize::from(open.is_some());
        assert_eq!(open.is_some(), reason.is_outcome_unknown(), "refusal {reason:?} of {proposal} at {id}");
        assert!(!self.applied.contains(&proposal), "{proposal} is refused after it was applied at its leader");
        self.refused.insert(proposal, reason);
    }

    /// Drops the open proposals of a process that was killed.
    pub fn drop_proposals(&mut self, id: ReplicaId) {
        self.open.retain(|_, (at, _, _)| *at != id);
    }
}
