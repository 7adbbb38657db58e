//! Tests of the decision whether to wait for a rack.

use std::time::Duration;

use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
use rstest::rstest;

use crate::place_wait::{PlaceDecision, PlaceWait, PlaceWaitPolicy};
use crate::rack_forecast::{RackForecast, RoomRelease};
use crate::rack_room::{RackRoom, TaskNeed};

/// A step without a deadline, of which tasks take 1 s on the rack and 3 s elsewhere.
const WAIT: PlaceWait = PlaceWait {
    policy: PlaceWaitPolicy::Gain,
    duration: Duration::from_secs(1),
    remote_factor: 3.0,
    slack: None,
    idle: None,
    max_wait: Duration::from_secs(1),
    stated: None,
    lost_time: Duration::ZERO,
};

fn room(cores: u32) -> RackRoom {
    RackRoom::of_run(&ResourceSize::new(MilliCores::new(cores), MemoryBytes::new(0)), false)
}

fn need(cores: u32) -> TaskNeed {
    TaskNeed { room: room(cores), best_effort: false }
}

/// Returns the forecast of two full workers, of which runs on one core end at the given times.
fn forecast(ends_ms: [&[u64]; 2]) -> RackForecast {
    let release = |after: &u64| RoomRelease { after: Duration::from_millis(*after), room: room(1) };
    RackForecast::new(ends_ms.into_iter().map(|ends| ends.iter().map(release).collect()))
}

/// Returns the expected wait in milliseconds if tasks on one core wait.
fn decide(wait: &PlaceWait, tasks: u32, forecast: &mut RackForecast) -> Option<u128> {
    match wait.decide(tasks, &need(1), &[Some(room(0)); 2], forecast) {
        PlaceDecision::Elsewhere => None,
        PlaceDecision::Wait { expected, .. } => Some(expected.as_millis()),
    }
}

/// Guards against waits that cost more than they gain or exceed a bound, and against tasks that go elsewhere although a
/// wait would gain.
#[rstest]
#[case::capacity_in_time(WAIT, 3, Some(500))]
#[case::last_capacity_in_time(WAIT, 4, Some(900))]
#[case::more_tasks_than_capacity(WAIT, 5, None)]
#[case::operators_bound(PlaceWait { max_wait: Duration::from_millis(500), ..WAIT }, 3, Some(500))]
#[case::beyond_operators_bound(PlaceWait { max_wait: Duration::from_millis(499), ..WAIT }, 3, None)]
#[case::half_of_the_detour(PlaceWait { remote_factor: 2.0, ..WAIT }, 3, Some(500))]
#[case::most_of_the_detour(PlaceWait { remote_factor: 1.9, ..WAIT }, 3, None)]
#[case::most_of_the_detour_and_waiting(
    PlaceWait { remote_factor: 1.5, stated: Some(Duration::from_secs(1)), ..WAIT }, 3, Some(500)
)]
#[case::most_waits_are_lost(PlaceWait { lost_time: Duration::from_millis(600), ..WAIT }, 3, None)]
#[case::rack_makes_no_difference(PlaceWait { remote_factor: 1.0, ..WAIT }, 1, None)]
#[case::stated_time_is_over(PlaceWait { stated: Some(Duration::ZERO), ..WAIT }, 1, None)]
#[case::idle_job(PlaceWait { idle: Some(Duration::from_millis(700)), ..WAIT }, 3, Some(500))]
#[case::idle_for_too_long(PlaceWait { idle: Some(Duration::from_millis(701)), ..WAIT }, 3, None)]
#[case::in_time_elsewhere(PlaceWait { slack: Some(Duration::from_millis(2700)), ..WAIT }, 3, Some(500))]
#[case::in_time_elsewhere_if_sooner(PlaceWait { slack: Some(Duration::from_millis(2699)), ..WAIT }, 3, None)]
#[case::in_time_on_the_rack_only(PlaceWait { slack: Some(Duration::from_millis(500)), ..WAIT }, 3, Some(500))]
#[case::late_on_the_rack(PlaceWait { slack: Some(Duration::from_millis(499)), ..WAIT }, 3, None)]
#[case::late_anyway(PlaceWait { slack: Some(Duration::ZERO), ..WAIT }, 4, Some(900))]
fn tasks_wait_for_what_they_gain(#[case] wait: PlaceWait, #[case] tasks: u32, #[case] expected_ms: Option<u128>) {
    assert_eq!(decide(&wait, tasks, &mut forecast([&[200, 900, 1500], &[100, 500]])), expected_ms);
}

/// Guards against a hot rack on which each step expects the same capacity, so that nearly all of them wait in vain, and
/// against forgetting that a waiting task ends itself.
#[test]
fn tasks_count_those_ahead_of_them() {
    let mut rack = forecast([&[200], &[100]]);
    assert_eq!(decide(&WAIT, 3, &mut rack), None);
    assert_eq!(decide(&WAIT, 2, &mut rack), Some(200), "a step that does not wait reserves nothing");
    assert_eq!(decide(&WAIT, 1, &mut rack), None);
    let short = PlaceWait { duration: Duration::from_millis(400), remote_factor: 4.0, ..WAIT };
    let mut rack = forecast([&[200], &[100]]);
    assert_eq!(decide(&short, 1, &mut rack), Some(100));
    assert_eq!(decide(&short, 2, &mut rack), Some(500));
}

/// Guards against adding up the free capacity of several workers, or that of workers that the task must not use.
#[test]
fn a_task_fits_on_one_worker() {
    let longest = Duration::from_secs(1);
    let reserve = |cores, free: [Option<RackRoom>; 2]| {
        forecast([&[100, 300], &[200]]).reserve(1, (&need(cores), longest), &free, longest).map(|wait| wait.as_millis())
    };
    assert_eq!(reserve(2, [Some(room(0)), Some(room(0))]), Some(300));
    assert_eq!(reserve(2, [Some(room(0)), Some(room(1))]), Some(200));
    assert_eq!(reserve(2, [None, Some(room(0))]), None);
    assert_eq!(reserve(3, [Some(room(0)), Some(room(0))]), None);
    assert_eq!(reserve(1, [Some(room(1)), Some(room(0))]), Some(0));
}
