//! The request router of a daemon, connected as in the daemon's router and dispatch threads.

use std::collections::VecDeque;
use std::time::Duration;

use parsleywalk_control::ControlCommand;
use parsleywalk_coordinator::LeaderCall;
use parsleywalk_routing::{
    ClaimDecision, DispatchResult, EndpointAnnouncement, RequestArrival, RequestDigest, RequestRouter, RouteAction,
    RouteResponse, ServiceRoute,
};
use parsleywalk_units::{DispatchId, MonotonicTime, RequestId, StateTime, TimeSpan};

use crate::callers::SERVICES;
use crate::daemon::{DAEMON_ZONES, PendingRequest, ReplySink, ResponseSink};
use crate::event::{DispatchReply, Event, ForwardedRequest, NetworkNode, PeerMessage};
use crate::world::{Delivery, World};

/// How long an entry daemon waits for a claim, as in the real daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for settling a claim at the leader, as in the real daemon.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The timeout of a request to a service that has no route, as in the real daemon.
const UNROUTED_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as it arrives at an entry daemon.
pub(crate) struct EntryCall {
    pub(crate) logical: usize,
    /// `None` uses the service's default.
    pub(crate) repeatable: Option<bool>,
    pub(crate) timeout: Option<Duration>,
    pub(crate) forwarded: bool,
}

/// Inputs of the router.
impl World {
    /// Runs `step` on the router and applies the resulting actions.
    pub(crate) fn route(
        &mut self,
        daemon: usize,
        step: impl FnOnce(&mut RequestRouter, MonotonicTime, &Vec<ServiceRoute>) -> Vec<RouteAction>,
    ) {
        let routed = &mut self.daemons[daemon];
        let local = routed.clock.read(self.now);
        let Some(process) = &mut routed.process else { return };
        let mut actions: VecDeque<RouteAction> = step(&mut process.router, local, &process.routes).into();
        while let Some(action) = actions.pop_front() {
            actions.extend(self.apply_route_action(daemon, local, action));
        }
        self.schedule_wake(daemon);
    }

    pub(crate) fn tick_router(&mut self, daemon: usize) {
        self.route(
            daemon,
            |router, local, _| {
                if router.next_deadline() <= local { router.tick(local) } else { Vec::new() }
            },
        );
        let routed = &mut self.daemons[daemon];
        let local = routed.clock.read(self.now);
        let Some(process) = &mut routed.process else { return };
        let overdue: Vec<DispatchId> =
            process.forwards.extract_if(.., |_, deadline| *deadline <= local).map(|(dispatch, _)| dispatch).collect();
        for dispatch in overdue {
            let result =
                DispatchResult::Broken { reason: "the other zone's entry daemon did not respond in time".to_owned() };
            self.route(daemon, |router, local, _| router.finish(local, dispatch, result));
        }
    }

    pub(crate) fn claim_decided(&mut self, daemon: usize, request: RequestId, decision: ClaimDecision) {
        self.route(daemon, |router, local, _| router.claim_decided(local, request, decision));
    }

