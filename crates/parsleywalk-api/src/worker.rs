//! Workers' reports and the orders in the responses to them.

use std::net::SocketAddr;

use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, ServiceName, TaskId, ThrottleLevel,
    TimeSpan, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The phase of an attempt as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedPhase {
    /// In progress.
    Running,
    /// Ended with a result, which is in `text`.
    Done,
    /// Ended without a result; the reason is in `text`.
    Failed,
    /// Stopped by an order or because its lease expired; `checkpoint` refers to the last checkpoint.
    Stopped,
    /// Never started: the order had expired when it arrived, or the worker lacked free capacity.
    NotStarted,
}

/// One attempt in a worker's report. An ended attempt is repeated in every report until a response settles it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Its phase.
    pub phase: ReportedPhase,
    /// Processor use.
    #[serde(default)]
    pub cores: MilliCores,
    /// Memory use.
    #[serde(default)]
    pub memory: MemoryBytes,
    /// The tail latency of a latency-critical task, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_us: Option<u64>,
    /// The work done in this attempt since its last checkpoint, as run time.
    #[serde(default)]
    pub since_checkpoint: TimeSpan,
    /// A reference to the last checkpoint; at most 256 bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// A result or a reason; at most 4 KiB.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
}

/// A worker's periodic report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Grows with each restart of the worker's VM or agent. No attempt of an older incarnation runs any more.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Its total capacity.
    pub capacity: ResourceSize,
    /// Grows with each report.
    pub sequence: u64,
    /// The `revision` of the last response that the worker has carried out; 0 before the first.
    #[serde(default)]
    pub echo: u64,
    /// How long before the report resource use was measured.
    #[serde(default)]
    pub lag: TimeSpan,
    /// Every attempt in progress, and every ended attempt that has not been settled.
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum WorkerOrder {
    /// Starts an attempt, unless more than the reply's `start_within` has passed since the report was sent.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The task's service.
        service: ServiceName,
        /// The capacity allocated to it.
        size: ResourceSize,
        /// The job's arguments.
        #[serde(default)]
        arguments: String,
        /// The checkpoint to resume from.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
    },
    /// Checkpoints and stops an attempt; the worker then reports it as stopped.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Sets how strongly an attempt is throttled.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The throttle level.
        level: ThrottleLevel,
    },
    /// Acknowledges the committed end of an attempt; the worker stops reporting it.
    Settled {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// The response to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The sequence number of the report.
    pub sequence: u64,
    /// The revision of the state from which the response was created.
    pub revision: u64,
    /// The lease of all reported attempts, counted from when the report was sent. `None` renews no lease.
    pub lease: Option<TimeSpan>,
    /// How long start orders are valid, counted from when the report was sent.
    pub start_within: TimeSpan,
    /// The time until the next report.
    pub report_every: TimeSpan,
    /// The orders, to be carried out in sequence.
    pub orders: Vec<WorkerOrder>,
    /// The caller addresses of all entry daemons of the zone; each of them accepts reports.
    pub entries: Vec<SocketAddr>,
}
