//! Tests of held reports.

use parsleywalk_units::MonotonicTime;
use tokio::sync::oneshot;

use super::HeldReports;
use crate::waiter::{ReplySender, WaitingReport};

fn report(worker: &str, sequence: u64, deadline_ms: u64) -> WaitingReport {
    let sender = ReplySender::Task(oneshot::channel().0);
    let hold_until = MonotonicTime::from_millis(deadline_ms);
    WaitingReport { worker: worker.parse().expect("a name"), sequence, hold_until, sender }
}

fn sequences(reports: &[WaitingReport]) -> Vec<u64> {
    reports.iter().map(|report| report.sequence).collect()
}

#[test]
fn reports_are_due_in_the_order_of_their_deadlines() {
    let mut held = HeldReports::default();
    for (worker, sequence, deadline_ms) in [("a", 1, 30), ("b", 2, 10), ("c", 3, 20)] {
        assert!(held.insert(report(worker, sequence, deadline_ms)).is_none());
    }
    assert_eq!(held.next_deadline(), MonotonicTime::from_millis(10));
    assert_eq!(sequences(&held.take_due(MonotonicTime::from_millis(20))), [2, 3]);
    assert_eq!(held.next_deadline(), MonotonicTime::from_millis(30));
    assert_eq!(sequences(&held.take_all()), [1]);
    assert_eq!(held.next_deadline(), MonotonicTime::NEVER);
}

/// Guards against answering a report twice, or a newer one at the deadline of the older one.
#[test]
fn an_answered_or_replaced_report_is_not_due() {
    let mut held = HeldReports::default();
    held.insert(report("a", 1, 10));
    held.insert(report("b", 1, 10));
    assert_eq!(held.take(&"a".parse().expect("a name")).map(|report| report.sequence), Some(1));
    assert!(held.take(&"a".parse().expect("a name")).is_none());
    let replaced = held.insert(report("b", 2, 20));
    assert_eq!(replaced.map(|report| report.sequence), Some(1));
    assert!(held.take_due(MonotonicTime::from_millis(10)).is_empty());
    assert_eq!(sequences(&held.take_due(MonotonicTime::from_millis(20))), [2]);
}
