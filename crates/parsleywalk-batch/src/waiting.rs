//! How long jobs and steps have waited, and what they may do when it was long.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::ready_step::ReadyStep;
use crate::urgency::JobUrgency;
use crate::{BatchState, Dispatcher, JobId, JobRecord, SortedMap, StepRecord, StepSpec, TaskKey};

/// A job without a live run for this long, or a long-running step with waiting tasks, gets a worker for one task even if
/// that causes interference, exceeds the limit of a worker on probation, or the worker is quarantined. Callers consider
/// them stuck after about twice as long.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// A long-running task that has waited for this long gets a worker reserved. Callers consider it stuck after about
/// three times as long.
const RESERVATION_DELAY: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Tracks since when jobs with a ready step have had nothing running and since when long-running steps have waited.
    pub(crate) fn track_waiting(&mut self, now: MonotonicTime, state: &BatchState, ready: &[ReadyStep]) {
        // Only what waits for workers gets more of them after a while; what waits for a limit does not.
        let is_held = |step: &ReadyStep| self.workspace_shares.is_held(step);
        let mut idle: SortedMap<JobId, MonotonicTime> = SortedMap::default();
        for step in ready {
            let runs = state.job(step.job).is_some_and(JobRecord::has_live_runs);
            if !runs {
                let since = self.idle_since.get(&step.job).copied().filter(|_| !is_held(step)).unwrap_or(now);
                idle.insert(step.job, since);
            }
        }
        // A placed run doesn't count until a worker lists it, as it may be refused or withdrawn.
        for (job, since) in self.idle_since.iter() {
            if !idle.contains(job) && state.job(*job).is_some_and(JobRecord::has_live_runs) && state.is_active(*job) {
                idle.insert(*job, *since);
            }
        }
        self.idle_since = idle;
        let mut waiting: SortedMap<(JobId, u16), MonotonicTime> = SortedMap::default();
        for step in ready {
            let long_running =
                state.job(step.job).and_then(|job| job.step_spec(step.step)).is_some_and(|spec| spec.long_running);
            if long_running {
                let key = (step.job, step.step);
                let since = self.waiting_since.get(&key).copied().filter(|_| !is_held(step));
                waiting.insert(key, since.unwrap_or(now));
            }
        }
        self.waiting_since = waiting;
    }

    pub(crate) fn has_waited_long(&self, now: MonotonicTime, step: &ReadyStep) -> bool {
        let since = self.waiting_since.get(&(step.job, step.step));
        since.is_some_and(|since| now.since(*since) >= RESERVATION_DELAY)
    }

    /// Sorts the steps by priority and urgency; long-running steps that have waited long go first within their
    /// priority.
    pub(crate) fn sort_ready_steps(&self, now: MonotonicTime, ready: &mut [ReadyStep]) {
        for step in ready.iter_mut().filter(|step| self.has_waited_long(now, step)) {
            step.urgency = JobUrgency::OnTime(Duration::ZERO);
        }
        ready.sort_unstable();
    }

    /// Returns true if the job has no live run and has had nothing running for long, or if tasks of a long-running step
    /// have waited for long.
    pub(crate) fn is_starved(&self, now: MonotonicTime, job: &JobRecord, spec: &StepSpec, step: &ReadyStep) -> bool {
        let is_long = |since: &MonotonicTime| now.since(*since) >= STARVATION_TIMEOUT;
        // A best-effort task beside others of its job can wait for a worker on which it does not interfere.
        let waiting_since = self.waiting_since.get(&(step.job, step.step)).filter(|_| !spec.best_effort);
        let is_idle = !job.has_live_runs() && self.idle_since.get(&step.job).is_some_and(is_long);
        is_idle || waiting_since.is_some_and(is_long)
    }

    /// Returns true if the waiting tasks of a step wait for their restart delays.
    pub(crate) fn is_delayed(
        &self,
        now: MonotonicTime,
        job: &JobRecord,
        id: JobId,
        (occurrence, step): (u32, u16),
        record: &StepRecord,
    ) -> bool {
        let first = TaskKey { job: id, occurrence, step, index: 0 };
        let spec = job.step_spec(step);
        spec.is_some_and(|spec| self.restart_delays.is_step_delayed(now, &first, spec, record.waiting))
    }
}
