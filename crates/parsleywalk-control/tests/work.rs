//! Rules for jobs, attempts and instances, one per test.

mod common;

use common::{
    cancel, catalog, configure, evict, fuzz_catalog, job_key, phase, ready_state, register, report, service, size,
    start, start_running, submit, time, unit, worker_report, zone,
};
use parsleywalk_api::{JobPhase, ReportedPhase, TaskPhase, WorkerOrder};
use parsleywalk_control::{CommandRefusal, ControlCommand, ControlReply, ControlState, StateChange, StopReason};
use parsleywalk_units::{AttemptNumber, Incarnation, TaskClass, TaskId, ZoneDirection};
use rstest::rstest;

const HOUR_MS: u64 = 3_600_000;

fn report_end(
    state: &mut ControlState,
    worker: &str,
    task: u64,
    phase: ReportedPhase,
    checkpoint: Option<&str>,
    text: &str,
) {
    let attempt = state.task(TaskId::new(task)).unwrap().attempt().get();
    let mut message = worker_report(worker, state.revision(), 0, &[(task, attempt, phase)]);
    message.tasks[0].checkpoint = checkpoint.map(str::to_owned);
    text.clone_into(&mut message.tasks[0].text);
    report(state, &message);
}

fn lose_worker(state: &mut ControlState, worker: &str) {
    let (at, incarnation) = (state.now(), Incarnation::new(1));
    state.apply(&ControlCommand::LoseWorker { at, worker: unit(worker), incarnation });
}

fn job_phase(state: &ControlState, key: &str) -> JobPhase {
    state.job(&job_key(key)).unwrap().phase()
}

/// Guards against a resubmission that creates a second job, and against two jobs with one key.
#[test]
fn a_resubmission_is_the_same_job() {
    let mut state = ready_state();
    let first = state.apply(&submit(2, "j", 2, None)).reply;
    assert_eq!(first, ControlReply::Job { phase: JobPhase::Queued, created: true });
    let again = state.apply(&submit(3, "j", 2, None)).reply;
    assert_eq!(again, ControlReply::Job { phase: JobPhase::Queued, created: false });
    let other = state.apply(&submit(4, "j", 3, None)).reply;
    assert_eq!(other, ControlReply::Refused(CommandRefusal::JobDiffers { key: job_key("j") }));
    assert_eq!(state.task_counts().queued, 4);
}

/// Guards against a cancel that is lost because it arrives before its job, and against one that is never removed.
#[rstest]
#[case::within_the_hour(HOUR_MS, JobPhase::Cancelled)]
#[case::after_the_hour(HOUR_MS + 1, JobPhase::Queued)]
fn a_cancel_waits_an_hour_for_its_job(#[case] delay: u64, #[case] expected: JobPhase) {
    let mut state = ready_state();
    assert_eq!(state.apply(&cancel(2, "j")).reply, ControlReply::Cancelled { phase: None });
    let reply = state.apply(&submit(1 + delay, "j", 2, None)).reply;
    assert_eq!(reply, ControlReply::Job { phase: expected, created: true });
    assert_eq!(state.pending_cancels(), 0);
}

/// Guards against a task of a cancelled job that keeps running, resumes or starts.
#[test]
fn a_cancel_reaches_every_task_and_ends_with_the_last() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 3, None));
    start_running(&mut state, 3, "w0");
    start_running(&mut state, 4, "w1");
    evict(&mut state, 4);
    state.apply(&cancel(3, "j"));
    assert_eq!((job_phase(&state, "j"), phase(&state, 5)), (JobPhase::Cancelling, None));
    report_end(&mut state, "w1", 4, ReportedPhase::Stopped, None, "");
    report_end(&mut state, "w0", 3, ReportedPhase::Failed, None, "");
    assert_eq!((job_phase(&state, "j"), state.task_counts().queued), (JobPhase::Cancelled, 2));
    let again = state.apply(&cancel(4, "j")).reply;
    assert_eq!(again, ControlReply::Cancelled { phase: Some(JobPhase::Cancelled) });
}

/// Guards against tasks or jobs that stay live after many cancels of large jobs.
#[test]
fn many_cancels_of_large_jobs_leave_no_tasks() {
    let mut state = ready_state();
    for number in 0..40 {
        state.apply(&submit(2, &format!("j{number}"), 100, None));
    }
    for number in 0..80 {
        state.apply(&cancel(3, &format!("j{number}")));
    }
    assert_eq!((state.tasks().count(), state.pending_cancels()), (2, 40));
    assert!((0..40).all(|number| job_phase(&state, &format!("j{number}")) == JobPhase::Cancelled));
}

