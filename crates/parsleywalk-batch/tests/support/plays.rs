//! Loads of short and best-effort jobs beside latency-critical ones, as at the heaviest deployment, at small scale.

use std::time::Duration;

use parsleywalk_batch::{DispatchSettings, JobId, JobSubmission, StepSpec};
use parsleywalk_units::MonotonicTime;

use super::{FakeFleet, STEP_DURATION, TestRng, size, step, submission};

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
const SEEDS: u64 = 16;
/// The load without faults.
pub(crate) const LOAD: Load = Load {
    seed: 1,
    error: 0.0,
    settings: |_| {},
    slow_workers: 0,
    leader_change: None,
    tail_latency_ms: |share| tail_latency_ms(0.3 + share),
    serving_per_worker: None,
    best_effort_factor: |_| 1.0,
};

/// A play of the load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    /// The standard deviation of the logarithm of the estimates' error.
    pub(crate) error: f64,
    pub(crate) settings: fn(&mut DispatchSettings),
    /// The number of workers with a third of the speed.
    pub(crate) slow_workers: usize,
    /// When the leader changes.
    pub(crate) leader_change: Option<Duration>,
    /// The tail latency beside best-effort tasks with the given share of the cores.
    pub(crate) tail_latency_ms: fn(f64) -> u32,
    /// The largest number of latency-critical tasks of a job on one worker.
    pub(crate) serving_per_worker: Option<u32>,
    /// The factor of the arrivals of best-effort jobs, by the time since the first.
    pub(crate) best_effort_factor: fn(Duration) -> f64,
}

/// The numbers of jobs by what they are worth to their callers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) never: usize,
}

impl Outcome {
    fn plus(self, other: Self) -> Self {
        Self { in_time: self.in_time + other.in_time, late: self.late + other.late, never: self.never + other.never }
    }
}

/// Returns the tail latency of a queue with the given load.
pub(crate) fn tail_latency_ms(load: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most a second")]
    let tail_latency_ms = (25.0 / (1.0 - load).max(0.025)) as u32;
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
    (load.settings)(&mut fleet.settings);
    fleet.change_leader();
    for (index, worker) in fleet.workers.iter_mut().enumerate() {
        worker.capacity = size(64, 250);
        worker.speed = if index < load.slow_workers { 0.33 } else { 1.0 };
    }
    fleet.tail_latency_ms = load.tail_latency_ms;
    let tail_objective = Some(Duration::from_millis(150));
    let (image, per_worker_limit) = ("serving".to_owned(), load.serving_per_worker);
    let serving = StepSpec { long_running: true, tail_objective, image, per_worker_limit, ..step(14, 13, 0) };
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
            let factor = if KINDS[kind].best_effort { (load.best_effort_factor)(fleet.now.since(start)) } else { 1.0 };
            *due += KINDS[kind].per_second * factor * STEP_DURATION.as_secs_f64();
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
pub(crate) fn play_seeds(load: &Load) -> [Outcome; 2] {
    let outcomes = (1..=SEEDS).map(|seed| play(&Load { seed, ..*load }));
    outcomes.fold([Outcome::default(); 2], |sums, outcome| [0, 1].map(|kind| sums[kind].plus(outcome[kind])))
}
