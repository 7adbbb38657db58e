//! The predicted critical paths of the active jobs.
//!
//! The order of placement needs the critical path of each waiting job in every cycle, which is several times as often as
//! predictions change.

use std::time::Duration;

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{MonotonicTime, ResourceSize};

use crate::job_work::JobWork;
use crate::work_model::WorkModel;
use crate::{BatchState, JobId, JobRecord, JobSubmission, SortedMap, StepRecord, StepSpec};

/// The age at which a job's critical path is predicted again.
const OUTLOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The predicted critical path and work of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct JobOutlook {
    /// The duration of the critical path.
    pub(crate) path: Duration,
    /// The duration without the steps that are done.
    pub(crate) remaining: Duration,
    /// The work that is not done.
    pub(crate) work: JobWork,
    done_tasks: u32,
    predicted_at: MonotonicTime,
}

impl JobOutlook {
    fn new(job: &JobRecord, limit: Option<&ResourceLimit>, model: &WorkModel, now: MonotonicTime) -> Self {
        let durations = predicted_durations(&job.submission, model);
        let records = job.occurrences.first().map_or(&[] as &[StepRecord], |occurrence| &occurrence.steps);
        let specs = &job.submission.spec.steps;
        let mut work = JobWork::default();
        for ((spec, record), duration) in specs.iter().zip(records).zip(&durations) {
            work.add(spec, *duration, record.waiting, record.live_count());
        }
        Self {
            path: critical_path(specs, limit, &durations, records.iter().map(StepRecord::task_count)),
            remaining: critical_path(specs, limit, &durations, records.iter().map(StepRecord::remaining_count)),
            work,
            done_tasks: done_tasks(job),
            predicted_at: now,
        }
    }

    /// Returns the outlook of a job that has not been accepted.
    pub(crate) fn of_submission(
        submission: &JobSubmission,
        limit: Option<&ResourceLimit>,
        model: &WorkModel,
        now: MonotonicTime,
    ) -> Self {
        let durations = predicted_durations(submission, model);
        let specs = &submission.spec.steps;
        let mut work = JobWork::default();
        for (spec, duration) in specs.iter().zip(&durations) {
            work.add(spec, *duration, spec.count, 0);
        }
        let path = critical_path(specs, limit, &durations, specs.iter().map(|spec| spec.count));
        Self { path, remaining: path, work, done_tasks: 0, predicted_at: now }
    }
}

/// The critical paths that have been predicted.
#[derive(Debug, Default)]
pub(crate) struct JobOutlooks {
    outlooks: SortedMap<JobId, JobOutlook>,
}

impl JobOutlooks {
    /// Returns the critical path of a job, as predicted less than [`OUTLOOK_INTERVAL`] ago and since its last task was done.
    /// `limit` is that of its workspace.
    pub(crate) fn outlook(
        &mut self,
        id: JobId,
        job: &JobRecord,
        limit: Option<&ResourceLimit>,
        model: &WorkModel,
        now: MonotonicTime,
    ) -> JobOutlook {
        let outlook = self.outlooks.entry(id, || JobOutlook::new(job, limit, model, now));
        if now.since(outlook.predicted_at) >= OUTLOOK_INTERVAL || outlook.done_tasks != done_tasks(job) {
            *outlook = JobOutlook::new(job, limit, model, now);
        }
        *outlook
    }

    /// Returns the critical path of a job as last predicted.
    pub(crate) fn get(&self, id: JobId) -> Option<&JobOutlook> {
        self.outlooks.get(&id)
    }

    /// Forgets the jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.outlooks.retain(|job, _| state.is_active(*job));
    }
}

/// Returns the number of tasks that are done in the first occurrence.
fn done_tasks(job: &JobRecord) -> u32 {
    let Some(occurrence) = job.occurrences.first() else { return 0 };
    occurrence.steps.iter().map(|step| step.done).sum()
}

/// Returns the predicted durations of the tasks of each step.
fn predicted_durations(submission: &JobSubmission, model: &WorkModel) -> Vec<Duration> {
    (0u16..).zip(&submission.spec.steps).map(|(step, _)| model.predict(submission, step)).collect()
}

/// Returns the duration of the critical path given those of the steps and the number of tasks that count of each step.
/// More tasks than the limit of the job's workspace permits at a time run in several waves.
fn critical_path(
    specs: &[StepSpec],
    limit: Option<&ResourceLimit>,
    durations: &[Duration],
    tasks: impl Iterator<Item = u32>,
) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(durations.len());
    for ((spec, tasks), duration) in specs.iter().zip(tasks).zip(durations) {
        let start = spec.depends_on.iter().filter_map(|earlier| ends.get(usize::from(*earlier))).max();
        let duration = *duration * wave_count(spec, limit, tasks);
        ends.push(start.copied().unwrap_or_default() + duration);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns in how many waves a number of the step's tasks run.
fn wave_count(spec: &StepSpec, limit: Option<&ResourceLimit>, tasks: u32) -> u32 {
    let width = limit.map_or(u32::MAX, |limit| limit.permitted_count(&ResourceSize::default(), &spec.size));
    tasks.div_ceil(width.max(1))
}
