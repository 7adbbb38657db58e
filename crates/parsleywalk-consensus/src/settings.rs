//! Timeouts and limits of a node.

use std::time::Duration;

use parsleywalk_units::VmNumber;

use crate::{ConsensusError, Result};

/// Timeouts and limits of a [`ConsensusNode`](crate::ConsensusNode).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConsensusSettings {
    /// The longest time between two steps of an idle node.
    pub tick: Duration,
    /// The interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// The shortest randomized time without contact to a leader after which a follower starts an election.
    pub election_timeout_min: Duration,
    /// The upper bound of the randomized election timeout. A leader steps down after this time without contact to a
    /// quorum.
    pub election_timeout_max: Duration,
    /// How long a follower withholds its vote after contact with a leader. The leader's own lease is shorter to allow
    /// for clock drift.
    pub leader_lease: Duration,
    /// The largest permitted drift of a clock in either direction, in thousandths.
    pub clock_drift: u32,
    /// The size limit of the entries in one message, in bytes. A single larger entry is sent alone.
    pub append_bytes: usize,
    /// The largest number of unanswered messages with entries for each peer.
    pub append_window: usize,
    /// How long a leader waits for the answer to a message with entries or a snapshot chunk before it resends.
    pub resend_timeout: Duration,
    /// The size of a snapshot chunk in bytes.
    pub snapshot_chunk_bytes: usize,
    /// The smallest number of applied entries after which a snapshot is taken. Each time, up to a quarter more is added
    /// at random.
    pub snapshot_entries: u64,
    /// The size of the entries in memory, in bytes, above which a snapshot is taken earlier. The entries kept for slow
    /// followers are limited to half of it.
    pub log_bytes: usize,
    /// The number of entries before a snapshot that are kept for slow followers.
    pub retained_entries: u64,
    /// The size limit of uncommitted entries in bytes. Proposals beyond it are refused.
    pub uncommitted_bytes: usize,
    /// The largest payload of a proposal in bytes.
    pub payload_limit: usize,
    /// The interval at which a learner or an observer without a leader announces itself.
    pub join_interval: Duration,
    /// The time after which a leader drops an unresponsive learner or observer.
    pub peer_expiry: Duration,
    /// The VMs that may run replicas, to which a learner or an observer announces itself.
    pub contact_points: Vec<VmNumber>,
    /// Safety mechanisms that a test disables to show that it detects their absence.
    #[doc(hidden)]
    pub disabled: DisabledMechanisms,
}

/// Safety mechanisms that a test can disable. None is disabled by default.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "each switch is independent")]
pub struct DisabledMechanisms {
    /// If set, a candidate starts a new term without a pre-vote.
    pub pre_vote: bool,
    /// If set, votes are granted even while a leader may hold its lease.
    pub vote_withholding: bool,
    /// If set, a replica votes right after a restart, although a leader may still hold a lease based on its vote.
    pub restart_withholding: bool,
    /// If set, writes are acknowledged and counted before they are synced.
    pub persist_wait: bool,
    /// If set, a learner can become a voter before it holds everything committed.
    pub learner_sync: bool,
    /// If set, an isolated leader does not step down.
    pub check_quorum: bool,
    /// If set, entries of earlier terms are committed by counting replicas.
    pub own_term_commit: bool,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            heartbeat: Duration::from_millis(150),
            election_timeout_min: Duration::from_millis(600),
            election_timeout_max: Duration::from_millis(1200),
            leader_lease: Duration::from_millis(500),
            clock_drift: 10,
            append_bytes: 64 * 1024,
            append_window: 8,
            resend_timeout: Duration::from_millis(300),
            snapshot_chunk_bytes: 256 * 1024,
            snapshot_entries: 10_000,
            log_bytes: 16 * 1024 * 1024,
            retained_entries: 2_000,
            uncommitted_bytes: 8 * 1024 * 1024,
            payload_limit: 1024 * 1024,
            join_interval: Duration::from_millis(300),
            peer_expiry: Duration::from_secs(10),
            contact_points: Vec::new(),
            disabled: DisabledMechanisms::default(),
        }
    }
}

impl ConsensusSettings {
    /// Checks the ranges of the settings and their relations to one another.
    ///
    /// # Errors
    ///
    /// Returns an error naming the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let require = |holds: bool, setting: &'static str, range: &'static str| {
            if holds { Ok(()) } else { Err(ConsensusError::Setting { setting, range }) }
        };
        require(self.heartbeat * 2 < self.leader_lease, "heartbeat", "less than half of the leader lease")?;
        require(
            self.lease_duration() < self.leader_lease && self.leader_lease < self.election_timeout_min,
            "leader_lease",
            "less than the shortest election timeout",
        )?;
        require(
            self.election_timeout_min < self.election_timeout_max,
            "election_timeout_max",
            "more than the shortest election timeout",
        )?;
        require((1..=500).contains(&self.clock_drift), "clock_drift", "1 to 500 thousandths")?;
        require(self.append_bytes > 0 && self.append_window > 0, "append_window", "at least one message of one byte")?;
        require(self.snapshot_chunk_bytes > 0 && self.snapshot_entries > 0, "snapshot_entries", "at least 1")
    }

    /// Returns the duration of the leader lease on the leader's clock.
    ///
    /// Even if the leader's clock is slow and a follower's clock is fast by the permitted drift, the lease ends before
    /// the follower votes again.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        let drift = self.clock_drift.min(999);
        self.leader_lease * (1000 - drift) / (1000 + drift)
    }
}
