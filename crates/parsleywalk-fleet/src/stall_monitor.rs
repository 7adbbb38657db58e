//! Detection of pauses of this process.
//!
//! A paused process reads requests late that arrived during the pause, and their callers may have moved on. The kernel
//! does not say when bytes arrived, so a request that is read shortly after a pause counts as received before it.

use std::cell::Cell;
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The interval at which the process shows that it runs.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The process counts as paused if it has not ticked for this long.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// The time after a pause by which the requests that arrived during it have been read.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// A pause of the process.
#[derive(Debug, Clone, Copy)]
struct ProcessStall {
    /// The last tick before the pause.
    began: MonotonicTime,
    ended: MonotonicTime,
}

/// Records when the process has run.
#[derive(Debug, Default)]
pub(crate) struct StallMonitor {
    ticked: Cell<MonotonicTime>,
    last_stall: Cell<Option<ProcessStall>>,
}

impl StallMonitor {
    /// Creates a monitor that has ticked at `now`.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { ticked: Cell::new(now), last_stall: Cell::new(None) }
    }

    /// Records that the process runs. Must be called in each [`TICK_INTERVAL`]. Returns the length of a pause that has
    /// just ended.
    pub(crate) fn tick(&self, now: MonotonicTime) -> Option<Duration> {
        let began = self.ticked.replace(now);
        let length = now.since(began);
        if length < STALL_THRESHOLD {
            return None;
        }
        // Pauses that follow each other closely count as one.
        let earlier = self.last_stall.get().filter(|stall| began < stall.ended + SETTLE_TIME);
        let began = earlier.map_or(began, |stall| stall.began);
        self.last_stall.set(Some(ProcessStall { began, ended: now }));
        Some(length)
    }

    /// Returns the earliest time at which a request that is read at `now` can have arrived.
    pub(crate) fn earliest_arrival(&self, now: MonotonicTime) -> MonotonicTime {
        let ticked = self.ticked.get();
        let settling = self.last_stall.get().filter(|stall| now < stall.ended + SETTLE_TIME);
        if now.since(ticked) >= STALL_THRESHOLD {
            let earlier = self.last_stall.get().filter(|stall| ticked < stall.ended + SETTLE_TIME);
            return earlier.map_or(ticked, |stall| stall.began);
        }
        settling.map_or(now, |stall| stall.began)
    }
}

#[cfg(test)]
#[path = "stall_monitor_tests.rs"]
mod tests;
