//! Timers of the router.

use std::collections::BTreeSet;

use parsleywalk_units::{DispatchId, MonotonicTime, RequestId};

/// The event that a timer triggers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The deadline of a waiting request.
    Deadline(RequestId),
    /// The time-out of a claim without a decision.
    ClaimTimeout(RequestId),
    /// The time at which a repeatable request without a response may be dispatched a second time.
    Hedge(RequestId),
    /// The time-out of a dispatch or forward without a result, including the grace time.
    DispatchTimeout(DispatchId),
}

/// Orders timers by the time at which they are due.
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
