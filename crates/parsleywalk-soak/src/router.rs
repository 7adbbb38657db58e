//! The routing side of a daemon, wired as the daemon's router thread and dispatch threads are.

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
use crate::daemon::{CallSink, DAEMON_ZONES, HeldRequest, RequestSink};
use crate::event::{DispatchReply, Event, ForwardedRequest, Party, PeerMessage};
use crate::world::{Delivery, World};

/// The longest wait for a claim, as in the daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the end of a claim is offered to the leader, as in the daemon.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The deadline of a request to a service that has no route, as in the daemon.
const UNROUTED_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as it reaches an entry.
pub(crate) struct EntryCall {
    pub(crate) logical: usize,
    /// The service's default holds where absent.
    pub(crate) repeatable: Option<bool>,
    pub(crate) timeout: Option<Duration>,
    pub(crate) forwarded: bool,
}

/// What the router is told.
impl World {
    /// Lets the router handle something and carries out what follows.
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
            actions.extend(self.carry_out_route(daemon, local, action));
        }
        self.rearm(daemon);
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
            let result = DispatchResult::Broken { reason: "the other zone's entry did not answer in time".to_owned() };
            self.route(daemon, |router, local, _| router.finish(local, dispatch, result));
        }
    }

    pub(crate) fn claim_decided(&mut self, daemon: usize, request: RequestId, decision: ClaimDecision) {
        self.route(daemon, |router, local, _| router.claim_decided(local, request, decision));
    }

    pub(crate) fn admit(&mut self, daemon: usize, call: &EntryCall, sink: RequestSink) {
        let logical = &self.callers.logicals[call.logical];
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
        process.requests.insert(request, HeldRequest { logical: call.logical, repeatable, deadline, sink });
        self.route(daemon, |router, local, _| router.admit(local, arrival));
    }

    pub(crate) fn announced(&mut self, daemon: usize, endpoint: usize, announcement: EndpointAnnouncement) {
        if self.daemons[daemon].process.is_none() {
            return;
        }
        let (address, leaving) = (announcement.address, announcement.leaving);
        self.route(daemon, |router, local, _| router.announce(local, announcement));
        if leaving {
            let life = self.daemons[daemon].life;
            self.oracle.forbid(daemon, life, address, self.now);
            self.note(format_args!("entry {daemon} answered the leave of endpoint {endpoint} at {address}"));
        }
    }

    pub(crate) fn receive_routed(&mut self, from: usize, daemon: usize, message: PeerMessage) {
        match message {
            PeerMessage::Announce(announcement) => {
                self.route(daemon, |router, local, _| router.announce(local, announcement));
            }
            PeerMessage::Forward { call, request } => {
                let ForwardedRequest { logical, repeatable, timeout } = request;
                let entry =
                    EntryCall { logical, repeatable: Some(repeatable), timeout: Some(timeout), forwarded: true };
                self.admit(daemon, &entry, RequestSink::Peer { daemon: from, call });
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

    pub(crate) fn dispatch_done(&mut self, daemon: usize, reply: DispatchReply) {
        let finished = &mut self.daemons[daemon];
        let Some(process) = finished.process.as_mut().filter(|_| finished.life == reply.life) else { return };
        if !process.dispatches.remove(&reply.dispatch) {
            return;
        }
        let broken = |reason: &str| DispatchResult::Broken { reason: reason.to_owned() };
        let result = match reply.result {
            _ if reply.echoed != reply.dispatch => broken("the answer carries another request's id"),
            _ if !reply.whole => broken("the answer is shorter than it states"),
            result => result,
        };
        self.route(daemon, |router, local, _| router.finish(local, reply.dispatch, result));
    }

    pub(crate) fn dispatch_overdue(&mut self, daemon: usize, life: u64, dispatch: DispatchId) {
        let overdue = &mut self.daemons[daemon];
        let Some(process) = overdue.process.as_mut().filter(|_| overdue.life == life) else { return };
        if process.dispatches.remove(&dispatch) {
            let result = DispatchResult::Broken { reason: "timed out".to_owned() };
            self.route(daemon, |router, local, _| router.finish(local, dispatch, result));
        }
    }
}

/// What the router asks for.
impl World {
    /// Carries out an action and returns the actions that follow from it at once.
    fn carry_out_route(&mut self, daemon: usize, local: MonotonicTime, action: RouteAction) -> Vec<RouteAction> {
        match action {
            RouteAction::Answer { request, answer } => {
                let Some(process) = &mut self.daemons[daemon].process else { return Vec::new() };
                match process.requests.remove(&request) {
                    Some(held) => self.answer_sink(daemon, &held.sink, held.logical, answer),
                    None => self.violate(format!("entry {daemon} answered request {request} twice")),
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
                let left = self.held(daemon, request).map_or(Duration::ZERO, |held| held.deadline.since(local));
                let entry = self.daemons[daemon].vm;
                let command = ControlCommand::Claim {
                    at: StateTime::default(),
                    key,
                    entry,
                    claim,
                    deadline: TimeSpan::saturating_from(left),
                };
                let body = LeaderCall::Command(Box::new(command));
                self.call(daemon, body, CLAIM_TIMEOUT.min(left), CallSink::Claim { request });
                Vec::new()
            }
            RouteAction::Settle { key, claim, outcome } => {
                let command = ControlCommand::SettleClaim { at: StateTime::default(), key, claim, outcome };
                self.call(daemon, LeaderCall::Command(Box::new(command)), SETTLE_TIMEOUT, CallSink::Dropped);
                Vec::new()
            }
            RouteAction::Share { announcement } => {
                self.share(daemon, &announcement);
                Vec::new()
            }
        }
    }

    fn held(&self, daemon: usize, request: RequestId) -> Option<&HeldRequest> {
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
        let Some(held) = self.held(daemon, request) else { return Some(not_sent("the caller left")) };
        let logical = held.logical;
        let copy = match held.sink {
            RequestSink::Caller { copy } => Some(copy),
            RequestSink::Peer { .. } => None,
        };
        self.check_dispatch(daemon, endpoint);
        let sender = &mut self.daemons[daemon];
        let life = sender.life;
        let overdue = sender.clock.when(sender.clock.read(self.now) + timeout);
        if let Some(process) = &mut sender.process {
            process.dispatches.insert(dispatch);
        }
        self.schedule(overdue, Event::DispatchOverdue { daemon, life, dispatch });
        let Some(place) = self.endpoint_at(endpoint) else { return Some(not_sent("no such endpoint")) };
        let event = Event::Dispatched { from: daemon, life, dispatch, logical, copy, address: endpoint.get() };
        self.send(Party::Daemon(daemon), Party::Endpoint(place), Delivery::AtMostOnce, event);
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
        let Some(held) = self.held(daemon, request) else { return Some(not_sent("the caller left")) };
        let forwarded = ForwardedRequest { logical: held.logical, repeatable: held.repeatable, timeout };
        let own = self.daemons[daemon].zone;
        let zone = (0..3).filter(|zone| *zone != own).nth(zone_index as usize)?;
        let entries: Vec<usize> =
            DAEMON_ZONES.iter().enumerate().filter(|(_, of)| **of == zone).map(|(place, _)| place).collect();
        let sender = &mut self.daemons[daemon];
        let deadline = sender.clock.read(self.now) + timeout;
        let Some(process) = &mut sender.process else { return Some(not_sent("the process ends")) };
        process.next_entry += 1;
        let to = entries[process.next_entry % entries.len()];
        process.forwards.insert(dispatch, deadline);
        self.totals.forwards += 1;
        let message = Box::new(PeerMessage::Forward { call: dispatch, request: forwarded });
        let event = Event::Peer { from: daemon, daemon: to, message, sent: self.now };
        self.send(Party::Daemon(daemon), Party::Daemon(to), Delivery::AtMostOnce, event);
        None
    }

    fn share(&mut self, daemon: usize, announcement: &EndpointAnnouncement) {
        let zone = self.daemons[daemon].zone;
        for to in (0..DAEMON_ZONES.len()).filter(|to| *to != daemon && DAEMON_ZONES[*to] == zone) {
            let message = Box::new(PeerMessage::Announce(announcement.clone()));
            let event = Event::Peer { from: daemon, daemon: to, message, sent: self.now };
            let peer = &self.daemons[to];
            let (life, reachable) = (peer.life, peer.process.is_some() && peer.frozen_until <= self.now);
            if self.send(Party::Daemon(daemon), Party::Daemon(to), Delivery::Any, event) && reachable {
                self.oracle.forbid(to, life, announcement.address, self.now + 2_000_000);
            }
        }
    }

    fn answer_sink(&mut self, daemon: usize, sink: &RequestSink, logical: usize, answer: RouteResponse) {
        match *sink {
            RequestSink::Caller { copy } => self.copy_answered(daemon, copy, &answer),
            RequestSink::Peer { daemon: to, call } => {
                self.note(format_args!("entry {daemon} answers request {logical} forwarded by {to}: {answer:?}"));
                let result = match answer {
                    RouteResponse::Whole(answer) => DispatchResult::Answered(answer),
                    RouteResponse::NotRun { retry_after, .. } => DispatchResult::Refused { retry_after },
                    RouteResponse::Unknown { reason } => DispatchResult::Broken { reason: reason.to_string() },
                };
                let message = Box::new(PeerMessage::ForwardReply { call, result });
                let event = Event::Peer { from: daemon, daemon: to, message, sent: self.now };
                self.send(Party::Daemon(daemon), Party::Daemon(to), Delivery::Any, event);
            }
        }
    }
}

fn not_sent(reason: &str) -> DispatchResult {
    DispatchResult::NotSent { reason: reason.to_owned() }
}
