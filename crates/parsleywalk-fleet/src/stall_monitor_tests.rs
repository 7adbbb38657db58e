//! Tests of requests that were received during a pause.

use parsleywalk_units::MonotonicTime;

use super::StallMonitor;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Guards against a request that lay in a paused process's socket and counts as new: it is read before or after the
/// first tick that follows the pause.
#[test]
fn a_request_read_after_a_pause_counts_as_received_before_it() {
    let monitor = StallMonitor::new(at(0));
    for tick in 1..=10 {
        assert_eq!(monitor.tick(at(tick * 100)), None);
    }
    assert_eq!(monitor.earliest_arrival(at(1050)), at(1050), "the process runs");
    assert_eq!(monitor.earliest_arrival(at(4000)), at(1000), "read before the first tick");
    assert!(monitor.tick(at(4001)).is_some());
    assert_eq!(monitor.earliest_arrival(at(4010)), at(1000), "read after the first tick");
    assert_eq!(monitor.tick(at(4101)), None);
    assert_eq!(monitor.tick(at(4201)), None);
    assert_eq!(monitor.earliest_arrival(at(4250)), at(4250), "the process has caught up");
}

/// Guards against a process that is paused again before it has read all that arrived during its first pause.
#[test]
fn pauses_that_follow_each_other_count_as_one() {
    let monitor = StallMonitor::new(at(1000));
    assert!(monitor.tick(at(3000)).is_some());
    assert_eq!(monitor.earliest_arrival(at(5000)), at(1000));
    assert!(monitor.tick(at(5000)).is_some());
    assert_eq!(monitor.earliest_arrival(at(5010)), at(1000));
}
