//! What the router keeps of one service.

use std::time::Duration;

use parsleywalk_units::{ServiceName, TaskClass};

use crate::endpoint_table::ServiceCapacity;
use crate::service_health::ServiceHealth;
use crate::{AdmissionQueue, RetryBudget, ServiceRoute};

/// The weight of a new sample in the typical latency, as a divisor.
const LATENCY_WEIGHT_DIVISOR: u32 = 16;

/// A service, its queue and its estimates.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: ServiceName,
    /// Absent for a service that endpoints announce and the configuration does not have.
    pub(crate) route: Option<ServiceRoute>,
    /// All services on which this one depends, directly or not.
    pub(crate) dependencies: Vec<usize>,
    pub(crate) queue: AdmissionQueue,
    pub(crate) budget: RetryBudget,
    pub(crate) health: ServiceHealth,
    /// Dispatches to endpoints of this zone without a result.
    pub(crate) outstanding: u32,
    /// Whether it had an endpoint at any time.
    pub(crate) had_endpoint: bool,
    /// What its endpoints can take, until that changes.
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
    /// The mean time from dispatch to answer over recent answers; zero before the first.
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
