//! Settings of the worker's stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_units::{
    AcceleratorCount, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, ServiceName, TimeSpan, WorkerId,
    ZoneName,
};

/// Settings of a [`FakeWorker`](crate::FakeWorker).
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Its identity.
    pub worker: WorkerId,
    /// The first incarnation; a restart takes the next.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// All that it has.
    pub capacity: ResourceSize,
    /// The caller edges that it reports to; it tries the next after a failure and adds those that answers name.
    pub entries: Vec<SocketAddr>,
    /// How long a task runs without being slowed; `None` runs until it is stopped. A start order whose arguments hold
    /// `run=<span>` sets its own.
    pub run_time: Option<Duration>,
    /// Services whose tasks run until they are stopped.
    pub endless: Vec<ServiceName>,
    /// Whether every task fails as soon as it has started.
    pub fails: bool,
    /// How much work passes between checkpoints; `None` takes one only when a task is ordered to stop.
    pub checkpoint_every: Option<Duration>,
    /// The used share of a task's committed processors and memory, in percent.
    pub usage_percent: u32,
    /// The age of the usage that it reports.
    pub lag: TimeSpan,
    /// The longest that it waits for the answer to a report.
    pub report_timeout: Duration,
    /// The wait before the next report until an answer has named one, and after a failed report.
    pub retry_every: Duration,
}

impl WorkerSettings {
    /// The defaults for a worker: 32 cores, 125 GB, 2 accelerators, tasks of 1 s with checkpoints each 100 ms of work,
    /// no entries.
    #[must_use]
    pub const fn new(worker: WorkerId, zone: ZoneName, rack: RackName) -> Self {
        Self {
            worker,
            incarnation: Incarnation::new(1),
            zone,
            rack,
            capacity: ResourceSize::new(MilliCores::new(32_000), MemoryBytes::new(125_000_000_000))
                .with_accelerators(AcceleratorCount::new(2)),
            entries: Vec::new(),
            run_time: Some(Duration::from_secs(1)),
            endless: Vec::new(),
            fails: false,
            checkpoint_every: Some(Duration::from_millis(100)),
            usage_percent: 80,
            lag: TimeSpan::from_millis(0),
            report_timeout: Duration::from_secs(1),
            retry_every: Duration::from_millis(100),
        }
    }
}
