//! Loads in which tasks run several times as long away from a rack.

use std::time::Duration;

use parsleywalk_batch::{JobId, JobStatus, JobSubmission, PlaceWaitPolicy, PlaceWaitResults, StepSpec};
use parsleywalk_units::MonotonicTime;

use super::{FakeFleet, STEP_DURATION, TestRng, step, submission};

/// How many times as long a task takes away from its rack.
pub(crate) const FAR_X: f32 = 3.0;
/// The number of workers, of 32 cores each; four make a rack.
const WORKERS: usize = 32;
const RACKS: u64 = 8;
/// How long jobs arrive.
const ARRIVALS: Duration = Duration::from_secs(40);
/// How long each rack is away in turn.
const RACK_ABSENCE: Duration = Duration::from_secs(4);

/// A load, scaled to the service of 1,024 cores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RackLoad {
    /// Most jobs have no rack; a few want the same one.
    ColdRack,
    /// 60% of the jobs want the same rack, which is more than twice what it can run.
    HotRack,
    /// Each job wants any rack, and the workers of one rack after the other leave.
    LeavingRack,
    /// As the mixed load, and each estimate is 10 times too long or too short.
    WrongEstimates,
    /// All workers are on one rack.
    OneRack,
    /// Jobs that want any rack, rack-local steps, gangs and jobs without a rack.
    Mixed,
}

impl RackLoad {
    pub(crate) const ALL: [Self; 6] =
        [Self::ColdRack, Self::HotRack, Self::LeavingRack, Self::WrongEstimates, Self::OneRack, Self::Mixed];

    /// Returns the steps of a random job with their true durations in milliseconds.
    fn job(self, rng: &mut TestRng) -> Vec<(StepSpec, f64)> {
        let best_effort = rng.chance(40);
        let wanted = match self {
            Self::ColdRack => rng.chance(12).then_some(0),
            Self::HotRack => Some(if rng.chance(60) { 0 } else { rng.next_below(RACKS) }),
            Self::OneRack => Some(0),
            Self::LeavingRack => Some(rng.next_below(RACKS)),
            Self::WrongEstimates | Self::Mixed => rng.chance(50).then(|| rng.next_below(RACKS)),
        };
        let is_rack_local = wanted.is_none() && self != Self::ColdRack && rng.chance(40);
        let gang = !best_effort && is_rack_local && rng.chance(30);
        let steps = 1 + rng.next_below(2);
        let mut specs = Vec::new();
        for number in 0..u16::try_from(steps).expect("small") {
            let true_ms = 500 + rng.next_below(1500);
            let factor = if self == Self::WrongEstimates { [1, 100][usize::from(rng.chance(50))] } else { 10 };
            let count = 4 + u32::try_from(rng.next_below(8)).expect("small");
            let spec = StepSpec {
                depends_on: number.checked_sub(1).into_iter().collect(),
                best_effort,
                checkpointable: best_effort,
                image: "image".to_owned(),
                preferred_rack: wanted.map(|rack| format!("rack-{rack}")),
                rack_local: is_rack_local,
                gang,
                ..step(count, 5, true_ms * factor / 10)
            };
            #[allow(clippy::cast_precision_loss, reason = "small numbers")]
            specs.push((spec, true_ms as f64));
        }
        specs
    }

    /// Returns the number of jobs per second.
    const fn rate(self) -> f64 {
        match self {
            Self::ColdRack => 9.5,
            Self::HotRack | Self::LeavingRack => 5.0,
            Self::WrongEstimates | Self::OneRack | Self::Mixed => 8.0,
        }
    }
}

/// What the callers of a load get.
#[derive(Debug, Default, Clone)]
pub(crate) struct RackOutcome {
    /// The times to completion in seconds, sorted.
    pub(crate) latencies: Vec<f64>,
    /// The starts away from the rack.
    pub(crate) far_starts: u64,
    pub(crate) starts: u64,
    /// The longest time for which a job had nothing running while a worker had room for two of its tasks.
    pub(crate) longest_idle: Duration,
    pub(crate) results: PlaceWaitResults,
}

impl RackOutcome {
    pub(crate) fn mean(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "a few thousand jobs")]
        let count = self.latencies.len() as f64;
        self.latencies.iter().sum::<f64>() / count
    }

    pub(crate) fn percentile(&self, percent: usize) -> f64 {
        self.latencies[self.latencies.len() * percent / 100]
    }
}

