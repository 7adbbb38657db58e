//! Reports of workers and the orders in the answers.

use std::net::SocketAddr;

use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, ServiceName, TaskId, ThrottleLevel,
    TimeSpan, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// What a worker says of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedPhase {
    /// Runs.
    Running,
    /// Ended with a result; `text` holds it.
    Done,
    /// Ended without a result; `text` holds the reason.
    Failed,
    /// Stopped on order, or because its lease ended; `checkpoint` holds the last one.
    Stopped,
    /// Never started: the order had expired when it arrived, or the worker had no room.
    NotStarted,
}

/// One attempt in a worker's report. Final phases are repeated until an answer settles them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where it stands.
    pub phase: ReportedPhase,
    /// Processors used.
    #[serde(default)]
    pub cores: MilliCores,
    /// Memory used.
    #[serde(default)]
    pub memory: MemoryBytes,
    /// The tail latency that a latency-critical task observed, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_us: Option<u64>,
    /// Work done in this attempt since the last checkpoint.
    #[serde(default)]
    pub since_checkpoint: TimeSpan,
    /// A reference to the last checkpoint; at most 256 bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// A result of at most 4 KiB, or a reason.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
}

/// A worker's periodic report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Grows with each restart of the worker's VM or agent; nothing of an older incarnation runs any more.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// All that it has.
    pub capacity: ResourceSize,
    /// Grows with each report.
    pub sequence: u64,
    /// The `revision` of the last answer that the worker acted on; 0 before the first.
    #[serde(default)]
    pub echo: u64,
    /// How long before the report the usage was measured.
    #[serde(default)]
    pub lag: TimeSpan,
    /// Every attempt that runs, and every ended one that has not been settled.
    pub tasks: Vec<TaskReport>,
}

/// One order to a worker.
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
        /// What is committed for it.
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
    /// Sets how strongly an attempt is slowed.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The level.
        level: ThrottleLevel,
    },
    /// The end of an attempt is committed; the worker stops reporting it.
    Settled {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The report that is answered.
    pub sequence: u64,
    /// The revision of the state from which the answer was written.
    pub revision: u64,
    /// Leases of all reported attempts hold for this long from when the report was sent; `None` renews nothing.
    pub lease: Option<TimeSpan>,
    /// Start orders are valid for this long from when the report was sent.
    pub start_within: TimeSpan,
    /// The wait before the next report.
    pub report_every: TimeSpan,
    /// Orders, to be carried out in this order.
    pub orders: Vec<WorkerOrder>,
    /// The caller edges of all entries of the zone, any of which takes reports.
    pub entries: Vec<SocketAddr>,
}
