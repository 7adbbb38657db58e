//! Round trips, refused operations and damaged files of the log store.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use parsleywalk_consensus::{
    EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, LogTerm, LogWrite, RecoveredLog, ReplicaId, ReplicaSet,
};
use parsleywalk_storage::{LogStore, StorageError};
use parsleywalk_units::{Incarnation, VmNumber};
use rstest::rstest;
use tempfile::{TempDir, tempdir};

const VM: VmNumber = VmNumber::new(1);

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = EntryPayload::Command(index.to_le_bytes().repeat(4));
    LogEntry { index: LogIndex::new(index), term: LogTerm::new(term), payload }
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> LogWrite {
    LogWrite { entries: range.map(|index| entry(index, term)).collect(), ..LogWrite::default() }
}

fn snapshot(index: u64, bytes: usize) -> LogSnapshot {
    let members = ReplicaSet::new(vec![ReplicaId::new(VM, Incarnation::new(5))]);
    let payload = Arc::new((0..=250).cycle().take(bytes).collect());
    LogSnapshot { index: LogIndex::new(index), term: LogTerm::new(1), members, payload }
}

fn new_store() -> (TempDir, LogStore) {
    let folder = tempdir().expect("a folder");
    LogStore::init(folder.path(), VM, &[]).expect("init");
    let (store, recovered) = LogStore::open(folder.path()).expect("open");
    assert_eq!(recovered, RecoveredLog::default());
    (folder, store)
}

fn reopen(folder: &TempDir, store: LogStore) -> RecoveredLog {
    drop(store);
    LogStore::open(folder.path()).expect("open").1
}

/// Guards against writes that are lost or reordered across a restart.
#[test]
fn writes_survive_a_restart() {
    let (folder, mut store) = new_store();
    let vote = Some(ReplicaId::new(VM, Incarnation::new(7)));
    let hard_state = HardState { term: LogTerm::new(3), vote, commit: LogIndex::new(2) };
    let replaced = LogWrite { truncate_from: Some(LogIndex::new(4)), ..append(4..=5, 3) };
    let set = LogWrite { hard_state: Some(hard_state), ..LogWrite::default() };
    store.write(&[append(1..=6, 1), replaced, set]).expect("write");
    let recovered = reopen(&folder, store);
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 3), entry(5, 3)]);
}

/// Guards against a snapshot that is truncated, mixed with an older one, or followed by a gap before the entries.
#[test]
fn snapshots_replace_what_they_cover() {
    let (folder, mut store) = new_store();
    let trim_to = Some(LogIndex::new(6));
    let taken = LogWrite { snapshot: Some(snapshot(8, 3_000_000)), trim_to, ..LogWrite::default() };
    store.write(&[append(1..=10, 1), taken]).expect("write");
    let recovered = reopen(&folder, store);
    assert_eq!(recovered.snapshot, Some(snapshot(8, 3_000_000)));
    assert_eq!(recovered.entries, append(7..=10, 1).entries);

    let (mut store, _) = LogStore::open(folder.path()).expect("open");
    let truncate_from = Some(LogIndex::new(1));
    let installed = LogWrite { snapshot: Some(snapshot(40, 10)), truncate_from, ..LogWrite::default() };
    store.write(&[installed, append(41..=42, 1)]).expect("write");
    let recovered = reopen(&folder, store);
    assert_eq!(recovered.snapshot, Some(snapshot(40, 10)));
    assert_eq!(recovered.entries, append(41..=42, 1).entries);
}

/// Guards against a second initialisation, which would give a VM with an existing log a new identity.
#[test]
fn a_folder_is_initialised_once() {
    let (folder, store) = new_store();
    let again = LogStore::init(folder.path(), VM, &[VM]);
    assert!(matches!(again, Err(StorageError::AlreadyInitialised { .. })), "{again:?}");
    let other = tempdir().expect("a folder");
    let without = LogStore::init(other.path(), VM, &[VmNumber::new(2), VmNumber::new(3)]);
    assert_eq!(without.expect_err("refused").to_string(), "first members 2, 3 do not include VM 1");
    let id = store.id();
    drop(store);
    assert_eq!(LogStore::open(folder.path()).expect("open").0.id(), id);
    let empty = tempdir().expect("a folder");
    let opened = LogStore::open(empty.path()).map(|_| ());
    assert!(matches!(opened, Err(StorageError::NotInitialised { .. })), "{opened:?}");
    assert_eq!(fs::read_dir(empty.path()).expect("readable").count(), 0, "a refused open leaves nothing behind");
}

