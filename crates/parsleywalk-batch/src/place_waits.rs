//! The steps that wait for a rack.

use std::collections::BTreeSet;
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::rack_results::RackResults;
use crate::worker_ends::WorkerEnds;
use crate::worker_view::WorkerView;
use crate::{BatchState, SortedMap, StepRecord, TaskKey};

/// A step that waits or has waited for a rack, or a rack-local step that has chosen its rack.
#[derive(Debug)]
pub(crate) struct StepWait {
    pub(crate) rack: String,
    /// Since when the step has waited, and until when it may wait, as stated when it began to.
    pub(crate) period: Option<(MonotonicTime, MonotonicTime)>,
    /// The number of tasks that waited in the last cycle.
    pub(crate) tasks: u32,
    /// Whether the step is rack-local, so that its later tasks go to the same rack.
    pub(crate) is_rack_local: bool,
}

/// How many tasks that waited for a rack were placed there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceWaitResults {
    /// The tasks that were placed on the rack.
    pub won: u64,
    /// The tasks that waited no longer.
    pub lost: u64,
}

/// The steps that wait for a rack, and what is known of the racks. A new leader knows of none.
#[derive(Debug, Default)]
pub(crate) struct PlaceWaits {
    /// By the first task of the step.
    pub(crate) steps: SortedMap<TaskKey, StepWait>,
    pub(crate) ends: SortedMap<WorkerId, WorkerEnds>,
    /// What waits have brought, by rack.
    racks: SortedMap<String, RackResults>,
    /// The results since they were last taken.
    pub(crate) results: PlaceWaitResults,
}

impl PlaceWaits {
    /// Returns what is left of the time that the step stated when it began to wait.
    pub(crate) fn stated(&self, now: MonotonicTime, first: &TaskKey) -> Option<Duration> {
        let (_, until) = self.steps.get(first)?.period?;
        Some(until.since(now))
    }

    /// Returns the number of tasks of a step that waited in the last cycle.
    pub(crate) fn tasks(&self, first: &TaskKey) -> u32 {
        self.steps.get(first).map_or(0, |wait| wait.tasks)
    }

    /// Counts the tasks of a waiting step that have been placed on the rack, and those that wait no longer.
    pub(crate) fn count(&mut self, now: MonotonicTime, first: &TaskKey, placed: u32, waiting: u32) {
        let Some(wait) = self.steps.get_mut(first).filter(|wait| wait.tasks > 0) else { return };
        let won = wait.tasks.min(placed);
        let lost = (wait.tasks - won).saturating_sub(waiting);
        self.results.won += u64::from(won);
        self.results.lost += u64::from(lost);
        wait.tasks = waiting;
        let Some((since, _)) = wait.period.filter(|_| waiting == 0) else { return };
        let lost = (lost > 0).then(|| now.since(since));
        self.racks.entry(wait.rack.clone(), RackResults::default).add(lost);
    }

    /// Returns the time that lost waits for a rack have cost for each one that was won.
    pub(crate) fn cost(&self, rack: &str) -> Duration {
        self.racks.find(|known| known.as_str().cmp(rack)).copied().unwrap_or_default().cost()
    }

    /// Records the rack of a rack-local step.
    pub(crate) fn choose(&mut self, first: &TaskKey, rack: &str) {
        self.step_mut(first, rack).is_rack_local = true;
    }

    /// Records that tasks of a step wait. Returns true if that is a new decision, by the rack or because none waited.
    pub(crate) fn record(
        &mut self,
        first: &TaskKey,
        rack: &str,
        period: (MonotonicTime, MonotonicTime),
        tasks: u32,
    ) -> bool {
        let is_same_rack = self.steps.get(first).is_some_and(|wait| wait.rack == rack);
        let wait = self.step_mut(first, rack);
        wait.tasks = tasks;
        let is_new = wait.period.is_none() || !is_same_rack;
        wait.period.get_or_insert(period);
        is_new
    }

    fn step_mut(&mut self, first: &TaskKey, rack: &str) -> &mut StepWait {
        let new = || StepWait { rack: rack.to_owned(), period: None, tasks: 0, is_rack_local: false };
        let wait = self.steps.entry(*first, new);
        if wait.rack != rack {
            rack.clone_into(&mut wait.rack);
        }
        wait
    }

    /// Ends the waits of steps without waiting tasks. The rack of a rack-local step is known until the step is done.
    pub(crate) fn begin_cycle(&mut self, state: &BatchState) {
        let record_of = |first: &TaskKey| state.job(first.job).filter(|_| state.is_active(first.job))?.step(first);
        for (first, wait) in self.steps.iter_mut() {
            if record_of(first).is_none_or(|record| record.waiting == 0) {
                (wait.period, wait.tasks) = (None, 0);
            }
        }
        self.steps.retain(|first, wait| {
            let is_needed = |record: &StepRecord| record.waiting > 0 || wait.is_rack_local && !record.is_done();
            record_of(first).is_some_and(is_needed)
        });
    }

    /// Forgets workers that are not known any more, and racks without workers.
    pub(crate) fn prune(&mut self, workers: &SortedMap<WorkerId, WorkerView>) {
        self.ends.retain(|worker, _| workers.contains(worker));
        if !self.racks.is_empty() {
            let racks: BTreeSet<&str> = workers.iter().filter_map(|(_, view)| view.rack.as_deref()).collect();
            self.racks.retain(|rack, _| racks.contains(rack.as_str()));
        }
    }
}
