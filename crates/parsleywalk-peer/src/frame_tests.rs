//! Tests of frames.

use super::{LENGTH_BYTES, decode, encode};

/// A length prefix of 2^63 in the encoding of messages.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 128];

/// The offsets of the lengths in the encoded sample: of a string, of bytes, of a list and of a string in it.
const LENGTH_OFFSETS: [usize; 4] = [1, 6, 11, 13];

/// A message with each kind of length.
type Sample = (u32, String, Vec<u8>, Option<Vec<(u64, String)>>);

fn sample() -> Sample {
    (7, "name".to_owned(), vec![1, 2, 3], Some(vec![(9, "row".to_owned())]))
}

/// Guards against one malformed message ending the process: a length beyond the memory aborted it.
#[test]
fn a_huge_length_is_an_error() {
    let frame = encode(&sample()).expect("the sample is encoded");
    let body = &frame[LENGTH_BYTES..];
    assert_eq!(decode::<Sample>(body), Ok(sample()));
    for offset in LENGTH_OFFSETS {
        let mut damaged = body[..offset].to_vec();
        damaged.extend_from_slice(&HUGE_LENGTH);
        damaged.extend_from_slice(&body[offset + 1..]);
        assert!(decode::<Sample>(&damaged).is_err(), "a huge length at byte {offset}");
    }
}

/// Guards against a panic by a message that ends early or was changed in one byte.
#[test]
fn damaged_messages_do_not_panic() {
    let frame = encode(&sample()).expect("the sample is encoded");
    let body = &frame[LENGTH_BYTES..];
    for length in 0..body.len() {
        assert!(decode::<Sample>(&body[..length]).is_err(), "only {length} bytes");
    }
    for offset in 0..body.len() {
        for byte in 0..=u8::MAX {
            let mut damaged = body.to_vec();
            damaged[offset] = byte;
            drop(decode::<Sample>(&damaged));
        }
    }
}
