//! Arrival of requests, claims and the way into the queue.

use std::time::Duration;

use parsleywalk_units::{CallerName, ClaimId, MonotonicTime, RequestId, RequestKey, TaskClass};
use rand::RngExt;

use crate::endpoint_table::ServiceCapacity;
use crate::flight::{Flight, FlightAuthority, FlightState, Waiter};
use crate::timer_queue::TimerKind;
use crate::{ClaimDecision, RequestArrival, RequestRouter, RouteAction, RouteReason, RouteResponse};

/// A claim without a decision for this long counts as unavailable; several election times fit into it.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// For how long a computed capacity is used.
const CAPACITY_VALIDITY: Duration = Duration::from_millis(10);
/// So many turns of waiting are always permitted within the deadline; one slot alone would otherwise never have a queue.
const TURNS_ALWAYS: u32 = 2;
/// What a refused caller is told to wait for at least.
const RETRY_AFTER_MINIMUM: Duration = Duration::from_millis(100);

impl RequestRouter {
    /// Takes in a request: answers it, joins it to one in progress, claims its key, or queues it.
    ///
    /// A request identity that is already waiting is ignored.
    pub fn admit(&mut self, now: MonotonicTime, arrival: RequestArrival) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if !self.waiting.contains_key(&arrival.request) {
            self.counters.arrivals += 1;
            self.arrive(now, arrival, &mut actions);
        }
        actions
    }

    /// Takes in the decision on a claim. Decisions on claims that are no longer waited for are ignored.
    pub fn claim_decided(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        decision: ClaimDecision,
    ) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if self.is_in_state(request, FlightState::Claiming) {
            self.decide(now, request, decision, &mut actions);
        }
        actions
    }

    /// Ends a caller's wait. A queued request for which nobody else waits is dropped; a dispatched one runs to its end.
    pub fn abandon(&mut self, now: MonotonicTime, request: RequestId) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if let Some(waiter) = self.take_waiter(request) {
            self.counters.abandoned += 1;
            self.drop_if_unwanted(now, waiter.0, &RouteReason::DeadlinePassed, &mut actions);
        }
        actions
    }

    fn arrive(&mut self, now: MonotonicTime, mut arrival: RequestArrival, actions: &mut Vec<RouteAction>) {
        let Some(service) = self.configured(&arrival.service) else {
            return self.refuse(&arrival, RouteReason::UnknownService, None, actions);
        };
        if let Some(route) = &self.services[service].route {
            arrival.deadline = arrival.deadline.min(now + route.deadline);
        }
        if arrival.deadline <= now {
            return self.refuse(&arrival, RouteReason::DeadlinePassed, None, actions);
        }
        let mut key = arrival.key.clone().map(|key| RequestKey { service: arrival.service.clone(), key });
        if let Some(bound) = &key {
            match self.resend(now, bound, &arrival, actions) {
                ResendOutcome::Handled => return,
                ResendOutcome::Separate => key = None,
                ResendOutcome::New => {}
            }
        }
        if self.draining {
            return self.refuse(&arrival, RouteReason::Draining, None, actions);
        }
        if let Some(failing) = self.failing_dependency(now, service) {
            let reason = RouteReason::DependencyFailing(self.services[failing].name.clone());
            return self.refuse(&arrival, reason, Some(self.settings.failing_pause), actions);
        }
        if let Err(reason) = self.find_room(now, service, &arrival)
            && (arrival.forwarded || !self.can_forward(now, &[]))
        {
            let retry_after = self.retry_after(service);
            return self.refuse(&arrival, reason, Some(retry_after), actions);
        }
        self.begin_flight(now, service, key, &arrival, actions);
    }

    /// Handles a request whose key is known here.
    fn resend(
        &mut self,
        now: MonotonicTime,
        key: &RequestKey,
        arrival: &RequestArrival,
        actions: &mut Vec<RouteAction>,
    ) -> ResendOutcome {
        self.answers.expire(now);
        if let Some((answer, same)) = self.answers.get(key, arrival.digest, arrival.repeatable) {
            let answer = answer.clone();
            if same {
                self.counters.kept_answers += 1;
                self.answer(arrival.request, RouteResponse::Whole(answer), actions);
            } else {
                self.answer(arrival.request, RouteResponse::Unknown { reason: RouteReason::KeyMismatch }, actions);
            }
            return ResendOutcome::Handled;
        }
        let Some(holder) = self.claims.holder(key) else { return ResendOutcome::New };
        let Some(flight) = self.flights.get_mut(&holder) else { return ResendOutcome::New };
        let reason = if flight.digest != arrival.digest || flight.repeatable != arrival.repeatable {
            Some(RouteReason::KeyMismatch)
        } else if arrival.forwarded && !flight.zones_tried.is_empty() {
            // Both zones may have forwarded the key to each other; joining would make each wait for the other.
            if arrival.repeatable {
                return ResendOutcome::Separate;
            }
            Some(RouteReason::Overloaded)
        } else if flight.waiters.len() >= self.settings.waiter_limit {
            Some(RouteReason::Overloaded)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.answer(arrival.request, RouteResponse::Unknown { reason }, actions);
            return ResendOutcome::Handled;
        }
        let waiter = Waiter { request: arrival.request, deadline: arrival.deadline, forwarded: arrival.forwarded };
        flight.waiters.push(waiter);
        self.counters.joined += 1;
        self.wait_for(holder, &waiter);
        ResendOutcome::Handled
    }

    fn begin_flight(
        &mut self,
        now: MonotonicTime,
        service: usize,
        key: Option<RequestKey>,
        arrival: &RequestArrival,
        actions: &mut Vec<RouteAction>,
    ) {
        let authority = match (&key, arrival.repeatable, arrival.forwarded) {
            (None, ..) => FlightAuthority::Unkeyed,
            (Some(_), true, _) => FlightAuthority::Unclaimed,
            (Some(_), false, true) => FlightAuthority::Delegated,
            (Some(_), false, false) => FlightAuthority::Pending,
        };
        if authority == FlightAuthority::Pending && self.claiming >= self.settings.claim_limit {
            return self.refuse(arrival, RouteReason::Overloaded, Some(RETRY_AFTER_MINIMUM), actions);
        }
        let waiter = Waiter { request: arrival.request, deadline: arrival.deadline, forwarded: arrival.forwarded };
        let flight = Flight {
            service,
            caller: arrival.caller.clone(),
            key: key.clone(),
            digest: arrival.digest,
            repeatable: arrival.repeatable,
            authority,
            claim: None,
            state: FlightState::Queued,
            waiters: vec![waiter],
            attempts: Vec::new(),
            sends: 0,
            ran: false,
            tried: Vec::new(),
            zones_tried: Vec::new(),
            hedge_at: None,
            claim_until: None,
        };
        self.flights.insert(arrival.request, flight);
        self.wait_for(arrival.request, &waiter);
        self.services[service].budget.record_request(now);
        if let Some(key) = key {
            self.claims.begin(key.clone(), arrival.request);
            if authority == FlightAuthority::Pending {
                return self.begin_claim(now, arrival.request, key, actions);
            }
        }
        self.place(now, arrival.request, actions);
    }

    fn begin_claim(&mut self, now: MonotonicTime, request: RequestId, key: RequestKey, actions: &mut Vec<RouteAction>) {
        let claim = self.claims.take_undecided(&key).unwrap_or_else(|| ClaimId::new(self.random.random()));
        let until = now + CLAIM_TIMEOUT;
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.state = FlightState::Claiming;
            flight.claim = Some(claim);
            flight.claim_until = Some(until);
        }
        self.claiming += 1;
        self.timers.set(until, TimerKind::Claim(request));
        actions.push(RouteAction::Claim { request, key, claim });
    }

    pub(crate) fn expire_claim(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        if self.is_in_state(request, FlightState::Claiming) {
            self.decide(now, request, ClaimDecision::Unavailable, actions);
        }
    }

    fn decide(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        decision: ClaimDecision,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        self.claiming -= 1;
        if let Some(until) = flight.claim_until.take() {
            self.timers.clear(until, TimerKind::Claim(request));
        }
        flight.state = FlightState::Queued;
        let reason = match decision {
            ClaimDecision::Granted => {
                flight.authority = FlightAuthority::Holder;
                return self.place(now, request, actions);
            }
            ClaimDecision::HeldBy { entry, state } => {
                flight.claim = None;
                RouteReason::ClaimHeld { entry, state }
            }
            ClaimDecision::Unavailable => {
                if let (Some(key), Some(claim)) = (flight.key.clone(), flight.claim.take()) {
                    self.claims.keep_undecided(key, claim);
                }
                RouteReason::ClaimUnavailable
            }
        };
        if flight.serves_forwarded() {
            // An entry that holds the claim forwarded the same key while this entry's own claim was under way.
            flight.authority = FlightAuthority::Delegated;
            return self.place(now, request, actions);
        }
        self.end_failed(now, request, &reason, None, actions);
    }

    /// Queues a request, forwards it to another zone, or refuses it.
    pub(crate) fn place(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some(flight) = self.flights.get(&request) else { return };
        let service = flight.service;
        let Some(waiter) = flight.waiters.iter().max_by_key(|waiter| waiter.deadline) else {
            return self.end_failed(now, request, &RouteReason::DeadlinePassed, None, actions);
        };
        let room = self.room(now, service, &flight.caller.clone(), waiter.deadline);
        let Err(reason) = room else {
            self.enqueue(request, false);
            // Behind others, it could be dispatched only where an endpoint got room, which serves the queue by itself.
            if self.services[service].queue.len() == 1 {
                self.pump(now, service, actions);
            }
            return self.keep_queue_limit(now, request, actions);
        };
        if !self.forward(now, request, actions) {
            let retry_after = self.retry_after(service);
            self.end_failed(now, request, &reason, Some(retry_after), actions);
        }
    }

    fn find_room(&mut self, now: MonotonicTime, service: usize, arrival: &RequestArrival) -> Result<(), RouteReason> {
        self.room(now, service, &arrival.caller, arrival.deadline)
    }

    /// Whether a request would be served soon enough if it were queued now.
    fn room(
        &mut self,
        now: MonotonicTime,
        service: usize,
        caller: &CallerName,
        deadline: MonotonicTime,
    ) -> Result<(), RouteReason> {
        let capacity = self.capacity(now, service);
        if capacity.endpoints == 0 {
            return Err(RouteReason::NoEndpoint);
        }
        let dispatch_limit = self.dispatch_limit(service);
        // Where all endpoints are ejected, one request may wait for a probe.
        let capacity = capacity.slots.clamp(1, u32::try_from(dispatch_limit).unwrap_or(u32::MAX).max(1));
        let state = &self.services[service];
        let ahead = state.queue.ahead_of(caller);
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        let full = self.queued >= self.settings.queue_limit;
        let free = self.dispatches.len() < dispatch_limit && state.outstanding.saturating_add(waiting) < capacity;
        if free && (!full || waiting == 0) {
            return Ok(());
        }
        if full && self.displaceable(service, state.queue.len_of(caller) + 1).is_none() {
            return Err(RouteReason::Overloaded);
        }
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let latency = state.latency();
        let wait = latency.mul_f64(f64::from(turns) / f64::from(capacity));
        let typical = latency.mul_f64(self.settings.queue_wait_factor).max(self.settings.queue_wait_minimum);
        let too_long = if latency.is_zero() {
            // Without a latency yet, the queue is bounded by one request per slot.
            turns > capacity
        } else {
            let long = state.is_latency_critical() && turns > TURNS_ALWAYS && wait > typical;
            long || wait > deadline.since(now).saturating_sub(latency)
        };
        if too_long { Err(RouteReason::Overloaded) } else { Ok(()) }
    }

    /// Displaces a request from the queues if one that was found to have a better right to its place made them too long.
    pub(crate) fn keep_queue_limit(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some(flight) = self.flights.get(&request) else { return };
        let (service, caller) = (flight.service, flight.caller.clone());
        if self.queued <= self.settings.queue_limit || !self.is_in_state(request, FlightState::Queued) {
            return;
        }
        let own = self.services[service].queue.len_of(&caller);
        let Some((crowded, fewer_than)) = self.displaceable(service, own) else {
            let retry_after = self.retry_after(service);
            return self.end_failed(now, request, &RouteReason::Overloaded, Some(retry_after), actions);
        };
        if let Some(displaced) = self.services[crowded].queue.displace(fewer_than) {
            self.queued -= 1;
            let retry_after = self.retry_after(crowded);
            self.end_failed(now, displaced, &RouteReason::Overloaded, Some(retry_after), actions);
        }
    }

    /// Returns a service from whose longest lane a request may be displaced, and the length that the lane must exceed:
    /// any batch service for a latency-critical request, and otherwise a caller with more requests than the `own` ones of
    /// the caller whose request needs the place, that request included.
    fn displaceable(&self, service: usize, own: usize) -> Option<(usize, usize)> {
        let state = &self.services[service];
        if state.is_latency_critical() {
            let batch = (0..self.services.len())
                .filter(|other| !self.services[*other].is_latency_critical())
                .max_by_key(|other| self.services[*other].queue.len())
                .filter(|other| !self.services[*other].queue.is_empty());
            if let Some(batch) = batch {
                return Some((batch, 0));
            }
        }
        (state.queue.longest() > own).then_some((service, own))
    }

    /// What the service's endpoints can take, as computed a short while ago.
    pub(crate) fn capacity(&mut self, now: MonotonicTime, service: usize) -> ServiceCapacity {
        let state = &mut self.services[service];
        if let Some(capacity) = state.capacity.filter(|known| now.since(known.computed_at) < CAPACITY_VALIDITY) {
            return capacity;
        }
        let capacity = self.endpoints.capacity(now, service, state.slots_limit(), &self.settings);
        state.capacity = Some(capacity);
        capacity
    }

    fn failing_dependency(&mut self, now: MonotonicTime, service: usize) -> Option<usize> {
        let dependencies = self.services[service].dependencies.clone();
        dependencies.into_iter().find(|&dependency| {
            let absent = self.settings.other_zones == 0
                && self.services[dependency].seen_endpoint
                && self.capacity(now, dependency).endpoints == 0;
            absent || self.services[dependency].health.refuses_dependent(now)
        })
    }

    /// Refuses a request that has no flight.
    fn refuse(
        &mut self,
        arrival: &RequestArrival,
        reason: RouteReason,
        retry_after: Option<Duration>,
        actions: &mut Vec<RouteAction>,
    ) {
        // Another entry may run a copy of a keyed request; only the holder of its claim could exclude that. A forwarding
        // entry asks about its own forward only.
        let answer = if arrival.key.is_none() || arrival.forwarded {
            RouteResponse::NotRun { reason, retry_after }
        } else {
            RouteResponse::Unknown { reason }
        };
        self.answer(arrival.request, answer, actions);
    }

    pub(crate) fn retry_after(&self, service: usize) -> Duration {
        let state = &self.services[service];
        let batch = state.route.as_ref().is_some_and(|route| route.class == TaskClass::Batch);
        state.latency().max(RETRY_AFTER_MINIMUM) * if batch { 4 } else { 1 }
    }

    fn wait_for(&mut self, flight: RequestId, waiter: &Waiter) {
        self.waiting.insert(waiter.request, flight);
        self.timers.set(waiter.deadline, TimerKind::Deadline(waiter.request));
    }
}

/// What became of a request whose key may be known here.
enum ResendOutcome {
    /// It was answered or joined one in progress.
    Handled,
    /// It runs apart from the one in progress and is not found by its key.
    Separate,
    /// Its key is not known.
    New,
}
