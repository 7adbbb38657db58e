//! Measures the processor time to commit an entry, without disks and network.
//!
//! `cargo run --release -p parsleywalk-consensus --example step_bench -- [REPLICAS] [ENTRIES]`

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parsleywalk_consensus::{
    ConsensusAction, ConsensusEvent, ConsensusNode, ConsensusSettings, ProposalId, RecoveredLog, ReplicaId, ReplicaSet,
};
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

struct Bench {
    nodes: Vec<ConsensusNode>,
    events: VecDeque<(usize, ConsensusEvent)>,
    /// The total duration of each node's steps.
    spent: Vec<Duration>,
    applied: Vec<u64>,
}

impl Bench {
    fn run(&mut self, now: MonotonicTime) {
        while let Some((at, event)) = self.events.pop_front() {
            let start = Instant::now();
            let actions = self.nodes[at].step(now, event);
            self.spent[at] += start.elapsed();
            let from = self.nodes[at].id();
            for action in actions {
                match action {
                    ConsensusAction::Send { to, message } => {
                        let target = self.nodes.iter().position(|node| node.id() == to);
                        let event = ConsensusEvent::Receive { from, message };
                        self.events.extend(target.map(|target| (target, event)));
                    }
                    ConsensusAction::Persist { ticket, .. } => {
                        self.events.push_back((at, ConsensusEvent::Persisted { ticket }));
                    }
                    ConsensusAction::TakeSnapshot { index } => {
                        let event = ConsensusEvent::SnapshotTaken { index, payload: vec![0; 1000] };
                        self.events.push_back((at, event));
                    }
                    ConsensusAction::Apply { .. } => self.applied[at] += 1,
                    _ => {}
                }
            }
        }
    }
}

fn main() -> Outcome<()> {
    let mut arguments = std::env::args().skip(1);
    let replicas: u32 = arguments.next().map_or(Ok(5), |text| text.parse())?;
    let entries: u32 = arguments.next().map_or(Ok(200_000), |text| text.parse())?;
    let ids: Vec<ReplicaId> = (1..=replicas).map(|vm| ReplicaId::new(VmNumber::new(vm), Incarnation::new(1))).collect();
    let recovered = RecoveredLog::bootstrapped(ReplicaSet::new(ids.clone()));
    let open = |id: &ReplicaId| {
        // Only the first replica's election timeout has passed when the measurement starts.
        let start = if id.vm.get() == 1 { MonotonicTime::ZERO } else { MonotonicTime::from_millis(700) };
        ConsensusNode::open(ConsensusSettings::default(), *id, recovered.clone(), 1, start)
    };
    let nodes: Vec<ConsensusNode> = ids.iter().map(open).collect::<Result<_, _>>()?;
    let count = nodes.len();
    let mut bench =
        Bench { nodes, events: VecDeque::new(), spent: vec![Duration::ZERO; count], applied: vec![0; count] };
    let now = MonotonicTime::from_millis(1250);
    bench.events.push_back((0, ConsensusEvent::Tick));
    bench.run(now);
    assert!(bench.nodes[0].is_ready(), "the first replica leads");
    bench.spent.fill(Duration::ZERO);
    let first = bench.applied[0];
    for number in 0..u64::from(entries) {
        let event = ConsensusEvent::Propose { proposal: ProposalId::new(number), payload: vec![0; 40] };
        bench.events.push_back((0, event));
        bench.run(now);
    }
    assert_eq!(bench.applied[0] - first, u64::from(entries));
    let micros = |spent: Duration| spent.as_secs_f64() * 1e6 / f64::from(entries);
    println!("{replicas} replicas, one message for each entry and follower:");
    println!("leader {:.2} us per entry, follower {:.2} us per entry", micros(bench.spent[0]), micros(bench.spent[1]));
    Ok(())
}
