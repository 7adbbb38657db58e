//! The command-line client for operators of parsleywalk.
//!
//! Each command is a module of [`commands`] that makes one call through a [`daemon_client::DaemonClient`] and returns a
//! [`report::CommandReport`]. A call without a response is sent to the next daemon with the same operation id:
//!
//! ```text
//! parsleywalk check catalog.yaml
//! parsleywalk --operator-address 10.0.0.1:7401 --operator-address 10.0.1.1:7401 --token-file token apply catalog.yaml
//! parsleywalk --operator-address 10.0.0.1:7401 --token-file token zone out zone-b
//! ```

mod arguments;
mod commands;
mod daemon_client;
mod error;
mod exchange;
mod operation;
mod report;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;
use crate::report::ExitStatus;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let output = arguments.output;
    let status = match commands::run(arguments) {
        Ok(report) => report.print(output),
        Err(error) => error.print(output),
    };
    ExitCode::from(ExitStatus::code(status))
}
