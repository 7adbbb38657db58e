//! Tests of the fake worker: leases, reports, orders and the run log.

mod common;

use std::time::Duration;

use common::{scripted_leader, start_order, wait_for, worker_settings};
use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder};
use parsleywalk_testkit::{FakeWorker, RunLog, WorkerSettings};
use parsleywalk_units::{AttemptNumber, TaskId, ThrottleLevel, TimeSpan};
use rstest::rstest;

const FIRST: AttemptNumber = AttemptNumber::new(1);

/// Returns a task's part of the newest report.
fn last_report_of(script: &common::SharedScript, task: u64) -> Option<TaskReport> {
    let script = script.lock().unwrap();
    let report = script.reports.last()?;
    report.tasks.iter().find(|report| report.task == TaskId::new(task)).cloned()
}

/// Guards against the end of an attempt that is reported only once, so that it is lost with its report, and against one
/// that is reported forever.
#[test]
fn end_is_repeated_until_settled() {
    let (entry, script) = scripted_leader();
    script.lock().unwrap().orders.push(start_order(1, "50ms"));
    let log = RunLog::new();
    let _worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    let done = || last_report_of(&script, 1).is_some_and(|task| task.phase == ReportedPhase::Done);
    wait_for("the end", done);
    let seen = script.lock().unwrap().reports.len();
    wait_for("more reports", || script.lock().unwrap().reports.len() > seen + 2);
    assert!(done());
    script.lock().unwrap().orders.push(WorkerOrder::Settled { task: TaskId::new(1), attempt: FIRST });
    wait_for("the settled end to be dropped", || last_report_of(&script, 1).is_none());
    assert_eq!(log.records().len(), 1);
    let reports = &script.lock().unwrap().reports;
    assert!(reports.windows(2).all(|pair| pair[0].sequence < pair[1].sequence));
    assert!(
        reports.iter().skip(1).all(|report| report.echo > 100),
        "each report echoes the revision of the last response"
    );
}

/// Guards against a start order that is executed although its response was delayed beyond the order's expiry.
#[test]
fn delayed_start_order_expires() {
    let (entry, script) = scripted_leader();
    {
        let mut script = script.lock().unwrap();
        script.orders.push(start_order(1, "50ms"));
        script.start_within = TimeSpan::from_millis(100);
        script.delay = Duration::from_millis(200);
    }
    let log = RunLog::new();
    let _worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    wait_for("the refusal", || last_report_of(&script, 1).is_some_and(|task| task.phase == ReportedPhase::NotStarted));
    assert!(log.records().is_empty());
}

/// Guards against a task that keeps running after its lease has expired, and against a repeated order that starts it
/// again.
#[test]
fn task_stops_by_itself_when_its_lease_expires() {
    let (entry, script) = scripted_leader();
    {
        let mut script = script.lock().unwrap();
        script.orders = vec![start_order(1, "1h"), start_order(1, "1h")];
        script.lease = Some(TimeSpan::from_millis(300));
    }
    let log = RunLog::new();
    let worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    wait_for("the start", || !worker.running().is_empty());
    script.lock().unwrap().lease = None;
    wait_for("the stop", || worker.running().is_empty());
    let record = log.records().remove(0);
    assert_eq!((log.records().len(), record.phase), (1, Some(ReportedPhase::Stopped)));
    wait_for("the report", || last_report_of(&script, 1).is_some_and(|task| task.phase == ReportedPhase::Stopped));
    assert!(last_report_of(&script, 1).unwrap().checkpoint.is_some());
}

/// Guards against work and reports while the worker is frozen, and against a start whose order expired meanwhile.
#[test]
fn frozen_worker_is_inactive() {
    let (entry, script) = scripted_leader();
    script.lock().unwrap().orders.push(start_order(1, "1h"));
    let log = RunLog::new();
    let settings = WorkerSettings { report_timeout: Duration::from_secs(5), ..worker_settings(vec![entry.address]) };
    let worker = FakeWorker::start(settings, log.clone());
    wait_for("the start", || !worker.running().is_empty());
    {
        let mut script = script.lock().unwrap();
        script.orders.push(start_order(2, "1h"));
        script.delay = Duration::from_millis(800);
    }
    wait_for("the response in transit", || script.lock().unwrap().orders.is_empty());
    worker.freeze();
    let seen = script.lock().unwrap().reports.len();
    // The response arrives after 800 ms, before the start order expires after 1 s, but is handled only after 1.2 s.
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(script.lock().unwrap().reports.len(), seen);
    worker.unfreeze();
    wait_for("the refusal", || last_report_of(&script, 2).is_some_and(|task| task.phase == ReportedPhase::NotStarted));
    assert_eq!(log.records().len(), 1);
}

