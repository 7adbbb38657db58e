//! The state of one endpoint.

use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, MonotonicTime};

use crate::{BalanceMethod, EndpointAddress, EndpointAnnouncement, RouterSettings};

/// The backoff after a first refusal; it doubles with each consecutive refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(5);
/// A new sample has a weight of one over this divisor in the mean latency.
const LATENCY_WEIGHT_DIVISOR: u32 = 16;
/// A new result has a weight of one over this divisor in the failure rate.
const FAILURE_RATE_WEIGHT_DIVISOR: f64 = 16.0;
/// The longest backoff after a refusal.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

/// The health of an endpoint, which decides whether it is sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointHealth {
    /// It is sent requests.
    Healthy,
    /// It failed or was unresponsive, and is sent nothing but a single probe after `until`.
    Ejected { until: MonotonicTime, backoff: Duration, unresponsive: bool, probe_sent: Option<MonotonicTime> },
}

/// One incarnation of an endpoint: its announcement, the requests in progress, and the statistics of its responses.
#[derive(Debug, Clone)]
pub(crate) struct EndpointRecord {
    /// Distinguishes the record from earlier ones at the same index of the table.
    pub(crate) serial: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) service: usize,
    pub(crate) address: EndpointAddress,
    pub(crate) slots: u32,
    pub(crate) expires: MonotonicTime,
    pub(crate) leaving: bool,
    pub(crate) outstanding: u32,
    pub(crate) health: EndpointHealth,
    pub(crate) consecutive_failures: u32,
    /// The exponentially weighted share of results that are failures, from 0 to 1.
    failure_rate: f64,
    /// The exponentially weighted mean time from dispatch to successful response; `None` before the first one.
    latency: Option<Duration>,
    consecutive_refusals: u32,
    backoff_until: MonotonicTime,
    /// The start of slow start; `None` once the endpoint no longer needs one.
    ramp_start: Option<MonotonicTime>,
    /// The load from other entries at the last response, and the time of that response.
    last_load_from_others: Option<(u32, MonotonicTime)>,
    /// The last time at which the endpoint responded, or at which a request was sent while none was in progress.
    unanswered_since: MonotonicTime,
}

impl EndpointRecord {
    pub(crate) fn new(now: MonotonicTime, serial: u64, service: usize, announcement: &EndpointAnnouncement) -> Self {
        Self {
            serial,
            endpoint: announcement.endpoint.clone(),
            incarnation: announcement.incarnation,
            service,
            address: announcement.address,
            slots: announcement.slots,
            expires: now,
            leaving: announcement.leaving,
            outstanding: 0,
            health: EndpointHealth::Healthy,
            consecutive_failures: 0,
            failure_rate: 0.0,
            latency: None,
            consecutive_refusals: 0,
            backoff_until: MonotonicTime::ZERO,
            ramp_start: Some(now),
            last_load_from_others: None,
            unanswered_since: now,
        }
    }

    /// Renews the announcement. If it had expired, the endpoint goes through slow start again.
    pub(crate) fn renew(&mut self, now: MonotonicTime, expires: MonotonicTime, announcement: &EndpointAnnouncement) {
        if self.expires <= now {
            self.ramp_start = Some(now);
        }
        self.address = announcement.address;
        self.slots = announcement.slots;
        self.expires = self.expires.max(expires);
        self.leaving |= announcement.leaving;
    }

    pub(crate) fn skip_slow_start(&mut self) {
        self.ramp_start = None;
    }

    pub(crate) fn begin_dispatch(&mut self, now: MonotonicTime) {
        if self.outstanding == 0 {
            self.unanswered_since = now;
        }
        self.outstanding += 1;
        if let EndpointHealth::Ejected { probe_sent, .. } = &mut self.health {
            *probe_sent = Some(now);
        }
    }

    /// Records that the endpoint responded, with the load that it reported.
    pub(crate) fn record_response(&mut self, now: MonotonicTime, load: Option<u32>) {
        self.unanswered_since = now;
        if let Some(load) = load {
            self.last_load_from_others = Some((load.saturating_sub(self.outstanding), now));
        }
    }

