//! Messages that describe the state of the system, its jobs and its tasks.

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{
    ConfigurationVersion, JobKey, ResourceSize, TaskId, TimeSpan, VmNumber, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::JobPhase;

/// The state of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// Its name.
    pub zone: ZoneName,
    /// Whether tasks may start there.
    pub in_service: bool,
    /// The number of its workers.
    pub workers: u32,
    /// The number of tasks with allocated capacity there.
    pub tasks: u32,
}

/// A daemon as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its VM.
    pub vm: VmNumber,
    /// `leader`, `voter`, `learner` or `observer`.
    pub role: String,
    /// The highest log index that it has stored.
    pub held: u64,
    /// How long ago the leader heard from it, in milliseconds.
    pub heard_ms: u64,
}

/// The number of tasks in each phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Waiting for a worker.
    pub queued: u32,
    /// Placed on a worker that has not confirmed the start yet.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Ordered to stop; the worker has not confirmed the stop yet.
    pub stopping: u32,
}

/// The system as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SystemStatus {
    /// The VM of the daemon that responds.
    pub vm: VmNumber,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its role in the replicated log, as in [`ReplicaView::role`].
    pub role: String,
    /// The leader's VM, if a leader is known.
    pub leader: Option<VmNumber>,
    /// The highest log index that it has applied.
    pub applied: u64,
    /// Whether it accepts callers' requests.
    pub ready: bool,
    /// The version of the configuration in force.
    pub configuration: Option<ConfigurationVersion>,
    /// The availability zones.
    pub zones: Vec<ZoneView>,
    /// The number of tasks in each phase.
    pub tasks: TaskCounts,
    /// The number of endpoints known to this entry daemon.
    pub endpoints: u32,
    /// The number of requests in progress at this entry daemon.
    pub requests: u32,
    /// Every daemon known to the leader; empty on other daemons.
    pub replicas: Vec<ReplicaView>,
}

/// Why one task waits, or where it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskExplanation {
    /// The task.
    pub task: TaskId,
    /// The reason in plain text.
    pub reason: String,
}

/// Why a job is in its phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// The job.
    pub job: JobKey,
    /// Its phase.
    pub phase: JobPhase,
    /// Its tasks that have not ended; at most the first 100.
    pub tasks: Vec<TaskExplanation>,
}

/// A job of which runs have failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailingJob {
    /// The job's id.
    pub job: String,
    /// The number of runs that failed or hung since the leader began to lead.
    pub failed_runs: u64,
    /// The time since the newest of them.
    pub last_failure_age: TimeSpan,
    /// The task that failed last.
    pub last_task: String,
    /// The worker on which it failed.
    pub last_worker: String,
    /// The longest delay before a restart so far.
    pub restart_delay: TimeSpan,
}

/// The active jobs of which runs have failed, that of the newest failure first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailingJobs {
    /// The jobs, at most a hundred.
    pub jobs: Vec<FailingJob>,
}

/// What a workspace uses and waits for.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What its runs have allocated; best-effort runs count with their cores.
    pub allocated: ResourceSize,
    /// What it may have allocated, such as `64c/-/-`.
    #[serde_as(as = "DisplayFromStr")]
    pub limit: ResourceLimit,
    /// Its largest share of any resource, divided by its weight; the workspace with the lowest one is served next.
    pub share: f64,
    /// The number of its jobs with tasks that wait.
    pub waiting_jobs: usize,
    /// How many of these wait for the limit; the others wait for their turn or for capacity.
    pub limited_jobs: usize,
}

/// The workspaces of the active configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceList {
    /// The workspaces by name, at most 64: those with the most waiting jobs.
    pub workspaces: Vec<WorkspaceView>,
    /// The number of workspaces that are not listed.
    pub omitted: usize,
}
