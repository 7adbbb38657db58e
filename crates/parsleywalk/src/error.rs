//! Errors of commands.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]
#![allow(unreachable_pub, reason = "quick_error takes pub or nothing")]

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use serde_json::json;

use crate::report::{ExitStatus, OutputFormat, printable};

/// The result of a command or one of its steps.
pub(crate) type Result<T> = std::result::Result<T, ClientError>;

quick_error! {
    /// An error that ends a command.
    #[derive(Debug)]
    pub enum ClientError {
        /// A local file could not be read.
        ReadFile { path: PathBuf, source: io::Error } {
            display("read {}: {}", path.display(), source)
            source(source)
        }
        /// The token file holds no valid token.
        Token { path: PathBuf } {
            display("read {}: expected one line of 1 to 4096 visible ASCII characters", path.display())
        }
        /// An option that the command needs is missing.
        MissingOption { option: &'static str } {
            display("{} is required by this command", option)
        }
        /// No random operation id could be generated.
        Random { reason: String } {
            display("generate an operation id: {}", reason)
        }
        /// A message could not be encoded.
        Encode(source: serde_json::Error) {
            display("encode a message: {}", source)
            source(source)
        }
        /// Standard output could not be written.
        Print(source: io::Error) {
            display("write to standard output: {}", source)
            source(source)
        }
        /// The command was refused; nothing changed.
        Refused { reason: String, details: Vec<String> } {
            display("refused: {}", reason)
        }
        /// The command may or may not have taken effect.
        Unknown { reasons: Vec<String> } {
            display("outcome unknown: {}", reasons.join("; "))
        }
        /// No daemon could be reached; nothing changed.
        Unreachable { reasons: Vec<String> } {
            display("no daemon reached: {}", reasons.join("; "))
        }
        /// The operation should be sent again with the same id, which is safe.
        Resend { operation: String, source: Box<ClientError> } {
            display("{}\nsend it again with --operation {}", source, operation)
            source(source)
        }
    }
}

impl ClientError {
    fn status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::Token { .. } | Self::MissingOption { .. } => ExitStatus::Usage,
            Self::Random { .. } | Self::Encode(_) | Self::Print(_) | Self::Refused { .. } => ExitStatus::Refused,
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Resend { source, .. } => source.status(),
        }
    }

    fn details(&self) -> &[String] {
        match self {
            Self::Refused { details, .. } => details,
            Self::Resend { source, .. } => source.details(),
            _ => &[],
        }
    }

    fn operation(&self) -> Option<&str> {
        if let Self::Resend { operation, .. } = self { Some(operation) } else { None }
    }

    /// Prints to standard error.
    pub(crate) fn print(&self, output: OutputFormat) -> ExitStatus {
        let status = self.status();
        match output {
            OutputFormat::Text => {
                eprintln!("parsleywalk: {}", printable(&self.to_string()));
                for detail in self.details() {
                    eprintln!("  {}", printable(detail));
                }
            }
            OutputFormat::Json => {
                let message = json!({
                    "error": self.to_string(),
                    "exit": status.code(),
                    "details": self.details(),
                    "operation": self.operation(),
                });
                eprintln!("{message}");
            }
        }
        status
    }
}
