//! Detection of services that fail as a whole.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Half the length of the window over which results are counted.
const HALF_WINDOW: Duration = Duration::from_secs(1);
/// The interval at which a dependent request of a failing service is let through to detect its recovery.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the results of a service, so that requests to services that depend on it fail fast while it is failing.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceHealth {
    /// The numbers of successes and failures in the current half of the window.
    current: (u32, u32),
    /// The numbers of successes and failures in the previous half of the window.
    previous: (u32, u32),
    window_start: MonotonicTime,
    failing_since: Option<MonotonicTime>,
    next_trial_at: MonotonicTime,
}

impl ServiceHealth {
    /// Records the result of a dispatch.
    ///
    /// The service is considered failing once the window holds at least `min_results` results, of which at least half
    /// are failures. Requests of its dependents are first let through after `backoff`.
    pub(crate) fn record(&mut self, now: MonotonicTime, success: bool, min_results: u32, backoff: Duration) {
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
            self.next_trial_at = now + backoff;
            // Only results from now on count towards recovery.
            (self.current, self.previous) = ((0, 0), (0, 0));
        }
    }

    /// Returns true if a request to a dependent service is to be refused. After the backoff, one request per
    /// [`TRIAL_INTERVAL`] is let through.
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
    /// Returns true if the service is considered failing.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    fn totals(&self) -> (u32, u32) {
        (self.current.0 + self.previous.0, self.current.1 + self.previous.1)
    }
}
