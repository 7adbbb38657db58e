//! The router thread, which owns the request router and executes its actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use log::{info, warn};
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_coordinator::{CallFailure, LeaderCall, LeaderReply};
use parsleywalk_peer::{PeerNetwork, StreamKind};
use parsleywalk_routing::{
    ClaimDecision, ClaimState, DispatchResult, EndpointAnnouncement, RequestArrival, RequestRouter, RouteAction,
    RouterSettings, RouterStatus, ServiceRoute,
};
use parsleywalk_units::{
    ClaimId, ClaimOutcome, DispatchId, MonotonicTime, RequestId, RequestKey, StateTime, TimeSpan, VmNumber,
};

use super::dispatch::{self, EndpointCall};
use super::forward::{self, ForwardTable};
use super::handle::RequestCall;
use super::requests::{RequestBody, RequestTable, ResponseSink};
use crate::clock::ProcessClock;
use crate::control::ControlHandle;
use crate::message::{DaemonMessage, ForwardedRequest, ForwardedResponse};
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// Maximum number of queued events. Requests that don't fit are refused.
pub(crate) const MAX_QUEUED_EVENTS: usize = 16_384;

/// The longest wait for an event, so that expired forwards are found in time.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Time limit for claiming a key, if the request's deadline is not earlier.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for telling the leader the outcome of a claim.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The deadline of a request to a service without a route, which the router refuses at once.
const UNROUTED_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an endpoint's response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An event for the router thread.
#[derive(Debug)]
pub(crate) enum RouterEvent {
    Serve { request: RequestId, call: RequestCall, sink: ResponseSink },
    Announce { announcement: EndpointAnnouncement, done: Option<Sender<()>> },
    Finished { dispatch: DispatchId, result: DispatchResult },
    ForwardFinished { dispatch: DispatchId, response: ForwardedResponse },
    ClaimDecided { request: RequestId, decision: ClaimDecision },
    Abandon { request: RequestId },
    Configure { routes: Vec<ServiceRoute> },
    Status { sender: Sender<RouterStatus> },
    Drain,
}

/// The parts of the daemon that the router thread uses.
pub(crate) struct RouterContext {
    pub(crate) clock: ProcessClock,
    pub(crate) control: ControlHandle,
    pub(crate) network: Arc<PeerNetwork<DaemonMessage>>,
    /// Distinguishes the dispatches and claims of this process from those of earlier ones on the VM.
    pub(crate) incarnation: u64,
}

struct RouterThread {
    settings: DaemonSettings,
    context: RouterContext,
    router: RequestRouter,
    routes: Vec<ServiceRoute>,
    requests: RequestTable,
    forwards: ForwardTable,
    calls: Sender<EndpointCall>,
    events: Sender<RouterEvent>,
    /// The other entries of this daemon's zone.
    zone_peers: Vec<VmNumber>,
}

/// Starts the router thread and the dispatch thread.
pub(crate) fn start(
    settings: &DaemonSettings,
    context: RouterContext,
    events: &Sender<RouterEvent>,
    queue: Receiver<RouterEvent>,
) -> Result<()> {
    let (calls, call_queue) = flume::bounded(settings.limits.dispatches);
    dispatch::start(MAX_RESPONSE_BYTES, call_queue, events.clone())?;
    let own = settings.own_address();
    let in_zone = settings.daemons.iter().filter(|daemon| daemon.zone == own.zone);
    let forwards = ForwardTable::new(&own.zone, &settings.daemons);
    let router_settings = RouterSettings {
        zone_entries: u32::try_from(in_zone.clone().count()).unwrap_or(1),
        dispatch_limit: settings.limits.dispatches,
        other_zones: forwards.zone_count(),
        ..RouterSettings::default()
    };
    let thread = RouterThread {
        router: RequestRouter::new(router_settings, context.incarnation),
        routes: Vec::new(),
        requests: RequestTable::default(),
        forwards,
        calls,
        events: events.clone(),
        zone_peers: in_zone.map(|daemon| daemon.vm).filter(|vm| *vm != settings.vm).collect(),
        settings: settings.clone(),
        context,
    };
    std::thread::Builder::new()
        .name("router".to_owned())
        .spawn(move || thread.run(&queue))
        .map_err(|cause| DaemonError::Thread { step: "start router thread", cause })?;
    Ok(())
}

