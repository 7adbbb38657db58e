//! Simulated endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_routing::{DispatchResult, EndpointAddress, EndpointAnnouncement, EndpointResponse};
use parsleywalk_units::{DispatchId, Incarnation};
use rand::RngExt;

use crate::callers::{SERVICES, response_body};
use crate::daemon::{DAEMON_ZONES, ZONES};
use crate::event::{DispatchReply, Event, NetworkNode};
use crate::world::{Delivery, World};

/// The time between two announcements.
const ANNOUNCE_INTERVAL_MICROS: u64 = 700_000;

/// How an endpoint behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointMode {
    Serving,
    /// It resets the connection after it has run a request.
    Failing,
    /// It accepts requests, runs some of them and never responds.
    Silent,
    /// It announces that it is leaving and still serves the requests that arrive.
    Leaving,
    /// Its process is not running; connections are refused.
    Down,
}

/// A simulated endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) zone: usize,
    service: usize,
    pub(crate) incarnation: u16,
    pub(crate) generation: u64,
    pub(crate) mode: EndpointMode,
    running: u32,
    slots: u32,
}

impl Endpoint {
    /// Creates all endpoints: two of each service in each zone.
    pub(crate) fn all() -> Vec<Self> {
        let endpoint = |index: usize| Self {
            zone: index % ZONES.len(),
            service: index / ZONES.len() % SERVICES.len(),
            incarnation: 1,
            generation: 0,
            mode: EndpointMode::Serving,
            running: 0,
            slots: 4,
        };
        (0..12).map(endpoint).collect()
    }
}

/// Returns the address of an endpoint's incarnation. Each incarnation has its own port, so that addresses are unique.
fn address(endpoint: usize, incarnation: u16) -> EndpointAddress {
    let host = u8::try_from(endpoint).unwrap_or(u8::MAX);
    EndpointAddress::new(SocketAddr::from(([10, 0, 0, host], 1000 + incarnation)))
}

impl World {
    pub(crate) fn wake_endpoint_after(&mut self, endpoint: usize, wait: u64) {
        let generation = self.endpoints[endpoint].generation;
        self.schedule(self.now + wait, Event::WakeEndpoint { endpoint, generation });
    }

    pub(crate) fn wake_endpoint(&mut self, endpoint: usize, generation: u64) {
        let woken = &self.endpoints[endpoint];
        if woken.generation != generation {
            return;
        }
        let announcement = EndpointAnnouncement {
            endpoint: format!("endpoint-{endpoint}").parse().expect("an endpoint's id"),
            incarnation: Incarnation::new(woken.incarnation.into()),
            service: SERVICES[woken.service].parse().expect("a service's name"),
            address: address(endpoint, woken.incarnation),
            slots: woken.slots,
            ttl: Duration::from_secs(3),
            leaving: woken.mode == EndpointMode::Leaving,
        };
        let (zone, is_up) = (woken.zone, woken.mode != EndpointMode::Down);
        for daemon in (0..DAEMON_ZONES.len()).filter(|daemon| is_up && DAEMON_ZONES[*daemon] == zone) {
            let event = Event::Announce { daemon, endpoint, announcement: announcement.clone() };
            self.send(NetworkNode::Endpoint(endpoint), NetworkNode::Daemon(daemon), Delivery::Unreliable, event);
        }
        self.wake_endpoint_after(endpoint, ANNOUNCE_INTERVAL_MICROS);
    }

    /// Changes the mode of an endpoint. One that was leaving or down returns with a new incarnation.
    pub(crate) fn set_endpoint_mode(&mut self, endpoint: usize, mode: EndpointMode) {
        let changed = &mut self.endpoints[endpoint];
        let has_ended = matches!(changed.mode, EndpointMode::Down | EndpointMode::Leaving);
        if mode == EndpointMode::Down || has_ended {
            changed.generation += 1;
            changed.running = 0;
        }
        if has_ended && mode != EndpointMode::Down {
            changed.incarnation += 1;
        }
        changed.mode = mode;
        self.totals.endpoint_leaves += u64::from(mode == EndpointMode::Leaving);
        self.push_trace(format_args!("endpoint {endpoint} is {mode:?}"));
        self.wake_endpoint_after(endpoint, 0);
    }

    /// Returns the index of the endpoint with the IP address of `target`, whatever its incarnation.
    pub(crate) fn endpoint_at(&self, target: EndpointAddress) -> Option<usize> {
        let index = (0..self.endpoints.len()).find(|index| target.get().ip() == address(*index, 0).get().ip())?;
        Some(index)
    }

    pub(crate) fn on_dispatch(
        &mut self,
        from: usize,
        generation: u64,
        dispatch: DispatchId,
        logical: usize,
        _copy: Option<usize>,
        target: SocketAddr,
    ) {
        let Some(endpoint) = self.endpoint_at(EndpointAddress::new(target)) else { return };
        let reached = &self.endpoints[endpoint];
        let reply = |result| DispatchReply { from, generation, dispatch, echoed: dispatch, is_complete: true, result };
        let is_unreachable =
            reached.mode == EndpointMode::Down || address(endpoint, reached.incarnation).get() != target;
        if is_unreachable {
            return self.reply(endpoint, reply(DispatchResult::NotSent { reason: "connection refused".to_owned() }));
        }
        if reached.mode == EndpointMode::Silent {
            if self.random.random_ratio(1, 2) {
                self.record_execution(logical, endpoint);
            }
            return;
        }
        if reached.running >= reached.slots {
            return self.reply(endpoint, reply(DispatchResult::Refused { retry_after: None }));
        }
        let load = reached.running;
        self.endpoints[endpoint].running += 1;
        self.record_execution(logical, endpoint);
        let response =
            EndpointResponse { status: 200, headers: Vec::new(), body: response_body(logical), load: Some(load) };
        let mut reply = reply(DispatchResult::Answered(Arc::new(response)));
        match self.random.random_range(0..100) {
            // The response to another request, with that request's id and body.
            0 => {
                reply.echoed = DispatchId::new(dispatch.get() ^ 1);
                let body = response_body(logical + 1);
                let response = EndpointResponse { status: 200, headers: Vec::new(), body, load: None };
                reply.result = DispatchResult::Answered(Arc::new(response));
            }
            1 => reply.is_complete = false,
            _ if self.endpoints[endpoint].mode == EndpointMode::Failing => {
                reply.result = DispatchResult::Broken { reason: "connection reset".to_owned() };
            }
            _ => {}
        }
        let spans = [5_000, 20_000, 100_000, 2_500_000];
        let rare = if self.random.random_ratio(1, 50) { 4 } else { 3 };
        let longest = spans[self.random.random_range(0..rare)];
        let at = self.now + 1000 + self.random.random_range(0..longest);
        let generation = self.endpoints[endpoint].generation;
        self.schedule(at, Event::ExecutionDone { endpoint, generation, reply });
    }

    pub(crate) fn finish_execution(&mut self, endpoint: usize, generation: u64, reply: DispatchReply) {
        if self.endpoints[endpoint].generation == generation {
            self.endpoints[endpoint].running -= 1;
            self.reply(endpoint, reply);
        }
    }

    fn reply(&mut self, endpoint: usize, reply: DispatchReply) {
        let daemon = reply.from;
        let event = Event::DispatchReply { daemon, reply };
        self.send(NetworkNode::Endpoint(endpoint), NetworkNode::Daemon(daemon), Delivery::Unreliable, event);
    }
}
