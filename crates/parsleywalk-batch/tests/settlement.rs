//! Tests of what the ends of runs mean for their jobs.

mod support;

use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, BatchState, JobId, JobStatus, JobSubmission, ReportAction, RunOutcome, StepSpec, TaskKey,
    WorkerReport,
};
use parsleywalk_units::ZoneDirection;
use rstest::rstest;
use support::{FakeFleet, step, submission};

/// The time in which a placed run has started.
const START_TIME: Duration = Duration::from_secs(1);

fn gang(members: u32, estimate_ms: u64, long_running: bool) -> JobSubmission {
    let spec = StepSpec { gang: true, long_running, per_worker_limit: Some(1), ..step(members, 1, estimate_ms) };
    JobSubmission { attempt_limit: 2, ..submission(1, 0, vec![spec]) }
}

fn member(job: JobId, index: u32) -> TaskKey {
    TaskKey { job, occurrence: 0, step: 0, index }
}

/// Ends a run on the worker that has it. Returns false if none has.
fn end(fleet: &mut FakeFleet, task: TaskKey, outcome: RunOutcome) -> bool {
    let worker = fleet.workers.iter_mut().find(|worker| worker.runs.contains_key(&task));
    worker.is_some_and(|worker| {
        worker.end(task, outcome);
        true
    })
}

/// Ends the run of a gang: those of the failed members first, and the others with them.
fn fail_gang(fleet: &mut FakeFleet, job: JobId, members: u32, failed: u32, outcome: RunOutcome) {
    for index in 0..members {
        let outcome = if index < failed { outcome } else { RunOutcome::GangBroken };
        assert!(end(fleet, member(job, index), outcome), "member {index} runs");
    }
}

/// Guards against giving up a long-running gang after as many failures as a task that ends may have, and against
/// showing it as completed when a member ends as done.
#[rstest]
fn a_long_running_gang_is_restarted_however_it_ends(
    #[values(RunOutcome::Failed, RunOutcome::Done, RunOutcome::GangBroken)] outcome: RunOutcome,
) {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(gang(3, 0, true));
    for round in 0..6 {
        fleet.run_for(Duration::from_secs(8));
        assert_eq!(fleet.status(job), Some(JobStatus::Running), "round {round}");
        fail_gang(&mut fleet, job, 3, 1, outcome);
    }
    fleet.run_for(Duration::from_secs(8));
    assert!((0..3).all(|index| fleet.workers.iter().any(|worker| worker.runs.contains_key(&member(job, index)))));
}

/// Guards against a gang whose run counts as failed once for each member that fails in it, and against one that fails
/// too late: the job fails with its second failed run. The members report to one leader, or the leader changes between
/// their reports.
#[rstest]
fn a_failed_run_of_a_gang_counts_once(#[values(1, 2, 4)] failed: u32, #[values(false, true)] leader_changes: bool) {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(gang(4, 60_000, false));
    for round in 0..2 {
        fleet.run_for(Duration::from_secs(8));
        assert_eq!(fleet.status(job), Some(JobStatus::Running), "round {round}");
        // The second run that fails ends the job.
        for index in if round == 0 { 0..4 } else { 0..1 } {
            let outcome = if index < failed { RunOutcome::Failed } else { RunOutcome::GangBroken };
            assert!(end(&mut fleet, member(job, index), outcome), "member {index} runs");
            fleet.run_for(Duration::from_millis(200));
            if leader_changes && round == 0 && index == 0 {
                fleet.change_leader();
            }
        }
    }
    fleet.run_for(START_TIME);
    assert_eq!(fleet.status(job), Some(JobStatus::Failed));
}

