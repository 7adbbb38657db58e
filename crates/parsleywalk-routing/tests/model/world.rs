//! The routers with the modelled callers, endpoints and messages.

use std::time::Duration;

use parsleywalk_routing::{
    ClaimDecision, DispatchResult, EndpointAddress, EndpointAnnouncement, RequestArrival, RequestDigest, RequestRouter,
    RouterSettings, ServiceRoute,
};
use parsleywalk_units::{
    ClaimId, ClaimOutcome, DispatchId, Incarnation, MonotonicTime, RequestId, RequestKey, TaskClass,
};

use super::claims::ModelClaims;
use super::oracle::{KnownAddresses, ModelRequest, WaitState};
use super::{Oracle, Step, StepKind};

pub(super) const ZONES: [usize; 3] = [0, 0, 1];
const SERVICES: [&str; 2] = ["orders", "ledgers"];
pub(super) const SLOTS: u32 = 2;
/// The sender of messages whose entry has been replaced since.
const REPLACED_ENTRY: usize = usize::MAX;

#[derive(Debug, Clone)]
pub(super) enum Message {
    Claim { entry: usize, request: RequestId, key: RequestKey, claim: ClaimId },
    Settle { key: RequestKey, claim: ClaimId, outcome: ClaimOutcome },
    Decision { entry: usize, request: RequestId, decision: ClaimDecision },
    Dispatch { entry: usize, dispatch: DispatchId, address: EndpointAddress, body: u64 },
    Forward { entry: usize, dispatch: DispatchId, to: usize, request: ModelRequest, time_left: Duration },
    Result { entry: usize, dispatch: DispatchId, result: DispatchResult },
    Announce { entry: usize, announcement: EndpointAnnouncement },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointMode {
    Serving,
    Unresponsive,
    Refusing,
    Failing,
}

#[derive(Debug)]
pub(super) struct ModelEndpoint {
    pub(super) zone: usize,
    pub(super) service: usize,
    pub(super) incarnation: u32,
    pub(super) mode: EndpointMode,
    pub(super) leaving: bool,
}

#[derive(Debug)]
pub struct World {
    pub now: MonotonicTime,
    pub routers: Vec<RequestRouter>,
    pub oracle: Oracle,
    pub(super) draining: Vec<bool>,
    pub(super) claims: ModelClaims,
    pub(super) endpoints: Vec<ModelEndpoint>,
    pub(super) undelivered: Vec<Message>,
    next_request: u64,
    next_body: u64,
    starts: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let routers = (0..3).map(|entry| RequestRouter::new(settings(), seed * 1000 + 500 + entry)).collect();
        let endpoints = (0..10).map(|index| ModelEndpoint {
            zone: usize::from(index >= 6),
            service: index % 2,
            incarnation: 1,
            mode: EndpointMode::Serving,
            leaving: false,
        });
        let mut world = Self {
            now: MonotonicTime::from_millis(1),
            routers,
            oracle: Oracle { known_addresses: vec![KnownAddresses::new(); 3], ..Oracle::default() },
            draining: vec![false; 3],
            claims: ModelClaims::default(),
            endpoints: endpoints.collect(),
            undelivered: Vec::new(),
            next_request: 1,
            next_body: 1,
            starts: seed * 1000,
        };
        for entry in 0..3 {
            world.reconfigure(entry, true);
        }
        for endpoint in 0..10 {
            world.announce(endpoint);
        }
        world
    }

