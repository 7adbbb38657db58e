//! Tests of votes, with single messages to one replica.

use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusMessage, ConsensusNode, ConsensusSettings, LogIndex, LogTerm,
    RecoveredLog, ReplicaId, ReplicaSet,
};
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};

fn replica(number: u32) -> ReplicaId {
    ReplicaId::new(VmNumber::new(number), Incarnation::new(1))
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Delivers a message, syncs all writes, and returns true if a vote was granted.
fn grants_vote(node: &mut ConsensusNode, now: MonotonicTime, from: ReplicaId, message: ConsensusMessage) -> bool {
    let mut actions = node.step(now, ConsensusEvent::Receive { from, message });
    let mut granted = false;
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            match action {
                ConsensusAction::Persist { ticket, .. } => {
                    next.extend(node.step(now, ConsensusEvent::Persisted { ticket }));
                }
                ConsensusAction::Send { message: ConsensusMessage::VoteReply { granted: reply, .. }, .. } => {
                    granted |= reply;
                }
                _ => {}
            }
        }
        actions = next;
    }
    granted
}

/// Guards against two leaders that hold their leases at once. A follower that has just answered a heartbeat learns of a
/// newer term, by a late answer to its own pre-vote; a vote of that term must wait until the lease that its answer
/// allows is over.
#[test]
fn a_vote_of_an_adopted_term_is_withheld_while_the_leader_may_hold_its_lease() {
    let (leader, own, candidate) = (replica(1), replica(2), replica(3));
    let recovered = RecoveredLog::bootstrapped(ReplicaSet::new(vec![leader, own, candidate]));
    let settings = ConsensusSettings::default();
    let lease = settings.leader_lease;
    let mut node = ConsensusNode::open(settings, own, recovered, 1, at(0)).expect("valid settings");
    let (old, new) = (LogTerm::new(1), LogTerm::new(2));
    let heartbeat = ConsensusMessage::Heartbeat { term: old, round: 1, commit: LogIndex::ZERO, lease: true };
    let contact = at(10_000);
    grants_vote(&mut node, contact, leader, heartbeat);
    grants_vote(&mut node, at(10_010), candidate, ConsensusMessage::PreVoteReply { term: new, granted: false });
    assert_eq!(node.term(), new);
    let vote = ConsensusMessage::Vote { term: new, last_index: LogIndex::new(1), last_term: old };
    assert!(!grants_vote(&mut node, at(10_020), candidate, vote.clone()), "the leader may hold its lease");
    let newer = ConsensusMessage::Vote { term: new.next(), last_index: LogIndex::new(1), last_term: old };
    assert!(!grants_vote(&mut node, at(10_030), candidate, newer), "the leader may hold its lease");
    assert_eq!(node.term(), new);
    assert!(grants_vote(&mut node, contact + lease, candidate, vote.clone()), "the lease is over");
    assert!(grants_vote(&mut node, contact + lease, candidate, vote), "an answer that was lost is repeated");
}
