//! Which jobs are refused at submission.
//!
//! The load that this answers: more lasting work than a service has room for. Lasting tasks never end by themselves, so
//! each that is accepted beyond the room takes processors for good, until short work of the same priority finds none and
//! is late without exception. A lasting job is therefore refused when the lasting work of its service would leave less
//! than what short work has asked for lately. Its caller can go elsewhere or come back; a job that was accepted and waits
//! can't.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ServiceName};

use crate::{BatchState, Dispatcher, JobSubmission, SortedMap};

/// The time over which the demand of short work is averaged: several waves of callers.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// The room that short work gets, in percent of its average demand, since it comes in bursts.
const SHORT_DEMAND_PERCENT: u64 = 150;
/// When the caller of a refused lasting job is to come back. Lasting jobs go on for a minute or more, so where there are
/// dozens, room comes every few seconds.
const LONG_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A leader that took office less than this ago has not heard of all workers: they report within a second, and those that
/// knew its predecessor look for it first.
const LEADER_WARM_UP: Duration = Duration::from_secs(2);

/// Why a job is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRefusal {
    /// When to come back.
    pub retry_after: Duration,
    /// The reason, for the log.
    pub reason: &'static str,
}

/// An average of the work that arrives, which weighs recent work more.
#[derive(Debug, Clone, Copy, Default)]
struct WorkRate {
    /// Thousandths of a core times seconds, weighed by age.
    millicore_seconds: f64,
    updated: MonotonicTime,
}

impl WorkRate {
    fn decay(&mut self, now: MonotonicTime) {
        let age = now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.millicore_seconds *= (-age).exp();
        self.updated = now;
    }

    /// The processors that the work takes, in thousandths.
    fn millicores(mut self, now: MonotonicTime) -> u64 {
        self.decay(now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "processors of a deployment")]
        let millicores = (self.millicore_seconds / DEMAND_WINDOW.as_secs_f64()) as u64;
        millicores
    }
}

/// The demand of short work, by service.
#[derive(Debug, Default)]
pub(crate) struct ShortTaskDemand {
    rates: SortedMap<ServiceName, WorkRate>,
}

impl ShortTaskDemand {
    fn add(&mut self, now: MonotonicTime, submission: &JobSubmission) {
        let rate = self.rates.entry(submission.service.clone(), WorkRate::default);
        rate.decay(now);
        rate.millicore_seconds += short_millicore_seconds(submission);
    }

    fn millicores(&self, now: MonotonicTime, service: &ServiceName) -> u64 {
        self.rates.get(service).map_or(0, |rate| rate.millicores(now))
    }
}

impl Dispatcher {
    /// Decides whether a new job is refused, and takes note of one that is not.
    pub fn admit(&mut self, now: MonotonicTime, state: &BatchState, submission: &JobSubmission) -> Option<JobRefusal> {
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
        self.short_demand.add(now, submission);
        None
    }

    /// The processors of a service that no lasting task holds or waits for, in thousandths.
    fn free_for_long_running(&self, now: MonotonicTime, state: &BatchState, service: &ServiceName) -> u64 {
        let silence_timeout = self.settings.silence_timeout;
        let usable = self.workers.iter().filter(|(_, view)| {
            view.service == *service
                && !view.draining
                && !state.is_out_of_service(&view.zone)
                && now.since(view.reported_at) < silence_timeout
        });
        let free: u64 = usable
            .map(|(_, view)| u64::from(view.capacity.cores.saturating_sub(view.long_running.held.cores).get()))
            .sum();
        let waiting: u64 = state
            .active_jobs()
            .filter(|(_, job)| job.submission.service == *service)
            .flat_map(|(_, job)| job.submission.spec.steps.iter().zip(&job.occurrences[0].steps))
            .filter(|(spec, _)| spec.lasting && !spec.filling)
            .map(|(spec, record)| u64::from(record.waiting) * u64::from(spec.size.cores.get()))
            .sum();
        free.saturating_sub(waiting)
    }
}

/// The processors that the job's lasting tasks hold for good, in thousandths.
fn long_running_millicores(submission: &JobSubmission) -> u64 {
    let lasting = submission.spec.steps.iter().filter(|step| step.lasting && !step.filling);
    lasting.map(|step| u64::from(step.count) * u64::from(step.size.cores.get())).sum()
}

/// The processor time of the job's short tasks, in thousandths of a core times seconds.
fn short_millicore_seconds(submission: &JobSubmission) -> f64 {
    let short = submission.spec.steps.iter().filter(|step| !step.lasting && !step.filling);
    short.map(|step| f64::from(step.count) * f64::from(step.size.cores.get()) * step.estimate.as_secs_f64()).sum()
}