/// Guards against a failed run of a gang that does not count, since a member that failed in an earlier run has ended
/// before the one that fails now: it is reported as broken, or its worker is lost.
#[rstest]
fn a_failed_run_counts_after_the_end_of_a_member_that_failed_before(#[values(false, true)] worker_is_lost: bool) {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(gang(3, 60_000, false));
    fleet.run_for(START_TIME);
    fail_gang(&mut fleet, job, 3, 1, RunOutcome::Failed);
    fleet.run_for(Duration::from_secs(8));
    let failures = |fleet: &FakeFleet| fleet.state.job(job).map(parsleywalk_batch::JobRecord::failures);
    assert_eq!(failures(&fleet), Some(1));
    let first = member(job, 0);
    let index = fleet.workers.iter().position(|worker| worker.runs.contains_key(&first)).expect("it runs again");
    if worker_is_lost {
        fleet.workers[index].up = false;
        fleet.run_for(Duration::from_secs(9));
        assert!(fleet.state.worker(&fleet.workers[index].id).is_some_and(|record| record.runs.is_empty()), "lost");
    } else {
        fleet.workers[index].end(first, RunOutcome::GangBroken);
        fleet.run_for(Duration::from_millis(300));
    }
    assert!(end(&mut fleet, member(job, 1), RunOutcome::Failed), "member 1 runs");
    fleet.run_for(START_TIME);
    assert_eq!(failures(&fleet), Some(2));
    assert_eq!(fleet.status(job), Some(JobStatus::Failed));
}

/// Guards against a failed run of a gang that does not count, since the failed end of an earlier run arrives during it.
#[test]
fn a_late_end_of_an_earlier_run_does_not_stand_for_a_failure() {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(gang(3, 60_000, false));
    fleet.run_for(START_TIME);
    let first = member(job, 0);
    let index = fleet.workers.iter().position(|worker| worker.runs.contains_key(&first)).expect("it runs");
    fleet.workers[index].partitioned = true;
    fleet.workers[index].end(first, RunOutcome::Failed);
    fleet.run_for(Duration::from_secs(9));
    for other in 1..3 {
        end(&mut fleet, member(job, other), RunOutcome::GangBroken);
    }
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.workers.iter().any(|worker| worker.runs.contains_key(&first)), "placed again");
    fleet.workers[index].partitioned = false;
    fleet.run_for(Duration::from_millis(300));
    assert!(end(&mut fleet, member(job, 1), RunOutcome::Failed), "member 1 runs");
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.state.job(job).map(parsleywalk_batch::JobRecord::failures), Some(1));
}

/// Guards against a failed end that its worker lists again before it is recorded, and which then does not count.
#[test]
fn a_repeated_end_counts_once() {
    let mut fleet = FakeFleet::new(4, 1);
    let job = fleet.submit(gang(3, 60_000, false));
    fleet.run_for(START_TIME);
    fail_gang(&mut fleet, job, 3, 2, RunOutcome::Failed);
    let failures = |fleet: &FakeFleet| fleet.state.job(job).map(parsleywalk_batch::JobRecord::failures);
    let index = fleet.workers.iter().position(|worker| worker.ended.iter().any(|end| end.task == member(job, 0)));
    let index = index.expect("a worker");
    let settles = |fleet: &mut FakeFleet| {
        let report = fleet.workers[index].current_report(fleet.now);
        receive(fleet, &report)
    };
    // The commands of the first report are refused by the log.
    assert!(!settles(&mut fleet).is_empty());
    for command in settles(&mut fleet) {
        fleet.state.apply(&command);
    }
    assert_eq!(failures(&fleet), Some(1));
    fleet.run_for(START_TIME);
    assert_eq!(failures(&fleet), Some(1));
    assert_eq!(fleet.status(job), Some(JobStatus::Running));
}

fn receive(fleet: &mut FakeFleet, report: &WorkerReport) -> Vec<BatchCommand> {
    match fleet.dispatcher.receive(fleet.now, &fleet.state, report) {
        ReportAction::Commit(commands) => commands,
        ReportAction::Stale => panic!("the report is new"),
    }
}

