//! The workers that the policy knows.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId, WorkerId};

/// What one service's tasks hold on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceMix {
    pub(crate) service: u32,
    pub(crate) critical: bool,
    pub(crate) count: u32,
    /// Committed processors in thousandths.
    pub(crate) cores: u32,
}

/// A worker kept for one task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerHold {
    pub(crate) task: TaskId,
    pub(crate) size: ResourceSize,
    /// When enough is expected to be free; tasks that end earlier may start here meanwhile.
    pub(crate) ready_at: MonotonicTime,
    /// When the hold is given up.
    pub(crate) until: MonotonicTime,
}

/// One worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerRecord {
    pub(crate) id: WorkerId,
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) present: bool,
    pub(crate) capacity: ResourceSize,
    pub(crate) committed: ResourceSize,
    /// What its tasks were measured to use in total.
    pub(crate) used: ResourceSize,
    pub(crate) tasks: Vec<TaskId>,
    pub(crate) mix: Vec<ServiceMix>,
    pub(crate) hold: Option<WorkerHold>,
    /// How much its services are slowed, smoothed; 0 is not at all.
    pub(crate) strain: f64,
}

impl WorkerRecord {
    pub(crate) fn new(id: WorkerId) -> Self {
        Self {
            id,
            zone: 0,
            rack: 0,
            present: false,
            capacity: ResourceSize::default(),
            committed: ResourceSize::default(),
            used: ResourceSize::default(),
            tasks: Vec::new(),
            mix: Vec::new(),
            hold: None,
            strain: 0.0,
        }
    }

    /// What can be committed: the capacity less the larger of what is committed and what is used.
    pub(crate) fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.committed.componentwise_max(&self.used))
    }

    pub(crate) fn add(&mut self, task: TaskId, service: u32, critical: bool, size: &ResourceSize) {
        self.tasks.push(task);
        self.committed = self.committed.checked_add(size).unwrap_or(self.committed);
        if let Some(mix) = self.mix.iter_mut().find(|mix| mix.service == service) {
            mix.count += 1;
            mix.cores += size.cores.get();
        } else {
            self.mix.push(ServiceMix { service, critical, count: 1, cores: size.cores.get() });
        }
    }

    pub(crate) fn remove(&mut self, task: TaskId, service: u32, size: &ResourceSize) {
        let Some(place) = self.tasks.iter().position(|held| *held == task) else { return };
        self.tasks.swap_remove(place);
        self.committed = self.committed.saturating_sub(size);
        if let Some(place) = self.mix.iter().position(|mix| mix.service == service) {
            let mix = &mut self.mix[place];
            mix.count -= 1;
            mix.cores = mix.cores.saturating_sub(size.cores.get());
            if mix.count == 0 {
                self.mix.swap_remove(place);
            }
        }
        if self.tasks.is_empty() {
            self.committed = ResourceSize::default();
            self.strain = 0.0;
        }
    }

    /// Tells whether `task` may start here although the worker is held for another one.
    pub(crate) fn hold_permits(
        &self,
        task: TaskId,
        size: &ResourceSize,
        now: MonotonicTime,
        run_time: Option<Duration>,
    ) -> bool {
        let Some(hold) = self.hold.filter(|hold| hold.task != task && now < hold.until) else { return true };
        let beside = hold.size.checked_add(size).is_some_and(|sum| sum.fits_within(&self.free()));
        beside || run_time.is_some_and(|run_time| now + run_time <= hold.ready_at)
    }
}
