//! The oracle: checks the invariants on the routers' actions.

use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_routing::{EndpointAddress, RouteReason, RouteResponse};
use parsleywalk_units::{DispatchId, IdempotencyKey, MonotonicTime, RequestId, RequestKey, ServiceName};

/// A request from the view of its caller or of the forwarding entry.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    pub entry: usize,
    pub body: u64,
    pub service: ServiceName,
    pub caller: usize,
    pub key: Option<IdempotencyKey>,
    pub repeatable: bool,
    pub deadline: MonotonicTime,
    pub origin: Option<(usize, DispatchId)>,
    pub after_drain: bool,
    pub wait: WaitState,
}

/// Tells whether the caller of a request waits for its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitState {
    Waiting,
    Answered,
    Abandoned,
}

impl ModelRequest {
    pub fn request_key(&self) -> Option<RequestKey> {
        self.key.clone().map(|key| RequestKey { service: self.service.clone(), key })
    }

    pub fn waits(&self) -> bool {
        self.wait == WaitState::Waiting
    }
}

/// A dispatch or forward whose result the daemon has not passed to the router yet.
#[derive(Debug, Clone)]
pub struct OpenAttempt {
    pub address: Option<EndpointAddress>,
    pub body: u64,
    pub due: MonotonicTime,
}

/// The number of slots that an entry knows at each address, and when the announcement expires. Both are zero once the
/// endpoint left or was replaced.
pub type KnownAddresses = BTreeMap<EndpointAddress, (u32, MonotonicTime)>;

#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: BTreeMap<RequestId, ModelRequest>,
    pub open_attempts: BTreeMap<(usize, DispatchId), OpenAttempt>,
    pub used_dispatches: BTreeSet<(usize, DispatchId)>,
    /// The number of times that each body ran.
    pub runs: BTreeMap<u64, u32>,
    /// The bodies that were reported as not run, until the caller sends them again.
    pub not_run: BTreeSet<u64>,
    pub known_addresses: Vec<KnownAddresses>,
    pub response_counts: BTreeMap<&'static str, u32>,
}

impl Oracle {
    pub fn record_run(&mut self, body: u64) {
        let runs = self.runs.entry(body).or_default();
        *runs += 1;
        let runs = *runs;
        assert!(!self.not_run.contains(&body), "body {body} ran after it was reported as not run");
        let once = self.requests.values().any(|request| request.body == body && !request.repeatable);
        assert!(!once || runs == 1, "body {body} is not repeatable and ran {runs} times");
    }

    pub fn check_dispatch(
        &mut self,
        now: MonotonicTime,
        entry: usize,
        request: RequestId,
        dispatch: DispatchId,
        address: Option<EndpointAddress>,
    ) -> &ModelRequest {
        assert!(self.used_dispatches.insert((entry, dispatch)), "entry {entry} used {dispatch} twice");
        let record = &self.requests[&request];
        assert!(record.entry == entry && record.waits(), "entry {entry} sent {request}, whose caller does not wait");
        assert!(record.deadline > now, "{request} was sent past its deadline");
        assert!(address.is_some() || record.origin.is_none(), "{request} was forwarded twice");
        let before_drain =
            |other: &ModelRequest| other.entry == entry && other.body == record.body && !other.after_drain;
        assert!(
            !record.after_drain || self.requests.values().any(before_drain),
            "{request} arrived during shutdown and was sent"
        );
        if let Some(address) = address {
            let known = self.known_addresses[entry].get(&address);
            let (slots, until) = *known.unwrap_or_else(|| panic!("{address} was never announced and got {request}"));
            assert!(until > now, "{address} left, was replaced or expired, and got {request}");
            let used_slots = self
                .open_attempts
                .iter()
                .filter(|((owner, _), attempt)| *owner == entry && attempt.address == Some(address))
                .count();
            assert!(used_slots < slots as usize, "entry {entry} uses {used_slots} + 1 of {slots} slots of {address}");
        }
        record
    }

    /// Checks a response.
    ///
    /// `in_transit` says whether the body may still reach an endpoint, and `holds_claim` whether the entry holds the
    /// claim on the request's key.
    pub fn check_response(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        response: &RouteResponse,
        in_transit: bool,
        holds_claim: bool,
    ) {
        let record = self.requests.get_mut(&request).expect("the request was submitted");
        assert_ne!(record.wait, WaitState::Answered, "{request} was answered twice");
        assert_ne!(record.wait, WaitState::Abandoned, "{request} was answered after it was abandoned");
        record.wait = WaitState::Answered;
        let record = record.clone();
        let runs = self.runs.get(&record.body).copied().unwrap_or(0);
        let kind = match response {
            RouteResponse::Whole(response) => {
                let body = u64::from_le_bytes(response.body[..].try_into().expect("a complete body"));
                assert_eq!(body, record.body, "{request} got the response to another request");
                assert!(now <= record.deadline, "{request} got a response after its deadline");
                assert!(runs > 0, "{request} got a response and did not run");
                "whole"
            }
            RouteResponse::NotRun { reason, .. } => {
                assert!(record.after_drain || *reason != RouteReason::Draining, "{request} was cut off by shutdown");
                if record.origin.is_none() {
                    let may_run = self.requests.values().any(|other| {
                        other.origin.is_some_and(|(entry, _)| entry == record.entry)
                            && other.body == record.body
                            && other.waits()
                    });
                    assert!(
                        runs == 0 && !in_transit && !may_run,
                        "{request} ran or may run and was reported as not run"
                    );
                    assert!(record.key.is_none() || holds_claim, "{request} was reported as not run without a claim");
                    // A copy that waits at another entry may still run, but one at the same entry must not.
                    let elsewhere = |other: &ModelRequest| {
                        other.body == record.body && other.entry != record.entry && other.waits()
                    };
                    if !self.requests.values().any(elsewhere) {
                        self.not_run.insert(record.body);
                    }
                }
                "not run"
            }
            RouteResponse::Unknown { reason } => {
                assert!(record.after_drain || *reason != RouteReason::Draining, "{request} was cut off by shutdown");
                "unknown"
            }
        };
        *self.response_counts.entry(kind).or_default() += 1;
    }
}
