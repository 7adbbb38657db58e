//! Refusals that free workers have disproved.
//!
//! Whoever was refused because of overload should not find, when he returns, that workers were free meanwhile. The newest
//! refusals are therefore compared with the free capacity until their callers may return.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkspaceName};

use crate::{JobId, JobSpec, JobSubmission, StepSpec};

/// The number of refusals that are looked at. Further ones are not counted until others have ended.
const MAX_REFUSALS: usize = 64;
/// The number of different tasks for which the free capacity is computed at a time.
const MAX_SHAPES: usize = 16;
/// The interval at which the free capacity is computed.
const AUDIT_INTERVAL: Duration = Duration::from_millis(250);
/// A refusal is disproved once there has been free capacity for its job for this long.
const DISPROOF_TIME: Duration = Duration::from_secs(1);

/// A job that was refused.
#[derive(Debug, Clone)]
pub(crate) struct AuditedRefusal {
    /// The job with its first step only, whose tasks could run at once. The number of tasks is left out.
    pub(crate) submission: JobSubmission,
    pub(crate) workspace: Option<WorkspaceName>,
    tasks: u32,
    /// When the caller may return.
    until: MonotonicTime,
    /// Since when there has been free capacity for the first step.
    free_since: Option<MonotonicTime>,
}

impl AuditedRefusal {
    /// Returns true if a task finds capacity wherever one of the other job does.
    fn has_same_shape(&self, other: &Self) -> bool {
        let (one, other_submission) = (&self.submission, &other.submission);
        (&one.service, &one.spec.steps) == (&other_submission.service, &other_submission.spec.steps)
            && self.workspace == other.workspace
    }
}

/// The newest refusals, and the number of those that were disproved.
#[derive(Debug, Default)]
pub(crate) struct RefusalAudit {
    refusals: Vec<AuditedRefusal>,
    looked_at: MonotonicTime,
    disproved: u64,
}

/// Methods that change the state.
impl RefusalAudit {
    /// Records a refusal.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        submission: &JobSubmission,
        workspace: Option<&WorkspaceName>,
        retry_after: Duration,
    ) {
        self.remove(submission.job);
        if self.refusals.len() >= MAX_REFUSALS {
            return;
        }
        let Some(first) = submission.spec.steps.first() else { return };
        let (tasks, shape) = (first.count, StepSpec { count: 0, estimate: Duration::ZERO, ..first.clone() });
        let spec = JobSpec { steps: vec![shape], ..JobSpec::default() };
        let (queue, service) = (submission.queue.clone(), submission.service.clone());
        let submission = JobSubmission { spec, queue, service, ..*submission };
        let (workspace, until) = (workspace.cloned(), now + retry_after);
        self.refusals.push(AuditedRefusal { submission, workspace, tasks, until, free_since: None });
    }

    /// Forgets the refusal of a job that is submitted again.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.refusals.retain(|refusal| refusal.submission.job != job);
    }

    /// Records for which refusals there is free capacity, in the order of [`RefusalAudit::find_free`].
    pub(crate) fn record_free(&mut self, now: MonotonicTime, free: &[bool]) {
        if free.is_empty() {
            return;
        }
        self.looked_at = now;
        for (refusal, is_free) in self.refusals.iter_mut().zip(free) {
            refusal.free_since = refusal.free_since.or(Some(now)).filter(|_| *is_free);
        }
        let is_disproved =
            |refusal: &AuditedRefusal| refusal.free_since.is_some_and(|since| now.since(since) >= DISPROOF_TIME);
        let disproved = self.refusals.extract_if(.., |refusal| is_disproved(refusal));
        for refusal in disproved {
            self.disproved += 1;
            log::info!("event=refusal_disproved job={} queue={}", refusal.submission.job, refusal.submission.queue);
        }
        self.refusals.retain(|refusal| now < refusal.until);
    }

    /// Returns the number of refusals that were disproved since the last call.
    pub(crate) fn take_disproved(&mut self) -> u64 {
        std::mem::take(&mut self.disproved)
    }
}

/// Read-only methods.
impl RefusalAudit {
    /// Returns true if there are refusals that have not been looked at for [`AUDIT_INTERVAL`].
    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        !self.refusals.is_empty() && now.since(self.looked_at) >= AUDIT_INTERVAL
    }

    /// Returns for which refusals there is free capacity, given the number of tasks of a job's first step that would fit.
    pub(crate) fn find_free(&self, free_tasks: impl Fn(&AuditedRefusal) -> u32) -> Vec<bool> {
        let mut known: Vec<(&AuditedRefusal, u32)> = Vec::new();
        let is_free = self.refusals.iter().map(|refusal| {
            let position = known.iter().position(|(other, _)| other.has_same_shape(refusal));
            let position = position.or_else(|| {
                (known.len() < MAX_SHAPES).then(|| {
                    known.push((refusal, free_tasks(refusal)));
                    known.len() - 1
                })
            });
            position.is_some_and(|position| known[position].1 >= refusal.tasks.max(1))
        });
        is_free.collect()
    }
}

#[cfg(test)]
#[path = "refusal_audit_tests.rs"]
mod tests;
