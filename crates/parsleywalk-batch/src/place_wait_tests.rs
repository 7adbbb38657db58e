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

/// Returns the number of tasks on one core that wait, and the expected wait of the last one in milliseconds.
fn decide(wait: &PlaceWait, tasks: u32, is_group: bool, forecast: &mut RackForecast) -> (u32, u128) {
    match wait.decide(tasks, is_group, &need(1), &[Some(room(0)); 2], forecast) {
        PlaceDecision::Elsewhere => (0, 0),
        PlaceDecision::Wait { tasks, expected, .. } => (tasks, expected.as_millis()),
    }
}

/// Guards against waits that cost more than they gain or exceed a bound, and against tasks that go elsewhere although a
/// wait would gain.
#[rstest]
#[case::capacity_in_time(WAIT, 3, false, (3, 500))]
#[case::more_tasks_than_capacity(WAIT, 5, false, (4, 900))]
#[case::a_group_that_finds_no_room(WAIT, 5, true, (0, 0))]
#[case::a_group(WAIT, 4, true, (4, 900))]
#[case::operators_bound(PlaceWait { max_wait: Duration::from_millis(300), ..WAIT }, 5, false, (2, 200))]
#[case::no_wait(PlaceWait { max_wait: Duration::ZERO, ..WAIT }, 5, false, (0, 0))]
#[case::small_gain(PlaceWait { remote_factor: 1.3, ..WAIT }, 5, false, (2, 200))]
#[case::no_gain(PlaceWait { remote_factor: 1.0, ..WAIT }, 5, false, (0, 0))]
#[case::stated_time_is_over(PlaceWait { stated: Some(Duration::ZERO), ..WAIT }, 5, false, (0, 0))]
#[case::idle_job(PlaceWait { idle: Some(Duration::from_millis(700)), ..WAIT }, 5, false, (3, 500))]
#[case::idle_for_too_long(PlaceWait { idle: Some(Duration::from_millis(1200)), ..WAIT }, 5, false, (0, 0))]
#[case::in_time_elsewhere(PlaceWait { slack: Some(Duration::from_millis(2500)), ..WAIT }, 5, false, (2, 200))]
#[case::in_time_elsewhere_if_at_once(PlaceWait { slack: Some(Duration::from_millis(2100)), ..WAIT }, 5, false, (0, 0))]
#[case::in_time_on_the_rack_only(PlaceWait { slack: Some(Duration::from_millis(600)), ..WAIT }, 5, false, (3, 500))]
#[case::late_anyway(PlaceWait { slack: Some(Duration::ZERO), ..WAIT }, 5, false, (4, 900))]
fn tasks_wait_for_what_they_gain(
    #[case] wait: PlaceWait,
    #[case] tasks: u32,
    #[case] is_group: bool,
    #[case] expected: (u32, u128),
) {
    assert_eq!(decide(&wait, tasks, is_group, &mut forecast([&[200, 900, 1500], &[100, 500]])), expected);
}

/// Guards against a hot rack on which each step expects the same capacity, so that nearly all of them wait in vain, and
/// against forgetting that a waiting task ends itself.
#[test]
fn tasks_count_those_ahead_of_them() {
    let mut rack = forecast([&[200], &[100]]);
    assert_eq!(decide(&WAIT, 2, false, &mut rack), (2, 200));
    assert_eq!(decide(&WAIT, 2, false, &mut rack), (0, 0));
    let short = PlaceWait { duration: Duration::from_millis(400), ..WAIT };
    let mut rack = forecast([&[200], &[100]]);
    assert_eq!(decide(&short, 1, false, &mut rack), (1, 100));
    assert_eq!(decide(&short, 2, false, &mut rack), (2, 500));
    // A group that does not wait reserves nothing.
    let mut rack = forecast([&[200], &[100]]);
    assert_eq!(decide(&WAIT, 3, true, &mut rack), (0, 0));
    assert_eq!(decide(&WAIT, 2, true, &mut rack), (2, 200));
}

/// Guards against adding up the free capacity of several workers, or that of workers that the task must not use.
#[test]
fn a_task_fits_on_one_worker() {
    let longest = Duration::from_secs(1);
    let reserve = |cores, free: [Option<RackRoom>; 2]| {
        forecast([&[100, 300], &[200]]).reserve(&need(cores), longest, &free, longest).map(|wait| wait.as_millis())
    };
    assert_eq!(reserve(2, [Some(room(0)), Some(room(0))]), Some(300));
    assert_eq!(reserve(2, [Some(room(0)), Some(room(1))]), Some(200));
    assert_eq!(reserve(2, [None, Some(room(0))]), None);
    assert_eq!(reserve(3, [Some(room(0)), Some(room(0))]), None);
    assert_eq!(reserve(1, [Some(room(1)), Some(room(0))]), Some(0));
}
