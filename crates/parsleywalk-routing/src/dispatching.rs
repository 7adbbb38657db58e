//! From the queue to endpoints and other zones.

use std::time::Duration;

use parsleywalk_units::{DispatchId, MonotonicTime, RequestId};

use crate::endpoint_choice::ChoiceRequest;
use crate::flight::FlightState;
use crate::request_router::{DispatchRecord, DispatchTarget};
use crate::timer_queue::TimerKind;
use crate::{DispatchResult, RequestRouter, RouteAction, RouteReason};

impl RequestRouter {
    /// Takes in the end of a dispatch or a forward. Results of attempts that have already ended are ignored.
    pub fn finish(&mut self, now: MonotonicTime, dispatch: DispatchId, result: DispatchResult) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let Some(record) = self.dispatches.remove(&dispatch) else {
            self.counters.late_results += 1;
            return actions;
        };
        self.timers.clear(record.lost_at, TimerKind::Lost(dispatch));
        self.account(now, &record, &result);
        let service = record.service;
        // While requests wait, the endpoint that this result came from is most likely the only one with room.
        self.freed = match record.target {
            DispatchTarget::Endpoint(handle) if !self.services[service].queue.is_empty() => Some(handle),
            _ => None,
        };
        self.conclude(now, dispatch, &record, result, &mut actions);
        self.pump(now, service, &mut actions);
        self.freed = None;
        // The limit may have held up other services, batch services from three quarters of it on.
        if self.dispatches.len() + 1 >= self.settings.dispatch_limit * 3 / 4 {
            self.pump_all(now, &mut actions);
        }
        actions
    }

    pub(crate) fn lose_dispatch(&mut self, now: MonotonicTime, dispatch: DispatchId, actions: &mut Vec<RouteAction>) {
        self.counters.lost_dispatches += 1;
        actions.extend(self.finish(now, dispatch, DispatchResult::Broken { reason: "no result".into() }));
    }

    /// Updates the estimates of the endpoint, the service or the zone.
    fn account(&mut self, now: MonotonicTime, record: &DispatchRecord, result: &DispatchResult) {
        match record.target {
            DispatchTarget::Zone(zone) => {
                self.forwards -= 1;
                match result {
                    DispatchResult::Answered(_) => {}
                    DispatchResult::Refused { retry_after } => self.zones.record_refused(now, zone, *retry_after),
                    DispatchResult::NotSent { .. } | DispatchResult::Broken { .. } => {
                        self.zones.record_broken(now, zone);
                    }
                }
            }
            DispatchTarget::Endpoint(handle) => {
                self.endpoints.finish(now, handle, record.started, result, &self.settings);
                let state = &mut self.services[record.service];
                state.outstanding -= 1;
                let success = match result {
                    DispatchResult::Refused { .. } => return,
                    DispatchResult::Answered(answer) => {
                        state.record_latency(now.since(record.started));
                        answer.status < 500
                    }
                    DispatchResult::NotSent { .. } | DispatchResult::Broken { .. } => false,
                };
                state.health.record(now, success, self.settings.failing_results, self.settings.failing_pause);
            }
        }
    }

    /// Answers the request, sends it again, or lets it wait for its other attempts.
    fn conclude(
        &mut self,
        now: MonotonicTime,
        dispatch: DispatchId,
        record: &DispatchRecord,
        result: DispatchResult,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(flight) = self.flights.get_mut(&record.flight) else { return };
        flight.attempts.retain(|attempt| *attempt != dispatch);
        let (reason, retry_after) = match result {
            DispatchResult::Answered(answer) => return self.end_whole(now, record.flight, &answer, actions),
            DispatchResult::Refused { retry_after } => (RouteReason::EndpointRefused, retry_after),
            DispatchResult::NotSent { .. } => (RouteReason::NotSent, None),
            DispatchResult::Broken { .. } => {
                flight.ran = true;
                (RouteReason::Broken, None)
            }
        };
        if !flight.attempts.is_empty() || flight.state == FlightState::Queued {
            return;
        }
        let may_repeat = flight.repeatable || !flight.ran;
        if may_repeat && self.take_retry(now, record.flight) {
            return self.send_again(now, record, actions);
        }
        self.end_failed(now, record.flight, &reason, retry_after, actions);
    }

    /// Takes a retry out of the budget if the request still has a waiter and attempts left.
    fn take_retry(&mut self, now: MonotonicTime, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else { return false };
        let wanted = flight.deadline().is_some_and(|deadline| deadline > now);
        if !wanted || flight.sends >= self.settings.attempt_limit {
            return false;
        }
        let budget = &mut self.services[flight.service].budget;
        if !self.settings.retry_budget {
            budget.record_retry(now);
        } else if !budget.try_retry(now, self.settings.retry_ratio, self.settings.retry_minimum) {
            self.counters.retries_denied += 1;
            return false;
        }
        self.counters.retries += 1;
        true
    }

    fn send_again(&mut self, now: MonotonicTime, record: &DispatchRecord, actions: &mut Vec<RouteAction>) {
        if let Some(flight) = self.flights.get_mut(&record.flight) {
            flight.state = FlightState::Queued;
        }
        if matches!(record.target, DispatchTarget::Zone(_)) {
            return self.place(now, record.flight, actions);
        }
        self.enqueue(record.flight, true);
        self.pump(now, record.service, actions);
        self.keep_queue_limit(now, record.flight, actions);
    }

    pub(crate) fn enqueue(&mut self, request: RequestId, first: bool) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        flight.state = FlightState::Queued;
        let queue = &mut self.services[flight.service].queue;
        if first {
            queue.push_front(&flight.caller, request);
        } else {
            queue.push_back(&flight.caller, request);
        }
        self.queued += 1;
    }

    pub(crate) fn pop_queued(&mut self, service: usize) -> Option<RequestId> {
        let request = self.services[service].queue.pop()?;
        self.queued -= 1;
        Some(request)
    }

    pub(crate) fn unqueue(&mut self, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else { return };
        if self.services[flight.service].queue.remove(&flight.caller, request) {
            self.queued -= 1;
        }
    }

    /// Serves the queues of all services, latency-critical ones first.
    pub(crate) fn pump_all(&mut self, now: MonotonicTime, actions: &mut Vec<RouteAction>) {
        for critical in [true, false] {
            for service in 0..self.services.len() {
                let state = &self.services[service];
                if !state.queue.is_empty() && state.is_latency_critical() == critical {
                    self.pump(now, service, actions);
                }
            }
        }
    }

    /// Dispatches waiting requests of a service while endpoints have room.
    pub(crate) fn pump(&mut self, now: MonotonicTime, service: usize, actions: &mut Vec<RouteAction>) {
        if self.services[service].queue.is_empty() {
            return;
        }
        if self.capacity(now, service).endpoints == 0 {
            return self.spill(now, service, actions);
        }
        while self.dispatches.len() < self.dispatch_limit(service)
            && let Some(request) = self.services[service].queue.peek()
        {
            if !self.is_worth_sending(now, request) {
                self.pop_queued(service);
                self.end_failed(now, request, &RouteReason::DeadlinePassed, None, actions);
            } else if self.dispatch(now, request, actions) {
                self.pop_queued(service);
            } else {
                return;
            }
        }
    }

    /// Forwards or refuses everything that waits for a service without endpoints.
    fn spill(&mut self, now: MonotonicTime, service: usize, actions: &mut Vec<RouteAction>) {
        while let Some(request) = self.pop_queued(service) {
            if !self.forward(now, request, actions) {
                self.end_failed(now, request, &RouteReason::NoEndpoint, None, actions);
            }
        }
    }

    /// Whether an answer can be expected before the deadline.
    fn is_worth_sending(&self, now: MonotonicTime, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else { return false };
        let state = &self.services[flight.service];
        // With nothing in progress the estimate could be wrong for ever, so it is not used.
        let needed = if state.outstanding == 0 { Duration::ZERO } else { state.latency() / 2 };
        flight.deadline().is_some_and(|deadline| deadline > now + needed)
    }

    /// Sends a request to an endpoint with room and returns whether there was one.
    fn dispatch(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) -> bool {
        let Some(flight) = self.flights.get_mut(&request) else { return false };
        let Some(waiter) = flight.waiters.iter().max_by_key(|waiter| waiter.deadline).copied() else { return false };
        let choice = ChoiceRequest {
            service: flight.service,
            slots_limit: self.services[flight.service].slots_limit(),
            repeatable: flight.repeatable,
            tried: &flight.tried,
            typical: self.services[flight.service].latency(),
            freed: self.freed.take(),
        };
        let Some(handle) = self.endpoints.choose(now, &choice, &mut self.random, &self.settings) else { return false };
        let Some(endpoint) = self.endpoints.address(handle) else { return false };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        flight.state = FlightState::Running;
        flight.attempts.push(dispatch);
        flight.sends += 1;
        flight.tried.push(handle);
        let timeout = waiter.deadline.since(now);
        let (service, hedged) = (flight.service, flight.repeatable && flight.hedge_at.is_none());
        self.endpoints.begin(now, handle);
        self.services[service].outstanding += 1;
        self.record_dispatch(now, dispatch, request, DispatchTarget::Endpoint(handle), timeout);
        if hedged {
            self.arm_hedge(now, request);
        }
        self.counters.dispatches += 1;
        actions.push(RouteAction::Dispatch { request: waiter.request, dispatch, endpoint, timeout });
        true
    }

    /// Sends a request to another zone if that is permitted, and returns whether it was.
    pub(crate) fn forward(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) -> bool {
        let Some(flight) = self.flights.get(&request) else { return false };
        let Some(waiter) = flight.waiters.iter().max_by_key(|waiter| waiter.deadline).copied() else { return false };
        let permitted = !flight.serves_forwarded() && flight.sends < self.settings.attempt_limit;
        if !permitted || waiter.deadline <= now || !self.can_forward(now, &flight.zones_tried) {
            return false;
        }
        let Some(zone_index) = self.zones.choose(now, self.settings.other_zones, &flight.zones_tried) else {
            return false;
        };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.state = FlightState::Running;
            flight.attempts.push(dispatch);
            flight.sends += 1;
            flight.zones_tried.push(zone_index);
        }
        let timeout = waiter.deadline.since(now);
        self.forwards += 1;
        self.record_dispatch(now, dispatch, request, DispatchTarget::Zone(zone_index), timeout);
        self.counters.forwards += 1;
        actions.push(RouteAction::Forward { request: waiter.request, dispatch, zone_index, timeout });
        true
    }

    pub(crate) fn can_forward(&self, now: MonotonicTime, tried: &[u32]) -> bool {
        self.forwards < self.settings.forward_limit
            && self.dispatches.len() < self.settings.dispatch_limit
            && self.zones.is_available(now, self.settings.other_zones, tried)
    }

    fn record_dispatch(
        &mut self,
        now: MonotonicTime,
        dispatch: DispatchId,
        flight: RequestId,
        target: DispatchTarget,
        timeout: Duration,
    ) {
        let Some(service) = self.flights.get(&flight).map(|flight| flight.service) else { return };
        let lost_at = now + timeout + self.settings.dispatch_grace;
        self.timers.set(lost_at, TimerKind::Lost(dispatch));
        self.dispatches.insert(dispatch, DispatchRecord { flight, service, target, started: now, lost_at });
    }

    fn arm_hedge(&mut self, now: MonotonicTime, request: RequestId) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let latency = self.services[flight.service].latency();
        let at = now + latency.mul_f64(self.settings.hedge_factor).max(self.settings.hedge_minimum);
        flight.hedge_at = Some(at);
        self.timers.set(at, TimerKind::Hedge(request));
    }

    /// Sends an unanswered repeatable request a second time, unless others wait for the slot.
    pub(crate) fn hedge(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        flight.hedge_at = None;
        if flight.state != FlightState::Running || !flight.repeatable {
            return;
        }
        let service = flight.service;
        let busy = !self.services[service].queue.is_empty() || self.dispatches.len() >= self.dispatch_limit(service);
        if busy || !self.take_retry(now, request) {
            return self.arm_hedge(now, request);
        }
        if self.dispatch(now, request, actions) {
            self.counters.hedges += 1;
        }
    }

    pub(crate) fn dispatch_limit(&self, service: usize) -> usize {
        let limit = self.settings.dispatch_limit;
        // Batch requests leave room, so that a latency-critical one never waits for a batch request to end.
        if self.services[service].is_latency_critical() { limit } else { (limit * 3 / 4).max(1) }
    }
}
