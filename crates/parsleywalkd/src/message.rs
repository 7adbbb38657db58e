//! What daemons say to one another.

use std::time::Duration;

use parsleywalk_coordinator::CoordinatorMessage;
use parsleywalk_routing::{EndpointAnnouncement, EndpointResponse};
use parsleywalk_units::{CallerName, IdempotencyKey, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DaemonMessage {
    /// A message of the control plane.
    Coordinator(CoordinatorMessage),
    /// A leaving endpoint, pushed to the entries of its zone.
    Announce(EndpointAnnouncement),
    /// A request that the sender's zone can't serve.
    Forward { call: u64, request: ForwardedRequest },
    /// The answer to a forwarded request.
    ForwardReply { call: u64, answer: ForwardedAnswer },
}

/// A request on its way to another zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) repeatable: bool,
    pub(crate) timeout: TimeSpan,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// How a forwarded request ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardedAnswer {
    /// An endpoint's whole answer.
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// Nothing ran there.
    NotRun { retry_after: Option<Duration> },
    /// It may have run there.
    Unknown { reason: String },
}

impl From<&EndpointResponse> for ForwardedAnswer {
    fn from(answer: &EndpointResponse) -> Self {
        Self::Whole { status: answer.status, headers: answer.headers.clone(), body: answer.body.clone() }
    }
}
