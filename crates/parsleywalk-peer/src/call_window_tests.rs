//! Tests of windows on clocks of different processes.

use std::time::Duration;

use http::HeaderMap;
use parsleywalk_units::{Incarnation, MonotonicTime};
use rstest::rstest;

use super::{CallWindow, ClockReading, RemoteClock, WindowHeader};

const REMOTE: Incarnation = Incarnation::new(7);

fn reading(millis: u64) -> ClockReading {
    ClockReading { incarnation: REMOTE, time: MonotonicTime::from_millis(millis) }
}

fn translated(clock: &RemoteClock, local_millis: u64) -> u64 {
    let translated = clock.translate(MonotonicTime::from_millis(local_millis)).expect("a reading");
    translated.time.as_micros() / 1000
}

/// Guards against a call that seems to have been received later than it was: a slow reply must not replace a fast one,
/// and the drift since a reading counts.
#[test]
fn a_translated_time_is_never_later_than_the_true_one() {
    // The remote clock is 1000 ms ahead. The first reply took 5 ms, the second 700 ms.
    let mut clock = RemoteClock::default();
    clock.record(Some(reading(2000)), MonotonicTime::from_millis(1005));
    assert_eq!(translated(&clock, 1005), 2000);
    clock.record(Some(reading(3000)), MonotonicTime::from_millis(2700));
    assert_eq!(translated(&clock, 2700), 3693, "1.7 ms for the drift of 1.7 s");
    assert_eq!(translated(&clock, 905), 1899, "0.1 ms for the drift of 100 ms");
    // An older reading is replaced once its drift may exceed what a newer one took.
    clock.record(Some(reading(13_000)), MonotonicTime::from_millis(12_010));
    assert_eq!(translated(&clock, 12_010), 13_000);
}

/// Guards against readings of an earlier process of the same daemon, whose clock started at another time.
#[test]
fn a_restarted_process_has_a_new_clock() {
    let mut clock = RemoteClock::default();
    clock.record(Some(reading(50_000)), MonotonicTime::from_millis(10));
    let restarted = ClockReading { incarnation: Incarnation::new(8), time: MonotonicTime::from_millis(5) };
    clock.record(Some(restarted), MonotonicTime::from_millis(20));
    assert_eq!(clock.translate(MonotonicTime::from_millis(20)), Some(restarted));
    clock.record(None, MonotonicTime::from_millis(30));
    assert_eq!(clock, RemoteClock::Unsupported);
}

/// Guards against a window that its callee takes for another one.
#[test]
fn a_window_survives_the_header() {
    let mut clock = RemoteClock::default();
    assert_eq!(clock.window_header(CallWindow::from_now(MonotonicTime::from_millis(1))), None);
    clock.record(Some(reading(2000)), MonotonicTime::from_millis(1000));
    let window = CallWindow { received: MonotonicTime::from_millis(1000), expires: MonotonicTime::from_millis(2000) };
    let mut headers = HeaderMap::new();
    clock.window_header(window).expect("a reading").add_to(&mut headers);
    let expected = CallWindow { received: MonotonicTime::from_millis(2000), expires: MonotonicTime::from_millis(2999) };
    assert_eq!(WindowHeader::window_from(&headers, REMOTE), Some(expected));
    assert!(!expected.is_expired(MonotonicTime::from_millis(2998)));
    assert!(expected.is_expired(MonotonicTime::from_millis(2999)));
    // The same process never gets it after a restart.
    assert_eq!(WindowHeader::window_from(&headers, Incarnation::new(8)), Some(CallWindow::EXPIRED));
    assert_eq!(WindowHeader::window_from(&HeaderMap::new(), REMOTE), None);
    assert!(!CallWindow::from_now(MonotonicTime::ZERO).is_expired(MonotonicTime::from_millis(u64::MAX / 2000)));
}

/// Guards against a malformed window that ends the process or lets a call take effect.
#[rstest]
#[case("")]
#[case("7")]
#[case("7 1")]
#[case("7 1 2 3")]
#[case("7 -1 2")]
#[case("7 1 99999999999999999999999")]
#[case("x 1 2")]
fn a_malformed_window_has_expired(#[case] text: &str) {
    let mut headers = HeaderMap::new();
    headers.insert(super::WINDOW_HEADER, text.parse().expect("a header value"));
    let window = WindowHeader::window_from(&headers, REMOTE).expect("a window");
    assert!(window.is_expired(MonotonicTime::ZERO + Duration::from_micros(1)));
}
