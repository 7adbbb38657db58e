//! Calls of this daemon that wait for a leader or for its answer.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, VmNumber};

use super::call::{CallFailure, LeaderCall, LeaderReply};
use super::event::CallDone;

/// The wait before an unanswered call is sent again. Every call may be repeated without harm.
const RESEND_PAUSE: Duration = Duration::from_millis(400);

/// The wait after a daemon said that it is not the leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The most calls that wait; more are refused as not sent.
const WAITING_LIMIT: usize = 8192;

/// One call that waits.
struct WaitingCall {
    call: u64,
    body: LeaderCall,
    deadline: MonotonicTime,
    next_try: MonotonicTime,
    /// Set once the call may have reached a leader.
    sent: bool,
    done: CallDone,
}

/// The calls that wait, sorted by number.
#[derive(Default)]
pub(crate) struct CallTable {
    waiting: Vec<WaitingCall>,
    last: u64,
}

impl CallTable {
    /// Adds a call, to be tried at once; a full table refuses it.
    pub(crate) fn add(&mut self, now: MonotonicTime, body: LeaderCall, timeout: Duration, done: CallDone) {
        if self.waiting.len() >= WAITING_LIMIT {
            done(Err(CallFailure::NotSent("too many calls wait for the leader".to_owned())));
            return;
        }
        self.last += 1;
        let (call, deadline) = (self.last, now + timeout);
        self.waiting.push(WaitingCall { call, body, deadline, next_try: now, sent: false, done });
    }

    /// Takes an answer. `NotLeader` leads to another try, `Lost` too since calls may be repeated.
    pub(crate) fn answer(&mut self, now: MonotonicTime, call: u64, reply: LeaderReply) {
        let Ok(place) = self.waiting.binary_search_by_key(&call, |waiting| waiting.call) else { return };
        match reply {
            LeaderReply::NotLeader | LeaderReply::Lost => {
                let waiting = &mut self.waiting[place];
                waiting.next_try = waiting.next_try.min(now + RETRY_PAUSE);
            }
            reply => (self.waiting.remove(place).done)(Ok(reply)),
        }
    }

    /// Ends the calls whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        let expired: Vec<WaitingCall> = self.waiting.extract_if(.., |waiting| waiting.deadline <= now).collect();
        for waiting in expired {
            let failure = if waiting.sent {
                CallFailure::Unknown("no answer from a leader in time".to_owned())
            } else {
                CallFailure::NotSent("no leader is reachable from this entry".to_owned())
            };
            (waiting.done)(Err(failure));
        }
    }

    /// The calls that are due to be tried, with their numbers; each is due again after a pause.
    pub(crate) fn due(&mut self, now: MonotonicTime) -> Vec<(u64, LeaderCall)> {
        let due = self.waiting.iter_mut().filter(|waiting| waiting.next_try <= now);
        due.map(|waiting| {
            waiting.next_try = now + RESEND_PAUSE;
            (waiting.call, waiting.body.clone())
        })
        .collect()
    }

    /// Notes that a call may reach a leader from now on.
    pub(crate) fn mark_sent(&mut self, call: u64) {
        if let Ok(place) = self.waiting.binary_search_by_key(&call, |waiting| waiting.call) {
            self.waiting[place].sent = true;
        }
    }

    /// Tries every call again at once, since there is a new leader.
    pub(crate) fn retry_all(&mut self, now: MonotonicTime) {
        for waiting in &mut self.waiting {
            waiting.next_try = now;
        }
    }

    /// When the next call is due or expires.
    pub(crate) fn next_deadline(&self) -> MonotonicTime {
        let times = self.waiting.iter().map(|waiting| waiting.next_try.min(waiting.deadline));
        times.min().unwrap_or(MonotonicTime::NEVER)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

/// Where the answer to a call at the leader goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// To a call of this daemon.
    Local(u64),
    /// To another daemon's call.
    Peer(VmNumber, u64),
}
