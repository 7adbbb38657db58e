//! Tests of ends that arrive when their runs are no longer placed.

mod support;

use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, EndNumber, JobId, JobStatus, ReportAction, RunEnd, RunNumber, RunOutcome, RunPlacement, RunningTask,
    StepSpec, TaskKey, WorkerReport,
};
use parsleywalk_units::Incarnation;
use rstest::rstest;
use support::{FakeFleet, step, submission};

/// The time in which a placed run has started.
const START_TIME: Duration = Duration::from_secs(1);

fn member(job: JobId, index: u32) -> TaskKey {
    TaskKey { job, occurrence: 0, step: 0, index }
}

fn apply(fleet: &mut FakeFleet, commands: &[BatchCommand]) {
    for command in commands {
        fleet.state.apply(command);
    }
}

fn receive(fleet: &mut FakeFleet, report: &WorkerReport) -> Vec<BatchCommand> {
    match fleet.dispatcher.receive(fleet.now, &fleet.state, report) {
        ReportAction::Commit(commands) => commands,
        ReportAction::Stale => panic!("the report is new"),
    }
}

/// When another placement of a task is decided and applied, as seen from a worker that lists the end of an earlier run in
/// two reports.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OtherPlacement {
    AppliedBefore,
    AppliedAfter,
    DecidedBetween,
    Refused,
}

/// Places the only waiting task and returns the command, which is not applied.
fn plan(fleet: &mut FakeFleet) -> Vec<BatchCommand> {
    let runs = fleet.dispatcher.plan(fleet.now, 0, &fleet.state);
    assert_eq!(runs.len(), 1);
    vec![BatchCommand::Place { runs }]
}

/// Guards against an end that is acknowledged and has no effect, since another placement of its task is being committed:
/// the task ran twice. The other placement is never ordered, and no run is left over.
#[rstest]
fn an_end_that_meets_another_placement_of_its_task_counts(
    #[values(RunOutcome::Done, RunOutcome::Failed)] outcome: RunOutcome,
    #[values(
        OtherPlacement::AppliedBefore,
        OtherPlacement::AppliedAfter,
        OtherPlacement::DecidedBetween,
        OtherPlacement::Refused
    )]
    other: OtherPlacement,
) {
    let mut fleet = FakeFleet::new(2, 1);
    let task = member(fleet.submit(submission(1, 0, vec![step(1, 20, 60_000)])), 0);
    fleet.submit(submission(2, 0, vec![step(1, 20, 100)]));
    fleet.run_for(START_TIME);
    let first = fleet.workers.iter().position(|worker| worker.runs.contains_key(&task)).expect("a worker");
    fleet.workers[first].end(task, outcome);
    lose(&mut fleet, first);
    let mut orders = [0, 1].map(|_| fleet.workers[1 - first].current_report(fleet.now)).into_iter();
    let mut placement = if other == OtherPlacement::DecidedBetween { Vec::new() } else { plan(&mut fleet) };
    if other == OtherPlacement::AppliedBefore {
        apply(&mut fleet, &placement);
    }
    // The worker lists the end again before its commands are applied.
    let reports = [0, 1].map(|_| fleet.workers[first].current_report(fleet.now));
    let first_commands = receive(&mut fleet, &reports[0]);
    if other == OtherPlacement::DecidedBetween {
        placement = plan(&mut fleet);
    }
    let last_commands = receive(&mut fleet, &reports[1]);
    receive(&mut fleet, &orders.next().expect("a report"));
    if other == OtherPlacement::AppliedAfter {
        apply(&mut fleet, &placement);
        let report = orders.next().expect("a report");
        receive(&mut fleet, &report);
        let response = fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence);
        assert_eq!(response.orders.map(|orders| orders.starts), Some(Vec::new()), "it is to be withdrawn");
    }
    apply(&mut fleet, &first_commands);
    if other == OtherPlacement::DecidedBetween {
        apply(&mut fleet, &placement);
    }
    apply(&mut fleet, &last_commands);
    let record = fleet.state.job(task.job).and_then(|record| record.task(&task)).expect("a task");
    assert_eq!((record.done, record.failures), (outcome == RunOutcome::Done, u16::from(outcome == RunOutcome::Failed)));
    assert!(record.live == 0 && fleet.state.workers().all(|(_, record)| record.runs.is_empty()), "left over");
}

