//! Tests with bytes that earlier releases wrote or read: replicas of two share a log during a rolling upgrade.
//!
//! The fixtures hold log entries, each with its length as four bytes before it, and snapshots. An earlier release made its
//! entries in about 20 s of a simulated fleet with faults, with every kind of command, and applied them; it also applied
//! the entries that the release after it made. The files named after a release are those of 93f58e9; the others name the
//! commit, and theirs hold crash-looping gangs as well. None holds workspaces, which no release before this one has.

use std::collections::HashSet;

use parsleywalk_batch::{BatchCommand, BatchState, JobRecord, decode_commands, encode_commands};
use rstest::rstest;

const LENGTH_BYTES: usize = 4;
/// The number of kinds of commands.
const COMMAND_KINDS: usize = 9;

fn entries(mut bytes: &[u8]) -> Vec<Vec<BatchCommand>> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_at(LENGTH_BYTES);
        let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
        let (entry, rest) = rest.split_at(length);
        let commands = decode_commands(entry).expect("an entry of a release");
        assert_eq!(encode_commands(&commands), entry, "the encoding is the same");
        entries.push(commands);
        bytes = rest;
    }
    entries
}

/// Guards against entries and snapshots of the last release that cannot be read, and against commands that are applied
/// in another way than the last release applies them.
#[rstest]
#[case::made_by_last_release(
    include_bytes!("fixtures/last-release.entries"),
    include_bytes!("fixtures/last-release.snapshot")
)]
#[case::made_by_this_release(
    include_bytes!("fixtures/this-release.entries"),
    include_bytes!("fixtures/this-release-applied-by-last.snapshot")
)]
#[case::made_by_9dacde6(include_bytes!("fixtures/9dacde6.entries"), include_bytes!("fixtures/9dacde6.snapshot"))]
#[case::made_after_9dacde6(
    include_bytes!("fixtures/later-than-9dacde6.entries"),
    include_bytes!("fixtures/later-than-9dacde6-applied-by-9dacde6.snapshot")
)]
#[case::made_by_0acfabd(include_bytes!("fixtures/0acfabd.entries"), include_bytes!("fixtures/0acfabd.snapshot"))]
#[case::made_after_0acfabd(
    include_bytes!("fixtures/later-than-0acfabd.entries"),
    include_bytes!("fixtures/later-than-0acfabd-applied-by-0acfabd.snapshot")
)]
fn both_releases_apply_a_log_alike(#[case] log: &[u8], #[case] snapshot: &[u8]) {
    let mut state = BatchState::default();
    let mut kinds = HashSet::new();
    for command in entries(log).iter().flatten() {
        kinds.insert(std::mem::discriminant(command));
        state.apply(command);
    }
    assert_eq!(kinds.len(), COMMAND_KINDS);
    state.take_newly_ended();
    assert_eq!(state.encode(), snapshot);
    let restored = BatchState::decode(snapshot).expect("a snapshot of a release");
    assert_eq!(restored, state);
}

/// Guards against a last release that reads a tombstone as a job that can run.
#[test]
fn the_last_release_keeps_tombstones_ended() {
    let snapshot = include_bytes!("fixtures/this-release-applied-by-last.snapshot");
    let state = BatchState::decode(snapshot).expect("a snapshot");
    let tombstones = state.ended_jobs().filter(|(_, record)| JobRecord::is_tombstone(record)).count();
    assert!(tombstones > 0, "the entries made some");
    assert!(!state.active_jobs().any(|(_, record)| JobRecord::is_tombstone(record)));
}
