//! The pace of scheduling cycles.
//!
//! A cycle looks at every worker and every waiting step, so with many of both it takes milliseconds. Run ends, stops,
//! lease renewals and heartbeats of the log must not wait behind cycles: the more a cycle takes, the longer the pause
//! after it, and the steps that arrive meanwhile are placed together. Cycles get a fifth of the time while one takes up
//! to a fifth of [`MAX_PACED_INTERVAL`], and more beyond that.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The minimum interval between two scheduling cycles.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// The interval between two cycles as a multiple of what a cycle takes.
const PLAN_INTERVAL_FACTOR: u32 = 5;
/// The maximum interval between two cycles, so that a single slow one, for example after a pause of the process, does
/// not delay the next one for long, and tasks do not wait longer for a worker on a busy leader.
const MAX_PACED_INTERVAL: Duration = Duration::from_millis(120);

/// Decides when the next scheduling cycle may run.
#[derive(Debug, Default)]
pub(crate) struct PlanPacer {
    /// When the last cycle began.
    last_cycle: MonotonicTime,
    /// The moving average of what a cycle takes.
    cost: Duration,
}

impl PlanPacer {
    /// Returns the earliest time of the next cycle.
    pub(crate) fn earliest(&self) -> MonotonicTime {
        self.last_cycle + (self.cost * PLAN_INTERVAL_FACTOR).clamp(MIN_PLAN_INTERVAL, MAX_PACED_INTERVAL)
    }

    /// Records a cycle that began at `start` and took `cost`.
    pub(crate) fn record(&mut self, start: MonotonicTime, cost: Duration) {
        self.last_cycle = start;
        self.cost = (self.cost * 3 + cost) / 4;
    }
}

#[cfg(test)]
#[path = "plan_pacer_tests.rs"]
mod tests;
