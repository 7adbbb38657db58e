//! Tests with real daemons: calls that arrive after their callers have moved on.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_batch::{JobStatus, WorkerOrders};
use parsleywalk_fleet::{CallFailure, LeaderReply, LeaderRequest, QueueAction};
use parsleywalk_units::ZoneDirection;
use rstest::rstest;
use support::linked_fleet::LinkedFleet;
use support::test_worker::TestWorker;
use support::{TestDaemon, TestFleet, WAIT_TIMEOUT, configuration, job, queue};

/// How long a caller waits whose call is held up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a paused daemon does not run, which is enough for another leader to be elected.
const PAUSE: Duration = Duration::from_millis(2500);
/// The time in which the bytes that a healed link has held back arrive and take effect.
const ARRIVAL_TIME: Duration = Duration::from_millis(800);
/// The time in which a placed run is ordered.
const ORDER_TIME: Duration = Duration::from_secs(2);

/// The path of the job that the tests submit and cancel.
const JOB_PATH: &str = "/checks/00000000000000aa";

fn submit() -> LeaderRequest {
    queue(JOB_PATH, QueueAction::Submit(Box::new(job())))
}

fn set_zone(direction: ZoneDirection) -> LeaderRequest {
    LeaderRequest::SetZone { zone: "zone-x".parse().expect("a zone"), direction }
}

