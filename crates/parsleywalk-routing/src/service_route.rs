//! The router's part of a service's configuration.

use std::time::Duration;

use parsleywalk_units::{ServiceName, TaskClass};

/// The configuration of a service for the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The service's name.
    pub service: ServiceName,
    /// The class. Latency-critical services are dispatched before batch services, and refuse requests early instead of
    /// queueing them for long.
    pub class: TaskClass,
    /// Whether requests are repeatable if they do not say so themselves. The entry applies this before admission.
    pub repeatable: bool,
    /// The longest time that a request may take; later deadlines of arriving requests are shortened to it.
    pub deadline: Duration,
    /// The services that this one depends on. While one of them is failing, requests are refused.
    pub depends_on: Vec<ServiceName>,
    /// The largest number of slots used at one endpoint, even if it announces more.
    pub slots_limit: u32,
}
