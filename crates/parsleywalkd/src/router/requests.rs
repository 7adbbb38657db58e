//! Bodies and waiters of the requests in progress.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use flume::Sender;
use parsleywalk_peer::{PeerNetwork, StreamKind};
use parsleywalk_routing::RouteResponse;
use parsleywalk_units::{CallerName, IdempotencyKey, MonotonicTime, RequestId, ServiceName, VmNumber};

use crate::message::{DaemonMessage, ForwardedAnswer};

/// Where a request's answer goes.
#[derive(Debug)]
pub(crate) enum AnswerSink {
    /// To a caller's connection at this entry.
    Waiter(Sender<RouteResponse>),
    /// To the entry of another zone that forwarded the request.
    Peer { network: Arc<PeerNetwork<DaemonMessage>>, vm: VmNumber, call: u64 },
}

impl AnswerSink {
    /// Hands the answer over. A caller that has left is not an error.
    pub(crate) fn answer(self, answer: RouteResponse) {
        match self {
            Self::Waiter(sender) => drop(sender.try_send(answer)),
            Self::Peer { network, vm, call } => {
                let answer = match answer {
                    RouteResponse::Whole(answer) => ForwardedAnswer::from(answer.as_ref()),
                    RouteResponse::NotRun { retry_after, .. } => ForwardedAnswer::NotRun { retry_after },
                    RouteResponse::Unknown { reason } => ForwardedAnswer::Unknown { reason: reason.to_string() },
                };
                network.send(vm, StreamKind::Bulk, &DaemonMessage::ForwardReply { call, answer });
            }
        }
    }
}

/// What is needed to send a request.
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
struct HeldRequest {
    body: RequestBody,
    sink: Option<AnswerSink>,
}

/// The requests in progress at this entry.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    // A map, since thousands of requests come and go each second.
    requests: HashMap<RequestId, HeldRequest>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, request: RequestId, body: RequestBody, sink: AnswerSink) {
        self.requests.insert(request, HeldRequest { body, sink: Some(sink) });
    }

    pub(crate) fn body(&self, request: RequestId) -> Option<&RequestBody> {
        self.requests.get(&request).map(|held| &held.body)
    }

    /// Answers a request and drops its body.
    pub(crate) fn answer(&mut self, request: RequestId, answer: RouteResponse) {
        if let Some(sink) = self.requests.remove(&request).and_then(|held| held.sink) {
            sink.answer(answer);
        }
    }

    /// Drops a caller's wait. The body of a keyed request stays until its deadline, since others may have joined it.
    pub(crate) fn abandon(&mut self, request: RequestId) {
        match self.requests.get_mut(&request) {
            Some(held) if held.body.key.is_some() => held.sink = None,
            _ => drop(self.requests.remove(&request)),
        }
    }

    /// Drops the bodies of abandoned requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.requests.retain(|_, held| held.sink.is_some() || held.body.deadline > now);
    }
}
