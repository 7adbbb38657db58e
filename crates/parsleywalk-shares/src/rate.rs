//! Rates of submission.

use parsleywalk_units::{MonotonicTime, number_type};

/// The burst of an account in seconds of its rate. Callers submit in bursts of a few seconds.
const BURST_SECONDS: f64 = 5.0;

number_type! {
    /// A number of jobs per second.
    JobRate(u32)
}

/// The jobs that an account may submit now within its rate: a token bucket. It starts full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    jobs: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// Creates the bucket of an account that has submitted nothing for long.
    #[must_use]
    pub fn new(now: MonotonicTime, rate: JobRate) -> Self {
        Self { jobs: burst(rate), updated: now }
    }

    /// Returns true if a job submitted now is within the rate, and counts it then. The rate may differ from that of the
    /// last call.
    pub fn try_take(&mut self, now: MonotonicTime, rate: JobRate) -> bool {
        let earned = now.since(self.updated).as_secs_f64() * f64::from(rate.get());
        self.jobs = (self.jobs + earned).min(burst(rate));
        self.updated = self.updated.max(now);
        let is_within = self.jobs >= 1.0;
        if is_within {
            self.jobs -= 1.0;
        }
        is_within
    }
}

fn burst(rate: JobRate) -> f64 {
    f64::from(rate.get()) * BURST_SECONDS
}
