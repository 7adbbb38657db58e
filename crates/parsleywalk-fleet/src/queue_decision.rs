//! Decisions about callers' requests to queues.

use parsleywalk_batch::{ApiKey, BatchState, Dispatcher, JobId, JobQueue, JobSpec, JobSubmission};
use parsleywalk_units::{MonotonicTime, WorkspaceName};

use crate::pending_jobs::PendingJobs;
use crate::queue_caller::QueueCaller;
use crate::{LeaderReply, QueueAction};

/// A caller's request to a queue.
#[derive(Debug)]
pub(crate) struct QueueRequest {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) action: QueueAction,
    pub(crate) key: Option<ApiKey>,
}

/// A job to be stored, with its owner.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct OwnedSubmission {
    pub(crate) submission: Box<JobSubmission>,
    pub(crate) owner: Option<WorkspaceName>,
}

/// The way in which a request is handled.
#[derive(Debug, PartialEq)]
pub(crate) enum QueueDecision {
    /// The request is answered immediately.
    Reply(LeaderReply),
    /// The job is stored unless admission control refuses it.
    Submit(OwnedSubmission),
    /// The job is stored as cancelled, because its cancel arrived first.
    SubmitCancelled(OwnedSubmission),
    /// The job is cancelled.
    Cancel(JobId),
    /// A job that is not known is cancelled: the tombstone is stored, so that no copy of the job which arrives later
    /// runs.
    CancelUnknown(OwnedSubmission),
}

/// The leader's knowledge by which requests are decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaderKnowledge<'a> {
    pub(crate) state: &'a BatchState,
    pub(crate) dispatcher: &'a Dispatcher,
    pub(crate) pending_jobs: &'a PendingJobs,
    pub(crate) now: MonotonicTime,
    pub(crate) unix_ms: u64,
}

/// Decides how a caller's request is handled.
pub(crate) fn decide(knowledge: LeaderKnowledge<'_>, request: QueueRequest) -> QueueDecision {
    let LeaderKnowledge { state, dispatcher, pending_jobs, now, unix_ms } = knowledge;
    let QueueRequest { host, path, action, key } = request;
    let Some(configuration) = state.configuration() else {
        return QueueDecision::Reply(LeaderReply::NoConfiguration);
    };
    let Some(position) = configuration.queue_position(&host, &path) else {
        return QueueDecision::Reply(LeaderReply::NoQueue);
    };
    let caller = match QueueCaller::identify(state, position, key.as_ref()) {
        Ok(caller) => caller,
        Err(reply) => return QueueDecision::Reply(reply),
    };
    let queue = &configuration.queues[position];
    let job_text = &path[queue.path_prefix.len()..];
    let job = job_text.parse::<JobId>().ok();
    let known_owner = |job| {
        let stored = state.job(job).and_then(|record| record.workspace.as_ref());
        stored.or_else(|| pending_jobs.owner(job))
    };
    if let Some(job) = job
        && !caller.may_use(known_owner(job))
    {
        log::info!("event=request_forbidden job={job} queue={}", queue.name);
        return QueueDecision::Reply(LeaderReply::Forbidden);
    }
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
                let submission = Box::new(JobSubmission::tombstone(job, queue, unix_ms));
                let owner = caller.workspace().map(|workspace| workspace.name.clone());
                QueueDecision::CancelUnknown(OwnedSubmission { submission, owner })
            }
            Some(record) if record.is_tombstone() => QueueDecision::Reply(LeaderReply::NoJob),
            Some(record) if record.status.is_final() => QueueDecision::Reply(LeaderReply::Done),
            Some(_) => {
                log::info!("event=cancel_received job={job} queue={} known=true", queue.name);
                QueueDecision::Cancel(job)
            }
        },
        (QueueAction::Read | QueueAction::Cancel, None) => QueueDecision::Reply(LeaderReply::NoJob),
        (QueueAction::Submit(spec), Some(job)) => submit(state, queue, caller, unix_ms, job, *spec),
        (QueueAction::Submit(_), None) => {
            QueueDecision::Reply(LeaderReply::Invalid("the path does not end in a job id".to_owned()))
        }
    }
}

/// Decides a submission by a caller who may use the job if it is known.
fn submit(
    state: &BatchState,
    queue: &JobQueue,
    caller: QueueCaller<'_>,
    unix_ms: u64,
    job: JobId,
    spec: JobSpec,
) -> QueueDecision {
    let known = state.job(job);
    if known.is_some_and(|record| !record.is_tombstone()) {
        return QueueDecision::Reply(LeaderReply::Done);
    }
    if let Some(error) = spec.validation_error() {
        return QueueDecision::Reply(LeaderReply::Invalid(error.to_owned()));
    }
    let workspace = caller.workspace();
    if let Some(error) = workspace.and_then(|workspace| workspace.limit_error(&spec)) {
        return QueueDecision::Reply(LeaderReply::Invalid(error));
    }
    let owner = workspace.map(|workspace| workspace.name.clone());
    let submission = OwnedSubmission { submission: Box::new(JobSubmission::new(job, spec, queue, unix_ms)), owner };
    if known.is_some() { QueueDecision::SubmitCancelled(submission) } else { QueueDecision::Submit(submission) }
}

#[cfg(test)]
#[path = "queue_decision_tests.rs"]
mod tests;
