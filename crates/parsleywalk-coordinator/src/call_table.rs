//! Calls of this daemon that wait for a leader or for its reply.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, VmNumber};

use crate::{CallFailure, CallToken, LeaderCall, LeaderReply};

/// The delay after which a call without a reply is resent. Calls are idempotent.
const RESEND_DELAY: Duration = Duration::from_millis(400);

/// The delay before a retry after a daemon replied that it is not the leader.
const NOT_LEADER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of waiting calls; further ones fail at once.
const MAX_WAITING_CALLS: usize = 8192;

/// A call with its result.
#[derive(Debug)]
pub(crate) struct FinishedCall {
    pub(crate) call: CallToken,
    pub(crate) result: Result<LeaderReply, CallFailure>,
}

/// A call without a result yet.
#[derive(Debug)]
struct WaitingCall {
    call: CallToken,
    body: LeaderCall,
    deadline: MonotonicTime,
    next_try: MonotonicTime,
    /// Whether the call may have reached a leader.
    sent: bool,
}

/// The waiting calls, sorted by token.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    waiting: Vec<WaitingCall>,
}

impl CallTable {
    /// Adds a call that is due at once. If the table is full, the call fails and is returned.
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
        debug_assert!(self.waiting.last().is_none_or(|last| last.call < call), "call tokens must increase");
        self.waiting.push(WaitingCall { call, body, deadline: now + timeout, next_try: now, sent: false });
        None
    }

    /// Completes a call with its reply. After `NotLeader` or `Lost` the call is retried instead, since it is
    /// idempotent.
    pub(crate) fn complete(&mut self, now: MonotonicTime, call: CallToken, reply: LeaderReply) -> Option<FinishedCall> {
        let index = self.waiting.binary_search_by_key(&call, |waiting| waiting.call).ok()?;
        if matches!(reply, LeaderReply::NotLeader | LeaderReply::Lost) {
            let waiting = &mut self.waiting[index];
            waiting.next_try = waiting.next_try.min(now + NOT_LEADER_RETRY_DELAY);
            return None;
        }
        self.waiting.remove(index);
        Some(FinishedCall { call, result: Ok(reply) })
    }

    /// Fails the calls whose deadline has passed.
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

    /// Returns the calls that are due, and makes each of them due again after [`RESEND_DELAY`].
    pub(crate) fn due(&mut self, now: MonotonicTime) -> Vec<(CallToken, LeaderCall)> {
        let due = self.waiting.iter_mut().filter(|waiting| waiting.next_try <= now);
        due.map(|waiting| {
            waiting.next_try = now + RESEND_DELAY;
            (waiting.call, waiting.body.clone())
        })
        .collect()
    }

    /// Records that a call may reach a leader.
    pub(crate) fn mark_sent(&mut self, call: CallToken) {
        if let Ok(index) = self.waiting.binary_search_by_key(&call, |waiting| waiting.call) {
            self.waiting[index].sent = true;
        }
    }

    /// Makes every call due at once, after a change of the leader.
    pub(crate) fn retry_all(&mut self, now: MonotonicTime) {
        for waiting in &mut self.waiting {
            waiting.next_try = now;
        }
    }

    /// Returns the time at which the next call is due or expires.
    pub(crate) fn next_deadline(&self) -> MonotonicTime {
        let times = self.waiting.iter().map(|waiting| waiting.next_try.min(waiting.deadline));
        times.min().unwrap_or(MonotonicTime::NEVER)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

/// The destination of the leader's reply to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// A call of this daemon.
    Local(CallToken),
    /// A call of another daemon.
    Peer(VmNumber, CallToken),
}
