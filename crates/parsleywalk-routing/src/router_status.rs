//! What the router shows of itself.

use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName};
use serde::Serialize;

use crate::EndpointAddress;

/// Counts since the start of the router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RouterCounters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that joined one in progress under the same key.
    pub joined: u64,
    /// Requests answered from kept answers.
    pub kept_answers: u64,
    /// Requests answered with an endpoint's whole answer, kept ones included.
    pub whole: u64,
    /// Requests answered as not run.
    pub not_run: u64,
    /// Requests answered as unknown.
    pub unknown: u64,
    /// Requests whose caller left.
    pub abandoned: u64,
    /// Dispatches to endpoints.
    pub dispatches: u64,
    /// Requests sent again after a failure.
    pub retries: u64,
    /// Unanswered requests sent a second time.
    pub hedges: u64,
    /// Retries that the budget did not permit.
    pub retries_denied: u64,
    /// Forwards to other zones.
    pub forwards: u64,
    /// Results that arrived after their dispatch had ended.
    pub late_results: u64,
    /// Dispatches that never got a result.
    pub lost_dispatches: u64,
}

/// One endpoint in a [`RouterStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: EndpointAddress,
    /// The slots that it announced.
    pub slots: u32,
    /// Requests of this entry in progress there.
    pub outstanding: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its announcement has expired.
    pub expired: bool,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Failures in a row.
    pub failures: u32,
}

/// One service in a [`RouterStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Whether the configuration has it.
    pub configured: bool,
    /// Requests waiting for a slot.
    pub queued: usize,
    /// Callers with waiting requests.
    pub callers: usize,
    /// Dispatches without a result.
    pub outstanding: u32,
    /// The mean time from dispatch to answer over recent answers.
    pub latency: Duration,
    /// Whether it counts as failing.
    pub failing: bool,
    /// Requests of the last 10 s.
    pub recent_requests: u32,
    /// Retries of the last 10 s.
    pub recent_retries: u32,
    /// Its endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// The state of a router, for dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterStatus {
    /// Whether the entry is shutting down.
    pub draining: bool,
    /// Requests in progress, joined resends not counted.
    pub in_progress: usize,
    /// Requests waiting for a slot.
    pub queued: usize,
    /// Claims without a decision.
    pub claiming: usize,
    /// Dispatches and forwards without a result.
    pub dispatches: usize,
    /// Forwards without a result.
    pub forwards: usize,
    /// Kept answers.
    pub kept_answers: usize,
    /// Bytes of kept answers.
    pub kept_bytes: usize,
    /// Counts since the start.
    pub counters: RouterCounters,
    /// All services, in order of name.
    pub services: Vec<ServiceStatus>,
}
