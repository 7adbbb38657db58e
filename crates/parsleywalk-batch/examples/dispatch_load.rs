//! Measures the leader's scheduling work on simulated workers.
//!
//! Each row plays the same load per worker: jobs of two steps of 40 best-effort tasks, short jobs of 13 tasks, and
//! latency-critical jobs of 24 tasks, of 30 images each. The best-effort tasks interfere with the latency-critical
//! ones. It prints the time that the simulation took for each simulated second, which includes the simulated workers.
//! Run it under a sampling profiler to see the leader's share.
//!
//! ```console
//! $ cargo run --release -p parsleywalk-batch --example dispatch_load -- 100 300 1100
//! ```

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use parsleywalk_batch::{JobStatus, StepSpec};
use support::{FakeFleet, step, submission};

/// Simulated duration of each row.
const PLAYED_SECONDS: u64 = 20;
/// Jobs per second on 1100 workers: short, best-effort and long-running.
const JOBS_PER_SECOND: [f64; 3] = [16.5, 20.1, 1.2];
/// The number of images of each kind of job.
const IMAGES: u64 = 30;
/// The number of workers that `JOBS_PER_SECOND` refers to.
const REFERENCE_WORKERS: f64 = 1100.0;

fn main() {
    println!("workers  starts/s  ended jobs  ms/s");
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    for workers in if sizes.is_empty() { vec![100, 300, 1100] } else { sizes } {
        play(workers);
    }
}

/// Returns the tail latency beside best-effort tasks with the given share of the cores.
fn tail_latency_ms(share: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most a second")]
    let tail_latency_ms = (25.0 / (0.7 - share).max(0.025)) as u32;
    tail_latency_ms
}

/// Returns the steps of a job of the given kind.
fn steps(kind: usize, number: u64) -> Vec<StepSpec> {
    let image = format!("image-{}", number % IMAGES);
    let cores = 2 + u32::try_from(number / IMAGES % 5).unwrap_or_default();
    let best_effort =
        StepSpec { best_effort: true, checkpointable: true, image: image.clone(), ..step(40, cores, 2700) };
    match kind {
        0 => vec![step(13, 2 * cores, 1000)],
        1 => vec![best_effort.clone(), StepSpec { depends_on: vec![0], ..best_effort }],
        _ => vec![StepSpec {
            long_running: true,
            tail_objective: Some(Duration::from_millis(150)),
            image,
            ..step(24, cores, 320)
        }],
    }
}

fn play(workers: usize) {
    let mut fleet = FakeFleet::new(workers, 1);
    fleet.tail_latency_ms = tail_latency_ms;
    #[allow(clippy::cast_precision_loss, reason = "a few thousand workers")]
    let scale = workers as f64 / REFERENCE_WORKERS;
    let mut due = [0.0; 3];
    let mut next_job: u64 = 1;
    let start = Instant::now();
    for _ in 0..PLAYED_SECONDS * 20 {
        for (kind, due) in due.iter_mut().enumerate() {
            *due += JOBS_PER_SECOND[kind] * scale / 20.0;
            while *due >= 1.0 {
                *due -= 1.0;
                let priority = if kind == 1 { 2 } else { 0 };
                // Ids are spread, as those that callers choose.
                let id = next_job.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                fleet.submit(submission(id, priority, steps(kind, next_job)));
                next_job += 1;
            }
        }
        fleet.step();
    }
    let elapsed = start.elapsed();
    let ended = fleet.state.ended_jobs().filter(|(_, job)| job.status == JobStatus::Completed).count();
    println!(
        "{workers:7}  {:8}  {ended:10}  {:.1}",
        fleet.starts / PLAYED_SECONDS,
        elapsed.as_secs_f64() * 1000.0 / f64::from(u32::try_from(PLAYED_SECONDS).unwrap_or(1))
    );
}
