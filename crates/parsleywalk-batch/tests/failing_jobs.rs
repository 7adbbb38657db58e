//! Tests that failures are put down to the right party: a faulty job keeps no sound one waiting, and a faulty worker loses
//! its work.

mod support;

use std::time::{Duration, Instant};

use parsleywalk_batch::{JobId, JobSchedule, JobSpec, JobStatus, JobSubmission, RunEnd, RunOutcome, StepSpec};
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
use rstest::rstest;
use support::{FakeFleet, STEP_DURATION, step, submission};

/// Callers consider a job stuck that has had nothing running for this long while there is capacity for it.
const STUCK_AFTER: Duration = Duration::from_secs(3);
/// Callers consider a long-running task stuck that does not run this long after its last run.
const LONG_RUNNING_STUCK_AFTER: Duration = Duration::from_secs(9);
/// How long faulty jobs are at it before sound ones come.
const FAULTY_TIME: Duration = Duration::from_secs(12);
/// A worker that fails everything may fail this many runs of sound jobs in ten seconds: a few until it loses its work, and one or two
/// after each of its quarantines, to test it.
const FEW_FAILURES: usize = 8;

/// The id of a faulty job beside sound ones.
const FAULTY_JOB: u64 = 500;

/// The kind of step that a faulty job has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    Plain,
    LongRunning,
    Gang,
    LongRunningGang,
    Scheduled,
}

fn faulty_step(kind: StepKind, tasks: u32) -> StepSpec {
    StepSpec {
        gang: matches!(kind, StepKind::Gang | StepKind::LongRunningGang),
        long_running: matches!(kind, StepKind::LongRunning | StepKind::LongRunningGang),
        size: ResourceSize::new(MilliCores::new(20), MemoryBytes::new(1_000_000)),
        ..step(tasks, 1, 400)
    }
}

fn job_of(job: u64, payload: &str, kind: StepKind, tasks: u32, attempt_limit: u16) -> JobSubmission {
    let schedule = JobSchedule { first_unix_ms: 0, interval_ms: 400, occurrences: 30 };
    let spec = JobSpec {
        payload: payload.to_owned(),
        steps: vec![faulty_step(kind, tasks)],
        schedule: (kind == StepKind::Scheduled).then_some(schedule),
    };
    JobSubmission { spec, attempt_limit, ..submission(job, 0, Vec::new()) }
}

/// Returns the time until a task of the job runs, or `None` after [`STUCK_AFTER`].
fn wait_for_start(fleet: &mut FakeFleet, job: JobId) -> Option<Duration> {
    let submitted = fleet.now;
    while fleet.now.since(submitted) < STUCK_AFTER {
        fleet.step();
        if fleet.workers.iter().any(|worker| worker.runs.keys().any(|task| task.job == job)) {
            return Some(fleet.now.since(submitted));
        }
    }
    None
}

/// Guards against healthy workers that get no work, since all runs of a faulty job fail on them: other jobs waited for more
/// than 3 s on nearly empty workers.
#[rstest]
fn a_faulty_job_keeps_no_sound_one_waiting(
    #[values(
        "fails 50",
        "all-fail 50",
        "fails 200",
        "all-fail 200",
        "fails 1000",
        "fails 3500",
        "hangs",
        "alone 3000",
        "completes 100",
        "one-fails 100",
        "refused"
    )]
    payload: &str,
    #[values(StepKind::Plain, StepKind::LongRunning, StepKind::Gang, StepKind::LongRunningGang, StepKind::Scheduled)]
    kind: StepKind,
    #[values((1, 6), (30, 2))] (jobs, tasks): (u64, u32),
    #[values(2, 1000)] attempt_limit: u16,
    #[values(false, true)] leader_changes: bool,
) {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(1));
    // All together, the tasks of the faulty jobs need less than a fifth of the cores.
    for job in 0..jobs {
        fleet.submit(job_of(100 + job, payload, kind, tasks, attempt_limit));
    }
    fleet.run_for(FAULTY_TIME);
    if leader_changes {
        fleet.change_leader();
    }
    for round in 0..6 {
        let job = fleet.submit(submission(1 + round, 0, vec![step(4, 1, 700)]));
        let waited = wait_for_start(&mut fleet, job);
        assert!(waited.is_some(), "sound job {round} has not started: {}", fleet.describe_unfinished());
        fleet.run_for(Duration::from_millis(900));
    }
}

/// Guards against healthy workers that take one run at a time, since one task of a step fails wherever it runs, while the
/// step's other tasks complete.
#[test]
fn a_task_that_fails_everywhere_leaves_workers_in_use() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(1));
    for job in 0..3 {
        let mut faulty = job_of(100 + job, "one-fails 100", StepKind::Plain, 4, 4);
        faulty.spec.steps[0].estimate = Duration::from_secs(5);
        fleet.submit(faulty);
        fleet.run_for(Duration::from_millis(800));
    }
    let job = fleet.submit(submission(1, 0, vec![step(24, 1, 5_000)]));
    fleet.run_for(Duration::from_millis(300));
    let running: usize =
        fleet.workers.iter().map(|worker| worker.runs.keys().filter(|task| task.job == job).count()).sum();
    assert_eq!(running, 24, "tasks of a sound job run at once");
}

