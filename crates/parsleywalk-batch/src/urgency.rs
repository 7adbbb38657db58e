//! The order in which waiting work is served.
//!
//! Under overload, first come first served makes every job late: each waits behind jobs whose callers have stopped
//! counting on them. Within a priority, jobs that can still end on time go first, the one with the earliest deadline before
//! the others: by slack, long jobs that are about to be late would take the workers from short ones, and then be late all
//! the same, since estimates are rough; then those that are late and still of use, the one with the least work left first; then the rest, in the
//! order of submission.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::{JobRecord, StepRecord};

/// A job later than this many times its objective is of no use to its caller any more.
const USEFUL_LATENESS_FACTOR: u32 = 3;

/// Lasting tasks lose a little with each second that they wait, and hold what they get for long: short jobs that would
/// be late otherwise go first.
const LONG_RUNNING_DEADLINE: Duration = Duration::from_secs(3);

/// A job with this part of its slack left, in percent, is in no hurry.
const AMPLE_SLACK_PERCENT: u32 = 60;

/// What decides about a job's turn. Lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JobUrgency {
    /// Can end on time, and must end within this time.
    OnTime(Duration),
    /// Late and of use, with this much work left on its longest chain.
    Late(Duration),
    /// Too late to be of use.
    Overdue,
}

impl JobUrgency {
    /// Judges a job that was accepted at `since`.
    pub(crate) fn of(job: &JobRecord, since: MonotonicTime, now: MonotonicTime) -> Self {
        if job.submission.spec.schedule.is_some() {
            return Self::OnTime(Duration::ZERO);
        }
        if job.submission.spec.steps.iter().any(|step| step.lasting) {
            return Self::OnTime(LONG_RUNNING_DEADLINE);
        }
        let objective = objective(job);
        let age = now.since(since);
        let remaining = critical_path(job, |step| !step.is_done());
        if age + remaining <= objective {
            Self::OnTime(objective.saturating_sub(age))
        } else if age + remaining <= objective * USEFUL_LATENESS_FACTOR {
            Self::Late(remaining)
        } else {
            Self::Overdue
        }
    }
}

/// Tells whether the job has most of its slack left, so that its tasks can wait for a good place.
pub(crate) fn has_ample_slack(job: &JobRecord, since: MonotonicTime, now: MonotonicTime) -> bool {
    let path_length = critical_path(job, |_| true);
    let total_slack = objective(job).saturating_sub(path_length);
    let remaining = critical_path(job, |step| !step.is_done());
    let slack = objective(job).saturating_sub(now.since(since) + remaining);
    !total_slack.is_zero() && slack * 100 >= total_slack * AMPLE_SLACK_PERCENT
}

/// The time within which the job's caller expects its end.
fn objective(job: &JobRecord) -> Duration {
    let path_length = critical_path(job, |_| true);
    path_length.mul_f32(job.submission.stretch.clamp(1.0, 100.0)) + job.submission.latency_objective
}

/// The estimated time of the longest chain over the steps for which `counts` holds.
fn critical_path(job: &JobRecord, counts: impl Fn(&StepRecord) -> bool) -> Duration {
    let Some(occurrence) = job.occurrences.first() else { return Duration::ZERO };
    let steps = &job.submission.spec.steps;
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (spec, record) in steps.iter().zip(&occurrence.steps) {
        let start = spec.depends_on.iter().filter_map(|earlier| ends.get(usize::from(*earlier))).max();
        let duration = if counts(record) { spec.estimate } else { Duration::ZERO };
        ends.push(start.copied().unwrap_or_default() + duration);
    }
    ends.into_iter().max().unwrap_or_default()
}
