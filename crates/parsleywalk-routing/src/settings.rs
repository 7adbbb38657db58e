//! Settings of the router.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use parsleywalk_units::UnitError;
use serde::{Deserialize, Serialize};

/// How an endpoint is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalanceMethod {
    /// The endpoint with the fewest requests of this entry in progress.
    LeastOutstanding,
    /// The less loaded of two random endpoints, by the load that endpoints report in their answers.
    PowerOfTwo,
    /// The endpoint with the most room in this entry's share of its slots, borrowing slots that reports show to be idle.
    SlotShares,
}

impl BalanceMethod {
    /// All methods, in the order of their documentation.
    pub const ALL: [Self; 3] = [Self::LeastOutstanding, Self::PowerOfTwo, Self::SlotShares];

    const fn as_str(self) -> &'static str {
        match self {
            Self::LeastOutstanding => "least-outstanding",
            Self::PowerOfTwo => "power-of-two",
            Self::SlotShares => "slot-shares",
        }
    }
}

impl Display for BalanceMethod {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

impl FromStr for BalanceMethod {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        Self::ALL.into_iter().find(|method| method.as_str() == text).ok_or_else(|| UnitError::Invalid {
            unit: "balance method",
            text: text.chars().take(64).collect(),
            expected: "least-outstanding, power-of-two or slot-shares",
        })
    }
}

/// Settings of a [`RequestRouter`](crate::RequestRouter).
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// How an endpoint is chosen.
    pub balance: BalanceMethod,
    /// The number of entries of this zone, this one included, that share the endpoints' slots.
    pub zone_entries: u32,
    /// The number of other zones to which a request can be forwarded; 0 switches forwarding off.
    pub other_zones: u32,
    /// Dispatches and forwards in progress at once. Batch services use at most three quarters of it.
    pub dispatch_limit: usize,
    /// Forwards in progress at once.
    pub forward_limit: usize,
    /// Requests waiting in all queues.
    pub queue_limit: usize,
    /// Claims waiting for a decision.
    pub claim_limit: usize,
    /// Callers that wait for one request under one key.
    pub waiter_limit: usize,
    /// Endpoints in the table, over all services.
    pub endpoint_limit: usize,
    /// Services in the table, over configuration and announcements.
    pub service_limit: usize,
    /// The longest expected wait of a latency-critical request, as a multiple of the service's typical latency.
    pub queue_wait_factor: f64,
    /// The expected wait up to which a latency-critical request is always queued.
    pub queue_wait_minimum: Duration,
    /// Whether queues are served fairly by caller; otherwise in order of arrival.
    pub fair_queueing: bool,
    /// Retries as a share of recent requests.
    pub retry_ratio: f64,
    /// Retries permitted in each 10 s regardless of the number of requests.
    pub retry_minimum: u32,
    /// Whether retries are limited by the budget.
    pub retry_budget: bool,
    /// The most times one request is sent.
    pub attempt_limit: u32,
    /// An unanswered repeatable request is sent a second time after this multiple of the service's typical latency.
    pub hedge_factor: f64,
    /// The shortest time before an unanswered repeatable request is sent a second time.
    pub hedge_minimum: Duration,
    /// Whether failing and silent endpoints are ejected.
    pub ejection: bool,
    /// Consecutive failures after which an endpoint is ejected.
    pub ejection_failures: u32,
    /// The pause before the first probe of an ejected endpoint; it doubles with each failed probe.
    pub ejection_pause: Duration,
    /// The longest pause before a probe.
    pub ejection_pause_limit: Duration,
    /// The shortest time without any answer after which a busy endpoint counts as silent.
    pub silence_minimum: Duration,
    /// A busy endpoint counts as silent after this multiple of the service's typical latency without an answer.
    pub silence_factor: f64,
    /// The time over which a new or returning endpoint is given its full share; zero switches slow start off.
    pub slow_start: Duration,
    /// For how long a reported load permits borrowing.
    pub load_validity: Duration,
    /// For how long a dispatch without a result is kept past its time-out.
    pub dispatch_grace: Duration,
    /// The shortest and the longest time to live of an announcement.
    pub ttl_range: (Duration, Duration),
    /// For how long endpoints that left or expired are remembered, so that late announcements are recognized.
    pub departed_retention: Duration,
    /// Bytes of kept answers.
    pub cache_bytes: usize,
    /// Number of kept answers.
    pub cache_entries: usize,
    /// For how long an answer is kept.
    pub cache_age: Duration,
    /// The smallest number of results in the window before a service can count as failing.
    pub failing_results: u32,
    /// How long dependents of a failing service are refused before single requests are let through.
    pub failing_pause: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            balance: BalanceMethod::SlotShares,
            zone_entries: 1,
            other_zones: 0,
            dispatch_limit: 4096,
            forward_limit: 256,
            queue_limit: 16_384,
            claim_limit: 4096,
            waiter_limit: 64,
            endpoint_limit: 8192,
            service_limit: 2048,
            queue_wait_factor: 0.5,
            queue_wait_minimum: Duration::from_millis(2),
            fair_queueing: true,
            retry_ratio: 0.1,
            retry_minimum: 10,
            retry_budget: true,
            attempt_limit: 3,
            hedge_factor: 8.0,
            hedge_minimum: Duration::from_millis(100),
            ejection: true,
            ejection_failures: 3,
            ejection_pause: Duration::from_secs(1),
            ejection_pause_limit: Duration::from_secs(30),
            silence_minimum: Duration::from_millis(500),
            silence_factor: 8.0,
            slow_start: Duration::from_secs(5),
            load_validity: Duration::from_millis(200),
            dispatch_grace: Duration::from_secs(1),
            ttl_range: (Duration::from_secs(1), Duration::from_mins(1)),
            departed_retention: Duration::from_mins(10),
            cache_bytes: 64 << 20,
            cache_entries: 65_536,
            cache_age: Duration::from_mins(10),
            failing_results: 20,
            failing_pause: Duration::from_secs(1),
        }
    }
}
