//! Tests of workers whose runs have failed: suspicion must not leave idle workers without work.

mod support;

use std::time::Duration;

use parsleywalk_batch::{JobId, JobStatus, StepSpec};
use support::{FakeFleet, step, submission};

/// Callers consider a job stuck that has had nothing running for this long while there is capacity for it.
const STUCK_AFTER: Duration = Duration::from_secs(3);

/// A fleet on whose workers runs have failed until each was on probation, and which work again.
fn fleet_on_probation(workers: usize) -> FakeFleet {
    let mut fleet = FakeFleet::new(workers, 1);
    for worker in &mut fleet.workers {
        worker.fails_runs = true;
    }
    let tasks = u32::try_from(workers * 2).expect("small");
    let hopeless = fleet.submit(submission(1, 0, vec![step(tasks, 1, 200)]));
    fleet.run_for(Duration::from_secs(6));
    assert_eq!(fleet.status(hopeless), Some(JobStatus::Failed));
    for worker in &mut fleet.workers {
        worker.fails_runs = false;
    }
    fleet
}

fn has_run(fleet: &FakeFleet, job: JobId) -> bool {
    fleet.workers.iter().any(|worker| worker.runs.keys().any(|task| task.job == job))
        || fleet.status(job) == Some(JobStatus::Completed)
}

/// Guards against a gang that is never placed on idle workers, because each of them is on probation and may get one run
/// while the gang has more members than there are workers.
#[test]
fn a_gang_is_placed_on_workers_on_probation() {
    let mut fleet = fleet_on_probation(12);
    let gang = StepSpec { gang: true, ..step(24, 1, 500) };
    let job = fleet.submit(submission(2, 0, vec![gang]));
    fleet.run_for(STUCK_AFTER);
    assert!(has_run(&fleet, job), "{}", fleet.describe_unfinished());
    assert!(fleet.run_until_done(Duration::from_secs(5)));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}

/// Guards against a job that waits for as long as the runs last that test the workers.
#[test]
fn a_job_is_placed_beside_the_runs_that_test_workers() {
    let mut fleet = fleet_on_probation(4);
    for id in 2..=5 {
        fleet.submit(submission(id, 0, vec![step(1, 1, 60_000)]));
    }
    fleet.run_for(Duration::from_secs(2));
    let job = fleet.submit(submission(6, 0, vec![step(1, 1, 300)]));
    fleet.run_for(STUCK_AFTER);
    assert!(has_run(&fleet, job), "{}", fleet.describe_unfinished());
}

/// Guards against a worker that stays on probation for ever, since it runs only tasks that never complete.
#[test]
fn a_long_running_task_at_work_ends_the_probation() {
    let mut fleet = fleet_on_probation(2);
    let lasting = StepSpec { long_running: true, ..step(2, 1, 0) };
    fleet.submit(submission(2, 0, vec![lasting]));
    fleet.run_for(Duration::from_secs(6));
    // Each worker takes several runs at once again.
    let job = fleet.submit(submission(3, 0, vec![step(8, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    let running = fleet.workers.iter().flat_map(|worker| worker.runs.keys()).filter(|task| task.job == job).count();
    assert_eq!(running, 8);
}
