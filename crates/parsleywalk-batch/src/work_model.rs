//! Predictions of how long tasks take.

use std::time::Duration;

use crate::JobSubmission;

/// Predicts how long tasks take at full speed on a sound worker.
#[derive(Debug, Default)]
pub(crate) struct WorkModel {}

impl WorkModel {
    /// Returns the predicted duration of a task of a step.
    #[allow(dead_code, reason = "not used yet")]
    pub(crate) fn predict(&self, submission: &JobSubmission, step: u16) -> Duration {
        submission.spec.steps.get(usize::from(step)).map_or(Duration::ZERO, crate::StepSpec::bounded_estimate)
    }
}
