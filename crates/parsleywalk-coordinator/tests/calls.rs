//! Calls to the leader across restarts of the daemon that makes them.

use std::time::Duration;

use parsleywalk_consensus::{
    ConsensusMessage, ConsensusNode, ConsensusSettings, LogIndex, LogTerm, RecoveredLog, ReplicaId, ReplicaSet,
};
use parsleywalk_coordinator::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, DaemonCoordinator, LeaderCall, LeaderReply,
};
use parsleywalk_units::{Incarnation, MonotonicTime, StateTime, VmNumber};

const LEADER: VmNumber = VmNumber::new(2);
const AT: StateTime = StateTime::from_millis(1);

fn id(vm: u32) -> ReplicaId {
    ReplicaId::new(VmNumber::new(vm), Incarnation::new(1))
}

/// Starts a process on VM 1 that follows VM 2 and has made its first call; returns the token that it sent.
fn first_call(seed: u64) -> (DaemonCoordinator, CallToken) {
    let recovered = RecoveredLog::bootstrapped(ReplicaSet::new([1, 2, 3].map(id).to_vec()));
    let node = ConsensusNode::open(ConsensusSettings::default(), id(1), recovered, seed, MonotonicTime::ZERO).unwrap();
    let mut coordinator = DaemonCoordinator::new(node, [1, 2, 3].map(VmNumber::new).into_iter(), seed);
    let message = ConsensusMessage::Heartbeat { term: LogTerm::new(2), round: 1, commit: LogIndex::ZERO, lease: true };
    let message = CoordinatorMessage::Log { from: id(2), to: id(1), message };
    coordinator.step(MonotonicTime::ZERO, AT, CoordinatorEvent::Receive { from: LEADER, message });
    let body = LeaderCall::JobStatus("planning/a".parse().unwrap());
    let call = CoordinatorEvent::Call { call: CallToken::new(1), body, timeout: Duration::from_secs(5) };
    let actions = coordinator.step(MonotonicTime::ZERO, AT, call);
    let sent = actions.into_iter().find_map(|action| match action {
        CoordinatorAction::Send { to: LEADER, message: CoordinatorMessage::Call { call, .. } } => Some(call),
        _ => None,
    });
    (coordinator, sent.expect("the call goes to the leader"))
}

fn is_finished_by(coordinator: &mut DaemonCoordinator, call: CallToken) -> bool {
    let message = CoordinatorMessage::Reply { call, body: LeaderReply::Done };
    let actions = coordinator.step(MonotonicTime::ZERO, AT, CoordinatorEvent::Receive { from: LEADER, message });
    actions.iter().any(|action| matches!(action, CoordinatorAction::Finish { call, .. } if call.get() == 1))
}

/// Guards against a late answer to a call of an earlier process that ends a call of the present one: an operator was
/// told that another operator's command is accepted (seed 41 of the soak at 1,000 steps).
#[test]
fn an_answer_to_an_earlier_process_ends_no_call() {
    let (_, earlier) = first_call(7);
    let (mut coordinator, present) = first_call(8);
    assert!(!is_finished_by(&mut coordinator, earlier));
    assert!(is_finished_by(&mut coordinator, present));
}
