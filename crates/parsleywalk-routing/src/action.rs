//! What the router asks of the daemon and is told by it.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ClaimId, ClaimOutcome, DispatchId, RequestId, RequestKey, VmNumber};

use crate::{ClaimState, EndpointAddress, EndpointAnnouncement, EndpointResponse, RouteResponse};

/// An action that the daemon carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Commit a claim, then call `claim_decided` once with the same request.
    Claim {
        /// The first request under the key.
        request: RequestId,
        /// The key.
        key: RequestKey,
        /// The claim's identity; repeated when a claim without a decision is tried again.
        claim: ClaimId,
    },
    /// Commit the end of a claimed request.
    Settle {
        /// The key.
        key: RequestKey,
        /// The claim's identity.
        claim: ClaimId,
        /// How the request ended.
        outcome: ClaimOutcome,
    },
    /// Send a request to an endpoint, then call `finish` once.
    Dispatch {
        /// The request whose body is sent: the first that arrived under the key.
        request: RequestId,
        /// The identity that the endpoint echoes.
        dispatch: DispatchId,
        /// The endpoint.
        endpoint: EndpointAddress,
        /// When to give up.
        timeout: Duration,
    },
    /// Send a request to an entry of another zone with `forwarded` set, then call `finish` once.
    Forward {
        /// The request whose body is sent.
        request: RequestId,
        /// The identity of the attempt.
        dispatch: DispatchId,
        /// The zone, from 0 to the number of other zones exclusively.
        zone_index: u32,
        /// When to give up.
        timeout: Duration,
    },
    /// Answer a request. Each admitted request that was not abandoned gets exactly one.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RouteResponse,
    },
    /// Push an announcement to the zone's other entries.
    Share {
        /// The announcement of a leaving endpoint.
        announcement: EndpointAnnouncement,
    },
}

/// The decision on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This entry's claim holds.
    Granted,
    /// Another claim holds.
    HeldBy {
        /// The entry that made it.
        entry: VmNumber,
        /// How far its request has come.
        state: ClaimState,
    },
    /// The claim could not be committed, or it is not known whether it was.
    Unavailable,
}

/// How a dispatch or a forward ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The whole answer arrived and carries the identity of the dispatch.
    Answered(Arc<EndpointResponse>),
    /// The endpoint, or the other zone's entry, refused the request before running it.
    Refused {
        /// How long the endpoint asks to wait.
        retry_after: Option<Duration>,
    },
    /// No byte was handed to a socket.
    NotSent {
        /// Why.
        reason: String,
    },
    /// Anything else: a time-out, a broken connection, a wrong identity, a truncated answer.
    Broken {
        /// Why.
        reason: String,
    },
}
