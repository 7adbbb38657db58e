//! The rate at which a service gets through its short work.
//!
//! The cores in use understate what could be delivered: after a change of leader, while workers are placed but not yet
//! measured, and while a zone is evacuated. The rate is therefore kept as a share of the cores in service, so that it
//! follows their number at once, and it is the highest of three figures: the share delivered over the last seconds, the
//! highest such share of the last ten seconds, and the predicted work of the tasks that have completed. The last one uses
//! the same predictions as the backlog, so that it holds even if these are wrong by a factor.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Time constant of the average of what is delivered; a best-effort task takes about as long.
const DELIVERY_WINDOW: Duration = Duration::from_secs(2);
/// Time constant of the average of completed work, which comes in whole tasks.
const COMPLETION_WINDOW: Duration = Duration::from_secs(5);
/// How long a rate must be measured before it counts.
const MIN_MEASURED: Duration = Duration::from_secs(3);
/// The number of slots of a second, over which the highest share is kept.
const PEAK_SLOTS: usize = 10;

/// The rate at which a service gets through its short work of one kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrainRate {
    /// The time of the first sample.
    measured_since: Option<MonotonicTime>,
    sampled_at: MonotonicTime,
    /// The cores in service in the newest sample.
    in_service: f64,
    /// The average share of the cores in service that is delivered.
    delivered: f64,
    /// The average of the work completed per second and core in service.
    completed: f64,
    /// The work completed since the newest sample, in core-seconds.
    completed_work: f64,
    /// The highest average share in each of the last seconds.
    peaks: [f64; PEAK_SLOTS],
}

impl DrainRate {
    /// Records the work of a task that has completed, in core-seconds.
    pub(crate) fn record_completed(&mut self, work: f64) {
        self.completed_work += work;
    }

    /// Records the cores that are delivered now, and the cores in service.
    pub(crate) fn record_sample(&mut self, now: MonotonicTime, delivered: f64, in_service: f64) {
        self.in_service = in_service;
        if in_service <= 0.0 {
            return;
        }
        let share = delivered / in_service;
        if self.measured_since.is_none() {
            self.measured_since = Some(now);
            self.delivered = share;
        } else {
            let elapsed = now.since(self.sampled_at).as_secs_f64();
            if elapsed <= 0.0 {
                return;
            }
            let completed = std::mem::take(&mut self.completed_work) / elapsed / in_service;
            let weight = |window: Duration| 1.0 - (-elapsed / window.as_secs_f64()).exp();
            self.delivered += (share - self.delivered) * weight(DELIVERY_WINDOW);
            self.completed += (completed - self.completed) * weight(COMPLETION_WINDOW);
        }
        let (slot, last_slot) = (slot(now), slot(self.sampled_at));
        for passed in last_slot.max(slot.saturating_sub(PEAK_SLOTS as u64)) + 1..=slot {
            self.peaks[position(passed)] = 0.0;
        }
        let peak = &mut self.peaks[position(slot)];
        *peak = peak.max(self.delivered);
        self.sampled_at = now;
    }

    /// Returns the cores that the work gets, once they have been measured for long enough.
    pub(crate) fn cores(&self, now: MonotonicTime) -> Option<f64> {
        let is_measured = self.measured_since.is_some_and(|since| now.since(since) >= MIN_MEASURED);
        let share = self.peaks.iter().copied().fold(self.delivered.max(self.completed), f64::max);
        Some(share * self.in_service).filter(|cores| is_measured && *cores > 0.0)
    }
}

fn slot(time: MonotonicTime) -> u64 {
    time.as_micros() / 1_000_000
}

#[allow(clippy::cast_possible_truncation, reason = "below the number of slots")]
const fn position(slot: u64) -> usize {
    (slot % PEAK_SLOTS as u64) as usize
}

#[cfg(test)]
#[path = "drain_rate_tests.rs"]
mod tests;
