//! Settings of the fake worker.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_units::{
    AcceleratorCount, Incarnation, MemoryBytes, MilliCores, RackName, ResourceSize, ServiceName, TimeSpan, WorkerId,
    ZoneName,
};

/// Settings of a [`FakeWorker`](crate::FakeWorker).
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// The worker's id.
    pub worker: WorkerId,
    /// The first incarnation; each restart increments it.
    pub incarnation: Incarnation,
    /// The availability zone that it reports.
    pub zone: ZoneName,
    /// The rack that it reports.
    pub rack: RackName,
    /// Its total capacity.
    pub capacity: ResourceSize,
    /// The entry daemons to which it reports; it tries the next one after a failure and adds the ones that responses
    /// list.
    pub entries: Vec<SocketAddr>,
    /// How long a task runs without throttling; with `None` it runs until it is stopped. A start order overrides this
    /// if its arguments contain `run=<span>`.
    pub run_time: Option<Duration>,
    /// Services whose tasks run until they are stopped, whatever `run_time` is.
    pub long_running_services: Vec<ServiceName>,
    /// Whether every task fails on the first tick after its start.
    pub fails: bool,
    /// How much work a task does between checkpoints; with `None` it takes one only when it is ordered to stop.
    pub checkpoint_interval: Option<Duration>,
    /// The CPU and memory that a task uses, in percent of its allocation.
    pub usage_percent: u32,
    /// The reported age of the usage measurements.
    pub lag: TimeSpan,
    /// The timeout of a report.
    pub report_timeout: Duration,
    /// The delay before the next report when the last one failed or there is no entry daemon yet.
    pub retry_delay: Duration,
}

impl WorkerSettings {
    /// Creates the default settings: 32 cores, 125 GB, 2 accelerators, tasks of 1 s that take a checkpoint for every
    /// 100 ms of work, and no entry daemons.
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
            long_running_services: Vec::new(),
            fails: false,
            checkpoint_interval: Some(Duration::from_millis(100)),
            usage_percent: 80,
            lag: TimeSpan::from_millis(0),
            report_timeout: Duration::from_secs(1),
            retry_delay: Duration::from_millis(100),
        }
    }
}
