//! Whether failed runs are the fault of their job or of the worker.
//!
//! A failed run alone doesn't tell. A step that fails on several workers, and works on fewer, is taken to be at fault
//! itself, and so is a task that fails on several workers, whatever the others of its step do. Their failures say nothing
//! about the workers. The evidence is built from the outcomes that workers list, not
//! from the recorded ones, and is judged whenever it is used: failures of a step that turns out to work elsewhere count
//! against their workers after all. It is part of the leader's memory, as the health of the workers is, and both start
//! anew with a new leader.

use std::time::Duration;

use parsleywalk_units::WorkerId;

use crate::{BatchState, JobId, SortedMap, TaskKey};

/// A step of a job, in all occurrences.
type JobStep = (JobId, u16);

/// A step that has failed on fewer workers is not taken to be at fault.
const MIN_FAULTY_WORKERS: usize = 2;
/// A run that has lived for this percentage of the longest life of a failed run, and for [`SURVIVAL_MARGIN`], works.
const SURVIVAL_PERCENT: u32 = 150;
/// Added to the life that a run must reach to count as working, since lives are known only to the interval of reports.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(200);

/// The outcomes of the newest runs of a step, by worker.
#[derive(Debug, Default)]
struct StepEvidence {
    /// The workers on which the newest run failed or hung, sorted.
    failed_on: Vec<WorkerId>,
    /// The workers on which the newest run completed or has outlived those that failed, sorted.
    worked_on: Vec<WorkerId>,
    /// The longest life of a failed run.
    longest_life: Duration,
}

impl StepEvidence {
    fn is_at_fault(&self) -> bool {
        self.failed_on.len() >= MIN_FAULTY_WORKERS && self.failed_on.len() > self.worked_on.len()
    }
}

/// The workers on which a task has failed since it last worked.
#[derive(Debug)]
struct TaskEvidence {
    first: WorkerId,
    /// Whether it has failed on another one as well.
    is_at_fault: bool,
}

/// The evidence about the steps and tasks of which runs have failed.
#[derive(Debug, Default)]
pub(crate) struct FailureEvidence {
    steps: SortedMap<JobStep, StepEvidence>,
    tasks: SortedMap<TaskKey, TaskEvidence>,
}

fn step_of(task: &TaskKey) -> JobStep {
    (task.job, task.step)
}

/// Read-only methods.
impl FailureEvidence {
    /// Returns true if the task's failures are its own fault or its step's.
    pub(crate) fn is_at_fault(&self, task: &TaskKey) -> bool {
        self.tasks.get(task).is_some_and(|known| known.is_at_fault)
            || self.steps.get(&step_of(task)).is_some_and(StepEvidence::is_at_fault)
    }

    /// Returns true if a run of the task works, since it has outlived those of its step that failed. Without failures, no
    /// run needs to be recorded.
    pub(crate) fn is_survivor(&self, task: &TaskKey, life: Duration) -> bool {
        let known = self.steps.get(&step_of(task));
        known.is_some_and(|known| life >= known.longest_life * SURVIVAL_PERCENT / 100 + SURVIVAL_MARGIN)
    }
}

/// Methods that change the state.
impl FailureEvidence {
    /// Records a run that failed or hung after `life`. Returns true if the task is therefore at fault and was not before.
    pub(crate) fn record_failure(&mut self, task: TaskKey, worker: &WorkerId, life: Duration) -> bool {
        let was_at_fault = self.is_at_fault(&task);
        let known = self.steps.entry(step_of(&task), StepEvidence::default);
        known.longest_life = known.longest_life.max(life);
        insert(&mut known.failed_on, worker);
        remove(&mut known.worked_on, worker);
        let known = self.tasks.entry(task, || TaskEvidence { first: worker.clone(), is_at_fault: false });
        known.is_at_fault |= known.first != *worker;
        self.is_at_fault(&task) && !was_at_fault
    }

    /// Records a run that completed or works, if others of its step have failed.
    pub(crate) fn record_success(&mut self, task: &TaskKey, worker: &WorkerId) {
        self.tasks.remove(task);
        if let Some(known) = self.steps.get_mut(&step_of(task)) {
            insert(&mut known.worked_on, worker);
            remove(&mut known.failed_on, worker);
        }
    }

    /// Forgets the steps of jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.steps.retain(|(job, _), _| state.is_active(*job));
        self.tasks.retain(|task, _| state.is_active(task.job));
    }
}

fn insert(workers: &mut Vec<WorkerId>, worker: &WorkerId) {
    if let Err(index) = workers.binary_search(worker) {
        workers.insert(index, worker.clone());
    }
}

fn remove(workers: &mut Vec<WorkerId>, worker: &WorkerId) {
    if let Ok(index) = workers.binary_search(worker) {
        workers.remove(index);
    }
}
