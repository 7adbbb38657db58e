//! Admission of requests: key lookup, claims and queueing.

use std::time::Duration;

use parsleywalk_units::{CallerName, ClaimId, MonotonicTime, RequestId, RequestKey, TaskClass};
use rand::RngExt;

use crate::endpoint_table::ServiceCapacity;
use crate::request_execution::{ExecutionAuthority, ExecutionState, RequestExecution, Waiter};
use crate::timer_queue::TimerKind;
use crate::{ClaimDecision, RequestArrival, RequestRouter, RouteAction, RouteReason, RouteResponse};

/// The time without a decision after which a claim counts as unavailable; long enough for several leader elections.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// The time for which a computed service capacity is cached.
const CAPACITY_VALIDITY: Duration = Duration::from_millis(10);
/// The queue position up to which a latency-critical request is queued however long its expected wait, its deadline
/// permitting. Without it, a service with a single slot would never queue a request.
const ALWAYS_PERMITTED_POSITION: u32 = 2;
/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl RequestRouter {
    /// Admits a request: responds to it immediately, joins it to the execution of its key, claims its key, queues it,
    /// or forwards it.
    ///
    /// A request whose id is already waiting is ignored.
    pub fn admit(&mut self, now: MonotonicTime, arrival: RequestArrival) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if !self.waiting.contains_key(&arrival.request) {
            self.counters.arrivals += 1;
            self.handle_arrival(now, arrival, &mut actions);
        }
        actions
    }

    /// Applies the decision on a claim. Ignored if the request is no longer waiting for one.
    pub fn claim_decided(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        decision: ClaimDecision,
    ) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if self.is_in_state(request, ExecutionState::Claiming) {
            self.apply_claim_decision(now, request, decision, &mut actions);
        }
        actions
    }

    /// Removes the request of a caller that disconnected. A queued execution without other waiters is dropped; a
    /// dispatched one runs to completion.
    pub fn abandon(&mut self, now: MonotonicTime, request: RequestId) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        if let Some(waiter) = self.take_waiter(request) {
            self.counters.abandoned += 1;
            self.drop_if_abandoned(now, waiter.0, &RouteReason::DeadlinePassed, &mut actions);
        }
        actions
    }

    fn handle_arrival(&mut self, now: MonotonicTime, mut arrival: RequestArrival, actions: &mut Vec<RouteAction>) {
        let Some(service) = self.configured_service(&arrival.service) else {
            return self.refuse(&arrival, RouteReason::UnknownService, None, actions);
        };
        if let Some(route) = &self.services[service].route {
            arrival.deadline = arrival.deadline.min(now + route.deadline);
        }
        if arrival.deadline <= now {
            return self.refuse(&arrival, RouteReason::DeadlinePassed, None, actions);
        }
        let mut key = arrival.key.clone().map(|key| RequestKey { service: arrival.service.clone(), key });
        if let Some(request_key) = &key {
            match self.handle_resend(now, request_key, &arrival, actions) {
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
            return self.refuse(&arrival, reason, Some(self.settings.failing_backoff), actions);
        }
        if let Err(reason) = self.check_arrival_capacity(now, service, &arrival)
            && (arrival.forwarded || !self.can_forward(now, &[]))
        {
            let retry_after = self.retry_after(service);
            return self.refuse(&arrival, reason, Some(retry_after), actions);
        }
        self.begin_execution(now, service, key, &arrival, actions);
    }

    /// Responds to a resend from the cache, or joins it to the execution of its key.
    fn handle_resend(
        &mut self,
        now: MonotonicTime,
        key: &RequestKey,
        arrival: &RequestArrival,
        actions: &mut Vec<RouteAction>,
    ) -> ResendOutcome {
        self.response_cache.expire(now);
        if let Some((response, same_request)) = self.response_cache.get(key, arrival.digest, arrival.repeatable) {
            let response = response.clone();
            if same_request {
                self.counters.kept_answers += 1;
                self.respond(arrival.request, RouteResponse::Whole(response), actions);
            } else {
                self.respond(arrival.request, RouteResponse::Unknown { reason: RouteReason::KeyMismatch }, actions);
            }
            return ResendOutcome::Handled;
        }
        let Some(holder) = self.key_registry.holder(key) else { return ResendOutcome::New };
        let Some(execution) = self.executions.get_mut(&holder) else { return ResendOutcome::New };
        let reason = if execution.digest != arrival.digest || execution.repeatable != arrival.repeatable {
            Some(RouteReason::KeyMismatch)
        } else if arrival.forwarded && !execution.tried_zones.is_empty() {
            // Both zones may have forwarded requests with this key to each other. If each joined the other's execution,
            // neither would ever end before its deadline.
            if arrival.repeatable {
                return ResendOutcome::Separate;
            }
            Some(RouteReason::Overloaded)
        } else if execution.waiters.len() >= self.settings.waiter_limit {
            Some(RouteReason::Overloaded)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.respond(arrival.request, RouteResponse::Unknown { reason }, actions);
            return ResendOutcome::Handled;
        }
        let waiter = Waiter { request: arrival.request, deadline: arrival.deadline, forwarded: arrival.forwarded };
        execution.waiters.push(waiter);
        self.counters.joined += 1;
        self.register_waiter(holder, &waiter);
        ResendOutcome::Handled
    }

    fn begin_execution(
        &mut self,
        now: MonotonicTime,
        service: usize,
        key: Option<RequestKey>,
        arrival: &RequestArrival,
        actions: &mut Vec<RouteAction>,
    ) {
        let authority = match (&key, arrival.repeatable, arrival.forwarded) {
            (None, ..) => ExecutionAuthority::Unkeyed,
            (Some(_), true, _) => ExecutionAuthority::Unclaimed,
            (Some(_), false, true) => ExecutionAuthority::Delegated,
            (Some(_), false, false) => ExecutionAuthority::Pending,
        };
        if authority == ExecutionAuthority::Pending && self.claiming >= self.settings.claim_limit {
            return self.refuse(arrival, RouteReason::Overloaded, Some(MIN_RETRY_AFTER), actions);
        }
        let waiter = Waiter { request: arrival.request, deadline: arrival.deadline, forwarded: arrival.forwarded };
        let execution = RequestExecution {
            service,
            caller: arrival.caller.clone(),
            key: key.clone(),
            digest: arrival.digest,
            repeatable: arrival.repeatable,
            authority,
            claim: None,
            state: ExecutionState::Queued,
            waiters: vec![waiter],
            attempts: Vec::new(),
            send_count: 0,
            may_have_run: false,
            tried_endpoints: Vec::new(),
            tried_zones: Vec::new(),
            hedge_at: None,
            claim_deadline: None,
        };
        self.executions.insert(arrival.request, execution);
        self.register_waiter(arrival.request, &waiter);
        self.services[service].budget.record_request(now);
        if let Some(key) = key {
            self.key_registry.begin(key.clone(), arrival.request);
            if authority == ExecutionAuthority::Pending {
                return self.begin_claim(now, arrival.request, key, actions);
            }
        }
        self.queue_or_forward(now, arrival.request, actions);
    }

    fn begin_claim(&mut self, now: MonotonicTime, request: RequestId, key: RequestKey, actions: &mut Vec<RouteAction>) {
        let claim = self.key_registry.take_undecided(&key).unwrap_or_else(|| ClaimId::new(self.random.random()));
        let deadline = now + CLAIM_TIMEOUT;
        if let Some(execution) = self.executions.get_mut(&request) {
            execution.state = ExecutionState::Claiming;
            execution.claim = Some(claim);
            execution.claim_deadline = Some(deadline);
        }
        self.claiming += 1;
        self.timers.set(deadline, TimerKind::ClaimTimeout(request));
        actions.push(RouteAction::Claim { request, key, claim });
    }

    pub(crate) fn expire_claim(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        if self.is_in_state(request, ExecutionState::Claiming) {
            self.apply_claim_decision(now, request, ClaimDecision::Unavailable, actions);
        }
    }

    fn apply_claim_decision(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        decision: ClaimDecision,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(execution) = self.executions.get_mut(&request) else { return };
        self.claiming -= 1;
        if let Some(deadline) = execution.claim_deadline.take() {
            self.timers.clear(deadline, TimerKind::ClaimTimeout(request));
        }
        execution.state = ExecutionState::Queued;
        let reason = match decision {
            ClaimDecision::Granted => {
                execution.authority = ExecutionAuthority::Holder;
                return self.queue_or_forward(now, request, actions);
            }
            ClaimDecision::HeldBy { entry, state } => {
                execution.claim = None;
                RouteReason::ClaimHeld { entry, state }
            }
            ClaimDecision::Unavailable => {
                if let (Some(key), Some(claim)) = (execution.key.clone(), execution.claim.take()) {
                    self.key_registry.remember_undecided(key, claim);
                }
                RouteReason::ClaimUnavailable
            }
        };
        if execution.has_forwarded_waiter() {
            // The entry that holds the claim forwarded a request with the same key while this entry's claim was
            // pending.
            execution.authority = ExecutionAuthority::Delegated;
            return self.queue_or_forward(now, request, actions);
        }
        self.fail(now, request, &reason, None, actions);
    }

    /// Queues an execution, forwards it to another zone, or fails it.
    pub(crate) fn queue_or_forward(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some(execution) = self.executions.get(&request) else { return };
        let service = execution.service;
        let Some(waiter) = execution.waiters.iter().max_by_key(|waiter| waiter.deadline) else {
            return self.fail(now, request, &RouteReason::DeadlinePassed, None, actions);
        };
        let capacity_check = self.check_capacity(now, service, &execution.caller.clone(), waiter.deadline);
        let Err(reason) = capacity_check else {
            self.enqueue(request, false);
            // Behind other requests it can only be dispatched once an endpoint has a free slot, and that event
            // dispatches queued requests anyway.
            if self.services[service].queue.len() == 1 {
                self.dispatch_queued(now, service, actions);
            }
            return self.enforce_queue_limit(now, request, actions);
        };
        if !self.forward(now, request, actions) {
            let retry_after = self.retry_after(service);
            self.fail(now, request, &reason, Some(retry_after), actions);
        }
    }

    fn check_arrival_capacity(
        &mut self,
        now: MonotonicTime,
        service: usize,
        arrival: &RequestArrival,
    ) -> Result<(), RouteReason> {
        self.check_capacity(now, service, &arrival.caller, arrival.deadline)
    }

    /// Checks whether a request that is queued now can be expected to be dispatched soon enough.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing or forwarding the request.
    fn check_capacity(
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
        // If all endpoints are ejected, one request may wait to be sent as a probe.
        let usable_slots = capacity.slots.clamp(1, u32::try_from(dispatch_limit).unwrap_or(u32::MAX).max(1));
        let state = &self.services[service];
        let ahead = state.queue.ahead_of(caller);
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        let queues_full = self.queued >= self.settings.queue_limit;
        let has_free_slot =
            self.dispatches.len() < dispatch_limit && state.outstanding.saturating_add(waiting) < usable_slots;
        if has_free_slot && (!queues_full || waiting == 0) {
            return Ok(());
        }
        if queues_full && self.find_displaceable(service, state.queue.len_for(caller) + 1).is_none() {
            return Err(RouteReason::Overloaded);
        }
        let queue_position = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let latency = state.latency();
        let wait = latency.mul_f64(f64::from(queue_position) / f64::from(usable_slots));
        let wait_limit = latency.mul_f64(self.settings.queue_wait_factor).max(self.settings.queue_wait_minimum);
        let too_long = if latency.is_zero() {
            // Until a latency has been measured, the queue is bounded to one request per slot.
            queue_position > usable_slots
        } else {
            let exceeds_limit =
                state.is_latency_critical() && queue_position > ALWAYS_PERMITTED_POSITION && wait > wait_limit;
            exceeds_limit || wait > deadline.since(now).saturating_sub(latency)
        };
        if too_long { Err(RouteReason::Overloaded) } else { Ok(()) }
    }

    /// Fails a queued request if enqueueing `request` made the queues exceed their common limit: one of lower
    /// precedence if there is one, and otherwise `request` itself.
    pub(crate) fn enforce_queue_limit(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(execution) = self.executions.get(&request) else { return };
        let (service, caller) = (execution.service, execution.caller.clone());
        if self.queued <= self.settings.queue_limit || !self.is_in_state(request, ExecutionState::Queued) {
            return;
        }
        let own = self.services[service].queue.len_for(&caller);
        let Some((displaced_service, threshold)) = self.find_displaceable(service, own) else {
            let retry_after = self.retry_after(service);
            return self.fail(now, request, &RouteReason::Overloaded, Some(retry_after), actions);
        };
        if let Some(displaced) = self.services[displaced_service].queue.displace(threshold) {
            self.queued -= 1;
            let retry_after = self.retry_after(displaced_service);
            self.fail(now, displaced, &RouteReason::Overloaded, Some(retry_after), actions);
        }
    }

    /// Returns the service from whose longest caller queue a request may be displaced, and the length that the queue
    /// must exceed.
    ///
    /// A latency-critical request displaces one of the batch service with the most queued requests. Otherwise a request
    /// displaces one of a caller of the same service that has more than `own` queued requests, where `own` counts those
    /// of the request's own caller, including itself.
    fn find_displaceable(&self, service: usize, own: usize) -> Option<(usize, usize)> {
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
        (state.queue.longest_caller_queue() > own).then_some((service, own))
    }

    /// Returns the capacity of the service's endpoints, which may be [`CAPACITY_VALIDITY`] old.
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
                && self.services[dependency].had_endpoint
                && self.capacity(now, dependency).endpoints == 0;
            absent || self.services[dependency].health.should_refuse_dependent(now)
        })
    }

    /// Refuses a request that has no execution.
    fn refuse(
        &mut self,
        arrival: &RequestArrival,
        reason: RouteReason,
        retry_after: Option<Duration>,
        actions: &mut Vec<RouteAction>,
    ) {
        // Another entry may be running a request with the same key, which only the holder of the claim can rule out. A
        // forwarding entry only asks about its own forward, so it can be told that nothing ran.
        let response = if arrival.key.is_none() || arrival.forwarded {
            RouteResponse::NotRun { reason, retry_after }
        } else {
            RouteResponse::Unknown { reason }
        };
        self.respond(arrival.request, response, actions);
    }

    pub(crate) fn retry_after(&self, service: usize) -> Duration {
        let state = &self.services[service];
        let batch = state.route.as_ref().is_some_and(|route| route.class == TaskClass::Batch);
        state.latency().max(MIN_RETRY_AFTER) * if batch { 4 } else { 1 }
    }

    fn register_waiter(&mut self, execution: RequestId, waiter: &Waiter) {
        self.waiting.insert(waiter.request, execution);
        self.timers.set(waiter.deadline, TimerKind::Deadline(waiter.request));
    }
}

/// The result of looking up a request's key among the executions and the cached responses.
enum ResendOutcome {
    /// It got a response, or it joined the execution of its key.
    Handled,
    /// It gets an execution of its own that is not registered under its key.
    Separate,
    /// No execution or cached response has its key.
    New,
}