    pub fn step(&mut self, step: Step) {
        let (pick, value) = (step.pick as usize, step.value as usize);
        match step.kind {
            StepKind::Submit => {
                // Bursts are needed to fill the queues.
                let count = if (value / 64).is_multiple_of(6) { 10 } else { 1 };
                (0..count).for_each(|_| self.submit(pick, value));
            }
            StepKind::Resend => self.resend(pick, value, false),
            StepKind::ReuseKey => self.resend(pick, value, true),
            StepKind::Abandon => self.abandon(pick),
            StepKind::Deliver if !self.undelivered.is_empty() => {
                let message = self.undelivered.remove(pick % self.undelivered.len());
                self.deliver(message, value);
            }
            StepKind::Lose if !self.undelivered.is_empty() => {
                let message = self.undelivered.remove(pick % self.undelivered.len());
                self.lose(message, value);
            }
            StepKind::DeliverTwice => {
                let may_arrive_twice = |message: &&Message| {
                    matches!(message, Message::Result { .. } | Message::Announce { .. } | Message::Decision { .. })
                };
                let messages: Vec<Message> = self.undelivered.iter().filter(may_arrive_twice).cloned().collect();
                if !messages.is_empty() {
                    self.deliver(messages[pick % messages.len()].clone(), value);
                }
            }
            StepKind::Announce => self.announce(pick % self.endpoints.len()),
            StepKind::Leave => {
                let endpoint = pick % self.endpoints.len();
                self.endpoints[endpoint].leaving = true;
                self.announce(endpoint);
            }
            StepKind::Restart => {
                let endpoint = pick % self.endpoints.len();
                let state = &mut self.endpoints[endpoint];
                (state.incarnation, state.leaving, state.mode) = (state.incarnation + 1, false, EndpointMode::Serving);
                self.announce(endpoint);
            }
            StepKind::SetMode => {
                let modes =
                    [EndpointMode::Serving, EndpointMode::Unresponsive, EndpointMode::Refusing, EndpointMode::Failing];
                let endpoint = pick % self.endpoints.len();
                self.endpoints[endpoint].mode = modes.get(value % 8).copied().unwrap_or(EndpointMode::Serving);
            }
            StepKind::Advance => {
                let span = Duration::from_millis([1, 1, 5, 20, 200][value % 5]);
                if (value / 5).is_multiple_of(3) {
                    // Time passes without ticks, so that routers handle messages while timers are overdue.
                    self.now = self.now + span;
                } else {
                    self.advance(span);
                }
            }
            StepKind::Drain => self.drain(pick % 3),
            StepKind::Crash => self.restart_entry(pick % 3),
            StepKind::Reconfigure => self.reconfigure(pick % 3, !value.is_multiple_of(4)),
            StepKind::Deliver | StepKind::Lose => {}
        }
        self.check_bounds();
    }

    /// Checks that queues, claims, dispatches and cached responses stay within their limits.
    fn check_bounds(&self) {
        let limits = settings();
        for router in &self.routers {
            let status = router.status();
            assert!(status.queued <= limits.queue_limit, "{} requests are queued", status.queued);
            assert!(status.claiming <= limits.claim_limit, "{} claims are undecided", status.claiming);
            assert!(status.dispatches <= limits.dispatch_limit, "{} dispatches are open", status.dispatches);
            assert!(status.forwards <= limits.forward_limit, "{} forwards are open", status.forwards);
            assert!(status.kept_bytes <= limits.cache_bytes, "{} bytes are cached", status.kept_bytes);
        }
    }

