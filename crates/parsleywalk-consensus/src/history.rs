//! The membership entries of the log.

use crate::{LogIndex, ReplicaId, ReplicaSet};

/// The memberships of the log with the indexes of their entries, starting with the one in force at the log's base.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    sets: Vec<(LogIndex, ReplicaSet)>,
    /// Whether the log is known to have confirmed the first set. A snapshot does not record this.
    base_confirmed: bool,
    /// The commit index. Once the newest set is committed, its majorities decide without the previous set.
    commit: LogIndex,
}

impl MembershipHistory {
    pub(crate) fn new(index: LogIndex, set: ReplicaSet) -> Self {
        let base_confirmed = set.voters().is_empty();
        Self { sets: vec![(index, set)], base_confirmed, commit: index }
    }

    pub(crate) fn push(&mut self, index: LogIndex, set: ReplicaSet) {
        assert!(index > self.newest_index(), "memberships must be in log order");
        self.sets.push((index, set));
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = self.sets.partition_point(|(at, _)| *at < index).max(1);
        self.sets.truncate(keep);
    }

    /// Removes the sets before the one in force at the index.
    pub(crate) fn trim_to(&mut self, index: LogIndex) {
        let drop = self.sets.partition_point(|(at, _)| *at <= index).saturating_sub(1);
        self.base_confirmed = self.is_confirmed(drop);
        self.sets.drain(..drop);
    }

    pub(crate) fn set_commit(&mut self, commit: LogIndex) {
        self.commit = commit;
    }

    pub(crate) fn newest_index(&self) -> LogIndex {
        self.sets.last().map_or(LogIndex::ZERO, |(index, _)| *index)
    }

    pub(crate) fn newest(&self) -> &ReplicaSet {
        &self.sets[self.sets.len() - 1].1
    }

    /// Returns the set before the newest one while majorities of both are required.
    pub(crate) fn outgoing(&self) -> Option<&ReplicaSet> {
        let pending = self.newest_index() > self.commit;
        if pending { self.sets.len().checked_sub(2).map(|at| &self.sets[at].1) } else { None }
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.newest_index() > self.commit
    }

    /// Returns the newest set if it is committed and the log is not known to hold its confirmation.
    ///
    /// The confirmation is a second entry with an equal set, which a leader appends only after the first is committed.
    pub(crate) fn unconfirmed(&self) -> Option<&ReplicaSet> {
        let confirmed = self.is_confirmed(self.sets.len() - 1);
        (!self.is_pending() && !confirmed).then(|| self.newest())
    }

    /// Returns the set that a membership change replaces, until the change is known to have ended by the commit of its
    /// second entry.
    pub(crate) fn replaced_set(&self) -> Option<&ReplicaSet> {
        let last = self.sets.len() - 1;
        let first = match last.checked_sub(1) {
            Some(before) if self.sets[before].1 == self.sets[last].1 => before,
            _ => last,
        };
        let ended = !self.is_pending() && self.is_confirmed(last);
        let before = first.checked_sub(1).filter(|_| !ended)?;
        Some(&self.sets[before].1)
    }

    fn is_confirmed(&self, position: usize) -> bool {
        match position.checked_sub(1) {
            Some(before) => {
                let before = &self.sets[before].1;
                before.voters().is_empty() || *before == self.sets[position].1
            }
            None => self.base_confirmed,
        }
    }

    /// Returns the set that is in force at the index.
    pub(crate) fn at(&self, index: LogIndex) -> &ReplicaSet {
        let position = self.sets.partition_point(|(at, _)| *at <= index).saturating_sub(1);
        &self.sets[position].1
    }

    /// Returns all replicas whose votes and acknowledgements count, in ascending order.
    pub(crate) fn voters(&self) -> Vec<ReplicaId> {
        let mut voters = self.newest().voters().to_vec();
        if let Some(set) = self.outgoing() {
            voters.extend_from_slice(set.voters());
            voters.sort_unstable();
            voters.dedup();
        }
        voters
    }

    pub(crate) fn is_voter(&self, replica: ReplicaId) -> bool {
        self.newest().contains(replica) || self.outgoing().is_some_and(|set| set.contains(replica))
    }

    /// Returns true if majorities of the newest set and of the outgoing one, if any, satisfy the predicate.
    pub(crate) fn has_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        self.newest().has_quorum(&predicate) && self.outgoing().is_none_or(|set| set.has_quorum(&predicate))
    }

    /// Returns the largest value that majorities of the newest set and of the outgoing one, if any, have reached, or
    /// `None` without voters.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let newest = self.newest().quorum_value(&value)?;
        let outgoing = self.outgoing().and_then(|set| set.quorum_value(&value));
        Some(outgoing.map_or(newest, |outgoing| newest.min(outgoing)))
    }
}
