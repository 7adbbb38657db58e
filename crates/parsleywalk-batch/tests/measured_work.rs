//! Tests of predictions from measured work: the load of a deployment whose callers' estimates are wrong, at small scale.

mod support;

use std::time::Duration;

use parsleywalk_batch::{JobId, JobStatus, JobSubmission, StepSpec};
use parsleywalk_units::MonotonicTime;
use rstest::rstest;
use support::{FakeFleet, TestRng, size, step, submission};

/// The number of workers; the deployment has 350.
const WORKERS: usize = 16;
/// How long jobs arrive.
const ARRIVALS: Duration = Duration::from_mins(1);
/// A job later than this many times its objective is worth nothing.
const LATENESS_LIMIT: u32 = 3;

/// A kind of jobs.
#[derive(Debug, Clone, Copy)]
struct JobKind {
    per_second: f64,
    /// The largest number of steps.
    steps: u64,
    /// The mean number of tasks of a step.
    tasks: u32,
    cores: u32,
    /// The median duration of a task.
    duration_ms: f64,
    best_effort: bool,
}

/// The short and the best-effort jobs, for [`WORKERS`].
const KINDS: [JobKind; 2] = [
    JobKind { per_second: 0.53, steps: 2, tasks: 10, cores: 7, duration_ms: 900.0, best_effort: false },
    JobKind { per_second: 2.2, steps: 3, tasks: 20, cores: 7, duration_ms: 1500.0, best_effort: true },
];
/// The standard deviation of the logarithm of the tasks' true durations.
const SPREAD: f64 = 0.5;

/// The number of long-running jobs, of 14 tasks with 13 cores each.
const LONG_RUNNING_JOBS: u64 = 2;
/// The number of seeds over which outcomes are summed, since a single one is left to chance.
const SEEDS: u64 = 8;
/// The load without faults.
const LOAD: Load = Load { seed: 1, error: 0.0, measured_work: true, slow_workers: 0, leader_change: None };

/// A play of the load.
#[derive(Debug, Clone, Copy)]
struct Load {
    seed: u64,
    /// The standard deviation of the logarithm of the estimates' error.
    error: f64,
    measured_work: bool,
    /// The number of workers with a third of the speed.
    slow_workers: usize,
    /// When the leader changes.
    leader_change: Option<Duration>,
}

/// The numbers of jobs by what they are worth to their callers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Outcome {
    in_time: usize,
    late: usize,
    never: usize,
}

impl Outcome {
    fn plus(self, other: Self) -> Self {
        Self { in_time: self.in_time + other.in_time, late: self.late + other.late, never: self.never + other.never }
    }
}

/// Returns the tail latency beside best-effort tasks with the given share of the cores.
fn tail_latency_ms(share: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most a second")]
    let tail_latency_ms = (25.0 / (0.7 - share).max(0.025)) as u32;
    tail_latency_ms
}

/// Returns a number from the standard normal distribution.
fn normal(rng: &mut TestRng) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "small numbers")]
    let uniform = |rng: &mut TestRng| rng.next_below(1 << 20) as f64 / f64::from(1 << 20);
    (0..12).map(|_| uniform(rng)).sum::<f64>() - 6.0
}

/// Submits a job and returns its objective, which follows from the true durations.
fn submit(fleet: &mut FakeFleet, rng: &mut TestRng, id: u64, kind: &JobKind, error: f64) -> (JobId, Duration) {
    let mut path_ms = 0.0;
    let steps = 1 + rng.next_below(kind.steps);
    let mut specs = Vec::new();
    for number in 0..u16::try_from(steps).expect("small") {
        let true_ms = (kind.duration_ms.ln() + SPREAD * normal(rng)).exp();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a few seconds")]
        let estimate_ms = (true_ms * (error * normal(rng)).exp()) as u64;
        let tasks = kind.tasks / 2 + u32::try_from(rng.next_below(u64::from(kind.tasks))).expect("small");
        fleet.true_ms.insert((JobId::new(id), number), true_ms);
        path_ms += true_ms;
        specs.push(StepSpec {
            depends_on: number.checked_sub(1).into_iter().collect(),
            best_effort: kind.best_effort,
            checkpointable: kind.best_effort,
            image: "image".to_owned(),
            ..step(tasks, kind.cores, estimate_ms)
        });
    }
    let priority = if kind.best_effort { 2 } else { 0 };
    let (stretch, objective) = if kind.best_effort { (2.0, 1000.0) } else { (1.5, 1200.0) };
    let latency_objective = Duration::from_secs_f64(objective / 1000.0);
    let job = fleet.submit(JobSubmission { stretch, latency_objective, ..submission(id, priority, specs) });
    (job, Duration::from_secs_f64((path_ms * f64::from(stretch) + objective) / 1000.0))
}

/// Plays a load and returns the outcome of its short and its best-effort jobs.
fn play(load: &Load) -> [Outcome; 2] {
    let mut fleet = FakeFleet::new(WORKERS, load.seed);
    fleet.settings.measured_work = load.measured_work;
    fleet.change_leader();
    for (index, worker) in fleet.workers.iter_mut().enumerate() {
        worker.capacity = size(64, 250);
        worker.speed = if index < load.slow_workers { 0.33 } else { 1.0 };
    }
    fleet.tail_latency_ms = tail_latency_ms;
    let tail_objective = Some(Duration::from_millis(150));
    let serving = StepSpec { long_running: true, tail_objective, image: "serving".to_owned(), ..step(14, 13, 0) };
    for id in 1..=LONG_RUNNING_JOBS {
        fleet.submit(submission(1_000_000 + id, 0, vec![serving.clone()]));
    }
    fleet.run_for(Duration::from_secs(1));
    let mut rng = TestRng::new(load.seed);
    let start = fleet.now;
    let mut due = [0.0; 2];
    let mut jobs: Vec<(usize, JobId, MonotonicTime, Duration)> = Vec::new();
    while fleet.now.since(start) < ARRIVALS {
        for (kind, due) in due.iter_mut().enumerate() {
            *due += KINDS[kind].per_second * support::STEP_DURATION.as_secs_f64();
            while *due >= 1.0 {
                *due -= 1.0;
                let id = 1 + u64::try_from(jobs.len()).expect("small");
                let (job, objective) = submit(&mut fleet, &mut rng, id, &KINDS[kind], load.error);
                jobs.push((kind, job, fleet.now, objective));
            }
        }
        if load.leader_change.is_some_and(|at| fleet.now.since(start) == at) {
            fleet.change_leader();
        }
        fleet.step();
    }
    fleet.run_for(Duration::from_secs(40));
    let mut outcomes = [Outcome::default(); 2];
    for (kind, job, accepted, objective) in jobs {
        let latency = fleet.ended_at.get(&job).map(|ended| ended.since(accepted));
        let outcome = &mut outcomes[kind];
        match latency {
            Some(latency) if latency <= objective => outcome.in_time += 1,
            Some(latency) if latency <= objective * LATENESS_LIMIT => outcome.late += 1,
            _ => outcome.never += 1,
        }
    }
    outcomes
}

/// Returns the sums of the outcomes of several seeds.
fn play_seeds(load: &Load) -> [Outcome; 2] {
    let outcomes = (1..=SEEDS).map(|seed| play(&Load { seed, ..*load }));
    outcomes.fold([Outcome::default(); 2], |sums, outcome| [0, 1].map(|kind| sums[kind].plus(outcome[kind])))
}

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
    let [_, without] = play_seeds(&Load { measured_work: false, ..load });
    let [short, with] = play_seeds(&load);
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
