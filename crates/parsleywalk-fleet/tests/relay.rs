//! Tests with real daemons: followers that relay workers' reports to the leader.

mod support;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use parsleywalk_batch::{
    DispatchSettings, EndNumber, JobId, ReportResponse, RunEnd, RunNumber, RunOutcome, TaskKey, WorkerReport,
};
use parsleywalk_fleet::{CallFailure, FleetSettings, LeaderReply, LeaderRequest, QueueAction};
use parsleywalk_units::Incarnation;
use rstest::rstest;
use support::test_worker::TestWorker;
use support::{ReportOutcome, TestDaemon, TestFleet, WAIT_TIMEOUT, configuration, job, queue};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Three replicas, one in each zone, whose leader wants workers to report in their zone from the first worker on.
struct RelayFleet {
    fleet: TestFleet,
    replicas: Vec<Option<TestDaemon>>,
}

impl RelayFleet {
    fn start(network: u8) -> Self {
        Self::start_with(network, &DispatchSettings::default())
    }

    fn start_with(network: u8, dispatch: &DispatchSettings) -> Self {
        let fleet = TestFleet::new(network);
        let start = |number| {
            let dispatch = DispatchSettings { direct_workers: 0, ..dispatch.clone() };
            let data_folder = Some(fleet.data_folder(number));
            let settings = FleetSettings { data_folder, bootstrap: true, dispatch, ..fleet.settings(number) };
            Some(TestDaemon::start(settings))
        };
        let replicas = (1..=3).map(start).collect();
        let fleet = Self { fleet, replicas };
        fleet.replica(0).wait_for(&configuration(1), |reply| *reply == LeaderReply::Done);
        fleet
    }

    fn replica(&self, index: usize) -> &TestDaemon {
        self.replicas[index].as_ref().expect("the replica runs")
    }

    fn leader_index(&self, any: usize) -> usize {
        usize::from(self.replica(any).leader().octets()[3]) - 1
    }

    fn address(&self, index: usize) -> Ipv4Addr {
        self.fleet.address(u8::try_from(index + 1).expect("a small index"))
    }

    /// Returns the zone of a replica.
    fn zone(index: usize) -> &'static str {
        ZONES[(index + 1) % ZONES.len()]
    }

    /// Reports with new sequence numbers until the outcome satisfies the predicate.
    fn report_until(
        &self,
        index: usize,
        worker: &mut TestWorker,
        accept: impl Fn(&(ReportResponse, Option<Ipv4Addr>)) -> bool,
    ) -> (ReportResponse, Option<Ipv4Addr>) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let outcome: ReportOutcome = self.replica(index).report(worker.next()).recv().expect("an outcome");
            match outcome {
                Ok(accepted) if accept(&accepted) => return accepted,
                other => assert!(Instant::now() < deadline, "no such response: {other:?}"),
            }
        }
    }

    fn stop(self) {
        self.replicas.into_iter().flatten().for_each(TestDaemon::stop);
    }
}

/// Guards against a leader that spends its processor time on connections to workers: a worker that reports to the
/// leader is sent to the replica of its zone, stays there, and gets its orders from there.
#[test]
fn a_worker_reports_to_the_replica_of_its_zone() {
    let fleet = RelayFleet::start(21);
    let leader = fleet.leader_index(0);
    let follower = (leader + 1) % 3;
    let mut worker = TestWorker { zone: RelayFleet::zone(follower), sequence: 0 };
    fleet.report_until(leader, &mut worker, |(_, next)| *next == Some(fleet.address(follower)));
    fleet.report_until(follower, &mut worker, |(_, next)| *next == Some(fleet.address(follower)));
    let submit = queue("/checks/00000000000000aa", QueueAction::Submit(Box::new(job())));
    fleet.replica(follower).wait_for(&submit, |reply| *reply == LeaderReply::Done);
    let started = |response: &ReportResponse| response.orders.as_ref().is_some_and(|orders| orders.starts.len() == 2);
    fleet.report_until(follower, &mut worker, |(response, _)| started(response));
    // A worker of another zone is sent on to the leader, which knows the replica of that zone.
    let mut other = TestWorker { zone: RelayFleet::zone((leader + 2) % 3), ..worker };
    fleet.report_until(follower, &mut other, |(_, next)| *next == Some(fleet.address(leader)));
    fleet.stop();
}

