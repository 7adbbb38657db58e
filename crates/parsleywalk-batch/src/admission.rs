//! Admission control for long-running jobs. Short jobs are refused by [`crate::overload`].
//!
//! Long-running tasks never end by themselves, so each one accepted beyond the capacity of its service takes cores
//! permanently, until short jobs of the same priority find none and all miss their objectives. A long-running job is
//! therefore refused when it would leave less capacity than short jobs have recently used. A refused caller can retry
//! or submit elsewhere; a job that was accepted and waits cannot.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ServiceName, WorkspaceName};

use crate::work_kind::WorkKind;
use crate::work_model::WorkModel;
use crate::{BatchState, Dispatcher, JobSubmission, SortedMap, StepSpec};

/// Time constant of the decaying average of short-task demand; covers several bursts of submissions.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Capacity kept for short tasks, in percent of their average demand, because they arrive in bursts.
const SHORT_DEMAND_PERCENT: u64 = 150;
/// Retry delay for a refused long-running job. Such jobs run for a minute or more, so with dozens of them capacity
/// becomes free every few seconds.
const LONG_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time after an election during which the leader may not have heard from all workers, so it refuses no job. Workers
/// report within a second, and those that reported to the previous leader first have to find the new one.
pub(crate) const LEADER_WARM_UP: Duration = Duration::from_secs(2);

/// A refusal to accept a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRefusal {
    /// The time after which the caller should retry.
    pub retry_after: Duration,
    /// The reason, for the log and the metrics.
    pub reason: &'static str,
}

/// An exponentially decaying average of submitted work.
#[derive(Debug, Clone, Copy, Default)]
struct WorkRate {
    /// Accumulated work, decayed by [`DEMAND_WINDOW`].
    millicore_seconds: f64,
    updated: MonotonicTime,
}

impl WorkRate {
    fn decay(&mut self, now: MonotonicTime) {
        let age = now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.millicore_seconds *= (-age).exp();
        self.updated = now;
    }

    /// Returns the average demand in millicores.
    fn millicores(mut self, now: MonotonicTime) -> u64 {
        self.decay(now);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the core count of a deployment fits"
        )]
        let millicores = (self.millicore_seconds / DEMAND_WINDOW.as_secs_f64()) as u64;
        millicores
    }
}

/// Recent demand of short tasks, by service.
#[derive(Debug, Default)]
pub(crate) struct ShortTaskDemand {
    rates: SortedMap<ServiceName, WorkRate>,
}

impl ShortTaskDemand {
    fn add(&mut self, now: MonotonicTime, submission: &JobSubmission, model: &WorkModel) {
        let rate = self.rates.entry(submission.service.clone(), WorkRate::default);
        rate.decay(now);
        rate.millicore_seconds += short_millicore_seconds(submission, model);
    }

    fn millicores(&self, now: MonotonicTime, service: &ServiceName) -> u64 {
        self.rates.get(service).map_or(0, |rate| rate.millicores(now))
    }
}

impl Dispatcher {
    /// Returns true if [`Dispatcher::admit`] may refuse such a job.
    #[must_use]
    pub fn may_refuse(&self, submission: &JobSubmission) -> bool {
        let is_short = WorkKind::of_job(&submission.spec).is_some();
        long_running_millicores(submission) > 0 || (is_short && self.refuses_short_jobs())
    }

    /// Returns a refusal if the job must not be accepted; otherwise adds the job to the short-task demand.
    pub fn admit(&mut self, now: MonotonicTime, state: &BatchState, submission: &JobSubmission) -> Option<JobRefusal> {
        self.decide_admission(now, state, submission, None)
    }

    /// Decides as [`Dispatcher::admit`] does on a job that a workspace may own.
    pub(crate) fn decide_admission(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        submission: &JobSubmission,
        workspace: Option<&WorkspaceName>,
    ) -> Option<JobRefusal> {
        let requested = long_running_millicores(submission);
        if requested > 0 && now.since(self.leader_since) >= LEADER_WARM_UP {
            let service = &submission.service;
            let short = self.short_demand.millicores(now, service) * SHORT_DEMAND_PERCENT / 100;
            let free = self.free_for_long_running(now, state, service);
            if free < requested + short {
                let reason = "the service's lasting work leaves too little to short work";
                return Some(JobRefusal { retry_after: LONG_RUNNING_RETRY_AFTER, reason });
            }
        }
        let refusal = self.refuse_overload(now, state, submission, workspace);
        if refusal.is_none() {
            self.short_demand.add(now, submission, &self.work_model);
        }
        refusal
    }

    /// Returns the millicores of a service that long-running tasks neither use nor wait for.
    fn free_for_long_running(&self, now: MonotonicTime, state: &BatchState, service: &ServiceName) -> u64 {
        let worker_timeout = self.settings.worker_timeout;
        let usable = self.workers.iter().filter(|(_, view)| {
            view.service == *service
                && !view.draining
                && !state.is_out_of_service(&view.zone)
                && now.since(view.reported_at) < worker_timeout
        });
        let free: u64 = usable
            .map(|(_, view)| u64::from(view.capacity.cores.saturating_sub(view.long_running.allocated.cores).get()))
            .sum();
        let waiting: u64 = state
            .active_jobs()
            .filter(|(_, job)| job.submission.service == *service)
            .flat_map(|(_, job)| job.submission.spec.steps.iter().zip(&job.occurrences[0].steps))
            .filter(|(spec, _)| spec.long_running && !spec.best_effort)
            .map(|(spec, record)| u64::from(record.waiting) * u64::from(spec.size.cores.get()))
            .sum();
        free.saturating_sub(waiting)
    }
}

/// Returns the millicores that the job's long-running tasks use while they run.
fn long_running_millicores(submission: &JobSubmission) -> u64 {
    let long_running = submission.spec.steps.iter().filter(|step| step.long_running && !step.best_effort);
    long_running.map(|step| u64::from(step.count) * u64::from(step.size.cores.get())).sum()
}

/// Returns the predicted CPU time of the job's short tasks in millicore-seconds.
fn short_millicore_seconds(submission: &JobSubmission, model: &WorkModel) -> f64 {
    let steps = (0u16..).zip(&submission.spec.steps);
    let short = steps.filter(|(_, spec)| !spec.long_running && !spec.best_effort);
    let millicores = |spec: &StepSpec| f64::from(spec.count) * f64::from(spec.size.cores.get());
    short.map(|(step, spec)| millicores(spec) * model.predict(submission, step).as_secs_f64()).sum()
}
