//! Randomised fault tests with a single leader; the oracle in `support` checks the workers' runs after every step.

mod support;

use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, EndNumber, JobId, JobStatus, JobSubmission, ReportAction, RunEnd, RunNumber, RunOutcome, RunningTask,
    StepSpec, TaskKey, WorkerReport,
};
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize, ZoneDirection};
use rstest::rstest;
use support::random_steps::RandomSteps;
use support::{FakeFleet, step, submission};

/// The number of simulation steps before the faults end.
const FAULT_STEPS: u32 = 1200;

/// Guards against concurrent runs of a task, starts of completed tasks, starts in zones out of service and
/// overcommitted workers when lost responses, partitions, restarts, leader changes, failing or hung workers and zone
/// changes coincide, with commands that take effect at once or later. Once the faults have ended, every job must end.
#[rstest]
fn guarantees_hold_under_random_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(0, 200)] commit_delay_ms: u64,
) {
    let mut fleet = FakeFleet::new(9, seed);
    fleet.response_loss_percent = 10;
    fleet.transit.commit_delay = Duration::from_millis(commit_delay_ms);
    let mut jobs = Vec::new();
    for number in 0..FAULT_STEPS {
        let index = usize::try_from(fleet.rng.next_below(9)).expect("small");
        match fleet.rng.next_below(60) {
            0..=7 => {
                let id = u64::from(number) + 1;
                let steps = RandomSteps::random(&mut fleet.rng);
                jobs.push(fleet.submit(submission(id, u8::try_from(id % 3).expect("small"), steps)));
            }
            8 => fleet.workers[index].partitioned = !fleet.workers[index].partitioned,
            9 => fleet.workers[index].restart(),
            10 => fleet.change_leader(),
            11 => fleet.set_zone(["zone-a", "zone-b"][index % 2], ZoneDirection::Out),
            12 => {
                fleet.set_zone("zone-a", ZoneDirection::In);
                fleet.set_zone("zone-b", ZoneDirection::In);
            }
            13 => {
                if let Some(job) = jobs.get(index) {
                    fleet.cancel(*job);
                }
            }
            14 => fleet.workers[index].fails_runs = !fleet.workers[index].fails_runs,
            15 => fleet.workers[index].hung = !fleet.workers[index].hung,
            16 => fleet.workers[index].up = !fleet.workers[index].up,
            _ => {}
        }
        fleet.step();
    }
    // Once the faults have ended, every job must end.
    fleet.response_loss_percent = 0;
    for worker in &mut fleet.workers {
        if !worker.up {
            worker.restart();
            worker.up = true;
        }
        (worker.partitioned, worker.fails_runs, worker.hung) = (false, false, false);
    }
    for zone in ["zone-a", "zone-b", "zone-c"] {
        fleet.set_zone(zone, ZoneDirection::In);
    }
    let ended = fleet.run_until_done(Duration::from_mins(4));
    assert!(ended, "{} jobs never end: {}", fleet.state.active_count(), fleet.describe_unfinished());
}

/// Guards against renewing a lease while the loss of its worker is being committed: the worker would continue runs that
/// start elsewhere.
#[test]
fn a_worker_with_a_pending_loss_gets_no_orders() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.workers[0].runs.len(), 1);
    // The worker is silent until its lease expires and reports again before the loss is committed.
    fleet.now = fleet.now + fleet.settings.max_lease();
    let lost = fleet.dispatcher.expire_leases(fleet.now, &fleet.state);
    assert_eq!(lost.len(), 1, "the lease has expired");
    let report = fleet.workers[0].current_report(fleet.now);
    let action = fleet.dispatcher.receive(fleet.now, &fleet.state, &report);
    assert!(matches!(action, ReportAction::Commit(_)));
    let response = fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence);
    assert_eq!(response.orders, None);
}

/// Guards against declaring a worker lost although it reports again: the run ends it lists must still count.
#[test]
fn a_reporting_worker_with_an_expired_lease_is_not_lost() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    fleet.now = fleet.now + fleet.settings.max_lease();
    let report = fleet.workers[0].current_report(fleet.now);
    fleet.dispatcher.receive(fleet.now, &fleet.state, &report);
    assert_eq!(fleet.dispatcher.expire_leases(fleet.now, &fleet.state), Vec::new());
}

