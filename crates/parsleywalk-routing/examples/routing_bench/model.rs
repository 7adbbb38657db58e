//! Simulation of the endpoints, callers and network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parsleywalk_routing::{
    DispatchResult, EndpointAnnouncement, EndpointResponse, RequestArrival, RequestDigest, RequestRouter, RouteAction,
    RouteResponse, RouterSettings, ServiceRoute,
};
use parsleywalk_units::{CallerName, DispatchId, Incarnation, MonotonicTime, RequestId, ServiceName, TaskClass};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Scenario;

/// The number of requests running or waiting at an endpoint beyond which it refuses further ones.
const MAX_REQUESTS_PER_ENDPOINT: usize = 64;
/// The one-way delay between an entry and an endpoint in microseconds.
const NETWORK_DELAY_MICROS: u64 = 250;
const DEADLINE: Duration = Duration::from_secs(2);
/// The interval between an endpoint's announcements in microseconds.
const ANNOUNCE_INTERVAL_MICROS: u64 = 1_000_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    MisbehavingArrival,
    Tick(usize),
    Receive { endpoint: usize, entry: usize, dispatch: DispatchId },
    Complete { endpoint: usize, entry: usize, dispatch: DispatchId },
    Reply { entry: usize, dispatch: DispatchId, reply: Reply },
    Abandon { entry: usize, request: RequestId },
    Announce(usize),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Answer(u32),
    Refusal,
    Failure,
    TimeOut,
}

#[derive(Debug)]
struct Endpoint {
    /// The endpoint's service time as a multiple of the base service time. The routers do not know it.
    factor: f64,
    running: usize,
    waiting: VecDeque<(usize, DispatchId)>,
    starts_at: u64,
}

/// The results of one run.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// The latencies of answered requests of regular callers, in microseconds.
    pub latency: Histogram<u64>,
    /// The answered requests as a share of the capacity of the slots.
    pub finished: f64,
    /// The shares of the regular callers' requests that got a complete response or an unknown outcome.
    pub whole: f64,
    pub unknown: f64,
    pub past_deadline: u64,
    /// The number of dispatches per answered request.
    pub dispatches: f64,
}

pub(crate) struct Run<'a> {
    scenario: &'a Scenario,
    random: Pcg64Mcg,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    routers: Vec<RequestRouter>,
    next_tick: Vec<u64>,
    endpoints: Vec<Endpoint>,
    service: ServiceName,
    callers: Vec<CallerName>,
    waiting: HashMap<RequestId, (u64, bool)>,
    /// The dispatches of requests that fail at every endpoint.
    poisoned: HashSet<(usize, DispatchId)>,
    pending_dispatches: HashMap<(usize, DispatchId), usize>,
    next_request: u64,
    capacity: f64,
    answered: u64,
    /// Of the regular callers' requests: those with a complete response, those with an unknown outcome, and all.
    regular_counts: (u64, u64, u64),
    outcome: Outcome,
}

