//! Which jobs have begun.
//!
//! A job has begun once a worker has listed a run of it, in progress or ended. A placement alone does not count: the
//! worker may be lost before the start order reaches it, or refuse the run. The replicated state holds only the
//! placements, and of what has run the completed tasks, the failures and the checkpoints. The rest is the leader's own
//! knowledge, which a new leader regains from the first reports.
//!
//! A new leader never hears of ends that left no trace in the state, such as those of a long-running gang, which are recorded
//! as stops. A job with such ends is shown as running, so that its status doesn't go back. The count of waiting jobs includes
//! it, since a count must not leave out jobs that wait.

use parsleywalk_units::MonotonicTime;

use crate::admission::LEADER_WARM_UP;
use crate::{BatchState, Dispatcher, JobId, JobRecord, JobStatus, RunOutcome, RunPlacement, SortedMap, WorkerReport};

/// What the leader knows of the active jobs that have begun.
#[derive(Debug, Default)]
pub(crate) struct BegunJobs {
    /// The jobs of which a worker has listed a run.
    jobs: SortedMap<JobId, ()>,
    /// The jobs of which this leader has placed the first run, so that it has heard of every run.
    first_placed: SortedMap<JobId, ()>,
}

impl BegunJobs {
    fn record(&mut self, job: JobId) {
        if !self.jobs.contains(&job) {
            self.jobs.insert(job, ());
        }
    }

    /// Records the jobs of which this leader places the first runs.
    pub(crate) fn record_placed(&mut self, state: &BatchState, placements: &[RunPlacement]) {
        for RunPlacement { task, .. } in placements {
            if state.job(task.job).is_some_and(|record| record.status == JobStatus::Pending) {
                self.first_placed.insert(task.job, ());
            }
        }
    }

    /// Forgets the jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.jobs.retain(|job, ()| state.is_active(*job));
        self.first_placed.retain(|job, ()| state.is_active(*job));
    }
}

impl Dispatcher {
    /// Records the jobs of the runs in a report that the previous one did not list. Those with runs in progress aren't
    /// idle.
    pub(crate) fn record_begun(&mut self, now: MonotonicTime, report: &WorkerReport) {
        let Some(view) = self.workers.get(&report.worker) else { return };
        let running = view.running.iter().filter(|(_, run)| run.first_seen == now).map(|(task, _)| task.job);
        let ended = report.ended.iter().filter(|end| end.outcome != RunOutcome::Refused).map(|end| end.task.job);
        for job in running {
            self.begun_jobs.record(job);
            self.idle_since.remove(&job);
        }
        for job in ended {
            self.begun_jobs.record(job);
        }
    }

    /// Returns the number of a queue's jobs of which no task has started.
    #[must_use]
    pub fn waiting_count(&self, now: MonotonicTime, state: &BatchState, queue: &str) -> usize {
        let of_queue = state.active_jobs().filter(|(_, record)| record.submission.queue == queue);
        of_queue.filter(|(id, record)| !self.has_begun(now, state, *id, record)).count()
    }

    /// Returns a job's status as it is shown to callers. A job that has been placed and has not begun is pending; one with
    /// runs that an earlier leader placed, and whose ends left no trace, is taken to have begun.
    #[must_use]
    pub fn status(&self, now: MonotonicTime, state: &BatchState, id: JobId, record: &JobRecord) -> JobStatus {
        let is_inherited = !self.begun_jobs.first_placed.contains(&id);
        let has_begun = self.has_begun(now, state, id, record) || (is_inherited && record.has_ended_run());
        match record.status {
            JobStatus::Running if !has_begun => JobStatus::Pending,
            status => status,
        }
    }

    fn has_begun(&self, now: MonotonicTime, state: &BatchState, id: JobId, record: &JobRecord) -> bool {
        record.status != JobStatus::Pending
            && (self.begun_jobs.jobs.contains(&id) || record.has_run() || self.may_have_begun(now, state, id))
    }

    /// Returns true if this leader is new and has not heard from a worker on which the job is placed.
    fn may_have_begun(&self, now: MonotonicTime, state: &BatchState, id: JobId) -> bool {
        let (first, last) = crate::TaskKey::bounds(id);
        let is_new = now.since(self.leader_since) < LEADER_WARM_UP;
        is_new
            && state.workers().any(|(worker, record)| {
                !self.workers.contains(worker) && record.runs.range(&first, &last).next().is_some()
            })
    }
}
