//! Tests of decisions about callers' requests.

use std::time::Duration;

use parsleywalk_batch::{
    ApiKey, BatchCommand, BatchState, DispatchSettings, Dispatcher, FencingToken, JobId, JobQueue, JobSpec, JobStatus,
    QueueConfiguration, StepSpec, Workspace, WorkspaceConfiguration,
};
use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ConfigurationVersion, MemoryBytes, MilliCores, MonotonicTime, ResourceSize};

use super::{LeaderKnowledge, OwnedSubmission, QueueDecision, QueueRequest, decide};
use crate::pending_jobs::PendingJobs;
use crate::{LeaderReply, QueueAction};

const PATH: &str = "/checks/00000000000000aa";
const PUBLIC_PATH: &str = "/open/00000000000000aa";
const JOB: JobId = JobId::new(0xaa);

fn state() -> BatchState {
    let mut state = BatchState::default();
    state.apply(&configuration(1));
    state
}

fn configuration(version: u64) -> BatchCommand {
    let queue = |name: &str| JobQueue {
        name: name.to_owned(),
        host: "example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "planning".parse().expect("a name"),
        priority: 0,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_secs(1),
        timeout: Duration::from_secs(3),
        advice: None,
    };
    BatchCommand::Configure(Box::new(QueueConfiguration {
        version: ConfigurationVersion::new(version),
        text: String::new(),
        queues: vec![queue("checks"), queue("open")],
        pools: Vec::new(),
        body_limit: 1000,
    }))
}

/// Activates a configuration with the workspaces alpha, whose keys are given, and beta, whose key is `b1`. The queue
/// `open` is public.
fn configure_workspaces(state: &mut BatchState, version: u64, alpha_keys: &[&str]) {
    let workspace = |name: &str, keys: &[&str]| Workspace {
        name: name.parse().expect("a name"),
        keys: keys.iter().map(|key| ApiKey::new((*key).to_owned())).collect(),
        weight: 1,
        limit: ResourceLimit { cores: Some(MilliCores::new(4000)), ..ResourceLimit::default() },
    };
    state.apply(&configuration(version));
    state.apply(&BatchCommand::ConfigureWorkspaces(Box::new(WorkspaceConfiguration {
        version: ConfigurationVersion::new(version),
        workspaces: vec![workspace("alpha", alpha_keys), workspace("beta", &["b1"])],
        public_queues: vec![1],
    })));
}

fn submit() -> QueueAction {
    let steps = vec![StepSpec { count: 2, ..StepSpec::default() }];
    QueueAction::Submit(Box::new(JobSpec { steps, ..JobSpec::default() }))
}

fn ask(state: &BatchState, action: QueueAction) -> QueueDecision {
    ask_as(state, &PendingJobs::default(), None, PATH, action)
}

fn ask_as(
    state: &BatchState,
    pending_jobs: &PendingJobs,
    key: Option<&str>,
    path: &str,
    action: QueueAction,
) -> QueueDecision {
    let now = MonotonicTime::from_millis(1);
    let dispatcher = Dispatcher::new(DispatchSettings::default(), FencingToken::new(1), now);
    let knowledge = LeaderKnowledge { state, dispatcher: &dispatcher, pending_jobs, now, unix_ms: 0 };
    let key = key.map(|key| ApiKey::new(key.to_owned()));
    decide(knowledge, QueueRequest { host: "example".to_owned(), path: path.to_owned(), action, key })
}

/// Cancels the job, which is not known, as the leader does.
fn cancel_unknown(state: &mut BatchState) {
    let QueueDecision::CancelUnknown(tombstone) = ask(state, QueueAction::Cancel) else { panic!("the job is known") };
    state.apply(&tombstone.submission.into_command(tombstone.owner));
    state.apply(&BatchCommand::Cancel { job: JOB });
}

