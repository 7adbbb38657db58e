//! The router's state of one service.

use std::time::Duration;

use parsleywalk_units::{ServiceName, TaskClass};

use crate::endpoint_table::ServiceCapacity;
use crate::service_health::ServiceHealth;
use crate::{AdmissionQueue, RetryBudget, ServiceRoute};

/// A new sample has a weight of one over this divisor in the mean latency.
const LATENCY_WEIGHT_DIVISOR: u32 = 16;

/// A service with its queue and statistics.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: ServiceName,
    /// The configuration; `None` for a service that is announced by endpoints but not configured.
    pub(crate) route: Option<ServiceRoute>,
    /// The indices of all services that this one depends on, directly or transitively.
    pub(crate) dependencies: Vec<usize>,
    pub(crate) queue: AdmissionQueue,
    pub(crate) budget: RetryBudget,
    pub(crate) health: ServiceHealth,
    /// The number of dispatches in progress; forwards are not counted.
    pub(crate) outstanding: u32,
    /// Whether an endpoint of the service was ever announced.
    pub(crate) had_endpoint: bool,
    /// The cached capacity of the endpoints; `None` if it must be computed again.
    pub(crate) capacity: Option<ServiceCapacity>,
    latency: Option<Duration>,
}

impl ServiceState {
    pub(crate) fn new(name: ServiceName, fair_queueing: bool) -> Self {
        Self {
            name,
            route: None,
            dependencies: Vec::new(),
            queue: AdmissionQueue::new(fair_queueing),
            budget: RetryBudget::default(),
            health: ServiceHealth::default(),
            outstanding: 0,
            had_endpoint: false,
            capacity: None,
            latency: None,
        }
    }

    pub(crate) fn record_latency(&mut self, sample: Duration) {
        self.latency = Some(match self.latency {
            None => sample,
            Some(latency) => (latency * (LATENCY_WEIGHT_DIVISOR - 1) + sample) / LATENCY_WEIGHT_DIVISOR,
        });
    }
}

impl ServiceState {
    /// Returns the exponentially weighted mean time from dispatch to response; zero before the first response.
    pub(crate) fn latency(&self) -> Duration {
        self.latency.unwrap_or_default()
    }

    pub(crate) fn is_latency_critical(&self) -> bool {
        self.route.as_ref().is_none_or(|route| route.class == TaskClass::LatencyCritical)
    }

    pub(crate) fn slots_limit(&self) -> u32 {
        self.route.as_ref().map_or(u32::MAX, |route| route.slots_limit)
    }
}
