//! Simulations of single failures and membership changes.

mod support;

use std::time::Duration;

use parsleywalk_consensus::{ConsensusSettings, MembershipChange, ProposalRefusal, ReplicaRole};
use parsleywalk_units::VmNumber;
use support::{Cluster, ClusterOptions, chaos};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start_cluster(seed: u64, options: ClusterOptions) -> (Cluster, usize) {
    let mut cluster = Cluster::new(seed, options);
    cluster.run_until("leader", TIMEOUT, |cluster| cluster.leader().is_some());
    let leader = cluster.leader().expect("just seen");
    (cluster, leader)
}

fn commit(cluster: &mut Cluster, leader: usize, count: u64) {
    for _ in 0..count {
        let proposal = cluster.propose(leader);
        cluster.run_until("commit", TIMEOUT, |cluster| cluster.oracle.applied.contains(&proposal));
    }
}

fn vm(number: u32) -> VmNumber {
    VmNumber::new(number)
}

/// Guards against an election timeout before a single-member cluster has a leader.
#[test]
fn a_single_member_leads_at_once() {
    let mut cluster = Cluster::new(1, ClusterOptions { voters: 1, observers: 0, ..ClusterOptions::default() });
    let elapsed = cluster.run_until("leader", TIMEOUT, |cluster| cluster.leader().is_some());
    assert!(elapsed < Duration::from_millis(50), "{elapsed:?}");
    commit(&mut cluster, 0, 100);
    cluster.run_for(Duration::from_secs(5));
    assert!(cluster.node(0).status().leader_lease);
    cluster.crash(0);
    cluster.start(0);
    chaos::heal_and_check(&mut cluster);
}

/// Guards against bootstrap VMs that never form the first membership, or form it before all of them are running.
#[test]
fn bootstrap_vms_form_the_first_membership_together() {
    let mut cluster = Cluster::new(2, ClusterOptions { bootstrap: true, ..ClusterOptions::default() });
    for machine_index in [0, 1, 3] {
        cluster.start(machine_index);
    }
    cluster.run_for(Duration::from_secs(5));
    assert_eq!(cluster.leader(), None);
    cluster.heal();
    cluster.run_until("leader", TIMEOUT, |cluster| cluster.leader().is_some());
    chaos::heal_and_check(&mut cluster);
    assert_eq!(cluster.oracle.voters().len(), 3);
}

/// Guards against a second membership beside the existing one, formed by a bootstrap VM that is initialised again after
/// it lost its disk.
#[test]
fn a_reinitialised_bootstrap_vm_joins() {
    let mut cluster = Cluster::new(3, ClusterOptions { bootstrap: true, ..ClusterOptions::default() });
    cluster.heal();
    cluster.run_until("leader", TIMEOUT, |cluster| cluster.leader().is_some());
    cluster.run_for(Duration::from_secs(2));
    cluster.lose_disk(0);
    cluster.machines[0].disk.set_bootstrap_vms(vec![vm(1), vm(2), vm(3)]);
    cluster.start(0);
    cluster.run_until("repair", TIMEOUT, chaos::has_all_disks);
    chaos::heal_and_check(&mut cluster);
}

/// Guards against a failover that takes 2 s or longer after the leader is killed.
#[test]
fn a_killed_leader_is_replaced_in_time() {
    let mut times: Vec<Duration> = (0..100)
        .map(|seed| {
            let (mut cluster, leader) = start_cluster(seed, ClusterOptions { voters: 5, ..ClusterOptions::default() });
            cluster.run_for(Duration::from_millis(seed * 13));
            let leader = cluster.leader().unwrap_or(leader);
            cluster.crash(leader);
            cluster.run_until("new leader", TIMEOUT, |cluster| cluster.leader().is_some())
        })
        .collect();
    times.sort();
    println!("new leader ready after a kill: p50 {:?}, p99 {:?}, worst {:?}", times[50], times[98], times[99]);
    assert!(times[99] < Duration::from_secs(2), "{:?}", times[99]);
}

/// Guards against a suspended leader that still relies on its lease when it resumes.
#[test]
fn a_suspended_leader_steps_down_at_its_first_step() {
    let (mut cluster, leader) = start_cluster(4, ClusterOptions::default());
    cluster.run_for(Duration::from_secs(1));
    assert!(cluster.node(leader).status().leader_lease);
    cluster.suspend(leader, 3000);
    cluster.run_for(Duration::from_millis(2999));
    let successor = cluster.leader().expect("a new leader");
    assert_ne!(successor, leader);
    cluster.run_for(Duration::from_millis(2));
    assert_ne!(cluster.node(leader).role(), ReplicaRole::Leader);
    chaos::heal_and_check(&mut cluster);
}

