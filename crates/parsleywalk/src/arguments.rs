//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use parsleywalk_units::TimeSpan;

use crate::commands::{
    apply::ApplyArguments, cancel::CancelArguments, check::CheckArguments, completions::CompletionArguments,
    explain::ExplainArguments, replica::ReplicaArguments, result::ResultArguments, submit::SubmitArguments,
    zone::ZoneArguments,
};
use crate::error::{ClientError, Result};
use crate::report::OutputFormat;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed; nothing changed, or the job ended without success
  2  wrong usage, or a local file that cannot be read
  3  outcome unknown; it is safe to send the same operation id or job key again
  4  no daemon could be reached; nothing changed";

/// Operates parsleywalk, a scheduler for latency-critical services and batch work.
#[derive(Debug, Parser)]
#[command(name = "parsleywalk", version, after_help = EXIT_CODES, max_term_width = 100)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) connection: ConnectionArguments,
    /// How results are printed
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub(crate) output: OutputFormat,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How to reach the daemons.
#[derive(Debug, Args)]
pub(crate) struct ConnectionArguments {
    /// The operator address of a daemon; repeat it to try the next daemon after a failure
    #[arg(long = "operator-address", global = true, value_name = "IP:PORT")]
    pub(crate) operator_addresses: Vec<SocketAddr>,
    /// The caller address of a daemon, for submit, result and cancel; may be repeated
    #[arg(long = "caller-address", global = true, value_name = "IP:PORT")]
    pub(crate) caller_addresses: Vec<SocketAddr>,
    /// The metrics address of a daemon on the users' platform, for failing; may be repeated
    #[arg(long = "metrics-address", global = true, value_name = "IP:PORT")]
    pub(crate) metrics_addresses: Vec<SocketAddr>,
    /// The file with the operators' token
    #[arg(long, global = true, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// How long to wait for each daemon
    #[arg(long, global = true, value_name = "SPAN", default_value = "10s")]
    pub(crate) timeout: TimeSpan,
}

impl ConnectionArguments {
    /// Reads the token; `None` if no file was given.
    pub(crate) fn read_token(&self) -> Result<Option<String>> {
        let Some(path) = &self.token_file else { return Ok(None) };
        let text =
            std::fs::read_to_string(path).map_err(|source| ClientError::ReadFile { path: path.clone(), source })?;
        let token = text.trim();
        if token.is_empty() || token.len() > 4096 || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ClientError::Token { path: path.clone() });
        }
        Ok(Some(token.to_owned()))
    }
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a configuration file without calling a daemon
    Check(CheckArguments),
    /// Check a configuration file and put it in force
    Apply(ApplyArguments),
    /// Show the configuration in force
    Config,
    /// Take an availability zone out of service or back in
    Zone(ZoneArguments),
    /// Show the system as one daemon sees it
    Status,
    /// Explain why a job is in its current state
    Explain(ExplainArguments),
    /// List the jobs of which runs have failed, that of the newest failure first
    Failing,
    /// List what the workspaces use and wait for
    Workspaces,
    /// Submit a job; submitting the same key again has no further effect
    Submit(SubmitArguments),
    /// Show the state of a job and, once it has ended, its results
    Result(ResultArguments),
    /// Cancel all tasks of a job
    Cancel(CancelArguments),
    /// Change the set of replicas
    Replica(ReplicaArguments),
    /// Print the state of one daemon as JSON
    Dump,
    /// Print a completion script for a shell
    Completions(CompletionArguments),
}
