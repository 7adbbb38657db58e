//! Responses of a leader to a worker whose lease has expired.

use std::time::Duration;

use parsleywalk_api::{WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_catalog::Catalog;
use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, RecoveredLog, ReplicaId, ReplicaSet, WriteTicket};
use parsleywalk_control::{ControlCommand, JobSpec, LeaseSettings};
use parsleywalk_coordinator::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorSettings, DaemonCoordinator, LeaderCall, LeaderReply,
};
use parsleywalk_units::{Incarnation, MonotonicTime, StateTime, VmNumber};

const CATALOG: &str = "
version: 1
teams: [{ name: planning, weight: 1 }]
services: [{ name: ledgers, class: batch, team: planning, size: { cores: 1, memory: 1GB } }]
";

/// A deployment of one replica, whose log writes are left unsynced while `sync_enabled` is false.
struct Leader {
    coordinator: DaemonCoordinator,
    now: MonotonicTime,
    calls: u64,
    replies: Vec<LeaderReply>,
    unsynced: Vec<WriteTicket>,
    sync_enabled: bool,
}

impl Leader {
    fn start(lease: Duration) -> Self {
        let vm = VmNumber::new(1);
        let id = ReplicaId::new(vm, Incarnation::new(1));
        let recovered = RecoveredLog::bootstrapped(ReplicaSet::new(vec![id]));
        let node = ConsensusNode::open(ConsensusSettings::default(), id, recovered, 7, MonotonicTime::ZERO).unwrap();
        let lease = LeaseSettings { lease, ..LeaseSettings::default() };
        let settings = CoordinatorSettings { lease, ..CoordinatorSettings::default() };
        let coordinator = DaemonCoordinator::with_settings(node, [vm].into_iter(), 7, settings);
        let now = MonotonicTime::ZERO;
        Self { coordinator, now, calls: 0, replies: Vec::new(), unsynced: Vec::new(), sync_enabled: true }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            let actions = self.coordinator.tick(self.now, self.state_time());
            self.execute(actions);
        }
    }

    fn state_time(&self) -> StateTime {
        StateTime::from_millis(self.now.as_micros() / 1000)
    }

    fn execute(&mut self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Persist { ticket, .. } => self.unsynced.push(ticket),
                CoordinatorAction::Finish { result, .. } => self.replies.push(result.unwrap()),
                _ => {}
            }
        }
        while self.sync_enabled && !self.unsynced.is_empty() {
            let ticket = self.unsynced.remove(0);
            let actions = self.coordinator.step(self.now, self.state_time(), CoordinatorEvent::Persisted { ticket });
            self.execute(actions);
        }
    }

    fn call(&mut self, body: LeaderCall) {
        self.calls += 1;
        let (call, timeout) = (CallToken::new(self.calls), Duration::from_secs(5));
        let actions =
            self.coordinator.step(self.now, self.state_time(), CoordinatorEvent::Call { call, body, timeout });
        self.execute(actions);
    }

    fn command(&mut self, command: ControlCommand) {
        self.call(LeaderCall::Command(Box::new(command)));
    }

    fn report(&mut self, sequence: u64, echo: u64) -> WorkerReply {
        let text = format!(
            r#"{{"worker": "w1", "incarnation": 1, "zone": "a", "rack": "r1", "sequence": {sequence}, "echo": {echo},
            "tasks": [], "capacity": {{"cores": "8", "memory": "16GB", "accelerators": 0}}}}"#
        );
        let report: WorkerReport = serde_json::from_str(&text).unwrap();
        self.call(LeaderCall::Report { report: Box::new(report.into()), entries: Vec::new() });
        match self.replies.pop() {
            Some(LeaderReply::Json(body)) => serde_json::from_slice(&body).unwrap(),
            other => panic!("not a response to a report: {other:?}"),
        }
    }
}

fn is_start(order: &WorkerOrder) -> bool {
    matches!(order, WorkerOrder::Start { .. })
}

/// Guards against a start order to a worker whose loss has been proposed: the task would run there and, once the loss
/// is committed, on another worker as well.
#[test]
fn an_expired_lease_gets_no_orders() {
    let mut leader = Leader::start(Duration::from_secs(10));
    leader.run(Duration::from_secs(3));
    let (at, operation) = (StateTime::default(), "first".parse().unwrap());
    let catalog = Catalog::parse(CATALOG).unwrap();
    leader.command(ControlCommand::ApplyConfiguration { at, operation, catalog, text: CATALOG.to_owned() });
    let echo = leader.report(1, 0).revision;
    assert!(leader.report(2, echo).lease.is_some());
    let job =
        JobSpec { service: "ledgers".parse().unwrap(), count: 1, size: None, urgent: false, arguments: String::new() };
    leader.command(ControlCommand::SubmitJob { at, key: "planning/job".parse().unwrap(), job });
    leader.run(Duration::from_secs(1));
    let response = leader.report(3, echo);
    assert!(response.orders.iter().any(is_start), "the task was not placed: {response:?}");

    leader.sync_enabled = false;
    leader.run(Duration::from_secs(12));
    let response = leader.report(4, echo);
    assert_eq!((response.lease, response.orders), (None, Vec::new()));
}
