//! Calls to the leader across restarts of the calling daemon.

use std::time::Duration;

use parsleywalk_consensus::{
    ConsensusMessage, ConsensusNode, ConsensusSettings, LogIndex, LogTerm, RecoveredLog, ReplicaId, ReplicaSet,
};
use parsleywalk_coordinator::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, DaemonCoordinator, LeaderCall, LeaderReply,
};
use parsleywalk_units::{Incarnation, MonotonicTime, StateTime, VmNumber};

const LEADER: VmNumber = VmNumber::new(2);
const STATE_TIME: StateTime = StateTime::from_millis(1);

fn id(vm: u32) -> ReplicaId {
    ReplicaId::new(VmNumber::new(vm), Incarnation::new(1))
}

/// Starts a process on VM 1 that follows VM 2, makes its first call and returns the token that it sent.
fn first_call(seed: u64) -> (DaemonCoordinator, CallToken) {
    let recovered = RecoveredLog::bootstrapped(ReplicaSet::new([1, 2, 3].map(id).to_vec()));
    let node = ConsensusNode::open(ConsensusSettings::default(), id(1), recovered, seed, MonotonicTime::ZERO).unwrap();
    let mut coordinator = DaemonCoordinator::new(node, [1, 2, 3].map(VmNumber::new).into_iter(), seed);
    let message = ConsensusMessage::Heartbeat { term: LogTerm::new(2), round: 1, commit: LogIndex::ZERO, lease: true };
    let message = CoordinatorMessage::Log { from: id(2), to: id(1), message };
    coordinator.step(MonotonicTime::ZERO, STATE_TIME, CoordinatorEvent::Receive { from: LEADER, message });
    let body = LeaderCall::JobStatus("planning/a".parse().unwrap());
    let call = CoordinatorEvent::Call { call: CallToken::new(1), body, timeout: Duration::from_secs(5) };
    let actions = coordinator.step(MonotonicTime::ZERO, STATE_TIME, call);
    let sent = actions.into_iter().find_map(|action| match action {
        CoordinatorAction::Send { to: LEADER, message: CoordinatorMessage::Call { call, .. } } => Some(call),
        _ => None,
    });
    (coordinator, sent.expect("the call goes to the leader"))
}

fn finishes_first_call(coordinator: &mut DaemonCoordinator, call: CallToken) -> bool {
    let message = CoordinatorMessage::Reply { call, body: LeaderReply::Done };
    let actions =
        coordinator.step(MonotonicTime::ZERO, STATE_TIME, CoordinatorEvent::Receive { from: LEADER, message });
    actions.iter().any(|action| matches!(action, CoordinatorAction::Finish { call, .. } if call.get() == 1))
}

/// Guards against a late reply to an earlier process that completes a call of the current one. An operator was told
/// that another operator's command was accepted; found by the soak test with seed 41 at 1,000 steps.
#[test]
fn a_reply_to_an_earlier_process_completes_no_call() {
    let (_, earlier) = first_call(7);
    let (mut coordinator, current) = first_call(8);
    assert!(!finishes_first_call(&mut coordinator, earlier));
    assert!(finishes_first_call(&mut coordinator, current));
}