/// Guards against an evicted task that runs again although it completed, or that resumes without its checkpoint.
#[test]
fn a_completion_takes_precedence_over_an_eviction() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 2, None));
    for task in [3, 4] {
        start_running(&mut state, task, "w0");
        evict(&mut state, task);
    }
    report_end(&mut state, "w0", 3, ReportedPhase::Done, None, "result");
    report_end(&mut state, "w0", 4, ReportedPhase::Stopped, Some("c7"), "");
    assert_eq!((phase(&state, 3), phase(&state, 4)), (None, Some(TaskPhase::Queued)));
    start(&mut state, 4, "w1");
    let plan = report(&mut state, &worker_report("w1", 1, 0, &[]));
    assert!(matches!(&plan.orders[..], [WorkerOrder::Start { checkpoint: Some(reference), attempt, .. }]
        if reference == "c7" && attempt.get() == 2));
    report_end(&mut state, "w1", 4, ReportedPhase::Done, None, "other");
    let result = state.job_result(&job_key("j")).unwrap();
    let texts: Vec<_> = result.results.iter().map(|end| (end.attempt.get(), end.text.as_str())).collect();
    assert_eq!((result.phase, texts), (JobPhase::Done, vec![(1, "result"), (2, "other")]));
}

/// Guards against the loss of a result or checkpoint that a worker reports only after its lease has expired. Found by
/// the `report_fuzz` test with seed 11, for stopped and for failed attempts.
#[rstest]
#[case::done(ReportedPhase::Done, None, None)]
#[case::stopped(ReportedPhase::Stopped, Some(TaskPhase::Queued), Some("c1"))]
#[case::failed(ReportedPhase::Failed, Some(TaskPhase::Queued), Some("c1"))]
fn a_late_report_keeps_the_result_or_checkpoint(
    #[case] reported: ReportedPhase,
    #[case] expected: Option<TaskPhase>,
    #[case] checkpoint: Option<&str>,
) {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 1, None));
    start_running(&mut state, 3, "w0");
    lose_worker(&mut state, "w0");
    state.apply(&register(3, "w0", 1, "a", 6));
    report_end(&mut state, "w0", 3, reported, Some("c1"), "");
    assert_eq!(phase(&state, 3), expected);
    assert_eq!(state.task(TaskId::new(3)).and_then(|record| record.checkpoint()), checkpoint);
    let mut message = worker_report("w0", 90, 0, &[(3, 1, reported)]);
    message.tasks[0].checkpoint = Some("c1".to_owned());
    assert!(matches!(report(&mut state, &message).orders[..], [WorkerOrder::Settled { .. }]));
}

/// Guards against a failed job whose result lacks the reasons of its failed attempts.
#[test]
fn a_failed_task_keeps_its_reasons() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 1, None));
    for worker in ["w0", "w1"] {
        start_running(&mut state, 3, worker);
        report_end(&mut state, worker, 3, ReportedPhase::Failed, None, &format!("broken on {worker}"));
    }
    let reason = "failed on 2 workers".to_owned();
    state.apply(&ControlCommand::FailTask { at: time(3), task: TaskId::new(3), reason });
    let result = state.job_result(&job_key("j")).unwrap();
    assert_eq!(result.phase, JobPhase::Failed);
    assert_eq!(result.results[0].text, "broken on w0; broken on w1; failed on 2 workers");
}

/// Guards against results that grow without limit, and against a resubmission that runs an ended job again.
#[test]
fn ended_jobs_are_kept_for_72_hours_and_their_results_within_a_limit() {
    let mut state = ready_state();
    let text = "x".repeat(5000);
    for number in 0..50 {
        state.apply(&submit(2, &format!("j{number}"), 100, None));
        let first = 3 + number * 100;
        for task in first..first + 100 {
            start(&mut state, task, "w0");
            report_end(&mut state, "w0", task, ReportedPhase::Done, None, &text);
        }
    }
    let (old, new) = (state.job(&job_key("j0")).unwrap(), state.job(&job_key("j49")).unwrap());
    assert_eq!((old.results_dropped(), new.results_dropped()), (true, false));
    assert_eq!(state.job_result(&job_key("j49")).unwrap().results[0].text.len(), 4096);
    let resent = state.apply(&submit(72 * HOUR_MS, "j0", 100, None)).reply;
    assert_eq!(resent, ControlReply::Job { phase: JobPhase::Done, created: false });
    assert!(matches!(
        state.apply(&submit(73 * HOUR_MS, "j0", 100, None)).reply,
        ControlReply::Job { created: true, .. }
    ));
}

