//! Simulated disks.

use std::collections::VecDeque;

use parsleywalk_consensus::{EntryPayload, LogIndex, LogWrite, RecoveredLog, ReplicaId, WriteTicket};

/// A disk that applies writes in order. Synced writes survive a kill; of the others, a prefix may survive.
#[derive(Debug)]
pub(crate) struct SimulatedDisk {
    synced: RecoveredLog,
    unsynced: VecDeque<(WriteTicket, LogWrite)>,
}

impl SimulatedDisk {
    pub(crate) fn new(synced: RecoveredLog) -> Self {
        Self { synced, unsynced: VecDeque::new() }
    }

    pub(crate) fn recover(&self) -> RecoveredLog {
        self.synced.clone()
    }

    pub(crate) fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Returns the voters of all membership entries after the index, synced or not.
    pub(crate) fn members_after(&self, index: LogIndex) -> Vec<ReplicaId> {
        let unsynced = self.unsynced.iter().flat_map(|(_, write)| &write.entries);
        let entries = self.synced.entries.iter().chain(unsynced).filter(|entry| entry.index > index);
        let sets = entries.filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(set) => Some(set.voters().to_vec()),
            _ => None,
        });
        sets.flatten().collect()
    }

    pub(crate) fn write(&mut self, ticket: WriteTicket, write: LogWrite) {
        self.unsynced.push_back((ticket, write));
    }

    /// Syncs all writes up to and including the ticket.
    pub(crate) fn sync(&mut self, ticket: WriteTicket) {
        while self.unsynced.front().is_some_and(|(first, _)| *first <= ticket) {
            if let Some((_, write)) = self.unsynced.pop_front() {
                apply(&mut self.synced, write);
            }
        }
    }

    /// Drops all unsynced writes but the first `kept`, which are synced.
    pub(crate) fn crash(&mut self, kept: usize) {
        for (_, write) in self.unsynced.drain(..).take(kept) {
            apply(&mut self.synced, write);
        }
    }
}

fn apply(log: &mut RecoveredLog, write: LogWrite) {
    log.hard_state = write.hard_state.unwrap_or(log.hard_state);
    log.snapshot = write.snapshot.or(log.snapshot.take());
    if let Some(from) = write.truncate_from {
        log.entries.retain(|entry| entry.index < from);
    }
    log.entries.extend(write.entries);
    if let Some(to) = write.trim_to {
        log.entries.retain(|entry| entry.index > to);
    }
}
