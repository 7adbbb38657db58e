//! Leases of workers as the leader's clock sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkerId};

/// Settings of the lease table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a lease holds on the worker's clock, from when it sent its report.
    pub lease: Duration,
    /// By how many percent any clock may run too fast or too slow; below 100.
    pub drift_percent: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { lease: Duration::from_mins(15), drift_percent: 1 }
    }
}

/// When the last lease of each worker has certainly ended.
///
/// The table is not replicated. A new leader does not know what its predecessor renewed, so it counts every lease from
/// the moment at which it takes office.
///
/// ```
/// use std::time::Duration;
///
/// use parsleywalk_control::{LeaseSettings, LeaseTable};
/// use parsleywalk_units::MonotonicTime;
///
/// let settings = LeaseSettings { lease: Duration::from_secs(10), ..LeaseSettings::default() };
/// let mut table = LeaseTable::new(settings);
/// table.take_office(MonotonicTime::ZERO, ["w1".parse()?].into_iter());
/// assert!(table.ended(MonotonicTime::from_millis(10_000)).is_empty());
/// assert_eq!(table.ended(MonotonicTime::from_millis(10_300)).len(), 1);
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone)]
pub struct LeaseTable {
    settings: LeaseSettings,
    entries: BTreeMap<WorkerId, LeaseEntry>,
}

#[derive(Debug, Clone, Copy)]
struct LeaseEntry {
    renewed: MonotonicTime,
    /// Whether the lease was reported as ended; it must not be renewed after that.
    ended: bool,
}

/// Commands.
impl LeaseTable {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(settings: LeaseSettings) -> Self {
        Self { settings, entries: BTreeMap::new() }
    }

    /// Starts over as the leader: every lease may run from now.
    ///
    /// Must follow the application of every entry of earlier terms, so that a `LoseWorker` of an earlier leader is either
    /// in force before the first renewal or will never be.
    pub fn take_office(&mut self, now: MonotonicTime, workers: impl Iterator<Item = WorkerId>) {
        self.entries = workers.map(|worker| (worker, LeaseEntry { renewed: now, ended: false })).collect();
    }

    /// Counts a renewal, before the answer that renews is sent; `false` when the answer must not renew.
    ///
    /// A lease that was reported as ended is never renewed, since a `LoseWorker` may be on its way.
    pub fn renew(&mut self, now: MonotonicTime, worker: &WorkerId) -> bool {
        match self.entries.get_mut(worker) {
            Some(entry) if entry.ended => false,
            Some(entry) => {
                entry.renewed = entry.renewed.max(now);
                true
            }
            None => {
                self.entries.insert(worker.clone(), LeaseEntry { renewed: now, ended: false });
                true
            }
        }
    }

    /// Forgets a worker, once its loss is committed.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.entries.remove(worker);
    }

    /// Returns the workers whose leases have ended; they stay in the list until they are removed.
    pub fn ended(&mut self, now: MonotonicTime) -> Vec<WorkerId> {
        let span = self.settings.longest();
        let mut ended = Vec::new();
        for (worker, entry) in &mut self.entries {
            if now.since(entry.renewed) >= span {
                entry.ended = true;
                ended.push(worker.clone());
            }
        }
        ended
    }
}

impl LeaseSettings {
    /// Returns how long a lease lasts at most on the leader's clock, when the worker's is slow and the leader's fast.
    fn longest(&self) -> Duration {
        let drift = self.drift_percent.min(99);
        self.lease * (100 + drift) / (100 - drift)
    }
}