impl RouterThread {
    fn run(mut self, queue: &Receiver<RouterEvent>) {
        loop {
            let now = self.context.clock.now();
            let sleep = self.router.next_deadline().since(now).min(MAX_SLEEP);
            let event = match queue.recv_timeout(sleep) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = self.context.clock.now();
            let mut actions = VecDeque::new();
            if let Some(event) = event {
                actions.extend(self.handle(now, event));
            }
            if self.router.next_deadline() <= now {
                actions.extend(self.router.tick(now));
                self.requests.expire(now);
            }
            for dispatch in self.forwards.remove_expired(now) {
                let reason = "the other zone's entry did not answer in time".to_owned();
                actions.extend(self.router.finish(now, dispatch, DispatchResult::Broken { reason }));
            }
            while let Some(action) = actions.pop_front() {
                actions.extend(self.execute(now, action));
            }
        }
    }

    fn handle(&mut self, now: MonotonicTime, event: RouterEvent) -> Vec<RouteAction> {
        match event {
            RouterEvent::Serve { request, call, sink } => self.admit(now, request, call, sink),
            RouterEvent::Announce { announcement, done } => {
                let actions = self.router.announce(now, announcement);
                if let Some(done) = done {
                    done.send(()).ok();
                }
                actions
            }
            RouterEvent::Finished { dispatch, result } => self.router.finish(now, dispatch, result),
            RouterEvent::ForwardFinished { dispatch, response } => {
                if !self.forwards.remove(dispatch) {
                    return Vec::new();
                }
                self.router.finish(now, dispatch, forward::dispatch_result(response))
            }
            RouterEvent::ClaimDecided { request, decision } => self.router.claim_decided(now, request, decision),
            RouterEvent::Abandon { request } => {
                self.requests.abandon(request);
                self.router.abandon(now, request)
            }
            RouterEvent::Configure { routes } => {
                self.routes.clone_from(&routes);
                self.router.configure(now, routes)
            }
            RouterEvent::Status { sender } => {
                drop(sender.send(self.router.status()));
                Vec::new()
            }
            RouterEvent::Drain => {
                info!("event=router_drain requests={}", self.router.in_progress());
                self.router.drain(now)
            }
        }
    }

    fn admit(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        call: RequestCall,
        sink: ResponseSink,
    ) -> Vec<RouteAction> {
        // A request to a service without a route goes to the router as well. Only the router knows whether another entry
        // may be running a copy of a keyed request, in which case the refusal must not say "not run".
        let route = self.routes.iter().find(|route| route.service == call.service);
        let repeatable = call.repeatable.or(route.map(|route| route.repeatable)).unwrap_or(false);
        let timeout = call.deadline.or(route.map(|route| route.deadline)).unwrap_or(UNROUTED_TIMEOUT);
        let deadline = now + timeout;
        let arrival = RequestArrival {
            request,
            service: call.service.clone(),
            caller: call.caller.clone(),
            key: call.key.clone(),
            repeatable,
            deadline,
            forwarded: call.forwarded,
            digest: call.digest,
        };
        let body = RequestBody {
            service: call.service,
            caller: call.caller,
            key: call.key,
            repeatable,
            content_type: call.content_type,
            body: call.body,
            deadline,
        };
        self.requests.insert(request, body, sink);
        self.router.admit(now, arrival)
    }

    /// Executes an action and returns the actions that result from it immediately.
    fn execute(&mut self, now: MonotonicTime, action: RouteAction) -> Vec<RouteAction> {
        match action {
            RouteAction::Answer { request, answer } => {
                self.requests.respond(request, answer);
                Vec::new()
            }
            RouteAction::Dispatch { request, dispatch, endpoint, timeout } => {
                let result = self.dispatch(request, dispatch, endpoint.get(), timeout);
                result.map_or_else(Vec::new, |result| self.router.finish(now, dispatch, result))
            }
            RouteAction::Forward { request, dispatch, zone_index, timeout } => {
                let result = self.forward(now, request, dispatch, zone_index, timeout);
                result.map_or_else(Vec::new, |result| self.router.finish(now, dispatch, result))
            }
            RouteAction::Claim { request, key, claim } => {
                self.claim(now, request, key, claim);
                Vec::new()
            }
            RouteAction::Settle { key, claim, outcome } => {
                self.settle(key, claim, outcome);
                Vec::new()
            }
            RouteAction::Share { announcement } => {
                for vm in &self.zone_peers {
                    let message = DaemonMessage::Announce(announcement.clone());
                    self.context.network.send(*vm, StreamKind::Control, &message);
                }
                Vec::new()
            }
        }
    }

