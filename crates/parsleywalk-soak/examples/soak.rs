//! Runs seeds until one fails: `cargo run --release --example soak -- --seed 7 --steps 10000`.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use parsleywalk_soak::{SoakPlan, SoakTotals, run};

/// One long seeded run, or several.
#[derive(Debug, Parser)]
struct Arguments {
    /// The seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The requests, jobs, commands and faults of each run.
    #[arg(long, default_value_t = 10_000)]
    steps: u64,
    /// Seeds to run one after the other, as `1..51`, in place of a single one.
    #[arg(long, value_parser = parse_range)]
    seeds: Option<Range<u64>>,
    /// Runs without faults.
    #[arg(long)]
    calm: bool,
    /// Goes on after a seed that fails.
    #[arg(long)]
    keep_going: bool,
}

fn parse_range(text: &str) -> Result<Range<u64>, String> {
    let (first, end) = text.split_once("..").ok_or("expected two numbers as 1..51")?;
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
