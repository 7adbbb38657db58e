//! What the leader learns from the outcomes that workers list.
//!
//! An end may be recorded with another outcome than its worker listed; see `settlement`. The health of workers, the
//! workers that a task avoids, the counters and the log go by the listed one.

use std::time::Duration;

use log::info;
use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::{BatchState, Dispatcher, JobFailures, JobId, RunEnd, RunOutcome, TaskKey};

impl Dispatcher {
    /// Reads the outcomes of ends that have not been read before, given the lives of the runs. A worker lists an end
    /// until it is acknowledged.
    pub(crate) fn read_outcomes(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        worker: &WorkerId,
        ends: &[RunEnd],
        lives: &[Duration],
    ) {
        for (end, life) in ends.iter().zip(lives) {
            let Some(view) = self.workers.get_mut(worker) else { return };
            if end.number <= view.read_until {
                continue;
            }
            view.read_until = end.number;
            self.listed_outcomes.push(end.outcome);
            if state.step_of(&end.task).is_none() {
                continue;
            }
            if end.outcome == RunOutcome::Done {
                view.health.record_success();
                self.evidence.record_success((end.task.job, end.task.step), worker);
            }
            if end.outcome == RunOutcome::Failed {
                self.record_failed_run(now, end.task, worker, *life);
            }
        }
    }

    /// Records a failed run, or one that hangs and is therefore stopped.
    pub(crate) fn record_failed_run(&mut self, now: MonotonicTime, task: TaskKey, worker: &WorkerId, life: Duration) {
        let step = (task.job, task.step);
        if self.evidence.record_failure(step, worker, life) {
            info!("event=job_failing job={} task={task} worker={worker} life_ms={}", task.job, life.as_millis());
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.health.record_failure(now, step, self.settings.quarantine, &self.evidence);
        }
        self.avoided.insert(task, worker.clone());
        self.failing_jobs.record(now, task, worker);
    }

    /// Returns the outcomes that workers have listed since the last call.
    pub fn take_listed_outcomes(&mut self) -> Vec<RunOutcome> {
        std::mem::take(&mut self.listed_outcomes)
    }

    /// Returns the active jobs of which this leader has heard of failed runs, that of the newest failure first.
    #[must_use]
    pub fn failing_jobs(&self) -> Vec<(JobId, JobFailures)> {
        self.failing_jobs.newest_first()
    }
}