    pub(crate) fn record_success(&mut self, now: MonotonicTime, started: MonotonicTime) {
        let sample = now.since(started);
        self.latency = Some(
            self.latency
                .map_or(sample, |latency| (latency * (LATENCY_WEIGHT_DIVISOR - 1) + sample) / LATENCY_WEIGHT_DIVISOR),
        );
        self.consecutive_failures = 0;
        self.failure_rate -= self.failure_rate / FAILURE_RATE_WEIGHT_DIVISOR;
        self.consecutive_refusals = 0;
        if let EndpointHealth::Ejected { unresponsive, probe_sent, .. } = self.health
            && (unresponsive || probe_sent.is_some_and(|sent| started >= sent))
        {
            self.health = EndpointHealth::Healthy;
            self.ramp_start = Some(now);
        }
    }

    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failure_rate += (1.0 - self.failure_rate) / FAILURE_RATE_WEIGHT_DIVISOR;
    }

    /// Records a refusal: the endpoint is fully loaded, and is sent nothing during the backoff.
    pub(crate) fn record_refusal(&mut self, now: MonotonicTime, retry_after: Option<Duration>) {
        self.unanswered_since = now;
        self.last_load_from_others = Some((self.slots.saturating_sub(self.outstanding), now));
        let backoff = REFUSAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_refusals.min(8));
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.backoff_until = now + backoff.max(retry_after.unwrap_or_default()).min(MAX_REFUSAL_BACKOFF);
        if let EndpointHealth::Ejected { until, probe_sent, .. } = &mut self.health {
            *probe_sent = None;
            *until = self.backoff_until;
        }
    }

    pub(crate) fn eject(&mut self, now: MonotonicTime, unresponsive: bool, settings: &RouterSettings) {
        let backoff = match self.health {
            EndpointHealth::Healthy => settings.ejection_backoff,
            EndpointHealth::Ejected { backoff, .. } => (backoff * 2).min(settings.ejection_backoff_limit),
        };
        self.health = EndpointHealth::Ejected { until: now + backoff, backoff, unresponsive, probe_sent: None };
    }
}

impl EndpointRecord {
    /// Returns true if the endpoint is announced, not leaving, and has slots.
    pub(crate) fn is_present(&self, now: MonotonicTime) -> bool {
        !self.leaving && self.expires > now && self.slots > 0
    }

    /// Returns true if the endpoint is not ejected.
    pub(crate) fn is_healthy(&self) -> bool {
        self.health == EndpointHealth::Healthy
    }

    /// Returns true if the endpoint is ejected and is to be sent a probe now.
    pub(crate) fn is_probe_due(&self, now: MonotonicTime) -> bool {
        matches!(self.health, EndpointHealth::Ejected { until, probe_sent: None, .. } if until <= now)
            && self.outstanding < self.slots
    }

    /// Returns true if requests are in progress and the endpoint has not responded to any for longer than `limit`.
    pub(crate) fn is_unresponsive(&self, now: MonotonicTime, limit: Duration) -> bool {
        let since = match self.health {
            EndpointHealth::Healthy => Some(self.unanswered_since),
            EndpointHealth::Ejected { probe_sent, .. } => probe_sent,
        };
        self.outstanding > 0 && since.is_some_and(|since| now.since(since) > limit)
    }

    /// Returns the mean time from dispatch to successful response; `None` before the first one.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns true if the endpoint is sent nothing because of a recent refusal.
    pub(crate) fn is_backing_off(&self, now: MonotonicTime) -> bool {
        self.backoff_until > now
    }

    /// Returns the number of requests that this entry may have in progress at the endpoint.
    pub(crate) fn concurrency_limit(&self, now: MonotonicTime, slots_limit: u32, settings: &RouterSettings) -> u32 {
        let slots = self.slots.min(slots_limit);
        let limit = match settings.balance {
            BalanceMethod::LeastOutstanding | BalanceMethod::PowerOfTwo => slots,
            BalanceMethod::SlotShares => {
                let share = (slots / settings.zone_entries.max(1)).max(1);
                let idle = self
                    .load_from_others(now, settings)
                    .map_or(0, |load_from_others| slots.saturating_sub(load_from_others));
                share.max(idle)
            }
        };
        let Some(ramp_start) = self.ramp_start else { return limit };
        let elapsed = now.since(ramp_start);
        if elapsed >= settings.slow_start {
            return limit;
        }
        let permille = elapsed.as_micros() * 1000 / settings.slow_start.as_micros().max(1);
        let ramped = u128::from(limit) * permille / 1000;
        u32::try_from(ramped).unwrap_or(limit).clamp(1, limit.max(1))
    }

    /// Returns the number of requests that other entries have in progress at the endpoint, if a recent response
    /// reported its load.
    pub(crate) fn load_from_others(&self, now: MonotonicTime, settings: &RouterSettings) -> Option<u32> {
        self.last_load_from_others.filter(|(_, at)| now.since(*at) <= settings.load_validity).map(|(load, _)| load)
    }
}
