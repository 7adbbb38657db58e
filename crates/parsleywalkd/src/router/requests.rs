//! Bodies of the requests in progress, and the receivers of their responses.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use flume::Sender;
use parsleywalk_peer::{PeerNetwork, StreamKind};
use parsleywalk_routing::RouteResponse;
use parsleywalk_units::{CallerName, IdempotencyKey, MonotonicTime, RequestId, ServiceName, VmNumber};

use crate::message::{DaemonMessage, ForwardedResponse};

/// The receiver of a request's response.
#[derive(Debug)]
pub(crate) enum ResponseSink {
    /// A caller connected to this entry.
    Caller(Sender<RouteResponse>),
    /// The entry of another zone that forwarded the request.
    Peer { network: Arc<PeerNetwork<DaemonMessage>>, vm: VmNumber, call: u64 },
}

impl ResponseSink {
    /// Sends the response. A caller that has left is not an error.
    pub(crate) fn respond(self, response: RouteResponse) {
        match self {
            Self::Caller(sender) => drop(sender.try_send(response)),
            Self::Peer { network, vm, call } => {
                let answer = match response {
                    RouteResponse::Whole(response) => ForwardedResponse::from(response.as_ref()),
                    RouteResponse::NotRun { retry_after, .. } => ForwardedResponse::NotRun { retry_after },
                    RouteResponse::Unknown { reason } => ForwardedResponse::Unknown { reason: reason.to_string() },
                };
                network.send(vm, StreamKind::Bulk, &DaemonMessage::ForwardReply { call, answer });
            }
        }
    }
}

/// The parts of a request that are sent to an endpoint or to another entry.
#[derive(Debug, Clone)]
pub(crate) struct RequestBody {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) repeatable: bool,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) deadline: MonotonicTime,
}

/// One request in progress.
#[derive(Debug)]
struct PendingRequest {
    body: RequestBody,
    sink: Option<ResponseSink>,
}

/// The requests in progress at this entry.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    // A hash map, because thousands of requests are added and removed per second.
    requests: HashMap<RequestId, PendingRequest>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, request: RequestId, body: RequestBody, sink: ResponseSink) {
        self.requests.insert(request, PendingRequest { body, sink: Some(sink) });
    }

    pub(crate) fn body(&self, request: RequestId) -> Option<&RequestBody> {
        self.requests.get(&request).map(|pending| &pending.body)
    }

    /// Responds to a request and drops its body.
    pub(crate) fn respond(&mut self, request: RequestId, response: RouteResponse) {
        if let Some(sink) = self.requests.remove(&request).and_then(|pending| pending.sink) {
            sink.respond(response);
        }
    }

    /// Drops the receiver of a request whose caller has left.
    ///
    /// The body of a keyed request stays until its deadline, because resends may have joined the request.
    pub(crate) fn abandon(&mut self, request: RequestId) {
        match self.requests.get_mut(&request) {
            Some(pending) if pending.body.key.is_some() => pending.sink = None,
            _ => drop(self.requests.remove(&request)),
        }
    }

    /// Drops the bodies of abandoned requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.requests.retain(|_, pending| pending.sink.is_some() || pending.body.deadline > now);
    }
}
