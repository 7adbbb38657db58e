//! The predicted critical paths of the active jobs.
//!
//! The order of placement needs the critical path of each waiting job in every cycle, which is several times as often as
//! predictions change.

use std::time::Duration;

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{MonotonicTime, ResourceSize};

use crate::work_model::WorkModel;
use crate::{BatchState, JobId, JobRecord, SortedMap, StepRecord, StepSpec};

/// The age at which a job's critical path is predicted again.
const OUTLOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The predicted critical path of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct JobOutlook {
    /// The duration of the critical path.
    pub(crate) path: Duration,
    /// The duration without the steps that are done.
    pub(crate) remaining: Duration,
    done_steps: usize,
    predicted_at: MonotonicTime,
}

impl JobOutlook {
    fn new(job: &JobRecord, limit: Option<&ResourceLimit>, model: &WorkModel, now: MonotonicTime) -> Self {
        let durations = (0u16..).zip(&job.submission.spec.steps).map(|(step, _)| model.predict(&job.submission, step));
        let durations: Vec<Duration> = durations.collect();
        Self {
            path: critical_path(job, limit, &durations, StepRecord::task_count),
            remaining: critical_path(job, limit, &durations, StepRecord::remaining_count),
            done_steps: done_steps(job),
            predicted_at: now,
        }
    }
}

/// The critical paths that have been predicted.
#[derive(Debug, Default)]
pub(crate) struct JobOutlooks {
    outlooks: SortedMap<JobId, JobOutlook>,
}

impl JobOutlooks {
    /// Returns the critical path of a job, as predicted less than [`OUTLOOK_INTERVAL`] ago. `limit` is that of its
    /// workspace.
    pub(crate) fn outlook(
        &mut self,
        id: JobId,
        job: &JobRecord,
        limit: Option<&ResourceLimit>,
        model: &WorkModel,
        now: MonotonicTime,
    ) -> JobOutlook {
        let outlook = self.outlooks.entry(id, || JobOutlook::new(job, limit, model, now));
        if now.since(outlook.predicted_at) >= OUTLOOK_INTERVAL || outlook.done_steps != done_steps(job) {
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

/// Returns the number of steps that are done in the first occurrence.
fn done_steps(job: &JobRecord) -> usize {
    let Some(occurrence) = job.occurrences.first() else { return 0 };
    occurrence.steps.iter().filter(|step| step.is_done()).count()
}

/// Returns the duration of the critical path given those of the steps and the number of tasks that count of each step.
/// More tasks than the limit of the job's workspace permits at a time run in several waves.
fn critical_path(
    job: &JobRecord,
    limit: Option<&ResourceLimit>,
    durations: &[Duration],
    tasks: impl Fn(&StepRecord) -> u32,
) -> Duration {
    let Some(occurrence) = job.occurrences.first() else { return Duration::ZERO };
    let mut ends: Vec<Duration> = Vec::with_capacity(durations.len());
    for ((spec, record), duration) in job.submission.spec.steps.iter().zip(&occurrence.steps).zip(durations) {
        let start = spec.depends_on.iter().filter_map(|earlier| ends.get(usize::from(*earlier))).max();
        let duration = *duration * wave_count(spec, limit, tasks(record));
        ends.push(start.copied().unwrap_or_default() + duration);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns in how many waves a number of the step's tasks run.
fn wave_count(spec: &StepSpec, limit: Option<&ResourceLimit>, tasks: u32) -> u32 {
    let width = limit.map_or(u32::MAX, |limit| limit.permitted_count(&ResourceSize::default(), &spec.size));
    tasks.div_ceil(width.max(1))
}
