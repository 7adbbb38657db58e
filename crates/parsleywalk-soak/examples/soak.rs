//! Runs the simulation with one or more seeds until one fails:
//! `cargo run --release --example soak -- --seed 7 --steps 10000`.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use parsleywalk_soak::{SoakPlan, SoakTotals, run};

/// Runs the seeded simulation with one seed or several.
#[derive(Debug, Parser)]
struct Arguments {
    /// The seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of steps of each run.
    #[arg(long, default_value_t = 10_000)]
    steps: u64,
    /// A range of seeds to run in sequence instead of a single one, such as `1..51`; the end is excluded.
    #[arg(long, value_parser = parse_range)]
    seeds: Option<Range<u64>>,
    /// Injects no faults.
    #[arg(long)]
    calm: bool,
    /// Continues after a seed that fails.
    #[arg(long)]
    keep_going: bool,
}

fn parse_range(text: &str) -> Result<Range<u64>, String> {
    let (first, end) = text.split_once("..").ok_or("expected a range such as 1..51")?;
    let parse = |text: &str| text.parse().map_err(|error| format!("{text:?}: {error}"));
    Ok(parse(first)?..parse(end)?)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let seeds = arguments.seeds.unwrap_or(arguments.seed..arguments.seed + 1);
    let started = Instant::now();
    let (mut sum, mut passed, mut failed) = (SoakTotals::default(), 0, 0);
    for seed in seeds {
        let begun = Instant::now();
        match run(&SoakPlan { seed, steps: arguments.steps, faults: !arguments.calm, ..SoakPlan::default() }) {
            Ok(totals) => {
                println!("seed {seed} passed in {:.1?}: {totals}", begun.elapsed());
                sum += totals;
                passed += 1;
            }
            Err(failure) => {
                println!("seed {seed} failed in {:.1?}\n{failure}", begun.elapsed());
                failed += 1;
                if !arguments.keep_going {
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    println!("{passed} seeds of {} steps passed in {:.1?}, {failed} failed: {sum}", arguments.steps, started.elapsed());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
