//! Random writes compared with a model, after restarts and on copies of the file that a killed process would leave.
//!
//! `PARSLEYWALK_SEEDS=100-199` selects other seeds.

#[path = "../../parsleywalk-consensus/tests/support/disk.rs"]
#[allow(dead_code, unreachable_pub, reason = "not all items are used")]
mod disk;

use std::fs;
use std::sync::Arc;

use disk::SimulatedDisk;
use parsleywalk_consensus::{
    EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, LogTerm, LogWrite, RecoveredLog, ReplicaSet, WriteTicket,
};
use parsleywalk_storage::LogStore;
use parsleywalk_units::VmNumber;
use tempfile::tempdir;

/// A linear congruential generator, since the crate has no dependency with a seedable one.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

fn random_write(random: &mut Random, model: &RecoveredLog, number: u64) -> LogWrite {
    let snapshot_index = model.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.index);
    let first = model.entries.first().map_or(snapshot_index.next(), |entry| entry.index).get();
    let last = model.entries.last().map_or(snapshot_index, |entry| entry.index).get();
    let term = LogTerm::new(number);
    let bytes = usize::try_from(random.below(300)).expect("small");
    let snapshot = |index: u64, bytes: usize| {
        let payload = Arc::new((0..=250).cycle().take(bytes).collect());
        Some(LogSnapshot { index: LogIndex::new(index), term, members: ReplicaSet::default(), payload })
    };
    let entries = |from: u64, count: u64| {
        let payload = EntryPayload::Command(vec![7; bytes]);
        (from..from + count)
            .map(|index| LogEntry { index: LogIndex::new(index), term, payload: payload.clone() })
            .collect()
    };
    match random.below(8) {
        0 => {
            let hard_state = HardState { term, vote: None, commit: snapshot_index };
            LogWrite { hard_state: Some(hard_state), ..LogWrite::default() }
        }
        1 if last > snapshot_index.get() => {
            let from = snapshot_index.get() + 1 + random.below(last - snapshot_index.get());
            let truncate_from = Some(LogIndex::new(from));
            LogWrite { truncate_from, entries: entries(from, random.below(4)), ..LogWrite::default() }
        }
        2 if last > snapshot_index.get() => {
            let index = snapshot_index.get() + 1 + random.below(last - snapshot_index.get());
            let trim_to = Some(LogIndex::new(first.saturating_sub(1) + random.below(index - first + 2)));
            LogWrite { snapshot: snapshot(index, bytes * 9000), trim_to, ..LogWrite::default() }
        }
        3 if random.below(4) == 0 => {
            let truncate_from = Some(LogIndex::new(1));
            LogWrite { snapshot: snapshot(last + 50, bytes), truncate_from, ..LogWrite::default() }
        }
        _ => LogWrite { entries: entries(last + 1, 1 + random.below(20)), ..LogWrite::default() },
    }
}

fn run(seed: u64) {
    let mut random = Random(seed);
    let folder = tempdir().expect("a folder");
    let vm = VmNumber::new(1);
    LogStore::init(folder.path(), vm, &[]).expect("init");
    let (mut store, recovered) = LogStore::open(folder.path()).expect("open");
    let mut model = SimulatedDisk::new(recovered);
    for round in 1..40 {
        let mut group = Vec::new();
        for number in 0..=random.below(4) {
            let write = random_write(&mut random, &model.recover(), round * 10 + number);
            model.write(WriteTicket::new(round), write.clone());
            model.sync(WriteTicket::new(round));
            group.push(write);
        }
        store.write(&group).expect("write");
        let fault = random.below(6);
        if fault == 0 {
            drop(store);
            let (reopened, recovered) = LogStore::open(folder.path()).expect("open");
            assert_eq!(recovered, model.recover(), "seed {seed} round {round}: after a restart");
            store = reopened;
        } else if fault == 1 {
            // The file of an open store has the content that a killed process would leave.
            let copy = tempdir().expect("a folder");
            for file in fs::read_dir(folder.path()).expect("readable") {
                let file = file.expect("readable");
                fs::copy(file.path(), copy.path().join(file.file_name())).expect("copied");
            }
            let (_, recovered) = LogStore::open(copy.path()).expect("open after a kill");
            assert_eq!(recovered, model.recover(), "seed {seed} round {round}: after a kill");
        }
    }
}

/// Guards against synced writes that are lost or changed when the process is restarted or killed.
#[test]
fn synced_writes_survive() {
    let text = std::env::var("PARSLEYWALK_SEEDS").unwrap_or_else(|_| "0-5".to_owned());
    let (first, last) = text.split_once('-').expect("a range such as 0-5");
    for seed in first.parse().expect("a number")..=last.parse().expect("a number") {
        run(seed);
    }
}
