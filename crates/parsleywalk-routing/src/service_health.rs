//! Whether a service as a whole is failing.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The width of one half of the window over which failures are counted.
const HALF_WINDOW: Duration = Duration::from_secs(1);
/// While a service is failing, one dependent request in this time is let through to find out whether it recovered.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the results of a service, so that dependents of a failing one fail fast.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceHealth {
    current: (u32, u32),
    previous: (u32, u32),
    window_start: MonotonicTime,
    failing_since: Option<MonotonicTime>,
    next_trial_at: MonotonicTime,
}

impl ServiceHealth {
    /// Records the end of a dispatch. A service fails when at least half of `min_results` or more results are failures.
    pub(crate) fn record(&mut self, now: MonotonicTime, success: bool, min_results: u32, pause: Duration) {
        if now.since(self.window_start) >= HALF_WINDOW {
            let window_expired = now.since(self.window_start) >= HALF_WINDOW * 2;
            self.previous = if window_expired { (0, 0) } else { self.current };
            self.current = (0, 0);
            self.window_start = now;
        }
        if success {
            self.current.0 += 1;
        } else {
            self.current.1 += 1;
        }
        let (successes, failures) = self.totals();
        if self.failing_since.is_some() {
            if success && successes > failures {
                self.failing_since = None;
            }
        } else if successes + failures >= min_results && failures >= successes {
            self.failing_since = Some(now);
            self.next_trial_at = now + pause;
            // Recovery is judged by results after this point only.
            (self.current, self.previous) = ((0, 0), (0, 0));
        }
    }

    /// Returns whether a dependent request is to be refused; lets single requests through after the pause.
    pub(crate) fn should_refuse_dependent(&mut self, now: MonotonicTime) -> bool {
        if self.failing_since.is_none() {
            return false;
        }
        if now >= self.next_trial_at {
            self.next_trial_at = now + TRIAL_INTERVAL;
            return false;
        }
        true
    }
}

impl ServiceHealth {
    /// Returns whether the service counts as failing.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    fn totals(&self) -> (u32, u32) {
        (self.current.0 + self.previous.0, self.current.1 + self.previous.1)
    }
}
