//! What the reports about one run tell of the duration of its task.

use std::time::Duration;

/// The variance of a difference of two whole percentages, each of which is rounded down, in squared percentage points.
const ROUNDING_VARIANCE: f64 = 1.0 / 6.0;
/// Whole percentages of 100 points.
const FULL_POINTS: f64 = 100.0;
/// A run listed over at least this share of its work tells the duration without its end.
const LISTED_SHARE: f64 = 0.5;
/// The variance of the time of an event within a report interval, as a share of the squared interval.
const INTERVAL_VARIANCE: f64 = 1.0 / 12.0;
/// The variance of a duration of which only the upper bound is known, in squared percentage points of it.
const UNLISTED_VARIANCE: f64 = 60.0 * 60.0;
/// The shortest and the longest duration that decisions use, in seconds.
pub(crate) const DURATION_RANGE: (f64, f64) = (0.001, 24.0 * 3600.0);

/// Work and the progress made by it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct WorkSample {
    /// The time at full speed in seconds.
    pub(crate) seconds: f64,
    /// The progress in percentage points.
    pub(crate) points: f64,
    /// The variance of the progress, in squared percentage points.
    pub(crate) variance: f64,
}

impl WorkSample {
    pub(crate) fn add(&mut self, other: &Self) {
        self.seconds += other.seconds;
        self.points += other.points;
        self.variance += other.variance;
    }

    /// Returns what is known of a whole task that took at most `longest`.
    pub(crate) fn within(longest: Duration) -> Self {
        Self { seconds: longest.as_secs_f64() / 2.0, points: FULL_POINTS, variance: UNLISTED_VARIANCE }
    }

    /// Returns the sum without an earlier part of it.
    pub(crate) fn without(&self, part: &Self) -> Self {
        Self {
            seconds: (self.seconds - part.seconds).max(0.0),
            points: (self.points - part.points).max(0.0),
            variance: (self.variance - part.variance).max(0.0),
        }
    }

    /// Returns the duration of the whole task in seconds, once there is progress.
    pub(crate) fn task_seconds(&self) -> Option<f64> {
        let seconds = self.seconds * FULL_POINTS / self.points;
        (seconds.is_finite() && seconds > 0.0).then_some(seconds)
    }

    /// Returns the duration of the whole task within bounds, once there is progress.
    pub(crate) fn duration(&self) -> Option<Duration> {
        let seconds = self.task_seconds()?.clamp(DURATION_RANGE.0, DURATION_RANGE.1);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns the variance of the logarithm of the duration.
    pub(crate) fn log_variance(&self) -> f64 {
        self.variance / (self.points * self.points)
    }
}

/// The work and progress of a run since it was first listed. A run that resumes from a checkpoint is first listed with
/// the progress that it resumes from, as are runs that an earlier leader has placed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct RunProgress {
    /// The sum of what the reports have told.
    pub(crate) total: WorkSample,
    /// What the newest report has added, until it has been compared.
    pub(crate) newest: Option<WorkSample>,
    /// The part of it that the measurement of the step contains.
    pub(crate) shared: WorkSample,
    /// How much of the progress to be expected has been compared with that of other workers, in percentage points.
    pub(crate) compared: f64,
    /// The percentages when the run was first listed and in the previous report.
    first_percent: u8,
    last_percent: u8,
    /// The time at full speed since the percentage last changed. It does not count before the next change, since the run
    /// may hang.
    pending_seconds: f64,
    /// The newest speed as a share of full speed.
    speed: f64,
    /// Whether the worker measures the processor time that the run uses.
    measures_cores: bool,
    /// Whether the percentage has decreased. The run then tells nothing more.
    is_odd: bool,
}

impl RunProgress {
    /// Returns the progress of a run that is listed for the first time.
    pub(crate) fn new(percent: u8) -> Self {
        Self { first_percent: percent, last_percent: percent, speed: 1.0, ..Self::default() }
    }

    /// Returns the percentage when the run was first listed.
    pub(crate) fn first_percent(&self) -> u8 {
        self.first_percent
    }

    /// Returns the newest speed as a share of full speed.
    pub(crate) fn speed(&self) -> f64 {
        self.speed
    }

    /// Sets the speed of a best-effort run: the cores in use, where the worker measures them, or else the rate last
    /// ordered.
    pub(crate) fn set_speed(&mut self, figure: u32, cores: u32, rate: u8) {
        self.measures_cores |= figure > 0;
        self.speed = if self.measures_cores {
            f64::from(figure.min(cores)) / f64::from(cores.max(1))
        } else {
            f64::from(rate.min(100)) / FULL_POINTS
        };
    }

    /// Adds the time since the previous report, if it is known.
    pub(crate) fn advance(&mut self, interval: Option<Duration>, percent: u8) {
        self.newest = self.newest_sample(interval, percent);
        if let Some(newest) = &self.newest {
            self.total.add(newest);
        }
    }

    fn newest_sample(&mut self, interval: Option<Duration>, percent: u8) -> Option<WorkSample> {
        let gained = percent.checked_sub(std::mem::replace(&mut self.last_percent, percent));
        self.is_odd |= gained.is_none();
        let Some((interval, gained)) = interval.zip(gained).filter(|_| !self.is_odd) else {
            self.pending_seconds = 0.0;
            return None;
        };
        let has_waited = self.pending_seconds > 0.0;
        self.pending_seconds += interval.as_secs_f64() * self.speed;
        if gained == 0 {
            return None;
        }
        let seconds = std::mem::take(&mut self.pending_seconds);
        if self.total.points > 0.0 {
            return Some(WorkSample { seconds, points: f64::from(gained), variance: 0.0 });
        }
        // A run that takes several reports for a point was first listed half-way to the next one on average.
        let points = f64::from(gained) - if has_waited { 0.5 } else { 0.0 };
        Some(WorkSample { seconds, points, variance: ROUNDING_VARIANCE })
    }

    /// Returns what the end of a completed run adds, at most `interval` after the previous report. The end lies anywhere
    /// within the interval, so a run that was listed over most of its work is known better without it.
    pub(crate) fn finish(&self, interval: Duration) -> Option<WorkSample> {
        let ahead = FULL_POINTS - f64::from(self.first_percent.min(99));
        let points = FULL_POINTS - f64::from(self.last_percent.min(99));
        if self.is_odd || self.total.points >= ahead * LISTED_SHARE {
            return None;
        }
        let interval = interval.as_secs_f64() * self.speed;
        let seconds = self.pending_seconds + interval / 2.0;
        let rate = ahead / (self.total.seconds + seconds).max(f64::MIN_POSITIVE);
        let variance = INTERVAL_VARIANCE * (interval * rate).powi(2);
        Some(WorkSample { seconds, points, variance })
    }
}
