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
    /// Opens a replica with what its disk holds. Actions that follow from the opening itself, such as installing the
    /// recovered snapshot, are returned by the first step.
    ///
    /// The only voter of a set asks for no votes and leads as soon as its new term is synced. A folder without entries
    /// announces itself to the contacts as a learner.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range or the recovered log is inconsistent.
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
        node.verified = node.commit;
        node.history.set_commit(node.commit);
        // The withholding of votes for a leader is not on disk, so a restarted replica renews it.
        if !node.settings.disabled.restart_withholding {
            node.withhold_until = now + node.settings.leader_lease;
        }
        node.reset_election();
        node.draw_snapshot_due();
        node.settle_role();
        if node.history.voters() == [id] {
            node.withhold_until = now;
            node.election_at = now;
        }
        Ok(node)
    }

    /// Opens an observer, which keeps no disk and announces itself to the contacts.
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
            generator: Pcg32::seed_from_u64(seed),
            now,
            role: ReplicaRole::Learner,
            leader: None,
            term: LogTerm::ZERO,
            vote: None,
            log: LogWindow::default(),
            history: MembershipHistory::new(LogIndex::ZERO, ReplicaSet::default()),
            snapshot_index: LogIndex::ZERO,
            offered: None,
            commit: LogIndex::ZERO,
            applied: LogIndex::ZERO,
            withhold_until: now,
            election_at: MonotonicTime::NEVER,
            commit_heard: None,
            leader_commit: LogIndex::ZERO,
            verified: LogIndex::ZERO,
            join_at: now,
            contact_points,
            bootstrap_vms: Vec::new(),
            joiners: BTreeMap::new(),
            asking: false,
            granted: Vec::new(),
            led_since: now,
            first_own: LogIndex::ZERO,
            own_matched: LogIndex::ZERO,
            peers: Vec::new(),
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: MonotonicTime::NEVER,
            uncommitted_bytes: 0,
            proposals: VecDeque::new(),
            incoming: None,
            snapshot_asked: None,
            snapshot_due: 0,
            next_ticket: WriteTicket::new(1),
            pending: VecDeque::new(),
            announced: None,
            actions: Vec::new(),
        }
    }
}

fn check_recovered(recovered: &RecoveredLog) -> Result<(LogWindow, MembershipHistory)> {
    let RecoveredLog { hard_state, snapshot, entries, .. } = recovered;
    let (held, held_term, members) = match snapshot {
        Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
        None => (LogIndex::ZERO, LogTerm::ZERO, ReplicaSet::default()),
    };
    // A tail of entries that the snapshot already covers is kept for slow followers. The term before the tail is not
    // known, so the tail's first entry serves as the base.
    let first = entries.first().map_or(held.next(), |entry| entry.index);
    if first > held.next() || first == LogIndex::ZERO {
        return Err(ConsensusError::Gap { found: first, expected: held.next() });
    }
    let tail = first <= held;
    let mut log = match entries.first() {
        Some(entry) if tail => LogWindow::new(entry.index, entry.term),
        _ => LogWindow::new(held, held_term),
    };
    let mut history = MembershipHistory::new(held, members);
    let mut previous = log.last_term();
    for entry in entries.iter().skip(usize::from(tail)) {
        if entry.index != log.last_index().next() {
            return Err(ConsensusError::Gap { found: entry.index, expected: log.last_index().next() });
        }
        if entry.term < previous || (entry.index == held && entry.term != held_term) {
            return Err(ConsensusError::TermOrder { index: entry.index });
        }
        previous = entry.term;
        if let EntryPayload::Membership(set) = &entry.payload
            && entry.index > held
        {
            history.push(entry.index, set.clone());
        }
        log.append(entry.clone());
    }
    check_end(hard_state, held, &log)?;
    Ok((log, history))
}

fn check_end(hard_state: &HardState, held: LogIndex, log: &LogWindow) -> Result<()> {
    let last = log.last_index();
    if last < held || last < hard_state.commit {
        return Err(ConsensusError::MissingEntries { commit: held.max(hard_state.commit), last });
    }
    if log.last_term() > hard_state.term {
        return Err(ConsensusError::TermOrder { index: last });
    }
    Ok(())
}
