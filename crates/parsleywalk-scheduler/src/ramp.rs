//! Limit on the start rate in zones that are back in service.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Starts per second and worker at the beginning of a ramp. The workers of a zone that is back in service have cold
/// caches and a network that has just recovered, so they should not start many tasks at once.
const INITIAL_RATE: f64 = 0.05;
/// Factor by which the rate grows over the whole ramp.
const RATE_GROWTH: f64 = 64.0;

/// Token bucket that limits the start rate in a zone that is back in service; the rate grows exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ZoneRamp {
    /// When the ramp began; `None` if there is no limit.
    started_at: Option<MonotonicTime>,
    refilled_at: MonotonicTime,
    /// Starts that are permitted now.
    tokens: f64,
}

impl ZoneRamp {
    pub(crate) fn begin(&mut self, now: MonotonicTime) {
        *self = Self { started_at: Some(now), refilled_at: now, tokens: 1.0 };
    }

    /// Adds the tokens for the time since the last refill, and ends the ramp after `length`.
    pub(crate) fn refill(&mut self, now: MonotonicTime, length: Duration, workers: usize) {
        let Some(started_at) = self.started_at else { return };
        let elapsed = now.since(started_at);
        if elapsed >= length {
            self.started_at = None;
            return;
        }
        let progress = elapsed.as_secs_f64() / length.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "a number of workers")]
        let rate = INITIAL_RATE * RATE_GROWTH.powf(progress) * workers as f64;
        let new_tokens = rate * now.since(self.refilled_at).as_secs_f64();
        // At most the tokens of one second, so that an idle zone accumulates no burst.
        self.tokens = (self.tokens + new_tokens).min(rate.max(1.0));
        self.refilled_at = now;
    }

    pub(crate) fn consume_token(&mut self) {
        if self.started_at.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Returns true if the zone may take a start now.
    pub(crate) fn has_token(&self) -> bool {
        self.started_at.is_none() || self.tokens >= 1.0
    }

    pub(crate) fn is_ramping(&self) -> bool {
        self.started_at.is_some()
    }
}
