//! Checks that the oracle detects the absence of each safety mechanism, and that the same runs pass with it enabled.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use parsleywalk_consensus::{
    ConsensusEvent, ConsensusMessage, ConsensusNode, ConsensusSettings, DisabledMechanisms, EntryPayload, LogEntry,
    LogIndex, LogTerm, RecoveredLog, ReplicaId, ReplicaRole, ReplicaSet, WriteTicket,
};
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};
use rand::RngExt;
use rstest::rstest;
use support::{Cluster, ClusterOptions, chaos};

const ROUNDS: u32 = 60;

fn options(disabled: DisabledMechanisms) -> ClusterOptions {
    let options = ClusterOptions::default();
    ClusterOptions { spares: 1, settings: ConsensusSettings { disabled, ..options.settings }, ..options }
}

/// Runs the seed and returns the message of the oracle's or the node's failed assertion, if any.
fn failure(seed: u64, options: ClusterOptions) -> Option<String> {
    let run = AssertUnwindSafe(|| chaos::run(&mut Cluster::new(seed, options), ROUNDS));
    let panic = catch_unwind(run).err()?;
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string)).or_else(|| Some("unknown".to_owned()))
}

fn expect_failure(name: &str, seeds: u64, expected: &[&str], options: &ClusterOptions) {
    let failed = |seed| failure(seed, options.clone()).map(|text| (seed, text));
    let found = (0..seeds).filter_map(failed).find(|(_, text)| expected.iter().any(|part| text.contains(part)));
    let (seed, text) = found.unwrap_or_else(|| panic!("{name} off: no failure in {seeds} seeds"));
    println!("{name} off: seed {seed}: {text}");
    assert_eq!(failure(seed, self::options(DisabledMechanisms::default())), None, "seed {seed} with {name} on");
}

/// Runs elections in which a replica that the leader cannot reach requests the third replica's vote just when the
/// leader loses contact to that replica as well. Returns the message of the failed assertion, if any.
fn contest_elections(seed: u64, restart: bool, actual_drift: u32, settings: ConsensusSettings) -> Result<(), String> {
    let election_timeout_min = Duration::from_millis(505);
    let settings = ConsensusSettings { election_timeout_min, ..settings };
    let run = AssertUnwindSafe(|| {
        let options =
            ClusterOptions { observers: 0, settings, actual_drift: Some(actual_drift), ..ClusterOptions::default() };
        let mut cluster = Cluster::new(seed, options);
        for _ in 0..30 {
            cluster.heal();
            cluster.run_until("leader", Duration::from_secs(10), |cluster| cluster.leader().is_some());
            cluster.run_for(Duration::from_millis(500));
            let Some(leader) = cluster.leader() else { continue };
            let (rival, voter) = ((leader + 1) % 3, (leader + 2) % 3);
            cluster.isolate(rival);
            let link = (cluster.machines[rival].id.vm, cluster.machines[voter].id.vm);
            cluster.cut_links.remove(&link);
            cluster.cut_links.remove(&(link.1, link.0));
            let millis = cluster.random.random_range(500..1500);
            cluster.run_for(Duration::from_millis(millis));
            let link = (cluster.machines[leader].id.vm, cluster.machines[voter].id.vm);
            cluster.cut_links.extend([link, (link.1, link.0)]);
            if restart {
                cluster.crash(voter);
                cluster.start(voter);
            }
            cluster.run_for(Duration::from_secs(1));
        }
    });
    catch_unwind(run).map_err(|panic| panic.downcast_ref::<String>().cloned().unwrap_or_default())
}