/// Guards against a worker that fails, hangs or refuses all its runs and goes on getting work, whether or not a faulty job
/// fails on the others as well.
#[rstest]
fn a_faulty_worker_loses_its_work(
    #[values("fails starts", "fails work", "hangs", "refuses")] fault: &str,
    #[values(1, 2)] faulty_workers: usize,
    #[values(false, true)] beside_faulty_job: bool,
) {
    let mut fleet = FakeFleet::new(8, 1);
    fleet.run_for(Duration::from_secs(1));
    if beside_faulty_job {
        fleet.submit(job_of(FAULTY_JOB, "fails 200", StepKind::LongRunning, 6, 2));
    }
    for worker in fleet.workers.iter_mut().take(faulty_workers) {
        (worker.fails_starts, worker.fails_runs) = (fault == "fails starts", fault == "fails work");
        (worker.hung, worker.refuses_starts) = (fault == "hangs", fault == "refuses");
    }
    for job in 0..50 {
        fleet.submit(submission(1 + job, 0, vec![step(6, 1, 400)]));
        fleet.run_for(Duration::from_millis(200));
    }
    let is_lost = |(_, end): &&(u64, RunEnd)| end.task.job != JobId::new(FAULTY_JOB) && end.outcome != RunOutcome::Done;
    let faulty = fleet.workers.iter().take(faulty_workers);
    let failed: Vec<usize> = faulty.map(|worker| worker.history.iter().filter(is_lost).count()).collect();
    assert!(failed.iter().all(|failed| (1..=FEW_FAILURES).contains(failed)), "{failed:?}");
    // Every job is done although each may fail three runs of a task only.
    fleet.run_for(Duration::from_secs(5));
    let unfinished = fleet.state.active_jobs().filter(|(job, _)| *job != JobId::new(FAULTY_JOB)).count();
    assert_eq!(unfinished, 0, "{}", fleet.describe_unfinished());
}

/// Guards against a worker that refuses whatever it is ordered to start, and is chosen again and again since it is the
/// emptiest: jobs have nothing running on nearly empty workers.
#[rstest]
fn a_worker_that_refuses_its_starts_keeps_no_job_waiting(
    #[values(1, 2)] refusing_workers: usize,
    #[values(StepKind::Plain, StepKind::LongRunning, StepKind::Gang)] kind: StepKind,
    #[values(1, 6)] tasks: u32,
) {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(1));
    for worker in fleet.workers.iter_mut().take(refusing_workers) {
        worker.refuses_starts = true;
    }
    for round in 0..6 {
        let job = fleet.submit(job_of(1 + round, "works", kind, tasks, 2));
        let waited = wait_for_start(&mut fleet, job);
        assert!(waited.is_some(), "job {round} has not started: {}", fleet.describe_unfinished());
        fleet.run_for(Duration::from_secs(4));
        let running = fleet.workers.iter().flat_map(|worker| worker.runs.keys()).filter(|task| task.job == job).count();
        assert!(kind != StepKind::LongRunning || running == tasks as usize, "{running} of {tasks} tasks run");
    }
    let is_refused = |(_, end): &&(u64, RunEnd)| end.outcome == RunOutcome::Refused;
    let refused: Vec<usize> =
        fleet.workers.iter().map(|worker| worker.history.iter().filter(is_refused).count()).collect();
    assert!(refused.iter().all(|refused| *refused <= FEW_FAILURES), "{refused:?} refusals");
}

/// Guards against a job that waits anew after each refusal: while all workers are quarantined, it has nothing running for
/// more than 3 s, as the first of them that it gets refuses its run.
#[test]
fn a_refused_run_does_not_restart_the_wait_of_its_job() {
    for faulty_time in (0..40).map(|step| Duration::from_millis(1_000 + 100 * step)) {
        let mut fleet = FakeFleet::new(5, 1);
        fleet.run_for(Duration::from_secs(1));
        fleet.submit(job_of(100, "fails 200", StepKind::LongRunning, 5, 1));
        let mut hanging = job_of(101, "hangs", StepKind::Scheduled, 2, 1);
        hanging.spec.schedule = Some(JobSchedule { first_unix_ms: 0, interval_ms: 500, occurrences: 2 });
        fleet.submit(hanging);
        fleet.workers[0].refuses_starts = true;
        fleet.run_for(faulty_time);
        let job = fleet.submit(submission(1, 0, vec![step(2, 1, 300)]));
        let waited = wait_for_start(&mut fleet, job);
        assert!(waited.is_some(), "{faulty_time:?}: the sound job has not started: {}", fleet.describe_unfinished());
    }
}

