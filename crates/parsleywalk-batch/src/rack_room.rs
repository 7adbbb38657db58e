//! Capacity of a worker as a forecast of its rack counts it.

use parsleywalk_units::{MilliCores, ResourceSize};

use crate::StepSpec;

/// Free or needed capacity. Best-effort tasks use other cores than the rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RackRoom {
    pub(crate) size: ResourceSize,
    pub(crate) best_effort: MilliCores,
}

impl RackRoom {
    /// Returns what a task takes while it runs.
    pub(crate) fn of_run(size: &ResourceSize, best_effort: bool) -> Self {
        let cores = if best_effort { MilliCores::default() } else { size.cores };
        Self { size: ResourceSize { cores, ..*size }, best_effort: size.cores }
    }

    /// Returns true if a task fits that needs `need`.
    pub(crate) fn holds(&self, need: &TaskNeed) -> bool {
        need.room.size.fits_within(&self.size) && (!need.best_effort || need.room.best_effort <= self.best_effort)
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.size = self.size.checked_add(&other.size).unwrap_or(self.size);
        self.best_effort = self.best_effort.checked_add(other.best_effort).unwrap_or(self.best_effort);
    }

    pub(crate) fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            size: self.size.saturating_sub(&other.size),
            best_effort: self.best_effort.saturating_sub(other.best_effort),
        }
    }

    /// Takes as much of `needed` as there is and returns what is still needed.
    pub(crate) fn take(&mut self, needed: &Self) -> Self {
        let left = needed.saturating_sub(self);
        *self = self.saturating_sub(needed);
        left
    }
}

/// What a task needs from its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskNeed {
    pub(crate) room: RackRoom,
    pub(crate) best_effort: bool,
}

impl TaskNeed {
    pub(crate) fn of(spec: &StepSpec) -> Self {
        Self { room: RackRoom::of_run(&spec.size, spec.best_effort), best_effort: spec.best_effort }
    }
}
