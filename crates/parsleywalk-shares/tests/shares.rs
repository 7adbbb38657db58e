//! Tests of the order of accounts and of their rates.

use std::time::Duration;

use parsleywalk_shares::{AccountIndex, JobRate, ResourceLimit, ShareLedger, ShareOrder, TokenBucket};
use parsleywalk_units::{MonotonicTime, ResourceSize};
use rstest::rstest;

fn size(text: &str) -> ResourceSize {
    text.parse().expect("a size")
}

/// Returns the tasks that each account starts when all have endless work and as much capacity is free as `tasks` need.
fn start(ledger: &mut ShareLedger, accounts: u32, task: &ResourceSize, tasks: u32) -> Vec<u32> {
    let mut started = vec![0; accounts as usize];
    let mut order = ShareOrder::new((0..accounts).map(AccountIndex).collect());
    while let Some(turn) = order.next_turn(ledger).filter(|_| started.iter().sum::<u32>() < tasks) {
        let count = ledger.count_above(turn.account, task, turn.share).min(tasks - started.iter().sum::<u32>());
        let permitted = ledger.permitted_count(turn.account, task);
        for _ in 0..count.min(permitted) {
            ledger.charge(turn.account, task);
        }
        started[turn.account.0 as usize] += count.min(permitted);
        if permitted <= count {
            order.remove(turn.account);
        }
    }
    started
}

/// Guards against shares that ignore weights or limits, or that leave capacity unused that others could take. Turns are
/// coarse, so that shares may differ by 0.005.
#[rstest]
#[case::equal(&[(1, "-/-/-"), (1, "-/-/-")], &[500, 500])]
#[case::weighted(&[(3, "-/-/-"), (1, "-/-/-")], &[750, 250])]
#[case::limited(&[(1, "100c/-/-"), (1, "-/-/-"), (1, "-/-/-")], &[100, 450, 450])]
#[case::alone(&[(1, "-/-/-")], &[1000])]
#[case::all_limited(&[(1, "100c/-/-"), (1, "-/200GB/-")], &[100, 200])]
fn capacity_is_shared_by_weight_within_limits(#[case] accounts: &[(u32, &str)], #[case] expected: &[u32]) {
    let mut ledger = ShareLedger::default();
    ledger.set_total(size("1000c/4000GB/0a"));
    for (index, (weight, limit)) in (0u32..).zip(accounts) {
        ledger.set_account(AccountIndex(index), *weight, limit.parse::<ResourceLimit>().expect("a limit"));
    }
    let accounts = u32::try_from(accounts.len()).expect("a few");
    let started = start(&mut ledger, accounts, &size("1c/1GB/0a"), 1000);
    for (started, expected) in started.iter().zip(expected) {
        assert!(started.abs_diff(*expected) <= 8, "{started} tasks were started instead of {expected}");
    }
}

/// Guards against compensation for idle time: an account that was idle while the other used everything may take what
/// becomes free only until their shares are equal.
#[test]
fn an_account_that_was_idle_is_not_compensated() {
    let mut ledger = ShareLedger::default();
    ledger.set_total(size("1000c/4000GB/0a"));
    let task = size("1c/1GB/0a");
    assert_eq!(start(&mut ledger, 1, &task, 1000), [1000]);
    ledger.refund(AccountIndex(0), &size("800c/800GB/0a"));
    let started = start(&mut ledger, 2, &task, 800);
    assert!(started[1].abs_diff(500) <= 8, "{started:?} tasks were started");
}

/// Guards against turns that end early or late: the number of tasks must be the one at which the share is exceeded.
#[rstest]
#[case("1c/1GB/0a", 0.1, 101)]
#[case("1c/8GB/0a", 0.1, 51)]
#[case("0c/0GB/0a", 0.1, u32::MAX)]
#[case("1c/1GB/1a", 0.1, 101)]
#[case("200c/1GB/0a", 0.1, 1)]
#[case("1c/1GB/0a", f64::INFINITY, u32::MAX)]
fn a_turn_lasts_until_the_share_is_exceeded(#[case] task: &str, #[case] share: f64, #[case] expected: u32) {
    let mut ledger = ShareLedger::default();
    ledger.set_total(size("1000c/4000GB/0a"));
    assert_eq!(ledger.count_above(AccountIndex(0), &size(task), share), expected);
}

/// Guards against rates that grow with idle time without bound, and against a lower rate that takes effect late.
#[test]
fn a_rate_permits_a_burst_and_then_its_number_per_second() {
    let rate = JobRate::new(2);
    let mut now = MonotonicTime::from_millis(1);
    let mut bucket = TokenBucket::new(now, rate);
    let mut taken = |now: MonotonicTime, rate: JobRate| (0..1000).filter(|_| bucket.try_take(now, rate)).count();
    assert_eq!(taken(now, rate), 10, "a new bucket permits a burst");
    now = now + Duration::from_secs(3);
    assert_eq!(taken(now, rate), 6);
    now = now + Duration::from_hours(1);
    assert_eq!(taken(now, JobRate::new(1)), 5, "an hour of idleness permits no more than a burst of the new rate");
    assert_eq!(taken(MonotonicTime::ZERO, rate), 0, "a clock that goes back earns nothing");
}
