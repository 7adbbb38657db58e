//! The daemon's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use parsleywalk_platform::PlatformOptions;
use parsleywalkd::{Daemon, DaemonSettings, initialise, start_logging, start_queued_logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for invalid settings, `EX_CONFIG` of `sysexits.h`.
const INVALID_SETTINGS_EXIT_CODE: u8 = 78;

/// The parsleywalk daemon.
///
/// Exit codes: 0 after a graceful shutdown, 1 when the daemon can't start, 65 when the log can't be decoded, 74 after a
/// failed sync of the log, 78 for invalid settings.
#[derive(Debug, Parser)]
#[command(name = "parsleywalkd", version)]
struct DaemonArguments {
    /// The settings file.
    #[arg(long, short, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Checks the settings and exits.
    #[arg(long)]
    check_settings: bool,
    /// Runs a single daemon with its log in this folder, which is initialised on the first start.
    #[arg(long, value_name = "FOLDER", conflicts_with = "settings")]
    standalone: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<DaemonCommand>,
}

#[derive(Debug, Subcommand)]
enum DaemonCommand {
    /// Initialises the data folder of a replica: once on each VM that holds the log, before the first start, and again
    /// after the VM's disk was replaced.
    Init,
    /// Runs the daemon; the default.
    Run,
    /// Runs a daemon on the users' platform, with the settings file named by an environment variable of the platform.
    Platform {
        /// Serves metrics on this port of the VM, under /metrics.
        #[arg(long, value_name = "PORT")]
        metrics_port: Option<u16>,
    },
}

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    if let Some(DaemonCommand::Platform { metrics_port }) = arguments.command {
        return run_platform(metrics_port);
    }
    let settings = match load_settings(&arguments) {
        Ok(settings) => settings,
        Err(reason) => {
            eprintln!("parsleywalkd: {reason}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if arguments.check_settings {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(&arguments, &settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("parsleywalkd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(metrics_port: Option<u16>) -> ExitCode {
    let dropped_lines = match start_queued_logging() {
        Ok(dropped_lines) => dropped_lines,
        Err(error) => {
            eprintln!("parsleywalkd: {error}");
            return ExitCode::FAILURE;
        }
    };
    match parsleywalk_platform::run(PlatformOptions { build: env!("PARSLEYWALK_BUILD"), metrics_port, dropped_lines }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("parsleywalkd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load_settings(arguments: &DaemonArguments) -> Result<DaemonSettings, String> {
    if let Some(folder) = &arguments.standalone {
        let mut settings = DaemonSettings { data_folder: Some(folder.clone()), ..DaemonSettings::default() };
        settings.replicas = vec![settings.vm];
        let own = &mut settings.daemons[0];
        own.callers.set_port(7000);
        own.operators.set_port(7001);
        own.peers.set_port(7002);
        return Ok(settings);
    }
    let path = arguments.settings.as_ref().ok_or("either --settings or --standalone is needed")?;
    DaemonSettings::load(path).map_err(|error| error.to_string())
}

/// Returns true if the folder is empty or can't be read. A folder with a damaged log is not empty, so that it is never
/// initialised again.
fn is_empty(folder: &Path) -> bool {
    std::fs::read_dir(folder).map_or(true, |mut files| files.next().is_none())
}

fn run(arguments: &DaemonArguments, settings: &DaemonSettings) -> parsleywalkd::Result<()> {
    if matches!(arguments.command, Some(DaemonCommand::Init)) {
        let replica = initialise(settings)?;
        println!("initialised replica {replica}");
        return Ok(());
    }
    start_logging(&settings.log)?;
    if let Some(folder) = &arguments.standalone
        && is_empty(folder)
    {
        initialise(settings)?;
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|cause| parsleywalkd::DaemonError::Thread { step: "listen for signals", cause })?;
    let daemon = Daemon::start(settings)?;
    signals.forever().next();
    daemon.shutdown();
    Ok(())
}
