//! The body of responses that are not a success.

use parsleywalk_units::TimeSpan;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// Nothing ran and nothing will run.
    NotRun,
    /// The request may have run or may still run.
    Unknown,
}

/// The body of every response that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// Why it was refused.
    pub reason: String,
    /// How long to wait before a resend can succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<TimeSpan>,
    /// Further messages, such as each error of a configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<String>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not run.
    #[must_use]
    pub fn not_run(reason: impl Into<String>) -> Self {
        Self { outcome: RefusalOutcome::NotRun, reason: reason.into(), retry_after: None, details: Vec::new() }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self { outcome: RefusalOutcome::Unknown, ..Self::not_run(reason) }
    }

    /// Returns the refusal with a time to wait before a resend.
    #[must_use]
    pub fn with_retry_after(self, retry_after: TimeSpan) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}
