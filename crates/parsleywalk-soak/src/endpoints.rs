//! Model endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_routing::{DispatchResult, EndpointAddress, EndpointAnnouncement, EndpointResponse};
use parsleywalk_units::{DispatchId, Incarnation};
use rand::RngExt;

use crate::callers::{SERVICES, answer_body};
use crate::daemon::{DAEMON_ZONES, ZONES};
use crate::event::{DispatchReply, Event, Party};
use crate::world::{Delivery, World};

/// The wait between announcements.
const ANNOUNCE_EVERY: u64 = 700_000;

/// How an endpoint behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointMode {
    Serving,
    /// It breaks connections after it has run a request.
    Failing,
    /// It takes requests, runs some of them and answers nothing.
    Silent,
    /// It says that it is leaving and finishes what it has.
    Leaving,
    /// Its process does not run; connections are refused.
    Down,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) zone: usize,
    service: usize,
    pub(crate) incarnation: u16,
    pub(crate) life: u64,
    pub(crate) mode: EndpointMode,
    running: u32,
    slots: u32,
}

impl Endpoint {
    /// Two endpoints of each service in each zone.
    pub(crate) fn all() -> Vec<Self> {
        let place = |place: usize| Self {
            zone: place % ZONES.len(),
            service: place / ZONES.len() % SERVICES.len(),
            incarnation: 1,
            life: 0,
            mode: EndpointMode::Serving,
            running: 0,
            slots: 4,
        };
        (0..12).map(place).collect()
    }
}

/// Every incarnation has its own port, so that an address names one of them.
fn address(endpoint: usize, incarnation: u16) -> EndpointAddress {
    let host = u8::try_from(endpoint).unwrap_or(u8::MAX);
    EndpointAddress::new(SocketAddr::from(([10, 0, 0, host], 1000 + incarnation)))
}

impl World {
    pub(crate) fn wake_endpoint_at(&mut self, endpoint: usize, wait: u64) {
        let life = self.endpoints[endpoint].life;
        self.schedule(self.now + wait, Event::WakeEndpoint { endpoint, life });
    }

    pub(crate) fn wake_endpoint(&mut self, endpoint: usize, life: u64) {
        let woken = &self.endpoints[endpoint];
        if woken.life != life {
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
            self.send(Party::Endpoint(endpoint), Party::Daemon(daemon), Delivery::Any, event);
        }
        self.wake_endpoint_at(endpoint, ANNOUNCE_EVERY);
    }

    /// Puts an endpoint into another mode; one that has left or ended returns under a new incarnation.
    pub(crate) fn set_endpoint(&mut self, endpoint: usize, mode: EndpointMode) {
        let changed = &mut self.endpoints[endpoint];
        let has_ended = matches!(changed.mode, EndpointMode::Down | EndpointMode::Leaving);
        if mode == EndpointMode::Down || has_ended {
            changed.life += 1;
            changed.running = 0;
        }
        if has_ended && mode != EndpointMode::Down {
            changed.incarnation += 1;
        }
        changed.mode = mode;
        self.totals.leaves += u64::from(mode == EndpointMode::Leaving);
        self.note(format_args!("endpoint {endpoint} is {mode:?}"));
        self.wake_endpoint_at(endpoint, 0);
    }

    pub(crate) fn endpoint_at(&self, wanted: EndpointAddress) -> Option<usize> {
        let place = (0..self.endpoints.len()).find(|place| wanted.get().ip() == address(*place, 0).get().ip())?;
        Some(place)
    }

    pub(crate) fn dispatched(
        &mut self,
        from: usize,
        life: u64,
        dispatch: DispatchId,
        logical: usize,
        _copy: Option<usize>,
        wanted: SocketAddr,
    ) {
        let Some(endpoint) = self.endpoint_at(EndpointAddress::new(wanted)) else { return };
        let reached = &self.endpoints[endpoint];
        let reply = |result| DispatchReply { from, life, dispatch, echoed: dispatch, whole: true, result };
        let is_gone = reached.mode == EndpointMode::Down || address(endpoint, reached.incarnation).get() != wanted;
        if is_gone {
            return self.reply(endpoint, reply(DispatchResult::NotSent { reason: "connection refused".to_owned() }));
        }
        if reached.mode == EndpointMode::Silent {
            if self.random.random_ratio(1, 2) {
                self.executed(logical, endpoint);
            }
            return;
        }
        if reached.running >= reached.slots {
            return self.reply(endpoint, reply(DispatchResult::Refused { retry_after: None }));
        }
        let load = reached.running;
        self.endpoints[endpoint].running += 1;
        self.executed(logical, endpoint);
        let answer =
            EndpointResponse { status: 200, headers: Vec::new(), body: answer_body(logical), load: Some(load) };
        let mut reply = reply(DispatchResult::Answered(Arc::new(answer)));
        match self.random.random_range(0..100) {
            // An answer that belongs to another request, with that request's body.
            0 => {
                reply.echoed = DispatchId::new(dispatch.get() ^ 1);
                let body = answer_body(logical + 1);
                let answer = EndpointResponse { status: 200, headers: Vec::new(), body, load: None };
                reply.result = DispatchResult::Answered(Arc::new(answer));
            }
            1 => reply.whole = false,
            _ if self.endpoints[endpoint].mode == EndpointMode::Failing => {
                reply.result = DispatchResult::Broken { reason: "connection reset".to_owned() };
            }
            _ => {}
        }
        let spans = [5_000, 20_000, 100_000, 2_500_000];
        let rare = if self.random.random_ratio(1, 50) { 4 } else { 3 };
        let longest = spans[self.random.random_range(0..rare)];
        let at = self.now + 1000 + self.random.random_range(0..longest);
        let life = self.endpoints[endpoint].life;
        self.schedule(at, Event::EndpointDone { endpoint, life, reply });
    }

    pub(crate) fn endpoint_done(&mut self, endpoint: usize, life: u64, reply: DispatchReply) {
        if self.endpoints[endpoint].life == life {
            self.endpoints[endpoint].running -= 1;
            self.reply(endpoint, reply);
        }
    }

    fn reply(&mut self, endpoint: usize, reply: DispatchReply) {
        let daemon = reply.from;
        let event = Event::DispatchDone { daemon, reply };
        self.send(Party::Endpoint(endpoint), Party::Daemon(daemon), Delivery::Any, event);
    }
}
