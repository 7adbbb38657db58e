//! Calls of this daemon that wait for a leader or for its answer.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, VmNumber};

use crate::{CallFailure, CallToken, LeaderCall, LeaderReply};

/// The wait before an unanswered call is sent again. Every call may be repeated without harm.
const RESEND_DELAY: Duration = Duration::from_millis(400);

/// The wait after a daemon said that it is not the leader.
const NOT_LEADER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The most calls that wait; more are refused as not sent.
const MAX_WAITING_CALLS: usize = 8192;

/// How a call ended.
#[derive(Debug)]
pub(crate) struct FinishedCall {
    pub(crate) call: CallToken,
    pub(crate) result: Result<LeaderReply, CallFailure>,
}

/// One call that waits.
#[derive(Debug)]
struct WaitingCall {
    call: CallToken,
    body: LeaderCall,
    deadline: MonotonicTime,
    next_try: MonotonicTime,
    /// Set once the call may have reached a leader.
    sent: bool,
}

/// The calls that wait, sorted by number.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    waiting: Vec<WaitingCall>,
}

impl CallTable {
    /// Adds a call, to be tried at once; a full table refuses it. Tokens grow, so the table stays sorted.
    pub(crate) fn add(
        &mut self,
        now: MonotonicTime,
        call: CallToken,
        body: LeaderCall,
        timeout: Duration,
    ) -> Option<FinishedCall> {
        if self.waiting.len() >= MAX_WAITING_CALLS {
            let failure = CallFailure::NotSent("too many calls wait for the leader".to_owned());
            return Some(FinishedCall { call, result: Err(failure) });
        }
        debug_assert!(self.waiting.last().is_none_or(|last| last.call < call), "call tokens must grow");
        self.waiting.push(WaitingCall { call, body, deadline: now + timeout, next_try: now, sent: false });
        None
    }

    /// Takes an answer. `NotLeader` leads to another try, `Lost` too since calls may be repeated.
    pub(crate) fn answer(&mut self, now: MonotonicTime, call: CallToken, reply: LeaderReply) -> Option<FinishedCall> {
        let index = self.waiting.binary_search_by_key(&call, |waiting| waiting.call).ok()?;
        if matches!(reply, LeaderReply::NotLeader | LeaderReply::Lost) {
            let waiting = &mut self.waiting[index];
            waiting.next_try = waiting.next_try.min(now + NOT_LEADER_RETRY_DELAY);
            return None;
        }
        self.waiting.remove(index);
        Some(FinishedCall { call, result: Ok(reply) })
    }

    /// Ends the calls whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicTime) -> Vec<FinishedCall> {
        let expired = self.waiting.extract_if(.., |waiting| waiting.deadline <= now);
        let finished = expired.map(|waiting| {
            let failure = if waiting.sent {
                CallFailure::Unknown("no answer from a leader in time".to_owned())
            } else {
                CallFailure::NotSent("no leader is reachable from this entry".to_owned())
            };
            FinishedCall { call: waiting.call, result: Err(failure) }
        });
        finished.collect()
    }

    /// The calls that are due to be tried, with their numbers; each is due again after a pause.
    pub(crate) fn due(&mut self, now: MonotonicTime) -> Vec<(CallToken, LeaderCall)> {
        let due = self.waiting.iter_mut().filter(|waiting| waiting.next_try <= now);
        due.map(|waiting| {
            waiting.next_try = now + RESEND_DELAY;
            (waiting.call, waiting.body.clone())
        })
        .collect()
    }

    /// Notes that a call may reach a leader from now on.
    pub(crate) fn mark_sent(&mut self, call: CallToken) {
        if let Ok(index) = self.waiting.binary_search_by_key(&call, |waiting| waiting.call) {
            self.waiting[index].sent = true;
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
    Local(CallToken),
    /// To another daemon's call.
    Peer(VmNumber, CallToken),
}
