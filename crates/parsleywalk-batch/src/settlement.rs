//! The commands that record the run ends in a worker's report.
//!
//! How a command is applied must not differ between releases, whose replicas share a log. What an end means for its job
//! is therefore decided here, where the command is made: some ends are recorded with another outcome than the worker
//! listed.

use crate::{BatchCommand, BatchState, Dispatcher, RunEnd, RunOutcome, StepSpec, WorkerReport};

impl Dispatcher {
    /// Returns the commands of one entry that record the ends in a report, which are sorted by their numbers.
    pub(crate) fn settle(state: &BatchState, report: &WorkerReport, ends: Vec<RunEnd>) -> Vec<BatchCommand> {
        if ends.is_empty() {
            return Vec::new();
        }
        let (worker, incarnation) = (report.worker.clone(), report.incarnation);
        let ends = ends.into_iter().map(|mut end| {
            end.outcome = Self::recorded_outcome(state, &end);
            end
        });
        let ends = ends.collect();
        vec![BatchCommand::Settle { worker, incarnation, ends }]
    }

    /// Returns the outcome by which an end is recorded.
    fn recorded_outcome(state: &BatchState, end: &RunEnd) -> RunOutcome {
        match (end.outcome, state.step_of(&end.task)) {
            // Long-running tasks are started again however they end. Applied to a gang, these ends would end its job.
            (RunOutcome::Done | RunOutcome::Failed, Some((_, StepSpec { gang: true, long_running: true, .. }))) => {
                RunOutcome::Stopped
            }
            (outcome, _) => outcome,
        }
    }
}
