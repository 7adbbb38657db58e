//! Selection of another zone for requests that this zone cannot serve.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The backoff after a zone refused a request without a `retry_after`.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// The backoff after a forward failed; also the longest one after a refusal.
const BROKEN_PAUSE: Duration = Duration::from_secs(1);

/// Selects other zones in turn, skipping those in backoff after a refusal or failure.
#[derive(Debug, Default)]
pub(crate) struct ZoneSelector {
    paused_until: Vec<MonotonicTime>,
    next: u32,
}

impl ZoneSelector {
    /// Returns the next zone that is neither excluded nor in backoff, if there is one.
    pub(crate) fn select(&mut self, now: MonotonicTime, zones: u32, excluded: &[u32]) -> Option<u32> {
        self.paused_until.resize(usize::try_from(zones).unwrap_or(0), MonotonicTime::ZERO);
        let found = (0..zones)
            .map(|offset| (self.next + offset) % zones)
            .find(|zone| !excluded.contains(zone) && self.pause_end(*zone) <= now)?;
        self.next = (found + 1) % zones;
        Some(found)
    }

    pub(crate) fn record_refused(&mut self, now: MonotonicTime, zone: u32, retry_after: Option<Duration>) {
        self.pause(zone, now + retry_after.unwrap_or(REFUSED_PAUSE).min(BROKEN_PAUSE));
    }

    pub(crate) fn record_broken(&mut self, now: MonotonicTime, zone: u32) {
        self.pause(zone, now + BROKEN_PAUSE);
    }

    fn pause(&mut self, zone: u32, pause_end: MonotonicTime) {
        if let Some(paused) = usize::try_from(zone).ok().and_then(|zone| self.paused_until.get_mut(zone)) {
            *paused = pause_end.max(*paused);
        }
    }

    /// Returns true if there is a zone that is neither excluded nor in backoff.
    pub(crate) fn is_available(&self, now: MonotonicTime, zones: u32, excluded: &[u32]) -> bool {
        (0..zones).any(|zone| !excluded.contains(&zone) && self.pause_end(zone) <= now)
    }

    fn pause_end(&self, zone: u32) -> MonotonicTime {
        let paused = usize::try_from(zone).ok().and_then(|zone| self.paused_until.get(zone));
        paused.copied().unwrap_or(MonotonicTime::ZERO)
    }
}
