//! Runs real daemons as the users' platform does, injects random faults, and checks what callers and workers observe.
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

/// Runs real daemons under random injected faults.
#[derive(Debug, Parser)]
struct SoakArguments {
    /// The seeds to run, such as 7..=9.
    #[arg(long, value_parser = parse_seeds)]
    seeds: RangeInclusive<u64>,
    /// For how long faults are injected, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The number of zones, each with a replica and an entry.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// The path of the daemon's binary.
    #[arg(long, default_value = "target/release/parsleywalkd")]
    program: PathBuf,
    /// The path of an earlier release's binary. Each start of a daemon then draws one of the two.
    #[arg(long)]
    earlier_program: Option<PathBuf>,
    /// Keeps the settings, logs and disks of each seed in a subfolder of this one.
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
            earlier_program: arguments.earlier_program.clone(),
            zones: arguments.zones,
            // An earlier release supports no workspaces.
            workspaces: seed % 2 == 0 && arguments.earlier_program.is_none(),
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
