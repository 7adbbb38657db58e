//! Tests of zone changes that arrive late or twice.

use parsleywalk_units::{MonotonicTime, ZoneDirection, ZoneName};

use super::{MAX_ZONES, ZoneOrders};
use ZoneDirection::{In, Out};

/// An order for `zone-a`: the time at which a daemon received it, the time of its arrival at the leader, its direction,
/// and whether it may be carried out.
type OrderRow = (u64, u64, ZoneDirection, bool);

fn check(began: u64, mut active: ZoneDirection, orders: &[OrderRow]) {
    let zone: ZoneName = "zone-a".parse().expect("a zone");
    let mut known = ZoneOrders::new(MonotonicTime::from_millis(began));
    for (index, &(received, arrived, direction, expected)) in orders.iter().enumerate() {
        let (received, arrived) = (MonotonicTime::from_millis(received), MonotonicTime::from_millis(arrived));
        assert_eq!(known.admit(arrived, received, &zone, direction, active), expected, "order {index} of {orders:?}");
        if expected {
            active = direction;
        }
    }
}

/// Guards against a copy of an overtaken order that is carried out late, in both directions.
#[test]
fn a_copy_of_an_overtaken_order_is_not_carried_out() {
    for (first, second) in [(Out, In), (In, Out)] {
        // The copy of the second order from 15 ms arrives after the third, which repeats the first.
        check(
            0,
            second,
            &[(10, 11, first, true), (20, 21, second, true), (30, 31, first, true), (15, 40, second, false)],
        );
        // A new order after that is carried out.
        check(0, second, &[(10, 11, first, true), (9, 40, second, false), (41, 42, second, true)]);
    }
}

/// Guards against refusing a copy of the newest order, which operators resend until they get an acknowledgement, and
/// against a late copy that makes other orders look overtaken.
#[test]
fn a_copy_of_the_newest_order_is_acknowledged() {
    check(0, In, &[(10, 11, Out, true), (9, 30, Out, true), (12, 31, In, true)]);
}

/// Guards against an order that an earlier leader's acknowledgement has overtaken: only one that changes nothing may be
/// older than the term.
#[test]
fn an_order_older_than_the_term_changes_nothing() {
    check(100, Out, &[(99, 101, In, false), (99, 102, Out, true), (101, 103, In, true)]);
}

/// Guards against memory that grows with each zone name that an operator sends, and against forgetting a zone's newest
/// order before an older one can arrive.
#[test]
fn forgotten_zones_are_bounded_and_stay_safe() {
    let mut known = ZoneOrders::new(MonotonicTime::ZERO);
    let zone = |index: usize| -> ZoneName { format!("zone-{index}").parse().expect("a zone") };
    let time = |index: usize| MonotonicTime::from_millis(u64::try_from(index).expect("small") + 100);
    for index in 0..MAX_ZONES + 10 {
        assert!(known.admit(time(index), time(index), &zone(index), Out, In));
        assert!(known.newest.len() <= MAX_ZONES);
    }
    assert!(!known.admit(time(1000), MonotonicTime::from_millis(50), &zone(0), In, Out), "older than its newest order");
    assert!(known.admit(time(1000), time(1000), &zone(0), In, Out));
}
