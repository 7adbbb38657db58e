//! Random faults against an oracle, with fixed seeds.
//!
//! `PARSLEYWALK_SEEDS=40000-49999` and `PARSLEYWALK_ROUNDS=150` run more and longer ones; use a release build for
//! these.

mod support;

use parsleywalk_consensus::ConsensusSettings;
use support::oracle::RunCounts;
use support::{Cluster, ClusterOptions, chaos};

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("PARSLEYWALK_SEEDS").unwrap_or_else(|_| "0-199".to_owned());
    let (first, last) = text.split_once('-').expect("a range such as 0-199");
    first.parse().expect("a number")..last.parse::<u64>().expect("a number") + 1
}

fn rounds() -> u32 {
    std::env::var("PARSLEYWALK_ROUNDS").map_or(60, |text| text.parse().expect("a number"))
}

fn run(options: &ClusterOptions) {
    let mut total = RunCounts::default();
    for seed in seeds() {
        println!("seed {seed}: {} voters, {} spares, {} observers", options.voters, options.spares, options.observers);
        let snapshot_entries = [5, 40, 150, 100_000][usize::try_from(seed % 4).expect("small")];
        let log_bytes = if seed % 3 == 0 { 1000 } else { usize::MAX };
        let settings = ConsensusSettings { snapshot_entries, log_bytes, ..options.settings.clone() };
        let mut cluster = Cluster::new(seed, ClusterOptions { settings, ..options.clone() });
        if options.bootstrap {
            cluster.heal();
        }
        chaos::run(&mut cluster, rounds());
        total.add(&cluster.oracle.counts());
    }
    println!("{} runs: {total:?}", seeds().count());
    assert!(total.changes > 0 && total.snapshots_installed > 0 && total.truncations > 0 && total.proposals_lost > 0);
}

/// Guards against diverging, lost or doubly applied entries, two leaders in a term and two lease holders.
#[test]
fn three_replicas_agree() {
    run(&ClusterOptions::default());
}

/// As above, with membership changes between five VMs.
#[test]
fn changing_members_agree() {
    run(&ClusterOptions { spares: 2, ..ClusterOptions::default() });
}

/// As above, with the largest set of a deployment.
#[test]
fn five_replicas_agree() {
    run(&ClusterOptions { voters: 5, spares: 1, ..ClusterOptions::default() });
}

/// As above, from empty folders on, with as many replicas as a deployment has VMs.
#[test]
fn bootstrapped_replicas_agree() {
    run(&ClusterOptions { voters: 6, observers: 1, bootstrap: true, ..ClusterOptions::default() });
}
