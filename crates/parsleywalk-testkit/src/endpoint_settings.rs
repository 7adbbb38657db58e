//! Settings of the fake endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName, TimeSpan};

/// How a fake endpoint responds to requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointBehaviour {
    /// Runs the request and echoes its body.
    #[default]
    Normal,
    /// Runs the request and responds after this additional delay.
    Delay(Duration),
    /// Runs the request and responds with a different request id.
    WrongId,
    /// Runs the request and closes the connection before the whole body has been sent.
    TruncatedBody,
    /// Responds with 503 and the outcome `not_run`, without running the request.
    Refuse,
    /// Runs the request and keeps the connection open without a response.
    Silent,
}

/// Settings of a [`FakeEndpoint`](crate::FakeEndpoint).
#[derive(Debug, Clone)]
pub struct EndpointSettings {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// The entry daemons to which it announces itself; it adds the ones that their responses list.
    pub entries: Vec<SocketAddr>,
    /// The most requests that it serves concurrently; further ones are refused with the outcome `not_run`.
    pub slots: u32,
    /// How long an announcement is valid; it is renewed after a third of that.
    pub ttl: TimeSpan,
    /// How long each request takes to run.
    pub service_time: Duration,
    /// The initial behaviour.
    pub behaviour: EndpointBehaviour,
}

impl EndpointSettings {
    /// Creates the default settings: 8 slots, a time to live of 3 s, no service time and no entry daemons.
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
