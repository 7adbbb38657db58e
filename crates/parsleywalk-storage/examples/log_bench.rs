//! Measures committed entries per second, with group commit and with one sync per entry.
//!
//! `cargo run --release -p parsleywalk-storage --example log_bench -- FOLDER [SECONDS]`

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusNode, ConsensusSettings, EntryPayload, LogEntry, LogIndex, LogSnapshot,
    LogWrite, ProposalId, ReplicaSet, WriteTicket,
};
use parsleywalk_storage::LogStore;
use parsleywalk_units::{MonotonicTime, VmNumber};

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

struct Bench {
    node: ConsensusNode,
    store: LogStore,
    start: Instant,
    writes: Vec<LogWrite>,
    ticket: WriteTicket,
    applied: u64,
    syncs: u64,
}

impl Bench {
    fn open(folder: &Path) -> Outcome<Self> {
        let vm = VmNumber::new(1);
        let id = LogStore::init(folder, vm, &[vm])?;
        let (store, recovered) = LogStore::open(folder)?;
        let node = ConsensusNode::open(ConsensusSettings::default(), id, recovered, 1, MonotonicTime::ZERO)?;
        let (start, ticket) = (Instant::now(), WriteTicket::ZERO);
        let mut bench = Self { node, store, start, writes: Vec::new(), ticket, applied: 0, syncs: 0 };
        while !bench.node.is_ready() {
            bench.step(ConsensusEvent::Tick);
            bench.sync()?;
        }
        Ok(bench)
    }

    fn step(&mut self, event: ConsensusEvent) {
        let now = MonotonicTime::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX));
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.node.step(now, event) {
                match action {
                    ConsensusAction::Persist { ticket, write } => {
                        self.ticket = ticket;
                        self.writes.push(write);
                    }
                    ConsensusAction::Apply { .. } => self.applied += 1,
                    ConsensusAction::TakeSnapshot { index } => {
                        events.push(ConsensusEvent::SnapshotTaken { index, payload: vec![0; 100_000] });
                    }
                    _ => {}
                }
            }
        }
    }

    fn sync(&mut self) -> Outcome<()> {
        if !self.writes.is_empty() {
            self.store.write(&self.writes)?;
            self.syncs += 1;
            self.writes.clear();
            self.step(ConsensusEvent::Persisted { ticket: self.ticket });
        }
        Ok(())
    }
}

/// Measures how long it takes to write and to open a log with a large snapshot.
fn measure_snapshot(folder: &Path) -> Outcome<()> {
    let vm = VmNumber::new(1);
    let id = LogStore::init(folder, vm, &[vm])?;
    let (mut store, recovered) = LogStore::open(folder)?;
    let members = ReplicaSet::new(vec![id]);
    let payload = Arc::new((0..=255).cycle().take(40_000_000).collect());
    let snapshot = LogSnapshot { index: LogIndex::new(1), term: recovered.hard_state.term, members, payload };
    let term = recovered.hard_state.term;
    let entry = |index| LogEntry { index: LogIndex::new(index), term, payload: EntryPayload::Command(vec![0; 40]) };
    store.write(&[LogWrite { entries: (2..12_000).map(entry).collect(), ..LogWrite::default() }])?;
    let start = Instant::now();
    store.write(&[LogWrite { snapshot: Some(snapshot), ..LogWrite::default() }])?;
    println!("write of a snapshot of 40 MB: {:?}", start.elapsed());
    drop(store);
    let start = Instant::now();
    LogStore::open(folder)?;
    println!("open with a snapshot of 40 MB and 12,000 entries: {:?}", start.elapsed());
    let status = std::fs::read_to_string("/proc/self/status")?;
    println!("peak memory: {}", status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("unknown"));
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

fn main() -> Outcome<()> {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().ok_or("usage: log_bench FOLDER [SECONDS]")?;
    let seconds = arguments.next().map_or(Ok(3), |text| text.parse())?;
    for group in [1, 8, 64, 512] {
        let folder = Path::new(&folder).join(format!("group-{group}"));
        let mut bench = Bench::open(&folder)?;
        let (first, syncs, start) = (bench.applied, bench.syncs, Instant::now());
        while start.elapsed() < Duration::from_secs(seconds) {
            for number in 0..group {
                bench.step(ConsensusEvent::Propose { proposal: ProposalId::new(number), payload: vec![0; 40] });
            }
            bench.sync()?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        let (applied, syncs) = (bench.applied - first, bench.syncs - syncs);
        let rate = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / elapsed;
        println!("entries per sync {group}: {:.0} entries/s, {:.0} syncs/s", rate(applied), rate(syncs));
        drop(bench);
        std::fs::remove_dir_all(&folder)?;
    }
    measure_snapshot(&Path::new(&folder).join("snapshot"))
}