fn store_cancelled(state: &mut BatchState, job: OwnedSubmission) {
    for command in job.submission.into_cancelled(job.owner) {
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
    store_cancelled(&mut state, submission.clone());
    // A second copy may have been decided before the first was applied.
    store_cancelled(&mut state, submission);
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
    let QueueDecision::Submit(OwnedSubmission { submission, .. }) = ask(&state, submit()) else {
        panic!("the job is new")
    };
    let QueueDecision::CancelUnknown(OwnedSubmission { submission: tombstone, .. }) = ask(&state, QueueAction::Cancel)
    else {
        panic!("not applied yet")
    };
    for command in [submission.into_command(None), tombstone.into_command(None), BatchCommand::Cancel { job: JOB }] {
        state.apply(&command);
    }
    let cancelled = QueueDecision::Reply(LeaderReply::Status(JobStatus::Cancelled));
    assert_eq!(ask(&state, QueueAction::Read), cancelled);
}

/// Returns the decision as a text that names the owner of what is stored.
fn summary(decision: &QueueDecision) -> String {
    let owner = |job: &OwnedSubmission| job.owner.as_ref().map_or("-".to_owned(), ToString::to_string);
    match decision {
        QueueDecision::Reply(reply) => format!("{reply:?}"),
        QueueDecision::Submit(job) => format!("submit {}", owner(job)),
        QueueDecision::SubmitCancelled(job) => format!("submit cancelled {}", owner(job)),
        QueueDecision::Cancel(_) => "cancel".to_owned(),
        QueueDecision::CancelUnknown(job) => format!("tombstone {}", owner(job)),
    }
}

/// What the leader knows of the job.
#[derive(Debug, Clone, Copy)]
enum Known {
    Nothing,
    /// Alpha's submission is being committed.
    Pending,
    /// The job is stored for alpha.
    Stored,
    /// Alpha has cancelled the job before it arrived.
    Tombstone,
    /// The job was stored before the deployment had workspaces.
    Unowned,
}

/// What is known, the key and the path of a request, its action, and the summary of the decision.
type OwnershipRow = (Known, Option<&'static str>, &'static str, fn() -> QueueAction, &'static str);

/// Guards against requests that reach another workspace's job or go without a key, whatever the queue: a submission that
/// is being committed and a tombstone have owners too.
#[test]
fn keys_decide_who_may_use_a_job() {
    let read = || QueueAction::Read;
    let cancel = || QueueAction::Cancel;
    let rows: &[OwnershipRow] = &[
        (Known::Nothing, None, "/other/00000000000000aa", read, "NoQueue"),
        (Known::Nothing, None, "/checks/", read, "Unauthorized"),
        (Known::Nothing, Some("b1"), "/checks/", read, "Waiting(0)"),
        (Known::Nothing, None, "/open/", read, "Waiting(0)"),
        (Known::Nothing, None, PATH, submit, "Unauthorized"),
        (Known::Nothing, Some("a"), PATH, submit, "Unauthorized"),
        (Known::Nothing, Some("a2"), PATH, submit, "submit alpha"),
        (Known::Nothing, None, PUBLIC_PATH, submit, "submit -"),
        (Known::Nothing, Some("a"), PUBLIC_PATH, submit, "submit -"),
        (Known::Nothing, Some("b1"), PUBLIC_PATH, submit, "submit beta"),
        (Known::Nothing, Some("b1"), PATH, cancel, "tombstone beta"),
        (Known::Pending, Some("b1"), PATH, cancel, "Forbidden"),
        (Known::Pending, None, PUBLIC_PATH, submit, "Forbidden"),
        (Known::Pending, Some("a1"), PATH, cancel, "tombstone alpha"),
        (Known::Stored, Some("a2"), PATH, read, "Status(Pending)"),
        (Known::Stored, Some("a1"), PATH, submit, "Done"),
        (Known::Stored, Some("a1"), PUBLIC_PATH, cancel, "cancel"),
        (Known::Stored, None, PATH, read, "Unauthorized"),
        (Known::Stored, Some("b1"), PATH, read, "Forbidden"),
        (Known::Stored, Some("b1"), PATH, cancel, "Forbidden"),
        (Known::Stored, Some("b1"), PATH, submit, "Forbidden"),
        (Known::Stored, Some("b1"), PUBLIC_PATH, read, "Forbidden"),
        (Known::Stored, None, PUBLIC_PATH, cancel, "Forbidden"),
        (Known::Tombstone, Some("b1"), PATH, submit, "Forbidden"),
        (Known::Tombstone, Some("b1"), PATH, read, "Forbidden"),
        (Known::Tombstone, Some("a2"), PATH, submit, "submit cancelled alpha"),
        (Known::Tombstone, Some("a2"), PATH, read, "NoJob"),
        (Known::Unowned, None, PATH, read, "Unauthorized"),
        (Known::Unowned, Some("b1"), PATH, read, "Status(Pending)"),
        (Known::Unowned, Some("b1"), PATH, submit, "Done"),
    ];
    for (known, key, path, action, expected) in rows {
        let mut state = state();
        let mut pending_jobs = PendingJobs::default();
        let alpha = Some("alpha".parse().expect("a name"));
        let as_alpha = |state: &BatchState, action| ask_as(state, &PendingJobs::default(), Some("a1"), PATH, action);
        if let Known::Unowned = known {
            let QueueDecision::Submit(job) = ask(&state, submit()) else { panic!("the job is new") };
            state.apply(&job.submission.into_command(job.owner));
        }
        configure_workspaces(&mut state, 2, &["a1", "a2"]);
        match known {
            Known::Nothing | Known::Unowned => {}
            Known::Pending => pending_jobs.begin(JOB, alpha.as_ref()),
            Known::Stored => {
                let QueueDecision::Submit(job) = as_alpha(&state, submit()) else { panic!("the job is new") };
                state.apply(&job.submission.into_command(job.owner));
            }
            Known::Tombstone => {
                let QueueDecision::CancelUnknown(job) = as_alpha(&state, cancel()) else { panic!("the job is new") };
                state.apply(&job.submission.into_command(job.owner));
                state.apply(&BatchCommand::Cancel { job: JOB });
            }
        }
        let decision = ask_as(&state, &pending_jobs, *key, path, action());
        assert_eq!(summary(&decision), *expected, "{known:?} {key:?} {path} {:?}", action());
    }
}

/// Guards against a job that nobody can cancel, or that runs on under nobody's limit, after the key that submitted it was
/// revoked; and against keys that still matter once a deployment has no workspaces.
#[test]
fn a_job_keeps_its_workspace_when_its_key_is_revoked() {
    let mut state = state();
    configure_workspaces(&mut state, 2, &["a1"]);
    let ask = |state: &BatchState, key, action| ask_as(state, &PendingJobs::default(), key, PATH, action);
    let QueueDecision::Submit(job) = ask(&state, Some("a1"), submit()) else { panic!("the job is new") };
    state.apply(&job.submission.into_command(job.owner));
    configure_workspaces(&mut state, 3, &["a3"]);
    let mut state = BatchState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(ask(&state, Some("a1"), QueueAction::Read), QueueDecision::Reply(LeaderReply::Unauthorized));
    assert_eq!(ask(&state, Some("b1"), QueueAction::Cancel), QueueDecision::Reply(LeaderReply::Forbidden));
    assert_eq!(ask(&state, Some("a3"), QueueAction::Cancel), QueueDecision::Cancel(JOB));
    state.apply(&configuration(4));
    assert_eq!(ask(&state, None, QueueAction::Cancel), QueueDecision::Cancel(JOB));
    assert_eq!(ask(&state, Some("b1"), QueueAction::Cancel), QueueDecision::Cancel(JOB));
}

/// Guards against a job that is accepted and then waits forever, because a task or a gang of it exceeds its workspace's
/// limit of 4 cores.
#[test]
fn a_job_that_can_never_fit_its_limit_is_invalid() {
    let mut state = state();
    configure_workspaces(&mut state, 2, &["a1"]);
    let rows = [
        (1, 4000, false, "submit alpha"),
        (9, 4000, false, "submit alpha"),
        (1, 4001, false, "a task of step 1 needs 4.001 cores, over the limit of 4 of workspace alpha"),
        (4, 1000, true, "submit alpha"),
        (5, 1000, true, "the gang of step 1 needs 5 cores, over the limit of 4 of workspace alpha"),
    ];
    for (count, millicores, gang, expected) in rows {
        let size = ResourceSize::new(MilliCores::new(millicores), MemoryBytes::new(1));
        let steps =
            vec![StepSpec { count: 1, ..StepSpec::default() }, StepSpec { count, size, gang, ..StepSpec::default() }];
        let action = QueueAction::Submit(Box::new(JobSpec { steps, ..JobSpec::default() }));
        let decision = ask_as(&state, &PendingJobs::default(), Some("a1"), PATH, action.clone());
        let found = match decision {
            QueueDecision::Reply(LeaderReply::Invalid(reason)) => reason,
            other => summary(&other),
        };
        assert_eq!(found, expected);
        let unowned = ask_as(&state, &PendingJobs::default(), None, PUBLIC_PATH, action);
        assert_eq!(summary(&unowned), "submit -", "no workspace limits it");
    }
}