    pub(crate) fn admit(&mut self, daemon: usize, call: &EntryCall, sink: ResponseSink) {
        let logical = &self.callers.logical_requests[call.logical];
        let (service, key) = (SERVICES[logical.service].parse().expect("a service's name"), logical.key.clone());
        let caller = format!("caller-{}", call.logical % 5).parse().expect("a caller's name");
        let admitting = &mut self.daemons[daemon];
        let local = admitting.clock.read(self.now);
        let Some(process) = &mut admitting.process else { return };
        let route = process.routes.iter().find(|route| route.service == service);
        let repeatable = call.repeatable.or(route.map(|route| route.repeatable)).unwrap_or(false);
        let timeout = call.timeout.or(route.map(|route| route.deadline)).unwrap_or(UNROUTED_TIMEOUT);
        let deadline = local + timeout;
        process.last_request += 1;
        let request = RequestId::new(process.last_request);
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&(call.logical as u64).to_le_bytes());
        let arrival = RequestArrival {
            request,
            service,
            caller,
            key,
            repeatable,
            deadline,
            forwarded: call.forwarded,
            digest: RequestDigest::new(digest),
        };
        process.requests.insert(request, PendingRequest { logical: call.logical, repeatable, deadline, sink });
        self.route(daemon, |router, local, _| router.admit(local, arrival));
    }

    pub(crate) fn on_announcement(&mut self, daemon: usize, endpoint: usize, announcement: EndpointAnnouncement) {
        if self.daemons[daemon].process.is_none() {
            return;
        }
        let (address, leaving) = (announcement.address, announcement.leaving);
        self.route(daemon, |router, local, _| router.announce(local, announcement));
        if leaving {
            let generation = self.daemons[daemon].generation;
            self.oracle.forbid_address(daemon, generation, address, self.now);
            self.push_trace(format_args!("entry {daemon} accepted the leave of endpoint {endpoint} at {address}"));
        }
    }

    pub(crate) fn receive_router_message(&mut self, from: usize, daemon: usize, message: PeerMessage) {
        match message {
            PeerMessage::Announce(announcement) => {
                self.route(daemon, |router, local, _| router.announce(local, announcement));
            }
            PeerMessage::Forward { call, request } => {
                let ForwardedRequest { logical, repeatable, timeout } = request;
                let entry =
                    EntryCall { logical, repeatable: Some(repeatable), timeout: Some(timeout), forwarded: true };
                self.admit(daemon, &entry, ResponseSink::Peer { daemon: from, call });
            }
            PeerMessage::ForwardReply { call, result } => {
                let Some(process) = &mut self.daemons[daemon].process else { return };
                if process.forwards.remove(&call).is_some() {
                    self.route(daemon, |router, local, _| router.finish(local, call, result));
                }
            }
            PeerMessage::Coordinator(_) => {}
        }
    }

    pub(crate) fn on_dispatch_reply(&mut self, daemon: usize, reply: DispatchReply) {
        let entry = &mut self.daemons[daemon];
        let Some(process) = entry.process.as_mut().filter(|_| entry.generation == reply.generation) else { return };
        if !process.dispatches.remove(&reply.dispatch) {
            return;
        }
        let broken = |reason: &str| DispatchResult::Broken { reason: reason.to_owned() };
        let result = match reply.result {
            _ if reply.echoed != reply.dispatch => broken("the response has another request's id"),
            _ if !reply.is_complete => broken("the response body is shorter than its content length"),
            result => result,
        };
        self.route(daemon, |router, local, _| router.finish(local, reply.dispatch, result));
    }

    pub(crate) fn fail_dispatch(&mut self, daemon: usize, generation: u64, dispatch: DispatchId) {
        let overdue = &mut self.daemons[daemon];
        let Some(process) = overdue.process.as_mut().filter(|_| overdue.generation == generation) else { return };
        if process.dispatches.remove(&dispatch) {
            let result = DispatchResult::Broken { reason: "timed out".to_owned() };
            self.route(daemon, |router, local, _| router.finish(local, dispatch, result));
        }
    }
}

/// Actions of the router.
impl World {
    /// Applies an action and returns the actions that immediately result from it.
    fn apply_route_action(&mut self, daemon: usize, local: MonotonicTime, action: RouteAction) -> Vec<RouteAction> {
        match action {
            RouteAction::Answer { request, answer } => {
                let Some(process) = &mut self.daemons[daemon].process else { return Vec::new() };
                match process.requests.remove(&request) {
                    Some(pending) => self.deliver_response(daemon, &pending.sink, pending.logical, answer),
                    None => self.set_violation(format!(
                        "entry {daemon} responded to request {request}, which is unknown or already has a response"
                    )),
                }
                Vec::new()
            }
            RouteAction::Dispatch { request, dispatch, endpoint, timeout } => {
                let result = self.dispatch(daemon, request, dispatch, endpoint, timeout);
                self.finish_at_once(daemon, local, dispatch, result)
            }
            RouteAction::Forward { request, dispatch, zone_index, timeout } => {
                let result = self.forward(daemon, request, dispatch, zone_index, timeout);
                self.finish_at_once(daemon, local, dispatch, result)
            }
            RouteAction::Claim { request, key, claim } => {
                let left =
                    self.pending(daemon, request).map_or(Duration::ZERO, |pending| pending.deadline.since(local));
                let entry = self.daemons[daemon].vm;
                let command = ControlCommand::Claim {
                    at: StateTime::default(),
                    key,
                    entry,
                    claim,
                    deadline: TimeSpan::saturating_from(left),
                };
                let body = LeaderCall::Command(Box::new(command));
                self.call(daemon, body, CLAIM_TIMEOUT.min(left), ReplySink::Claim { request });
                Vec::new()
            }
            RouteAction::Settle { key, claim, outcome } => {
                let command = ControlCommand::SettleClaim { at: StateTime::default(), key, claim, outcome };
                self.call(daemon, LeaderCall::Command(Box::new(command)), SETTLE_TIMEOUT, ReplySink::Ignored);
                Vec::new()
            }
            RouteAction::Share { announcement } => {
                self.share(daemon, &announcement);
                Vec::new()
            }
        }
    }

    fn pending(&self, daemon: usize, request: RequestId) -> Option<&PendingRequest> {
        self.daemons[daemon].process.as_ref()?.requests.get(&request)
    }

    fn finish_at_once(
        &mut self,
        daemon: usize,
        local: MonotonicTime,
        dispatch: DispatchId,
        result: Option<DispatchResult>,
    ) -> Vec<RouteAction> {
        let Some(process) = &mut self.daemons[daemon].process else { return Vec::new() };
        result.map_or_else(Vec::new, |result| process.router.finish(local, dispatch, result))
    }

