//! The compact form in which entry daemons forward worker reports to the leader.

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerReport};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, TaskId, TimeSpan, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The unit of memory in the compact form. A finer unit would not change a decision.
const MEGABYTE: u64 = 1_000_000;

/// A worker's report in a compact form of a sixth of the size of its JSON. The entry daemon has validated the report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactReport {
    worker: WorkerId,
    incarnation: Incarnation,
    zone: ZoneName,
    rack: RackName,
    capacity: ResourceSize,
    sequence: u64,
    echo: u64,
    lag: TimeSpan,
    tasks: Vec<CompactTask>,
}

/// One attempt of a compact report. The API's own type omits empty fields, which a format without field names cannot
/// decode.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CompactTask {
    task: TaskId,
    attempt: AttemptNumber,
    phase: ReportedPhase,
    cores: MilliCores,
    megabytes: u64,
    latency_us: Option<u64>,
    since_checkpoint: TimeSpan,
    checkpoint: Option<String>,
    text: String,
}

impl From<WorkerReport> for CompactReport {
    fn from(report: WorkerReport) -> Self {
        Self {
            worker: report.worker,
            incarnation: report.incarnation,
            zone: report.zone,
            rack: report.rack,
            capacity: report.capacity,
            sequence: report.sequence,
            echo: report.echo,
            lag: report.lag,
            tasks: report.tasks.into_iter().map(CompactTask::from).collect(),
        }
    }
}

impl From<CompactReport> for WorkerReport {
    fn from(compact: CompactReport) -> Self {
        Self {
            worker: compact.worker,
            incarnation: compact.incarnation,
            zone: compact.zone,
            rack: compact.rack,
            capacity: compact.capacity,
            sequence: compact.sequence,
            echo: compact.echo,
            lag: compact.lag,
            tasks: compact.tasks.into_iter().map(TaskReport::from).collect(),
        }
    }
}

impl From<TaskReport> for CompactTask {
    fn from(report: TaskReport) -> Self {
        Self {
            task: report.task,
            attempt: report.attempt,
            phase: report.phase,
            cores: report.cores,
            megabytes: report.memory.get().div_ceil(MEGABYTE),
            latency_us: report.latency_us,
            since_checkpoint: report.since_checkpoint,
            checkpoint: report.checkpoint,
            text: report.text,
        }
    }
}

impl From<CompactTask> for TaskReport {
    fn from(compact: CompactTask) -> Self {
        Self {
            task: compact.task,
            attempt: compact.attempt,
            phase: compact.phase,
            cores: compact.cores,
            memory: MemoryBytes::new(compact.megabytes.saturating_mul(MEGABYTE)),
            latency_us: compact.latency_us,
            since_checkpoint: compact.since_checkpoint,
            checkpoint: compact.checkpoint,
            text: compact.text,
        }
    }
}
