//! The routers and everything around them.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_routing::{
    BodyDigest, ClaimDecision, DispatchResult, EndpointAddress, EndpointAnnouncement, EndpointAnswer, RequestArrival,
    RequestRouter, RouteAction, RouteAnswer, RouterSettings, ServiceRoute,
};
use parsleywalk_units::{
    ClaimId, ClaimOutcome, DispatchId, Incarnation, MonotonicTime, RequestId, RequestKey, TaskClass,
};

use super::claims::ModelClaims;
use super::oracle::{KnownAddresses, ModelRequest, OpenAttempt, WaitState};
use super::{Oracle, Step, StepKind};

const ZONES: [usize; 3] = [0, 0, 1];
const SERVICES: [&str; 2] = ["orders", "ledgers"];
const SLOTS: u32 = 2;
/// Stands for an entry that has been restarted since.
const NOBODY: usize = usize::MAX;

#[derive(Debug, Clone)]
enum Message {
    Claim { entry: usize, request: RequestId, key: RequestKey, claim: ClaimId },
    Settle { key: RequestKey, claim: ClaimId, outcome: ClaimOutcome },
    Decision { entry: usize, request: RequestId, decision: ClaimDecision },
    Dispatch { entry: usize, dispatch: DispatchId, address: EndpointAddress, body: u64 },
    Forward { entry: usize, dispatch: DispatchId, to: usize, request: ModelRequest, left: Duration },
    Result { entry: usize, dispatch: DispatchId, result: DispatchResult },
    Announce { entry: usize, announcement: EndpointAnnouncement },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointMode {
    Serving,
    Silent,
    Refusing,
    Failing,
}

#[derive(Debug)]
struct ModelEndpoint {
    zone: usize,
    service: usize,
    incarnation: u16,
    mode: EndpointMode,
    leaving: bool,
}

#[derive(Debug)]
pub struct World {
    pub now: MonotonicTime,
    pub routers: Vec<RequestRouter>,
    pub oracle: Oracle,
    draining: Vec<bool>,
    claims: ModelClaims,
    endpoints: Vec<ModelEndpoint>,
    bag: Vec<Message>,
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
            oracle: Oracle { known: vec![KnownAddresses::new(); 3], ..Oracle::default() },
            draining: vec![false; 3],
            claims: ModelClaims::default(),
            endpoints: endpoints.collect(),
            bag: Vec::new(),
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
            StepKind::Submit => self.submit(pick, value),
            StepKind::Resend => self.resend(pick, value, false),
            StepKind::ReuseKey => self.resend(pick, value, true),
            StepKind::Abandon => self.abandon(pick),
            StepKind::Deliver if !self.bag.is_empty() => {
                let message = self.bag.remove(pick % self.bag.len());
                self.deliver(message, value);
            }
            StepKind::Lose if !self.bag.is_empty() => {
                let message = self.bag.remove(pick % self.bag.len());
                self.lose(message, value);
            }
            StepKind::DeliverTwice => {
                let twice = |message: &&Message| {
                    matches!(message, Message::Result { .. } | Message::Announce { .. } | Message::Decision { .. })
                };
                let messages: Vec<Message> = self.bag.iter().filter(twice).cloned().collect();
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
                    [EndpointMode::Serving, EndpointMode::Silent, EndpointMode::Refusing, EndpointMode::Failing];
                let endpoint = pick % self.endpoints.len();
                self.endpoints[endpoint].mode = modes.get(value % 8).copied().unwrap_or(EndpointMode::Serving);
            }
            StepKind::Advance => self.advance(Duration::from_millis([1, 1, 5, 20, 200][value % 5])),
            StepKind::Drain => self.drain(pick % 3),
            StepKind::Crash => self.restart_entry(pick % 3),
            StepKind::Reconfigure => self.reconfigure(pick % 3, !value.is_multiple_of(4)),
            StepKind::Deliver | StepKind::Lose => {}
        }
    }

    /// Lets everything in progress end, and checks that nothing was lost.
    pub fn settle(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.mode = EndpointMode::Serving;
        }
        for _ in 0..3000 {
            while let Some(message) = (!self.bag.is_empty()).then(|| self.bag.remove(0)) {
                self.deliver(message, 0);
            }
            if self.routers.iter().all(|router| router.in_progress() == 0) && self.oracle.open.is_empty() {
                break;
            }
            self.advance(Duration::from_millis(10));
        }
        for router in &self.routers {
            let status = router.status();
            let left = (status.in_progress, status.queued, status.claiming, status.dispatches, status.forwards);
            assert_eq!(left, (0, 0, 0, 0, 0), "requests were left over: {status:?}");
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

    /// Sends a keyed request again, at any entry, with another deadline and perhaps another body.
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
            // The other body would run if its key were free; it stands for its own request.
            request.repeatable |= value.is_multiple_of(2);
        }
        if value.is_multiple_of(2) {
            request.entry = value / 2 % 3;
        }
        request.deadline = self.now + Duration::from_millis([20, 100, 400, 1500][value / 3 % 4]);
        self.admit(request);
    }

    fn admit(&mut self, mut request: ModelRequest) -> RequestId {
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
            digest: BodyDigest::new(digest),
        };
        let entry = request.entry;
        if std::env::var("ROUTING_TRACE").is_ok() {
            println!("{} {id}: {request:?}", self.now);
        }
        self.oracle.requests.insert(id, request);
        let actions = self.routers[entry].admit(self.now, arrival);
        self.carry_out(entry, actions);
        id
    }

    fn abandon(&mut self, pick: usize) {
        let waiting: Vec<RequestId> =
            self.oracle.requests.iter().filter(|(_, request)| request.waits()).map(|(id, _)| *id).collect();
        if waiting.is_empty() {
            return;
        }
        let id = waiting[pick % waiting.len()];
        let request = self.oracle.requests.get_mut(&id).expect("it waits");
        request.wait = WaitState::Abandoned;
        let entry = request.entry;
        let actions = self.routers[entry].abandon(self.now, id);
        self.carry_out(entry, actions);
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
            self.bag.push(Message::Announce { entry, announcement: announcement.clone() });
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
        self.carry_out(entry, actions);
    }

    /// Shuts an entry down, or starts it again once its shutdown is complete.
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
        self.carry_out(entry, actions);
    }

    /// Replaces an entry by a new one. Its callers see broken connections, and what it sent may still arrive.
    fn restart_entry(&mut self, entry: usize) {
        self.starts += 1;
        self.draining[entry] = false;
        self.routers[entry] = RequestRouter::new(settings(), self.starts);
        for request in self.oracle.requests.values_mut().filter(|request| request.entry == entry && request.waits()) {
            request.wait = WaitState::Abandoned;
        }
        self.oracle.open.retain(|(at, _), _| *at != entry);
        self.oracle.used.retain(|(at, _)| *at != entry);
        self.oracle.known[entry].clear();
        self.bag.retain(|message| match message {
            Message::Decision { entry: at, .. } | Message::Result { entry: at, .. } => *at != entry,
            _ => true,
        });
        // Dispatches already sent may run, but their results reach nobody.
        for message in &mut self.bag {
            if let Message::Dispatch { entry: at, .. } | Message::Forward { entry: at, .. } = message
                && *at == entry
            {
                *at = NOBODY;
            }
        }
        self.reconfigure(entry, true);
        (0..self.endpoints.len()).for_each(|endpoint| self.announce(endpoint));
    }

    /// Moves time on in small steps; daemons report time-outs, and routers act on what is due.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(5));
            let due: Vec<(usize, DispatchId)> =
                self.oracle.open.iter().filter(|(_, open)| open.due <= self.now).map(|(name, _)| *name).collect();
            for (entry, dispatch) in due {
                self.finish(entry, dispatch, DispatchResult::Broken { reason: "timed out".into() });
            }
            for entry in 0..3 {
                if self.routers[entry].next_deadline() <= self.now {
                    let actions = self.routers[entry].tick(self.now);
                    self.carry_out(entry, actions);
                }
            }
        }
    }

    fn finish(&mut self, entry: usize, dispatch: DispatchId, result: DispatchResult) {
        if entry == NOBODY {
            return;
        }
        self.oracle.open.remove(&(entry, dispatch));
        let actions = self.routers[entry].finish(self.now, dispatch, result);
        self.carry_out(entry, actions);
    }

    fn deliver(&mut self, message: Message, value: usize) {
        match message {
            Message::Claim { entry, request, key, claim } => {
                let decision = self.claims.claim(&key, u16::try_from(entry).expect("small"), claim);
                self.bag.push(Message::Decision { entry, request, decision });
            }
            Message::Settle { key, claim, outcome } => self.claims.settle(&key, claim, outcome),
            Message::Decision { entry, request, decision } => {
                let actions = self.routers[entry].claim_decided(self.now, request, decision);
                self.carry_out(entry, actions);
            }
            Message::Dispatch { entry, dispatch, address, body } => {
                if let Some(result) = self.serve(address, body, value) {
                    self.bag.push(Message::Result { entry, dispatch, result });
                }
            }
            Message::Forward { entry, dispatch, to, mut request, left } => {
                request.origin = Some((entry, dispatch));
                request.entry = to;
                request.deadline = self.now + left;
                self.admit(request);
            }
            Message::Result { entry, dispatch, result } => self.finish(entry, dispatch, result),
            Message::Announce { entry, announcement } => {
                let (known, address) = (&mut self.oracle.known[entry], announcement.address);
                let (endpoint, incarnation) = endpoint_at(address);
                let newest = (incarnation..100).rev().find(|other| known.contains_key(&address_of(endpoint, *other)));
                if newest.is_none_or(|newest| newest == incarnation) {
                    (0..incarnation).for_each(|older| {
                        known.insert(address_of(endpoint, older), (0, MonotonicTime::ZERO));
                    });
                    let until = self.now + announcement.ttl;
                    let record = known.entry(address).or_insert((SLOTS, until));
                    *record =
                        if announcement.leaving || record.0 == 0 { (0, MonotonicTime::ZERO) } else { (SLOTS, until) };
                }
                let actions = self.routers[entry].announce(self.now, announcement);
                self.carry_out(entry, actions);
            }
        }
    }

    /// Lets a dispatch reach an endpoint and returns what the daemon learns of it.
    fn serve(&mut self, address: EndpointAddress, body: u64, value: usize) -> Option<DispatchResult> {
        let (endpoint, incarnation) = endpoint_at(address);
        let state = &self.endpoints[endpoint];
        if state.incarnation != incarnation {
            return Some(DispatchResult::NotSent { reason: "connection refused".into() });
        }
        let mode = state.mode;
        if mode == EndpointMode::Refusing || (state.leaving && value.is_multiple_of(3)) {
            return Some(DispatchResult::Refused { retry_after: None });
        }
        if mode != EndpointMode::Silent || value.is_multiple_of(2) {
            self.oracle.record_run(body);
        }
        let answer = EndpointAnswer {
            status: if mode == EndpointMode::Failing { 500 } else { 200 },
            headers: Vec::new(),
            body: body.to_le_bytes().to_vec(),
            load: Some(u32::try_from(value % 4).expect("small")),
        };
        (mode != EndpointMode::Silent).then(|| DispatchResult::Answered(Arc::new(answer)))
    }

    fn lose(&mut self, message: Message, value: usize) {
        let broken = || DispatchResult::Broken { reason: "connection reset".into() };
        let not_sent = || DispatchResult::NotSent { reason: "connection refused".into() };
        match message {
            Message::Claim { entry, request, key, claim } => {
                self.bag.push(Message::Decision { entry, request, decision: ClaimDecision::Unavailable });
                match value % 3 {
                    0 => {}
                    1 => drop(self.claims.claim(&key, u16::try_from(entry).expect("small"), claim)),
                    _ => self.bag.push(Message::Claim { entry, request, key, claim }),
                }
            }
            Message::Decision { entry, request, .. } => {
                self.bag.push(Message::Decision { entry, request, decision: ClaimDecision::Unavailable });
            }
            Message::Dispatch { entry, dispatch, address, body } => {
                let result = match value % 3 {
                    0 => not_sent(),
                    1 => broken(),
                    _ => {
                        self.serve(address, body, value);
                        broken()
                    }
                };
                self.bag.push(Message::Result { entry, dispatch, result });
            }
            Message::Forward { entry, dispatch, .. } => {
                let result = if value.is_multiple_of(2) { not_sent() } else { broken() };
                self.bag.push(Message::Result { entry, dispatch, result });
            }
            Message::Result { entry, dispatch, result } => {
                // A truncated answer, or one with another identity, is reported as a broken connection.
                if matches!(result, DispatchResult::Answered(_)) {
                    self.bag.push(Message::Result { entry, dispatch, result: broken() });
                }
            }
            Message::Settle { .. } | Message::Announce { .. } => {}
        }
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<RouteAction>) {
        for action in actions {
            if std::env::var("ROUTING_TRACE").is_ok() {
                println!("{} entry {entry}: {action:?}", self.now);
            }
            match action {
                RouteAction::Claim { request, key, claim } => {
                    assert!(!self.oracle.requests[&request].after_drain, "{request} was claimed during shutdown");
                    self.bag.push(Message::Claim { entry, request, key, claim });
                }
                RouteAction::Settle { key, claim, outcome } => {
                    if outcome == ClaimOutcome::NotRun {
                        self.check_not_run(&key);
                    }
                    self.bag.push(Message::Settle { key, claim, outcome });
                }
                RouteAction::Dispatch { request, dispatch, endpoint, timeout } => {
                    let record = self.oracle.check_dispatch(self.now, entry, request, dispatch, Some(endpoint)).clone();
                    self.check_claim(entry, &record);
                    self.open(entry, dispatch, Some(endpoint), record.body, timeout);
                    self.bag.push(Message::Dispatch { entry, dispatch, address: endpoint, body: record.body });
                }
                RouteAction::Forward { request, dispatch, zone_choice, timeout } => {
                    assert_eq!(zone_choice, 0);
                    let record = self.oracle.check_dispatch(self.now, entry, request, dispatch, None).clone();
                    self.check_claim(entry, &record);
                    self.open(entry, dispatch, None, record.body, timeout);
                    let to = if ZONES[entry] == 0 { 2 } else { usize::from(dispatch.get().is_multiple_of(2)) };
                    self.bag.push(Message::Forward { entry, dispatch, to, request: record, left: timeout });
                }
                RouteAction::Answer { request, answer } => self.answer(entry, request, &answer),
                RouteAction::Share { announcement } => {
                    for other in (0..3).filter(|other| *other != entry && ZONES[*other] == ZONES[entry]) {
                        self.bag.push(Message::Announce { entry: other, announcement: announcement.clone() });
                    }
                }
            }
        }
    }

    fn open(
        &mut self,
        entry: usize,
        dispatch: DispatchId,
        address: Option<EndpointAddress>,
        body: u64,
        timeout: Duration,
    ) {
        self.oracle.open.insert((entry, dispatch), OpenAttempt { address, body, due: self.now + timeout });
    }

    fn answer(&mut self, entry: usize, request: RequestId, answer: &RouteAnswer) {
        let record = self.oracle.requests[&request].clone();
        let in_transit = self.in_transit(record.body);
        let holds = record.request_key().is_some_and(|key| self.holds(entry, &key));
        self.oracle.check_answer(self.now, request, answer, in_transit, holds && !record.repeatable);
        if let Some((origin, dispatch)) = record.origin {
            let result = match answer {
                RouteAnswer::Whole(answer) => DispatchResult::Answered(answer.clone()),
                RouteAnswer::NotRun { retry_after, .. } => DispatchResult::Refused { retry_after: *retry_after },
                RouteAnswer::Unknown { .. } => DispatchResult::Broken { reason: "unknown".into() },
            };
            self.bag.push(Message::Result { entry: origin, dispatch, result });
        }
    }

    /// A request that is not repeatable and has a key is sent only under a claim that its entry holds.
    fn check_claim(&self, entry: usize, request: &ModelRequest) {
        let Some(key) = request.request_key().filter(|_| !request.repeatable) else { return };
        let delegated =
            self.oracle.requests.values().any(|other| {
                other.entry == entry && other.request_key().as_ref() == Some(&key) && other.origin.is_some()
            });
        assert!(delegated || self.holds(entry, &key), "{key} was sent without a claim");
    }

    fn check_not_run(&self, key: &RequestKey) {
        let bodies = self.oracle.requests.values().filter(|request| request.request_key().as_ref() == Some(key));
        for body in bodies.filter(|request| !request.repeatable).map(|request| request.body) {
            let ran = self.oracle.runs.contains_key(&body) || self.in_transit(body);
            assert!(!ran, "the claim on {key} was settled as not run, but it ran or may run");
        }
    }

    fn holds(&self, entry: usize, key: &RequestKey) -> bool {
        self.claims.is_held_by(key, u16::try_from(entry).expect("small"))
    }

    fn in_transit(&self, body: u64) -> bool {
        self.bag.iter().any(|message| match message {
            Message::Dispatch { body: sent, .. } => *sent == body,
            Message::Forward { request, .. } => request.body == body,
            _ => false,
        })
    }
}

fn address_of(endpoint: usize, incarnation: u16) -> EndpointAddress {
    format!("10.0.0.{endpoint}:{}", 1000 + incarnation).parse().expect("an address")
}

fn endpoint_at(address: EndpointAddress) -> (usize, u16) {
    let address = address.get();
    let std::net::IpAddr::V4(number) = address.ip() else { panic!("{address}") };
    (number.octets()[3].into(), address.port() - 1000)
}

/// Small limits, so that short runs reach them.
fn settings() -> RouterSettings {
    RouterSettings {
        zone_entries: 2,
        other_zones: 1,
        dispatch_limit: 14,
        forward_limit: 3,
        queue_limit: 6,
        claim_limit: 6,
        waiter_limit: 3,
        hedge_minimum: Duration::from_millis(40),
        ejection_pause: Duration::from_millis(100),
        silence_minimum: Duration::from_millis(200),
        slow_start: Duration::from_millis(200),
        ttl_range: (Duration::from_millis(10), Duration::from_mins(1)),
        departed_retention: Duration::from_hours(1),
        cache_bytes: 2000,
        ..RouterSettings::default()
    }
}
