//! What is hidden from the policies: true sizes, run times, interference, load, and the events of one run.

use std::f64::consts::TAU;

use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a run in seconds.
pub(crate) const LENGTH: u64 = 7200;
/// When the zone goes out and when it comes back.
pub(crate) const ZONE_OUT: u64 = 3000;
pub(crate) const ZONE_IN: u64 = 4500;
pub(crate) const WORKERS: usize = 50;
pub(crate) const CRITICAL: usize = 2;
pub(crate) const BATCH: usize = 6;
const GB: u64 = 1_000_000_000;

/// One of the two users of today.
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

    /// The weights of batch throughput and service latency.
    pub(crate) fn weights(self) -> (f64, f64) {
        match self {
            Self::Senderos => (0.7, 0.3),
            Self::Vihmavari => (0.3, 0.7),
        }
    }

    /// The range of declared run times in seconds: resurveys are long, repair orders short.
    fn run_times(self) -> (f64, f64) {
        match self {
            Self::Senderos => (300.0, 1800.0),
            Self::Vihmavari => (120.0, 900.0),
        }
    }
}

/// A batch service as declared and as it is.
#[derive(Debug, Clone)]
pub(crate) struct BatchTruth {
    pub(crate) declared: ResourceSize,
    pub(crate) run_time: f64,
    /// Actual over declared.
    pub(crate) cores: f64,
    pub(crate) memory: f64,
    pub(crate) time: f64,
    /// Seconds of progress between checkpoints.
    pub(crate) checkpoint: f64,
    pub(crate) team: usize,
    /// When it is three times as noisy.
    pub(crate) noisy: (u64, u64),
}

/// One event of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum BenchEvent {
    ZoneOut,
    /// The VMs of the zone that is out go away.
    ZoneGone,
    ZoneIn,
    WorkerLost(usize),
    WorkerBack(usize),
    /// The worker fails everything that it starts.
    Breaks(usize),
    Mends(usize),
    CancelFlood,
    UrgentBurst(usize),
}

/// Everything that one seed fixes.
#[derive(Debug, Clone)]
pub(crate) struct HiddenTruth {
    pub(crate) batch: Vec<BatchTruth>,
    /// Slow-down of each critical service for each core of a batch service, at half load.
    pub(crate) slopes: [[f64; BATCH]; CRITICAL],
    pub(crate) events: Vec<(u64, BenchEvent)>,
    phase: f64,
    spikes: Vec<(u64, u64)>,
}

impl HiddenTruth {
    pub(crate) fn draw(user: BenchUser, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919) + user as u64);
        let (shortest, longest) = user.run_times();
        let batch = (0..BATCH)
            .map(|number| {
                let cores = [2, 4, 4, 6, 8, 12][number];
                let noisy_from = rng.random_range(600..LENGTH - 900);
                BatchTruth {
                    declared: ResourceSize::new(
                        MilliCores::new(cores * 1000),
                        MemoryBytes::new(u64::from(cores) * 3 * GB),
                    ),
                    run_time: rng.random_range(shortest..longest),
                    cores: rng.random_range(0.6..1.5),
                    memory: rng.random_range(0.6..1.8),
                    time: rng.random_range(0.4..2.5),
                    checkpoint: rng.random_range(60.0..240.0),
                    team: number % 3,
                    noisy: (noisy_from, noisy_from + rng.random_range(300..900)),
                }
            })
            .collect();
        let mut slopes = [[0.0; BATCH]; CRITICAL];
        for row in &mut slopes {
            for slope in row.iter_mut() {
                *slope = rng.random_range(0.0..0.004);
            }
            // Two batch services harm each critical one, and not the same two.
            for _ in 0..2 {
                row[rng.random_range(0..BATCH)] = rng.random_range(0.02..0.06);
            }
        }
        let events = draw_events(&mut rng);
        let spikes = (0..4)
            .map(|_| {
                let from = rng.random_range(300..LENGTH - 300);
                (from, from + rng.random_range(60..300))
            })
            .collect();
        Self { batch, slopes, events, phase: rng.random_range(0.0..TAU), spikes }
    }

    /// The requests that arrive, as a share of what all instances can carry.
    pub(crate) fn load(&self, tick: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "seconds of one run")]
        let wave = (tick as f64 / 2400.0 * TAU + self.phase).sin();
        let spike = self.spikes.iter().any(|(from, to)| (*from..*to).contains(&tick));
        0.5 + 0.2 * wave + if spike { 0.15 } else { 0.0 }
    }

    /// The memory that the mix of batch services needs for each core, both at least as declared.
    pub(crate) fn memory_per_core(&self) -> f64 {
        let mut sums = (0.0, 0.0);
        for batch in &self.batch {
            // Long tasks make up more of what runs.
            let weight = batch.run_time * batch.time;
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let memory = batch.declared.memory.get() as f64 * batch.memory.max(1.0);
            sums.0 += weight * memory;
            sums.1 += weight * f64::from(batch.declared.cores.get()) / 1000.0 * batch.cores.max(1.0);
        }
        sums.0 / sums.1
    }

    /// The share of the time of undisturbed tasks that is not spent on restoring their state.
    pub(crate) fn useful_share(&self, restore: f64) -> f64 {
        let mut sums = (0.0, 0.0);
        for batch in &self.batch {
            let cores = f64::from(batch.declared.cores.get()) * batch.cores.max(1.0);
            sums.0 += cores * batch.run_time * batch.time;
            sums.1 += cores * (batch.run_time * batch.time + restore);
        }
        sums.0 / sums.1
    }

    pub(crate) fn noise(&self, batch: usize, tick: u64) -> f64 {
        let (from, to) = self.batch[batch].noisy;
        if (from..to).contains(&tick) { 3.0 } else { 1.0 }
    }
}

fn draw_events(rng: &mut Pcg64Mcg) -> Vec<(u64, BenchEvent)> {
    let mut events =
        vec![(ZONE_OUT, BenchEvent::ZoneOut), (ZONE_OUT + 300, BenchEvent::ZoneGone), (ZONE_IN, BenchEvent::ZoneIn)];
    let mut tick = 400;
    while tick + 300 < LENGTH {
        let worker = rng.random_range(0..WORKERS);
        events.push((tick, BenchEvent::WorkerLost(worker)));
        events.push((tick + 180, BenchEvent::WorkerBack(worker)));
        tick += rng.random_range(500..1100);
    }
    // A whole rack fails without notice, outside the zone's absence.
    let (rack, failed) = (rng.random_range(0..WORKERS / 8), rng.random_range(5200..LENGTH - 900));
    for worker in rack * 8..rack * 8 + 8 {
        events.push((failed, BenchEvent::WorkerLost(worker)));
        events.push((failed + 600, BenchEvent::WorkerBack(worker)));
    }
    for _ in 0..3 {
        let (worker, from) = (rng.random_range(0..WORKERS), rng.random_range(300..LENGTH - 1500));
        events.push((from, BenchEvent::Breaks(worker)));
        events.push((from + 1200, BenchEvent::Mends(worker)));
    }
    for _ in 0..4 {
        events.push((rng.random_range(600..LENGTH - 300), BenchEvent::CancelFlood));
    }
    for _ in 0..15 {
        events.push((rng.random_range(300..LENGTH - 300), BenchEvent::UrgentBurst(rng.random_range(2..6))));
    }
    events.sort_by_key(|(tick, _)| *tick);
    events
}
