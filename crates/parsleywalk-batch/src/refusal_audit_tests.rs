//! Tests of the count of disproved refusals.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;
use rstest::rstest;

use super::{AUDIT_INTERVAL, MAX_REFUSALS, RefusalAudit};
use crate::StepSpec;
use crate::test_submission::submission;

fn refuse(audit: &mut RefusalAudit, now: MonotonicTime, job: u64, retry_after: Duration) {
    let submission = submission(job, StepSpec { count: 8, ..StepSpec::default() });
    audit.record(now, &submission, None, retry_after);
}

/// Guards against counting refusals that were right: with too little capacity, with capacity for a moment, or with capacity
/// only once the caller may return.
#[rstest]
#[case::free(8, 0..=3000, 1)]
#[case::too_little(7, 0..=3000, 0)]
#[case::a_moment(8, 500..=1250, 0)]
#[case::too_late(8, 1500..=3000, 0)]
fn a_refusal_is_disproved_by_a_second_of_free_capacity(
    #[case] tasks: u32,
    #[case] free_ms: std::ops::RangeInclusive<u64>,
    #[case] expected: u64,
) {
    let mut audit = RefusalAudit::default();
    refuse(&mut audit, MonotonicTime::from_millis(1000), 1, Duration::from_secs(2));
    for time_ms in (0..=3000).step_by(50) {
        let now = MonotonicTime::from_millis(1000 + time_ms);
        if audit.is_due(now) {
            let free = audit.find_free(|_| if free_ms.contains(&time_ms) { tasks } else { 0 });
            audit.record_free(now, &free);
        }
    }
    assert_eq!(audit.take_disproved(), expected);
    assert!(audit.refusals.is_empty());
}

/// Guards against memory and work that grow with the number of refusals.
#[test]
fn the_number_of_refusals_that_are_looked_at_is_bounded() {
    let mut audit = RefusalAudit::default();
    let now = MonotonicTime::from_millis(1000);
    for job in 0..10_000 {
        refuse(&mut audit, now, job, Duration::from_secs(30));
    }
    assert_eq!(audit.refusals.len(), MAX_REFUSALS);
    let looks = std::cell::Cell::new(0);
    assert!(audit.is_due(now + AUDIT_INTERVAL));
    let free = audit.find_free(|_| {
        looks.set(looks.get() + 1);
        8
    });
    assert_eq!((free.len(), looks.get()), (MAX_REFUSALS, 1), "equal tasks are looked at once");
}
