//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use crate::{LogEntry, LogIndex, LogTerm};

/// Consecutive log entries after a base entry, of which only the index and the term are kept.
#[derive(Debug, Default)]
pub(crate) struct LogWindow {
    base_index: LogIndex,
    base_term: LogTerm,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl LogWindow {
    pub(crate) fn new(base_index: LogIndex, base_term: LogTerm) -> Self {
        Self { base_index, base_term, entries: VecDeque::new(), bytes: 0 }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the last index to trim so that up to `retained_entries` entries before `index` are kept, and fewer while
    /// the window exceeds `limit` bytes.
    pub(crate) fn trim_point(&self, index: LogIndex, retained_entries: u64, limit: usize) -> LogIndex {
        let mut point = LogIndex::new(index.get().saturating_sub(retained_entries)).max(self.base_index);
        let mut bytes = self.bytes;
        for entry in self.entries.iter().take_while(|entry| entry.index <= index) {
            if entry.index > point {
                if bytes <= limit {
                    break;
                }
                point = entry.index;
            }
            bytes -= entry.size();
        }
        point
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> LogTerm {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term at the index, or `None` if the entry is trimmed or not yet present.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<LogTerm> {
        if index == self.base_index { Some(self.base_term) } else { self.get(index).map(|entry| entry.term) }
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns copies of the entries from `from` to `end`, up to `limit` bytes. The first entry is included even if it
    /// is larger.
    pub(crate) fn batch(&self, from: LogIndex, end: LogIndex, limit: usize) -> Vec<LogEntry> {
        let Some(start) = self.position(from) else { return Vec::new() };
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(start.min(self.entries.len())..) {
            bytes += entry.size();
            if entry.index > end || (bytes > limit && !batch.is_empty()) {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "entries must be consecutive");
        assert!(entry.term >= self.last_term(), "terms in the log must not decrease");
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        assert!(index > self.base_index, "trimmed entries cannot be truncated");
        if let Some(position) = self.position(index) {
            let removed = self.entries.range(position.min(self.entries.len())..).map(LogEntry::size).sum::<usize>();
            self.bytes -= removed;
            self.entries.truncate(position);
        }
    }

    pub(crate) fn trim_to(&mut self, index: LogIndex) {
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.size();
                self.base_index = entry.index;
                self.base_term = entry.term;
            }
        }
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        usize::try_from(index.get().checked_sub(self.base_index.get())?.checked_sub(1)?).ok()
    }
}
