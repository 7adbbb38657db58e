//! What the router is told of a service.

use std::time::Duration;

use parsleywalk_units::{ServiceName, TaskClass};

/// A service as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The service's name.
    pub service: ServiceName,
    /// Latency-critical services are served before batch services and shed early instead of queueing long.
    pub class: TaskClass,
    /// Whether requests that do not say are repeatable. Applied by the caller edge, shown in the status.
    pub repeatable: bool,
    /// The longest time that a request may take; a later deadline of an arrival is cut to it.
    pub deadline: Duration,
    /// Services without which this one cannot serve.
    pub depends_on: Vec<ServiceName>,
    /// The most slots of one endpoint that are used, whatever it announces.
    pub slots_limit: u32,
}
