//! Rules for planning reports and tracking leases on the leader, one per test.

mod common;

use std::time::Duration;

use common::{evict, phase, ready_state, register, report, start, start_running, submit, unit, worker_report};
use parsleywalk_api::{ReportedPhase, TaskPhase, WorkerOrder};
use parsleywalk_control::{ControlCommand, LeaseSettings, LeaseTable, ReportPlan, plan_report};
use parsleywalk_units::{Incarnation, MilliCores, MonotonicTime, TaskId, WorkerId};
use rstest::rstest;

/// Guards against a replicated log that grows with every report.
#[test]
fn usage_alone_is_not_replicated_and_a_checkpoint_is() {
    let mut state = ready_state();
    start_running(&mut state, 1, "w0");
    let mut message = worker_report("w0", 90, state.revision(), &[(1, 1, ReportedPhase::Running)]);
    message.tasks[0].cores = MilliCores::new(700);
    let revision = state.revision();
    let expected = ReportPlan { renews: true, revision, ..ReportPlan::default() };
    assert_eq!(report(&mut state, &message), expected);
    message.tasks[0].checkpoint = Some("c1".to_owned());
    message.sequence += 1;
    assert_eq!(report(&mut state, &message).commands.len(), 1);
    message.sequence += 1;
    assert!(report(&mut state, &message).commands.is_empty());
    // A reference above the maximum length would be truncated when recorded and seem new in every report.
    message.tasks[0].checkpoint = Some("c".repeat(257));
    assert!(report(&mut state, &message).commands.is_empty());
}

/// Guards against a start that is lost together with its response, and against a start order after an eviction.
#[test]
fn a_start_is_ordered_until_it_is_reported_or_evicted() {
    let mut state = ready_state();
    start(&mut state, 1, "w0");
    for sequence in 1..3 {
        let plan = report(&mut state, &worker_report("w0", sequence, 0, &[]));
        assert!(matches!(plan.orders[..], [WorkerOrder::Start { .. }]) && plan.commands.is_empty());
    }
    evict(&mut state, 1);
    assert!(report(&mut state, &worker_report("w0", 3, 0, &[])).orders.is_empty());
}

/// Guards against a delayed report, or a report to a new leader, that is taken as proof that an attempt does not run.
#[rstest]
#[case::before_the_stop(-1, Some(TaskPhase::Stopping))]
#[case::after_the_stop(0, Some(TaskPhase::Queued))]
fn absence_is_proved_only_by_a_response_after_the_change(#[case] offset: i64, #[case] expected: Option<TaskPhase>) {
    let mut state = ready_state();
    state.apply(&submit(2, "j", 1, None));
    start_running(&mut state, 3, "w0");
    evict(&mut state, 3);
    let echo = state.revision().saturating_add_signed(offset);
    report(&mut state, &worker_report("w0", 90, echo, &[]));
    assert_eq!(phase(&state, 3), expected);
}

fn is_empty(plan: &ReportPlan) -> bool {
    plan.commands.is_empty() && plan.orders.is_empty() && !plan.renews
}

/// Guards against orders from a leader whose state is behind the worker's, and against orders to an ended incarnation.
#[test]
fn no_orders_for_stale_leaders_or_stale_incarnations() {
    let mut state = ready_state();
    start_running(&mut state, 1, "w0");
    let ahead = worker_report("w0", 90, state.revision() + 1, &[]);
    assert!(is_empty(&plan_report(&state, state.now(), &ahead)));
    let mut newer = worker_report("w0", 1, 0, &[]);
    newer.incarnation = Incarnation::new(2);
    let plan = plan_report(&state, state.now(), &newer);
    assert!(matches!(plan.commands[..], [ControlCommand::RegisterWorker { .. }]) && !plan.renews);
    state.apply(&register(3, "w0", 2, "a", 6));
    assert!(is_empty(&plan_report(&state, state.now(), &worker_report("w0", 91, 0, &[]))));
}

/// Guards against an earlier report that arrives late and overwrites a newer checkpoint.
#[test]
fn an_earlier_report_changes_nothing() {
    let mut state = ready_state();
    start_running(&mut state, 1, "w0");
    let mut message = worker_report("w0", 90, 0, &[(1, 1, ReportedPhase::Running)]);
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

/// Guards against an attempt that keeps running after the state has ended it, and against an end that is reported
/// forever.
#[test]
fn attempts_that_are_no_longer_recorded_are_stopped_or_settled() {
    let mut state = ready_state();
    let message = worker_report("w0", 1, 0, &[(7, 1, ReportedPhase::Running), (8, 1, ReportedPhase::Done)]);
    let orders = report(&mut state, &message).orders;
    assert!(matches!(orders[..], [WorkerOrder::Stop { .. }, WorkerOrder::Settled { .. }]));
}

fn seconds(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1000)
}

/// Guards against a lease that the leader counts as expired while it is valid on the worker's slow clock: 900 s on a
/// clock that is 1% slow last 909.1 s, which a clock that is 1% fast measures as 918.2 s.
#[test]
fn a_lease_expires_only_when_the_slowest_clock_has_reached_it() {
    let mut table = LeaseTable::new(LeaseSettings::default());
    let worker: WorkerId = unit("w0");
    table.begin_term(seconds(10), [worker.clone()].into_iter());
    assert!(table.expired_workers(seconds(10 + 918)).is_empty());
    assert_eq!(table.expired_workers(seconds(10 + 919)), [worker]);
}

/// Guards against the renewal of a lease after the loss of its worker was proposed.
#[test]
fn an_expired_lease_is_not_renewed() {
    let settings = LeaseSettings { lease: Duration::from_secs(100), drift_percent: 0 };
    let (mut table, worker) = (LeaseTable::new(settings), unit("w0"));
    assert!(table.renew(seconds(1), &worker) && table.renew(seconds(90), &worker));
    assert!(table.expired_workers(seconds(150)).is_empty());
    assert_eq!(table.expired_workers(seconds(190)).len(), 1);
    assert!(!table.renew(seconds(191), &worker));
    table.remove(&worker);
    assert!(table.renew(seconds(192), &worker) && table.expired_workers(seconds(192)).is_empty());
}
