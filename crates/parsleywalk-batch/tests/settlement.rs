//! Tests of what the ends of runs mean for their jobs.

mod support;

use std::time::Duration;

use parsleywalk_batch::{JobId, JobStatus, JobSubmission, RunOutcome, StepSpec, TaskKey};
use rstest::rstest;
use support::{FakeFleet, step, submission};

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
