//! The speed of filling tasks beside serving ones.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Tail latency over target above which filling tasks are slowed.
const SLOW_RATIO: f32 = 0.95;
/// Tail latency over target below which they are sped up again.
const RELEASE_RATIO: f32 = 0.7;
/// The wait after a change before the next slowing; a report's figure covers half a second, and an order takes effect
/// after a tenth.
const SLOW_INTERVAL: Duration = Duration::from_millis(700);
/// The wait after a change before the next speeding up.
const RELEASE_INTERVAL: Duration = Duration::from_millis(1200);
/// Added to the rate at each speeding up, in percent.
const RELEASE_STEP: u8 = 20;
/// Rates below this are taken down to zero, in percent.
const LEAST_RATE: u8 = 15;
/// Full speed, in percent.
const FULL_RATE: u8 = 100;

/// Chooses one rate for all filling tasks of a worker: it is halved while a serving task is above its latency target and
/// raised step by step once all are well below.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PaceController {
    rate: u8,
    changed: MonotonicTime,
}

impl Default for PaceController {
    fn default() -> Self {
        Self { rate: FULL_RATE, changed: MonotonicTime::ZERO }
    }
}

impl PaceController {
    /// Takes the worst tail latency over target among the worker's serving tasks; `None` without such tasks.
    pub(crate) fn observe(&mut self, now: MonotonicTime, worst: Option<f32>) {
        let since = now.since(self.changed);
        let next = match worst {
            None => FULL_RATE,
            Some(ratio) if ratio > SLOW_RATIO && since >= SLOW_INTERVAL => {
                let halved = self.rate / 2;
                if halved < LEAST_RATE { 0 } else { halved }
            }
            Some(ratio) if ratio < RELEASE_RATIO && since >= RELEASE_INTERVAL => {
                self.rate.saturating_add(RELEASE_STEP).min(FULL_RATE)
            }
            Some(_) => self.rate,
        };
        if next != self.rate {
            self.rate = next;
            self.changed = now;
        }
    }

    /// The rate for filling tasks, in percent.
    pub(crate) fn rate(&self) -> u8 {
        self.rate
    }
}