/// Reports to a daemon for [`ORDER_TIME`] and returns true if a start was ordered.
fn gets_starts(daemon: &TestDaemon, worker: &mut TestWorker) -> bool {
    let end = Instant::now() + ORDER_TIME;
    while Instant::now() < end {
        let outcome = daemon.report(worker.next()).recv_timeout(WAIT_TIMEOUT).expect("an outcome");
        let starts = |orders: WorkerOrders| !orders.starts.is_empty();
        if outcome.is_ok_and(|(response, _)| response.orders.is_some_and(starts)) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Sends an order until it is acknowledged, as operators do. On a busy machine a leader may change, or answer too late, so
/// that the outcome of a call is unknown.
fn acknowledge(daemon: &TestDaemon, order: &LeaderRequest) {
    daemon.wait_for(order, |reply| *reply == LeaderReply::Done);
}

/// Guards against a zone order that a follower has passed on during a partition and that takes effect when the
/// partition heals, after its resend and the opposite order were acknowledged by way of another follower.
#[rstest]
#[case(31, ZoneDirection::In, ZoneDirection::Out)]
#[case(32, ZoneDirection::Out, ZoneDirection::In)]
fn a_zone_order_held_up_by_a_partition_is_not_carried_out(
    #[case] network: u8,
    #[case] held: ZoneDirection,
    #[case] newest: ZoneDirection,
) {
    let fleet = LinkedFleet::start(network);
    let [leader, follower, other] = fleet.roles();
    acknowledge(fleet.replica(other), &set_zone(newest));
    fleet.set_cut(leader, follower, true);
    let lost = fleet.replica(follower).begin_call(set_zone(held), CALLER_TIMEOUT);
    assert_eq!(lost.recv_timeout(WAIT_TIMEOUT).expect("an outcome"), Err(CallFailure::Unknown));
    for direction in [held, newest] {
        acknowledge(fleet.replica(other), &set_zone(direction));
    }
    fleet.set_cut(leader, follower, false);
    thread::sleep(ARRIVAL_TIME);
    assert_eq!(fleet.entry.call(submit()), Ok(LeaderReply::Done));
    let mut worker = TestWorker { zone: "zone-x", sequence: 0 };
    let in_service = gets_starts(fleet.replica(other), &mut worker);
    assert_eq!(in_service, newest == ZoneDirection::In, "the newest acknowledged order is {newest}");
    fleet.stop();
}

/// Guards against a zone order that lay in a paused daemon's socket and takes effect after its resend and the opposite
/// order were acknowledged by way of another daemon. The daemon is a follower or the leader itself.
#[rstest]
#[case::follower(37, 1)]
#[case::leader(38, 0)]
fn a_zone_order_read_after_a_pause_is_not_carried_out(#[case] network: u8, #[case] paused: usize) {
    let fleet = LinkedFleet::start(network);
    let roles = fleet.roles();
    let (paused, other) = (roles[paused], roles[2]);
    acknowledge(fleet.replica(other), &set_zone(ZoneDirection::Out));
    fleet.replica(paused).pause(PAUSE);
    thread::sleep(Duration::from_millis(50));
    let late = fleet.replica(paused).begin_call(set_zone(ZoneDirection::In), CALLER_TIMEOUT + PAUSE);
    for direction in [ZoneDirection::In, ZoneDirection::Out] {
        fleet.replica(other).wait_for(&set_zone(direction), |reply| *reply == LeaderReply::Done);
    }
    let outcome = late.recv_timeout(WAIT_TIMEOUT).expect("an outcome");
    assert_ne!(outcome, Ok(LeaderReply::Done));
    thread::sleep(ARRIVAL_TIME);
    fleet.replica(other).wait_for(&submit(), |reply| *reply == LeaderReply::Done);
    let mut worker = TestWorker { zone: "zone-x", sequence: 0 };
    assert!(!gets_starts(fleet.replica(other), &mut worker), "the zone is out of service");
    fleet.stop();
}

/// Guards against an order that was received by a daemon before the leader's term began: an earlier leader may have
/// acknowledged the opposite order since. A new order takes effect.
#[test]
fn an_order_received_before_the_change_of_leader_is_not_carried_out() {
    let fleet = LinkedFleet::start(33);
    let [leader, follower, other] = fleet.roles();
    acknowledge(fleet.replica(other), &set_zone(ZoneDirection::Out));
    // The follower keeps calling the old leader, which is cut off from both others, until it knows the new one.
    fleet.set_cut(leader, follower, true);
    fleet.set_cut(leader, other, true);
    let held = fleet.replica(follower).begin_call(set_zone(ZoneDirection::In), Duration::from_secs(8));
    let outcome = held.recv_timeout(WAIT_TIMEOUT).expect("an outcome");
    assert!(matches!(outcome, Ok(LeaderReply::Overtaken) | Err(_)), "{outcome:?}");
    fleet.replica(follower).wait_for(&submit(), |reply| *reply == LeaderReply::Done);
    let mut worker = TestWorker { zone: "zone-x", sequence: 0 };
    assert!(!gets_starts(fleet.replica(follower), &mut worker), "the zone is out of service");
    fleet.replica(follower).wait_for(&set_zone(ZoneDirection::In), |reply| *reply == LeaderReply::Done);
    assert!(gets_starts(fleet.replica(follower), &mut worker));
    fleet.set_cut(leader, follower, false);
    fleet.set_cut(leader, other, false);
    fleet.stop();
}

/// Guards against a submission that was received before the leader's term began and is stored although an earlier leader
/// may have refused a copy of it. The caller can send it again.
#[test]
fn a_submission_received_before_the_change_of_leader_is_sent_again() {
    let fleet = LinkedFleet::start(40);
    let [leader, follower, other] = fleet.roles();
    fleet.set_cut(leader, follower, true);
    fleet.set_cut(leader, other, true);
    let held = fleet.replica(follower).begin_call(submit(), Duration::from_secs(8));
    let outcome = held.recv_timeout(WAIT_TIMEOUT).expect("an outcome");
    assert!(matches!(outcome, Ok(LeaderReply::NotReady) | Err(_)), "{outcome:?}");
    let read = || fleet.replica(follower).call(queue(JOB_PATH, QueueAction::Read));
    fleet.replica(follower).wait_for(&queue(JOB_PATH, QueueAction::Read), |reply| *reply == LeaderReply::NoJob);
    fleet.replica(follower).wait_for(&submit(), |reply| *reply == LeaderReply::Done);
    assert!(matches!(read(), Ok(LeaderReply::Status(_))));
    fleet.set_cut(leader, follower, false);
    fleet.set_cut(leader, other, false);
    fleet.stop();
}

/// Guards against a submission that an entry has passed on during a partition and that runs when the partition heals,
/// after its cancel was answered by way of another daemon. The submission arrives after its caller has given up, or
/// while it still waits.
#[rstest]
#[case::given_up(34, CALLER_TIMEOUT)]
#[case::waiting(35, Duration::from_secs(8))]
fn a_submission_held_up_by_a_partition_does_not_run_after_its_cancel(#[case] network: u8, #[case] timeout: Duration) {
    let fleet = LinkedFleet::start(network);
    let [leader, follower, _] = fleet.roles();
    fleet.set_cut(leader, LinkedFleet::entry_number(), true);
    let submission = fleet.entry.begin_call(submit(), timeout);
    thread::sleep(CALLER_TIMEOUT);
    assert_eq!(fleet.replica(follower).call(queue(JOB_PATH, QueueAction::Cancel)), Ok(LeaderReply::NoJob));
    assert_eq!(fleet.replica(follower).call(queue(JOB_PATH, QueueAction::Read)), Ok(LeaderReply::NoJob));
    fleet.set_cut(leader, LinkedFleet::entry_number(), false);
    let outcome = submission.recv_timeout(WAIT_TIMEOUT).expect("an outcome");
    thread::sleep(ARRIVAL_TIME);
    let shown = fleet.replica(follower).call(queue(JOB_PATH, QueueAction::Read));
    if outcome == Ok(LeaderReply::Done) {
        assert_eq!(shown, Ok(LeaderReply::Status(JobStatus::Cancelled)), "the submission was acknowledged");
    } else {
        assert_eq!(shown, Ok(LeaderReply::NoJob));
    }
    let mut worker = TestWorker { zone: "zone-x", sequence: 0 };
    assert!(!gets_starts(fleet.replica(follower), &mut worker), "the job is cancelled");
    fleet.stop();
}

/// Guards against a cancel whose answer is forgotten: the leader is lost, and then every daemon starts again, before a
/// copy of the submission arrives.
#[test]
fn the_cancel_of_an_unknown_job_outlives_its_leader_and_a_restart() {
    let fleet = TestFleet::new(36);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(1), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&queue(JOB_PATH, QueueAction::Cancel), |reply| *reply == LeaderReply::NoJob);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    replicas[usize::from(leader.octets()[3]) - 1].take().expect("the replica runs").stop();
    assert_eq!(entry.wait_for(&queue(JOB_PATH, QueueAction::Read), |_| true), LeaderReply::NoJob);
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
    let replicas: Vec<TestDaemon> = (1..=3).map(|number| fleet.replica(number, true)).collect();
    entry.wait_for(&submit(), |reply| *reply == LeaderReply::Done);
    let shown = entry.wait_for(&queue(JOB_PATH, QueueAction::Read), |_| true);
    assert_eq!(shown, LeaderReply::Status(JobStatus::Cancelled));
    let mut worker = TestWorker { zone: "zone-x", sequence: 0 };
    assert!(!gets_starts(&replicas[0], &mut worker), "the job is cancelled");
    entry.stop();
    replicas.into_iter().for_each(TestDaemon::stop);
}

/// Guards against a submission that is stored after its caller was told that the outcome is unknown and its deadline has
/// passed.
#[test]
fn a_submission_that_arrives_after_its_deadline_is_not_stored() {
    let fleet = LinkedFleet::start(39);
    let [leader, follower, _] = fleet.roles();
    fleet.set_cut(leader, LinkedFleet::entry_number(), true);
    let late = fleet.entry.begin_call(submit(), CALLER_TIMEOUT);
    assert_eq!(late.recv_timeout(WAIT_TIMEOUT).expect("an outcome"), Err(CallFailure::Unknown));
    fleet.set_cut(leader, LinkedFleet::entry_number(), false);
    thread::sleep(ARRIVAL_TIME);
    let shown = fleet.replica(follower).wait_for(&queue(JOB_PATH, QueueAction::Read), |_| true);
    assert_eq!(shown, LeaderReply::NoJob);
    fleet.stop();
}
