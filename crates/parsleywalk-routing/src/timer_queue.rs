//! Points in time at which the router acts.

use std::collections::BTreeSet;

use parsleywalk_units::{DispatchId, MonotonicTime, RequestId};

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A waiting request reaches its deadline.
    Deadline(RequestId),
    /// A claim has gone without a decision for too long.
    Claim(RequestId),
    /// An unanswered repeatable request may be sent a second time.
    Hedge(RequestId),
    /// A dispatch has no result past its time-out.
    DispatchTimeout(DispatchId),
}

/// The timers in order of time.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(MonotonicTime, TimerKind)>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, at: MonotonicTime, kind: TimerKind) {
        self.timers.insert((at, kind));
    }

    pub(crate) fn clear(&mut self, at: MonotonicTime, kind: TimerKind) {
        self.timers.remove(&(at, kind));
    }

    pub(crate) fn pop_due(&mut self, now: MonotonicTime) -> Option<TimerKind> {
        let &(at, kind) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        Some(kind)
    }

    pub(crate) fn next(&self) -> MonotonicTime {
        self.timers.first().map_or(MonotonicTime::NEVER, |(at, _)| *at)
    }
}
