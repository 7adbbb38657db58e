//! Loads of short and best-effort jobs beside latency-critical ones, as at the heaviest deployment, at small scale.

use std::time::Duration;

use parsleywalk_batch::{DispatchSettings, JobId, JobSubmission, StepSpec};
use parsleywalk_units::{MonotonicTime, ZoneDirection};

use super::{FakeFleet, STEP_DURATION, TestRng, size, step, submission};

/// The number of workers; the deployment has 350.
const WORKERS: usize = 16;
/// How long jobs arrive.
const ARRIVALS: Duration = Duration::from_mins(1);
/// How long a play continues after them.
const DRAIN_TIME: Duration = Duration::from_secs(40);
/// How long a new leader refuses nothing.
const WARM_UP: Duration = Duration::from_secs(2);
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
    returns: None,
    zone_out: None,
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
    /// How often a refused caller returns; none is refused without this.
    pub(crate) returns: Option<u32>,
    /// When a third of the workers are taken out of service.
    pub(crate) zone_out: Option<Duration>,
}

/// The numbers of jobs by what they are worth to their callers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) never: usize,
    pub(crate) refused: usize,
}

impl Outcome {
    fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            never: self.never + other.never,
            refused: self.refused + other.refused,
        }
    }

    pub(crate) fn total(&self) -> usize {
        self.in_time + self.late + self.never + self.refused
    }
}

/// A job with a caller that waits for it, or that returns after having been refused.
#[derive(Debug)]
struct PlayedJob {
    kind: usize,
    submission: JobSubmission,
    /// The objective, which follows from the true durations.
    objective: Duration,
    returns: u32,
    /// When the job was accepted, or when the caller returns.
    at: MonotonicTime,
    is_accepted: bool,
}

impl PlayedJob {
    /// Submits the job.
    fn offer(&mut self, fleet: &mut FakeFleet, load: &Load, start: MonotonicTime) {
        self.at = fleet.now;
        let Some(returns) = load.returns else {
            self.is_accepted = true;
            fleet.submit(self.submission.clone());
            return;
        };
        let refusal = fleet.offer(self.submission.clone());
        let is_warm = load.leader_change.is_none_or(|at| !(at..at + WARM_UP).contains(&fleet.now.since(start)));
        assert!(refusal.is_none() || is_warm, "a new leader refuses a job");
        match refusal {
            None => self.is_accepted = true,
            Some(refusal) if self.returns < returns => {
                self.returns += 1;
                self.at = fleet.now + refusal.retry_after;
            }
            Some(_) => self.at = MonotonicTime::NEVER,
        }
    }

    fn outcome(&self, fleet: &FakeFleet) -> Outcome {
        let one = Outcome::default();
        if !self.is_accepted {
            return Outcome { refused: 1, ..one };
        }
        match fleet.ended_at.get(&self.submission.job).map(|ended| ended.since(self.at)) {
            Some(latency) if latency <= self.objective => Outcome { in_time: 1, ..one },
            Some(latency) if latency <= self.objective * LATENESS_LIMIT => Outcome { late: 1, ..one },
            _ => Outcome { never: 1, ..one },
        }
    }

    fn work(&self, fleet: &FakeFleet) -> f64 {
        let steps = (0u16..).zip(&self.submission.spec.steps);
        steps.map(|(step, spec)| f64::from(spec.count) * fleet.true_ms[&(self.submission.job, step)]).sum()
    }
}

/// What has come of a play.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Played {
    pub(crate) short: Outcome,
    pub(crate) best_effort: Outcome,
    /// The largest tenth of the best-effort jobs.
    pub(crate) large: Outcome,
    /// The number of runs started.
    pub(crate) starts: u64,
    /// The number of refusals that free workers disproved.
    pub(crate) disproved: u64,
}