impl<'a> Run<'a> {
    pub(crate) fn new(scenario: &'a Scenario, settings: &RouterSettings, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let endpoints: Vec<Endpoint> = (0..scenario.endpoints + scenario.late_endpoints)
            .map(|index| Endpoint {
                // Two endpoints are slowed down by other tasks on their worker.
                factor: if index < 2 { 2.5 } else { random.random_range(0.7..1.4) },
                running: 0,
                waiting: VecDeque::new(),
                starts_at: if index < scenario.endpoints { 0 } else { scenario.late_at },
            })
            .collect();
        let rate = |endpoint: &Endpoint| scenario.slots_f64() / (scenario.service_time * endpoint.factor);
        let capacity = endpoints[..scenario.endpoints].iter().map(rate).sum::<f64>() * 1e6;
        let settings = RouterSettings { zone_entries: scenario.entries, ..settings.clone() };
        let entries = u64::from(scenario.entries);
        let outcome = Outcome {
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are permitted"),
            finished: 0.0,
            whole: 0.0,
            unknown: 0.0,
            past_deadline: 0,
            dispatches: 0.0,
        };
        Self {
            scenario,
            random,
            now: 1,
            sequence: 0,
            events: BinaryHeap::new(),
            routers: (0..entries).map(|entry| RequestRouter::new(settings.clone(), seed * 100 + entry)).collect(),
            next_tick: (0..entries).map(|_| u64::MAX).collect(),
            endpoints,
            service: "marker-planning".parse().expect("a name"),
            callers: (0..20).map(|index| format!("caller-{index}").parse().expect("a name")).collect(),
            waiting: HashMap::new(),
            poisoned: HashSet::new(),
            pending_dispatches: HashMap::new(),
            next_request: 1,
            capacity,
            answered: 0,
            regular_counts: (0, 0, 0),
            outcome,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        for entry in 0..self.routers.len() {
            let route = ServiceRoute {
                service: self.service.clone(),
                class: TaskClass::LatencyCritical,
                repeatable: true,
                deadline: DEADLINE,
                depends_on: Vec::new(),
                slots_limit: u32::MAX,
            };
            let actions = self.routers[entry].configure(time(self.now), vec![route]);
            self.apply_actions(entry, actions);
        }
        for endpoint in 0..self.endpoints.len() {
            self.push(self.endpoints[endpoint].starts_at + 1, Event::Announce(endpoint));
        }
        self.push(1000, Event::Arrival);
        if self.scenario.misbehaving_load > 0.0 {
            self.push(1000, Event::MisbehavingArrival);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= self.scenario.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.summarize()
    }

    fn summarize(mut self) -> Outcome {
        let window = micros_f64(self.scenario.end - self.scenario.warm_up) / 1e6;
        self.outcome.finished = count_f64(self.answered) / (self.capacity * window);
        let (whole, unknown, all) = self.regular_counts;
        self.outcome.whole = count_f64(whole) / count_f64(all.max(1));
        self.outcome.unknown = count_f64(unknown) / count_f64(all.max(1));
        let dispatches: u64 = self.routers.iter().map(|router| router.status().counters.dispatches).sum();
        let responses: u64 = self.routers.iter().map(|router| router.status().counters.whole).sum();
        self.outcome.dispatches = count_f64(dispatches) / count_f64(responses.max(1));
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let caller = 1 + self.random.random_range(0..self.callers.len() - 1);
                self.admit_request(caller, true);
                self.schedule_arrival(self.scenario.load, Event::Arrival);
            }
            Event::MisbehavingArrival => {
                for _ in 0..3 {
                    let request = self.admit_request(0, false);
                    if let Some((entry, request)) = request.filter(|_| self.random.random_bool(0.5)) {
                        self.push(self.now + 10_000, Event::Abandon { entry, request });
                    }
                }
                self.schedule_arrival(self.scenario.misbehaving_load / 3.0, Event::MisbehavingArrival);
            }
            Event::Tick(entry) => {
                if self.next_tick[entry] == self.now {
                    self.next_tick[entry] = u64::MAX;
                    let actions = self.routers[entry].tick(time(self.now));
                    self.apply_actions(entry, actions);
                }
            }
            Event::Receive { endpoint, entry, dispatch } => self.receive(endpoint, entry, dispatch),
            Event::Complete { endpoint, entry, dispatch } => self.complete(endpoint, entry, dispatch),
            Event::Reply { entry, dispatch, reply } => self.reply(entry, dispatch, &reply),
            Event::Abandon { entry, request } => {
                self.waiting.remove(&request);
                let actions = self.routers[entry].abandon(time(self.now), request);
                self.apply_actions(entry, actions);
            }
            Event::Announce(endpoint) => self.announce(endpoint),
        }
    }

    fn admit_request(&mut self, caller: usize, regular: bool) -> Option<(usize, RequestId)> {
        let entry = self.random.random_range(0..self.routers.len());
        let request = RequestId::new(self.next_request);
        self.next_request += 1;
        let arrival = RequestArrival {
            request,
            service: self.service.clone(),
            caller: self.callers[caller].clone(),
            key: None,
            repeatable: self.random.random_bool(self.scenario.repeatable),
            deadline: time(self.now) + DEADLINE,
            forwarded: false,
            digest: RequestDigest::new([0; 32]),
        };
        if regular && self.now >= self.scenario.warm_up && !is_poison(request, self.scenario.poison_share) {
            self.regular_counts.2 += 1;
        }
        self.waiting.insert(request, (self.now, regular));
        let actions = self.routers[entry].admit(time(self.now), arrival);
        self.apply_actions(entry, actions);
        self.waiting.contains_key(&request).then_some((entry, request))
    }

    fn schedule_arrival(&mut self, load: f64, event: Event) {
        let gap = exponential(&mut self.random) * 1e6 / (self.capacity * load);
        self.push(self.now + round_micros(gap).max(1), event);
    }

    fn announce(&mut self, endpoint: usize) {
        let announcement = EndpointAnnouncement {
            endpoint: format!("endpoint-{endpoint}").parse().expect("a name"),
            incarnation: Incarnation::new(1),
            service: self.service.clone(),
            address: format!("10.0.0.{endpoint}:80").parse().expect("an address"),
            slots: self.scenario.slots,
            ttl: Duration::from_secs(5),
            leaving: false,
        };
        for entry in 0..self.routers.len() {
            let actions = self.routers[entry].announce(time(self.now), announcement.clone());
            self.apply_actions(entry, actions);
        }
        self.push(self.now + ANNOUNCE_INTERVAL_MICROS, Event::Announce(endpoint));
    }

    fn receive(&mut self, endpoint: usize, entry: usize, dispatch: DispatchId) {
        let unresponsive = self.scenario.unresponsive_endpoints;
        if self.now >= self.scenario.fault_at && (2..2 + unresponsive).contains(&endpoint) {
            return;
        }
        if self.now >= self.scenario.fault_at && endpoint == self.scenario.dead_endpoint {
            return self.push(self.now + NETWORK_DELAY_MICROS, Event::Reply { entry, dispatch, reply: Reply::Failure });
        }
        let state = &mut self.endpoints[endpoint];
        if state.running + state.waiting.len() >= MAX_REQUESTS_PER_ENDPOINT {
            return self.push(self.now + NETWORK_DELAY_MICROS, Event::Reply { entry, dispatch, reply: Reply::Refusal });
        }
        if state.running < self.scenario.slots as usize {
            state.running += 1;
            self.start(endpoint, entry, dispatch);
        } else {
            state.waiting.push_back((entry, dispatch));
        }
    }

