//! Ground truth of one run, hidden from the policies: true sizes, run times, interference, load and events.

use std::f64::consts::TAU;

use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a run.
pub(crate) const RUN_SECONDS: u64 = 7200;
/// Second at which the zone goes out of service.
pub(crate) const ZONE_OUT_AT: u64 = 3000;
/// Second at which the zone is back in service.
pub(crate) const ZONE_BACK_AT: u64 = 4500;
pub(crate) const WORKER_COUNT: usize = 50;
pub(crate) const CRITICAL_SERVICE_COUNT: usize = 2;
pub(crate) const BATCH_SERVICE_COUNT: usize = 6;
const GB: u64 = 1_000_000_000;

/// A user with its own objective weights and run times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BenchUser {
    Senderos,
    Vihmavari,
}

impl BenchUser {
    pub(crate) const ALL: [Self; 2] = [Self::Senderos, Self::Vihmavari];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Senderos => "senderos",
            Self::Vihmavari => "vihmavari",
        }
    }

    /// Returns the weights of batch throughput and service latency.
    pub(crate) fn weights(self) -> (f64, f64) {
        match self {
            Self::Senderos => (0.7, 0.3),
            Self::Vihmavari => (0.3, 0.7),
        }
    }

    /// Returns the range of declared run times in seconds. Resurveys are long, repair orders short.
    fn run_times(self) -> (f64, f64) {
        match self {
            Self::Senderos => (300.0, 1800.0),
            Self::Vihmavari => (120.0, 900.0),
        }
    }
}

/// Declared and true properties of a batch service.
#[derive(Debug, Clone)]
pub(crate) struct BatchTruth {
    pub(crate) declared: ResourceSize,
    /// Declared run time in seconds.
    pub(crate) run_time: f64,
    /// Actual over declared processors.
    pub(crate) core_ratio: f64,
    /// Actual over declared memory.
    pub(crate) memory_ratio: f64,
    /// Actual over declared run time.
    pub(crate) run_time_ratio: f64,
    /// Seconds of progress between checkpoints.
    pub(crate) checkpoint: f64,
    pub(crate) team: usize,
    /// Interval of seconds in which the service causes three times its usual interference.
    pub(crate) noisy: (u64, u64),
}

/// One event of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum BenchEvent {
    ZoneOutOfService,
    /// The VMs of the zone out of service are lost.
    ZoneLost,
    ZoneBackInService,
    WorkerLost(usize),
    WorkerBack(usize),
    /// All tasks that start on the worker fail from now on.
    WorkerBreaks(usize),
    WorkerRecovers(usize),
    CancelFlood,
    UrgentBurst(usize),
}

/// All hidden properties of a run, determined by its seed.
#[derive(Debug, Clone)]
pub(crate) struct GroundTruth {
    pub(crate) batch: Vec<BatchTruth>,
    /// Slowdown of each latency-critical service per core of a batch service, at half load.
    pub(crate) slopes: [[f64; BATCH_SERVICE_COUNT]; CRITICAL_SERVICE_COUNT],
    pub(crate) events: Vec<(u64, BenchEvent)>,
    phase: f64,
    spikes: Vec<(u64, u64)>,
}

