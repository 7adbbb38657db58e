//! Worker reports on their way from an entry to the leader.

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerReport};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, TaskId, TimeSpan, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The unit of memory in a digest; finer steps of usage do not change a decision.
const MEGABYTE: u64 = 1_000_000;

/// A worker's report in a form that is a sixth of its JSON, which the entry has checked already.
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

/// One attempt in a digest. The API's own type leaves fields out where they are empty, which only formats that name
/// their fields can read.
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
    fn from(digest: CompactReport) -> Self {
        Self {
            worker: digest.worker,
            incarnation: digest.incarnation,
            zone: digest.zone,
            rack: digest.rack,
            capacity: digest.capacity,
            sequence: digest.sequence,
            echo: digest.echo,
            lag: digest.lag,
            tasks: digest.tasks.into_iter().map(TaskReport::from).collect(),
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
    fn from(digest: CompactTask) -> Self {
        Self {
            task: digest.task,
            attempt: digest.attempt,
            phase: digest.phase,
            cores: digest.cores,
            memory: MemoryBytes::new(digest.megabytes.saturating_mul(MEGABYTE)),
            latency_us: digest.latency_us,
            since_checkpoint: digest.since_checkpoint,
            checkpoint: digest.checkpoint,
            text: digest.text,
        }
    }
}
