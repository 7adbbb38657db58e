//! Headroom and slack under overload.
//!
//! The load that this answers: more best-effort work than can be in time, on workers most of which leave between
//! [`MIN_HEADROOM`] and [`SLACK_HEADROOM`]. Jobs with ample slack wait for workers with more headroom, so that late jobs,
//! which come after them in the order, take the others first. By the time the slack is used up, the cores are in use by work
//! that is late already. While much best-effort work of a service is late, its jobs therefore need no more headroom than that.

use parsleywalk_units::{MilliCores, ServiceName};

#[cfg(doc)]
use crate::placement::{MIN_HEADROOM, SLACK_HEADROOM};
use crate::ready_step::ReadyStep;
use crate::urgency::JobUrgency;
use crate::{BatchState, JobRecord, SortedMap, TaskKey};

/// Late work crowds out other work only if what waits of it is at least one part in this many of the best-effort cores in
/// use. With light load a few jobs are always late, for example because their tasks fail.
const BACKLOG_DIVISOR: u64 = 4;

/// The services whose best-effort jobs do not wait for headroom in a scheduling cycle, although they have slack.
#[derive(Debug, Default)]
pub(crate) struct HeadroomRule<'a> {
    /// The services of which much late or overdue best-effort work waits, in order.
    backlogged: Vec<&'a ServiceName>,
}

impl<'a> HeadroomRule<'a> {
    /// Returns the rule for a cycle in which the given steps wait for capacity.
    pub(crate) fn of<'r>(state: &'a BatchState, waiting: impl Iterator<Item = &'r ReadyStep>) -> Self {
        let mut late: SortedMap<&ServiceName, u64> = SortedMap::default();
        for step in waiting.filter(|step| !matches!(step.urgency, JobUrgency::OnTime(_))) {
            let Some(job) = state.job(step.job).filter(|job| is_best_effort(job, step)) else { continue };
            *late.entry(&job.submission.service, || 0) += waiting_millicores(job, step);
        }
        if late.is_empty() {
            return Self::default();
        }
        let in_use: u64 = state.workers().map(|(_, worker)| u64::from(worker.best_effort_cores.get())).sum();
        let is_backlog = |millicores: u64| millicores.saturating_mul(BACKLOG_DIVISOR) >= in_use;
        let backlogged = late.iter().filter(|(_, millicores)| is_backlog(**millicores)).map(|(service, _)| *service);
        Self { backlogged: backlogged.collect() }
    }

    /// Lets the best-effort steps of the services with a backlog do without [`SLACK_HEADROOM`].
    pub(crate) fn relax(&self, state: &BatchState, ready: &mut [ReadyStep]) {
        if self.backlogged.is_empty() {
            return;
        }
        for step in ready.iter_mut().filter(|step| step.has_slack) {
            let job = state.job(step.job).filter(|job| is_best_effort(job, step));
            let is_backlogged = job.is_some_and(|job| self.backlogged.binary_search(&&job.submission.service).is_ok());
            step.has_slack = !is_backlogged;
        }
    }
}

fn is_best_effort(job: &JobRecord, step: &ReadyStep) -> bool {
    job.step_spec(step.step).is_some_and(|spec| spec.best_effort)
}

/// Returns the cores that the waiting tasks of a step ask for.
fn waiting_millicores(job: &JobRecord, step: &ReadyStep) -> u64 {
    let first = TaskKey { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
    let waiting = job.step(&first).map_or(0, |record| record.waiting);
    let cores = job.step_spec(step.step).map_or(MilliCores::default(), |spec| spec.size.cores);
    u64::from(waiting) * u64::from(cores.get())
}
