//! The order in which waiting jobs are served.
//!
//! Under overload, first come, first served makes every job late, because each waits behind jobs whose callers have
//! given up on them. Within a priority, the order is therefore: first the jobs that can still end on time, by earliest
//! deadline; then the late jobs that are still useful, by least remaining work; then the rest, in the order of
//! submission.
//!
//! Jobs that can end on time are not ordered by least slack. Estimates are rough, so long jobs about to be late would
//! take the workers from short ones and be late nevertheless.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::job_outlook::JobOutlook;
use crate::{JobRecord, JobSubmission};

/// A job later than this many times its objective is no longer useful to its caller.
const USEFUL_LATENESS_FACTOR: u32 = 3;

/// The deadline assumed for long-running jobs. They lose little per second of waiting and then hold their capacity for
/// long, so short jobs that would otherwise be late go first.
const LONG_RUNNING_DEADLINE: Duration = Duration::from_secs(3);

/// The highest stretch that decisions use.
const MAX_STRETCH: f32 = 100.0;
/// The longest latency objective that decisions use. An operator may configure any number, and sums of unbounded
/// durations overflow.
const MAX_LATENCY_OBJECTIVE: Duration = Duration::from_hours(24);

/// A job with at least this percentage of its slack left has ample slack.
const AMPLE_SLACK_PERCENT: u32 = 60;

/// The urgency of a job; lower values go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JobUrgency {
    /// The job can end on time; the value is the time until its deadline.
    OnTime(Duration),
    /// The job is late but still useful; the value is the remaining work on its critical path.
    Late(Duration),
    /// The job is too late to be useful.
    Overdue,
}

impl JobUrgency {
    /// Returns the urgency of a job that was accepted at `since`.
    pub(crate) fn of(job: &JobRecord, outlook: &JobOutlook, since: MonotonicTime, now: MonotonicTime) -> Self {
        if job.submission.spec.schedule.is_some() {
            return Self::OnTime(Duration::ZERO);
        }
        if job.submission.spec.steps.iter().any(|step| step.long_running) {
            return Self::OnTime(LONG_RUNNING_DEADLINE);
        }
        let objective = objective(job, outlook);
        let age = now.since(since);
        let remaining = outlook.remaining;
        if age + remaining <= objective {
            Self::OnTime(objective.saturating_sub(age))
        } else if age + remaining <= objective * USEFUL_LATENESS_FACTOR {
            Self::Late(remaining)
        } else {
            Self::Overdue
        }
    }
}

/// Returns true if most of the job's slack is left, so that its tasks can wait for a worker with more headroom.
pub(crate) fn has_ample_slack(job: &JobRecord, outlook: &JobOutlook, since: MonotonicTime, now: MonotonicTime) -> bool {
    let objective = objective(job, outlook);
    let total_slack = objective.saturating_sub(outlook.path);
    let slack = objective.saturating_sub(now.since(since) + outlook.remaining);
    !total_slack.is_zero() && slack * 100 >= total_slack * AMPLE_SLACK_PERCENT
}

/// Returns how much later the job's remaining work may start so that it is in time, or `None` for jobs without a deadline.
pub(crate) fn slack(
    job: &JobRecord,
    outlook: &JobOutlook,
    since: MonotonicTime,
    now: MonotonicTime,
) -> Option<Duration> {
    let has_deadline = job.submission.spec.schedule.is_none();
    has_deadline.then(|| objective(job, outlook).saturating_sub(now.since(since) + outlook.remaining))
}

/// Returns the latency objective of the job, counted from its acceptance.
fn objective(job: &JobRecord, outlook: &JobOutlook) -> Duration {
    submission_objective(&job.submission, outlook)
}

/// Returns the latency objective of a submitted job.
pub(crate) fn submission_objective(submission: &JobSubmission, outlook: &JobOutlook) -> Duration {
    let stretch = submission.stretch.clamp(1.0, MAX_STRETCH);
    outlook.path.mul_f32(stretch) + submission.latency_objective.min(MAX_LATENCY_OBJECTIVE)
}
