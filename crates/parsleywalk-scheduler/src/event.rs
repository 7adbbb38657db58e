//! The events that the policy observes.

use std::time::Duration;

use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, RackName, ResourceSize, ServiceName, TaskClass, TaskId,
    TeamName, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Weights of the two scheduling objectives, each at least 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveWeights {
    /// Weight of batch throughput, including throughput during zone changes.
    pub batch_throughput: f64,
    /// Weight of the tail latency of services.
    pub service_latency: f64,
}

impl ObjectiveWeights {
    /// Returns the latency weight as a share of both weights, from 0 to 1, or 0.5 if both weights are 0.
    pub(crate) fn latency_share(self) -> f64 {
        let sum = self.batch_throughput + self.service_latency;
        if sum > 0.0 { (self.service_latency / sum).clamp(0.0, 1.0) } else { 0.5 }
    }
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self { batch_throughput: 0.5, service_latency: 0.5 }
    }
}

/// A service as described by the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Class of its tasks.
    pub class: TaskClass,
    /// Number of instances that are kept running; 0 for a batch service.
    pub instances: u32,
    /// Declared run time of its batch tasks.
    pub run_time: Option<Duration>,
}

/// Fair-share weight and quota of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// Name of the team.
    pub team: TeamName,
    /// Weight of the team relative to other teams, at least 1; 0 counts as 1.
    pub weight: u32,
    /// Largest size that may be allocated to its batch tasks at once; `None` is unlimited. None of a resource with a
    /// limit of 0 may be allocated.
    pub quota: Option<ResourceSize>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The attempt ended with a result.
    Done,
    /// The attempt ended without a result.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The attempt was evicted; the task is queued again.
    Evicted,
    /// The worker was lost, or the attempt never started.
    Lost,
}

/// Usage of one task as measured by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskUsage {
    /// The measured task.
    pub task: TaskId,
    /// Processor usage.
    pub cores: MilliCores,
    /// Memory usage.
    pub memory: MemoryBytes,
    /// Tail latency of a latency-critical task.
    pub latency: Option<Duration>,
    /// Run time since the last checkpoint.
    pub since_checkpoint: Duration,
}

/// A change of the cluster state that the policy observes.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyEvent {
    /// A configuration took effect and replaces the previous one.
    ConfigurationChanged {
        /// All configured services.
        services: Vec<ServiceSpec>,
        /// All configured teams; any other team has weight 1 and no quota.
        teams: Vec<TeamQuota>,
        /// Weights of the scheduling objectives.
        weights: ObjectiveWeights,
    },
    /// A zone went out of service or came back into service. Zones are in service initially.
    ZoneChanged {
        /// The zone.
        zone: ZoneName,
        /// Whether tasks may start in the zone.
        in_service: bool,
    },
    /// A worker registered. A known worker may register again, also with another capacity, zone or rack.
    WorkerJoined {
        /// The worker.
        worker: WorkerId,
        /// Zone of the worker.
        zone: ZoneName,
        /// Rack of the worker.
        rack: RackName,
        /// Total capacity of the worker.
        capacity: ResourceSize,
    },
    /// A worker was lost. The end of each of its tasks is a separate event.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
    },
    /// A task was queued for placement.
    TaskQueued {
        /// The task.
        task: TaskId,
        /// The queued attempt.
        attempt: AttemptNumber,
        /// Service of the task.
        service: ServiceName,
        /// Team whose quota and share are charged.
        team: TeamName,
        /// Class of the task.
        class: TaskClass,
        /// Declared size.
        size: ResourceSize,
        /// Whether the task starts ahead of other batch work.
        urgent: bool,
        /// Declared run time; defaults to that of the service.
        run_time: Option<Duration>,
        /// Run time that is covered by the last checkpoint.
        saved: Duration,
    },
    /// The start of an attempt was committed.
    TaskPlaced {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker on which the attempt starts.
        worker: WorkerId,
        /// The allocated size.
        size: ResourceSize,
    },
    /// The worker confirmed the start of an attempt.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended and its allocation is released. A task that continues is queued again by a separate event.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: TaskOutcome,
    },
    /// A worker reported the usage of its tasks.
    UsageReported {
        /// The worker.
        worker: WorkerId,
        /// When the usage was measured, on the same clock as the `now` of `observe`.
        measured_at: MonotonicTime,
        /// Usage of every task that ran on the worker.
        tasks: Vec<TaskUsage>,
    },
}
