//! Headroom and slack under overload.
//!
//! The load that this answers: more best-effort work than can be in time, on workers most of which leave between
//! [`MIN_HEADROOM`] and [`SLACK_HEADROOM`]. Jobs with ample slack wait for workers with more headroom, so that late jobs,
//! which come after them in the order, take the others first. By the time the slack is used up, the cores are in use by work
//! that is late already. While best-effort work of a service is late, its jobs therefore need no more headroom than that.

use parsleywalk_units::ServiceName;

#[cfg(doc)]
use crate::placement::{MIN_HEADROOM, SLACK_HEADROOM};
use crate::ready_step::ReadyStep;
use crate::urgency::JobUrgency;
use crate::{BatchState, JobRecord};

/// The services whose best-effort jobs do not wait for headroom in a scheduling cycle, although they have slack.
#[derive(Debug, Default)]
pub(crate) struct HeadroomRule<'a> {
    /// The services with late or overdue best-effort steps that wait, in order.
    backlogged: Vec<&'a ServiceName>,
}

impl<'a> HeadroomRule<'a> {
    /// Returns the rule for a cycle in which the given steps wait for capacity.
    pub(crate) fn of<'r>(state: &'a BatchState, waiting: impl Iterator<Item = &'r ReadyStep>) -> Self {
        let mut rule = Self::default();
        for step in waiting.filter(|step| !matches!(step.urgency, JobUrgency::OnTime(_))) {
            let Some(job) = state.job(step.job).filter(|job| is_best_effort(job, step)) else { continue };
            let service = &job.submission.service;
            if let Err(index) = rule.backlogged.binary_search(&service) {
                rule.backlogged.insert(index, service);
            }
        }
        rule
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