/// Guards against jobs that wait for a place on full workers and are given one that fails everything, which costs them
/// their attempts.
#[rstest]
fn a_faulty_worker_gets_no_work_while_others_are_full(#[values(1, 2, 3)] faulty_workers: usize) {
    let mut fleet = FakeFleet::new(3 + faulty_workers, 1);
    fleet.run_for(Duration::from_secs(1));
    for worker in fleet.workers.iter_mut().take(faulty_workers) {
        worker.fails_starts = true;
    }
    for job in 0..40 {
        fleet.submit(submission(1 + job, 0, vec![step(4, 16, 1_000)]));
    }
    fleet.run_for(Duration::from_secs(10));
    let faulty = fleet.workers.iter().take(faulty_workers);
    let failed: Vec<usize> = faulty.map(|worker| worker.failed_tasks.len()).collect();
    assert!(failed.iter().all(|failed| (1..=FEW_FAILURES).contains(failed)), "{failed:?} runs failed");
    fleet.run_until_done(Duration::from_mins(1));
    let completed = fleet.state.ended_jobs().filter(|(_, job)| job.status == JobStatus::Completed).count();
    assert_eq!(completed, 40, "{}", fleet.describe_unfinished());
}

/// Guards against a long-running task that waits longer for its restart than callers accept, however often it has failed,
/// and against a restart that stays delayed once the task has been at work.
#[test]
fn a_restart_is_delayed_within_bounds() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(1));
    let job = fleet.submit(job_of(1, "fails 100", StepKind::LongRunning, 1, 2));
    let mut longest = Duration::ZERO;
    let mut idle_since = None;
    let start = fleet.now;
    let mut starts = 0;
    while fleet.now.since(start) < Duration::from_mins(1) {
        fleet.step();
        let runs = fleet.workers.iter().any(|worker| worker.runs.keys().any(|task| task.job == job));
        match idle_since {
            Some(since) if runs => {
                longest = longest.max(fleet.now.since(since));
                starts += 1;
                idle_since = None;
            }
            None if !runs => idle_since = Some(fleet.now),
            _ => {}
        }
    }
    assert!(longest < LONG_RUNNING_STUCK_AFTER, "{longest:?}");
    // A run and its restart take 0.3 s without delays.
    assert!(starts < 30, "{starts} starts in a minute");
    assert!(longest > STEP_DURATION * 20, "{longest:?}");
}

/// Guards against a crash loop that takes a growing part of the leader, the log and the workers: each task is started at
/// most once in the longest delay.
#[test]
fn a_crash_loop_costs_a_bounded_share() {
    const TASKS: u32 = 500;
    const LONGEST_DELAY: Duration = Duration::from_secs(4);
    const MEASURED: Duration = Duration::from_secs(20);
    let mut fleet = FakeFleet::new(300, 1);
    fleet.run_for(Duration::from_secs(1));
    fleet.submit(job_of(1, "fails 100", StepKind::LongRunning, TASKS, 2));
    fleet.run_for(Duration::from_secs(20));
    let (starts, commands, clock) = (fleet.starts, fleet.commands, Instant::now());
    fleet.run_for(MEASURED);
    let (starts, commands) = (fleet.starts - starts, fleet.commands - commands);
    let seconds = MEASURED.as_secs();
    eprintln!(
        "{} starts and {} commands a second, {} us of processor time a simulated second",
        starts / seconds,
        commands / seconds,
        clock.elapsed().as_micros() / u128::from(seconds)
    );
    let allowed = u64::from(TASKS) * (seconds / LONGEST_DELAY.as_secs() + 1);
    assert!(starts <= allowed, "{starts} starts in {MEASURED:?}");
}

/// Guards against a worker that crashes again and again and is given the same tasks each time it is back, since it is empty
/// then: a task that runs for longer than the worker lives never ends, beside idle workers.
#[rstest]
fn a_worker_that_keeps_crashing_loses_its_work(
    #[values(StepKind::Plain, StepKind::LongRunning)] kind: StepKind,
    #[values(1, 4)] tasks: u32,
    #[values(300, 700, 1_500)] life_ms: u64,
) {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(1));
    let crashes = 10_000 / life_ms;
    let mut lost_runs = 0;
    for crash in 0..crashes {
        let mut job = job_of(1 + crash, "works", kind, tasks, 2);
        job.spec.steps[0].estimate = Duration::from_secs(2);
        fleet.submit(job);
        fleet.run_for(Duration::from_millis(life_ms));
        lost_runs += usize::from(!fleet.workers[0].runs.is_empty());
        fleet.crash(0);
    }
    assert!(lost_runs <= FEW_FAILURES / 2, "{lost_runs} of {crashes} crashes ended runs");
}
