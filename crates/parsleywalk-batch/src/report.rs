//! Messages between workers and the leader.

use std::time::Duration;

use parsleywalk_units::{Incarnation, ResourceSize, ServiceName, WorkerId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{EndNumber, FencingToken, RunEnd, RunNumber, TaskKey, WorkerRecord};

/// A worker's report about itself and its runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker id, stable across restarts.
    pub worker: WorkerId,
    /// The worker's incarnation, higher after each restart.
    pub incarnation: Incarnation,
    /// The service of the worker's pool.
    pub service: ServiceName,
    /// The worker's availability zone.
    pub zone: ZoneName,
    /// The worker's labels; see [`WorkerReport::rack`].
    pub labels: Vec<String>,
    /// The worker's total capacity.
    pub capacity: ResourceSize,
    /// Whether the worker is about to exit and takes no new runs.
    pub draining: bool,
    /// The report's sequence number; the leader ignores a report with a lower one than it has seen.
    pub sequence: u64,
    /// The worker's clock when the report was sent.
    pub clock: Duration,
    /// The runs in progress.
    pub running: Vec<RunningTask>,
    /// The run ends that the leader has not acknowledged.
    pub ended: Vec<RunEnd>,
}

/// The size of a row about a run without its texts in bytes, which is at least that of its encoding.
const ROW_BYTES: usize = 64;

impl WorkerReport {
    /// Returns about how many bytes the report takes in a message, rounded up.
    #[must_use]
    pub fn size_hint(&self) -> usize {
        let running = self.running.iter().map(|task| ROW_BYTES + task.saved.len());
        let ended = self.ended.iter().map(|end| ROW_BYTES + end.saved.len());
        ROW_BYTES * 4 + running.chain(ended).sum::<usize>()
    }

    /// Returns the ends that the record of the worker's incarnation does not cover, in the order of their numbers.
    pub(crate) fn unrecorded_ends(&self, record: Option<&WorkerRecord>) -> Vec<RunEnd> {
        let settled = record.map_or(EndNumber::ZERO, |record| record.settled);
        let mut ends: Vec<RunEnd> = self.ended.iter().filter(|end| end.number > settled).cloned().collect();
        ends.sort_by_key(|end| end.number);
        ends
    }

    /// Returns the label that names the rack: the second one, because the first names the kind of worker.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task that is run.
    pub task: TaskKey,
    /// The run number.
    pub run: RunNumber,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
    /// The completed share of the work in percent; for a long-running task, 100 once it is in operation.
    pub percent: u8,
    /// A measurement over the last half second: the tail latency in milliseconds for a latency-critical task, and the
    /// CPU use in millicores for any other.
    pub figure: u32,
}

/// The response to a worker report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// The orders; `None` if this response must not give any.
    pub orders: Option<WorkerOrders>,
    /// The delay until the worker's next report.
    pub next_report: Duration,
}

impl ReportResponse {
    /// Returns about how many bytes the response takes in a message, rounded up.
    #[must_use]
    pub fn size_hint(&self) -> usize {
        let Some(orders) = &self.orders else { return ROW_BYTES };
        let starts = orders.starts.iter().map(StartOrder::size_hint).sum::<usize>();
        ROW_BYTES * (1 + orders.stops.len() + orders.rates.len()) + starts
    }
}

/// Orders to a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrders {
    /// The highest end number that is acknowledged.
    pub settled: EndNumber,
    /// The leader's fencing token.
    pub fence: FencingToken,
    /// The duration of the lease, counted from when the worker sent its report.
    pub lease: Duration,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<(TaskKey, RunNumber)>,
    /// The rates at which runs may work, in percent of full speed.
    pub rates: Vec<(TaskKey, RunNumber, u8)>,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task to run.
    pub task: TaskKey,
    /// The run number.
    pub run: RunNumber,
    /// The payload of the job.
    pub payload: String,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub saved: String,
    /// The ticket of the advice service, if the queue requires one.
    pub ticket: Option<String>,
}

impl StartOrder {
    /// Returns about how many bytes the order takes in a message, rounded up.
    pub(crate) fn size_hint(&self) -> usize {
        ROW_BYTES + self.payload.len() + self.saved.len() + self.ticket.as_ref().map_or(0, String::len)
    }
}