/// Guards against one faulty worker using up the attempts of its tasks: they must complete on other workers first.
#[test]
fn a_worker_that_fails_everything_does_not_fail_jobs() {
    let mut fleet = FakeFleet::new(6, 1);
    fleet.workers[2].fails_runs = true;
    let jobs: Vec<_> = (1..=30).map(|id| fleet.submit(submission(id, 0, vec![step(4, 2, 400)]))).collect();
    assert!(fleet.run_until_done(Duration::from_mins(1)));
    let failed = jobs.iter().filter(|job| fleet.status(**job) == Some(parsleywalk_batch::JobStatus::Failed)).count();
    assert_eq!(failed, 0);
}

/// Guards against a hung worker keeping its tasks: a task without progress must be stopped and started elsewhere.
#[test]
fn a_hung_worker_does_not_hold_its_tasks() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.workers[0].hung = true;
    for id in 1..=6 {
        fleet.submit(submission(id, 0, vec![step(4, 2, 500)]));
    }
    assert!(fleet.run_until_done(Duration::from_secs(20)));
}

/// Guards against starts in a zone out of service: an order that may be in flight is not sent again, and the task
/// starts in another zone.
#[test]
fn no_task_starts_in_a_zone_out_of_service() {
    let mut fleet = FakeFleet::new(9, 3);
    fleet.response_loss_percent = 50;
    for id in 1..=40 {
        fleet.submit(submission(id, 0, vec![step(6, 2, 700)]));
    }
    fleet.run_for(Duration::from_millis(600));
    fleet.set_zone("zone-a", ZoneDirection::Out);
    fleet.run_for(Duration::from_secs(8));
    fleet.response_loss_percent = 0;
    // The oracle fails on any start in the zone later than 2 s.
    assert!(fleet.run_until_done(Duration::from_mins(2)));
}

/// Guards against excluding a recovered worker forever: waiting for its runs to end before a probation run would never
/// succeed if it holds long-running tasks.
#[test]
fn a_recovered_worker_with_long_running_tasks_gets_work_again() {
    let mut fleet = FakeFleet::new(1, 1);
    let long_running = parsleywalk_batch::StepSpec { long_running: true, ..step(1, 8, 0) };
    fleet.submit(submission(1, 0, vec![long_running]));
    fleet.run_for(Duration::from_secs(1));
    fleet.workers[0].fails_runs = true;
    for id in 2..=5 {
        fleet.submit(submission(id, 0, vec![step(1, 1, 300)]));
    }
    fleet.run_for(Duration::from_secs(3));
    fleet.workers[0].fails_runs = false;
    let job = fleet.submit(submission(10, 0, vec![step(4, 1, 300)]));
    fleet.run_for(Duration::from_secs(15));
    assert_eq!(fleet.status(job), Some(parsleywalk_batch::JobStatus::Completed));
}

/// Guards against long-running tasks staying on a draining worker, which would leave them unavailable until its lease
/// expires.
#[test]
fn long_running_tasks_leave_a_draining_worker() {
    let mut fleet = FakeFleet::new(2, 1);
    let long_running = parsleywalk_batch::StepSpec { long_running: true, ..step(2, 8, 0) };
    fleet.submit(submission(1, 0, vec![long_running]));
    fleet.run_for(Duration::from_secs(1));
    let index = usize::from(fleet.workers[0].runs.is_empty());
    fleet.workers[index].draining = true;
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.workers[index].runs.is_empty());
    assert_eq!(fleet.workers[1 - index].runs.len(), 2);
}

/// Guards against a delayed report renewing the lease of a worker that has announced its exit.
#[test]
fn a_late_report_does_not_renew_the_lease_of_a_departed_worker() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    fleet.workers[0].draining = true;
    fleet.run_for(Duration::from_millis(300));
    let late = fleet.workers[0].current_report(fleet.now);
    assert_eq!(fleet.dispatcher.mark_departed(&fleet.state, &late.worker, None), None, "it still has a run");
    fleet.now = fleet.now + Duration::from_secs(4);
    assert_eq!(fleet.dispatcher.receive(fleet.now, &fleet.state, &late), ReportAction::Stale);
}

