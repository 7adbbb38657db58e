//! Replies to queries of clients and operators.

use parsleywalk_api::{JobExplanation, JobPhase, TaskExplanation};
use parsleywalk_control::ControlState;
use parsleywalk_units::{JobKey, TaskId};
use serde::Serialize;

use crate::LeaderReply;
use crate::leader_state::LeaderState;

/// Returns a job's status.
pub(crate) fn job_status(state: &ControlState, job: &JobKey) -> LeaderReply {
    state.job_status(job).map_or(LeaderReply::NotFound, |status| json(&status))
}

/// Returns a job's results, once it has ended.
pub(crate) fn job_result(state: &ControlState, job: &JobKey) -> LeaderReply {
    if let Some(result) = state.job_result(job) {
        return json(&result);
    }
    if state.job(job).is_some() { LeaderReply::NotEnded } else { LeaderReply::NotFound }
}

/// Explains for each live task of a job why it is in its phase.
pub(crate) fn explain_job(state: &ControlState, leader_state: Option<&LeaderState>, job: &JobKey) -> LeaderReply {
    let Some(status) = state.job_status(job) else { return LeaderReply::NotFound };
    let unfinished = status.tasks.iter().filter(|task| state.task(task.task).is_some());
    let tasks = unfinished
        .map(|task| TaskExplanation { task: task.task, reason: explain_task(leader_state, status.phase, task.task) })
        .collect();
    json(&JobExplanation { job: job.clone(), phase: status.phase, tasks })
}

fn explain_task(leader_state: Option<&LeaderState>, phase: JobPhase, task: TaskId) -> String {
    if phase == JobPhase::Cancelling {
        return "its job is cancelled; the worker has to confirm that it stopped".to_owned();
    }
    match leader_state {
        Some(leader_state) => leader_state.policy.explain(task).to_string(),
        None => "there is no leader that could place it".to_owned(),
    }
}

fn json<T: Serialize>(body: &T) -> LeaderReply {
    LeaderReply::Json(serde_json::to_vec(body).unwrap_or_default())
}
