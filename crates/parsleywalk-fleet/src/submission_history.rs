//! Earlier decisions about jobs that are not in the state.
//!
//! A caller resends a submission to any daemon, and its copies can arrive in any order. A copy that was received before
//! another one was refused must not be accepted after the refusal, which says that the job never runs. Refusals are not
//! replicated, so a new leader does not know those of earlier terms.

use std::time::Duration;

use parsleywalk_batch::{JobId, JobRefusal, SortedMap};
use parsleywalk_units::MonotonicTime;

/// How long a refusal is remembered; callers wait for a few seconds.
const REFUSAL_RETENTION: Duration = Duration::from_mins(1);
/// The maximum number of refusals that are remembered.
const MAX_REFUSALS: usize = 4096;
/// One part in this many of the time that is remembered is forgotten when there are too many refusals.
const FORGOTTEN_SHARE: u32 = 8;

/// The earlier decision about a submission.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PriorDecision {
    /// There is none.
    None,
    /// A copy has been accepted and is being committed.
    Accepted,
    /// A copy was refused after this one had been received.
    Refused(JobRefusal),
    /// This copy was received before the remembered time.
    Unknown,
}

#[derive(Debug)]
struct RefusedJob {
    at: MonotonicTime,
    refusal: JobRefusal,
}

/// The decisions about submissions in the term of a leader.
#[derive(Debug)]
pub(crate) struct SubmissionHistory {
    /// All refusals since this time are remembered.
    since: MonotonicTime,
    refused: SortedMap<JobId, RefusedJob>,
    /// The accepted jobs that were not in the state when it was last looked at.
    accepted: SortedMap<JobId, ()>,
}

impl SubmissionHistory {
    /// Creates the history of a leader whose term began at `since`.
    pub(crate) fn new(since: MonotonicTime) -> Self {
        Self { since, refused: SortedMap::default(), accepted: SortedMap::default() }
    }

    /// Returns the earlier decision about a submission that a daemon received at `received`.
    pub(crate) fn prior(&self, job: JobId, received: MonotonicTime) -> PriorDecision {
        if self.accepted.contains(&job) {
            return PriorDecision::Accepted;
        }
        match self.refused.get(&job).filter(|refused| received < refused.at) {
            Some(refused) => PriorDecision::Refused(refused.refusal.clone()),
            None if received < self.since => PriorDecision::Unknown,
            None => PriorDecision::None,
        }
    }

    /// Records that a job was accepted and is being committed.
    pub(crate) fn record_accepted(&mut self, job: JobId) {
        self.accepted.insert(job, ());
    }

    /// Records that a job was refused.
    pub(crate) fn record_refused(&mut self, now: MonotonicTime, job: JobId, refusal: JobRefusal) {
        self.refused.insert(job, RefusedJob { at: now, refusal });
        if self.refused.len() > MAX_REFUSALS {
            // A part at a time, since finding the oldest ones takes a walk over all.
            let oldest = self.refused.iter().map(|(_, refused)| refused.at).min().unwrap_or(now);
            self.forget_until(oldest + now.since(oldest) / FORGOTTEN_SHARE);
        }
    }

    /// Forgets old refusals and the accepted jobs that `is_stored`.
    pub(crate) fn prune(&mut self, now: MonotonicTime, is_stored: impl Fn(JobId) -> bool) {
        self.accepted.retain(|job, ()| !is_stored(*job));
        self.forget_until(now.saturating_sub(REFUSAL_RETENTION));
    }

    fn forget_until(&mut self, limit: MonotonicTime) {
        self.refused.retain(|_, refused| refused.at > limit);
        self.since = self.since.max(limit);
    }
}

#[cfg(test)]
#[path = "submission_history_tests.rs"]
mod tests;
