//! What a daemon says of the system.

use parsleywalk_units::{ConfigurationVersion, JobKey, TaskId, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

use crate::JobPhase;

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// Its name.
    pub zone: ZoneName,
    /// Whether tasks may start there.
    pub in_service: bool,
    /// Its workers.
    pub workers: u32,
    /// Tasks that hold capacity there.
    pub tasks: u32,
}

/// One daemon as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its VM.
    pub vm: VmNumber,
    /// `leader`, `voter`, `learner` or `observer`.
    pub role: String,
    /// The highest log index that it holds.
    pub held: u64,
    /// How long ago the leader heard from it, in milliseconds.
    pub heard_ms: u64,
}

/// Tasks by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Waiting for a worker.
    pub queued: u32,
    /// Placed, not confirmed.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Ordered to stop, not confirmed.
    pub stopping: u32,
}

/// The system as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SystemStatus {
    /// The daemon that answers.
    pub vm: VmNumber,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its role in the log.
    pub role: String,
    /// The leader's VM, where one is known.
    pub leader: Option<VmNumber>,
    /// The highest log index that it has applied.
    pub applied: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// The configuration in force.
    pub configuration: Option<ConfigurationVersion>,
    /// The availability zones.
    pub zones: Vec<ZoneView>,
    /// The tasks by phase.
    pub tasks: TaskCounts,
    /// The endpoints that this entry knows.
    pub endpoints: u32,
    /// Requests in progress at this entry.
    pub requests: u32,
    /// Every daemon that the leader knows; empty except on the leader.
    pub replicas: Vec<ReplicaView>,
}

/// Why one task waits, or where it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskExplanation {
    /// The task.
    pub task: TaskId,
    /// In words.
    pub reason: String,
}

/// Why a job stands where it does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// The job.
    pub job: JobKey,
    /// Where it stands.
    pub phase: JobPhase,
    /// Its tasks that have not ended, at most the first 100.
    pub tasks: Vec<TaskExplanation>,
}
