//! Ends of runs that are no longer placed.
//!
//! A run that has been declared lost or withdrawn may have ended nevertheless, and its worker lists the end. The guarantee
//! is that a task never runs again after its completion was acknowledged, so an end as done is recorded in any case, or not
//! acknowledged:
//!
//! - If no newer run of the task is placed, one entry places the task on the worker under a new run number, and ends that
//!   run. It is never ordered, as nothing happens between the commands of an entry. A last command withdraws it in case
//!   that the end has been recorded meanwhile.
//! - A newer run that has not been ordered, or that its worker lists as ended, is withdrawn by the same entry. Its own
//!   placement may still be on its way to the state; the commands have the same effect if it never arrives.
//! - Any other newer run may be in progress, and its worker's capacity is not free until it is over. It is stopped, or
//!   withdrawn once its start order has expired. Until then the end is left unrecorded with those after it, which takes
//!   about a second if the other worker reports, and otherwise until that worker's lease ends. The task is not placed again
//!   while its worker lists the end.
//!
//! An end as failed counts if it is that of the newest run that can have been ordered. Otherwise it costs the task no
//! attempt.

use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::{
    BatchCommand, BatchState, Dispatcher, RunEnd, RunNumber, RunOutcome, RunPlacement, StepRecord, StepSpec, TaskKey,
};

/// How an end is recorded.
#[derive(Debug, PartialEq)]
pub(crate) enum EndDecision {
    /// As listed.
    Listed,
    /// As that of a new run, after the withdrawal of newer runs.
    NewRun { run: RunNumber, withdrawn: Vec<RunPlacement> },
    /// Not before these newer runs are over.
    Later(Vec<RunPlacement>),
}

/// Read-only methods.
impl Dispatcher {
    /// Decides how an end is recorded whose outcome is the one to record.
    pub(crate) fn decide_end(&self, state: &BatchState, worker: &WorkerId, end: &RunEnd) -> EndDecision {
        let record = state.worker(worker);
        let is_placed = record.and_then(|record| record.runs.get(&end.task)).is_some_and(|entry| entry.run == end.run);
        if is_placed || !matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            return EndDecision::Listed;
        }
        let Some((job, spec)) = state.step_of(&end.task).filter(|_| state.is_unfinished(&end.task)) else {
            return EndDecision::Listed;
        };
        let Some(step) = job.step(&end.task).filter(|_| !spec.long_running) else { return EndDecision::Listed };
        let last_run = step.tasks.get(end.task.index as usize).map_or(RunNumber::ZERO, |record| record.last_run);
        if end.run > last_run {
            // No such run has been placed.
            return EndDecision::Listed;
        }
        let is_done = end.outcome == RunOutcome::Done;
        if !is_done && !members(spec, &end.task).all(|task| self.is_newest_ordered(state, step, &task, end.run)) {
            return EndDecision::Listed;
        }
        let unordered = members(spec, &end.task).filter_map(|task| self.unordered_runs.get(state, &task).cloned());
        let mut withdrawn: Vec<RunPlacement> = unordered.collect();
        let mut later = Vec::new();
        for placement in placed_runs(state, step, spec, &end.task) {
            if withdrawn.contains(&placement) {
                continue;
            }
            if self.has_listed_end(&placement) { withdrawn.push(placement) } else { later.push(placement) }
        }
        if !later.is_empty() {
            return if is_done { EndDecision::Later(later) } else { EndDecision::Listed };
        }
        let newer = withdrawn.iter().filter(|placement| placement.task == end.task).map(|placement| placement.run);
        EndDecision::NewRun { run: newer.fold(last_run, RunNumber::max).next(), withdrawn }
    }

    /// Returns true if no run of the task after `run` can have been ordered.
    fn is_newest_ordered(&self, state: &BatchState, step: &StepRecord, task: &TaskKey, run: RunNumber) -> bool {
        let Some(record) = step.tasks.get(task.index as usize) else { return false };
        let unordered = self.unordered_runs.get(state, task).map(|placement| placement.run);
        let is_unordered = unordered == Some(record.last_run);
        record.last_run == run || (is_unordered && record.last_run == run.next())
    }

    /// Returns true if the newest report of the run's worker lists its end.
    fn has_listed_end(&self, placement: &RunPlacement) -> bool {
        let view = self.workers.get(&placement.worker).filter(|view| view.incarnation == placement.incarnation);
        view.is_some_and(|view| view.ended.contains(&(placement.task, placement.run)))
    }
}

/// Methods that change the state.
impl Dispatcher {
    /// Keeps runs that are to be withdrawn from being ordered.
    pub(crate) fn bar_runs(&mut self, runs: &[RunPlacement]) {
        for RunPlacement { task, run, worker, incarnation } in runs {
            let view = self.workers.get_mut(worker).filter(|view| view.incarnation == *incarnation);
            if let Some(view) = view {
                view.withdrawing.insert(*task, *run);
            }
        }
    }

    /// Leaves an end unrecorded. If it is one as done, newer runs of its task are ended, and the task is not placed again
    /// while the worker lists the end.
    pub(crate) fn hold_end(&mut self, now: MonotonicTime, state: &BatchState, end: &RunEnd, decision: EndDecision) {
        let (EndDecision::Later(newer) | EndDecision::NewRun { withdrawn: newer, .. }) = decision else { return };
        let Some((_, spec)) = state.step_of(&end.task).filter(|_| end.outcome == RunOutcome::Done) else { return };
        self.restart_delays.extend(now + self.settings.worker_timeout, &end.task, spec);
        for RunPlacement { task, run, worker, incarnation } in newer {
            log::info!(
                "event=newer_run_ended job={} task={task} run={run} worker={worker} done_run={}",
                task.job,
                end.run
            );
            let view = self.workers.get_mut(&worker).filter(|view| view.incarnation == incarnation);
            let Some(view) = view else { continue };
            if view.lists(&task, run) {
                view.evicting.insert(task, run);
            } else {
                view.withdrawing.insert(task, run);
            }
        }
    }
}

/// Returns the command that withdraws a run.
pub(crate) fn withdrawal_of(placement: &RunPlacement) -> BatchCommand {
    let RunPlacement { task, run, worker, incarnation } = placement;
    BatchCommand::Withdraw { worker: worker.clone(), incarnation: *incarnation, runs: vec![(*task, *run)] }
}

/// Returns the tasks that end together: those of a gang, or the task alone.
fn members(spec: &StepSpec, task: &TaskKey) -> impl Iterator<Item = TaskKey> + use<> {
    let task = *task;
    let members = if spec.gang { 0..spec.count } else { task.index..task.index.saturating_add(1) };
    members.map(move |index| TaskKey { index, ..task })
}

/// Returns the runs on record of the tasks that end with `task`.
fn placed_runs(state: &BatchState, step: &StepRecord, spec: &StepSpec, task: &TaskKey) -> Vec<RunPlacement> {
    let is_live = |task: TaskKey| step.tasks.get(task.index as usize).is_some_and(|record| record.live > 0);
    if !members(spec, task).any(is_live) {
        return Vec::new();
    }
    let (first, last) = (members(spec, task).next().unwrap_or(*task), members(spec, task).last().unwrap_or(*task));
    let placed = state.workers().flat_map(|(worker, record)| {
        let runs = record.runs.range(&first, &last);
        runs.map(|(task, entry)| RunPlacement {
            task: *task,
            run: entry.run,
            worker: worker.clone(),
            incarnation: record.incarnation,
        })
    });
    placed.collect()
}