/// Guards against one odd job or report ending the leader: a chain of steps with the largest numbers that the interface
/// permits overflowed the sum of their durations, and the leader panicked in every scheduling cycle.
#[test]
fn extreme_numbers_do_not_panic() {
    let mut fleet = FakeFleet::new(3, 1);
    let extreme = |index: u16| StepSpec {
        estimate: Duration::from_millis(u64::MAX),
        depends_on: (0..index).collect(),
        size: ResourceSize::new(MilliCores::new(u32::MAX), MemoryBytes::new(u64::MAX)),
        long_running: index.is_multiple_of(2),
        best_effort: index.is_multiple_of(3),
        tail_objective: Some(Duration::from_millis(u64::MAX)),
        per_worker_limit: Some(u32::MAX),
        ..step(1, 1, 0)
    };
    let chain = JobSubmission {
        stretch: f32::MAX,
        latency_objective: Duration::from_millis(u64::MAX),
        ..submission(1, 0, (0..200).map(extreme).collect())
    };
    assert!(fleet.try_submit(chain.clone()).is_some(), "a new leader refuses nothing");
    fleet.submit(chain);
    fleet.submit(submission(2, 0, vec![StepSpec { estimate: Duration::from_millis(u64::MAX), ..step(2, 1, 0) }]));
    for _ in 0..20 {
        fleet.step();
        for task in [0, 1].map(|index| TaskKey { job: JobId::new(1), occurrence: 0, step: index, index: 0 }) {
            let odd = RunningTask {
                task,
                run: RunNumber::new(u32::MAX),
                saved: String::new(),
                percent: 255,
                figure: u32::MAX,
            };
            let report = WorkerReport {
                worker: "odd".parse().expect("a name"),
                clock: Duration::from_millis(u64::MAX),
                capacity: ResourceSize::new(MilliCores::new(u32::MAX), MemoryBytes::new(u64::MAX)),
                running: vec![odd.clone(), odd],
                ..fleet.workers[0].current_report(fleet.now)
            };
            drop(fleet.dispatcher.receive(fleet.now, &fleet.state, &report));
            drop(fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence));
        }
    }
    // The sound workers still serve.
    let sound = fleet.submit(submission(3, 0, vec![step(4, 1, 200)]));
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.status(sound), Some(JobStatus::Completed));
}

/// Guards against a saturated leader that breaks promises instead of being slow: while it handles a tenth of the
/// reports in time, leases expire, ends and stops arrive late, and jobs are submitted and cancelled all the same. No
/// task may run twice or start in a zone out of service. Once the leader keeps up again, every job must end, and
/// nothing of a cancelled job may still run after two seconds.
#[rstest]
fn guarantees_hold_while_the_leader_is_saturated(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = FakeFleet::new(20, seed);
    fleet.run_for(Duration::from_secs(1));
    fleet.handled_percent = 10;
    let mut jobs: Vec<JobId> = Vec::new();
    for number in 0..FAULT_STEPS {
        match fleet.rng.next_below(30) {
            0..=3 => {
                let steps = RandomSteps::random(&mut fleet.rng);
                jobs.push(fleet.submit(submission(u64::from(number) + 1, 1, steps)));
            }
            4 if !jobs.is_empty() => {
                let index = usize::try_from(fleet.rng.next_below(jobs.len() as u64)).expect("small");
                fleet.cancel(jobs[index]);
            }
            5 if number % 10 == 0 => fleet.change_leader(),
            6 => fleet.set_zone("zone-b", ZoneDirection::Out),
            7 => fleet.set_zone("zone-b", ZoneDirection::In),
            // Runs that outlast a lease show whether the leader waits for its end.
            8 => jobs.push(fleet.submit(submission(u64::from(number) + 1, 1, vec![step(3, 2, 15_000)]))),
            _ => {}
        }
        fleet.step();
    }
    fleet.handled_percent = 100;
    fleet.set_zone("zone-b", ZoneDirection::In);
    fleet.run_for(Duration::from_secs(2));
    for worker in &fleet.workers {
        for task in worker.runs.keys() {
            assert_ne!(fleet.status(task.job), Some(JobStatus::Cancelled), "{task} of a cancelled job runs");
        }
    }
    assert!(fleet.run_until_done(Duration::from_mins(3)), "{}", fleet.describe_unfinished());
}

/// Guards against running a task again although its worker was only cut off: the run ends before the lease does, and
/// the worker reports the end after it was declared lost. While the task has not been placed again, the end must count.
#[test]
fn an_end_reported_after_the_loss_of_its_worker_counts() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(Duration::from_secs(1));
    let job = fleet.submit(submission(1, 1, vec![step(1, 1, 500)]));
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.starts, 1, "the task runs");
    fleet.workers[0].partitioned = true;
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.state.worker(&fleet.workers[0].id).is_some_and(|record| record.runs.is_empty()), "declared lost");
    fleet.workers[0].partitioned = false;
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
    assert_eq!(fleet.starts, 1, "the task runs once");
}

