//! Callers, some of whom misbehave, and what they are told.

use parsleywalk_routing::RouteResponse;
use parsleywalk_units::IdempotencyKey;
use rand::RngExt;

use crate::daemon::RequestSink;
use crate::event::{Event, Party};
use crate::router::EntryCall;
use crate::world::World;

/// The services that take requests.
pub(crate) const SERVICES: [&str; 2] = ["lookup", "web"];

/// One request of a caller, however often it is sent.
#[derive(Debug)]
pub(crate) struct LogicalRequest {
    pub(crate) service: usize,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) repeatable: bool,
    pub(crate) executions: u32,
    pub(crate) copies: Vec<usize>,
}

/// How a copy was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyAnswer {
    Whole,
    NotRun,
    Unknown,
}

/// One sending of a request.
#[derive(Debug)]
pub(crate) struct RequestCopy {
    pub(crate) logical: usize,
    /// The entry that took it in, and its process.
    pub(crate) entry: Option<(usize, u64)>,
    pub(crate) answer: Option<CopyAnswer>,
}

/// All requests.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) logicals: Vec<LogicalRequest>,
    pub(crate) copies: Vec<RequestCopy>,
}

impl World {
    /// Sends a new request; a keyed one now and then several times to several entries.
    pub(crate) fn request(&mut self) {
        let logical = self.callers.logicals.len();
        let keyed = self.random.random_ratio(2, 3);
        let service = self.random.random_range(0..SERVICES.len());
        let repeatable = self.random.random_ratio(1, 3);
        let key = keyed.then(|| format!("key-{logical}").parse().expect("a key"));
        self.callers.logicals.push(LogicalRequest { service, key, repeatable, executions: 0, copies: Vec::new() });
        let copies = if keyed && self.random.random_ratio(1, 2) { self.random.random_range(2..=4) } else { 1 };
        for number in 0..copies {
            let spread = [1, 20_000, 400_000, 3_000_000][self.random.random_range(0..4)];
            let wait = if number == 0 { 0 } else { self.random.random_range(0..spread) };
            self.send_copy(logical, wait);
        }
    }

    fn send_copy(&mut self, logical: usize, wait: u64) {
        let copy = self.callers.copies.len();
        self.callers.copies.push(RequestCopy { logical, entry: None, answer: None });
        self.callers.logicals[logical].copies.push(copy);
        let daemon = self.any_entry();
        let at = self.now + wait;
        if !self.cuts.contains(&(Party::Client, Party::Daemon(daemon))) {
            self.schedule(at, Event::Request { daemon, copy });
        }
    }

    pub(crate) fn admit_copy(&mut self, daemon: usize, copy: usize) {
        let life = self.daemons[daemon].life;
        if self.daemons[daemon].process.is_none() {
            return;
        }
        self.totals.requests += 1;
        let sent = &mut self.callers.copies[copy];
        sent.entry = Some((daemon, life));
        let repeatable = self.callers.logicals[sent.logical].repeatable;
        let call = EntryCall { logical: sent.logical, repeatable: Some(repeatable), timeout: None, forwarded: false };
        self.admit(daemon, &call, RequestSink::Caller { copy });
    }

    /// Checks P5 and P6 on an answer at the moment at which an entry gives it.
    pub(crate) fn copy_answered(&mut self, daemon: usize, copy: usize, answer: &RouteResponse) {
        let logical = self.callers.copies[copy].logical;
        if self.callers.copies[copy].answer.is_some() {
            self.violate(format!("P5: entry {daemon} answered copy {copy} of request {logical} twice"));
        }
        let executions = self.callers.logicals[logical].executions;
        let given = match answer {
            RouteResponse::Whole(whole) => {
                if whole.body != answer_body(logical) {
                    let body = String::from_utf8_lossy(&whole.body).into_owned();
                    self.violate(format!("P5: request {logical} got {body:?} from entry {daemon}"));
                }
                self.totals.whole += 1;
                CopyAnswer::Whole
            }
            RouteResponse::NotRun { reason, .. } => {
                self.note(format_args!("entry {daemon} answers request {logical} not run: {reason}"));
                if executions > 0 {
                    self.violate(format!("P6: request {logical} ran and is answered as not run by entry {daemon}"));
                }
                self.totals.not_run += 1;
                CopyAnswer::NotRun
            }
            RouteResponse::Unknown { reason } => {
                self.note(format_args!("entry {daemon} answers request {logical} unknown: {reason}"));
                self.totals.unknown += 1;
                CopyAnswer::Unknown
            }
        };
        self.callers.copies[copy].answer = Some(given);
        let keyed = self.callers.logicals[logical].key.is_some();
        if given != CopyAnswer::Whole && keyed && !self.settling && self.random.random_ratio(1, 4) {
            let wait = self.random.random_range(0..1_000_000);
            self.send_copy(logical, wait);
        }
    }

    /// Checks P6 and P7 on an execution at an endpoint.
    pub(crate) fn executed(&mut self, logical: usize, endpoint: usize) {
        self.totals.executions += 1;
        let request = &mut self.callers.logicals[logical];
        request.executions += 1;
        let (executions, repeatable) = (request.executions, request.repeatable);
        let copies = &self.callers.copies;
        let is_open = |copy: &usize| copies[*copy].entry.is_some() && copies[*copy].answer != Some(CopyAnswer::NotRun);
        let open = request.copies.iter().any(is_open);
        self.note(format_args!("endpoint {endpoint} runs request {logical}"));
        if executions > 1 && !repeatable {
            self.violate(format!("P7: request {logical} runs {executions} times"));
        }
        if !open {
            self.violate(format!("P6: request {logical} runs after every copy was answered as not run"));
        }
    }

    /// Names a request whose entry still runs and has not answered.
    pub(crate) fn unanswered_copy(&self) -> Option<usize> {
        self.callers.copies.iter().position(|copy| {
            copy.answer.is_none() && copy.entry.is_some_and(|(daemon, life)| self.daemons[daemon].life == life)
        })
    }
}

/// What an endpoint answers to a request.
pub(crate) fn answer_body(logical: usize) -> Vec<u8> {
    format!("answer to {logical}").into_bytes()
}