/// Guards against an end as done that is acknowledged and has no effect, since its task runs again: if that run failed or
/// its worker left, the task would run a third time after its completion was acknowledged.
#[rstest]
fn a_completed_task_that_runs_again_is_done(#[values(1, 3)] members: u32, #[values(false, true)] leader_changes: bool) {
    let mut fleet = FakeFleet::new(2, 1);
    let spec = StepSpec { gang: members > 1, ..step(members, 1, 60_000) };
    let job = fleet.submit(submission(1, 0, vec![spec]));
    fleet.run_for(START_TIME);
    let task = member(job, 0);
    let first = fleet.workers.iter().position(|worker| worker.runs.contains_key(&task)).expect("a worker");
    fleet.end_run(first, task, RunOutcome::Done);
    // No other member of a gang lists its end.
    fleet.workers[1 - first].restart();
    fleet.workers[first].partitioned = true;
    fleet.run_for(Duration::from_secs(10));
    let starts = fleet.starts;
    assert!(fleet.workers[1 - first].runs.contains_key(&task), "it runs again");
    fleet.workers[first].partitioned = false;
    if leader_changes {
        fleet.change_leader();
    }
    fleet.run_for(START_TIME);
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
    assert_eq!(fleet.starts, starts, "no run starts");
    assert!(fleet.workers.iter().all(|worker| worker.runs.is_empty() && worker.ended.is_empty()));
}

/// Places a run and applies the placement.
fn place(fleet: &mut FakeFleet, task: TaskKey, run: u32, worker: usize) {
    let worker = &fleet.workers[worker];
    let incarnation = Incarnation::new(worker.incarnation);
    let placement = RunPlacement { task, run: RunNumber::new(run), worker: worker.id.clone(), incarnation };
    fleet.state.apply(&BatchCommand::Place { runs: vec![placement] });
}

/// Declares a worker lost.
fn lose(fleet: &mut FakeFleet, worker: usize) {
    let incarnation = Incarnation::new(fleet.workers[worker].incarnation);
    let worker = fleet.workers[worker].id.clone();
    fleet.state.apply(&BatchCommand::Lose { worker, incarnation, saved: Vec::new() });
}

/// Returns a report of a worker that lists runs in progress and ends, each of a task with its run.
fn report_of(
    fleet: &mut FakeFleet,
    worker: usize,
    running: &[(TaskKey, u32)],
    ended: &[(TaskKey, u32, RunOutcome)],
) -> WorkerReport {
    let running = running.iter().map(|(task, run)| RunningTask {
        task: *task,
        run: RunNumber::new(*run),
        saved: String::new(),
        percent: 0,
        figure: 0,
    });
    let ended = (1..).zip(ended).map(|(number, (task, run, outcome))| RunEnd {
        number: EndNumber::new(number),
        task: *task,
        run: RunNumber::new(*run),
        outcome: *outcome,
        saved: String::new(),
    });
    let report = fleet.workers[worker].current_report(fleet.now);
    WorkerReport { running: running.collect(), ended: ended.collect(), ..report }
}

/// Creates a fleet without commands on their way, of which both workers have been lost with a task of one job. Each task is
/// placed again on the other worker. Returns the tasks, of which the first worker had the first.
fn cross_placed() -> (FakeFleet, [TaskKey; 2]) {
    let mut fleet = FakeFleet::new(2, 1);
    let job = fleet.submit(submission(1, 0, vec![step(2, 1, 60_000)]));
    let tasks = [0, 1].map(|index| member(job, index));
    for index in [0, 1] {
        place(&mut fleet, tasks[index], 1, index);
        lose(&mut fleet, index);
    }
    for index in [0, 1] {
        place(&mut fleet, tasks[index], 2, 1 - index);
    }
    for index in [0, 1] {
        let report = report_of(&mut fleet, index, &[(tasks[1 - index], 2)], &[]);
        receive(&mut fleet, &report);
    }
    (fleet, tasks)
}