/// Guards against a count of waiting jobs that leaves out jobs which are placed and have not begun: their worker is lost
/// before it gets their start orders, or refuses them. A leader that has taken over meanwhile counts them, too.
#[rstest]
fn jobs_that_are_placed_and_have_not_begun_are_waiting(#[values(false, true)] leader_changes: bool) {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(Duration::from_secs(3));
    fleet.workers[0].up = false;
    let jobs: Vec<JobId> = (1..=4).map(|id| fleet.submit(submission(id, 0, vec![step(2, 1, 500)]))).collect();
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.state.worker(&fleet.workers[0].id).map(|record| record.runs.len()), Some(8), "placed");
    if leader_changes {
        fleet.change_leader();
        fleet.run_for(Duration::from_millis(2100));
    }
    for _ in 0..40 {
        assert_eq!(fleet.dispatcher.waiting_count(fleet.now, &fleet.state, "queue-0"), 4);
        fleet.run_for(Duration::from_millis(250));
    }
    fleet.workers[0].restart();
    fleet.workers[0].up = true;
    fleet.run_for(Duration::from_millis(600));
    assert_eq!(fleet.dispatcher.waiting_count(fleet.now, &fleet.state, "queue-0"), 0, "all have begun");
    assert!(fleet.run_until_done(Duration::from_secs(10)));
    assert!(jobs.iter().all(|job| fleet.status(*job) == Some(JobStatus::Completed)));
}

/// Guards against counting a refused run as begun, and against counting a job as waiting that a worker was seen to run.
#[test]
fn a_refused_run_does_not_begin_its_job() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(Duration::from_secs(3));
    let job = fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    let task = TaskKey { job, occurrence: 0, step: 0, index: 0 };
    let waiting = |fleet: &FakeFleet| fleet.dispatcher.waiting_count(fleet.now, &fleet.state, "queue-0");
    fleet.now = fleet.now + Duration::from_millis(50);
    let runs = fleet.dispatcher.plan(fleet.now, 0, &fleet.state);
    assert_eq!(runs.len(), 1);
    fleet.state.apply(&BatchCommand::Place { runs });
    assert_eq!(waiting(&fleet), 1);
    let refused = RunEnd {
        number: EndNumber::new(1),
        task,
        run: RunNumber::new(1),
        outcome: RunOutcome::Refused,
        saved: String::new(),
    };
    let report = WorkerReport { ended: vec![refused], ..fleet.workers[0].current_report(fleet.now) };
    let ReportAction::Commit(commands) = fleet.dispatcher.receive(fleet.now, &fleet.state, &report) else {
        panic!("a new report");
    };
    for command in &commands {
        fleet.state.apply(command);
    }
    assert_eq!(waiting(&fleet), 1, "refused");
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(waiting(&fleet), 0, "it runs");
    // Its worker is lost, after which it waits for a place but has begun.
    fleet.workers[0].up = false;
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(waiting(&fleet), 0);
}

/// Guards against a worker that has left and is in use again: the leader changes after the notice was answered, and a
/// delayed report of the worker is the first that the new leader hears of it. The worker's next incarnation works.
#[rstest]
fn a_departed_worker_is_not_in_use_after_a_change_of_leader(#[values(false, true)] has_run: bool) {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(Duration::from_secs(1));
    if has_run {
        fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
        fleet.run_for(Duration::from_millis(500));
    }
    let late = fleet.workers[0].current_report(fleet.now);
    let command = fleet.dispatcher.mark_departed(&fleet.state, &late.worker, Some(late.incarnation));
    assert_eq!(command.is_some(), !has_run);
    fleet.state.apply(&command.unwrap_or(BatchCommand::Forget { jobs: Vec::new() }));
    fleet.workers[0].up = false;
    // The runs of the worker are lost with its lease.
    fleet.run_for(Duration::from_secs(8));
    fleet.change_leader();
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.dispatcher.receive(fleet.now, &fleet.state, &late), ReportAction::Stale);
    let job = fleet.submit(submission(2, 0, vec![step(1, 1, 300)]));
    fleet.run_for(Duration::from_secs(1));
    assert!(fleet.state.worker(&late.worker).is_none_or(|record| record.runs.is_empty()), "nothing is placed on it");
    fleet.workers[0].restart();
    fleet.workers[0].up = true;
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}
