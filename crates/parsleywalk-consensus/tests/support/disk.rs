//! A simulated disk that applies writes in order and keeps synced ones across a crash.

use std::collections::VecDeque;

use parsleywalk_consensus::{EntryPayload, LogIndex, LogWrite, RecoveredLog, ReplicaId, WriteTicket};
use parsleywalk_units::VmNumber;

pub struct SimulatedDisk {
    synced: RecoveredLog,
    unsynced: VecDeque<(WriteTicket, LogWrite)>,
}

impl SimulatedDisk {
    pub fn new(synced: RecoveredLog) -> Self {
        Self { synced, unsynced: VecDeque::new() }
    }

    pub fn recover(&self) -> RecoveredLog {
        self.synced.clone()
    }

    pub fn set_bootstrap_vms(&mut self, bootstrap_vms: Vec<VmNumber>) {
        self.synced.bootstrap_vms = bootstrap_vms;
    }

    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Returns the last synced index.
    pub fn last_index(&self) -> u64 {
        let snapshot_index = self.synced.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.index);
        self.synced.entries.last().map_or(snapshot_index, |entry| entry.index).get()
    }

    /// Returns the voters of all membership entries after the index, synced or not.
    pub fn members_after(&self, index: u64) -> Vec<ReplicaId> {
        let unsynced = self.unsynced.iter().flat_map(|(_, write)| &write.entries);
        let entries = self.synced.entries.iter().chain(unsynced).filter(|entry| entry.index.get() > index);
        let sets = entries.filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(set) => Some(set.voters().to_vec()),
            _ => None,
        });
        sets.flatten().collect()
    }

    pub fn write(&mut self, ticket: WriteTicket, write: LogWrite) {
        self.unsynced.push_back((ticket, write));
    }

    /// Syncs all writes up to the ticket.
    pub fn sync(&mut self, ticket: WriteTicket) {
        while self.unsynced.front().is_some_and(|(first, _)| *first <= ticket) {
            self.unsynced.pop_front().into_iter().for_each(|(_, write)| apply(&mut self.synced, write));
        }
    }

    /// Keeps the first `kept_writes` unsynced writes and drops the others.
    pub fn crash(&mut self, kept_writes: usize) {
        for (_, write) in self.unsynced.drain(..).take(kept_writes) {
            apply(&mut self.synced, write);
        }
        self.unsynced.clear();
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
