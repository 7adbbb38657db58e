//! Settings of the endpoint's stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName, TimeSpan};

/// How an endpoint answers requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointBehaviour {
    /// Runs the request and echoes its body.
    #[default]
    Normal,
    /// Runs the request and answers this much later.
    Delay(Duration),
    /// Runs the request and answers under another request id.
    WrongId,
    /// Runs the request and closes the connection before the announced length is reached.
    TruncatedBody,
    /// Refuses before running, with 503 and the outcome `not_run`.
    Refuse,
    /// Runs the request and keeps the connection open without an answer.
    Silent,
}

/// Settings of a [`FakeEndpoint`](crate::FakeEndpoint).
#[derive(Debug, Clone)]
pub struct EndpointSettings {
    /// Its identity.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// The caller edges that it announces itself to; it adds those that answers name.
    pub entries: Vec<SocketAddr>,
    /// How many requests it serves at once; it refuses more as `not_run`.
    pub slots: u32,
    /// For how long an announcement holds; it is renewed after a third of that.
    pub ttl: TimeSpan,
    /// How long a request takes.
    pub service_time: Duration,
    /// How it answers at first.
    pub behaviour: EndpointBehaviour,
}

impl EndpointSettings {
    /// The defaults for an endpoint: 8 slots, a time to live of 3 s, no service time, no entries.
    #[must_use]
    pub const fn new(endpoint: EndpointId, service: ServiceName) -> Self {
        Self {
            endpoint,
            incarnation: Incarnation::new(1),
            service,
            entries: Vec::new(),
            slots: 8,
            ttl: TimeSpan::from_secs(3),
            service_time: Duration::ZERO,
            behaviour: EndpointBehaviour::Normal,
        }
    }
}
