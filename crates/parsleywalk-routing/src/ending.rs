//! The end of requests and of their callers' waits.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{ClaimOutcome, MonotonicTime, RequestId};

use crate::flight::{Flight, FlightAuthority, FlightState, Waiter};
use crate::timer_queue::TimerKind;
use crate::{EndpointResponse, RequestRouter, RouteAction, RouteReason, RouteResponse};

impl RequestRouter {
    /// Answers all who wait with an endpoint's answer and keeps it under the key.
    pub(crate) fn end_whole(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        answer: &Arc<EndpointResponse>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(flight) = self.remove_flight(request) else { return };
        if let Some(key) = &flight.key {
            self.answers.insert(now, key.clone(), flight.digest, flight.repeatable, answer.clone());
        }
        settle(&flight, ClaimOutcome::Done, actions);
        for waiter in &flight.waiters {
            let result = if waiter.deadline < now {
                RouteResponse::Unknown { reason: RouteReason::DeadlinePassed }
            } else {
                RouteResponse::Whole(answer.clone())
            };
            self.answer(waiter.request, result, actions);
        }
    }

    /// Answers all who wait with a refusal, which says that nothing ran only where that is proved.
    pub(crate) fn end_failed(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        reason: &RouteReason,
        retry_after: Option<Duration>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(flight) = self.remove_flight(request) else { return };
        let not_run = flight.is_proved_not_run();
        settle(&flight, if not_run { ClaimOutcome::NotRun } else { ClaimOutcome::Unknown }, actions);
        for waiter in &flight.waiters {
            let reason = if waiter.deadline <= now { RouteReason::DeadlinePassed } else { reason.clone() };
            let answer = if not_run && flight.may_call_not_run(waiter) {
                RouteResponse::NotRun { reason, retry_after }
            } else {
                RouteResponse::Unknown { reason }
            };
            self.answer(waiter.request, answer, actions);
        }
    }

    /// Ends the wait of a request whose deadline has come.
    pub(crate) fn expire_waiter(&mut self, now: MonotonicTime, request: RequestId, actions: &mut Vec<RouteAction>) {
        let Some((flight, waiter)) = self.take_waiter(request) else { return };
        let reason = RouteReason::DeadlinePassed;
        // While others wait for the same key, the request may still run.
        let not_run = self.flights.get(&flight).is_some_and(|flight| {
            flight.waiters.is_empty()
                && flight.state == FlightState::Queued
                && flight.is_proved_not_run()
                && flight.may_call_not_run(&waiter)
        });
        let answer = if not_run {
            RouteResponse::NotRun { reason: reason.clone(), retry_after: None }
        } else {
            RouteResponse::Unknown { reason: reason.clone() }
        };
        self.answer(request, answer, actions);
        self.drop_if_unwanted(now, flight, &reason, actions);
    }

    /// Drops a queued request for which nobody waits.
    pub(crate) fn drop_if_unwanted(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        reason: &RouteReason,
        actions: &mut Vec<RouteAction>,
    ) {
        let unwanted = self
            .flights
            .get(&request)
            .is_some_and(|flight| flight.waiters.is_empty() && flight.state == FlightState::Queued);
        if unwanted {
            self.end_failed(now, request, reason, None, actions);
        }
    }

    /// Takes a waiting request out of its flight.
    pub(crate) fn take_waiter(&mut self, request: RequestId) -> Option<(RequestId, Waiter)> {
        let flight_id = self.waiting.remove(&request)?;
        let flight = self.flights.get_mut(&flight_id)?;
        let place = flight.waiters.iter().position(|waiter| waiter.request == request)?;
        let waiter = flight.waiters.remove(place);
        self.timers.clear(waiter.deadline, TimerKind::Deadline(request));
        Some((flight_id, waiter))
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: RouteResponse, actions: &mut Vec<RouteAction>) {
        match answer {
            RouteResponse::Whole(_) => self.counters.whole += 1,
            RouteResponse::NotRun { .. } => self.counters.not_run += 1,
            RouteResponse::Unknown { .. } => self.counters.unknown += 1,
        }
        actions.push(RouteAction::Answer { request, answer });
    }

    /// Takes a flight out of all tables. Attempts without a result keep their records, which hold the slots.
    fn remove_flight(&mut self, request: RequestId) -> Option<Flight> {
        if self.is_in_state(request, FlightState::Queued) {
            self.unqueue(request);
        }
        let flight = self.flights.remove(&request)?;
        for waiter in &flight.waiters {
            self.waiting.remove(&waiter.request);
            self.timers.clear(waiter.deadline, TimerKind::Deadline(waiter.request));
        }
        if let Some(at) = flight.hedge_at {
            self.timers.clear(at, TimerKind::Hedge(request));
        }
        if let Some(key) = &flight.key {
            self.claims.end(key);
        }
        Some(flight)
    }
}

/// Tells the claim service how a claimed request ended.
fn settle(flight: &Flight, outcome: ClaimOutcome, actions: &mut Vec<RouteAction>) {
    if flight.authority == FlightAuthority::Holder
        && let (Some(key), Some(claim)) = (flight.key.clone(), flight.claim)
    {
        actions.push(RouteAction::Settle { key, claim, outcome });
    }
}
