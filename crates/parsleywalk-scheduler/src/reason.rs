//! Why a task waits, in words.

use std::fmt::{self, Display, Formatter};

use parsleywalk_units::{ResourceSize, TeamName, WorkerId};

/// Why a task waits, or where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The policy has not been told of it, or it has ended.
    Unknown,
    /// It was queued and no decision has looked at it yet, or others come first.
    InQueue {
        /// The number of queued tasks of the same team, service and size that come first.
        ahead: usize,
    },
    /// Its start is proposed.
    Proposed {
        /// Where.
        worker: WorkerId,
    },
    /// It holds capacity on a worker.
    Placed {
        /// Where.
        worker: WorkerId,
        /// Whether the worker confirmed the start.
        running: bool,
    },
    /// No zone is in service.
    NoZone,
    /// No worker in a zone in service has this capacity, even when empty.
    TooLarge {
        /// What was looked for.
        size: ResourceSize,
    },
    /// Its team would exceed its quota.
    Quota {
        /// The team.
        team: TeamName,
        /// What the team's batch tasks hold.
        held: ResourceSize,
        /// What they may hold.
        quota: ResourceSize,
    },
    /// No worker has room now.
    NoCapacity {
        /// What was looked for.
        size: ResourceSize,
        /// The number of workers that are quarantined.
        quarantined: usize,
    },
    /// The free capacity is kept for service instances in case a rack is lost.
    RackReserve {
        /// What is kept.
        reserve: ResourceSize,
    },
    /// Workers with room run services that it would slow.
    Interference,
    /// A worker is held for it.
    Reserved {
        /// The worker.
        worker: WorkerId,
    },
    /// Every worker with room is in a zone that has just returned and takes starts gradually.
    ZoneRamp,
    /// It failed on enough healthy workers and is about to be ended as failed.
    TooManyFailures {
        /// The number of distinct healthy workers.
        workers: usize,
    },
    /// Every worker with room is quarantined, or the task failed there.
    Quarantine,
}

impl Display for WaitReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => write!(formatter, "the scheduler knows no such task"),
            Self::InQueue { ahead: 0 } => write!(formatter, "next of its kind, waits for its team's turn"),
            Self::InQueue { ahead } => write!(formatter, "waits behind {ahead} tasks of the same kind"),
            Self::Proposed { worker } => write!(formatter, "its start on {worker} is being committed"),
            Self::Placed { worker, running: true } => write!(formatter, "runs on {worker}"),
            Self::Placed { worker, running: false } => write!(formatter, "starts on {worker}"),
            Self::NoZone => write!(formatter, "no availability zone is in service"),
            Self::TooLarge { size } => {
                write!(formatter, "no worker of a zone in service has {size}, even when it is empty")
            }
            Self::Quota { team, held, quota } => {
                write!(formatter, "team {team} holds {held} and its quota is {quota}")
            }
            Self::NoCapacity { size, quarantined: 0 } => write!(formatter, "no worker has {size} free"),
            Self::NoCapacity { size, quarantined } => {
                write!(formatter, "no worker has {size} free, and {quarantined} workers are quarantined")
            }
            Self::RackReserve { reserve } => {
                write!(formatter, "{reserve} is kept free for services in case a rack is lost")
            }
            Self::Interference => write!(formatter, "it would slow services on the workers that have room"),
            Self::Reserved { worker } => write!(formatter, "{worker} is held for it until enough of it is free"),
            Self::ZoneRamp => write!(formatter, "the zone with room has just returned and takes starts gradually"),
            Self::TooManyFailures { workers } => {
                write!(formatter, "it failed on {workers} healthy workers and is being ended as failed")
            }
            Self::Quarantine => {
                write!(formatter, "the workers with room are quarantined, or the task has failed on them")
            }
        }
    }
}
