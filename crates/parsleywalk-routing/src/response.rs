//! Responses to requests.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ServiceName, VmNumber};
use serde::Serialize;

/// A complete response of an endpoint, whose request id, length and size the daemon has checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The number of other requests that the endpoint was serving when it responded, if it reported one.
    pub load: Option<u32>,
}

impl EndpointResponse {
    /// Returns the approximate memory use of the response in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
        self.body.len() + headers + 128
    }
}

/// The state of an existing claim on a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ClaimState {
    /// The claimed request has not ended.
    InProgress,
    /// It ran and its endpoint responded.
    Done,
    /// It may have run.
    Unknown,
}

impl Display for ClaimState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::InProgress => "in progress",
            Self::Done => "done",
            Self::Unknown => "unknown",
        })
    }
}

/// The reason why a request did not get an endpoint's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum RouteReason {
    /// The configuration does not contain the service.
    UnknownService,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// The expected queueing time is too long, or a limit has been reached.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is shutting down.
    Draining,
    /// A service that the requested one depends on is failing.
    DependencyFailing(ServiceName),
    /// The endpoints refused the request without running it.
    EndpointRefused,
    /// The request could not be sent.
    NotSent,
    /// The connection broke, or the response was incomplete.
    Broken,
    /// Another entry holds a claim on the request key.
    ClaimHeld {
        /// The entry that holds the claim.
        entry: VmNumber,
        /// The state of the claim.
        state: ClaimState,
    },
    /// The claim was not decided.
    ClaimUnavailable,
    /// The request key was used before with another body, or with another value of `repeatable`.
    KeyMismatch,
}

impl Display for RouteReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService => formatter.write_str("unknown service"),
            Self::NoEndpoint => formatter.write_str("no usable endpoint"),
            Self::Overloaded => formatter.write_str("overloaded"),
            Self::DeadlinePassed => formatter.write_str("deadline passed"),
            Self::Draining => formatter.write_str("entry is shutting down"),
            Self::DependencyFailing(service) => write!(formatter, "dependency {service} is failing"),
            Self::EndpointRefused => formatter.write_str("refused by endpoint"),
            Self::NotSent => formatter.write_str("could not be sent"),
            Self::Broken => formatter.write_str("connection to endpoint broke"),
            Self::ClaimHeld { entry, state } => write!(formatter, "request key is held by entry {entry}: {state}"),
            Self::ClaimUnavailable => formatter.write_str("claim could not be decided"),
            Self::KeyMismatch => formatter.write_str("request key was used with another request"),
        }
    }
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteResponse {
    /// The complete response of an endpoint, received within the deadline.
    Whole(Arc<EndpointResponse>),
    /// The request has not run and will not run.
    NotRun {
        /// The reason.
        reason: RouteReason,
        /// The time to wait before sending the request again.
        retry_after: Option<Duration>,
    },
    /// The request may have run or may still run.
    Unknown {
        /// The reason.
        reason: RouteReason,
    },
}
