//! Tests with real daemons on loopback addresses: bootstrap, and the loss of the leader, of a disk and of a VM.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_batch::{JobSpec, JobStatus, MAX_PAYLOAD_BYTES};
use parsleywalk_fleet::{CallFailure, LeaderReply, LeaderRequest, QueueAction};
use support::{TestDaemon, TestFleet, WAIT_TIMEOUT, configuration, is_version, job, queue};

/// How long callers wait for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against the loss of acknowledged changes with the leader, and against a lower configuration version replacing
/// a higher one.
#[test]
fn acknowledged_changes_survive_the_loss_of_the_leader() {
    let fleet = TestFleet::new(11);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(7), |reply| *reply == LeaderReply::Done);
    let submit = queue("/checks/00000000000000aa", QueueAction::Submit(Box::new(job())));
    entry.wait_for(&submit, |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = usize::from(leader.octets()[3]) - 1;
    replicas[lost].take().expect("the replica runs").stop();
    // The reply comes from the successor, which holds every acknowledged change.
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(7));
    let read = queue("/checks/00000000000000aa", QueueAction::Read);
    assert_eq!(entry.wait_for(&read, |_| true), LeaderReply::Status(JobStatus::Pending));
    assert_eq!(entry.wait_for(&submit, |_| true), LeaderReply::Done);
    assert_eq!(entry.wait_for(&queue("/checks/", QueueAction::Read), |_| true), LeaderReply::Waiting(1));
    entry.wait_for(&configuration(5), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(7));
    assert_eq!(entry.wait_for(&queue("/other/", QueueAction::Read), |_| true), LeaderReply::NoQueue);
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against a replica with a lost disk not regaining its vote: it joins as a new replica, after which another may
/// be lost.
#[test]
fn a_replica_with_a_lost_disk_rejoins() {
    let fleet = TestFleet::new(12);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(lost) - 1].take().expect("the replica runs").stop();
    std::fs::remove_dir_all(fleet.data_folder(lost)).expect("the disk is lost");
    replicas[usize::from(lost) - 1] = Some(fleet.replica(lost, false));
    // The third replica may be lost only once the new one votes, which is shown by progress without the third.
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let new_replica = replicas[usize::from(lost) - 1].as_ref().expect("the replica runs");
    while new_replica.members().len() != 3 {
        assert!(Instant::now() < deadline, "the new replica does not learn the members");
    }
    thread::sleep(Duration::from_secs(2));
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != lost).expect("another");
    replicas[usize::from(third) - 1].take().expect("the replica runs").stop();
    entry.wait_for(&configuration(5), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(5));
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against a permanently lost VM keeping its vote: a VM at a new address must replace it.
#[test]
fn a_lost_vm_is_replaced_by_another() {
    let fleet = TestFleet::new(13);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(lost) - 1].take().expect("the replica runs").stop();
    let new_replica = fleet.replica(4, false);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let (new, old) = (fleet.address(4), fleet.address(lost));
    loop {
        let members = new_replica.members();
        if members.contains(&new) && !members.contains(&old) {
            break;
        }
        assert!(Instant::now() < deadline, "the members are still {members:?}");
        thread::sleep(Duration::from_millis(50));
    }
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != lost).expect("another");
    thread::sleep(Duration::from_secs(1));
    replicas[usize::from(third) - 1].take().expect("the replica runs").stop();
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    entry.stop();
    new_replica.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against replies from stale state without a majority, and against late refusals.
#[test]
fn a_minority_serves_no_requests() {
    let fleet = TestFleet::new(14);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    replicas[0].take().expect("the replica runs").stop();
    replicas[1].take().expect("the replica runs").stop();
    // The remaining replica may have led, and steps down within an election timeout.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while entry.call(LeaderRequest::ReadConfiguration).is_ok() {
        assert!(Instant::now() < deadline, "a minority still replies");
    }
    let submit = queue("/checks/00000000000000bb", QueueAction::Submit(Box::new(job())));
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    assert_eq!(entry.call(submit), Err(CallFailure::NotSent));
    assert!(start.elapsed() < Duration::from_millis(1500), "the refusal takes {:?}", start.elapsed());
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against log entries that exceed the log's limit: submissions that wait for an entry are committed together,
/// and a few hundred with long payloads were refused each time that they were tried.
#[test]
fn a_burst_of_large_submissions_is_accepted() {
    let fleet = TestFleet::new(15);
    let replicas = fleet.bootstrap();
    let leader = usize::from(replicas[0].as_ref().expect("the replica runs").leader().octets()[3]) - 1;
    let leader = replicas[leader].as_ref().expect("the replica runs");
    leader.wait_for(&configuration(1), |reply| *reply == LeaderReply::Done);
    let submit = |number: u32| {
        let large = JobSpec { payload: "x".repeat(MAX_PAYLOAD_BYTES), ..job() };
        queue(&format!("/checks/{number:016x}"), QueueAction::Submit(Box::new(large)))
    };
    let submitted: Vec<_> = (0..250).map(|number| leader.begin_call(submit(number), CALLER_TIMEOUT)).collect();
    for outcome in submitted {
        assert_eq!(outcome.recv_timeout(WAIT_TIMEOUT).expect("an outcome"), Ok(LeaderReply::Done));
    }
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}