/// Guards against two workers whose ends wait for each other: each lists an end as done of a task that the other has run
/// again, and behind it the end of that other task's newer run.
#[test]
fn ends_that_wait_for_each_other_are_recorded() {
    let (mut fleet, tasks) = cross_placed();
    for index in [0, 1, 0, 1] {
        let ended = [(tasks[index], 1, RunOutcome::Done), (tasks[1 - index], 2, RunOutcome::Stopped)];
        let report = report_of(&mut fleet, index, &[], &ended);
        let commands = receive(&mut fleet, &report);
        apply(&mut fleet, &commands);
    }
    assert_eq!(fleet.status(JobId::new(1)), Some(JobStatus::Completed));
}

/// Guards against a task that is placed again although a worker lists its completion, which waits for the end of another
/// run, or of an end before it in the list. When the worker is silent, the task is placed.
#[test]
fn a_task_is_not_placed_while_its_completion_waits() {
    let (mut fleet, tasks) = cross_placed();
    // The newer run of the first task is in progress; that of the second one has been lost.
    let ended = [(tasks[0], 1, RunOutcome::Done), (tasks[1], 2, RunOutcome::Done)];
    lose(&mut fleet, 0);
    let report = report_of(&mut fleet, 0, &[], &ended);
    assert_eq!(receive(&mut fleet, &report), Vec::new(), "the newer run is stopped first");
    let other = report_of(&mut fleet, 1, &[(tasks[0], 2)], &[]);
    receive(&mut fleet, &other);
    let response = fleet.dispatcher.build_response(&fleet.state, &other.worker, other.sequence);
    assert_eq!(response.orders.map(|orders| orders.stops), Some(vec![(tasks[0], RunNumber::new(2))]));
    let stopped = report_of(&mut fleet, 1, &[], &[(tasks[0], 2, RunOutcome::Stopped)]);
    let commands = receive(&mut fleet, &stopped);
    apply(&mut fleet, &commands);
    assert_eq!(fleet.dispatcher.plan(fleet.now, 0, &fleet.state), Vec::new(), "both tasks are done");
    fleet.now = fleet.now + fleet.settings.worker_timeout;
    let report = report_of(&mut fleet, 1, &[], &[]);
    receive(&mut fleet, &report);
    assert_eq!(fleet.dispatcher.plan(fleet.now, 0, &fleet.state).len(), 2);
}

/// Guards against ends of a departed worker that are lost behind one which waits: they are not listed again.
#[test]
fn the_ends_of_a_departed_worker_do_not_wait() {
    let (mut fleet, tasks) = cross_placed();
    fleet.workers[0].draining = true;
    let early = report_of(&mut fleet, 0, &[(tasks[1], 2)], &[]);
    receive(&mut fleet, &early);
    fleet.dispatcher.mark_departed(&fleet.state, &early.worker, None);
    let late = report_of(&mut fleet, 0, &[], &[(tasks[0], 1, RunOutcome::Done), (tasks[1], 2, RunOutcome::Done)]);
    let commands = receive(&mut fleet, &late);
    apply(&mut fleet, &commands);
    let job = fleet.state.job(JobId::new(1)).expect("known");
    assert_eq!(tasks.map(|task| job.task(&task).expect("a task").done), [false, true]);
}

/// Guards against an end that a draining worker can't list before it exits, since the response to its report is held.
#[test]
fn the_response_to_a_draining_worker_is_not_held() {
    let mut fleet = FakeFleet::new(200, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(START_TIME);
    let worker = fleet.workers[0].id.clone();
    assert!(fleet.dispatcher.max_hold(&fleet.state, &worker) > Duration::ZERO);
    fleet.workers[0].draining = true;
    fleet.run_for(START_TIME);
    assert_eq!(fleet.dispatcher.max_hold(&fleet.state, &worker), Duration::ZERO);
}
