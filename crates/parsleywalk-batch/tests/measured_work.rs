//! Tests of predictions from measured work: the load of a deployment whose callers' estimates are wrong, at small scale.

mod support;

use std::time::Duration;

use parsleywalk_batch::{JobId, JobStatus, StepSpec};
use rstest::rstest;
use support::plays::{LOAD, Load, Outcome, Played, play_seeds};
use support::{FakeFleet, step, submission};

/// Guards against decisions that rely on wrong estimates, as measured on more best-effort jobs than the workers can run in
/// time: with predictions at least `min_percent` of the best-effort jobs in time without them must be, and not more may be
/// worthless than `max_percent`. Estimates that prove right must serve as before.
#[rstest]
#[case::wrong_estimates(Load { error: 0.9, ..LOAD }, 107, 90, 95)]
#[case::right_estimates(Load { error: 0.2, ..LOAD }, 98, 102, 110)]
#[case::new_leader(Load { error: 0.9, leader_change: Some(Duration::from_secs(30)), ..LOAD }, 107, 90, 95)]
#[case::slow_workers(Load { error: 0.9, slow_workers: 3, ..LOAD }, 115, 95, 97)]
fn jobs_are_in_time_despite_wrong_estimates(
    #[case] load: Load,
    #[case] min_percent: usize,
    #[case] max_percent: usize,
    #[case] max_never_percent: usize,
) {
    let without = play_seeds(&Load { settings: |settings| settings.measured_work = false, ..load }).best_effort;
    let Played { short, best_effort: with, .. } = play_seeds(&load);
    println!("without {without:?}\nwith {with:?}\nshort {short:?}");
    assert!(short.in_time * 100 >= 95 * (short.in_time + short.late + short.never), "{short:?}");
    assert!(with.in_time * 100 >= without.in_time * min_percent, "{with:?} instead of {without:?}");
    let unserved = |outcome: &Outcome| outcome.late + outcome.never;
    assert!(unserved(&with) * 100 <= unserved(&without) * max_percent, "{with:?} instead of {without:?}");
    assert!(with.never * 100 <= without.never * max_never_percent, "{with:?} instead of {without:?}");
}

/// Guards against a slow worker that delays each job, and against one that is avoided forever.
#[test]
fn a_slow_worker_is_used_last_until_it_recovers() {
    let mut fleet = FakeFleet::new(4, 1);
    fleet.workers[0].speed = 0.3;
    let mut id = 0;
    let mut starts_on_slow = |fleet: &mut FakeFleet, tasks: u32, seconds: u64| {
        let mut starts = 0;
        for _ in 0..seconds {
            id += 1;
            fleet.submit(submission(id, 1, vec![step(tasks, 4, 700)]));
            for _ in 0..20 {
                fleet.step();
                starts += fleet.workers[0].runs.keys().filter(|task| task.job == JobId::new(id)).count().min(1);
            }
        }
        starts
    };
    starts_on_slow(&mut fleet, 12, 5);
    assert_eq!(starts_on_slow(&mut fleet, 12, 20), 0, "the three others have room for 24 tasks");
    assert_ne!(starts_on_slow(&mut fleet, 32, 3), 0, "the others are full");
    fleet.workers[0].speed = 1.0;
    starts_on_slow(&mut fleet, 12, 62);
    assert_ne!(starts_on_slow(&mut fleet, 12, 5), 0, "the measurement is a minute old");
}

/// Guards against stopping runs as hung that only progress more slowly than the estimate or than others of their step.
#[rstest]
#[case::with_predictions(true)]
#[case::without_predictions(false)]
fn a_slow_run_is_not_hung(#[case] measured_work: bool) {
    let mut fleet = FakeFleet::new(4, 1);
    fleet.settings.measured_work = measured_work;
    fleet.change_leader();
    fleet.workers[0].speed = 0.25;
    fleet.run_for(Duration::from_secs(1));
    let spec = StepSpec { per_worker_limit: Some(1), ..step(4, 4, 1000) };
    let job = fleet.submit(submission(1, 1, vec![spec]));
    fleet.true_ms.insert((job, 0), 60_000.0);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(fleet.starts == 4, measured_work, "{} runs of 4 tasks", fleet.starts);
}

/// Guards against stopping runs on a draining worker that complete before it exits, because their estimates are too long.
#[rstest]
#[case::with_predictions(true)]
#[case::without_predictions(false)]
fn a_run_that_is_nearly_done_completes_on_a_draining_worker(#[case] measured_work: bool) {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.settings.measured_work = measured_work;
    fleet.change_leader();
    fleet.run_for(Duration::from_secs(1));
    let job = fleet.submit(submission(1, 1, vec![StepSpec { checkpointable: true, ..step(4, 4, 20_000) }]));
    fleet.true_ms.insert((job, 0), 2000.0);
    fleet.run_for(Duration::from_millis(1200));
    fleet.workers[0].draining = true;
    fleet.run_for(Duration::from_millis(1200));
    assert_eq!(fleet.status(job) == Some(JobStatus::Completed), measured_work);
}
