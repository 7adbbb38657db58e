//! Benchmarks the routing decisions in simulated time, over several seeds.
//!
//! `cargo run --release --example routing_bench [SEEDS [CASE]]` runs `SEEDS` seeds (5 by default) of the cases whose
//! name contains `CASE`, then measures the processor time of the router.

#![allow(missing_docs, reason = "an example has no public interface")]

mod model;
mod processor;
mod scenario;

use std::time::Duration;

use hdrhistogram::Histogram;
use model::Run;
use parsleywalk_routing::{BalanceMethod, RouterSettings};
use scenario::Scenario;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    println!("{seeds} seeds; latency in ms of answered requests of regular callers; shares in percent");
    println!(
        "{:<34} {:>5} {:>9} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>9}",
        "case", "load", "finished", "whole", "unknown", "p50", "p99", "p999", "late", "disp/ans"
    );
    for method in BalanceMethod::ALL {
        let settings = RouterSettings { balance: method, ..RouterSettings::default() };
        for load in [0.5, 0.9, 2.0] {
            report(&method.to_string(), &Scenario { load, ..Scenario::default() }, &settings, seeds);
        }
    }
    let defaults = RouterSettings::default();
    for load in [0.7, 0.9, 2.0] {
        let poison = Scenario {
            name: "25% of requests always fail",
            load,
            poison_share: 0.25,
            repeatable: 1.0,
            ..Scenario::default()
        };
        compare(
            &poison,
            &defaults,
            "no retry budget",
            &RouterSettings { retry_budget: false, ..defaults.clone() },
            seeds,
        );
    }
    for load in [0.9, 2.0] {
        let half = Scenario {
            name: "30% of dispatches fail for 4 s",
            load,
            fault_at: 4_000_000,
            fault_end: 8_000_000,
            failure_share: 0.3,
            repeatable: 1.0,
            ..Scenario::default()
        };
        compare(
            &half,
            &defaults,
            "no retry budget",
            &RouterSettings { retry_budget: false, ..defaults.clone() },
            seeds,
        );
    }
    for load in [0.6, 0.9] {
        let misbehaving =
            Scenario { name: "misbehaving caller at 2x", load, misbehaving_load: 2.0, ..Scenario::default() };
        let disabled = RouterSettings { fair_queueing: false, ..defaults.clone() };
        compare(&misbehaving, &defaults, "no fair queueing", &disabled, seeds);
    }
    for load in [0.9, 2.0] {
        let unresponsive = Scenario {
            name: "1 silent endpoint",
            load,
            fault_at: 4_000_000,
            unresponsive_endpoints: 1,
            ..Scenario::default()
        };
        let dead = Scenario {
            name: "1 endpoint resets at once",
            load,
            fault_at: 4_000_000,
            dead_endpoint: 3,
            ..Scenario::default()
        };
        let disabled = RouterSettings { ejection: false, ..defaults.clone() };
        compare(&unresponsive, &defaults, "no ejection", &disabled, seeds);
        compare(&dead, &defaults, "no ejection", &disabled, seeds);
    }
    for load in [0.7, 0.9, 2.0] {
        let cold = Scenario {
            name: "3 cold endpoints join",
            load,
            late_endpoints: 3,
            late_at: 11_000_000,
            cold: 4_000_000,
            warm_up: 11_000_000,
            end: 16_000_000,
            ..Scenario::default()
        };
        let disabled = RouterSettings { slow_start: Duration::ZERO, ..defaults.clone() };
        compare(&cold, &defaults, "no slow start", &disabled, seeds);
    }
    processor::measure();
}

fn compare(scenario: &Scenario, defaults: &RouterSettings, disabled_name: &str, disabled: &RouterSettings, seeds: u64) {
    report(scenario.name, scenario, defaults, seeds);
    report(&format!("  {disabled_name}"), scenario, disabled, seeds);
}

fn report(name: &str, scenario: &Scenario, settings: &RouterSettings, seeds: u64) {
    let filter = std::env::args().nth(2).unwrap_or_default();
    if !name.contains(&filter) && !scenario.name.contains(&filter) {
        return;
    }
    let mut latency: Histogram<u64> = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are permitted");
    let mut sums = [0.0; 4];
    let mut late = 0;
    for seed in 1..=seeds {
        let outcome = Run::new(scenario, settings, seed).run();
        latency.add(&outcome.latency).expect("histograms resize");
        let values = [outcome.finished, outcome.whole, outcome.unknown, outcome.dispatches];
        for (sum, value) in sums.iter_mut().zip(values) {
            *sum += value;
        }
        late += outcome.past_deadline;
    }
    let count = Duration::from_secs(seeds).as_secs_f64();
    let [finished, whole, unknown, dispatches] = sums.map(|sum| sum / count);
    let quantile = |quantile: f64| Duration::from_micros(latency.value_at_quantile(quantile)).as_secs_f64() * 1000.0;
    println!(
        "{name:<34} {:>5} {:>9.1} {:>7.1} {:>8.2} {:>7.1} {:>7.1} {:>7.1} {late:>6} {dispatches:>9.3}",
        scenario.load,
        finished * 100.0,
        whole * 100.0,
        unknown * 100.0,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
    );
}
