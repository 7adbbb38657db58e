//! Records of workers.

use parsleywalk_units::{Incarnation, RackName, ResourceSize, TaskId, WorkerId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::WorkerNumber;

/// A registered worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub(crate) number: WorkerNumber,
    pub(crate) id: WorkerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneName,
    pub(crate) rack: RackName,
    pub(crate) capacity: ResourceSize,
    /// The sequence number of the last recorded report.
    pub(crate) sequence: Option<u64>,
    #[serde(skip)]
    pub(crate) used: ResourceSize,
    /// The tasks with resources allocated on the worker, sorted.
    #[serde(skip)]
    pub(crate) tasks: Vec<TaskId>,
}

impl WorkerRecord {
    pub(crate) fn allocate(&mut self, task: TaskId, size: &ResourceSize) {
        let used = self.used.checked_add(size).expect("the size was checked against the capacity");
        assert!(used.fits_within(&self.capacity), "worker {} has {used} of {} allocated", self.id, self.capacity);
        self.used = used;
        if let Err(index) = self.tasks.binary_search(&task) {
            self.tasks.insert(index, task);
        }
    }

    pub(crate) fn release(&mut self, task: TaskId, size: &ResourceSize) {
        assert!(size.fits_within(&self.used), "worker {} releases {size} of {}", self.id, self.used);
        self.used = self.used.saturating_sub(size);
        if let Ok(index) = self.tasks.binary_search(&task) {
            self.tasks.remove(index);
        }
    }
}

/// Queries.
impl WorkerRecord {
    /// Returns the registration number, which start commands name.
    #[must_use]
    pub const fn number(&self) -> WorkerNumber {
        self.number
    }

    /// Returns the worker's id, which stays the same across registrations.
    #[must_use]
    pub const fn id(&self) -> &WorkerId {
        &self.id
    }

    /// Returns the registered incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the worker's zone.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the worker's rack.
    #[must_use]
    pub const fn rack(&self) -> &RackName {
        &self.rack
    }

    /// Returns the worker's total resources.
    #[must_use]
    pub const fn capacity(&self) -> ResourceSize {
        self.capacity
    }

    /// Returns the resources allocated for tasks.
    #[must_use]
    pub const fn used(&self) -> ResourceSize {
        self.used
    }

    /// Returns the resources not allocated for tasks.
    #[must_use]
    pub fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns the ids of the tasks with resources allocated on the worker, sorted.
    #[must_use]
    pub fn tasks(&self) -> &[TaskId] {
        &self.tasks
    }

    /// Returns the sequence number of the last recorded report; `None` before the first.
    #[must_use]
    pub const fn sequence(&self) -> Option<u64> {
        self.sequence
    }
}