impl Played {
    fn plus(self, other: Self) -> Self {
        Self {
            short: self.short.plus(other.short),
            best_effort: self.best_effort.plus(other.best_effort),
            large: self.large.plus(other.large),
            starts: self.starts + other.starts,
            disproved: self.disproved + other.disproved,
        }
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

/// Returns a job of a kind.
fn random_job(fleet: &mut FakeFleet, rng: &mut TestRng, id: u64, kind: usize, error: f64) -> PlayedJob {
    let JobKind { steps, tasks, cores, duration_ms, best_effort, .. } = KINDS[kind];
    let mut path_ms = 0.0;
    let steps = 1 + rng.next_below(steps);
    let mut specs = Vec::new();
    for number in 0..u16::try_from(steps).expect("small") {
        let true_ms = (duration_ms.ln() + SPREAD * normal(rng)).exp();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a few seconds")]
        let estimate_ms = (true_ms * (error * normal(rng)).exp()) as u64;
        let tasks = tasks / 2 + u32::try_from(rng.next_below(u64::from(tasks))).expect("small");
        fleet.true_ms.insert((JobId::new(id), number), true_ms);
        path_ms += true_ms;
        specs.push(StepSpec {
            depends_on: number.checked_sub(1).into_iter().collect(),
            best_effort,
            checkpointable: best_effort,
            image: "image".to_owned(),
            ..step(tasks, cores, estimate_ms)
        });
    }
    let priority = if best_effort { 2 } else { 0 };
    let (stretch, objective) = if best_effort { (2.0, 1000.0) } else { (1.5, 1200.0) };
    let latency_objective = Duration::from_secs_f64(objective / 1000.0);
    let submission = JobSubmission { stretch, latency_objective, ..submission(id, priority, specs) };
    let objective = Duration::from_secs_f64((path_ms * f64::from(stretch) + objective) / 1000.0);
    PlayedJob { kind, submission, objective, returns: 0, at: fleet.now, is_accepted: false }
}

/// Returns a fleet that serves the long-running jobs of a load.
fn start_fleet(load: &Load) -> FakeFleet {
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
    fleet
}

/// Plays a load.
fn play(load: &Load) -> Played {
    let mut fleet = start_fleet(load);
    let mut rng = TestRng::new(load.seed);
    let start = fleet.now;
    let (mut due, mut disproved) = ([0.0; 2], 0);
    let mut jobs: Vec<PlayedJob> = Vec::new();
    while fleet.now.since(start) < ARRIVALS + DRAIN_TIME {
        let now = fleet.now;
        let time = now.since(start);
        for job in jobs.iter_mut().filter(|job| !job.is_accepted && job.at <= now) {
            job.offer(&mut fleet, load, start);
        }
        for (kind, due) in due.iter_mut().enumerate().filter(|_| time < ARRIVALS) {
            let factor = if KINDS[kind].best_effort { (load.best_effort_factor)(time) } else { 1.0 };
            *due += KINDS[kind].per_second * factor * STEP_DURATION.as_secs_f64();
            while *due >= 1.0 {
                *due -= 1.0;
                let id = 1 + u64::try_from(jobs.len()).expect("small");
                let mut job = random_job(&mut fleet, &mut rng, id, kind, load.error);
                job.offer(&mut fleet, load, start);
                jobs.push(job);
            }
        }
        if load.leader_change == Some(time) {
            fleet.change_leader();
        }
        if load.zone_out == Some(time) {
            fleet.set_zone("zone-a", ZoneDirection::Out);
        }
        fleet.step();
        disproved += fleet.dispatcher.take_disproved_refusals();
    }
    let mut played = Played { starts: fleet.starts, disproved, ..Played::default() };
    let mut best_effort: Vec<&PlayedJob> = jobs.iter().filter(|job| KINDS[job.kind].best_effort).collect();
    best_effort.sort_by(|left, right| right.work(&fleet).total_cmp(&left.work(&fleet)));
    let sum = |jobs: &[&PlayedJob]| jobs.iter().fold(Outcome::default(), |sum, job| sum.plus(job.outcome(&fleet)));
    played.best_effort = sum(&best_effort);
    played.large = sum(&best_effort[..best_effort.len() / 10]);
    played.short = sum(&jobs.iter().filter(|job| !KINDS[job.kind].best_effort).collect::<Vec<_>>());
    played
}

/// Returns the sums of the outcomes of several seeds.
pub(crate) fn play_seeds(load: &Load) -> Played {
    let plays = (1..=SEEDS).map(|seed| play(&Load { seed, ..*load }));
    plays.fold(Played::default(), Played::plus)
}
