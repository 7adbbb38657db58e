//! Decaying mean and variance of logarithms of durations.

/// The weight of an earlier sample after each new one, as the inverse of the number of samples that count.
const DECAY: f64 = 1.0 / 200.0;
/// Variances are at least this, since tasks that are called equal differ by a few percent.
const MIN_VARIANCE: f64 = 0.05 * 0.05;

/// The mean and variance of the newest samples, together with an assumption that counts as a number of samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogAverage {
    /// The number of samples that count.
    weight: f64,
    mean: f64,
    /// The sum of squared deviations from the mean, less the variances of the measurements.
    squares: f64,
    assumed_weight: f64,
    assumed_variance: f64,
}

impl LogAverage {
    /// Creates an average without samples. The variance is assumed until as many samples as `assumed_weight` are known.
    pub(crate) const fn new(assumed_weight: f64, assumed_variance: f64) -> Self {
        Self { weight: 0.0, mean: 0.0, squares: 0.0, assumed_weight, assumed_variance }
    }

    /// Adds a sample, which was measured with a variance. The worse the measurement, the less the sample counts.
    pub(crate) fn add(&mut self, sample: f64, measurement_variance: f64) {
        let share = self.variance() / (self.variance() + measurement_variance);
        self.weight *= 1.0 - DECAY * share;
        self.squares *= 1.0 - DECAY * share;
        self.weight += share;
        let deviation = sample - self.mean;
        self.mean += deviation * share / self.weight;
        self.squares += share * (deviation * (sample - self.mean) - measurement_variance);
    }

    /// Returns the number of samples that count.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the variance of the samples.
    pub(crate) fn variance(&self) -> f64 {
        let squares = self.squares + self.assumed_weight * self.assumed_variance;
        (squares / (self.weight + self.assumed_weight)).max(MIN_VARIANCE)
    }

    /// Returns the variance of the next sample about the mean, which is itself uncertain.
    pub(crate) fn prediction_variance(&self) -> f64 {
        self.variance() * (1.0 + 1.0 / self.weight.max(f64::MIN_POSITIVE))
    }
}
