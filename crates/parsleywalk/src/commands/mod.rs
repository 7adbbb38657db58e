//! The commands, one module each.

pub(crate) mod apply;
pub(crate) mod cancel;
pub(crate) mod check;
pub(crate) mod completions;
mod config;
mod dump;
pub(crate) mod explain;
mod failing;
mod job_text;
mod operation_text;
pub(crate) mod replica;
pub(crate) mod result;
mod status;
pub(crate) mod submit;
mod workspaces;
pub(crate) mod zone;

use crate::arguments::{Arguments, Command};
use crate::error::Result;
use crate::report::CommandReport;

/// Runs the command given in the arguments.
pub(crate) fn run(arguments: Arguments) -> Result<CommandReport> {
    let connection = &arguments.connection;
    match arguments.command {
        Command::Check(command) => check::run(&command),
        Command::Apply(command) => apply::run(command, connection),
        Command::Config => config::run(connection),
        Command::Zone(command) => zone::run(command, connection),
        Command::Status => status::run(connection),
        Command::Explain(command) => explain::run(&command, connection),
        Command::Failing => failing::run(connection),
        Command::Workspaces => workspaces::run(connection),
        Command::Submit(command) => submit::run(command, connection),
        Command::Result(command) => result::run(&command, connection),
        Command::Cancel(command) => cancel::run(&command, connection),
        Command::Replica(command) => replica::run(&command, connection),
        Command::Dump => dump::run(connection),
        Command::Completions(command) => completions::run(&command),
    }
}
