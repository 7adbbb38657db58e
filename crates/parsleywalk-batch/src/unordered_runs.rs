//! Runs that have been placed and not ordered.

use crate::{BatchState, RunPlacement, SortedMap, TaskKey};

/// The newest placement of each task by this leader, while no start order for it has been given: its command may still be
/// on its way to the state. An earlier leader may have ordered any other run.
#[derive(Debug, Default)]
pub(crate) struct UnorderedRuns {
    placements: SortedMap<TaskKey, RunPlacement>,
}

/// Read-only methods.
impl UnorderedRuns {
    /// Returns the task's unordered run, if it is on record or may still be.
    pub(crate) fn get(&self, state: &BatchState, task: &TaskKey) -> Option<&RunPlacement> {
        self.placements.get(task).filter(|placement| is_current(state, placement))
    }
}

/// Methods that change the state.
impl UnorderedRuns {
    pub(crate) fn record_placed(&mut self, placements: &[RunPlacement]) {
        for placement in placements {
            self.placements.insert(placement.task, placement.clone());
        }
    }

    /// Records that a start order for the task is given.
    pub(crate) fn record_ordered(&mut self, task: &TaskKey) {
        self.placements.remove(task);
    }

    /// Forgets the runs that are over.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.placements.retain(|_, placement| is_current(state, placement));
    }
}

/// Returns true if the run is on record, or its number is higher than that of any run of its task.
fn is_current(state: &BatchState, placement: &RunPlacement) -> bool {
    let RunPlacement { task, run, worker, .. } = placement;
    let last_run = state.job(task.job).and_then(|job| job.task(task)).map(|record| record.last_run);
    let record = state.worker(worker);
    let is_on_record = record.and_then(|record| record.runs.get(task)).is_some_and(|entry| entry.run == *run);
    state.is_unfinished(task) && (is_on_record || last_run.is_some_and(|last_run| last_run < *run))
}