/// Plays a load with a policy, or without waiting, for some seeds.
pub(crate) fn play(load: RackLoad, policy: Option<PlaceWaitPolicy>, seeds: u64) -> RackOutcome {
    let mut outcome = RackOutcome::default();
    for seed in 1..=seeds {
        play_seed(load, policy, seed, &mut outcome);
    }
    outcome.latencies.sort_by(f64::total_cmp);
    outcome
}

fn play_seed(load: RackLoad, policy: Option<PlaceWaitPolicy>, seed: u64, outcome: &mut RackOutcome) {
    let mut fleet = FakeFleet::new(WORKERS, seed);
    fleet.far_x = f64::from(FAR_X);
    fleet.settings.remote_factor = policy.map(|_| FAR_X);
    fleet.settings.place_wait_policy = policy.unwrap_or_default();
    fleet.change_leader();
    if load == RackLoad::OneRack {
        fleet.workers.iter_mut().for_each(|worker| "rack-0".clone_into(&mut worker.rack));
    }
    fleet.run_for(Duration::from_secs(3));
    let mut rng = TestRng::new(seed);
    let (start, mut due) = (fleet.now, 0.0);
    let mut jobs: Vec<(JobId, MonotonicTime, Duration)> = Vec::new();
    while fleet.now.since(start) < ARRIVALS || fleet.state.active_count() > 0 {
        due += if fleet.now.since(start) < ARRIVALS { load.rate() * STEP_DURATION.as_secs_f64() } else { 0.0 };
        // Arrivals vary as those of independent callers do.
        while due >= 1.0 {
            due -= 1.0;
            for _ in 0..rng.next_below(3) {
                let number = 1 + u64::try_from(jobs.len()).expect("small");
                let id = JobId::new(number);
                let (steps, durations): (Vec<StepSpec>, Vec<f64>) = load.job(&mut rng).into_iter().unzip();
                fleet.true_ms.extend((0u16..).zip(durations).map(|(step, true_ms)| ((id, step), true_ms)));
                let priority = if steps[0].best_effort { 2 } else { 0 };
                let latency_objective = Duration::from_millis(1200);
                fleet.submit(JobSubmission { latency_objective, ..submission(number, priority, steps) });
                jobs.push((id, fleet.now, Duration::ZERO));
            }
        }
        if load == RackLoad::LeavingRack {
            move_racks(&mut fleet, start);
        }
        fleet.step();
        observe_idle_jobs(&fleet, &mut jobs, outcome);
        assert!(fleet.now.since(start) < ARRIVALS * 4, "{:?}: {}", load, fleet.describe_unfinished());
    }
    for (job, accepted, _) in jobs {
        assert_eq!(fleet.status(job), Some(JobStatus::Completed));
        outcome.latencies.push(fleet.ended_at[&job].since(accepted).as_secs_f64());
    }
    outcome.far_starts += fleet.far_starts;
    outcome.starts += fleet.starts;
    let results = fleet.dispatcher.take_place_wait_results();
    outcome.results.won += results.won;
    outcome.results.lost += results.lost;
}

/// Drains the workers of one rack after the other for a while, and lets them crash in the middle of it.
fn move_racks(fleet: &mut FakeFleet, start: MonotonicTime) {
    let elapsed = fleet.now.since(start).as_millis();
    let (round, time) = (elapsed / RACK_ABSENCE.as_millis(), elapsed % RACK_ABSENCE.as_millis());
    for index in 0..fleet.workers.len() {
        let is_leaving = (index / 4) as u128 == round % u128::from(RACKS);
        fleet.workers[index].draining = is_leaving && time < 2000;
        if is_leaving && time == 2000 {
            fleet.crash(index);
        }
        fleet.workers[index].up = !(is_leaving && time >= 2000);
    }
}

/// Adds to the idle times of jobs that have nothing running while a worker has room for two of their tasks.
fn observe_idle_jobs(fleet: &FakeFleet, jobs: &mut [(JobId, MonotonicTime, Duration)], outcome: &mut RackOutcome) {
    let running: std::collections::BTreeSet<JobId> =
        fleet.workers.iter().flat_map(|worker| worker.runs.keys().map(|task| task.job)).collect();
    let used = |worker: &super::FakeWorker| worker.runs.values().map(|run| run.size.cores.get()).sum::<u32>();
    let usable = fleet.workers.iter().filter(|worker| worker.up && !worker.draining);
    let has_room = usable.into_iter().any(|worker| used(worker) + 10_000 <= worker.capacity.cores.get());
    for (job, _, idle) in jobs {
        if running.contains(job) || !fleet.state.is_active(*job) {
            *idle = Duration::ZERO;
        } else if has_room {
            *idle += STEP_DURATION;
            outcome.longest_idle = outcome.longest_idle.max(*idle);
        }
    }
}
