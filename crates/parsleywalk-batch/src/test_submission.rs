//! A submission for unit tests.

use std::time::Duration;

use crate::{JobId, JobSpec, JobSubmission, StepSpec};

/// Returns a submission of a job with one step.
pub(crate) fn submission(job: u64, step: StepSpec) -> JobSubmission {
    JobSubmission {
        job: JobId::new(job),
        spec: JobSpec { steps: vec![step], ..JobSpec::default() },
        queue: "queue".to_owned(),
        service: "service".parse().expect("a name"),
        priority: 2,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_secs(1),
        advised: false,
        accepted_unix_ms: 0,
    }
}
