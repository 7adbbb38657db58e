//! Settings of the router.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use parsleywalk_units::UnitError;
use serde::{Deserialize, Serialize};

/// The method of balancing requests over endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalanceMethod {
    /// Prefers endpoints that use the smallest share of their slots for this entry's requests, up to all slots.
    LeastOutstanding,
    /// Compares two random endpoints by the load that endpoints report in their responses.
    PowerOfTwo,
    /// Limits each entry to its share of an endpoint's slots, plus slots that are reported to be idle, and prefers
    /// endpoints that use the smallest share of that limit.
    SlotShares,
}

impl BalanceMethod {
    /// All methods, in order of declaration.
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
    /// The load balancing method.
    pub balance: BalanceMethod,
    /// The number of entries of this zone, including this one, that share the endpoints' slots.
    pub zone_entries: u32,
    /// The number of other zones to which requests can be forwarded; 0 disables forwarding.
    pub other_zones: u32,
    /// The largest number of dispatches and forwards in progress. Batch services use at most three quarters of it.
    pub dispatch_limit: usize,
    /// The largest number of forwards in progress.
    pub forward_limit: usize,
    /// The largest number of queued requests, over all services.
    pub queue_limit: usize,
    /// The largest number of claims waiting for a decision, and of undecided claims remembered.
    pub claim_limit: usize,
    /// The largest number of requests with one key that wait for the same execution.
    pub waiter_limit: usize,
    /// The largest number of endpoints, over all services.
    pub endpoint_limit: usize,
    /// The largest number of services, configured or announced.
    pub service_limit: usize,
    /// The longest expected queueing time of a latency-critical request, as a multiple of the service's mean latency.
    pub queue_wait_factor: f64,
    /// The expected queueing time up to which a latency-critical request is queued whatever the service's latency.
    pub queue_wait_minimum: Duration,
    /// Whether queues are fair by caller; otherwise they are first in, first out.
    pub fair_queueing: bool,
    /// The largest ratio of retries to requests over 10 s.
    pub retry_ratio: f64,
    /// The number of retries permitted in 10 s in addition to `retry_ratio`.
    pub retry_minimum: u32,
    /// Whether the budget limits retries.
    pub retry_budget: bool,
    /// The largest number of attempts for one request.
    pub attempt_limit: u32,
    /// The delay before a repeatable request without a response is dispatched a second time, as a multiple of the
    /// service's mean latency.
    pub hedge_factor: f64,
    /// The shortest delay before a repeatable request is dispatched a second time.
    pub hedge_minimum: Duration,
    /// Whether failing and unresponsive endpoints are ejected.
    pub ejection: bool,
    /// The number of consecutive failures after which an endpoint is ejected, if it is an outlier.
    pub ejection_failures: u32,
    /// The backoff before the first probe of an ejected endpoint; it doubles with each failed probe.
    pub ejection_backoff: Duration,
    /// The longest backoff before a probe.
    pub ejection_backoff_limit: Duration,
    /// The shortest time without a response after which an endpoint with requests in progress is unresponsive.
    pub unresponsive_timeout_minimum: Duration,
    /// The time without a response after which an endpoint with requests in progress is unresponsive, as a multiple of
    /// the service's mean latency.
    pub unresponsive_timeout_factor: f64,
    /// The time over which the limit of a new or returning endpoint rises to its full value; zero disables slow start.
    pub slow_start: Duration,
    /// The time for which a load reported by an endpoint is used.
    pub load_validity: Duration,
    /// The time to wait for the result of a dispatch beyond its time-out.
    pub dispatch_grace: Duration,
    /// The shortest and the longest validity of an announcement; others are adjusted to this range.
    pub ttl_range: (Duration, Duration),
    /// The retention of endpoints that left or expired, during which late announcements are recognized.
    pub departed_retention: Duration,
    /// The largest total size of the cached responses in bytes.
    pub cache_bytes: usize,
    /// The largest number of cached responses.
    pub cache_entries: usize,
    /// The time for which a response is cached.
    pub cache_age: Duration,
    /// The number of recent results from which on a service can be considered failing.
    pub failing_results: u32,
    /// The backoff during which all requests to dependents of a failing service are refused. After it, single ones are
    /// let through.
    pub failing_backoff: Duration,
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
            ejection_backoff: Duration::from_secs(1),
            ejection_backoff_limit: Duration::from_secs(30),
            unresponsive_timeout_minimum: Duration::from_millis(500),
            unresponsive_timeout_factor: 8.0,
            slow_start: Duration::from_secs(5),
            load_validity: Duration::from_millis(200),
            dispatch_grace: Duration::from_secs(1),
            ttl_range: (Duration::from_secs(1), Duration::from_mins(1)),
            departed_retention: Duration::from_mins(10),
            cache_bytes: 64 << 20,
            cache_entries: 65_536,
            cache_age: Duration::from_mins(10),
            failing_results: 20,
            failing_backoff: Duration::from_secs(1),
        }
    }
}
