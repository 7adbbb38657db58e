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
    /// The highest sequence number of a recorded report.
    pub(crate) sequence: Option<u64>,
    #[serde(skip)]
    pub(crate) used: ResourceSize,
    /// The tasks that hold capacity, sorted.
    #[serde(skip)]
    pub(crate) tasks: Vec<TaskId>,
}

impl WorkerRecord {
    pub(crate) fn hold(&mut self, task: TaskId, size: &ResourceSize) {
        let used = self.used.checked_add(size).expect("the committed size was checked against the capacity");
        assert!(used.fits_within(&self.capacity), "worker {} is committed to {used} of {}", self.id, self.capacity);
        self.used = used;
        if let Err(place) = self.tasks.binary_search(&task) {
            self.tasks.insert(place, task);
        }
    }

    pub(crate) fn release(&mut self, task: TaskId, size: &ResourceSize) {
        assert!(size.fits_within(&self.used), "worker {} releases {size} of {}", self.id, self.used);
        self.used = self.used.saturating_sub(size);
        if let Ok(place) = self.tasks.binary_search(&task) {
            self.tasks.remove(place);
        }
    }
}

/// Queries.
impl WorkerRecord {
    /// Returns the registration's number, which start commands name.
    #[must_use]
    pub const fn number(&self) -> WorkerNumber {
        self.number
    }

    /// Returns the worker's id.
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

    /// Returns all that the worker has.
    #[must_use]
    pub const fn capacity(&self) -> ResourceSize {
        self.capacity
    }

    /// Returns what is committed.
    #[must_use]
    pub const fn used(&self) -> ResourceSize {
        self.used
    }

    /// Returns what is not committed.
    #[must_use]
    pub fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns the ids of the tasks that hold capacity, sorted.
    #[must_use]
    pub fn tasks(&self) -> &[TaskId] {
        &self.tasks
    }

    /// Returns the highest sequence number of a recorded report.
    #[must_use]
    pub const fn sequence(&self) -> Option<u64> {
        self.sequence
    }
}
