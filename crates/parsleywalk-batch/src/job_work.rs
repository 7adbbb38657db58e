//! Amounts of short work.

use std::time::Duration;

use crate::StepSpec;
use crate::work_kind::{WORK_KINDS, WorkKind};

/// Millicores per core.
const MILLI: f64 = 1000.0;

/// The remaining work of a job, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct JobWork {
    remaining: [f64; WORK_KINDS],
    running: [f64; WORK_KINDS],
}

impl JobWork {
    /// Adds the tasks of a step that are waiting and running. Those that run have half of their work ahead on average.
    pub(crate) fn add(&mut self, spec: &StepSpec, duration: Duration, waiting: u32, running: u32) {
        let Some(kind) = WorkKind::of_step(spec) else { return };
        let running = task_work(spec, duration) * f64::from(running) / 2.0;
        self.running[kind as usize] += running;
        self.remaining[kind as usize] += task_work(spec, duration) * f64::from(waiting) + running;
    }

    /// Returns the work of a kind in core-seconds.
    pub(crate) const fn remaining(&self, kind: WorkKind) -> f64 {
        self.remaining[kind as usize]
    }

    /// Returns the part of it that is running.
    pub(crate) const fn running(&self, kind: WorkKind) -> f64 {
        self.running[kind as usize]
    }
}

/// Returns the work of a task in core-seconds.
pub(crate) fn task_work(spec: &StepSpec, duration: Duration) -> f64 {
    f64::from(spec.size.cores.get()) / MILLI * duration.as_secs_f64()
}
