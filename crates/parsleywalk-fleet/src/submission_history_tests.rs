//! Tests of copies of submissions that arrive in another order than they were sent.

use std::time::Duration;

use parsleywalk_batch::{JobId, JobRefusal};
use parsleywalk_units::MonotonicTime;

use super::{MAX_REFUSALS, PriorDecision, REFUSAL_RETENTION, SubmissionHistory};

const JOB: JobId = JobId::new(1);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn refusal() -> JobRefusal {
    JobRefusal { retry_after: Duration::from_secs(5), reason: "test" }
}

/// Guards against a refusal, which says that the job never runs, and a copy from before it that is accepted later. A
/// submission from after the refusal is decided anew.
#[test]
fn a_copy_from_before_a_refusal_is_refused_too() {
    let mut history = SubmissionHistory::new(at(0));
    assert_eq!(history.prior(JOB, at(10)), PriorDecision::None);
    history.record_refused(at(20), JOB, refusal());
    assert_eq!(history.prior(JOB, at(10)), PriorDecision::Refused(refusal()));
    assert_eq!(history.prior(JOB, at(20)), PriorDecision::None);
    assert_eq!(history.prior(JobId::new(2), at(10)), PriorDecision::None);
}

/// Guards against refusing a copy of a job that is being committed, and against memory that grows with each job.
#[test]
fn a_copy_of_a_job_that_is_being_committed_is_accepted() {
    let mut history = SubmissionHistory::new(at(0));
    history.record_accepted(JOB);
    assert_eq!(history.prior(JOB, at(10)), PriorDecision::Accepted);
    history.prune(at(20), |_| false);
    assert_eq!(history.prior(JOB, at(10)), PriorDecision::Accepted);
    history.prune(at(20), |job| job == JOB);
    assert_eq!(history.prior(JOB, at(10)), PriorDecision::None);
}

/// Guards against accepting a copy whose refusal is not known: from an earlier term, or forgotten.
#[test]
fn a_copy_from_before_the_remembered_time_is_unknown() {
    let mut history = SubmissionHistory::new(at(100));
    assert_eq!(history.prior(JOB, at(99)), PriorDecision::Unknown);
    assert_eq!(history.prior(JOB, at(100)), PriorDecision::None);
    history.record_refused(at(200), JOB, refusal());
    let later = at(200) + REFUSAL_RETENTION;
    history.prune(later, |_| false);
    assert_eq!(history.prior(JOB, at(199)), PriorDecision::Unknown);
    assert_eq!(history.prior(JOB, at(201)), PriorDecision::None);
    for number in 0..=MAX_REFUSALS as u64 {
        history.record_refused(later + Duration::from_millis(number), JobId::new(number), refusal());
        assert!(history.refused.len() <= MAX_REFUSALS);
    }
    let before = later.saturating_sub(Duration::from_millis(1));
    assert_eq!(history.prior(JobId::new(0), before), PriorDecision::Unknown);
}
