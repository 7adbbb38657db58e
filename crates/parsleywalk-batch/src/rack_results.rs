//! What waiting for a rack has brought so far.

use std::time::Duration;

/// The weight of a result falls to 1/e after this many further ones.
const RESULT_WINDOW: f64 = 32.0;
/// The number of won waits that is assumed of an unknown rack, so that one lost wait does not end all.
const ASSUMED_WON: f64 = 4.0;

/// The results of the waits of steps for a rack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RackResults {
    won: f64,
    lost_seconds: f64,
}

impl Default for RackResults {
    fn default() -> Self {
        Self { won: ASSUMED_WON, lost_seconds: 0.0 }
    }
}

impl RackResults {
    /// Adds the result of a wait: the time that it has cost, or `None` if all tasks were placed on the rack.
    pub(crate) fn add(&mut self, lost: Option<Duration>) {
        let decay = 1.0 - 1.0 / RESULT_WINDOW;
        self.won = self.won * decay + if lost.is_none() { 1.0 } else { 0.0 };
        self.lost_seconds = self.lost_seconds * decay + lost.map_or(0.0, |lost| lost.as_secs_f64());
    }

    /// Returns the time that lost waits have cost for each one that was won.
    pub(crate) fn cost(&self) -> Duration {
        Duration::try_from_secs_f64(self.lost_seconds / self.won).unwrap_or(Duration::MAX)
    }
}
