//! Callers, which also resend their requests, and the oracle's checks of requests.

use parsleywalk_routing::RouteResponse;
use parsleywalk_units::IdempotencyKey;
use rand::RngExt;

use crate::daemon::ResponseSink;
use crate::event::{Event, NetworkNode};
use crate::router::EntryCall;
use crate::world::World;

/// The services that take requests.
pub(crate) const SERVICES: [&str; 2] = ["lookup", "web"];

/// A request of a caller with all its resends.
#[derive(Debug)]
pub(crate) struct LogicalRequest {
    pub(crate) service: usize,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) repeatable: bool,
    pub(crate) executions: u32,
    pub(crate) copies: Vec<usize>,
}

/// The response to a copy of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyOutcome {
    Whole,
    NotRun,
    Unknown,
}

/// A copy of a request: the original or a resend.
#[derive(Debug)]
pub(crate) struct RequestCopy {
    pub(crate) logical: usize,
    /// The entry daemon that admitted it, and the generation of its process.
    pub(crate) entry: Option<(usize, u64)>,
    pub(crate) outcome: Option<CopyOutcome>,
}

/// All requests of a run.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) logical_requests: Vec<LogicalRequest>,
    pub(crate) copies: Vec<RequestCopy>,
}

impl World {
    /// Sends a new request. A request with an idempotency key may be sent several times, to random entry daemons.
    pub(crate) fn request(&mut self) {
        let logical = self.callers.logical_requests.len();
        let keyed = self.random.random_ratio(2, 3);
        let service = self.random.random_range(0..SERVICES.len());
        let repeatable = self.random.random_ratio(1, 3);
        let key = keyed.then(|| format!("key-{logical}").parse().expect("a key"));
        self.callers.logical_requests.push(LogicalRequest {
            service,
            key,
            repeatable,
            executions: 0,
            copies: Vec::new(),
        });
        let copies = if keyed && self.random.random_ratio(1, 2) { self.random.random_range(2..=4) } else { 1 };
        for number in 0..copies {
            let spread = [1, 20_000, 400_000, 3_000_000][self.random.random_range(0..4)];
            let wait = if number == 0 { 0 } else { self.random.random_range(0..spread) };
            self.send_copy(logical, wait);
        }
    }

    fn send_copy(&mut self, logical: usize, wait: u64) {
        let copy = self.callers.copies.len();
        self.callers.copies.push(RequestCopy { logical, entry: None, outcome: None });
        self.callers.logical_requests[logical].copies.push(copy);
        let daemon = self.random_entry();
        let at = self.now + wait;
        if !self.cuts.contains(&(NetworkNode::Client, NetworkNode::Daemon(daemon))) {
            self.schedule(at, Event::Request { daemon, copy });
        }
    }

    pub(crate) fn admit_copy(&mut self, daemon: usize, copy: usize) {
        let generation = self.daemons[daemon].generation;
        if self.daemons[daemon].process.is_none() {
            return;
        }
        self.totals.requests += 1;
        let sent = &mut self.callers.copies[copy];
        sent.entry = Some((daemon, generation));
        let repeatable = self.callers.logical_requests[sent.logical].repeatable;
        let call = EntryCall { logical: sent.logical, repeatable: Some(repeatable), timeout: None, forwarded: false };
        self.admit(daemon, &call, ResponseSink::Caller { copy });
    }

    /// Checks a response when an entry daemon sends it: each copy gets one response, with the body of its own request
    /// (P5), and a request that ran is not reported as not run (P6).
    pub(crate) fn on_copy_response(&mut self, daemon: usize, copy: usize, response: &RouteResponse) {
        let logical = self.callers.copies[copy].logical;
        if self.callers.copies[copy].outcome.is_some() {
            self.set_violation(format!("P5: entry {daemon} responded twice to copy {copy} of request {logical}"));
        }
        let executions = self.callers.logical_requests[logical].executions;
        let outcome = match response {
            RouteResponse::Whole(endpoint_response) => {
                if endpoint_response.body != response_body(logical) {
                    let body = String::from_utf8_lossy(&endpoint_response.body).into_owned();
                    self.set_violation(format!("P5: request {logical} got the body {body:?} from entry {daemon}"));
                }
                self.totals.whole += 1;
                CopyOutcome::Whole
            }
            RouteResponse::NotRun { reason, .. } => {
                self.push_trace(format_args!("entry {daemon} reports request {logical} as not run: {reason}"));
                if executions > 0 {
                    self.set_violation(format!(
                        "P6: request {logical} ran and is reported as not run by entry {daemon}"
                    ));
                }
                self.totals.not_run += 1;
                CopyOutcome::NotRun
            }
            RouteResponse::Unknown { reason } => {
                self.push_trace(format_args!(
                    "entry {daemon} reports the outcome of request {logical} as unknown: {reason}"
                ));
                self.totals.unknown += 1;
                CopyOutcome::Unknown
            }
        };
        self.callers.copies[copy].outcome = Some(outcome);
        let keyed = self.callers.logical_requests[logical].key.is_some();
        if outcome != CopyOutcome::Whole && keyed && !self.settling && self.random.random_ratio(1, 4) {
            let wait = self.random.random_range(0..1_000_000);
            self.send_copy(logical, wait);
        }
    }

    /// Checks an execution at an endpoint: no request runs after all its copies were reported as not run (P6), and only
    /// a repeatable one runs more than once (P7).
    pub(crate) fn record_execution(&mut self, logical: usize, endpoint: usize) {
        self.totals.executions += 1;
        let request = &mut self.callers.logical_requests[logical];
        request.executions += 1;
        let (executions, repeatable) = (request.executions, request.repeatable);
        let copies = &self.callers.copies;
        let is_open =
            |copy: &usize| copies[*copy].entry.is_some() && copies[*copy].outcome != Some(CopyOutcome::NotRun);
        let open = request.copies.iter().any(is_open);
        self.push_trace(format_args!("endpoint {endpoint} runs request {logical}"));
        if executions > 1 && !repeatable {
            self.set_violation(format!("P7: request {logical} runs {executions} times"));
        }
        if !open {
            self.set_violation(format!("P6: request {logical} runs after every copy was reported as not run"));
        }
    }

    /// Returns the first copy without a response whose entry daemon has not been restarted.
    pub(crate) fn unanswered_copy(&self) -> Option<usize> {
        self.callers.copies.iter().position(|copy| {
            copy.outcome.is_none()
                && copy.entry.is_some_and(|(daemon, generation)| self.daemons[daemon].generation == generation)
        })
    }
}

/// Returns the body with which endpoints respond to a request.
pub(crate) fn response_body(logical: usize) -> Vec<u8> {
    format!("answer to {logical}").into_bytes()
}
