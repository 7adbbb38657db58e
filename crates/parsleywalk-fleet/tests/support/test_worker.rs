//! A worker that reports and runs nothing.

use std::time::Duration;

use parsleywalk_batch::WorkerReport;
use parsleywalk_units::{Incarnation, MemoryBytes, MilliCores, ResourceSize};

pub(crate) struct TestWorker {
    pub(crate) zone: &'static str,
    pub(crate) sequence: u64,
}

impl TestWorker {
    pub(crate) fn next(&mut self) -> WorkerReport {
        self.sequence += 1;
        WorkerReport {
            worker: "worker-1".parse().expect("a name"),
            incarnation: Incarnation::new(1),
            service: "planning".parse().expect("a name"),
            zone: self.zone.parse().expect("a zone"),
            labels: vec!["kind".to_owned(), "rack".to_owned()],
            capacity: ResourceSize::new(MilliCores::new(8000), MemoryBytes::new(16_000_000_000)),
            draining: false,
            sequence: self.sequence,
            clock: Duration::from_millis(self.sequence * 100),
            running: Vec::new(),
            ended: Vec::new(),
        }
    }
}
