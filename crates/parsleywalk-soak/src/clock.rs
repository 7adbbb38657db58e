//! Simulated clocks with drift.

use parsleywalk_units::{MonotonicTime, StateTime};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The initial reading of every process's clock, so that subtracting a span from an early reading stays above zero.
const CLOCK_START_MICROS: u64 = 1_000_000;

/// The clock of one process: its rate is within 1% of simulated real time, and its wall clock is ahead by up to 4 s.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DriftingClock {
    /// When the process started, in microseconds of real time.
    started: u64,
    /// The clock's rate in millionths of real time.
    rate: u64,
    /// How far the wall clock is ahead, in milliseconds.
    skew: u64,
}

impl DriftingClock {
    pub(crate) fn random(now: u64, random: &mut Pcg64Mcg) -> Self {
        let rate = match random.random_range(0..4) {
            0 => 990_100,
            1 => 1_009_900,
            _ => random.random_range(990_100..=1_009_900),
        };
        Self { started: now, rate, skew: random.random_range(0..4000) }
    }

    pub(crate) fn read(&self, now: u64) -> MonotonicTime {
        MonotonicTime::from_micros(CLOCK_START_MICROS + now.saturating_sub(self.started) * self.rate / 1_000_000)
    }

    /// Returns the first real time, in microseconds, at which the clock reads at least `local`.
    pub(crate) fn real_time_at(&self, local: MonotonicTime) -> u64 {
        if local == MonotonicTime::NEVER {
            return u64::MAX;
        }
        let elapsed = local.as_micros().saturating_sub(CLOCK_START_MICROS);
        self.started + (elapsed * 1_000_000).div_ceil(self.rate)
    }

    pub(crate) fn wall_time(&self, now: u64) -> StateTime {
        StateTime::from_millis(1_000_000 + now / 1000 + self.skew)
    }
}
