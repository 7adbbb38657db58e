//! Quarantine of workers whose runs fail.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::failure_evidence::FailureEvidence;
use crate::{BatchState, TaskKey};

/// The number of consecutive failures after which a worker is quarantined.
const FAILURE_LIMIT: usize = 2;
/// The longest quarantine as a multiple of the first.
const MAX_QUARANTINE_FACTOR: u32 = 4;
/// The number of failures that are kept; more say nothing new.
const MAX_FAILURES: usize = 8;

/// The health of a worker as shown by its recent runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct WorkerHealth {
    /// The tasks of the failed and hung runs since the last completed run, the newest last.
    failures: Vec<TaskKey>,
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
        self.failures.push(task);
        if now >= self.quarantined_until && self.is_on_probation(evidence) {
            let factor = (1 << self.quarantines.min(MAX_QUARANTINE_FACTOR)).min(MAX_QUARANTINE_FACTOR);
            self.quarantined_until = now + quarantine * factor;
            self.quarantines += 1;
        }
    }

    /// Forgets the failures of jobs that are final and were at fault, before the evidence about them is forgotten.
    pub(crate) fn prune(&mut self, state: &BatchState, evidence: &FailureEvidence) {
        self.failures.retain(|task| state.is_active(task.job) || !evidence.is_at_fault(task));
    }
}

/// Read-only methods.
impl WorkerHealth {
    /// Returns true if the worker gets runs only of jobs that find no other.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime, evidence: &FailureEvidence) -> bool {
        now < self.quarantined_until && self.is_on_probation(evidence)
    }

    /// Returns true if the worker gets only one run at a time, to test whether it works again. Failures that are the
    /// fault of their task or step don't count.
    pub(crate) fn is_on_probation(&self, evidence: &FailureEvidence) -> bool {
        self.failures.len() >= FAILURE_LIMIT
            && self.failures.iter().filter(|task| !evidence.is_at_fault(task)).count() >= FAILURE_LIMIT
    }

    /// Returns the number of consecutive failures, whoever is at fault.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failures.len()).unwrap_or(u32::MAX)
    }
}