/// Guards against a proposal without an outcome after another leader has overwritten its entry, which would leave the
/// caller waiting.
#[test]
fn overwritten_proposals_are_reported() {
    let (mut cluster, leader) = start_cluster(5, ClusterOptions::default());
    commit(&mut cluster, leader, 5);
    cluster.isolate(leader);
    let lost: Vec<_> = (0..5).map(|_| cluster.propose(leader)).collect();
    cluster.run_for(Duration::from_secs(3));
    for proposal in &lost {
        assert_eq!(cluster.oracle.refused.get(proposal), Some(&ProposalRefusal::LeadershipLost));
    }
    let successor = cluster.leader().expect("a new leader");
    commit(&mut cluster, successor, 5);
    chaos::heal_and_check(&mut cluster);
    let refused = cluster.propose((successor + 1) % 3);
    assert_eq!(cluster.oracle.refused.get(&refused), Some(&ProposalRefusal::NotLeader));
}

/// Guards against committed entries that are lost with another disk right after the previous lost disk was replaced.
#[test]
fn a_second_disk_may_be_lost_right_after_a_repair() {
    for seed in 0..30 {
        let (mut cluster, leader) = start_cluster(seed, ClusterOptions::default());
        commit(&mut cluster, leader, seed * 3);
        for lost in [(leader + 1) % 3, leader, (leader + 2) % 3] {
            cluster.lose_disk(lost);
            cluster.start(lost);
            cluster.run_until("repair", TIMEOUT, chaos::has_all_disks);
        }
        chaos::heal_and_check(&mut cluster);
    }
}

/// Guards against invalid or concurrent membership changes that are accepted, and against a removed VM that disturbs
/// the voters.
#[test]
fn operators_add_replace_and_remove() {
    let (mut cluster, leader) = start_cluster(7, ClusterOptions { spares: 2, ..ClusterOptions::default() });
    cluster.run_for(Duration::from_secs(1));
    let refusal = |cluster: &mut Cluster, change| {
        let proposal = cluster.propose_change(leader, change);
        cluster.oracle.refused.get(&proposal).copied()
    };
    let unknown = MembershipChange::Add { vm: vm(77) };
    assert_eq!(refusal(&mut cluster, unknown), Some(ProposalRefusal::LearnerUnknown));
    let present = MembershipChange::Add { vm: vm(1) };
    assert_eq!(refusal(&mut cluster, present), Some(ProposalRefusal::InvalidChange));
    assert_eq!(refusal(&mut cluster, MembershipChange::Add { vm: vm(4) }), None);
    let second = MembershipChange::Add { vm: vm(5) };
    assert_eq!(refusal(&mut cluster, second), Some(ProposalRefusal::ChangePending));
    cluster.run_for(Duration::from_secs(1));
    let old = cluster.machines[(leader + 1) % 3].id.vm;
    cluster.isolate((leader + 1) % 3);
    assert_eq!(refusal(&mut cluster, MembershipChange::Replace { old, new: vm(5) }), None);
    cluster.run_for(Duration::from_secs(1));
    let own = cluster.machines[leader].id.vm;
    assert_eq!(refusal(&mut cluster, MembershipChange::Remove { vm: own }), None);
    cluster.run_until("removed leader leaves", TIMEOUT, |cluster| cluster.node(leader).role() == ReplicaRole::Learner);
    chaos::heal_and_check(&mut cluster);
    let voters: Vec<VmNumber> = cluster.oracle.voters().iter().map(|voter| voter.vm).collect();
    let expected: Vec<VmNumber> = (1..=5).map(vm).filter(|vm| *vm != old && *vm != own).collect();
    assert_eq!(voters, expected);
    assert_eq!(cluster.node((leader + 1) % 3).role(), ReplicaRole::Learner);
}

/// Guards against a cluster that cannot elect a leader after a leader removed itself and was isolated while it alone
/// knew that the removal is committed, and another disk was lost meanwhile. The others need the removed leader's vote,
/// and its log is the longest.
#[test]
fn a_removed_leader_ends_its_change() {
    for seed in 0..20 {
        let (mut cluster, leader) = start_cluster(seed, ClusterOptions { voters: 4, ..ClusterOptions::default() });
        cluster.run_for(Duration::from_secs(1));
        let id = cluster.machines[leader].id;
        cluster.propose_change(leader, MembershipChange::Remove { vm: id.vm });
        for other in (1..=4).map(vm).filter(|other| *other != id.vm) {
            cluster.cut_links.insert((id.vm, other));
        }
        cluster.run_until("commit of the removal", TIMEOUT, |cluster| !cluster.oracle.voters().contains(&id));
        let lost = (leader + 1) % 4;
        cluster.lose_disk(lost);
        cluster.start(lost);
        cluster.isolate(leader);
        cluster.run_for(Duration::from_secs(3));
        chaos::heal_and_check(&mut cluster);
        assert_eq!(cluster.node(leader).role(), ReplicaRole::Learner);
    }
}

