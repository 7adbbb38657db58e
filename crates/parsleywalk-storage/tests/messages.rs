//! Encoding of consensus messages as it is used between daemons.

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use parsleywalk_consensus::{ConsensusMessage, EntryPayload, LogEntry, LogIndex, LogTerm, ReplicaId, ReplicaSet};
use parsleywalk_units::{Incarnation, VmNumber};

const TERM: LogTerm = LogTerm::new(1000);
const INDEX: LogIndex = LogIndex::new(1_000_000_000);

fn append(count: u64, bytes: usize) -> ConsensusMessage {
    let entry = |at| {
        let payload = EntryPayload::Command(vec![7; bytes]);
        LogEntry { index: LogIndex::new(INDEX.get() + at), term: TERM, payload }
    };
    let entries = (1..=count).map(entry).collect();
    ConsensusMessage::Append { term: TERM, previous_index: INDEX, previous_term: TERM, commit: INDEX, entries }
}

fn size(message: &ConsensusMessage) -> usize {
    let bytes = encode_to_vec(message, standard()).expect("encodes");
    let (decoded, used): (ConsensusMessage, usize) = decode_from_slice(&bytes, standard()).expect("decodes");
    assert_eq!((&decoded, used), (message, bytes.len()));
    bytes.len()
}

/// Guards against encodings of heartbeats and entries that exceed the daemons' network budget.
#[test]
fn messages_are_small() {
    let heartbeat = ConsensusMessage::Heartbeat { term: TERM, round: 10_000_000, commit: INDEX, lease: true };
    let reply = ConsensusMessage::HeartbeatReply { term: TERM, round: 10_000_000 };
    let (one, hundred) = (size(&append(1, 20)), size(&append(100, 20)));
    println!(
        "heartbeat {}, reply {}, append of 1 command of 20 bytes {one}, of 100 {hundred}",
        size(&heartbeat),
        size(&reply)
    );
    assert!(size(&heartbeat) <= 16 && size(&reply) <= 10);
    assert!(one <= 50 && hundred <= 24 * 100);
}

/// Guards against a message that the receiver cannot decode to the same value.
#[test]
fn every_message_round_trips() {
    let id = ReplicaId::new(VmNumber::new(3), Incarnation::new(0x7f2a));
    let members = ReplicaSet::new(vec![id]);
    let (term, index) = (TERM, INDEX);
    let entries = vec![
        LogEntry { index, term, payload: EntryPayload::Empty },
        LogEntry { index: index.next(), term: term.next(), payload: EntryPayload::Membership(members.clone()) },
        LogEntry { index: index.next().next(), term: term.next(), payload: EntryPayload::Command(vec![1, 2]) },
    ];
    for message in [
        ConsensusMessage::PreVote { term, last_index: index, last_term: term },
        ConsensusMessage::PreVoteReply { term, granted: true },
        ConsensusMessage::Vote { term, last_index: index, last_term: term },
        ConsensusMessage::VoteReply { term, granted: false },
        ConsensusMessage::Append { term, previous_index: index, previous_term: term, commit: index, entries },
        ConsensusMessage::Appended { term, matched: index },
        ConsensusMessage::Mismatch { term, refused: index, hint: index },
        ConsensusMessage::SnapshotWanted { term, index, offset: 5 },
        ConsensusMessage::Join { observer: true, empty: true, last_index: index },
        ConsensusMessage::SnapshotChunk {
            term,
            index,
            index_term: term,
            members,
            length: 9,
            offset: 4,
            part: vec![1; 5],
        },
    ] {
        size(&message);
    }
}