/// Guards against two holders of the leader lease. This could happen if votes were granted within the lease, if a
/// restarted replica ignored contact with a leader before the restart, or if clocks drift more than the settings
/// permit.
#[rstest]
#[case::vote_withholding(DisabledMechanisms { vote_withholding: true, ..DisabledMechanisms::default() }, false, 10, 10)]
#[case::after_a_restart(DisabledMechanisms { restart_withholding: true, ..DisabledMechanisms::default() }, true, 10, 10)]
#[case::drift_bound(DisabledMechanisms::default(), false, 200, 10)]
fn the_lease_has_one_holder(
    #[case] disabled: DisabledMechanisms,
    #[case] restart: bool,
    #[case] actual_drift: u32,
    #[case] clock_drift: u32,
) {
    let off = ConsensusSettings { disabled, clock_drift, ..ConsensusSettings::default() };
    let on = ConsensusSettings { clock_drift: actual_drift, ..ConsensusSettings::default() };
    let failed = |seed| contest_elections(seed, restart, actual_drift, off.clone()).err().map(|text| (seed, text));
    let (seed, text) = (0..30).find_map(failed).expect("two holders must be detected");
    assert!(text.starts_with("lease: "), "{text}");
    println!("{disabled:?}, actual drift {actual_drift}, permitted {clock_drift}: seed {seed}: {text}");
    for seed in 0..30 {
        assert_eq!(contest_elections(seed, restart, actual_drift, on.clone()), Ok(()), "seed {seed}");
    }
}

/// Guards against an oracle that does not detect acknowledgements sent before the sync, by a follower or by a learner
/// that becomes a voter.
#[rstest]
#[case::committed_entry_lost(&["committed prefix", "committed entry", "catch-up", "state:", "more of this"])]
#[case::new_voter_behind(&["redundancy: new voter"])]
fn counting_waits_for_the_sync(#[case] expected: &[&str]) {
    let off = DisabledMechanisms { persist_wait: true, ..DisabledMechanisms::default() };
    expect_failure("waiting for syncs", 400, expected, &options(off));
}

/// Loses the disk of one of the two replicas that hold a committed entry. That replica and the third, which lacks the
/// entry, must not form a majority.
fn lose_disk_of_one_copy(keep_incarnation: bool) -> Result<(), String> {
    let run = AssertUnwindSafe(|| {
        let mut cluster =
            Cluster::new(3, ClusterOptions { keep_incarnation, ..options(DisabledMechanisms::default()) });
        cluster.run_until("leader", Duration::from_secs(10), |cluster| cluster.leader().is_some());
        let leader = cluster.leader().expect("just seen");
        let (copy, behind) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.isolate(behind);
        let proposal = cluster.propose(leader);
        cluster.run_until("commit", Duration::from_secs(2), |cluster| cluster.oracle.applied.contains(&proposal));
        cluster.isolate(leader);
        cluster.lose_disk(copy);
        cluster.start(copy);
        let (copy, behind) = (cluster.machines[copy].id.vm, cluster.machines[behind].id.vm);
        cluster.cut_links.retain(|link| *link != (copy, behind) && *link != (behind, copy));
        cluster.run_for(Duration::from_secs(10));
        chaos::heal_and_check(&mut cluster);
    });
    catch_unwind(run).map_err(|panic| panic.downcast_ref::<String>().cloned().unwrap_or_default())
}

/// Guards against a VM that votes after it has lost its disk, which loses committed entries.
#[test]
fn a_lost_disk_ends_an_incarnation() {
    assert_eq!(lose_disk_of_one_copy(false), Ok(()));
    let text = lose_disk_of_one_copy(true).expect_err("a lost entry must be detected");
    println!("new incarnation off: seed 3: {text}");
}

/// Guards against an oracle that does not detect a new voter that lacks committed entries.
#[test]
fn a_learner_counts_after_its_sync() {
    let off = DisabledMechanisms { learner_sync: true, ..DisabledMechanisms::default() };
    expect_failure("learner sync", 400, &["redundancy: new voter"], &options(off));
}

