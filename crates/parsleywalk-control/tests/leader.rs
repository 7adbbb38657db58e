//! What the leader does with reports and leases, one rule at a time.

mod common;

use std::time::Duration;

use common::{evict, listing, phase, ready, register, report, start, start_running, submit, unit};
use parsleywalk_api::{ReportedPhase, TaskPhase, WorkerOrder};
use parsleywalk_control::{ControlCommand, LeaseSettings, LeaseTable, ReportPlan, plan_report};
use parsleywalk_units::{Incarnation, MilliCores, MonotonicTime, TaskId, WorkerId};
use rstest::rstest;

/// Guards against a log that grows with every report.
#[test]
fn usage_alone_is_not_durable_and_a_checkpoint_is() {
    let mut state = ready();
    start_running(&mut state, 1, "w0");
    let mut message = listing("w0", 90, state.revision(), &[(1, 1, ReportedPhase::Running)]);
    message.tasks[0].cores = MilliCores::new(700);
    let revision = state.revision();
    let expected = ReportPlan { renews: true, revision, ..ReportPlan::default() };
    assert_eq!(report(&mut state, &message), expected);
    message.tasks[0].checkpoint = Some("c1".to_owned());
    message.sequence += 1;
    assert_eq!(report(&mut state, &message).commands.len(), 1);
    message.sequence += 1;
    assert!(report(&mut state, &message).commands.is_empty());
    // A reference above the limit would be recorded in part and seem new in every report.
    message.tasks[0].checkpoint = Some("c".repeat(257));
    assert!(report(&mut state, &message).commands.is_empty());
}

/// Guards against a start that is lost with its answer, and a start order after an eviction.
#[test]
fn a_start_is_ordered_until_it_is_reported_or_evicted() {
    let mut state = ready();
    start(&mut state, 1, "w0");
    for sequence in 1..3 {
        let plan = report(&mut state, &listing("w0", sequence, 0, &[]));
        assert!(matches!(plan.orders[..], [WorkerOrder::Start { .. }]) && plan.commands.is_empty());
    }
    evict(&mut state, 1);
    assert!(report(&mut state, &listing("w0", 3, 0, &[])).orders.is_empty());
}

/// Guards against a delayed report, or one that a new leader gets, that is taken as proof that a task does not run.
#[rstest]
#[case::before_the_stop(-1, Some(TaskPhase::Stopping))]
#[case::after_the_stop(0, Some(TaskPhase::Queued))]
fn absence_needs_an_answer_from_after_the_change(#[case] off: i64, #[case] expected: Option<TaskPhase>) {
    let mut state = ready();
    state.apply(&submit(2, "j", 1, None));
    start_running(&mut state, 3, "w0");
    evict(&mut state, 3);
    let echo = state.revision().saturating_add_signed(off);
    report(&mut state, &listing("w0", 90, echo, &[]));
    assert_eq!(phase(&state, 3), expected);
}

fn is_empty(plan: &ReportPlan) -> bool {
    plan.commands.is_empty() && plan.orders.is_empty() && !plan.renews
}

/// Guards against orders of a leader that is behind, and to an incarnation that is gone.
#[test]
fn nothing_is_planned_for_reports_from_another_time() {
    let mut state = ready();
    start_running(&mut state, 1, "w0");
    let ahead = listing("w0", 90, state.revision() + 1, &[]);
    assert!(is_empty(&plan_report(&state, state.now(), &ahead)));
    let mut newer = listing("w0", 1, 0, &[]);
    newer.incarnation = Incarnation::new(2);
    let plan = plan_report(&state, state.now(), &newer);
    assert!(matches!(plan.commands[..], [ControlCommand::RegisterWorker { .. }]) && !plan.renews);
    state.apply(&register(3, "w0", 2, "a", 6));
    assert!(is_empty(&plan_report(&state, state.now(), &listing("w0", 91, 0, &[]))));
}

/// Guards against an earlier report that arrives late and takes back a newer checkpoint.
#[test]
fn an_earlier_report_changes_nothing() {
    let mut state = ready();
    start_running(&mut state, 1, "w0");
    let mut message = listing("w0", 90, 0, &[(1, 1, ReportedPhase::Running)]);
    message.tasks[0].checkpoint = Some("c2".to_owned());
    let mut earlier = message.clone();
    earlier.sequence = 89;
    earlier.tasks[0].checkpoint = Some("c1".to_owned());
    let planned = plan_report(&state, state.now(), &earlier);
    report(&mut state, &message);
    assert!(state.apply(&planned.commands[0]).reply.refusal().is_some());
    assert!(is_empty(&plan_report(&state, state.now(), &earlier)));
    assert_eq!(state.task(TaskId::new(1)).unwrap().checkpoint(), Some("c2"));
}

/// Guards against an attempt that goes on after the state has moved past it, and an end that is reported for good.
#[test]
fn attempts_that_are_not_held_are_stopped_or_settled() {
    let mut state = ready();
    let message = listing("w0", 1, 0, &[(7, 1, ReportedPhase::Running), (8, 1, ReportedPhase::Done)]);
    let orders = report(&mut state, &message).orders;
    assert!(matches!(orders[..], [WorkerOrder::Stop { .. }, WorkerOrder::Settled { .. }]));
}

fn seconds(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1000)
}

/// Guards against a lease that is taken for ended while the worker's slow clock still grants it: 900 s on a clock that is
/// 1% slow last 909.1 s, which a clock that is 1% fast measures as 918.2 s.
#[test]
fn a_lease_ends_only_when_the_slowest_clock_says_so() {
    let mut table = LeaseTable::new(LeaseSettings::default());
    let worker: WorkerId = unit("w0");
    table.begin_term(seconds(10), [worker.clone()].into_iter());
    assert!(table.expired_workers(seconds(10 + 918)).is_empty());
    assert_eq!(table.expired_workers(seconds(10 + 919)), [worker]);
}

/// Guards against a renewal after the loss of the worker was proposed.
#[test]
fn an_ended_lease_is_not_renewed() {
    let settings = LeaseSettings { lease: Duration::from_secs(100), drift_percent: 0 };
    let (mut table, worker) = (LeaseTable::new(settings), unit("w0"));
    assert!(table.renew(seconds(1), &worker) && table.renew(seconds(90), &worker));
    assert!(table.expired_workers(seconds(150)).is_empty());
    assert_eq!(table.expired_workers(seconds(190)).len(), 1);
    assert!(!table.renew(seconds(191), &worker));
    table.remove(&worker);
    assert!(table.renew(seconds(192), &worker) && table.expired_workers(seconds(192)).is_empty());
}
