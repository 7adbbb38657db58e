//! Selection of another zone for requests that this zone cannot serve.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The backoff after a zone refused a request without a `retry_after`.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(200);
/// The backoff after a forward failed; also the longest one after a refusal.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Selects other zones in turn, skipping those in backoff after a refusal or failure.
#[derive(Debug, Default)]
pub(crate) struct ZoneSelector {
    backoff_until: Vec<MonotonicTime>,
    next: u32,
}

impl ZoneSelector {
    /// Returns the next zone that is neither excluded nor in backoff, if there is one.
    pub(crate) fn select(&mut self, now: MonotonicTime, zones: u32, excluded: &[u32]) -> Option<u32> {
        self.backoff_until.resize(usize::try_from(zones).unwrap_or(0), MonotonicTime::ZERO);
        let found = (0..zones)
            .map(|offset| (self.next + offset) % zones)
            .find(|zone| !excluded.contains(zone) && self.backoff_end(*zone) <= now)?;
        self.next = (found + 1) % zones;
        Some(found)
    }

    pub(crate) fn record_refusal(&mut self, now: MonotonicTime, zone: u32, retry_after: Option<Duration>) {
        self.back_off(zone, now + retry_after.unwrap_or(REFUSAL_BACKOFF).min(FAILURE_BACKOFF));
    }

    pub(crate) fn record_failure(&mut self, now: MonotonicTime, zone: u32) {
        self.back_off(zone, now + FAILURE_BACKOFF);
    }

    fn back_off(&mut self, zone: u32, backoff_end: MonotonicTime) {
        if let Some(zone_backoff) = usize::try_from(zone).ok().and_then(|zone| self.backoff_until.get_mut(zone)) {
            *zone_backoff = backoff_end.max(*zone_backoff);
        }
    }

    /// Returns true if there is a zone that is neither excluded nor in backoff.
    pub(crate) fn is_available(&self, now: MonotonicTime, zones: u32, excluded: &[u32]) -> bool {
        (0..zones).any(|zone| !excluded.contains(&zone) && self.backoff_end(zone) <= now)
    }

    fn backoff_end(&self, zone: u32) -> MonotonicTime {
        let zone_backoff = usize::try_from(zone).ok().and_then(|zone| self.backoff_until.get(zone));
        zone_backoff.copied().unwrap_or(MonotonicTime::ZERO)
    }
}
