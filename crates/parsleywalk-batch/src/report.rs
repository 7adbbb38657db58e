//! What a worker says of itself and what it is told.

use std::time::Duration;

use parsleywalk_units::{Incarnation, ResourceSize, ServiceName, WorkerId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{EndNumber, FencingToken, RunEnd, RunNumber, TaskKey};

/// A worker's report about itself and its runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker, stable across its restarts.
    pub worker: WorkerId,
    /// The worker's life; a later one is higher.
    pub incarnation: Incarnation,
    /// The pool that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels; one of them names its rack.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: ResourceSize,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// Counts its reports; a lower one was overtaken.
    pub sequence: u64,
    /// Its own clock when it sent the report.
    pub clock: Duration,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// The ends that have not been acknowledged.
    pub ended: Vec<RunEnd>,
}

impl WorkerReport {
    /// The label that names the rack: the last one, since the first names the worker's kind.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The newest checkpoint, empty if there is none.
    pub saved: String,
    /// How much of the work is complete; for a lasting task, 100 once it is at work.
    pub percent: u8,
    /// Of a serving task the tail latency in milliseconds, of others the thousandths of a core in use; both over the
    /// last half second.
    pub figure: u32,
}

/// The answer to a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// The orders; none when this answer may give none.
    pub orders: Option<WorkerOrders>,
    /// When to report next.
    pub next_report: Duration,
}

/// Orders to a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrders {
    /// The ends up to this one are recorded.
    pub settled: EndNumber,
    /// The leader's token.
    pub fence: FencingToken,
    /// The lease, counted from the sending of the report.
    pub lease: Duration,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<(TaskKey, RunNumber)>,
    /// The share of full speed at which runs may work, in percent.
    pub rates: Vec<(TaskKey, RunNumber, u8)>,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The job's payload.
    pub payload: String,
    /// The checkpoint to resume from, empty to begin anew.
    pub saved: String,
    /// The advice service's ticket, where the queue needs one.
    pub ticket: Option<String>,
}
