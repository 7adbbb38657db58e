//! Refusals.

use parsleywalk_units::TimeSpan;
use serde::{Deserialize, Serialize};

/// What is known about the request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// Nothing ran and nothing will run.
    NotRun,
    /// The request may have run or may still run.
    Unknown,
}

/// The body of every answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// Why it was refused.
    pub reason: String,
    /// How long to wait before a resend is of use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<TimeSpan>,
    /// Further lines, such as each error of a configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<String>,
}

impl Refusal {
    /// A refusal of something that did not run.
    #[must_use]
    pub fn not_run(reason: impl Into<String>) -> Self {
        Self { outcome: RefusalOutcome::NotRun, reason: reason.into(), retry_after: None, details: Vec::new() }
    }

    /// A refusal of something that may have run.
    #[must_use]
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self { outcome: RefusalOutcome::Unknown, ..Self::not_run(reason) }
    }

    /// The same refusal with a time to wait.
    #[must_use]
    pub fn with_retry_after(self, retry_after: TimeSpan) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}
