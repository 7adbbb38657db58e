//! Random faults against an oracle, with fixed seeds.
//!
//! `PARSLEYWALK_SEEDS=1000-1999` and `PARSLEYWALK_ROUNDS=300` run more and longer ones.

mod support;

use support::{Cluster, Plan, chaos};

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("PARSLEYWALK_SEEDS").unwrap_or_else(|_| "0-199".to_owned());
    let (first, last) = text.split_once('-').expect("a range such as 0-199");
    first.parse().expect("a number")..last.parse::<u64>().expect("a number") + 1
}

fn rounds() -> u32 {
    std::env::var("PARSLEYWALK_ROUNDS").map_or(60, |text| text.parse().expect("a number"))
}

fn run(voters: u16, spares: u16, observers: u16) {
    for seed in seeds() {
        println!("seed {seed}: {voters} voters, {spares} spares, {observers} observers");
        let plan = Plan { voters, spares, observers, ..Plan::default() };
        chaos::run(&mut Cluster::new(seed, plan), rounds());
    }
}

/// Guards against diverging, lost or doubly applied entries, two leaders in a term and two lease holders.
#[test]
fn three_replicas_agree() {
    run(3, 0, 1);
}

/// As above, with membership changes between five VMs.
#[test]
fn changing_members_agree() {
    run(3, 2, 1);
}

/// As above, with the largest set of a deployment.
#[test]
fn five_replicas_agree() {
    run(5, 1, 1);
}
