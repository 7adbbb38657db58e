//! The interface of the router thread to the rest of the daemon.

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

use super::requests::ResponseSink;
use super::thread::RouterEvent;
use crate::message::{ForwardedRequest, ForwardedResponse};

/// The delay before a retry that is suggested to callers while the router's queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request from a caller or from an entry of another zone.
#[derive(Debug)]
pub(crate) struct RequestCall {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<IdempotencyKey>,
    /// Whether the request may run more than once; the service's default if absent.
    pub(crate) repeatable: Option<bool>,
    /// The time until the request's deadline; the service's default if absent.
    pub(crate) deadline: Option<Duration>,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// The digest of the body, computed by [`body_digest`] outside the router thread to keep hashing off it.
    pub(crate) digest: RequestDigest,
    pub(crate) forwarded: bool,
}

/// Returns the digest to which a request's key is bound; zero for a request without a key.
pub(crate) fn body_digest(key: Option<&IdempotencyKey>, body: &[u8]) -> RequestDigest {
    RequestDigest::new(key.map_or([0; 32], |_| Sha256::digest(body).into()))
}

impl RequestCall {
    /// Creates a request from one that an entry of another zone forwarded.
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

/// Sends events to the router thread. Clones share its queue.
#[derive(Debug, Clone)]
pub(crate) struct RouterHandle {
    events: Sender<RouterEvent>,
    next_request: Arc<AtomicU64>,
}

impl RouterHandle {
    pub(crate) fn new(events: Sender<RouterEvent>) -> Self {
        Self { events, next_request: Arc::new(AtomicU64::new(1)) }
    }

    /// Serves a request and returns its response. Dropping the future tells the router that the caller has left.
    pub(crate) async fn serve(&self, call: RequestCall) -> RouteResponse {
        let request = self.next_request_id();
        let (sender, response) = flume::bounded(1);
        let sink = ResponseSink::Caller(sender);
        let keyed = call.key.is_some();
        if self.events.try_send(RouterEvent::Serve { request, call, sink }).is_err() {
            return overloaded(keyed);
        }
        let mut guard = AbandonGuard { events: &self.events, request, responded: false };
        let response = response.recv_async().await;
        guard.responded = true;
        response.unwrap_or(RouteResponse::Unknown { reason: RouteReason::Draining })
    }

    /// Serves a request for an entry of another zone and passes the response to `sink`.
    pub(crate) fn serve_forwarded(&self, call: RequestCall, sink: ResponseSink) {
        let request = self.next_request_id();
        if let Err(flume::TrySendError::Full(RouterEvent::Serve { sink, .. })) =
            self.events.try_send(RouterEvent::Serve { request, call, sink })
        {
            // "Not run" is correct even for a keyed request: the forwarding entry only asks about this forward.
            sink.respond(overloaded(false));
        }
    }

    /// Announces an endpoint. Returns false if the router's queue is full.
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
        // Waits until the router has handled it, so that a leaving endpoint gets no new request after the response.
        self.events.try_send(event).is_ok() && handled.recv_async().await.is_ok()
    }

    /// Passes on an announcement that another entry of the zone received.
    pub(crate) fn announce_from_peer(&self, announcement: EndpointAnnouncement) {
        drop(self.events.try_send(RouterEvent::Announce { announcement, done: None }));
    }

    /// Passes on the reply to a forwarded request.
    pub(crate) fn finish_forward(&self, call: u64, response: ForwardedResponse) {
        let event = RouterEvent::ForwardFinished { dispatch: DispatchId::new(call), response };
        drop(self.events.send(event));
    }

    /// Replaces the routes with those of a new configuration.
    pub(crate) fn configure(&self, routes: Vec<ServiceRoute>) {
        drop(self.events.send(RouterEvent::Configure { routes }));
    }

    /// Makes the router refuse new requests and finish those in progress.
    pub(crate) fn drain(&self) {
        drop(self.events.send(RouterEvent::Drain));
    }

    /// Returns the router's state; `None` if the thread has stopped or doesn't respond.
    pub(crate) fn status(&self) -> Option<RouterStatus> {
        let (sender, status) = flume::bounded(1);
        self.events.send(RouterEvent::Status { sender }).ok()?;
        status.recv_timeout(Duration::from_secs(2)).ok()
    }

    fn next_request_id(&self) -> RequestId {
        RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed))
    }
}

/// Returns the response to a request that doesn't fit into the router's queue.
///
/// For a keyed request this is "unknown", because another entry may be running a copy of it.
fn overloaded(keyed: bool) -> RouteResponse {
    let reason = RouteReason::Overloaded;
    if keyed {
        return RouteResponse::Unknown { reason };
    }
    RouteResponse::NotRun { reason, retry_after: Some(OVERLOAD_RETRY_AFTER) }
}

/// Tells the router that the caller has left if it is dropped before the response.
struct AbandonGuard<'a> {
    events: &'a Sender<RouterEvent>,
    request: RequestId,
    responded: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.responded {
            // If the queue is full, the request merely runs to its end.
            drop(self.events.try_send(RouterEvent::Abandon { request: self.request }));
        }
    }
}
