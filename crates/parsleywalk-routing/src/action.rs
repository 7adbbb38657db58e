//! Actions that the router requests from the daemon, and their results.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ClaimId, ClaimOutcome, DispatchId, RequestId, RequestKey, VmNumber};

use crate::{ClaimState, EndpointAddress, EndpointAnnouncement, EndpointResponse, RouteResponse};

/// An action for the daemon to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Commit a claim, then call [`claim_decided`](crate::RequestRouter::claim_decided) once with the same request.
    Claim {
        /// The first request under the key.
        request: RequestId,
        /// The key.
        key: RequestKey,
        /// The id of the claim. A claim that was not decided is sent again with the same id.
        claim: ClaimId,
    },
    /// Commit the outcome of a claimed request.
    Settle {
        /// The key.
        key: RequestKey,
        /// The id of the claim.
        claim: ClaimId,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
    /// Send a request to an endpoint, then call [`finish`](crate::RequestRouter::finish) once.
    Dispatch {
        /// The request whose body to send: of the requests that wait for the response, the one with the latest
        /// deadline.
        request: RequestId,
        /// The id that the endpoint repeats in its response.
        dispatch: DispatchId,
        /// The endpoint.
        endpoint: EndpointAddress,
        /// The time after which to report [`DispatchResult::Broken`].
        timeout: Duration,
    },
    /// Send a request to an entry of another zone with [`forwarded`](crate::RequestArrival::forwarded) set, then call
    /// [`finish`](crate::RequestRouter::finish) once.
    Forward {
        /// The request whose body to send.
        request: RequestId,
        /// The id of the attempt.
        dispatch: DispatchId,
        /// The index of the zone, below [`RouterSettings::other_zones`](crate::RouterSettings::other_zones).
        zone_index: u32,
        /// The time after which to report [`DispatchResult::Broken`].
        timeout: Duration,
    },
    /// Respond to a request. Each admitted request gets exactly one response, unless it was abandoned.
    Answer {
        /// The request.
        request: RequestId,
        /// The response.
        answer: RouteResponse,
    },
    /// Send an announcement to the zone's other entries.
    Share {
        /// The announcement of a leaving endpoint.
        announcement: EndpointAnnouncement,
    },
}

/// The decision of the claim service on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This entry holds the claim.
    Granted,
    /// Another claim on the key exists.
    HeldBy {
        /// The entry that holds it.
        entry: VmNumber,
        /// The state of its request.
        state: ClaimState,
    },
    /// The claim was not committed, or it is unknown whether it was.
    Unavailable,
}

/// The result of a dispatch or a forward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The complete response arrived and contains the id of the dispatch.
    Answered(Arc<EndpointResponse>),
    /// The endpoint, or the other zone's entry, refused the request before running it.
    Refused {
        /// The delay that the endpoint asked for.
        retry_after: Option<Duration>,
    },
    /// No byte of the request was written to a socket.
    NotSent {
        /// A description of the failure.
        reason: String,
    },
    /// Any other failure: a time-out, a broken connection, a truncated response or one with another id.
    Broken {
        /// A description of the failure.
        reason: String,
    },
}
