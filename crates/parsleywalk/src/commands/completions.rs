//! `completions SHELL`: prints a completion script.

use clap::{Args, CommandFactory};
use clap_complete::Shell;
use serde_json::json;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};

/// The arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct CompletionArguments {
    /// The shell
    #[arg(value_enum)]
    shell: Shell,
}

pub(crate) fn run(arguments: &CompletionArguments) -> Result<CommandReport> {
    let mut script = Vec::new();
    clap_complete::generate(arguments.shell, &mut Arguments::command(), "parsleywalk", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    CommandReport::new(script.as_str(), &json!({ "script": script }), ExitStatus::Success)
}
