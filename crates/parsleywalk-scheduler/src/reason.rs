//! The reason why a task waits.

use std::fmt::{self, Display, Formatter};

use parsleywalk_units::{ResourceSize, TeamName, WorkerId};

/// The reason for which a task waits, or the worker to which it is assigned. The display form is shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The task is unknown or has ended.
    Unknown,
    /// The task is queued, and no search for its group has failed since the group last placed a task.
    InQueue {
        /// Number of earlier queued tasks of the same group.
        ahead: usize,
    },
    /// The start of the task is proposed but not committed.
    Proposed {
        /// The worker on which the task starts.
        worker: WorkerId,
    },
    /// The task is placed on a worker.
    Placed {
        /// The worker on which the task is placed.
        worker: WorkerId,
        /// Whether the worker confirmed the start.
        running: bool,
    },
    /// No zone is in service.
    NoZone,
    /// No worker of a zone in service has the required capacity, even when empty.
    TooLarge {
        /// The required size.
        size: ResourceSize,
    },
    /// The team would exceed its quota.
    Quota {
        /// The team.
        team: TeamName,
        /// Size allocated to the team's batch tasks.
        allocated: ResourceSize,
        /// Quota of the team.
        quota: ResourceSize,
    },
    /// No worker has enough free capacity now.
    NoCapacity {
        /// The required size.
        size: ResourceSize,
        /// Number of quarantined workers.
        quarantined: usize,
    },
    /// The free capacity is reserved for service instances in case a rack is lost.
    RackReserve {
        /// Slot size of the rack reserve.
        reserve: ResourceSize,
    },
    /// The task would slow services on the workers with enough free capacity.
    Interference,
    /// A worker is reserved for the task until enough of its capacity is free.
    Reserved {
        /// The reserved worker.
        worker: WorkerId,
    },
    /// Every worker with enough free capacity is in a zone whose start rate is limited after its return to service.
    ZoneRamp,
    /// The task failed on enough healthy workers and is about to be ended as failed.
    TooManyFailures {
        /// Number of distinct healthy workers on which the task failed.
        workers: usize,
    },
    /// The workers with enough free capacity are quarantined, or the task recently failed on them.
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
            Self::Quota { team, allocated, quota } => {
                write!(formatter, "team {team} holds {allocated} and its quota is {quota}")
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
