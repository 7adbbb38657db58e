//! Messages between daemons.

use std::time::Duration;

use parsleywalk_coordinator::CoordinatorMessage;
use parsleywalk_routing::{EndpointAnnouncement, EndpointResponse};
use parsleywalk_units::{CallerName, IdempotencyKey, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DaemonMessage {
    /// A message between coordinators.
    Coordinator(CoordinatorMessage),
    /// An endpoint's announcement that it leaves, shared with the other entries of its zone.
    Announce(EndpointAnnouncement),
    /// A request that the sender's zone can't serve. `call` identifies the reply.
    Forward { call: u64, request: ForwardedRequest },
    /// The reply to a forwarded request.
    ForwardReply { call: u64, answer: ForwardedResponse },
}

/// A request forwarded to another zone.
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

/// The outcome of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardedResponse {
    /// An endpoint's complete response.
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// The request did not run in the other zone.
    NotRun { retry_after: Option<Duration> },
    /// The request may have run in the other zone.
    Unknown { reason: String },
}

impl From<&EndpointResponse> for ForwardedResponse {
    fn from(response: &EndpointResponse) -> Self {
        Self::Whole { status: response.status, headers: response.headers.clone(), body: response.body.clone() }
    }
}