    fn dispatch(
        &mut self,
        daemon: usize,
        request: RequestId,
        dispatch: DispatchId,
        endpoint: parsleywalk_routing::EndpointAddress,
        timeout: Duration,
    ) -> Option<DispatchResult> {
        let Some(pending) = self.pending(daemon, request) else { return Some(not_sent("the caller left")) };
        let logical = pending.logical;
        let copy = match pending.sink {
            ResponseSink::Caller { copy } => Some(copy),
            ResponseSink::Peer { .. } => None,
        };
        self.check_dispatch(daemon, endpoint);
        let sender = &mut self.daemons[daemon];
        let generation = sender.generation;
        let overdue = sender.clock.real_time_at(sender.clock.read(self.now) + timeout);
        if let Some(process) = &mut sender.process {
            process.dispatches.insert(dispatch);
        }
        self.schedule(overdue, Event::DispatchTimeout { daemon, generation, dispatch });
        let Some(index) = self.endpoint_at(endpoint) else { return Some(not_sent("no such endpoint")) };
        let event = Event::Dispatch { from: daemon, generation, dispatch, logical, copy, address: endpoint.get() };
        self.send(NetworkNode::Daemon(daemon), NetworkNode::Endpoint(index), Delivery::AtMostOnce, event);
        None
    }

    fn forward(
        &mut self,
        daemon: usize,
        request: RequestId,
        dispatch: DispatchId,
        zone_index: u32,
        timeout: Duration,
    ) -> Option<DispatchResult> {
        let Some(pending) = self.pending(daemon, request) else { return Some(not_sent("the caller left")) };
        let forwarded = ForwardedRequest { logical: pending.logical, repeatable: pending.repeatable, timeout };
        let own = self.daemons[daemon].zone;
        let zone = (0..3).filter(|zone| *zone != own).nth(zone_index as usize)?;
        let entries: Vec<usize> =
            DAEMON_ZONES.iter().enumerate().filter(|(_, of)| **of == zone).map(|(index, _)| index).collect();
        let sender = &mut self.daemons[daemon];
        let deadline = sender.clock.read(self.now) + timeout;
        let Some(process) = &mut sender.process else { return Some(not_sent("the process has ended")) };
        process.next_entry += 1;
        let to = entries[process.next_entry % entries.len()];
        process.forwards.insert(dispatch, deadline);
        self.totals.forwards += 1;
        let message = Box::new(PeerMessage::Forward { call: dispatch, request: forwarded });
        let event = Event::Peer { from: daemon, daemon: to, message, sent_at: self.now };
        self.send(NetworkNode::Daemon(daemon), NetworkNode::Daemon(to), Delivery::AtMostOnce, event);
        None
    }

    fn share(&mut self, daemon: usize, announcement: &EndpointAnnouncement) {
        let zone = self.daemons[daemon].zone;
        for to in (0..DAEMON_ZONES.len()).filter(|to| *to != daemon && DAEMON_ZONES[*to] == zone) {
            let message = Box::new(PeerMessage::Announce(announcement.clone()));
            let event = Event::Peer { from: daemon, daemon: to, message, sent_at: self.now };
            let peer = &self.daemons[to];
            let (generation, reachable) = (peer.generation, peer.process.is_some() && peer.frozen_until <= self.now);
            if self.send(NetworkNode::Daemon(daemon), NetworkNode::Daemon(to), Delivery::Unreliable, event) && reachable
            {
                self.oracle.forbid_address(to, generation, announcement.address, self.now + 2_000_000);
            }
        }
    }

    fn deliver_response(&mut self, daemon: usize, sink: &ResponseSink, logical: usize, response: RouteResponse) {
        match *sink {
            ResponseSink::Caller { copy } => self.on_copy_response(daemon, copy, &response),
            ResponseSink::Peer { daemon: to, call } => {
                self.push_trace(format_args!(
                    "entry {daemon} responds to request {logical} forwarded by {to}: {response:?}"
                ));
                let result = match response {
                    RouteResponse::Whole(response) => DispatchResult::Answered(response),
                    RouteResponse::NotRun { retry_after, .. } => DispatchResult::Refused { retry_after },
                    RouteResponse::Unknown { reason } => DispatchResult::Broken { reason: reason.to_string() },
                };
                let message = Box::new(PeerMessage::ForwardReply { call, result });
                let event = Event::Peer { from: daemon, daemon: to, message, sent_at: self.now };
                self.send(NetworkNode::Daemon(daemon), NetworkNode::Daemon(to), Delivery::Unreliable, event);
            }
        }
    }
}

fn not_sent(reason: &str) -> DispatchResult {
    DispatchResult::NotSent { reason: reason.to_owned() }
}