/// Guards against an end that is acknowledged and has no effect, since the loss of its worker is committed just before
/// it: the task ran twice. The leader has heard from the worker before, or is a new one.
#[rstest]
fn an_end_that_meets_the_loss_of_its_worker_counts(
    #[values(RunOutcome::Done, RunOutcome::Failed)] outcome: RunOutcome,
    #[values(false, true)] leader_changes: bool,
) {
    let mut fleet = FakeFleet::new(1, 1);
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(START_TIME);
    fleet.workers[0].end(member(job, 0), outcome);
    if leader_changes {
        fleet.change_leader();
    }
    fleet.now = fleet.now + fleet.settings.max_lease();
    let losses = fleet.dispatcher.expire_leases(fleet.now, &fleet.state);
    assert_eq!(losses.len(), 1, "the lease has expired");
    // The report arrives before the loss is committed.
    let report = fleet.workers[0].current_report(fleet.now);
    let commands = receive(&mut fleet, &report);
    assert_eq!(fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence).orders, None, "no lease");
    for command in losses.iter().chain(&commands) {
        fleet.state.apply(command);
    }
    let report = fleet.workers[0].current_report(fleet.now);
    for command in receive(&mut fleet, &report) {
        fleet.state.apply(&command);
    }
    let record = fleet.state.job(job).and_then(|record| record.task(&member(job, 0))).expect("a task");
    assert_eq!((record.done, record.failures), (outcome == RunOutcome::Done, u16::from(outcome == RunOutcome::Failed)));
    assert_eq!(fleet.state.worker(&fleet.workers[0].id).map(|record| record.runs.len()), Some(0));
}

/// Guards against an end that is lost, so that its task runs twice, since the report that lists it is handled after the
/// worker has announced its exit. The report gives no lease and acknowledges nothing, and the worker's next life works.
#[rstest]
fn an_end_reported_after_the_announcement_of_an_exit_counts(
    #[values(false, true)] is_numbered: bool,
    #[values(1, 2)] runs: u32,
) {
    let mut fleet = FakeFleet::new(1, 1);
    let job = fleet.submit(submission(1, 0, vec![step(runs, 1, 60_000)]));
    fleet.run_for(START_TIME);
    fleet.workers[0].draining = true;
    fleet.run_for(Duration::from_millis(300));
    let early = fleet.workers[0].current_report(fleet.now);
    fleet.workers[0].end(member(job, 0), RunOutcome::Done);
    let late = fleet.workers[0].current_report(fleet.now);
    let incarnation = is_numbered.then_some(late.incarnation);
    assert_eq!(fleet.dispatcher.mark_departed(&fleet.state, &late.worker, incarnation), None, "it has a run");
    for command in receive(&mut fleet, &late) {
        fleet.state.apply(&command);
    }
    let is_done = fleet.state.job(job).and_then(|record| record.task(&member(job, 0))).map(|task| task.done);
    assert_eq!(is_done, Some(true));
    assert_eq!(fleet.dispatcher.build_response(&fleet.state, &late.worker, late.sequence).orders, None);
    for old in [&early, &late] {
        assert_eq!(fleet.dispatcher.receive(fleet.now, &fleet.state, old), ReportAction::Stale);
    }
    // The other run is lost when the lease that was given before the announcement ends.
    fleet.workers[0].up = false;
    fleet.run_for(fleet.settings.max_lease() + Duration::from_millis(100));
    let record = fleet.state.worker(&late.worker).expect("a record");
    assert!(record.runs.is_empty() && record.incarnation == late.incarnation.next(), "{record:?}");
    fleet.workers[0].restart();
    fleet.workers[0].up = true;
    fleet.run_for(START_TIME);
    assert_eq!(fleet.workers[0].runs.len(), runs as usize - 1);
}

