//! Tests of decisions about callers' requests.

use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, FencingToken, JobId, JobQueue, JobSpec, JobStatus,
    JobSubmission, QueueConfiguration, StepSpec,
};
use parsleywalk_units::{ConfigurationVersion, MonotonicTime};

use super::{LeaderKnowledge, QueueDecision, decide};
use crate::{LeaderReply, QueueAction};

const PATH: &str = "/checks/00000000000000aa";
const JOB: JobId = JobId::new(0xaa);

fn state() -> BatchState {
    let queue = JobQueue {
        name: "checks".to_owned(),
        host: "example".to_owned(),
        path_prefix: "/checks/".to_owned(),
        service: "planning".parse().expect("a name"),
        priority: 0,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_secs(1),
        timeout: Duration::from_secs(3),
        advice: None,
    };
    let mut state = BatchState::default();
    state.apply(&BatchCommand::Configure(Box::new(QueueConfiguration {
        version: ConfigurationVersion::new(1),
        text: String::new(),
        queues: vec![queue],
        pools: Vec::new(),
        body_limit: 1000,
    })));
    state
}

fn submit() -> QueueAction {
    let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    QueueAction::Submit(Box::new(JobSpec { steps, ..JobSpec::default() }))
}

fn ask(state: &BatchState, action: QueueAction) -> QueueDecision {
    let now = MonotonicTime::from_millis(1);
    let dispatcher = Dispatcher::new(DispatchSettings::default(), FencingToken::new(1), now);
    decide(LeaderKnowledge { state, dispatcher: &dispatcher, now, unix_ms: 0 }, "example", PATH, action)
}

/// Cancels the job, which is not known, as the leader does.
fn cancel_unknown(state: &mut BatchState) {
    let QueueDecision::CancelUnknown(tombstone) = ask(state, QueueAction::Cancel) else { panic!("the job is known") };
    state.apply(&BatchCommand::Submit(tombstone));
    state.apply(&BatchCommand::Cancel { job: JOB });
}

fn store_cancelled(state: &mut BatchState, submission: JobSubmission) {
    for command in submission.into_cancelled() {
        state.apply(&command);
    }
}

/// Guards against a job that runs after its cancel was answered, because the submission arrived later: the tombstone
/// outlives a snapshot, and the job is stored as cancelled.
#[test]
fn a_job_that_was_cancelled_before_its_submission_arrives_never_runs() {
    let mut state = state();
    cancel_unknown(&mut state);
    let mut state = BatchState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(state.active_count(), 0);
    assert_eq!(ask(&state, QueueAction::Read), QueueDecision::Reply(LeaderReply::NoJob), "nobody has submitted it");
    assert_eq!(ask(&state, QueueAction::Cancel), QueueDecision::Reply(LeaderReply::NoJob));
    let QueueDecision::SubmitCancelled(submission) = ask(&state, submit()) else { panic!("the job would run") };
    store_cancelled(&mut state, *submission.clone());
    // A second copy may have been decided before the first was applied.
    store_cancelled(&mut state, *submission);
    assert_eq!(state.active_count(), 0);
    let cancelled = QueueDecision::Reply(LeaderReply::Status(JobStatus::Cancelled));
    assert_eq!(ask(&state, QueueAction::Read), cancelled);
    assert_eq!(ask(&state, submit()), QueueDecision::Reply(LeaderReply::Done));
    assert_eq!(ask(&state, QueueAction::Cancel), QueueDecision::Reply(LeaderReply::Done));
}

/// Guards against a tombstone that hides a job whose submission is committed just before it.
#[test]
fn a_cancel_that_is_decided_before_its_submission_is_applied_cancels_the_job() {
    let mut state = state();
    let QueueDecision::Submit(submission) = ask(&state, submit()) else { panic!("the job is new") };
    let QueueDecision::CancelUnknown(tombstone) = ask(&state, QueueAction::Cancel) else { panic!("not applied yet") };
    for command in
        [BatchCommand::Submit(submission), BatchCommand::Submit(tombstone), BatchCommand::Cancel { job: JOB }]
    {
        state.apply(&command);
    }
    let cancelled = QueueDecision::Reply(LeaderReply::Status(JobStatus::Cancelled));
    assert_eq!(ask(&state, QueueAction::Read), cancelled);
}
