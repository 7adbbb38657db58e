//! Settings.

use std::time::Duration;

use parsleywalk_units::VmNumber;

use crate::{ConsensusError, Result};

/// Times and limits of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConsensusSettings {
    /// The longest time between two steps of an idle node.
    pub tick: Duration,
    /// How often a leader sends heartbeats.
    pub heartbeat: Duration,
    /// The shortest time without a leader before a follower asks for votes.
    pub election_timeout_min: Duration,
    /// The longest such time; also how long a leader remains one without hearing from a quorum.
    pub election_timeout_max: Duration,
    /// How long a follower withholds its vote after it heard from a leader. A leader's lease is shorter by the drift.
    pub leader_lease: Duration,
    /// How much a clock may be too fast or too slow, in thousandths.
    pub clock_drift: u32,
    /// The bytes of entries in one message; a larger single entry is sent alone.
    pub append_bytes: usize,
    /// The messages with entries that may be unanswered for each follower.
    pub append_window: usize,
    /// How long an unanswered message with entries or a part of a snapshot is waited for.
    pub resend_after: Duration,
    /// The bytes of one part of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// The least number of applied entries after which a snapshot is asked for; up to a quarter more is drawn each time.
    pub snapshot_entries: u64,
    /// The bytes of entries in memory beyond which a snapshot is asked for earlier; the tail is kept to half of them.
    pub log_bytes: usize,
    /// The entries before a snapshot that are kept for slow followers.
    pub retained_entries: u64,
    /// The bytes of entries that may wait to be committed; further proposals are refused.
    pub uncommitted_bytes: usize,
    /// The largest payload of a proposal in bytes.
    pub payload_limit: usize,
    /// How often a learner or an observer without a leader announces itself.
    pub join_interval: Duration,
    /// How long a silent learner or observer is remembered.
    pub peer_expiry: Duration,
    /// The VMs that may hold replicas; a learner announces itself to them.
    pub contact_points: Vec<VmNumber>,
    /// Mechanisms that a test turns off to show that it notices.
    #[doc(hidden)]
    pub disabled: DisabledMechanisms,
}

/// Mechanisms that a test turns off; all are on by default.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "each switch is independent")]
pub struct DisabledMechanisms {
    /// Starts elections without asking first.
    pub pre_vote: bool,
    /// Grants votes while a leader has been heard from within the lease.
    pub vote_withholding: bool,
    /// Votes right after a restart, although a leader may still rely on votes withheld before it.
    pub restart_withholding: bool,
    /// Acknowledges and counts writes before they are synced.
    pub persist_wait: bool,
    /// Makes a learner a voter before it holds everything committed.
    pub learner_sync: bool,
    /// Keeps an isolated leader in its role.
    pub check_quorum: bool,
    /// Commits entries of earlier terms by counting.
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
            resend_after: Duration::from_millis(300),
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
    /// Checks the settings against one another.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let require = |holds: bool, setting: &'static str, range: &'static str| {
            if holds { Ok(()) } else { Err(ConsensusError::Setting { setting, range }) }
        };
        require(self.heartbeat * 2 < self.leader_lease, "heartbeat", "less than half of the leader lease")?;
        require(
            self.lease_span() < self.leader_lease && self.leader_lease < self.election_timeout_min,
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

    /// Returns how long a leader's lease lasts on the leader's clock.
    ///
    /// A leader's clock that is slow by the drift and a follower's clock that is fast by it still end the lease before
    /// the follower votes again.
    #[must_use]
    pub fn lease_span(&self) -> Duration {
        let drift = self.clock_drift.min(999);
        self.leader_lease * (1000 - drift) / (1000 + drift)
    }
}
