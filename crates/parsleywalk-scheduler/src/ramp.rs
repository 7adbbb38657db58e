//! The gradual return of a zone.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Starts per second and worker at the beginning of a ramp. A worker that has just returned has cold caches and its
/// network has just recovered, so it should not start everything at once.
const INITIAL_RATE: f64 = 0.05;
/// The factor by which the rate grows over the whole ramp.
const RATE_GROWTH: f64 = 64.0;

/// Limits the starts in a zone that has just come back into service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ZoneRamp {
    started_at: Option<MonotonicTime>,
    refilled_at: MonotonicTime,
    tokens: f64,
}

impl ZoneRamp {
    pub(crate) fn begin(&mut self, now: MonotonicTime) {
        *self = Self { started_at: Some(now), refilled_at: now, tokens: 1.0 };
    }

    /// Adds the starts that have become permitted.
    pub(crate) fn refill(&mut self, now: MonotonicTime, length: Duration, workers: usize) {
        let Some(started_at) = self.started_at else { return };
        let passed = now.since(started_at);
        if passed >= length {
            self.started_at = None;
            return;
        }
        let progress = passed.as_secs_f64() / length.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "a number of workers")]
        let rate = INITIAL_RATE * RATE_GROWTH.powf(progress) * workers as f64;
        let gained = rate * now.since(self.refilled_at).as_secs_f64();
        // A second's worth at most, so that an idle zone gathers no burst.
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.refilled_at = now;
    }

    pub(crate) fn consume_token(&mut self) {
        if self.started_at.is_some() {
            self.tokens -= 1.0;
        }
    }

    pub(crate) fn has_token(&self) -> bool {
        self.started_at.is_none() || self.tokens >= 1.0
    }

    pub(crate) fn is_ramping(&self) -> bool {
        self.started_at.is_some()
    }
}
