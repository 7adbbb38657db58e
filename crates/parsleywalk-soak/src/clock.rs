//! Clocks that drift.

use parsleywalk_units::{MonotonicTime, StateTime};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The start of every process' clock, so that no time of interest lies before zero.
const START: u64 = 1_000_000;

/// The clock of one process: an arbitrary start, a rate within 1% of real time, and a wall clock that is off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DriftingClock {
    started: u64,
    /// Millionths of real time.
    rate: u64,
    /// How far the wall clock is ahead in milliseconds.
    skew: u64,
}

impl DriftingClock {
    pub(crate) fn draw(now: u64, random: &mut Pcg64Mcg) -> Self {
        let rate = match random.random_range(0..4) {
            0 => 990_100,
            1 => 1_009_900,
            _ => random.random_range(990_100..=1_009_900),
        };
        Self { started: now, rate, skew: random.random_range(0..4000) }
    }

    pub(crate) fn read(&self, now: u64) -> MonotonicTime {
        MonotonicTime::from_micros(START + now.saturating_sub(self.started) * self.rate / 1_000_000)
    }

    /// Returns the real time from which on the clock shows at least `local`.
    pub(crate) fn when(&self, local: MonotonicTime) -> u64 {
        if local == MonotonicTime::NEVER {
            return u64::MAX;
        }
        let passed = local.as_micros().saturating_sub(START);
        self.started + (passed * 1_000_000).div_ceil(self.rate)
    }

    pub(crate) fn stamp(&self, now: u64) -> StateTime {
        StateTime::from_millis(1_000_000 + now / 1000 + self.skew)
    }
}
