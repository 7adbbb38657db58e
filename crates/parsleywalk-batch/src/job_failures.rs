//! The failed runs of each job, as its workers listed them.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::{BatchState, JobId, SortedMap, TaskKey};

/// The failed runs of a job that this leader has heard of, whatever outcome is recorded for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobFailures {
    /// The number of failed and hung runs.
    pub failed_runs: u64,
    /// When the newest of them was heard of.
    pub last_at: MonotonicTime,
    /// The task that failed last.
    pub last_task: TaskKey,
    /// The worker on which it failed.
    pub last_worker: WorkerId,
    /// The longest delay before a restart so far.
    pub longest_delay: Duration,
}

/// The active jobs of which runs have failed.
#[derive(Debug, Default)]
pub(crate) struct FailingJobs {
    jobs: SortedMap<JobId, JobFailures>,
}

/// Read-only methods.
impl FailingJobs {
    /// Returns the jobs, that of the newest failure first.
    pub(crate) fn newest_first(&self) -> Vec<(JobId, JobFailures)> {
        let mut jobs: Vec<_> = self.jobs.iter().map(|(job, failures)| (*job, failures.clone())).collect();
        jobs.sort_by_key(|(_, failures)| std::cmp::Reverse((failures.last_at, failures.failed_runs)));
        jobs
    }
}

/// Methods that change the state.
impl FailingJobs {
    /// Records a failed run.
    pub(crate) fn record(&mut self, now: MonotonicTime, task: TaskKey, worker: &WorkerId) {
        let known = self.get_mut(now, task, worker);
        known.failed_runs += 1;
        (known.last_at, known.last_task) = (now, task);
        known.last_worker.clone_from(worker);
    }

    /// Returns the failures of a task's job.
    pub(crate) fn get_mut(&mut self, now: MonotonicTime, task: TaskKey, worker: &WorkerId) -> &mut JobFailures {
        let first = || JobFailures {
            failed_runs: 0,
            last_at: now,
            last_task: task,
            last_worker: worker.clone(),
            longest_delay: Duration::ZERO,
        };
        self.jobs.entry(task.job, first)
    }

    /// Forgets the jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.jobs.retain(|job, _| state.is_active(*job));
    }
}
