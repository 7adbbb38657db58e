//! Answers to requests.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ServiceName, VmNumber};
use serde::Serialize;

/// An endpoint's whole answer, checked by the daemon for its request id, length and size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// How many requests the endpoint was serving when it answered, this one not counted.
    pub load: Option<u32>,
}

impl EndpointResponse {
    /// Returns the bytes that keeping the answer takes, approximately.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
        self.body.len() + headers + 128
    }
}

/// The state of a claim that another request holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ClaimState {
    /// The claimed request has not ended.
    InProgress,
    /// It ran and was answered.
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

/// Why a request was not answered by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum RouteReason {
    /// The configuration has no such service.
    UnknownService,
    /// No endpoint of the service is usable.
    NoEndpoint,
    /// The expected wait is too long, or a limit is reached.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is shutting down.
    Draining,
    /// A service on which this one depends is failing.
    DependencyFailing(ServiceName),
    /// Endpoints refused the request before running it.
    EndpointRefused,
    /// The request could not be sent.
    NotSent,
    /// The connection broke, or the answer was not whole.
    Broken,
    /// The key is claimed.
    ClaimHeld {
        /// The entry that holds the claim.
        entry: VmNumber,
        /// How far the claimed request has come.
        state: ClaimState,
    },
    /// The claim could not be decided.
    ClaimUnavailable,
    /// The key was used with another body, or as repeatable by one request and as not repeatable by another.
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

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteResponse {
    /// An endpoint's whole answer, within the deadline.
    Whole(Arc<EndpointResponse>),
    /// Nothing ran and nothing will run.
    NotRun {
        /// Why.
        reason: RouteReason,
        /// How long to wait before a resend is of use.
        retry_after: Option<Duration>,
    },
    /// The request may have run or may still run.
    Unknown {
        /// Why.
        reason: RouteReason,
    },
}