/// Guards against orders from two leaders, and against a report that its next leader gets twice and then answers
/// without orders: a report that the old leader held when it was lost fails, so that its worker can go elsewhere, or is
/// answered with orders. The surviving replicas then give orders with a higher fencing token.
#[test]
fn a_report_held_by_a_lost_leader_fails_or_gets_orders() {
    let mut fleet = RelayFleet::start(22);
    let leader = fleet.leader_index(0);
    let follower = (leader + 1) % 3;
    let mut worker = TestWorker { zone: RelayFleet::zone(follower), sequence: 0 };
    let (first, _) = fleet.report_until(follower, &mut worker, |(response, _)| response.orders.is_some());
    let first_fence = first.orders.expect("checked above").fence;
    let held = fleet.replica(follower).report(worker.next());
    fleet.replicas[leader].take().expect("the replica runs").stop();
    if let Ok((response, _)) = held.recv_timeout(WAIT_TIMEOUT).expect("an outcome") {
        let orders = response.orders.expect("a report that was sent once gets orders");
        assert!(orders.fence >= first_fence, "{:?} after {first_fence:?}", orders.fence);
    }
    let survivor = fleet.replicas.iter().position(Option::is_some).expect("a survivor");
    let (next, _) = fleet.report_until(survivor, &mut worker, |(response, _)| {
        response.orders.as_ref().is_some_and(|orders| orders.fence > first_fence)
    });
    assert!(next.orders.is_some_and(|orders| !orders.lease.is_zero()));
    fleet.stop();
}

/// Guards against orders for an earlier life of a worker: it starts again under its id, and its report has the sequence
/// number of one whose response may still be on its way. The report after that is answered.
#[test]
fn a_restarted_worker_gets_no_response_to_its_earlier_reports() {
    let fleet = RelayFleet::start(23);
    let leader = fleet.leader_index(0);
    let follower = (leader + 1) % 3;
    let mut worker = TestWorker { zone: RelayFleet::zone(follower), sequence: 0 };
    fleet.report_until(follower, &mut worker, |(response, _)| response.orders.is_some());
    worker.sequence -= 1;
    let restarted = |report: WorkerReport| WorkerReport { incarnation: report.incarnation.next(), ..report };
    let ambiguous = fleet.replica(follower).report(restarted(worker.next())).recv_timeout(WAIT_TIMEOUT);
    assert_eq!(ambiguous.expect("an outcome"), Err(CallFailure::Unknown));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let outcome = fleet.replica(follower).report(restarted(worker.next())).recv_timeout(WAIT_TIMEOUT);
        if outcome.expect("an outcome").is_ok_and(|(response, _)| response.orders.is_some()) {
            break;
        }
        assert!(Instant::now() < deadline, "the restarted worker gets no orders");
    }
    fleet.stop();
}

/// Guards against an end that a worker cannot list before it exits, since the response to its report is held: here until
/// the report fails. The worker announces its exit while the response is held, or while what it has reported is being committed.
#[rstest]
#[case::held(24, false)]
#[case::being_committed(25, true)]
fn the_response_to_a_worker_that_announces_its_exit_is_not_held(#[case] network: u8, #[case] lists_end: bool) {
    let dispatch = DispatchSettings {
        idle_hold: Duration::from_mins(1),
        reports_per_second: 1,
        worker_timeout: Duration::from_mins(1),
        ..DispatchSettings::default()
    };
    let fleet = RelayFleet::start_with(network, &dispatch);
    let leader = fleet.leader_index(0);
    let mut worker = TestWorker { zone: RelayFleet::zone(leader), sequence: 0 };
    let report = worker.next();
    let others = (2..=40).map(|number| {
        let name = format!("worker-{number}").parse().expect("a name");
        fleet.replica(leader).report(WorkerReport { worker: name, ..report.clone() })
    });
    // Their responses are held, as that to the first report; with so many workers, a busy one's is held as well.
    let _others: Vec<_> = others.collect();
    let mut response = fleet.replica(leader).report(report);
    assert!(response.recv_timeout(Duration::from_millis(300)).is_err(), "it is held");
    if lists_end {
        let task = TaskKey { job: JobId::new(1), occurrence: 0, step: 0, index: 0 };
        let (number, run) = (EndNumber::new(1), RunNumber::new(1));
        let end = RunEnd { number, task, run, outcome: RunOutcome::Done, saved: String::new() };
        response = fleet.replica(leader).report(WorkerReport { ended: vec![end], ..worker.next() });
    }
    let leave =
        LeaderRequest::Leave { worker: "worker-1".parse().expect("a name"), incarnation: Some(Incarnation::new(1)) };
    let left = fleet.replica(leader).begin_call(leave, WAIT_TIMEOUT);
    response.recv_timeout(WAIT_TIMEOUT).expect("an outcome").expect("a response");
    assert_eq!(left.recv_timeout(WAIT_TIMEOUT).expect("an outcome"), Ok(LeaderReply::Done));
    fleet.stop();
}
