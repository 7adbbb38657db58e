//! Quarantine of workers whose runs fail.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::failure_evidence::FailureEvidence;
use crate::{BatchState, JobId, TaskKey};

/// The number of consecutive failures after which a worker is quarantined.
const FAILURE_LIMIT: usize = 2;
/// A worker that has failed runs of this many jobs, and completed none meanwhile, is at fault whatever those jobs do on
/// other workers: several faulty workers make sound jobs fail on several workers.
const BROAD_FAILURE_JOBS: usize = 2;
/// The longest quarantine as a multiple of the first.
const MAX_QUARANTINE_FACTOR: u32 = 4;
/// The number of failures that are kept; more say nothing new.
const MAX_FAILURES: usize = 8;

/// A run that failed or hung.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RunFailure {
    task: TaskKey,
    /// Whether its job has ended and was at fault.
    is_excused: bool,
}

/// The health of a worker as shown by its recent runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct WorkerHealth {
    /// The failed and hung runs since the last completed run, the newest last.
    failures: Vec<RunFailure>,
    quarantined_until: MonotonicTime,
    /// The number of quarantines since the last completed run.
    quarantines: u32,
}

/// Methods that change the state.
impl WorkerHealth {
    /// Records a completed run.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed or hung run of a task, which the evidence covers already.
    pub(crate) fn record_failure(
        &mut self,
        now: MonotonicTime,
        task: TaskKey,
        quarantine: Duration,
        evidence: &FailureEvidence,
    ) {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(RunFailure { task, is_excused: false });
        if now >= self.quarantined_until && self.is_on_probation(evidence) {
            let factor = (1 << self.quarantines.min(MAX_QUARANTINE_FACTOR)).min(MAX_QUARANTINE_FACTOR);
            self.quarantined_until = now + quarantine * factor;
            self.quarantines += 1;
        }
    }

    /// Records a run that works, since it has outlived those of its step that failed: the worker does not fail everything.
    pub(crate) fn record_survivor(&mut self, evidence: &FailureEvidence) {
        self.failures.retain(|failure| failure.counts(evidence));
    }

    /// Excuses the failures of jobs that are final and were at fault, before the evidence about them is forgotten.
    pub(crate) fn prune(&mut self, state: &BatchState, evidence: &FailureEvidence) {
        for failure in &mut self.failures {
            failure.is_excused |= !state.is_active(failure.task.job) && evidence.is_at_fault(&failure.task);
        }
    }
}

/// Read-only methods.
impl WorkerHealth {
    /// Returns true if the worker gets runs only of jobs that find no other.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime, evidence: &FailureEvidence) -> bool {
        now < self.quarantined_until && self.is_on_probation(evidence)
    }

    /// Returns true if the worker gets only one run at a time, to test whether it works again. Failures that are the
    /// fault of their task or step don't count, unless they are of several jobs.
    pub(crate) fn is_on_probation(&self, evidence: &FailureEvidence) -> bool {
        self.failures.len() >= FAILURE_LIMIT
            && (self.failed_jobs() >= BROAD_FAILURE_JOBS
                || self.failures.iter().filter(|failure| failure.counts(evidence)).count() >= FAILURE_LIMIT)
    }

    /// Returns the number of jobs of which runs have failed since the last completed run.
    fn failed_jobs(&self) -> usize {
        let mut jobs: Vec<JobId> = self.failures.iter().map(|failure| failure.task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.len()
    }

    /// Returns the number of consecutive failures, whoever is at fault.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failures.len()).unwrap_or(u32::MAX)
    }
}

impl RunFailure {
    /// Returns true if the failure may be the worker's fault.
    fn counts(&self, evidence: &FailureEvidence) -> bool {
        !self.is_excused && !evidence.is_at_fault(&self.task)
    }
}
