//! Fuzz tests of the decoders of log entries and snapshots: whatever the bytes, they return a value or an error.

mod support;

use parsleywalk_batch::{BatchCommand, BatchState, decode_commands, encode_commands};
use proptest::prelude::*;
use support::{step, submission};

/// A length prefix of 2^63 in the encoding of the log.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 128];

/// Returns the encoding of a submission.
fn encoded_submission() -> Vec<u8> {
    encode_commands(&[BatchCommand::Submit(Box::new(submission(1, 0, vec![step(2, 1, 500)])))])
}

/// Guards against an abort by a length beyond the memory: every length that a damaged entry can hold is replaced by a
/// huge one in turn.
#[test]
fn a_huge_length_is_an_error() {
    let bytes = encoded_submission();
    for offset in 0..bytes.len() {
        let mut damaged = bytes[..offset].to_vec();
        damaged.extend_from_slice(&HUGE_LENGTH);
        damaged.extend_from_slice(&bytes[offset + 1..]);
        drop(decode_commands(&damaged));
        drop(BatchState::decode(&damaged));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic or an abort by arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        drop(decode_commands(&bytes));
        drop(BatchState::decode(&bytes));
    }

    /// Guards against a panic or an abort by a damaged or truncated entry.
    #[test]
    fn damaged_entries_do_not_panic(offset in 0_usize..200, byte in any::<u8>(), length in 0_usize..300) {
        let mut bytes = encoded_submission();
        let offset = offset % bytes.len();
        bytes[offset] = byte;
        bytes.truncate(length);
        drop(decode_commands(&bytes));
        drop(BatchState::decode(&bytes));
    }
}
