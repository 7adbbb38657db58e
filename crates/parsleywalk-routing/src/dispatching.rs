//! Dispatch of queued requests to endpoints, and forwarding to other zones.

use std::time::Duration;

use parsleywalk_units::{DispatchId, MonotonicTime, RequestId};

use crate::endpoint_selection::SelectionQuery;
use crate::request_execution::ExecutionState;
use crate::request_router::{DispatchRecord, DispatchTarget};
use crate::timer_queue::TimerKind;
use crate::{DispatchResult, RequestRouter, RouteAction, RouteReason};

impl RequestRouter {
    /// Handles the result of a dispatch or a forward. Results of attempts that have already ended are ignored.
    pub fn finish(&mut self, now: MonotonicTime, dispatch: DispatchId, result: DispatchResult) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let Some(record) = self.dispatches.remove(&dispatch) else {
            self.counters.late_results += 1;
            return actions;
        };
        self.timers.clear(record.expires_at, TimerKind::DispatchTimeout(dispatch));
        self.record_result(now, &record, &result);
        let service = record.service;
        // While requests are queued, the endpoint of this result is most likely the only one with a free slot.
        self.freed_endpoint = match record.target {
            DispatchTarget::Endpoint(handle) if !self.services[service].queue.is_empty() => Some(handle),
            _ => None,
        };
        self.handle_result(now, dispatch, &record, result, &mut actions);
        self.dispatch_queued(now, service, &mut actions);
        self.freed_endpoint = None;
        // The dispatch limit may have blocked other services; it blocks batch services at three quarters.
        if self.dispatches.len() + 1 >= self.settings.dispatch_limit * 3 / 4 {
            self.dispatch_all_queued(now, &mut actions);
        }
        actions
    }

    pub(crate) fn time_out_dispatch(
        &mut self,
        now: MonotonicTime,
        dispatch: DispatchId,
        actions: &mut Vec<RouteAction>,
    ) {
        self.counters.lost_dispatches += 1;
        actions.extend(self.finish(now, dispatch, DispatchResult::Broken { reason: "no result".into() }));
    }

    /// Updates the statistics of the endpoint and its service, or of the zone.
    fn record_result(&mut self, now: MonotonicTime, record: &DispatchRecord, result: &DispatchResult) {
        match record.target {
            DispatchTarget::Zone(zone) => {
                self.forwards -= 1;
                match result {
                    DispatchResult::Answered(_) => {}
                    DispatchResult::Refused { retry_after } => self.zones.record_refusal(now, zone, *retry_after),
                    DispatchResult::NotSent { .. } | DispatchResult::Broken { .. } => {
                        self.zones.record_failure(now, zone);
                    }
                }
            }
            DispatchTarget::Endpoint(handle) => {
                self.endpoints.finish_dispatch(now, handle, record.started, result, &self.settings);
                let state = &mut self.services[record.service];
                state.outstanding -= 1;
                let success = match result {
                    DispatchResult::Refused { .. } => return,
                    DispatchResult::Answered(response) => {
                        state.record_latency(now.since(record.started));
                        response.status < 500
                    }
                    DispatchResult::NotSent { .. } | DispatchResult::Broken { .. } => false,
                };
                state.health.record(now, success, self.settings.failing_results, self.settings.failing_backoff);
            }
        }
    }

    /// Completes the execution, retries it, fails it, or leaves it to its other attempts.
    fn handle_result(
        &mut self,
        now: MonotonicTime,
        dispatch: DispatchId,
        record: &DispatchRecord,
        result: DispatchResult,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(execution) = self.executions.get_mut(&record.execution) else { return };
        execution.attempts.retain(|attempt| *attempt != dispatch);
        let (reason, retry_after) = match result {
            DispatchResult::Answered(response) => return self.complete(now, record.execution, &response, actions),
            DispatchResult::Refused { retry_after } => (RouteReason::EndpointRefused, retry_after),
            DispatchResult::NotSent { .. } => (RouteReason::NotSent, None),
            DispatchResult::Broken { .. } => {
                execution.may_have_run = true;
                (RouteReason::Broken, None)
            }
        };
        if !execution.attempts.is_empty() || execution.state == ExecutionState::Queued {
            return;
        }
        let may_repeat = execution.repeatable || !execution.may_have_run;
        if may_repeat && self.try_take_retry(now, record.execution) {
            return self.retry_execution(now, record, actions);
        }
        self.fail(now, record.execution, &reason, retry_after, actions);
    }

    /// Takes a retry from the budget. Returns false if the budget is exhausted, no attempt is left, or no waiter is
    /// left whose deadline is still to come.
    fn try_take_retry(&mut self, now: MonotonicTime, request: RequestId) -> bool {
        let Some(execution) = self.executions.get(&request) else { return false };
        let has_live_waiter = execution.deadline().is_some_and(|deadline| deadline > now);
        if !has_live_waiter || execution.send_count >= self.settings.attempt_limit {
            return false;
        }
        let budget = &mut self.services[execution.service].budget;
        if !self.settings.retry_budget {
            budget.record_retry(now);
        } else if !budget.try_retry(now, self.settings.retry_ratio, self.settings.retry_minimum) {
            self.counters.retries_denied += 1;
            return false;
        }
        self.counters.retries += 1;
        true
    }

    fn retry_execution(&mut self, now: MonotonicTime, record: &DispatchRecord, actions: &mut Vec<RouteAction>) {
        if let Some(execution) = self.executions.get_mut(&record.execution) {
            execution.state = ExecutionState::Queued;
        }
        if matches!(record.target, DispatchTarget::Zone(_)) {
            return self.queue_or_forward(now, record.execution, actions);
        }
        self.enqueue(record.execution, true);
        self.dispatch_queued(now, record.service, actions);
        self.enforce_queue_limit(now, record.execution, actions);
    }

    pub(crate) fn enqueue(&mut self, request: RequestId, at_front: bool) {
        let Some(execution) = self.executions.get_mut(&request) else { return };
        execution.state = ExecutionState::Queued;
        let queue = &mut self.services[execution.service].queue;
        if at_front {
            queue.push_front(&execution.caller, request);
        } else {
            queue.push_back(&execution.caller, request);
        }
        self.queued += 1;
    }

    pub(crate) fn pop_queued(&mut self, service: usize) -> Option<RequestId> {
        let request = self.services[service].queue.pop()?;
        self.queued -= 1;
        Some(request)
    }

    pub(crate) fn remove_from_queue(&mut self, request: RequestId) {
        let Some(execution) = self.executions.get(&request) else { return };
        if self.services[execution.service].queue.remove(&execution.caller, request) {
            self.queued -= 1;
        }
    }

    /// Dispatches queued requests of all services, latency-critical services first.
    pub(crate) fn dispatch_all_queued(&mut self, now: MonotonicTime, actions: &mut Vec<RouteAction>) {
        for latency_critical in [true, false] {
            for service in 0..self.services.len() {
                let state = &self.services[service];
                if !state.queue.is_empty() && state.is_latency_critical() == latency_critical {
                    self.dispatch_queued(now, service, actions);
                }
            }
        }
    }

    /// Dispatches queued requests of a service while its endpoints have free slots.
    pub(crate) fn dispatch_queued(&mut self, now: MonotonicTime, service: usize, actions: &mut Vec<RouteAction>) {
        if self.services[service].queue.is_empty() {
            return;
        }
        if self.capacity(now, service).endpoints == 0 {
            return self.forward_or_fail_queued(now, service, actions);
        }
        while self.dispatches.len() < self.dispatch_limit(service)
            && let Some(request) = self.services[service].queue.peek()
        {
            if !self.can_meet_deadline(now, request) {
                self.pop_queued(service);
                self.fail(now, request, &RouteReason::DeadlinePassed, None, actions);
            } else if self.dispatch(now, request, actions) {
                self.pop_queued(service);
            } else {
                return;
            }
        }
    }

    /// Forwards or fails all queued requests of a service that has no endpoints.
    fn forward_or_fail_queued(&mut self, now: MonotonicTime, service: usize, actions: &mut Vec<RouteAction>) {
        while let Some(request) = self.pop_queued(service) {
            if !self.forward(now, request, actions) {
                self.fail(now, request, &RouteReason::NoEndpoint, None, actions);
            }
        }
    }

    /// Returns true if a response can be expected before the deadline.
    fn can_meet_deadline(&self, now: MonotonicTime, request: RequestId) -> bool {
        let Some(execution) = self.executions.get(&request) else { return false };
        let state = &self.services[execution.service];
        // With nothing in progress the estimate is not used: if it is too high, nothing would ever be sent to correct
        // it.
        let min_latency = if state.outstanding == 0 { Duration::ZERO } else { state.latency() / 2 };
        execution.deadline().is_some_and(|deadline| deadline > now + min_latency)
    }

    /// Dispatches a request. Returns false if no endpoint has a free slot.
    fn dispatch(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) -> bool {
        let Some(execution) = self.executions.get_mut(&request) else { return false };
        let Some(waiter) = execution.waiters.iter().max_by_key(|waiter| waiter.deadline).copied() else { return false };
        let query = SelectionQuery {
            service: execution.service,
            slots_limit: self.services[execution.service].slots_limit(),
            repeatable: execution.repeatable,
            tried_endpoints: &execution.tried_endpoints,
            mean_latency: self.services[execution.service].latency(),
            freed_endpoint: self.freed_endpoint.take(),
        };
        let Some(handle) = self.endpoints.select(now, &query, &mut self.random, &self.settings) else { return false };
        let Some(endpoint) = self.endpoints.address(handle) else { return false };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        execution.state = ExecutionState::Running;
        execution.attempts.push(dispatch);
        execution.send_count += 1;
        execution.tried_endpoints.push(handle);
        let timeout = waiter.deadline.since(now);
        let (service, hedged) = (execution.service, execution.repeatable && execution.hedge_at.is_none());
        self.endpoints.begin_dispatch(now, handle);
        self.services[service].outstanding += 1;
        self.record_dispatch(now, dispatch, request, DispatchTarget::Endpoint(handle), timeout);
        if hedged {
            self.schedule_hedge(now, request);
        }
        self.counters.dispatches += 1;
        actions.push(RouteAction::Dispatch { request: waiter.request, dispatch, endpoint, timeout });
        true
    }

    /// Forwards a request to another zone. Returns false if that is not permitted or no zone is available.
    pub(crate) fn forward(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) -> bool {
        let Some(execution) = self.executions.get(&request) else { return false };
        let Some(waiter) = execution.waiters.iter().max_by_key(|waiter| waiter.deadline).copied() else { return false };
        let permitted = !execution.has_forwarded_waiter() && execution.send_count < self.settings.attempt_limit;
        if !permitted || waiter.deadline <= now || !self.can_forward(now, &execution.tried_zones) {
            return false;
        }
        let Some(zone_index) = self.zones.select(now, self.settings.other_zones, &execution.tried_zones) else {
            return false;
        };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        if let Some(execution) = self.executions.get_mut(&request) {
            execution.state = ExecutionState::Running;
            execution.attempts.push(dispatch);
            execution.send_count += 1;
            execution.tried_zones.push(zone_index);
        }
        let timeout = waiter.deadline.since(now);
        self.forwards += 1;
        self.record_dispatch(now, dispatch, request, DispatchTarget::Zone(zone_index), timeout);
        self.counters.forwards += 1;
        actions.push(RouteAction::Forward { request: waiter.request, dispatch, zone_index, timeout });
        true
    }

    pub(crate) fn can_forward(&self, now: MonotonicTime, tried_zones: &[u32]) -> bool {
        self.forwards < self.settings.forward_limit
            && self.dispatches.len() < self.settings.dispatch_limit
            && self.zones.is_available(now, self.settings.other_zones, tried_zones)
    }

    fn record_dispatch(
        &mut self,
        now: MonotonicTime,
        dispatch: DispatchId,
        execution: RequestId,
        target: DispatchTarget,
        timeout: Duration,
    ) {
        let Some(service) = self.executions.get(&execution).map(|execution| execution.service) else { return };
        let expires_at = now + timeout + self.settings.dispatch_grace;
        self.timers.set(expires_at, TimerKind::DispatchTimeout(dispatch));
        self.dispatches.insert(dispatch, DispatchRecord { execution, service, target, started: now, expires_at });
    }

    fn schedule_hedge(&mut self, now: MonotonicTime, request: RequestId) {
        let Some(execution) = self.executions.get_mut(&request) else { return };
        let latency = self.services[execution.service].latency();
        let at = now + latency.mul_f64(self.settings.hedge_factor).max(self.settings.hedge_minimum);
        execution.hedge_at = Some(at);
        self.timers.set(at, TimerKind::Hedge(request));
    }

    /// Dispatches a repeatable request a second time, because its response is late. Delayed while other requests are
    /// queued for the service or the retry budget is exhausted.
    pub(crate) fn hedge(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some(execution) = self.executions.get_mut(&request) else { return };
        execution.hedge_at = None;
        if execution.state != ExecutionState::Running || !execution.repeatable {
            return;
        }
        let service = execution.service;
        let busy = !self.services[service].queue.is_empty() || self.dispatches.len() >= self.dispatch_limit(service);
        if busy || !self.try_take_retry(now, request) {
            return self.schedule_hedge(now, request);
        }
        if self.dispatch(now, request, actions) {
            self.counters.hedges += 1;
        }
    }

    pub(crate) fn dispatch_limit(&self, service: usize) -> usize {
        let limit = self.settings.dispatch_limit;
        // Batch services leave a quarter of the limit free, so that a latency-critical request never waits for a batch
        // request to end.
        if self.services[service].is_latency_critical() { limit } else { (limit * 3 / 4).max(1) }
    }
}
