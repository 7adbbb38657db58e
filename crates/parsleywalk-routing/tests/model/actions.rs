//! Applies the routers' actions, each checked by the oracle.

use std::time::Duration;

use parsleywalk_routing::{DispatchResult, EndpointAddress, RouteAction, RouteResponse};
use parsleywalk_units::{ClaimOutcome, DispatchId, RequestId, RequestKey};

use super::World;
use super::oracle::{ModelRequest, OpenAttempt};
use super::world::{Message, ZONES};

impl World {
    pub(super) fn apply_actions(&mut self, entry: usize, actions: Vec<RouteAction>) {
        for action in actions {
            if std::env::var("ROUTING_TRACE").is_ok() {
                println!("{} entry {entry}: {action:?}", self.now);
            }
            match action {
                RouteAction::Claim { request, key, claim } => {
                    assert!(!self.oracle.requests[&request].after_drain, "{request} was claimed during shutdown");
                    self.undelivered.push(Message::Claim { entry, request, key, claim });
                }
                RouteAction::Settle { key, claim, outcome } => {
                    if outcome == ClaimOutcome::NotRun {
                        self.check_not_run(&key);
                    }
                    self.undelivered.push(Message::Settle { key, claim, outcome });
                }
                RouteAction::Dispatch { request, dispatch, endpoint, timeout } => {
                    let record = self.oracle.check_dispatch(self.now, entry, request, dispatch, Some(endpoint)).clone();
                    self.check_claim(entry, &record);
                    self.open_attempt(entry, dispatch, Some(endpoint), record.body, timeout);
                    self.undelivered.push(Message::Dispatch { entry, dispatch, address: endpoint, body: record.body });
                }
                RouteAction::Forward { request, dispatch, zone_index, timeout } => {
                    assert_eq!(zone_index, 0);
                    let record = self.oracle.check_dispatch(self.now, entry, request, dispatch, None).clone();
                    self.check_claim(entry, &record);
                    self.open_attempt(entry, dispatch, None, record.body, timeout);
                    let to = if ZONES[entry] == 0 { 2 } else { usize::from(dispatch.get().is_multiple_of(2)) };
                    self.undelivered.push(Message::Forward {
                        entry,
                        dispatch,
                        to,
                        request: record,
                        time_left: timeout,
                    });
                }
                RouteAction::Answer { request, answer } => self.respond(entry, request, &answer),
                RouteAction::Share { announcement } => {
                    for other in (0..3).filter(|other| *other != entry && ZONES[*other] == ZONES[entry]) {
                        self.undelivered.push(Message::Announce { entry: other, announcement: announcement.clone() });
                    }
                }
            }
        }
    }

    fn open_attempt(
        &mut self,
        entry: usize,
        dispatch: DispatchId,
        address: Option<EndpointAddress>,
        body: u64,
        timeout: Duration,
    ) {
        self.oracle.open_attempts.insert((entry, dispatch), OpenAttempt { address, body, due: self.now + timeout });
    }

    fn respond(&mut self, entry: usize, request: RequestId, response: &RouteResponse) {
        let record = self.oracle.requests[&request].clone();
        let in_transit = self.in_transit(record.body);
        let holds = record.request_key().is_some_and(|key| self.holds(entry, &key));
        self.oracle.check_response(self.now, request, response, in_transit, holds && !record.repeatable);
        if let Some((origin, dispatch)) = record.origin {
            let result = match response {
                RouteResponse::Whole(response) => DispatchResult::Answered(response.clone()),
                RouteResponse::NotRun { retry_after, .. } => DispatchResult::Refused { retry_after: *retry_after },
                RouteResponse::Unknown { .. } => DispatchResult::Broken { reason: "unknown".into() },
            };
            self.undelivered.push(Message::Result { entry: origin, dispatch, result });
        }
    }

    /// Checks that a request with a key that is not repeatable is only sent by an entry that holds the claim on its
    /// key, or that received it from such an entry.
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
        self.claims.is_held_by(key, u32::try_from(entry).expect("small"))
    }

    fn in_transit(&self, body: u64) -> bool {
        self.undelivered.iter().any(|message| match message {
            Message::Dispatch { body: sent, .. } => *sent == body,
            Message::Forward { request, .. } => request.body == body,
            _ => false,
        })
    }
}