    fn start(&mut self, endpoint: usize, entry: usize, dispatch: DispatchId) {
        let state = &self.endpoints[endpoint];
        // A cold endpoint is slow while its caches fill.
        let cold = if state.starts_at > 0 && self.now < state.starts_at + self.scenario.cold { 6.0 } else { 1.0 };
        // Half constant, half exponential: a mean of 1 with a moderate tail.
        let sample = 0.5 + 0.5 * exponential(&mut self.random);
        let duration = round_micros(self.scenario.service_time * state.factor * cold * sample);
        self.push(self.now + duration, Event::Complete { endpoint, entry, dispatch });
    }

    fn complete(&mut self, endpoint: usize, entry: usize, dispatch: DispatchId) {
        if let Some((next_entry, next)) = self.endpoints[endpoint].waiting.pop_front() {
            self.start(endpoint, next_entry, next);
        } else {
            self.endpoints[endpoint].running -= 1;
        }
        let state = &self.endpoints[endpoint];
        let load = u32::try_from(state.running + state.waiting.len()).expect("small");
        let failing = (self.scenario.fault_at..self.scenario.fault_end).contains(&self.now);
        let poisoned = self.poisoned.remove(&(entry, dispatch));
        let failed = poisoned || (failing && self.random.random_bool(self.scenario.failure_share));
        let reply = if failed { Reply::Failure } else { Reply::Answer(load) };
        self.push(self.now + NETWORK_DELAY_MICROS, Event::Reply { entry, dispatch, reply });
    }

    fn reply(&mut self, entry: usize, dispatch: DispatchId, reply: &Reply) {
        if self.pending_dispatches.remove(&(entry, dispatch)).is_none() {
            return;
        }
        let result = match reply {
            Reply::Answer(load) => DispatchResult::Answered(Arc::new(EndpointResponse {
                status: 200,
                headers: Vec::new(),
                body: Vec::new(),
                load: Some(*load),
            })),
            Reply::Refusal => DispatchResult::Refused { retry_after: None },
            Reply::Failure => DispatchResult::Broken { reason: "reset".into() },
            Reply::TimeOut => DispatchResult::Broken { reason: "timed out".into() },
        };
        let actions = self.routers[entry].finish(time(self.now), dispatch, result);
        self.apply_actions(entry, actions);
    }

    fn apply_actions(&mut self, entry: usize, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, dispatch, endpoint, timeout } => {
                    if is_poison(request, self.scenario.poison_share) {
                        self.poisoned.insert((entry, dispatch));
                    }
                    let std::net::IpAddr::V4(number) = endpoint.get().ip() else { continue };
                    let endpoint = usize::from(number.octets()[3]);
                    self.pending_dispatches.insert((entry, dispatch), endpoint);
                    self.push(self.now + NETWORK_DELAY_MICROS, Event::Receive { endpoint, entry, dispatch });
                    let due = time(self.now) + timeout;
                    self.push(due.as_micros(), Event::Reply { entry, dispatch, reply: Reply::TimeOut });
                }
                RouteAction::Answer { request, answer } => self.respond(request, &answer),
                _ => {}
            }
        }
        let next = self.routers[entry].next_deadline().as_micros().max(self.now + 1);
        if next < self.next_tick[entry] {
            self.next_tick[entry] = next;
            self.push(next, Event::Tick(entry));
        }
    }

    fn respond(&mut self, request: RequestId, response: &RouteResponse) {
        let Some((arrived, regular)) = self.waiting.remove(&request) else { return };
        if self.now < self.scenario.warm_up {
            return;
        }
        match response {
            RouteResponse::Whole(_) => {
                self.answered += 1;
                let elapsed = self.now - arrived;
                self.outcome.past_deadline += u64::from(Duration::from_micros(elapsed) > DEADLINE);
                if regular {
                    self.regular_counts.0 += 1;
                    self.outcome.latency.saturating_record(elapsed);
                }
            }
            RouteResponse::Unknown { .. } if !is_poison(request, self.scenario.poison_share) => {
                self.regular_counts.1 += u64::from(regular);
            }
            RouteResponse::Unknown { .. } | RouteResponse::NotRun { .. } => {}
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

/// Returns true if a request fails at every endpoint, which is the case for `share` of all requests.
fn is_poison(request: RequestId, share: f64) -> bool {
    let hash = request.get().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
    count_f64(hash) < share * count_f64(1 << 24)
}

fn time(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn exponential(random: &mut Pcg64Mcg) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

#[allow(clippy::cast_precision_loss, reason = "times and counts are far below 2^52")]
fn micros_f64(micros: u64) -> f64 {
    micros as f64
}

#[allow(clippy::cast_precision_loss, reason = "times and counts are far below 2^52")]
fn count_f64(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "spans are positive and below minutes")]
fn round_micros(span: f64) -> u64 {
    span.round() as u64
}
