//! Opening a replica or an observer.

use std::collections::{BTreeMap, VecDeque};

use parsleywalk_units::{MonotonicTime, VmNumber};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::ConsensusNode;
use crate::history::MembershipHistory;
use crate::window::LogWindow;
use crate::{
    ConsensusAction, ConsensusError, ConsensusSettings, EntryPayload, HardState, LogIndex, LogSnapshot, LogTerm,
    RecoveredLog, ReplicaId, ReplicaRole, ReplicaSet, Result, WriteTicket,
};

impl ConsensusNode {
    /// Opens a replica from its recovered durable state. Initial actions, such as installing the recovered snapshot,
    /// are returned by the first step.
    ///
    /// A replica that is the only voter requests no votes and becomes the leader as soon as its new term is synced. A
    /// replica without entries announces itself to the contact points as a learner.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range, the incarnation is zero or the recovered log is inconsistent.
    pub fn open(
        settings: ConsensusSettings,
        id: ReplicaId,
        recovered: RecoveredLog,
        seed: u64,
        now: MonotonicTime,
    ) -> Result<Self> {
        settings.check()?;
        if id.incarnation.get() == 0 {
            return Err(ConsensusError::NoIncarnation);
        }
        let (log, history) = check_recovered(&recovered)?;
        let RecoveredLog { hard_state, snapshot, bootstrap_vms, .. } = recovered;
        let mut contact_points = settings.contact_points.clone();
        contact_points.extend_from_slice(&bootstrap_vms);
        let mut node = Self::new(settings, id, contact_points, seed, now);
        node.bootstrap_vms = bootstrap_vms;
        node.term = hard_state.term;
        node.vote = hard_state.vote;
        node.log = log;
        node.history = history;
        if let Some(LogSnapshot { index, payload, .. }) = snapshot {
            node.snapshot_index = index;
            node.commit = index;
            node.applied = index;
            node.actions.push(ConsensusAction::InstallSnapshot { index, payload });
        }
        node.commit = node.commit.max(hard_state.commit);
        node.verified_index = node.commit;
        node.history.set_commit(node.commit);
        // Contact with a leader before the restart is not on disk, so a restarted replica assumes that there was some.
        if !node.settings.disabled.restart_withholding {
            node.withhold_votes_until = now + node.settings.leader_lease;
        }
        node.reset_election();
        node.randomize_snapshot_threshold();
        node.update_role();
        if node.history.voters() == [id] {
            node.withhold_votes_until = now;
            node.election_deadline = now;
        }
        Ok(node)
    }

    /// Opens an observer, which has no durable state and announces itself to the contact points.
    #[must_use]
    pub fn observer(
        settings: ConsensusSettings,
        id: ReplicaId,
        contact_points: Vec<VmNumber>,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let mut node = Self::new(settings, id, contact_points, seed, now);
        node.role = ReplicaRole::Observer;
        node
    }

    fn new(
        settings: ConsensusSettings,
        id: ReplicaId,
        mut contact_points: Vec<VmNumber>,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        contact_points.sort_unstable();
        contact_points.dedup();
        contact_points.retain(|vm| *vm != id.vm);
        Self {
            settings,
            id,
            rng: Pcg32::seed_from_u64(seed),
            now,
            role: ReplicaRole::Learner,
            leader: None,
            term: LogTerm::ZERO,
            vote: None,
            log: LogWindow::default(),
            history: MembershipHistory::new(LogIndex::ZERO, ReplicaSet::default()),
            snapshot_index: LogIndex::ZERO,
            recent_snapshot: None,
            commit: LogIndex::ZERO,
            applied: LogIndex::ZERO,
            withhold_votes_until: now,
            election_deadline: MonotonicTime::NEVER,
            commit_confirmed_at: None,
            leader_commit: LogIndex::ZERO,
            verified_index: LogIndex::ZERO,
            next_join: now,
            contact_points,
            bootstrap_vms: Vec::new(),
            bootstrap_peers: BTreeMap::new(),
            pre_voting: false,
            granted_by: Vec::new(),
            leader_since: now,
            term_start_index: LogIndex::ZERO,
            synced_index: LogIndex::ZERO,
            peers: Vec::new(),
            round: 0,
            sent_heartbeats: VecDeque::new(),
            next_heartbeat: MonotonicTime::NEVER,
            uncommitted_bytes: 0,
            proposals: VecDeque::new(),
            incoming: None,
            requested_snapshot: None,
            snapshot_threshold: 0,
            next_ticket: WriteTicket::new(1),
            pending_writes: VecDeque::new(),
            reported_role: None,
            actions: Vec::new(),
        }
    }
}

fn check_recovered(recovered: &RecoveredLog) -> Result<(LogWindow, MembershipHistory)> {
    let RecoveredLog { hard_state, snapshot, entries, .. } = recovered;
    let (snapshot_index, snapshot_term, members) = match snapshot {
        Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
        None => (LogIndex::ZERO, LogTerm::ZERO, ReplicaSet::default()),
    };
    // Entries that the snapshot already covers are kept for slow followers. The term before them is not known, so the
    // first of them becomes the base of the window.
    let first = entries.first().map_or(snapshot_index.next(), |entry| entry.index);
    if first > snapshot_index.next() || first == LogIndex::ZERO {
        return Err(ConsensusError::Gap { found: first, expected: snapshot_index.next() });
    }
    let tail = first <= snapshot_index;
    let mut log = match entries.first() {
        Some(entry) if tail => LogWindow::new(entry.index, entry.term),
        _ => LogWindow::new(snapshot_index, snapshot_term),
    };
    let mut history = MembershipHistory::new(snapshot_index, members);
    let mut previous = log.last_term();
    for entry in entries.iter().skip(usize::from(tail)) {
        if entry.index != log.last_index().next() {
            return Err(ConsensusError::Gap { found: entry.index, expected: log.last_index().next() });
        }
        if entry.term < previous || (entry.index == snapshot_index && entry.term != snapshot_term) {
            return Err(ConsensusError::TermOrder { index: entry.index });
        }
        previous = entry.term;
        if let EntryPayload::Membership(set) = &entry.payload
            && entry.index > snapshot_index
        {
            history.push(entry.index, set.clone());
        }
        log.append(entry.clone());
    }
    check_end(hard_state, snapshot_index, &log)?;
    Ok((log, history))
}

fn check_end(hard_state: &HardState, snapshot_index: LogIndex, log: &LogWindow) -> Result<()> {
    let last = log.last_index();
    if last < snapshot_index || last < hard_state.commit {
        return Err(ConsensusError::MissingEntries { commit: snapshot_index.max(hard_state.commit), last });
    }
    if log.last_term() > hard_state.term {
        return Err(ConsensusError::TermOrder { index: last });
    }
    Ok(())
}