/// Guards against an end of a worker's earlier life that is taken for one of its next life, or acknowledged.
#[test]
fn a_report_of_an_earlier_life_is_stale() {
    let mut fleet = FakeFleet::new(1, 1);
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(START_TIME);
    fleet.workers[0].draining = true;
    fleet.run_for(Duration::from_millis(300));
    fleet.workers[0].end(member(job, 0), RunOutcome::Done);
    let late = fleet.workers[0].current_report(fleet.now);
    fleet.dispatcher.mark_departed(&fleet.state, &late.worker, None);
    fleet.workers[0].restart();
    fleet.run_for(Duration::from_millis(100));
    assert_eq!(fleet.dispatcher.receive(fleet.now, &fleet.state, &late), ReportAction::Stale);
    // The announcement does not count for the next life.
    fleet.run_for(START_TIME);
    assert_eq!(fleet.workers[0].runs.len(), 1);
}

/// Guards against a run that is ordered while its withdrawal is being committed, since its zone is back in service before:
/// the task starts on two workers, and the end of one of the runs has no effect.
#[test]
fn a_run_is_not_ordered_while_its_withdrawal_is_being_committed() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(START_TIME);
    let zone = fleet.workers[0].zone.clone();
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 500)]));
    let runs = fleet.dispatcher.plan(fleet.now, 0, &fleet.state);
    assert_eq!(runs.len(), 1);
    fleet.state.apply(&BatchCommand::Place { runs });
    fleet.state.apply(&BatchCommand::SetZone { zone: zone.clone(), direction: ZoneDirection::Out });
    // The first report after the change starts the time in which an order may still arrive.
    let reports = [Duration::ZERO, fleet.settings.order_expiry, Duration::from_millis(100)].map(|wait| {
        fleet.now = fleet.now + wait;
        fleet.workers[0].current_report(fleet.now)
    });
    assert_eq!(receive(&mut fleet, &reports[0]), Vec::new());
    let withdrawal = receive(&mut fleet, &reports[1]);
    assert!(matches!(withdrawal[..], [BatchCommand::Withdraw { .. }]), "{withdrawal:?}");
    fleet.state.apply(&BatchCommand::SetZone { zone, direction: ZoneDirection::In });
    assert_eq!(receive(&mut fleet, &reports[2]), withdrawal, "the first one may have been refused");
    let response = fleet.dispatcher.build_response(&fleet.state, &reports[2].worker, reports[2].sequence);
    assert_eq!(response.orders.map(|orders| orders.starts), Some(Vec::new()));
    fleet.state.apply(&withdrawal[0]);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}

/// Guards against a worker that stays without orders after the log has refused the command that declares it lost.
#[test]
fn a_refused_loss_is_withdrawn() {
    let mut fleet = FakeFleet::new(1, 1);
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 500)]));
    fleet.run_for(Duration::from_millis(300));
    fleet.now = fleet.now + fleet.settings.max_lease();
    assert_eq!(fleet.dispatcher.expire_leases(fleet.now, &fleet.state).len(), 1);
    fleet.dispatcher.withdraw_losses();
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}

/// Guards against an end of an earlier run that completes a task which has been placed again.
#[test]
fn an_end_of_an_earlier_run_does_not_count() {
    let mut fleet = FakeFleet::new(2, 1);
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(START_TIME);
    let task = member(job, 0);
    let first = fleet.workers.iter().position(|worker| worker.runs.contains_key(&task)).expect("a worker");
    fleet.workers[first].partitioned = true;
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.workers[1 - first].runs.contains_key(&task), "placed again");
    let mut late = fleet.workers[first].current_report(fleet.now);
    let lapsed = late.ended.first_mut().expect("the run has ended with its lease");
    lapsed.outcome = RunOutcome::Done;
    for command in receive(&mut fleet, &late) {
        fleet.state.apply(&command);
    }
    assert!(!fleet.state.job(job).and_then(|record| record.task(&task)).is_some_and(|record| record.done));
}