/// Guards against a start in a zone out of service, and against stopping a task that already runs there.
#[test]
fn taking_a_zone_out_of_service_stops_only_tasks_that_have_not_started() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 3, None));
    start_running(&mut state, 3, "w0");
    start(&mut state, 4, "w2");
    state.apply(&zone(3, "out", "a", ZoneDirection::Out));
    assert_eq!((phase(&state, 3), phase(&state, 4)), (Some(TaskPhase::Running), Some(TaskPhase::Stopping)));
    assert_eq!(state.task(TaskId::new(4)).unwrap().stop_reason(), Some(StopReason::ZoneOut));
    assert_eq!(start(&mut state, 5, "w0"), ControlReply::Refused(CommandRefusal::ZoneOut { zone: unit("a") }));
    assert!(
        report(&mut state, &worker_report("w2", 1, 0, &[])).orders.is_empty(),
        "a start is ordered in a zone out of service"
    );
    state.apply(&zone(4, "in", "a", ZoneDirection::In));
    assert_eq!(start(&mut state, 5, "w0"), ControlReply::Accepted);
}

/// Guards against instances that are queued before the services that they depend on.
#[test]
fn instances_are_created_in_dependency_order() {
    let critical = |name, needs: &[&str]| service(name, TaskClass::LatencyCritical, 1, 1, needs);
    let services = vec![critical("a", &["b"]), critical("b", &["c", "d"]), critical("c", &["d"]), critical("d", &[])];
    let mut state = ControlState::new();
    let changes = state.apply(&configure(1, "first", catalog(1, None, services))).changes;
    let order: Vec<_> = changes
        .iter()
        .filter_map(|change| match change {
            StateChange::TaskQueued { service, .. } => Some(service.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(order, ["d", "c", "b", "a"]);
}

/// Guards against an old instance that stops before its replacement runs, or that is never stopped.
#[test]
fn an_old_instance_stops_once_the_last_replacement_runs() {
    let mut state = ready_state();
    start_running(&mut state, 1, "w0");
    let replace = |state: &mut ControlState, task| {
        let at = state.now();
        state.apply(&ControlCommand::ReplaceInstance { at, task: TaskId::new(task) }).reply
    };
    assert_eq!(replace(&mut state, 1), ControlReply::Replaced { successor: TaskId::new(3) });
    start(&mut state, 3, "w1");
    // The replacement is replaced before it runs, as happens when its worker is unresponsive as well.
    assert_eq!(replace(&mut state, 3), ControlReply::Replaced { successor: TaskId::new(4) });
    assert_eq!((phase(&state, 1), phase(&state, 3)), (Some(TaskPhase::Running), Some(TaskPhase::Starting)));
    start_running(&mut state, 4, "w2");
    assert_eq!((phase(&state, 1), phase(&state, 3)), (Some(TaskPhase::Stopping), Some(TaskPhase::Stopping)));
}

/// Guards against an instance that is not replaced after its worker is lost, and against a batch task that gets another
/// id instead of another attempt.
#[test]
fn a_lost_worker_gives_new_instances_and_next_attempts() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 1, None));
    start_running(&mut state, 1, "w0");
    start_running(&mut state, 3, "w0");
    lose_worker(&mut state, "w0");
    assert_eq!((phase(&state, 1), phase(&state, 4)), (None, Some(TaskPhase::Queued)));
    assert_eq!(state.next_attempt(TaskId::new(3)), Some(AttemptNumber::new(2)));
}

/// Guards against instances that keep running after their service was scaled down or removed from the configuration.
#[test]
fn surplus_instances_stop() {
    let mut state = ready_state();
    start_running(&mut state, 1, "w0");
    state.apply(&configure(2, "second", fuzz_catalog(2, 9, 1, 1)));
    assert_eq!((phase(&state, 1), phase(&state, 2)), (Some(TaskPhase::Running), None));
    state.apply(&configure(3, "third", catalog(3, None, Vec::new())));
    assert_eq!(phase(&state, 1), Some(TaskPhase::Stopping));
}

/// Guards against placements beyond a worker's capacity or a team's quota.
#[test]
fn capacity_and_quota_are_checked_on_apply() {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 4, Some(size(4))));
    assert_eq!(start(&mut state, 3, "w0"), ControlReply::Accepted);
    assert!(matches!(start(&mut state, 4, "w0").refusal(), Some(CommandRefusal::CapacityExceeded { .. })));
    assert_eq!(start(&mut state, 4, "w1"), ControlReply::Accepted);
    assert!(matches!(start(&mut state, 5, "w2").refusal(), Some(CommandRefusal::QuotaExceeded { .. })));
    assert_eq!(state.team_allocation(&unit("t")), size(8));
}
