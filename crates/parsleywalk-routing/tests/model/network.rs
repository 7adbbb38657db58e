//! Delivery and loss of messages.

use std::sync::Arc;

use parsleywalk_routing::{ClaimDecision, DispatchResult, EndpointAddress, EndpointResponse};
use parsleywalk_units::MonotonicTime;

use super::World;
use super::world::{EndpointMode, Message, SLOTS, address_of, endpoint_at};

impl World {
    pub(super) fn deliver(&mut self, message: Message, value: usize) {
        match message {
            Message::Claim { entry, request, key, claim } => {
                let decision = self.claims.claim(&key, u32::try_from(entry).expect("small"), claim);
                self.undelivered.push(Message::Decision { entry, request, decision });
            }
            Message::Settle { key, claim, outcome } => self.claims.settle(&key, claim, outcome),
            Message::Decision { entry, request, decision } => {
                let actions = self.routers[entry].claim_decided(self.now, request, decision);
                self.apply_actions(entry, actions);
            }
            Message::Dispatch { entry, dispatch, address, body } => {
                if let Some(result) = self.serve(address, body, value) {
                    self.undelivered.push(Message::Result { entry, dispatch, result });
                }
            }
            Message::Forward { entry, dispatch, to, mut request, time_left } => {
                request.origin = Some((entry, dispatch));
                request.entry = to;
                request.deadline = self.now + time_left;
                self.admit(request);
            }
            Message::Result { entry, dispatch, result } => self.finish(entry, dispatch, result),
            Message::Announce { entry, announcement } => {
                let (known_addresses, address) = (&mut self.oracle.known_addresses[entry], announcement.address);
                let (endpoint, incarnation) = endpoint_at(address);
                let newest =
                    (incarnation..100).rev().find(|other| known_addresses.contains_key(&address_of(endpoint, *other)));
                if newest.is_none_or(|newest| newest == incarnation) {
                    (0..incarnation).for_each(|older| {
                        known_addresses.insert(address_of(endpoint, older), (0, MonotonicTime::ZERO));
                    });
                    let until = self.now + announcement.ttl;
                    let record = known_addresses.entry(address).or_insert((SLOTS, until));
                    *record =
                        if announcement.leaving || record.0 == 0 { (0, MonotonicTime::ZERO) } else { (SLOTS, until) };
                }
                let actions = self.routers[entry].announce(self.now, announcement);
                self.apply_actions(entry, actions);
            }
        }
    }

    /// Delivers a dispatch to an endpoint and returns the result that the daemon sees; `None` if the endpoint does not
    /// respond.
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
        if mode != EndpointMode::Unresponsive || value.is_multiple_of(2) {
            self.oracle.record_run(body);
        }
        let response = EndpointResponse {
            status: if mode == EndpointMode::Failing { 500 } else { 200 },
            headers: Vec::new(),
            body: body.to_le_bytes().to_vec(),
            load: Some(u32::try_from(value % 4).expect("small")),
        };
        (mode != EndpointMode::Unresponsive).then(|| DispatchResult::Answered(Arc::new(response)))
    }

    pub(super) fn lose(&mut self, message: Message, value: usize) {
        let broken = || DispatchResult::Broken { reason: "connection reset".into() };
        let not_sent = || DispatchResult::NotSent { reason: "connection refused".into() };
        match message {
            Message::Claim { entry, request, key, claim } => {
                self.undelivered.push(Message::Decision { entry, request, decision: ClaimDecision::Unavailable });
                match value % 3 {
                    0 => {}
                    1 => drop(self.claims.claim(&key, u32::try_from(entry).expect("small"), claim)),
                    _ => self.undelivered.push(Message::Claim { entry, request, key, claim }),
                }
            }
            Message::Decision { entry, request, .. } => {
                self.undelivered.push(Message::Decision { entry, request, decision: ClaimDecision::Unavailable });
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
                self.undelivered.push(Message::Result { entry, dispatch, result });
            }
            Message::Forward { entry, dispatch, .. } => {
                let result = if value.is_multiple_of(2) { not_sent() } else { broken() };
                self.undelivered.push(Message::Result { entry, dispatch, result });
            }
            Message::Result { entry, dispatch, result } => {
                // A truncated response, or one with another request id, is reported as a broken connection.
                if matches!(result, DispatchResult::Answered(_)) {
                    self.undelivered.push(Message::Result { entry, dispatch, result: broken() });
                }
            }
            Message::Settle { .. } | Message::Announce { .. } => {}
        }
    }
}
