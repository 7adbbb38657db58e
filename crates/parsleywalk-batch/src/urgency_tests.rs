//! Tests of the order in which waiting jobs are served.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::MonotonicTime;
use rstest::rstest;

use crate::job_outlook::JobOutlooks;
use crate::test_submission::submission;
use crate::urgency::JobUrgency;
use crate::work_model::WorkModel;
use crate::{JobId, JobRecord, JobSubmission, StepSpec};

/// Guards against objectives that a workspace's limit makes impossible: 16 tasks of 1 s, of which the limit permits 4 at a
/// time, take 4 s, so that the job ends on time within 4 s * 2 + 1 s. Without the waves it would be given up after 9 s.
#[rstest]
#[case::narrow("8c/-/-", 4, JobUrgency::OnTime(Duration::from_secs(5)))]
#[case::narrow_late("8c/-/-", 10, JobUrgency::Late(Duration::from_secs(4)))]
#[case::wide("32c/-/-", 1, JobUrgency::OnTime(Duration::from_secs(2)))]
#[case::unlimited("-/-/-", 10, JobUrgency::Overdue)]
#[case::too_small("1c/-/-", 10, JobUrgency::OnTime(Duration::from_secs(23)))]
fn the_objective_counts_the_waves_that_a_limit_permits(
    #[case] limit: &str,
    #[case] age: u64,
    #[case] expected: JobUrgency,
) {
    let size = "2c/1GB/0a".parse().expect("a size");
    let step = StepSpec { count: 16, size, estimate: Duration::from_secs(1), ..StepSpec::default() };
    let submission = JobSubmission { priority: 0, ..submission(1, step) };
    let job = JobRecord::new(Arc::new(submission), 1);
    let limit: ResourceLimit = limit.parse().expect("a limit");
    let since = MonotonicTime::from_millis(1);
    let now = since + Duration::from_secs(age);
    let outlook = JobOutlooks::default().outlook(JobId::new(1), &job, Some(&limit), &WorkModel::default(), now);
    assert_eq!(JobUrgency::of(&job, &outlook, since, now), expected);
}
