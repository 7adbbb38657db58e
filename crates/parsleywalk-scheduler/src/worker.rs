//! Records of workers.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId, WorkerId};

/// Allocation of one service's tasks on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceAllocation {
    pub(crate) service: u32,
    pub(crate) critical: bool,
    pub(crate) count: u32,
    /// Allocated processors in thousandths of a core.
    pub(crate) cores: u32,
}

/// Reservation of a worker for one waiting task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerReservation {
    pub(crate) task: TaskId,
    pub(crate) size: ResourceSize,
    /// When enough capacity is expected to be free. Tasks that end earlier may use the worker until then.
    pub(crate) ready_at: MonotonicTime,
    /// When the reservation expires.
    pub(crate) until: MonotonicTime,
}

/// A known worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerRecord {
    pub(crate) id: WorkerId,
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    /// Whether the worker is registered; false before it joins and after it is lost.
    pub(crate) present: bool,
    pub(crate) capacity: ResourceSize,
    pub(crate) allocated: ResourceSize,
    /// Total usage of its tasks by their last reports.
    pub(crate) used: ResourceSize,
    pub(crate) tasks: Vec<TaskId>,
    pub(crate) allocations: Vec<ServiceAllocation>,
    pub(crate) reservation: Option<WorkerReservation>,
    /// Smoothed slowdown of its service instances; 0 is the baseline latency.
    pub(crate) smoothed_slowdown: f64,
}

impl WorkerRecord {
    pub(crate) fn new(id: WorkerId) -> Self {
        Self {
            id,
            zone: 0,
            rack: 0,
            present: false,
            capacity: ResourceSize::default(),
            allocated: ResourceSize::default(),
            used: ResourceSize::default(),
            tasks: Vec::new(),
            allocations: Vec::new(),
            reservation: None,
            smoothed_slowdown: 0.0,
        }
    }

    /// Returns the free capacity: the capacity minus the larger of the allocated and the used size.
    pub(crate) fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.allocated.componentwise_max(&self.used))
    }

    pub(crate) fn add(&mut self, task: TaskId, service: u32, critical: bool, size: &ResourceSize) {
        self.tasks.push(task);
        self.allocated = self.allocated.checked_add(size).unwrap_or(self.allocated);
        if let Some(allocation) = self.allocations.iter_mut().find(|allocation| allocation.service == service) {
            allocation.count += 1;
            allocation.cores += size.cores.get();
        } else {
            self.allocations.push(ServiceAllocation { service, critical, count: 1, cores: size.cores.get() });
        }
    }

    pub(crate) fn remove(&mut self, task: TaskId, service: u32, size: &ResourceSize) {
        let Some(index) = self.tasks.iter().position(|other| *other == task) else { return };
        self.tasks.swap_remove(index);
        self.allocated = self.allocated.saturating_sub(size);
        if let Some(index) = self.allocations.iter().position(|allocation| allocation.service == service) {
            let allocation = &mut self.allocations[index];
            allocation.count -= 1;
            allocation.cores = allocation.cores.saturating_sub(size.cores.get());
            if allocation.count == 0 {
                self.allocations.swap_remove(index);
            }
        }
        if self.tasks.is_empty() {
            self.allocated = ResourceSize::default();
            self.smoothed_slowdown = 0.0;
        }
    }

    /// Returns true if `task` may start on the worker despite a reservation for another task: it fits beside that task,
    /// or it ends before that task can start.
    pub(crate) fn reservation_permits(
        &self,
        task: TaskId,
        size: &ResourceSize,
        now: MonotonicTime,
        run_time: Option<Duration>,
    ) -> bool {
        let Some(other) = self.reservation.filter(|other| other.task != task && now < other.until) else { return true };
        let fits_beside = other.size.checked_add(size).is_some_and(|sum| sum.fits_within(&self.free()));
        fits_beside || run_time.is_some_and(|run_time| now + run_time <= other.ready_at)
    }
}