impl GroundTruth {
    pub(crate) fn generate(user: BenchUser, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919) + user as u64);
        let (shortest, longest) = user.run_times();
        let batch = (0..BATCH_SERVICE_COUNT)
            .map(|number| {
                let cores = [2, 4, 4, 6, 8, 12][number];
                let noisy_from = rng.random_range(600..RUN_SECONDS - 900);
                BatchTruth {
                    declared: ResourceSize::new(
                        MilliCores::new(cores * 1000),
                        MemoryBytes::new(u64::from(cores) * 3 * GB),
                    ),
                    run_time: rng.random_range(shortest..longest),
                    core_ratio: rng.random_range(0.6..1.5),
                    memory_ratio: rng.random_range(0.6..1.8),
                    run_time_ratio: rng.random_range(0.4..2.5),
                    checkpoint: rng.random_range(60.0..240.0),
                    team: number % 3,
                    noisy: (noisy_from, noisy_from + rng.random_range(300..900)),
                }
            })
            .collect();
        let mut slopes = [[0.0; BATCH_SERVICE_COUNT]; CRITICAL_SERVICE_COUNT];
        for row in &mut slopes {
            for slope in row.iter_mut() {
                *slope = rng.random_range(0.0..0.004);
            }
            // Two batch services, different for each latency-critical service, interfere strongly.
            for _ in 0..2 {
                row[rng.random_range(0..BATCH_SERVICE_COUNT)] = rng.random_range(0.02..0.06);
            }
        }
        let events = generate_events(&mut rng);
        let spikes = (0..4)
            .map(|_| {
                let from = rng.random_range(300..RUN_SECONDS - 300);
                (from, from + rng.random_range(60..300))
            })
            .collect();
        Self { batch, slopes, events, phase: rng.random_range(0.0..TAU), spikes }
    }

    /// Returns the request rate as a share of what all instances can serve.
    pub(crate) fn load(&self, tick: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "seconds of one run")]
        let wave = (tick as f64 / 2400.0 * TAU + self.phase).sin();
        let spike = self.spikes.iter().any(|(from, to)| (*from..*to).contains(&tick));
        0.5 + 0.2 * wave + if spike { 0.15 } else { 0.0 }
    }

    /// Returns the memory that the mix of batch services needs per core. Both count at least as declared.
    pub(crate) fn memory_per_core(&self) -> f64 {
        let mut sums = (0.0, 0.0);
        for batch in &self.batch {
            // Long tasks are a larger part of the running tasks.
            let weight = batch.run_time * batch.run_time_ratio;
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let memory = batch.declared.memory.get() as f64 * batch.memory_ratio.max(1.0);
            sums.0 += weight * memory;
            sums.1 += weight * f64::from(batch.declared.cores.get()) / 1000.0 * batch.core_ratio.max(1.0);
        }
        sums.0 / sums.1
    }

    /// Returns the share of the run time of uninterrupted tasks that is not spent on restoring their state.
    pub(crate) fn useful_share(&self, restore: f64) -> f64 {
        let mut sums = (0.0, 0.0);
        for batch in &self.batch {
            let cores = f64::from(batch.declared.cores.get()) * batch.core_ratio.max(1.0);
            sums.0 += cores * batch.run_time * batch.run_time_ratio;
            sums.1 += cores * (batch.run_time * batch.run_time_ratio + restore);
        }
        sums.0 / sums.1
    }

    /// Returns the factor by which a batch service's interference deviates from its usual value.
    pub(crate) fn noise(&self, batch: usize, tick: u64) -> f64 {
        let (from, to) = self.batch[batch].noisy;
        if (from..to).contains(&tick) { 3.0 } else { 1.0 }
    }
}

fn generate_events(rng: &mut Pcg64Mcg) -> Vec<(u64, BenchEvent)> {
    let mut events = vec![
        (ZONE_OUT_AT, BenchEvent::ZoneOutOfService),
        (ZONE_OUT_AT + 300, BenchEvent::ZoneLost),
        (ZONE_BACK_AT, BenchEvent::ZoneBackInService),
    ];
    let mut tick = 400;
    while tick + 300 < RUN_SECONDS {
        let worker = rng.random_range(0..WORKER_COUNT);
        events.push((tick, BenchEvent::WorkerLost(worker)));
        events.push((tick + 180, BenchEvent::WorkerBack(worker)));
        tick += rng.random_range(500..1100);
    }
    // A whole rack fails without warning, outside the zone outage.
    let (rack, failed) = (rng.random_range(0..WORKER_COUNT / 8), rng.random_range(5200..RUN_SECONDS - 900));
    for worker in rack * 8..rack * 8 + 8 {
        events.push((failed, BenchEvent::WorkerLost(worker)));
        events.push((failed + 600, BenchEvent::WorkerBack(worker)));
    }
    for _ in 0..3 {
        let (worker, from) = (rng.random_range(0..WORKER_COUNT), rng.random_range(300..RUN_SECONDS - 1500));
        events.push((from, BenchEvent::WorkerBreaks(worker)));
        events.push((from + 1200, BenchEvent::WorkerRecovers(worker)));
    }
    for _ in 0..4 {
        events.push((rng.random_range(600..RUN_SECONDS - 300), BenchEvent::CancelFlood));
    }
    for _ in 0..15 {
        events.push((rng.random_range(300..RUN_SECONDS - 300), BenchEvent::UrgentBurst(rng.random_range(2..6))));
    }
    events.sort_by_key(|(tick, _)| *tick);
    events
}
