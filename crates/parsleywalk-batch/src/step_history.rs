//! What earlier jobs tell of the durations of a queue's tasks.

use crate::log_average::LogAverage;

/// The variance of the logarithm of durations that is assumed until jobs have ended: an unknown queue tells little.
const ASSUMED_SPREAD: f64 = 4.0;
/// The number of jobs that the assumed spread counts as.
const ASSUMED_SPREAD_WEIGHT: f64 = 2.0;
/// The variance of the logarithm of duration over estimate that is assumed until jobs have ended: estimates are trusted.
const ASSUMED_ERROR: f64 = 0.2 * 0.2;
/// The number of jobs that the assumed error counts as.
const ASSUMED_ERROR_WEIGHT: f64 = 4.0;

/// A logarithm of a duration in seconds, with its variance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogPrediction {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl LogPrediction {
    /// Combines two independent predictions by their precision, the inverse of their variance.
    pub(crate) fn combine(self, other: Self) -> Self {
        let (left, right) = (self.variance.recip(), other.variance.recip());
        let variance = (left + right).recip();
        Self { mean: (self.mean * left + other.mean * right) * variance, variance }
    }

    /// Returns the prediction with at least the variance that its distance from a measurement shows.
    pub(crate) fn widened(self, measured: Self) -> Self {
        let shown = (self.mean - measured.mean).powi(2) - measured.variance;
        Self { variance: self.variance.max(shown), ..self }
    }
}

/// The durations of the tasks of one step position of a queue's jobs. Each step counts once, since its tasks are equal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StepHistory {
    /// The logarithms of the durations in seconds.
    durations: LogAverage,
    /// The logarithms of duration over estimate.
    errors: LogAverage,
    /// When the history was last added to, as a number of additions to all histories.
    pub(crate) updated: u64,
}

impl Default for StepHistory {
    fn default() -> Self {
        Self {
            durations: LogAverage::new(ASSUMED_SPREAD_WEIGHT, ASSUMED_SPREAD),
            errors: LogAverage::new(ASSUMED_ERROR_WEIGHT, ASSUMED_ERROR),
            updated: 0,
        }
    }
}

impl StepHistory {
    /// Adds the measured duration of a step's tasks. Estimates of zero are no estimates.
    pub(crate) fn add(&mut self, log_estimate: Option<f64>, measured: LogPrediction) {
        self.durations.add(measured.mean, measured.variance);
        if let Some(log_estimate) = log_estimate {
            self.errors.add(measured.mean - log_estimate, measured.variance);
        }
    }

    /// Returns what the history alone predicts.
    pub(crate) fn typical(&self) -> LogPrediction {
        LogPrediction { mean: self.durations.mean(), variance: self.durations.prediction_variance() }
    }

    /// Returns what an estimate predicts, with the usual error of the queue's estimates. The usual factor between duration
    /// and estimate is corrected as far as it is known.
    pub(crate) fn corrected(&self, log_estimate: f64) -> LogPrediction {
        let known = self.errors.weight() / (self.errors.weight() + ASSUMED_ERROR_WEIGHT);
        LogPrediction { mean: log_estimate + self.errors.mean() * known, variance: self.errors.variance() }
    }
}