    /// Lets everything in progress complete, and checks that no request was lost.
    pub fn settle(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.mode = EndpointMode::Serving;
        }
        for _ in 0..3000 {
            while let Some(message) = (!self.undelivered.is_empty()).then(|| self.undelivered.remove(0)) {
                self.deliver(message, 0);
            }
            if self.routers.iter().all(|router| router.in_progress() == 0) && self.oracle.open_attempts.is_empty() {
                break;
            }
            self.advance(Duration::from_millis(10));
        }
        for router in &self.routers {
            let status = router.status();
            let remaining = (status.in_progress, status.queued, status.claiming, status.dispatches, status.forwards);
            assert_eq!(remaining, (0, 0, 0, 0, 0), "requests were left over: {status:?}");
        }
        let waiting: Vec<_> = self.oracle.requests.iter().filter(|(_, request)| request.waits()).collect();
        assert!(waiting.is_empty(), "requests were never answered: {waiting:?}");
    }

    fn submit(&mut self, pick: usize, value: usize) {
        let body = self.next_body;
        self.next_body += 1;
        let keyed = value.is_multiple_of(2);
        let request = ModelRequest {
            entry: pick % 3,
            body,
            service: SERVICES[pick / 3 % 2].parse().expect("a name"),
            caller: pick / 6 % 3,
            key: keyed.then(|| format!("key-{body}").parse().expect("a key")),
            repeatable: (value / 2).is_multiple_of(3),
            deadline: self.now + Duration::from_millis([20, 100, 400, 1500][value / 8 % 4]),
            origin: None,
            after_drain: false,
            wait: WaitState::Waiting,
        };
        self.admit(request);
    }

    /// Sends a request with a key again, at any entry, with another deadline and, if `other_body` is set, another body.
    fn resend(&mut self, pick: usize, value: usize, other_body: bool) {
        let keyed: Vec<&ModelRequest> =
            self.oracle.requests.values().filter(|request| request.key.is_some() && request.origin.is_none()).collect();
        // Recent requests are more likely to be in progress.
        let recent = &keyed[keyed.len().saturating_sub(4)..];
        if recent.is_empty() {
            return;
        }
        let mut request = recent[pick % recent.len()].clone();
        if other_body {
            request.body = self.next_body;
            self.next_body += 1;
            // If the key is free, the other body may run, as a request of its own.
            request.repeatable |= value.is_multiple_of(2);
        }
        if value.is_multiple_of(2) {
            request.entry = value / 2 % 3;
        }
        request.deadline = self.now + Duration::from_millis([20, 100, 400, 1500][value / 3 % 4]);
        self.admit(request);
    }

    pub(super) fn admit(&mut self, mut request: ModelRequest) -> RequestId {
        let id = RequestId::new(self.next_request);
        self.next_request += 1;
        request.wait = WaitState::Waiting;
        request.after_drain = self.draining[request.entry];
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&request.body.to_le_bytes());
        let arrival = RequestArrival {
            request: id,
            service: request.service.clone(),
            caller: format!("caller-{}", request.caller).parse().expect("a name"),
            key: request.key.clone(),
            repeatable: request.repeatable,
            deadline: request.deadline,
            forwarded: request.origin.is_some(),
            digest: RequestDigest::new(digest),
        };
        let entry = request.entry;
        if std::env::var("ROUTING_TRACE").is_ok() {
            println!("{} {id}: {request:?}", self.now);
        }
        self.oracle.not_run.remove(&request.body);
        self.oracle.requests.insert(id, request);
        let actions = self.routers[entry].admit(self.now, arrival);
        self.apply_actions(entry, actions);
        id
    }

    fn abandon(&mut self, pick: usize) {
        let waiting: Vec<RequestId> =
            self.oracle.requests.iter().filter(|(_, request)| request.waits()).map(|(id, _)| *id).collect();
        if waiting.is_empty() {
            return;
        }
        let id = waiting[pick % waiting.len()];
        let request = self.oracle.requests.get_mut(&id).expect("the request waits");
        request.wait = WaitState::Abandoned;
        let entry = request.entry;
        let actions = self.routers[entry].abandon(self.now, id);
        self.apply_actions(entry, actions);
    }

    fn announce(&mut self, endpoint: usize) {
        let state = &self.endpoints[endpoint];
        let announcement = EndpointAnnouncement {
            endpoint: format!("endpoint-{endpoint}").parse().expect("a name"),
            incarnation: Incarnation::new(state.incarnation.into()),
            service: SERVICES[state.service].parse().expect("a name"),
            address: address_of(endpoint, state.incarnation),
            slots: SLOTS,
            ttl: Duration::from_secs(2),
            leaving: state.leaving,
        };
        for entry in (0..3).filter(|entry| ZONES[*entry] == state.zone) {
            self.undelivered.push(Message::Announce { entry, announcement: announcement.clone() });
        }
    }

    fn reconfigure(&mut self, entry: usize, both: bool) {
        let services = SERVICES.iter().enumerate().take(if both { 2 } else { 1 }).map(|(index, name)| ServiceRoute {
            service: name.parse().expect("a name"),
            class: if index == 0 { TaskClass::LatencyCritical } else { TaskClass::Batch },
            repeatable: false,
            deadline: Duration::from_secs(1),
            depends_on: Vec::new(),
            slots_limit: SLOTS,
        });
        let actions = self.routers[entry].configure(self.now, services.collect());
        self.apply_actions(entry, actions);
    }

    /// Drains an entry, or restarts it once it has drained.
    fn drain(&mut self, entry: usize) {
        if self.draining[entry] && self.routers[entry].in_progress() == 0 {
            let waits = |request: &&ModelRequest| request.entry == entry && request.waits();
            assert_eq!(
                self.oracle.requests.values().filter(waits).count(),
                0,
                "shutdown of entry {entry} lost requests"
            );
            return self.restart_entry(entry);
        }
        self.draining[entry] = true;
        let actions = self.routers[entry].drain(self.now);
        self.apply_actions(entry, actions);
    }

    /// Replaces an entry by a new incarnation. Its callers see broken connections, and messages that it sent may still
    /// arrive.
    fn restart_entry(&mut self, entry: usize) {
        self.starts += 1;
        self.draining[entry] = false;
        self.routers[entry] = RequestRouter::new(settings(), self.starts);
        for request in self.oracle.requests.values_mut().filter(|request| request.entry == entry && request.waits()) {
            request.wait = WaitState::Abandoned;
        }
        self.oracle.open_attempts.retain(|(owner, _), _| *owner != entry);
        self.oracle.used_dispatches.retain(|(owner, _)| *owner != entry);
        self.oracle.known_addresses[entry].clear();
        self.undelivered.retain(|message| match message {
            Message::Decision { entry: owner, .. } | Message::Result { entry: owner, .. } => *owner != entry,
            _ => true,
        });
        // Dispatches in transit may still run, but their results are discarded.
        for message in &mut self.undelivered {
            if let Message::Dispatch { entry: owner, .. } | Message::Forward { entry: owner, .. } = message
                && *owner == entry
            {
                *owner = REPLACED_ENTRY;
            }
        }
        self.reconfigure(entry, true);
        (0..self.endpoints.len()).for_each(|endpoint| self.announce(endpoint));
    }

    /// Advances time in small steps, in which daemons report time-outs and routers tick.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(5));
            let due: Vec<(usize, DispatchId)> = self
                .oracle
                .open_attempts
                .iter()
                .filter(|(_, attempt)| attempt.due <= self.now)
                .map(|(attempt_id, _)| *attempt_id)
                .collect();
            for (entry, dispatch) in due {
                self.finish(entry, dispatch, DispatchResult::Broken { reason: "timed out".into() });
            }
            for entry in 0..3 {
                if self.routers[entry].next_deadline() <= self.now {
                    let actions = self.routers[entry].tick(self.now);
                    self.apply_actions(entry, actions);
                }
            }
        }
    }

    pub(super) fn finish(&mut self, entry: usize, dispatch: DispatchId, result: DispatchResult) {
        if entry == REPLACED_ENTRY {
            return;
        }
        self.oracle.open_attempts.remove(&(entry, dispatch));
        let actions = self.routers[entry].finish(self.now, dispatch, result);
        self.apply_actions(entry, actions);
    }
}

pub(super) fn address_of(endpoint: usize, incarnation: u32) -> EndpointAddress {
    format!("10.0.0.{endpoint}:{}", 1000 + incarnation).parse().expect("an address")
}

pub(super) fn endpoint_at(address: EndpointAddress) -> (usize, u32) {
    let address = address.get();
    let std::net::IpAddr::V4(number) = address.ip() else { panic!("{address}") };
    (number.octets()[3].into(), u32::from(address.port()) - 1000)
}

/// Returns settings with small limits, which short runs reach.
fn settings() -> RouterSettings {
    RouterSettings {
        zone_entries: 2,
        other_zones: 1,
        dispatch_limit: 6,
        forward_limit: 3,
        queue_limit: 12,
        queue_wait_minimum: Duration::from_millis(500),
        claim_limit: 6,
        waiter_limit: 3,
        hedge_minimum: Duration::from_millis(40),
        ejection_backoff: Duration::from_millis(100),
        unresponsive_timeout_minimum: Duration::from_millis(200),
        slow_start: Duration::from_millis(200),
        ttl_range: (Duration::from_millis(10), Duration::from_mins(1)),
        departed_retention: Duration::from_hours(1),
        cache_bytes: 2000,
        ..RouterSettings::default()
    }
}
