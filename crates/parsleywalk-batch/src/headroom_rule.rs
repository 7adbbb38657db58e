//! The headroom that best-effort tasks leave to latency-critical ones.
//!
//! The load that this answers: more best-effort work than can be in time, on workers most of which leave between
//! [`MIN_HEADROOM`] and [`SLACK_HEADROOM`]. Jobs with ample slack wait for workers with more headroom, so that late jobs,
//! which come after them in the order, take the others first. By the time the slack is used up, the cores are in use by work
//! that is late already. While best-effort work of a service is late, its jobs therefore need no more headroom than that.

use parsleywalk_units::ServiceName;

use crate::ready_step::ReadyStep;
use crate::urgency::JobUrgency;
use crate::{BatchState, JobRecord};

/// The headroom that must remain for latency-critical tasks when a best-effort task is placed.
pub(crate) const MIN_HEADROOM: f32 = 0.03;
/// The headroom that must remain when the best-effort task's job has slack: about as much as the own load of a
/// latency-critical task grows in the second or two that a best-effort task runs.
pub(crate) const SLACK_HEADROOM: f32 = 0.12;

/// The services whose best-effort jobs need no more than [`MIN_HEADROOM`] in a scheduling cycle, although they have slack.
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

    /// Removes the requirement of [`SLACK_HEADROOM`] from the best-effort steps of the services with a backlog.
    pub(crate) fn relax(&self, state: &BatchState, ready: &mut [ReadyStep]) {
        if self.backlogged.is_empty() {
            return;
        }
        for step in ready.iter_mut().filter(|step| step.needs_slack_headroom) {
            let job = state.job(step.job).filter(|job| is_best_effort(job, step));
            let is_backlogged = job.is_some_and(|job| self.backlogged.binary_search(&&job.submission.service).is_ok());
            step.needs_slack_headroom = !is_backlogged;
        }
    }
}

impl ReadyStep {
    /// Returns the headroom that must remain on a worker that takes a best-effort task of the step.
    pub(crate) const fn min_headroom(&self) -> f32 {
        if self.needs_slack_headroom { SLACK_HEADROOM } else { MIN_HEADROOM }
    }
}

fn is_best_effort(job: &JobRecord, step: &ReadyStep) -> bool {
    job.step_spec(step.step).is_some_and(|spec| spec.best_effort)
}