/// Guards against two processes that write the same log.
#[test]
fn a_log_is_opened_once() {
    let (folder, _store) = new_store();
    assert!(LogStore::open(folder.path()).is_err());
}

/// Guards against a gap in the stored log, and against writes after a failed one, when the content of the disk is
/// unknown.
#[test]
fn a_write_continues_the_log() {
    let (_folder, mut store) = new_store();
    let gap = store.write(&[append(1..=2, 1), append(4..=5, 1)]);
    assert!(matches!(gap, Err(StorageError::Sequence { found: 4, expected: 3 })), "{gap:?}");
    let after = store.write(&[append(1..=2, 1)]);
    assert!(matches!(after, Err(StorageError::Failed)), "{after:?}");
}

fn store_with_entries() -> (TempDir, std::path::PathBuf, RecoveredLog) {
    let (folder, mut store) = new_store();
    let hard_state = Some(HardState { term: LogTerm::new(1), ..HardState::default() });
    let trim_to = Some(LogIndex::new(20));
    let taken = LogWrite { snapshot: Some(snapshot(30, 20_000)), trim_to, hard_state, ..LogWrite::default() };
    store.write(&[append(1..=200, 1), taken]).expect("write");
    let recovered = reopen(&folder, store);
    let file = fs::read_dir(folder.path()).expect("readable").next().expect("one file").expect("readable").path();
    (folder, file, recovered)
}

/// Guards against a file of another format that is read as an empty or shorter log.
#[rstest]
#[case::empty(Vec::new())]
#[case::text(b"version: 7\n".to_vec())]
#[case::zeros(vec![0; 65536])]
fn files_of_other_formats_are_refused(#[case] content: Vec<u8>) {
    let (folder, file, _) = store_with_entries();
    fs::write(&file, content).expect("write");
    let opened = LogStore::open(folder.path()).map(|(_, recovered)| recovered);
    assert!(opened.is_err(), "{opened:?}");
    assert!(matches!(LogStore::init(folder.path(), VM, &[]), Err(StorageError::AlreadyInitialised { .. })));
}

fn opens_unchanged(folder: &Path, expected: &RecoveredLog, what: &str) -> bool {
    match std::panic::catch_unwind(|| LogStore::open(folder)) {
        Ok(Ok((_, recovered))) => {
            assert_eq!(&recovered, expected, "{what} changed the log unnoticed");
            true
        }
        Ok(Err(error)) => {
            assert!(!error.to_string().is_empty());
            false
        }
        Err(panic) => panic!("{what} ended in a panic: {panic:?}"),
    }
}

/// Guards against flipped bits that change the log without an error. Flipped bits in unused parts of the file may
/// remain undetected.
#[test]
fn flipped_bytes_are_detected() {
    let (folder, file, expected) = store_with_entries();
    let intact = fs::read(&file).expect("readable");
    let mut detected = 0;
    // All bytes of the database header, and a sample of the rest.
    for at in (0..320).chain((320..intact.len()).step_by(intact.len() / 100)) {
        let mut content = intact.clone();
        content[at] ^= 0x55;
        fs::write(&file, &content).expect("write");
        detected += u32::from(!opens_unchanged(folder.path(), &expected, &format!("byte {at}")));
    }
    println!("detected {detected} of about 420 flipped bytes in {} bytes", intact.len());
    assert!(detected > 0);
}

/// Guards against a file without its end that is read as a shorter log.
#[test]
fn truncated_files_are_detected() {
    let (folder, file, expected) = store_with_entries();
    let intact = fs::read(&file).expect("readable");
    for length in (0..intact.len()).step_by(intact.len() / 40) {
        fs::write(&file, &intact[..length]).expect("write");
        opens_unchanged(folder.path(), &expected, &format!("length {length}"));
    }
}
