//! What the leader learns from the outcomes that workers list.
//!
//! An end may be recorded with another outcome than its worker listed; see `settlement`. The health of workers, the
//! workers that a task avoids, restart delays, the counters and the log go by the listed one.

use std::time::Duration;

use log::info;
use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::job_work::task_work;
use crate::work_kind::WorkKind;
use crate::{
    BatchState, Dispatcher, JobFailures, JobId, PlaceWaitResults, RunEnd, RunNumber, RunOutcome, StepSpec, TaskKey,
};

/// A run that failed, hung or was refused, or a long-running one that ended as done.
struct FailedRun<'a> {
    task: TaskKey,
    run: RunNumber,
    worker: &'a WorkerId,
    outcome: RunOutcome,
    /// How long the run was listed as being in progress.
    life: Duration,
}

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
            if end.outcome != RunOutcome::Refused {
                self.idle_since.remove(&end.task.job);
            }
            let Some((job, spec)) = state.step_of(&end.task) else { continue };
            if end.outcome == RunOutcome::Done {
                view.health.record_success();
                self.evidence.record_success(&end.task, worker);
                if let Some(kind) = WorkKind::of_step(spec) {
                    let work = task_work(spec, self.work_model.predict(&job.submission, end.task.step));
                    self.overload.record_completed(&job.submission.service, kind, work);
                }
            }
            let failed = FailedRun { task: end.task, run: end.run, worker, outcome: end.outcome, life: *life };
            match end.outcome {
                RunOutcome::Failed => {
                    self.record_failed_run(now, &failed);
                    self.failing_jobs.record(now, end.task, worker);
                }
                RunOutcome::Refused if is_placed(state, worker, end) => self.record_failed_run(now, &failed),
                RunOutcome::Done if spec.long_running => {}
                _ => continue,
            }
            self.delay_restart(now, state, spec, &failed);
        }
    }

    /// Records a run that hangs and is therefore stopped.
    pub(crate) fn record_hung_run(
        &mut self,
        now: MonotonicTime,
        task: TaskKey,
        run: RunNumber,
        worker: &WorkerId,
        life: Duration,
    ) {
        self.record_failed_run(now, &FailedRun { task, run, worker, outcome: RunOutcome::Stopped, life });
        self.failing_jobs.record(now, task, worker);
    }

    /// Records a run that failed, hung or was refused. A refusal costs no attempt, but a worker that refuses everything is
    /// the emptiest one and would be chosen again and again.
    fn record_failed_run(&mut self, now: MonotonicTime, failed: &FailedRun<'_>) {
        let &FailedRun { task, worker, life, .. } = failed;
        if self.evidence.record_failure(task, worker, life) {
            info!("event=job_failing job={} task={task} worker={worker} life_ms={}", task.job, life.as_millis());
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.health.record_failure(now, task, self.settings.quarantine, &self.evidence);
        }
        self.avoided.insert(task, worker.clone());
    }

    /// Delays the restart of a task that keeps failing. One line is logged for each new longest delay of the job.
    fn delay_restart(&mut self, now: MonotonicTime, state: &BatchState, spec: &StepSpec, failed: &FailedRun<'_>) {
        let &FailedRun { task, run, worker, outcome, life } = failed;
        if !state.is_active(task.job) {
            return;
        }
        let Some((delay, failures)) = self.restart_delays.record_failure(now, (&task, run), spec, life) else { return };
        let known = self.failing_jobs.get_mut(now, task, worker);
        if delay > known.longest_delay {
            known.longest_delay = delay;
            info!(
                "event=restart_delayed job={} task={task} run={run} worker={worker} outcome={outcome:?} \
                 failures_in_a_row={failures} delay_ms={}",
                task.job,
                delay.as_millis()
            );
        }
    }

    /// Returns the outcomes that workers have listed since the last call.
    pub fn take_listed_outcomes(&mut self) -> Vec<RunOutcome> {
        std::mem::take(&mut self.listed_outcomes)
    }

    /// Returns how the waits of tasks for racks have ended since the last call.
    pub fn take_place_wait_results(&mut self) -> PlaceWaitResults {
        std::mem::take(&mut self.place_waits.results)
    }

    /// Returns the active jobs of which this leader has heard of failed runs, that of the newest failure first.
    #[must_use]
    pub fn failing_jobs(&self) -> Vec<(JobId, JobFailures)> {
        self.failing_jobs.newest_first()
    }
}

/// Returns true if the end is that of a run which is placed on the worker. A worker also refuses repeated orders for runs
/// that have ended there.
fn is_placed(state: &BatchState, worker: &WorkerId, end: &RunEnd) -> bool {
    let entry = state.worker(worker).and_then(|record| record.runs.get(&end.task));
    entry.is_some_and(|entry| entry.run == end.run)
}
