//! Tests of the pace of scheduling cycles.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;
use rstest::rstest;

use super::PlanPacer;

/// Plays five seconds in which every cycle takes `cost`, and returns the share of the time that cycles take, in
/// percent, and the number of cycles.
fn play(cost: Duration) -> (u128, u32) {
    let end = MonotonicTime::from_millis(5000);
    let (mut pacer, mut now, mut cycles) = (PlanPacer::default(), MonotonicTime::ZERO, 0);
    while now < end {
        pacer.record(now, cost);
        cycles += 1;
        now = pacer.earliest().max(now + cost);
    }
    ((cost * cycles).as_micros() * 100 / Duration::from_secs(5).as_micros(), cycles)
}

/// Guards against a leader that is busy with placement while run ends, stops and heartbeats wait: cycles get about a
/// fifth of the time, and there are still several a second. Beyond 24 ms a cycle, the maximum interval lets them have
/// more.
#[rstest]
#[case::small(Duration::from_micros(100), 1, 300)]
#[case::large(Duration::from_millis(6), 23, 30)]
#[case::saturated(Duration::from_millis(20), 23, 8)]
#[case::beyond_the_maximum_interval(Duration::from_millis(40), 34, 8)]
fn cycles_take_a_bounded_share(#[case] cost: Duration, #[case] max_percent: u128, #[case] min_cycles: u32) {
    let (percent, cycles) = play(cost);
    assert!(percent <= max_percent, "cycles of {cost:?} take {percent}% of the time");
    assert!(cycles >= min_cycles, "only {cycles} cycles of {cost:?}");
}

/// Guards against a single slow cycle, as after a pause of the process, that delays the next ones.
#[test]
fn a_single_slow_cycle_delays_little() {
    let mut pacer = PlanPacer::default();
    pacer.record(MonotonicTime::ZERO, Duration::from_secs(5));
    assert!(pacer.earliest() <= MonotonicTime::from_millis(120));
    for cycle in 1..=20 {
        pacer.record(MonotonicTime::from_millis(cycle * 120), Duration::from_micros(100));
    }
    assert!(pacer.earliest() <= MonotonicTime::from_millis(20 * 120 + 60));
}