/// Guards against a cluster that cannot elect a leader after an isolated leader began to add a VM. The VM then received
/// newer entries from the next leader, whose disk was lost. The others need the vote of the VM, which does not know
/// that it is being added.
#[test]
fn a_learner_with_the_newest_log_hands_it_over() {
    for seed in 0..20 {
        let (mut cluster, first) =
            start_cluster(seed, ClusterOptions { spares: 1, observers: 0, ..ClusterOptions::default() });
        cluster.run_for(Duration::from_secs(1));
        cluster.isolate(first);
        cluster.propose_change(first, MembershipChange::Add { vm: vm(4) });
        let others = [(first + 1) % 3, (first + 2) % 3];
        let leads = |cluster: &Cluster, at: usize| cluster.node(at).role() == ReplicaRole::Leader;
        cluster.run_until("next leader", TIMEOUT, |cluster| others.iter().any(|at| leads(cluster, *at)));
        let [next, voter] = if leads(&cluster, others[0]) { others } else { [others[1], others[0]] };
        // The only other voter misses the next leader's entries, but the learner receives them.
        cluster.crash(voter);
        let last = cluster.node(next).status().last_index;
        cluster.run_until("learner", TIMEOUT, |cluster| cluster.node(3).status().last_index >= last);
        cluster.run_for(Duration::from_millis(50));
        cluster.lose_disk(next);
        chaos::heal_and_check(&mut cluster);
    }
}

/// Guards against an accepted membership change that could never be committed because a majority of the remaining
/// voters is unresponsive.
#[test]
fn changes_need_reachable_voters() {
    let (mut cluster, leader) = start_cluster(9, ClusterOptions::default());
    cluster.run_for(Duration::from_secs(1));
    let (unresponsive, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.crash(unresponsive);
    cluster.run_for(Duration::from_secs(1));
    let change = MembershipChange::Remove { vm: cluster.machines[other].id.vm };
    let proposal = cluster.propose_change(leader, change);
    assert_eq!(cluster.oracle.refused.get(&proposal), Some(&ProposalRefusal::TooFewReachable));
    chaos::heal_and_check(&mut cluster);
}

/// Guards against a leader that appends a membership confirmation after each snapshot that trims the membership
/// entries.
#[test]
fn snapshots_add_no_entries() {
    let (mut cluster, leader) = start_cluster(10, ClusterOptions::default());
    let before = cluster.node(leader).status().last_index.get();
    commit(&mut cluster, leader, 300);
    let status = cluster.node(leader).status();
    assert!(status.snapshot.get() > 200 && status.first_index.get() > 100);
    assert_eq!(status.last_index.get(), before + 300);
}

/// Guards against a replica that does not catch up with 1,000 entries, by entries or by a snapshot, and against nodes
/// that report to be caught up while they are not.
#[test]
fn a_late_replica_catches_up() {
    for snapshot_entries in [10_000, 200] {
        let settings = ConsensusSettings { snapshot_entries, retained_entries: 100, ..ConsensusSettings::default() };
        let (mut cluster, leader) = start_cluster(8, ClusterOptions { settings, ..ClusterOptions::default() });
        let late = (leader + 1) % 3;
        cluster.crash(late);
        cluster.isolate(3);
        for _ in 0..1000 {
            cluster.propose(leader);
        }
        cluster.run_for(Duration::from_secs(2));
        assert!(!cluster.node(3).is_caught_up());
        cluster.cut_links.clear();
        let start = cluster.now;
        cluster.start(late);
        // A restarted replica must not report to be caught up on the first message from the leader.
        cluster.run_until("first contact", TIMEOUT, |cluster| cluster.node(late).leader().is_some());
        assert!(!cluster.node(late).is_caught_up());
        let target = cluster.oracle.last_committed();
        assert!(target > 1000);
        let applied = move |machine_index: usize| {
            move |cluster: &Cluster| cluster.node(machine_index).status().applied.get() >= target
        };
        cluster.run_until("catch-up", TIMEOUT, applied(late));
        let elapsed = Duration::from_micros(cluster.now - start);
        println!("catch-up after 1,000 entries, snapshot every {snapshot_entries}: {elapsed:?} from the restart");
        cluster.run_until("observer", TIMEOUT, applied(3));
        cluster.run_for(Duration::from_secs(1));
        assert!(cluster.node(3).is_caught_up() && cluster.node(late).is_caught_up());
        chaos::heal_and_check(&mut cluster);
    }
}
