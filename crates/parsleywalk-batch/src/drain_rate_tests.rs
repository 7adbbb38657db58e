//! Tests of the measured drain rate.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;
use rstest::rstest;

use super::DrainRate;

/// Delivered and in-service cores, and the work completed per second, for a number of seconds.
type Phase = (f64, f64, f64, u64);

/// Guards against a rate that is too low because cores in use understate what could be delivered, and against one that
/// stays high when workers have left or the load has fallen for long.
#[rstest]
#[case::new_leader(&[(80.0, 100.0, 0.0, 2)], None)]
#[case::steady(&[(80.0, 100.0, 80.0, 20)], Some(80.0))]
#[case::lost_zone(&[(80.0, 100.0, 80.0, 20), (50.0, 75.0, 55.0, 3)], Some(60.0))]
#[case::more_workers(&[(80.0, 100.0, 80.0, 20), (80.0, 125.0, 80.0, 3)], Some(100.0))]
#[case::pause(&[(80.0, 100.0, 80.0, 20), (10.0, 100.0, 10.0, 5)], Some(80.0))]
#[case::idle(&[(80.0, 100.0, 80.0, 20), (10.0, 100.0, 10.0, 30)], Some(10.5))]
#[case::short_predictions(&[(80.0, 100.0, 95.0, 30)], Some(95.0))]
#[case::no_workers(&[(80.0, 100.0, 80.0, 20), (0.0, 0.0, 0.0, 1)], None)]
fn the_rate_follows_the_workers_in_service(#[case] phases: &[Phase], #[case] expected: Option<f64>) {
    const INTERVAL_MS: u64 = 250;
    let mut drain = DrainRate::default();
    let mut now = MonotonicTime::from_millis(1);
    for (delivered, in_service, completed, seconds) in phases {
        for _ in 0..seconds * 1000 / INTERVAL_MS {
            drain.record_completed(completed / 4.0);
            drain.record_sample(now, *delivered, *in_service);
            now = now + Duration::from_millis(INTERVAL_MS);
        }
    }
    let cores = drain.cores(now);
    let is_close = |cores: f64, expected: f64| (cores - expected).abs() <= expected * 0.05;
    let matches = cores.zip(expected).map_or(cores == expected, |(cores, expected)| is_close(cores, expected));
    assert!(matches, "{cores:?} instead of {expected:?}");
}