    /// Queues a request for the dispatch thread; returns the result if that fails.
    fn dispatch(
        &self,
        request: RequestId,
        dispatch: DispatchId,
        endpoint: std::net::SocketAddr,
        timeout: Duration,
    ) -> Option<DispatchResult> {
        let not_sent = |reason: &str| Some(DispatchResult::NotSent { reason: reason.to_owned() });
        let Some(body) = self.requests.body(request) else {
            return not_sent("the caller left before the request was sent");
        };
        let call = EndpointCall {
            dispatch,
            wire_id: format!("{}-{:x}-{dispatch}", self.settings.vm, self.context.incarnation),
            endpoint,
            service: body.service.to_string(),
            content_type: body.content_type.clone(),
            body: body.body.clone(),
            timeout,
        };
        if self.calls.try_send(call).is_err() {
            return not_sent("the queue of calls to endpoints is full");
        }
        None
    }

    /// Sends a request to an entry of another zone; returns the result if that fails.
    fn forward(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        dispatch: DispatchId,
        zone_index: u32,
        timeout: Duration,
    ) -> Option<DispatchResult> {
        let not_sent = |reason: &str| Some(DispatchResult::NotSent { reason: reason.to_owned() });
        let Some(vm) = self.forwards.pick(zone_index) else { return not_sent("there is no other zone") };
        let Some(body) = self.requests.body(request) else {
            return not_sent("the caller left before the request was sent");
        };
        let forwarded = ForwardedRequest {
            service: body.service.clone(),
            caller: body.caller.clone(),
            key: body.key.clone(),
            repeatable: body.repeatable,
            timeout: TimeSpan::saturating_from(timeout),
            content_type: body.content_type.clone(),
            body: body.body.to_vec(),
        };
        let message = DaemonMessage::Forward { call: dispatch.get(), request: forwarded };
        if !self.context.network.send(vm, StreamKind::Bulk, &message) {
            return not_sent("the link to the other zone's entry is full");
        }
        self.forwards.insert(dispatch, now + timeout);
        None
    }

    fn claim(&self, now: MonotonicTime, request: RequestId, key: RequestKey, claim: ClaimId) {
        let deadline = self.requests.body(request).map_or(now, |body| body.deadline);
        let remaining = deadline.since(now);
        let command = ControlCommand::Claim {
            at: StateTime::default(),
            key,
            entry: self.settings.vm,
            claim,
            deadline: TimeSpan::saturating_from(remaining),
        };
        let events = self.events.clone();
        let callback = move |result: std::result::Result<LeaderReply, CallFailure>| {
            let event = RouterEvent::ClaimDecided { request, decision: claim_decision(&result) };
            if events.send(event).is_err() {
                warn!("event=claim_decision_lost request={request}");
            }
        };
        let call = LeaderCall::Command(Box::new(command));
        self.context.control.call_with_callback(call, CLAIM_TIMEOUT.min(remaining), Box::new(callback));
    }

    fn settle(&self, key: RequestKey, claim: ClaimId, outcome: ClaimOutcome) {
        let command = ControlCommand::SettleClaim { at: StateTime::default(), key: key.clone(), claim, outcome };
        let callback = move |result: std::result::Result<LeaderReply, CallFailure>| {
            if let Err(failure) = result {
                warn!("event=claim_not_settled key={key} claim={claim} error={:?}", failure.to_string());
            }
        };
        self.context.control.call_with_callback(
            LeaderCall::Command(Box::new(command)),
            SETTLE_TIMEOUT,
            Box::new(callback),
        );
    }
}

fn claim_decision(result: &std::result::Result<LeaderReply, CallFailure>) -> ClaimDecision {
    match result {
        Ok(LeaderReply::Applied(ControlReply::ClaimGranted)) => ClaimDecision::Granted,
        Ok(LeaderReply::Applied(ControlReply::ClaimHeld { entry, outcome, .. })) => {
            ClaimDecision::HeldBy { entry: *entry, state: claim_state(*outcome) }
        }
        _ => ClaimDecision::Unavailable,
    }
}

fn claim_state(outcome: Option<ClaimOutcome>) -> ClaimState {
    match outcome {
        None => ClaimState::InProgress,
        Some(ClaimOutcome::Done) => ClaimState::Done,
        Some(ClaimOutcome::NotRun | ClaimOutcome::Unknown) => ClaimState::Unknown,
    }
}