/// Guards against a task that takes no checkpoint when it is stopped, or that starts from the beginning again.
#[test]
fn stopped_task_resumes_from_its_checkpoint() {
    let (entry, script) = scripted_leader();
    script.lock().unwrap().orders.push(start_order(1, "400ms"));
    let log = RunLog::new();
    let worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    wait_for("the start", || !worker.running().is_empty());
    let throttle = WorkerOrder::Throttle { task: TaskId::new(1), attempt: FIRST, level: ThrottleLevel::Hard };
    script.lock().unwrap().orders.push(throttle);
    wait_for("the throttle", || worker.throttle(TaskId::new(1)) == Some(ThrottleLevel::Hard));
    script.lock().unwrap().orders.push(WorkerOrder::Stop { task: TaskId::new(1), attempt: FIRST });
    wait_for("the stop", || last_report_of(&script, 1).is_some_and(|task| task.phase == ReportedPhase::Stopped));
    let saved = last_report_of(&script, 1).unwrap().checkpoint;
    assert!(saved.is_some());
    let WorkerOrder::Start { task, service, size, arguments, .. } = start_order(1, "400ms") else { unreachable!() };
    let attempt = AttemptNumber::new(2);
    let again = WorkerOrder::Start { task, attempt, service, size, arguments, checkpoint: saved };
    script.lock().unwrap().orders.push(again);
    wait_for("the end", || log.records().get(1).is_some_and(|record| record.phase == Some(ReportedPhase::Done)));
    let records = log.records();
    assert!(records[1].resumed_from <= records[0].work);
    assert!(records[0].work.saturating_sub(records[1].resumed_from) < Duration::from_millis(1));
    log.check().unwrap();
}

/// Guards against a restarted worker that still reports the attempts of its previous incarnation.
#[test]
fn restart_increments_the_incarnation_and_runs_nothing() {
    let (entry, script) = scripted_leader();
    script.lock().unwrap().orders.push(start_order(1, "1h"));
    let log = RunLog::new();
    let mut worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    wait_for("the start", || !worker.running().is_empty());
    worker.restart();
    let incarnation = worker.incarnation();
    wait_for("a report", || script.lock().unwrap().reports.last().is_some_and(|last| last.incarnation == incarnation));
    assert!(script.lock().unwrap().reports.last().unwrap().tasks.is_empty());
    assert!(log.records()[0].end.is_some());
}

/// Guards against a worker that keeps reporting to an entry daemon that is gone.
#[test]
fn next_entry_is_tried_after_a_failure() {
    let (entry, script) = scripted_leader();
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let settings =
        WorkerSettings { retry_delay: Duration::from_millis(10), ..worker_settings(vec![gone, entry.address]) };
    let _worker = FakeWorker::start(settings, RunLog::new());
    wait_for("a report at the second entry daemon", || !script.lock().unwrap().reports.is_empty());
}

/// Guards against a worker that applies the response to an older report.
#[test]
fn response_to_an_older_report_is_ignored() {
    let (entry, script) = scripted_leader();
    script.lock().unwrap().orders.push(start_order(1, "1h"));
    script.lock().unwrap().sequence_lag = 1;
    let log = RunLog::new();
    let _worker = FakeWorker::start(worker_settings(vec![entry.address]), log.clone());
    wait_for("more reports", || script.lock().unwrap().reports.len() > 2);
    assert!(log.records().is_empty());
    assert!(script.lock().unwrap().reports.iter().all(|report| report.tasks.is_empty() && report.echo == 0));
}

/// Guards against a run log that misses a task that ran on two workers: the same attempt again after a kill, two
/// overlapping attempts, and an attempt after the task was done.
#[rstest]
#[case::same_attempt("1h", true, 1)]
#[case::attempts_overlap("1h", false, 2)]
#[case::after_done("20ms", false, 2)]
fn log_reports_a_task_that_ran_twice(#[case] run: &str, #[case] is_killed: bool, #[case] second_attempt: u32) {
    let (first_entry, first_script) = scripted_leader();
    let (second_entry, second_script) = scripted_leader();
    let log = RunLog::new();
    first_script.lock().unwrap().orders.push(start_order(1, run));
    let first = FakeWorker::start(worker_settings(vec![first_entry.address]), log.clone());
    wait_for("the first run", || log.records().len() == 1);
    if is_killed {
        first.kill();
    }
    wait_for("its end, if it ends", || run == "1h" || log.records()[0].end.is_some());
    log.check().unwrap();
    let mut order = start_order(1, "1h");
    if let WorkerOrder::Start { attempt, .. } = &mut order {
        *attempt = AttemptNumber::new(second_attempt);
    }
    second_script.lock().unwrap().orders.push(order);
    let _second = FakeWorker::start(worker_settings(vec![second_entry.address]), log.clone());
    wait_for("the second run", || log.records().len() == 2);
    assert!(log.check().unwrap_err().to_string().contains("task 1 ran twice"));
}
