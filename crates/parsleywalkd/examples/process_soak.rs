//! Runs real daemons as the users' platform does, under random faults from outside, and checks what callers and workers
//! see.
//!
//! ```console
//! $ cargo build --release && cargo run --release --example process_soak -- --seeds 1..=50
//! ```

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use parsleywalk_platform_soak::{SoakSettings, run_soak};

/// A randomized run of real daemons under faults from outside.
#[derive(Debug, Parser)]
struct SoakArguments {
    /// The seeds to play, such as 7..=9.
    #[arg(long, value_parser = parse_seeds)]
    seeds: RangeInclusive<u64>,
    /// How long faults come, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Replicas, and as many entries.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/parsleywalkd")]
    program: PathBuf,
    /// Keeps settings, logs and disks of each seed in a folder below this one.
    #[arg(long)]
    folder: Option<PathBuf>,
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let parse = |text: &str| text.parse::<u64>().map_err(|error| format!("{text:?}: {error}"));
    match text.split_once("..=") {
        Some((first, last)) => Ok(parse(first)?..=parse(last)?),
        None => parse(text).map(|seed| seed..=seed),
    }
}

fn main() -> ExitCode {
    let arguments = SoakArguments::parse();
    let mut failed = false;
    for seed in arguments.seeds {
        let settings = SoakSettings {
            seed,
            program: arguments.program.clone(),
            zones: arguments.zones,
            faults: Duration::from_secs(arguments.seconds),
            folder: arguments.folder.as_ref().map(|folder| folder.join(seed.to_string())),
            ..SoakSettings::default()
        };
        match run_soak(&settings) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                for violation in &report.violations {
                    println!("  {violation}");
                }
                failed |= !report.violations.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed = true;
            }
        }
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