/// Guards against giving up a long-running gang of which the last release has recorded a failed run, the only one that its
/// attempts leave: the state comes from a snapshot, and the leader changes.
#[test]
fn a_long_running_gang_outlives_failures_recorded_by_the_last_release() {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(gang(3, 0, true));
    fleet.run_for(START_TIME);
    fail_gang(&mut fleet, job, 3, 1, RunOutcome::Failed);
    let index = fleet.workers.iter().position(|worker| worker.ended.iter().any(|end| end.task == member(job, 0)));
    let report = fleet.workers[index.expect("a worker")].current_report(fleet.now);
    for mut command in receive(&mut fleet, &report) {
        if let BatchCommand::Settle { ends, .. } = &mut command {
            for end in ends {
                end.outcome = RunOutcome::Failed;
            }
        }
        fleet.state.apply(&command);
    }
    assert_eq!(fleet.state.job(job).map(parsleywalk_batch::JobRecord::failures), Some(1));
    fleet.state = BatchState::decode(&fleet.state.encode()).expect("a snapshot");
    fleet.change_leader();
    for round in 0..4 {
        fleet.run_for(Duration::from_secs(8));
        assert_eq!(fleet.status(job), Some(JobStatus::Running), "round {round}");
        fail_gang(&mut fleet, job, 3, 2, RunOutcome::Failed);
    }
}

/// Guards against a job that has begun and is shown as pending by a new leader, since the ends of its runs leave no trace in
/// the replicated state: those of a long-running gang are recorded as stops, and other stopped runs have no checkpoint.
#[rstest]
#[case::failed_gang(gang(3, 0, true), RunOutcome::Failed)]
#[case::done_gang(gang(3, 0, true), RunOutcome::Done)]
#[case::done_task(submission(1, 0, vec![StepSpec { long_running: true, ..step(3, 1, 0) }]), RunOutcome::Done)]
#[case::stopped_task(submission(1, 0, vec![step(3, 1, 60_000)]), RunOutcome::Stopped)]
fn a_job_that_has_begun_stays_so_under_a_new_leader(#[case] submission: JobSubmission, #[case] outcome: RunOutcome) {
    let mut fleet = FakeFleet::new(6, 1);
    let job = fleet.submit(submission);
    fleet.run_for(START_TIME);
    for index in 0..3 {
        assert!(end(&mut fleet, member(job, index), outcome), "member {index} runs");
    }
    // The new leader hears of no other run, wherever the last one was recorded.
    let has_live_runs = |fleet: &FakeFleet| fleet.state.job(job).expect("known").has_live_runs();
    while has_live_runs(&fleet) {
        fleet.step();
    }
    for worker in &mut fleet.workers {
        worker.partitioned = true;
    }
    fleet.change_leader();
    for _ in 0..100 {
        let record = fleet.state.job(job).expect("known");
        assert_eq!(fleet.dispatcher.status(fleet.now, &fleet.state, job, record), JobStatus::Running);
        fleet.run_for(Duration::from_millis(100));
    }
}

/// Guards against a job that is running and is shown as pending by a new leader, since its worker can't be reached: after the
/// warm-up, the leader takes the run for one that was placed and never began, until the worker is declared lost.
#[test]
fn a_running_job_on_an_unreachable_worker_stays_running() {
    let mut fleet = FakeFleet::new(1, 1);
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(START_TIME);
    let shown = |fleet: &FakeFleet| {
        let record = fleet.state.job(job).expect("known");
        fleet.dispatcher.status(fleet.now, &fleet.state, job, record)
    };
    assert_eq!(shown(&fleet), JobStatus::Running);
    fleet.workers[0].partitioned = true;
    fleet.change_leader();
    for step in 0..100 {
        assert_eq!(shown(&fleet), JobStatus::Running, "{} ms after the change of leader", 100 * step);
        fleet.run_for(Duration::from_millis(100));
    }
}
