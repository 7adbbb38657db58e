//! Status and counters of the router.

use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName};
use serde::Serialize;

use crate::EndpointAddress;

/// Counts events since the router was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RouterCounters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Resends that joined the execution of their key.
    pub joined: u64,
    /// Requests that got a cached response.
    pub kept_answers: u64,
    /// Requests that got the complete response of an endpoint, including cached ones.
    pub whole: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests whose outcome was reported as unknown.
    pub unknown: u64,
    /// Requests whose caller disconnected.
    pub abandoned: u64,
    /// Dispatches to endpoints.
    pub dispatches: u64,
    /// Retries, including attempts to dispatch a request a second time because its response was late.
    pub retries: u64,
    /// Requests dispatched a second time because their response was late.
    pub hedges: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Forwards to other zones.
    pub forwards: u64,
    /// Results of dispatches that had already ended.
    pub late_results: u64,
    /// Dispatches and forwards that got no result in time.
    pub lost_dispatches: u64,
}

/// The status of an endpoint in a [`RouterStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointStatus {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The address on which the endpoint listens.
    pub address: EndpointAddress,
    /// The number of slots that the endpoint announced.
    pub slots: u32,
    /// The number of this entry's requests in progress at the endpoint.
    pub outstanding: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Whether the announcement has expired.
    pub expired: bool,
    /// Whether the endpoint is ejected.
    pub ejected: bool,
    /// The number of consecutive failures.
    pub failures: u32,
}

/// The status of a service in a [`RouterStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: ServiceName,
    /// Whether the configuration contains the service.
    pub configured: bool,
    /// The number of queued requests.
    pub queued: usize,
    /// The number of callers with queued requests.
    pub callers: usize,
    /// The number of dispatches in progress.
    pub outstanding: u32,
    /// The exponentially weighted mean time from dispatch to response; zero before the first response.
    pub latency: Duration,
    /// Whether the service is considered failing.
    pub failing: bool,
    /// The number of requests in the last 10 s.
    pub recent_requests: u32,
    /// The number of retries in the last 10 s.
    pub recent_retries: u32,
    /// The service's endpoints, ordered by id.
    pub endpoints: Vec<EndpointStatus>,
}

/// The status of a router, as included in dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterStatus {
    /// Whether the entry is shutting down.
    pub draining: bool,
    /// The number of request executions in progress. Resends that joined one are not counted.
    pub in_progress: usize,
    /// The number of queued requests.
    pub queued: usize,
    /// The number of claims waiting for a decision.
    pub claiming: usize,
    /// The number of dispatches and forwards in progress.
    pub dispatches: usize,
    /// The number of forwards in progress.
    pub forwards: usize,
    /// The number of cached responses.
    pub kept_answers: usize,
    /// The size of the cached responses in bytes.
    pub kept_bytes: usize,
    /// Event counts since the router was created.
    pub counters: RouterCounters,
    /// All known services, ordered by name.
    pub services: Vec<ServiceStatus>,
}
