//! Output and exit codes of commands.

use std::io::{self, Write};

use clap::ValueEnum;
use serde::Serialize;
use serde_json::Value;

use crate::error::{ClientError, Result};

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Text for people.
    Text,
    /// The daemon's message as one JSON document; errors are JSON as well.
    Json,
}

/// The documented exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    Success,
    Refused,
    Usage,
    Unknown,
    Unreachable,
}

impl ExitStatus {
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::Unreachable => 4,
        }
    }
}

/// The output and exit code of a command that received a response.
#[derive(Debug)]
pub(crate) struct CommandReport {
    text: String,
    json: Value,
    status: ExitStatus,
}

impl CommandReport {
    pub(crate) fn new(text: impl Into<String>, message: &impl Serialize, status: ExitStatus) -> Result<Self> {
        let json = serde_json::to_value(message).map_err(ClientError::Encode)?;
        Ok(Self { text: text.into(), json, status })
    }

    /// Prints to standard output. A reader that closes the pipe early, such as `head`, is not an error.
    pub(crate) fn print(self, output: OutputFormat) -> ExitStatus {
        let text = match output {
            OutputFormat::Text => printable(&self.text),
            OutputFormat::Json => format!("{:#}", self.json),
        };
        match writeln!(io::stdout(), "{}", text.trim_end_matches('\n')) {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
                ClientError::Print(error).print(OutputFormat::Text)
            }
            _ => self.status,
        }
    }
}

/// Replaces control characters except line feeds and tabs, so that texts from callers and workers can't send escape
/// sequences to the terminal.
pub(crate) fn printable(text: &str) -> String {
    text.chars()
        .map(|letter| if letter.is_control() && !matches!(letter, '\n' | '\t') { '\u{fffd}' } else { letter })
        .collect()
}
