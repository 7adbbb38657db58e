//! What the policy is told.

use std::time::Duration;

use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, RackName, ResourceSize, ServiceName, TaskClass, TaskId,
    TeamName, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// How much each measure weighs; both are at least 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveWeights {
    /// The weight of batch throughput and of work done across zone changes.
    pub batch_throughput: f64,
    /// The weight of service tail latency.
    pub service_latency: f64,
}

impl ObjectiveWeights {
    /// The share of the latency weight, from 0 to 1; one half where both weights are 0.
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

/// A service as the configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// What its tasks are judged by.
    pub class: TaskClass,
    /// The number of instances that are kept; 0 for batch.
    pub instances: u32,
    /// The declared run time of a batch task.
    pub run_time: Option<Duration>,
}

/// A team's share and limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// Its share against other teams, from 1; 0 counts as 1.
    pub weight: u32,
    /// The most that its batch tasks may hold at once; unlimited where absent. A resource whose limit is 0 may not be
    /// held at all.
    pub quota: Option<ResourceSize>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// It ended with a result.
    Done,
    /// It ended without a result.
    Failed,
    /// Its job was cancelled.
    Cancelled,
    /// It stopped on order and will be queued again.
    Evicted,
    /// Its worker was lost, or it never started.
    Lost,
}

/// What a worker measured of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Processors used.
    pub cores: MilliCores,
    /// Memory used.
    pub memory: MemoryBytes,
    /// The tail latency that a latency-critical task observed.
    pub latency: Option<Duration>,
    /// Work done since the last checkpoint.
    pub since_checkpoint: Duration,
}

/// A change of which the policy is told.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyEvent {
    /// A configuration came into force. It replaces the former one.
    ConfigurationChanged {
        /// All services.
        services: Vec<ServiceSpec>,
        /// All teams; a team that is absent has weight 1 and no quota.
        teams: Vec<TeamQuota>,
        /// The weights of the measures.
        weights: ObjectiveWeights,
    },
    /// A zone was taken out of service or came back. Zones are in service until told otherwise.
    ZoneChanged {
        /// The zone.
        zone: ZoneName,
        /// Whether tasks may start there.
        in_service: bool,
    },
    /// A worker registered, again with the same or another capacity where it is known already.
    WorkerJoined {
        /// The worker.
        worker: WorkerId,
        /// Its zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// All that it has.
        capacity: ResourceSize,
    },
    /// A worker was lost. The end of each of its tasks is told separately.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
    },
    /// A task waits for a worker.
    TaskQueued {
        /// The task.
        task: TaskId,
        /// The attempt that waits.
        attempt: AttemptNumber,
        /// Its service.
        service: ServiceName,
        /// The team that is charged.
        team: TeamName,
        /// Its class.
        class: TaskClass,
        /// Its declared size.
        size: ResourceSize,
        /// Whether it starts ahead of other batch work.
        urgent: bool,
        /// Its declared run time.
        run_time: Option<Duration>,
        /// The work that its last checkpoint holds.
        saved: Duration,
    },
    /// A start is committed.
    TaskPlaced {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where.
        worker: WorkerId,
        /// What is committed for it.
        size: ResourceSize,
    },
    /// The worker confirmed the start.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended and holds nothing any more. A task that continues is queued again.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: TaskOutcome,
    },
    /// A worker's measurements.
    UsageReported {
        /// The worker.
        worker: WorkerId,
        /// When they were taken, on the clock of `now`.
        measured_at: MonotonicTime,
        /// Every task that ran there.
        tasks: Vec<TaskUsage>,
    },
}
