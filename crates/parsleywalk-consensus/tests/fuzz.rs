//! Simulations with random faults, checked by an oracle.
//!
//! The seeds are fixed. `PARSLEYWALK_SEEDS=40000-49999` and `PARSLEYWALK_ROUNDS=150` select more and longer runs, which
//! need a release build.

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

/// Guards against diverging, lost or doubly applied entries, two leaders in a term and two holders of the leader lease.
#[test]
fn three_replicas_agree() {
    run(&ClusterOptions::default());
}

/// Guards against the same failures as `three_replicas_agree`, with membership changes among five VMs.
#[test]
fn changing_members_agree() {
    run(&ClusterOptions { spares: 2, ..ClusterOptions::default() });
}

/// Guards against the same failures with five voters, the largest number in a deployment.
#[test]
fn five_replicas_agree() {
    run(&ClusterOptions { voters: 5, spares: 1, ..ClusterOptions::default() });
}

/// Guards against the same failures from the bootstrap on, with as many voters as a deployment has VMs.
#[test]
fn bootstrapped_replicas_agree() {
    run(&ClusterOptions { voters: 6, observers: 1, bootstrap: true, ..ClusterOptions::default() });
}