/// Returns what a leader of term 4 commits when a majority holds its entry of term 2, which a leader of term 3 may
/// still overwrite, but not yet its entry of term 4.
fn commit_with_majority_copy(disabled: DisabledMechanisms) -> LogIndex {
    let id = |vm| ReplicaId::new(VmNumber::new(vm), Incarnation::new(1));
    let mut recovered = RecoveredLog::bootstrapped(ReplicaSet::new((1..=5).map(id).collect()));
    let (index, term) = (LogIndex::new(2), LogTerm::new(2));
    recovered.entries.push(LogEntry { index, term, payload: EntryPayload::Command(vec![1]) });
    recovered.hard_state.term = LogTerm::new(3);
    let settings = ConsensusSettings { disabled, ..ConsensusSettings::default() };
    let mut node = ConsensusNode::open(settings, id(1), recovered, 1, MonotonicTime::ZERO).expect("sound");
    let term = LogTerm::new(4);
    let granted = ConsensusMessage::PreVoteReply { term, granted: true };
    let voted = ConsensusMessage::VoteReply { term, granted: true };
    let acknowledged = ConsensusMessage::Appended { term, matched: index };
    let now = MonotonicTime::from_millis(2000);
    node.step(now, ConsensusEvent::Tick);
    for (message, ticket) in [(granted, 1), (voted, 2), (acknowledged, 2)] {
        for vm in [2, 3] {
            node.step(now, ConsensusEvent::Receive { from: id(vm), message: message.clone() });
        }
        node.step(now, ConsensusEvent::Persisted { ticket: WriteTicket::new(ticket) });
    }
    assert_eq!((node.role(), node.term()), (ReplicaRole::Leader, term));
    node.commit()
}

/// Guards against an entry of an earlier term that is committed by counting copies and overwritten afterwards. The
/// random runs did not produce this case in 6,000 seeds, since a new leader appends an entry of its own term at once.
#[test]
fn copies_of_earlier_terms_do_not_count() {
    assert_eq!(commit_with_majority_copy(DisabledMechanisms::default()), LogIndex::ZERO);
    let off = DisabledMechanisms { own_term_commit: true, ..DisabledMechanisms::default() };
    assert_eq!(commit_with_majority_copy(off), LogIndex::new(2));
}

fn elections_after_isolation(disabled: DisabledMechanisms) -> usize {
    let mut cluster = Cluster::new(5, options(disabled));
    cluster.run_until("leader", Duration::from_secs(10), |cluster| cluster.leader().is_some());
    let leader = cluster.leader().expect("just seen");
    let before = cluster.oracle.elections();
    cluster.isolate((leader + 1) % 3);
    cluster.run_for(Duration::from_secs(10));
    cluster.heal();
    cluster.run_for(Duration::from_secs(5));
    cluster.oracle.elections() - before
}

/// Guards against a working leader that is deposed by a replica returning from a network partition.
#[test]
fn pre_vote_keeps_a_working_leader() {
    assert_eq!(elections_after_isolation(DisabledMechanisms::default()), 0);
    let off = DisabledMechanisms { pre_vote: true, ..DisabledMechanisms::default() };
    let elections = elections_after_isolation(off);
    println!("pre-vote off: {elections} elections after an isolated follower returned");
    assert!(elections > 0);
}

/// Guards against an isolated leader that keeps its role, also if only its inbound links are interrupted.
#[rstest]
#[case::both_ways(true)]
#[case::inbound_only(false)]
fn check_quorum_ends_an_isolated_leader(#[case] both: bool) {
    let role_after = |disabled| {
        let mut cluster = Cluster::new(6, options(disabled));
        cluster.run_until("leader", Duration::from_secs(10), |cluster| cluster.leader().is_some());
        let leader = cluster.leader().expect("just seen");
        cluster.isolate(leader);
        if !both {
            let vm = cluster.machines[leader].id.vm;
            cluster.cut_links.retain(|(_, to)| *to == vm);
        }
        cluster.run_for(Duration::from_millis(1500));
        cluster.node(leader).role()
    };
    assert_ne!(role_after(DisabledMechanisms::default()), ReplicaRole::Leader);
    let off = DisabledMechanisms { check_quorum: true, ..DisabledMechanisms::default() };
    assert_eq!(role_after(off), ReplicaRole::Leader);
}
