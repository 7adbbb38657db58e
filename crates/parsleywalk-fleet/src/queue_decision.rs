//! Decisions about callers' requests to queues.

use parsleywalk_batch::{BatchState, Dispatcher, JobId, JobQueue, JobSpec, JobSubmission};
use parsleywalk_units::MonotonicTime;

use crate::{LeaderReply, QueueAction};

/// The way in which a request is handled.
#[derive(Debug, PartialEq)]
pub(crate) enum QueueDecision {
    /// The request is answered immediately.
    Reply(LeaderReply),
    /// The job is stored unless admission control refuses it.
    Submit(Box<JobSubmission>),
    /// The job is stored as cancelled, because its cancel arrived first.
    SubmitCancelled(Box<JobSubmission>),
    /// The job is cancelled.
    Cancel(JobId),
    /// A job that is not known is cancelled: the tombstone is stored, so that no copy of the job which arrives later
    /// runs.
    CancelUnknown(Box<JobSubmission>),
}

/// The leader's knowledge by which requests are decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaderKnowledge<'a> {
    pub(crate) state: &'a BatchState,
    pub(crate) dispatcher: &'a Dispatcher,
    pub(crate) now: MonotonicTime,
    pub(crate) unix_ms: u64,
}

/// Decides how a caller's request is handled.
pub(crate) fn decide(knowledge: LeaderKnowledge<'_>, host: &str, path: &str, action: QueueAction) -> QueueDecision {
    let LeaderKnowledge { state, dispatcher, now, unix_ms } = knowledge;
    let Some(configuration) = state.configuration() else {
        return QueueDecision::Reply(LeaderReply::NoConfiguration);
    };
    let Some(queue) = configuration.queue(host, path) else { return QueueDecision::Reply(LeaderReply::NoQueue) };
    let job_text = &path[queue.path_prefix.len()..];
    let job = job_text.parse::<JobId>().ok();
    match (action, job) {
        (QueueAction::Read, None) if job_text.is_empty() => {
            let waiting = dispatcher.waiting_count(now, state, &queue.name);
            let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
            QueueDecision::Reply(LeaderReply::Waiting(waiting))
        }
        (QueueAction::Read, Some(job)) => {
            let record = state.job(job).filter(|record| !record.is_tombstone());
            let status = |record| LeaderReply::Status(dispatcher.status(now, state, job, record));
            QueueDecision::Reply(record.map_or(LeaderReply::NoJob, status))
        }
        (QueueAction::Cancel, Some(job)) => match state.job(job) {
            None => {
                log::info!("event=cancel_received job={job} queue={} known=false", queue.name);
                QueueDecision::CancelUnknown(Box::new(JobSubmission::tombstone(job, queue, unix_ms)))
            }
            Some(record) if record.is_tombstone() => QueueDecision::Reply(LeaderReply::NoJob),
            Some(record) if record.status.is_final() => QueueDecision::Reply(LeaderReply::Done),
            Some(_) => {
                log::info!("event=cancel_received job={job} queue={} known=true", queue.name);
                QueueDecision::Cancel(job)
            }
        },
        (QueueAction::Read | QueueAction::Cancel, None) => QueueDecision::Reply(LeaderReply::NoJob),
        (QueueAction::Submit(spec), Some(job)) => submit(state, queue, unix_ms, job, *spec),
        (QueueAction::Submit(_), None) => {
            QueueDecision::Reply(LeaderReply::Invalid("the path does not end in a job id".to_owned()))
        }
    }
}

fn submit(state: &BatchState, queue: &JobQueue, unix_ms: u64, job: JobId, spec: JobSpec) -> QueueDecision {
    let known = state.job(job);
    if known.is_some_and(|record| !record.is_tombstone()) {
        return QueueDecision::Reply(LeaderReply::Done);
    }
    if let Some(error) = spec.validation_error() {
        return QueueDecision::Reply(LeaderReply::Invalid(error.to_owned()));
    }
    let submission = Box::new(JobSubmission::new(job, spec, queue, unix_ms));
    if known.is_some() { QueueDecision::SubmitCancelled(submission) } else { QueueDecision::Submit(submission) }
}

#[cfg(test)]
#[path = "queue_decision_tests.rs"]
mod tests;
