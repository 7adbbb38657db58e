//! How the rest of the daemon reaches the router.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use parsleywalk_api::AnnounceRequest;
use parsleywalk_routing::{
    EndpointAddress, EndpointAnnouncement, RequestDigest, RouteReason, RouteResponse, RouterStatus, ServiceRoute,
};
use parsleywalk_units::{CallerName, DispatchId, IdempotencyKey, RequestId, ServiceName};
use sha2::{Digest, Sha256};

use super::requests::AnswerSink;
use super::thread::RouterEvent;
use crate::message::{ForwardedAnswer, ForwardedRequest};

/// The wait that is suggested when the router's queue is full.
const OVERLOAD_RETRY: Duration = Duration::from_millis(200);

/// A request as the caller edge or another zone's entry hands it over.
#[derive(Debug)]
pub(crate) struct RequestCall {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<IdempotencyKey>,
    /// The service's default holds where absent.
    pub(crate) repeatable: Option<bool>,
    /// The service's deadline holds where absent.
    pub(crate) deadline: Option<Duration>,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// The digest of the body, which [`body_digest`] computes before the router's thread gets the request.
    pub(crate) digest: RequestDigest,
    pub(crate) forwarded: bool,
}

/// The digest to which a request's key is bound; zero for a request without a key, which needs none.
pub(crate) fn body_digest(key: Option<&IdempotencyKey>, body: &[u8]) -> RequestDigest {
    RequestDigest::new(key.map_or([0; 32], |_| Sha256::digest(body).into()))
}

impl RequestCall {
    /// A request that an entry of another zone forwarded.
    pub(crate) fn from_forwarded(request: ForwardedRequest) -> Self {
        Self {
            digest: body_digest(request.key.as_ref(), &request.body),
            service: request.service,
            caller: request.caller,
            key: request.key,
            repeatable: Some(request.repeatable),
            deadline: Some(request.timeout.as_duration()),
            content_type: request.content_type,
            body: Bytes::from(request.body),
            forwarded: true,
        }
    }
}

/// Sends events to the router's thread. Cloning shares the queue.
#[derive(Debug, Clone)]
pub(crate) struct RouterHandle {
    events: Sender<RouterEvent>,
    next_request: Arc<AtomicU64>,
}

impl RouterHandle {
    pub(crate) fn new(events: Sender<RouterEvent>) -> Self {
        Self { events, next_request: Arc::new(AtomicU64::new(1)) }
    }

    /// Serves a request and returns its one answer. Dropping the future tells the router that the caller left.
    pub(crate) async fn serve(&self, call: RequestCall) -> RouteResponse {
        let request = self.allocate();
        let (sender, answer) = flume::bounded(1);
        let sink = AnswerSink::Waiter(sender);
        let keyed = call.key.is_some();
        if self.events.try_send(RouterEvent::Serve { request, call, sink }).is_err() {
            return overloaded(keyed);
        }
        let mut guard = AbandonGuard { events: &self.events, request, answered: false };
        let answer = answer.recv_async().await;
        guard.answered = true;
        answer.unwrap_or(RouteResponse::Unknown { reason: RouteReason::Draining })
    }

    /// Serves a request for another zone's entry; the sink gets its one answer.
    pub(crate) fn serve_forwarded(&self, call: RequestCall, sink: AnswerSink) {
        let request = self.allocate();
        if let Err(flume::TrySendError::Full(RouterEvent::Serve { sink, .. })) =
            self.events.try_send(RouterEvent::Serve { request, call, sink })
        {
            // The forwarding entry asks about its own forward only.
            sink.answer(overloaded(false));
        }
    }

    /// Announces an endpoint; `false` when the router's queue is full.
    pub(crate) async fn announce(&self, announcement: AnnounceRequest) -> bool {
        let announcement = EndpointAnnouncement {
            endpoint: announcement.endpoint,
            incarnation: announcement.incarnation,
            service: announcement.service,
            address: EndpointAddress::new(announcement.address),
            slots: announcement.slots,
            ttl: announcement.ttl.as_duration(),
            leaving: announcement.leaving,
        };
        let (done, handled) = flume::bounded(1);
        let event = RouterEvent::Announce { announcement, done: Some(done) };
        // Answered once the router has it, so that a leaving endpoint knows from the answer that it gets nothing new.
        self.events.try_send(event).is_ok() && handled.recv_async().await.is_ok()
    }

    /// Takes over what another entry of the zone heard of an endpoint.
    pub(crate) fn share(&self, announcement: EndpointAnnouncement) {
        drop(self.events.try_send(RouterEvent::Announce { announcement, done: None }));
    }

    /// Takes the answer of another zone's entry.
    pub(crate) fn finish_forward(&self, call: u64, answer: ForwardedAnswer) {
        let event = RouterEvent::ForwardFinished { dispatch: DispatchId::new(call), answer };
        drop(self.events.send(event));
    }

    /// Puts the services of a new configuration in force.
    pub(crate) fn configure(&self, routes: Vec<ServiceRoute>) {
        drop(self.events.send(RouterEvent::Configure { routes }));
    }

    /// Refuses new requests and finishes those in progress.
    pub(crate) fn drain(&self) {
        drop(self.events.send(RouterEvent::Drain));
    }

    /// Asks for the router's state.
    pub(crate) fn status(&self) -> Option<RouterStatus> {
        let (sender, status) = flume::bounded(1);
        self.events.send(RouterEvent::Status { sender }).ok()?;
        status.recv_timeout(Duration::from_secs(2)).ok()
    }

    fn allocate(&self) -> RequestId {
        RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed))
    }
}

/// Another entry may run a copy of a keyed request, so that "not run" would not be proved.
fn overloaded(keyed: bool) -> RouteResponse {
    let reason = RouteReason::Overloaded;
    if keyed {
        return RouteResponse::Unknown { reason };
    }
    RouteResponse::NotRun { reason, retry_after: Some(OVERLOAD_RETRY) }
}

/// Tells the router that a caller left when its request is dropped unanswered.
struct AbandonGuard<'a> {
    events: &'a Sender<RouterEvent>,
    request: RequestId,
    answered: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // A lost notice only leaves the request to run to its end, which is permitted.
            drop(self.events.try_send(RouterEvent::Abandon { request: self.request }));
        }
    }
}
