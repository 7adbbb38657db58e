//! The speed of a worker, measured by comparing its runs with those of the same steps on other workers.

use parsleywalk_units::MonotonicTime;
use std::time::Duration;

/// A worker below this speed is slow.
const SLOW_SPEED: f64 = 0.5;
/// The progress that counts, in percentage points that a sound worker would have made: four runs. Another speed is
/// believed once it has been seen for about half of that.
const WINDOW_POINTS: f64 = 400.0;
/// The progress from which the speed is known. It takes two runs, so that one which hangs does not make a worker slow.
const MIN_POINTS: f64 = 200.0;
/// The progress of one run that counts: the time in which a sound worker would have completed it.
pub(crate) const MAX_RUN_POINTS: f64 = 100.0;
/// A measurement is forgotten after this time without another. A slow worker gets few runs, and may have recovered.
const SPEED_RETENTION: Duration = Duration::from_mins(1);

/// The progress of a worker's newest runs, and the progress that sound workers would have made.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct WorkerSpeed {
    /// The progress of the runs in percentage points.
    points: f64,
    /// The progress that other workers would have made in the same time.
    expected: f64,
    measured_at: MonotonicTime,
}

impl WorkerSpeed {
    /// Adds the progress of a run and the progress that was to be expected. `counted` is how much of the latter has been
    /// added for the run before.
    pub(crate) fn add(&mut self, now: MonotonicTime, points: f64, expected: f64, counted: &mut f64) {
        if !(points.is_finite() && expected.is_finite() && expected > 0.0) {
            return;
        }
        let share = ((MAX_RUN_POINTS - *counted) / expected).clamp(0.0, 1.0);
        let (points, expected) = (points * share, expected * share);
        *counted += expected;
        if self.is_forgotten(now) {
            *self = Self::default();
        }
        self.measured_at = now;
        self.points += points;
        self.expected += expected;
        if self.expected > WINDOW_POINTS {
            self.points *= WINDOW_POINTS / self.expected;
            self.expected = WINDOW_POINTS;
        }
    }

    /// Returns the speed, where 1 is that of a sound worker, or `None` if it is not known.
    pub(crate) fn get(&self, now: MonotonicTime) -> Option<f64> {
        (self.expected >= MIN_POINTS && !self.is_forgotten(now)).then(|| self.points / self.expected)
    }

    /// Returns true if the worker is known to be slow.
    pub(crate) fn is_slow(&self, now: MonotonicTime) -> bool {
        self.get(now).is_some_and(|speed| speed < SLOW_SPEED)
    }

    fn is_forgotten(&self, now: MonotonicTime) -> bool {
        now.since(self.measured_at) >= SPEED_RETENTION
    }
}
