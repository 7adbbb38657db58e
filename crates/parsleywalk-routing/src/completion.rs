//! Completion of request executions and responses to their waiters.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ClaimOutcome, MonotonicTime, RequestId};

use crate::request_execution::{ExecutionAuthority, ExecutionState, RequestExecution, Waiter};
use crate::timer_queue::TimerKind;
use crate::{EndpointResponse, RequestRouter, RouteAction, RouteReason, RouteResponse};

impl RequestRouter {
    /// Completes an execution: responds to all waiters with the endpoint's response and caches it under the key.
    pub(crate) fn complete(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        response: &Arc<EndpointResponse>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(execution) = self.remove_execution(request) else { return };
        if let Some(key) = &execution.key {
            self.response_cache.insert(now, key.clone(), execution.digest, execution.repeatable, response.clone());
        }
        settle(&execution, ClaimOutcome::Done, actions);
        for waiter in &execution.waiters {
            let result = if waiter.deadline < now {
                RouteResponse::Unknown { reason: RouteReason::DeadlinePassed }
            } else {
                RouteResponse::Whole(response.clone())
            };
            self.respond(waiter.request, result, actions);
        }
    }

    /// Fails an execution. Waiters are told that the request did not run only if that is certain, and otherwise that
    /// its outcome is unknown.
    pub(crate) fn fail(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        reason: &RouteReason,
        retry_after: Option<Duration>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(execution) = self.remove_execution(request) else { return };
        let not_run = execution.cannot_have_run();
        settle(&execution, if not_run { ClaimOutcome::NotRun } else { ClaimOutcome::Unknown }, actions);
        for waiter in &execution.waiters {
            let reason = if waiter.deadline <= now { RouteReason::DeadlinePassed } else { reason.clone() };
            let response = if not_run && execution.may_report_not_run(waiter) {
                RouteResponse::NotRun { reason, retry_after }
            } else {
                RouteResponse::Unknown { reason }
            };
            self.respond(waiter.request, response, actions);
        }
    }

    /// Responds to a waiter whose deadline has passed.
    pub(crate) fn expire_waiter(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some((execution, waiter)) = self.take_waiter(request) else { return };
        let reason = RouteReason::DeadlinePassed;
        // The execution may still run for its other waiters.
        let not_run = self.executions.get(&execution).is_some_and(|execution| {
            execution.waiters.is_empty()
                && execution.state == ExecutionState::Queued
                && execution.cannot_have_run()
                && execution.may_report_not_run(&waiter)
        });
        let response = if not_run {
            RouteResponse::NotRun { reason: reason.clone(), retry_after: None }
        } else {
            RouteResponse::Unknown { reason: reason.clone() }
        };
        self.respond(request, response, actions);
        self.drop_if_abandoned(now, execution, &reason, actions);
    }

    /// Drops a queued execution that has no waiters left.
    pub(crate) fn drop_if_abandoned(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        reason: &RouteReason,
        actions: &mut Vec<RouteAction>,
    ) {
        let abandoned = self
            .executions
            .get(&request)
            .is_some_and(|execution| execution.waiters.is_empty() && execution.state == ExecutionState::Queued);
        if abandoned {
            self.fail(now, request, reason, None, actions);
        }
    }

    /// Removes a waiter and returns it with the id of its execution.
    pub(crate) fn take_waiter(&mut self, request: RequestId) -> Option<(RequestId, Waiter)> {
        let execution_id = self.waiting.remove(&request)?;
        let execution = self.executions.get_mut(&execution_id)?;
        let index = execution.waiters.iter().position(|waiter| waiter.request == request)?;
        let waiter = execution.waiters.remove(index);
        self.timers.clear(waiter.deadline, TimerKind::Deadline(request));
        Some((execution_id, waiter))
    }

    pub(crate) fn respond(&mut self, request: RequestId, answer: RouteResponse, actions: &mut Vec<RouteAction>) {
        match answer {
            RouteResponse::Whole(_) => self.counters.whole += 1,
            RouteResponse::NotRun { .. } => self.counters.not_run += 1,
            RouteResponse::Unknown { .. } => self.counters.unknown += 1,
        }
        actions.push(RouteAction::Answer { request, answer });
    }

    /// Removes an execution from all tables. Its attempts without a result keep their dispatch records, because they
    /// still occupy slots.
    fn remove_execution(&mut self, request: RequestId) -> Option<RequestExecution> {
        if self.is_in_state(request, ExecutionState::Queued) {
            self.remove_from_queue(request);
        }
        let execution = self.executions.remove(&request)?;
        for waiter in &execution.waiters {
            self.waiting.remove(&waiter.request);
            self.timers.clear(waiter.deadline, TimerKind::Deadline(waiter.request));
        }
        if let Some(at) = execution.hedge_at {
            self.timers.clear(at, TimerKind::Hedge(request));
        }
        if let Some(key) = &execution.key {
            self.key_registry.end(key);
        }
        Some(execution)
    }
}

/// Reports the outcome of a claimed request to the claim service.
fn settle(execution: &RequestExecution, outcome: ClaimOutcome, actions: &mut Vec<RouteAction>) {
    if execution.authority == ExecutionAuthority::Holder
        && let (Some(key), Some(claim)) = (execution.key.clone(), execution.claim)
    {
        actions.push(RouteAction::Settle { key, claim, outcome });
    }
}
