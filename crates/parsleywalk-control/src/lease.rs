//! Worker leases, tracked on the leader's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkerId};

/// The settings of a [`LeaseTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The duration of a lease on the worker's clock, counted from when it sent the report.
    pub lease: Duration,
    /// The largest deviation of any clock's rate, in percent; below 100.
    pub drift_percent: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { lease: Duration::from_mins(15), drift_percent: 1 }
    }
}

/// Tracks when the last lease of each worker has certainly expired.
///
/// The table is not replicated. A new leader does not know which leases its predecessor renewed, so it counts every
/// lease from the start of its own term.
///
/// ```
/// use std::time::Duration;
///
/// use parsleywalk_control::{LeaseSettings, LeaseTable};
/// use parsleywalk_units::MonotonicTime;
///
/// let settings = LeaseSettings { lease: Duration::from_secs(10), ..LeaseSettings::default() };
/// let mut table = LeaseTable::new(settings);
/// table.begin_term(MonotonicTime::ZERO, ["w1".parse()?].into_iter());
/// assert!(table.expired_workers(MonotonicTime::from_millis(10_000)).is_empty());
/// assert_eq!(table.expired_workers(MonotonicTime::from_millis(10_300)).len(), 1);
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone)]
pub struct LeaseTable {
    settings: LeaseSettings,
    entries: BTreeMap<WorkerId, LeaseEntry>,
}

/// The last renewal of a worker's lease.
#[derive(Debug, Clone, Copy)]
struct LeaseEntry {
    renewed_at: MonotonicTime,
    /// Whether the lease was reported as expired; it must not be renewed after that.
    expired: bool,
}

/// Commands.
impl LeaseTable {
    /// Creates a table without workers.
    #[must_use]
    pub const fn new(settings: LeaseSettings) -> Self {
        Self { settings, entries: BTreeMap::new() }
    }

    /// Resets the table at the start of a leader's term, as if every worker had renewed its lease now.
    ///
    /// Every entry of earlier terms must have been applied before, so that a `LoseWorker` of an earlier leader either
    /// has taken effect before the first renewal or never will.
    pub fn begin_term(&mut self, now: MonotonicTime, workers: impl Iterator<Item = WorkerId>) {
        self.entries = workers.map(|worker| (worker, LeaseEntry { renewed_at: now, expired: false })).collect();
    }

    /// Records a renewal before the response that grants it is sent. Returns false if the response must not grant it.
    ///
    /// A lease that was reported as expired is never renewed, since a `LoseWorker` may already have been proposed.
    pub fn renew(&mut self, now: MonotonicTime, worker: &WorkerId) -> bool {
        match self.entries.get_mut(worker) {
            Some(entry) if entry.expired => false,
            Some(entry) => {
                entry.renewed_at = entry.renewed_at.max(now);
                true
            }
            None => {
                self.entries.insert(worker.clone(), LeaseEntry { renewed_at: now, expired: false });
                true
            }
        }
    }

    /// Removes a worker whose loss is committed.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.entries.remove(worker);
    }

    /// Returns the workers whose leases have expired. A worker is returned by every call until it is removed.
    pub fn expired_workers(&mut self, now: MonotonicTime) -> Vec<WorkerId> {
        let max_duration = self.settings.max_duration();
        let mut expired = Vec::new();
        for (worker, entry) in &mut self.entries {
            if now.since(entry.renewed_at) >= max_duration {
                entry.expired = true;
                expired.push(worker.clone());
            }
        }
        expired
    }
}

impl LeaseSettings {
    /// Returns the longest time that a lease may take on the leader's clock, with a slow worker clock and a fast leader
    /// clock.
    fn max_duration(&self) -> Duration {
        let drift = self.drift_percent.min(99);
        self.lease * (100 + drift) / (100 - drift)
    }
}
