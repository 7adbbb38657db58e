//! Measures the cost of the control plane for each daemon at increasing numbers of workers, for `docs/CAPACITY.md`.
//!
//! Seven coordinators (five replicas, two observers) run in one thread and simulated time. They keep all model workers
//! busy and replace tasks at a rate proportional to the number of workers. Processor time is the time that the steps of
//! each coordinator take on this machine; bytes are those of the encoded messages. For each number of workers the
//! program prints a row for each role, and at the end the slope of each figure against the number of workers.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a short measurement are far below 2^52"
)]

mod fleet;
mod group;
mod process;

use std::time::{Duration, Instant};

use clap::Parser;
use parsleywalk_control::ControlState;

use crate::fleet::WorkerFleet;
use crate::group::{DaemonGroup, DaemonRole, RoleCost};

/// Batch tasks and service instances per worker at the projected size: 120,000 and 22,000 on 4,400 workers.
const BATCH_TASKS_PER_WORKER: f64 = 120_000.0 / 4400.0;
const INSTANCES_PER_WORKER: f64 = 22_000.0 / 4400.0;
/// Task starts per second and worker at the projected peak.
const STARTS_PER_WORKER_SECOND: f64 = 340.0 / 4400.0;

/// Measures the cost of the control plane and its slopes against the number of workers.
#[derive(Debug, Parser)]
struct SlopeArguments {
    /// Numbers of workers to measure, in increasing order.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 500, 1500, 4400])]
    workers: Vec<usize>,
    /// Duration of each measurement, in simulated seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// The result of the measurement at one number of workers.
struct SizeResult {
    workers: usize,
    costs: Vec<(DaemonRole, RoleCost)>,
    state_bytes: u64,
    snapshot_bytes: usize,
    tasks: u32,
}

fn main() {
    let arguments = SlopeArguments::parse();
    let results: Vec<SizeResult> =
        arguments.workers.iter().map(|workers| measure(*workers, arguments.seconds)).collect();
    print_slopes(&results);
}

fn measure(workers: usize, seconds: u64) -> SizeResult {
    let mut group = DaemonGroup::start();
    let mut fleet = WorkerFleet::new(workers);
    let batch = (workers as f64 * BATCH_TASKS_PER_WORKER) as u32;
    let instances = (workers as f64 * INSTANCES_PER_WORKER) as u32;
    group.configure(instances);
    group.run(&mut fleet, Duration::from_secs(3), 0.0);
    group.submit(batch);
    let total = batch + instances;
    let mut waited = 0;
    while group.running() < total * 97 / 100 && waited < 120 {
        group.run(&mut fleet, Duration::from_secs(2), 0.0);
        waited += 2;
    }
    let tasks = group.running();
    let (encoded, resident) = measure_state(group.state());
    group.reset_costs();
    let started = group.starts();
    group.run(&mut fleet, Duration::from_secs(seconds), workers as f64 * STARTS_PER_WORKER_SECOND);
    let starts = (group.starts() - started) as f64 / seconds as f64;
    println!(
        "\n{workers} workers, {tasks} of {total} tasks running, {starts:.1} starts/s, {:.0} reports/s, report {} \
         bytes, response {} bytes",
        fleet.reports as f64 / seconds as f64,
        fleet.report_bytes,
        fleet.response_bytes
    );
    println!("snapshot {} KB, state in memory {} KB", encoded / 1000, resident / 1000);
    println!(
        "{:<10} {:>9} {:>12} {:>12} {:>12} {:>12}",
        "role", "core %", "log B/s out", "log B/s in", "call B/s out", "call B/s in"
    );
    let costs = group.costs(seconds);
    for (role, cost) in &costs {
        println!(
            "{role:<10} {:>9.3} {:>12.0} {:>12.0} {:>12.0} {:>12.0}",
            cost.core_percent, cost.log_bytes_out, cost.log_bytes_in, cost.call_bytes_out, cost.call_bytes_in
        );
    }
    SizeResult { workers, costs, state_bytes: resident, snapshot_bytes: encoded, tasks }
}

/// Returns the size of a snapshot and the memory of the state decoded from it, in bytes.
fn measure_state(state: &ControlState) -> (usize, u64) {
    let bytes = state.encode();
    let before = process::resident_bytes();
    let start = Instant::now();
    let copy = ControlState::decode(&bytes).expect("an encoded state");
    let elapsed = start.elapsed();
    let resident = process::resident_bytes().saturating_sub(before);
    println!("snapshot load {:.3} s", elapsed.as_secs_f64());
    drop(copy);
    (bytes.len(), resident)
}

/// Prints the least-squares slope of each figure against the number of workers.
fn print_slopes(results: &[SizeResult]) {
    println!("\nslopes for each 1,000 workers, by least squares over {} sizes", results.len());
    let slope = |value: &dyn Fn(&SizeResult) -> f64| {
        let points: Vec<(f64, f64)> = results.iter().map(|result| (result.workers as f64, value(result))).collect();
        least_squares(&points) * 1000.0
    };
    println!("state in memory: {:.0} KB", slope(&|result| result.state_bytes as f64) / 1000.0);
    println!("snapshot: {:.0} KB", slope(&|result| result.snapshot_bytes as f64) / 1000.0);
    println!("tasks: {:.0}", slope(&|result| f64::from(result.tasks)));
    for (index, role) in DaemonRole::ALL.iter().enumerate() {
        println!(
            "{role:<10} core % {:.3}, log B/s out {:.0}, in {:.0}, call B/s out {:.0}, in {:.0}",
            slope(&|result| result.costs[index].1.core_percent),
            slope(&|result| result.costs[index].1.log_bytes_out),
            slope(&|result| result.costs[index].1.log_bytes_in),
            slope(&|result| result.costs[index].1.call_bytes_out),
            slope(&|result| result.costs[index].1.call_bytes_in),
        );
    }
}

fn least_squares(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}
