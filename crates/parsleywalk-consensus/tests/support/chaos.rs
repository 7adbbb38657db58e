//! Random fault injection.

use std::time::Duration;

use parsleywalk_consensus::{MembershipChange, ReplicaId};
use parsleywalk_units::VmNumber;
use rand::RngExt;

use super::Cluster;

/// Injects random faults for a number of rounds, then heals the cluster and checks that it makes progress and agrees.
pub fn run(cluster: &mut Cluster, rounds: u32) {
    cluster.run_until("first leader", Duration::from_secs(10), |cluster| cluster.leader().is_some());
    for _ in 0..rounds {
        inject_fault(cluster);
        let millis = cluster.random.random_range(1..400);
        let proposals = cluster.random.random_range(0..12);
        for _ in 0..proposals {
            let any = cluster.random.random_range(0..cluster.machines.len());
            let at = cluster.leader().filter(|_| cluster.random.random_ratio(4, 5)).unwrap_or(any);
            cluster.propose(at);
            cluster.run_for(Duration::from_micros(millis * 1000 / 12));
        }
        cluster.run_for(Duration::from_millis(millis));
    }
    heal_and_check(cluster);
}

/// Heals the cluster and checks that a proposal succeeds and that all replicas and observers apply everything
/// committed.
pub fn heal_and_check(cluster: &mut Cluster) {
    cluster.heal();
    let limit = Duration::from_secs(30);
    cluster.run_until("repair of lost disks", limit, |cluster| cluster.leader().is_some() && has_all_disks(cluster));
    let target = cluster.oracle.last_committed();
    // The first leader may step down because of a membership change or an election that began before the healing.
    let committed = (0..10).any(|_| {
        cluster.run_until("leader after healing", limit, |cluster| {
            cluster.leader().is_some_and(|at| cluster.node(at).commit().get() >= target)
        });
        let leader = cluster.leader().expect("just seen");
        let proposal = cluster.propose(leader);
        cluster.run_until("outcome after healing", limit, |cluster| {
            cluster.oracle.applied.contains(&proposal) || cluster.oracle.refused.contains_key(&proposal)
        });
        cluster.oracle.applied.contains(&proposal)
    });
    assert!(committed, "liveness: no proposal is committed after healing");
    let target = cluster.oracle.last_committed();
    cluster.run_until("catch-up after healing", limit, |cluster| {
        let holds = |machine_index: usize| cluster.node(machine_index).status().applied.get() >= target;
        (0..cluster.machines.len()).all(holds)
    });
    assert_eq!(cluster.oracle.open_proposals(), 0, "proposals without an outcome");
}

/// Returns true if no membership change is in progress and every voter still has its disk, so that another disk may be
/// lost.
pub fn has_all_disks(cluster: &Cluster) -> bool {
    let present = |voter: &ReplicaId| cluster.machines.iter().any(|machine| machine.id == *voter);
    let voters = cluster.oracle.voters();
    cluster.oracle.change_ended() && voters.iter().all(present)
}

fn inject_fault(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let any = cluster.random.random_range(0..count);
    let at = cluster.leader().filter(|_| cluster.random.random_ratio(1, 2)).unwrap_or(any);
    match cluster.random.random_range(0..16) {
        0 => cluster.crash(at),
        1 | 2 => {
            if let Some(stopped) = cluster.machines.iter().position(|machine| machine.node.is_none()) {
                cluster.start(stopped);
            }
        }
        3 => cluster.isolate(at),
        4 => {
            let other = cluster.random.random_range(0..count);
            let link = (cluster.machines[at].id.vm, cluster.machines[other].id.vm);
            cluster.cut_links.insert(link);
        }
        5 | 6 => cluster.cut_links.clear(),
        7 => {
            let millis = cluster.random.random_range(50..3000);
            cluster.suspend(at, millis);
        }
        8 => cluster.loss_permille = cluster.random.random_range(0..300),
        9 => cluster.duplicate_permille = cluster.random.random_range(0..300),
        10 => cluster.max_delay_us = [1000, 5000, 50_000, 400_000][cluster.random.random_range(0..4)],
        11 => cluster.max_sync_us = [1000, 5000, 50_000, 400_000][cluster.random.random_range(0..4)],
        12 => lose_disk_if_safe(cluster, at),
        13 => change_membership(cluster, any),
        _ => cluster.heal(),
    }
}

/// Empties a disk if all earlier losses have been repaired.
fn lose_disk_if_safe(cluster: &mut Cluster, at: usize) {
    // A membership change that has begun needs its new voters as well.
    let present = |voter: &ReplicaId| cluster.machines.iter().any(|machine| machine.id == *voter);
    let pending =
        cluster.machines.iter().flat_map(|machine| machine.disk.members_after(cluster.oracle.last_committed()));
    let pending_present = pending.into_iter().all(|voter| present(&voter));
    if has_all_disks(cluster) && pending_present && !cluster.machines[at].observer {
        cluster.lose_disk(at);
        cluster.start(at);
    }
}

fn change_membership(cluster: &mut Cluster, any: usize) {
    let Some(leader) = cluster.leader() else { return };
    let voters = cluster.oracle.voters();
    let vm = cluster.machines[any].id.vm;
    let is_voter = voters.iter().any(|voter| voter.vm == vm);
    let vms: Vec<VmNumber> = cluster.machines.iter().map(|machine| machine.id.vm).collect();
    let spare = vms.into_iter().find(|vm| voters.iter().all(|voter| voter.vm != *vm));
    let change = match (is_voter, spare) {
        (false, _) => MembershipChange::Add { vm },
        (true, _) if voters.len() > 3 => MembershipChange::Remove { vm },
        (true, Some(new)) => MembershipChange::Replace { old: vm, new },
        (true, None) => return,
    };
    if has_all_disks(cluster) {
        cluster.propose_change(leader, change);
    }
}
