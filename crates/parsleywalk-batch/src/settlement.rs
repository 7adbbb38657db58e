//! The commands that record the run ends in a worker's report.
//!
//! How a command is applied must not differ between releases, whose replicas share a log. What an end means for its job
//! is therefore decided here, where the command is made: some ends are recorded with another outcome than the worker
//! listed, and some together with a placement.

use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::late_end::{EndDecision, withdrawal_of};
use crate::{
    BatchCommand, BatchState, Dispatcher, EndNumber, JobId, RunEnd, RunNumber, RunOutcome, RunPlacement, SortedMap,
    StepRecord, StepSpec, TaskKey, WorkerReport,
};

/// The step of one occurrence of a job.
type StepKey = (JobId, u32, u16);

/// The newest known run of a gang.
#[derive(Debug)]
struct GangRun {
    run: RunNumber,
    failure: GangFailure,
}

/// The end by which a gang's run counts as failed.
#[derive(Debug, PartialEq, Eq)]
enum GangFailure {
    None,
    /// The end was recorded by an earlier leader.
    Recorded,
    /// The end with this number in the worker's list, which the worker repeats until it is acknowledged.
    Listed(WorkerId, EndNumber),
}

/// The newest run of each gang that this leader has placed, or of which it has handled an end.
#[derive(Debug, Default)]
pub(crate) struct GangRuns {
    runs: SortedMap<StepKey, GangRun>,
}

impl GangRuns {
    /// Records the runs of gangs that this leader places. No failure of them can have been recorded before.
    pub(crate) fn record_placed(&mut self, state: &BatchState, placements: &[RunPlacement]) {
        let first_members = placements.iter().filter(|placement| placement.task.index == 0);
        for RunPlacement { task, run, .. } in first_members {
            if state.step_of(task).is_some_and(|(_, spec)| spec.gang) {
                self.runs.insert(step_key(task), GangRun { run: *run, failure: GangFailure::None });
            }
        }
    }

    /// Returns the newest run of a gang of which a member has ended. It must be called for the first end of a run that an
    /// earlier leader has placed, whatever its outcome, since the state tells less with each end.
    fn observe(&mut self, step: &StepRecord, end: &RunEnd) -> &mut GangRun {
        let known = self.runs.entry(step_key(&end.task), || GangRun::inherited(step, end.run));
        if known.run < end.run {
            *known = GangRun::inherited(step, end.run);
        }
        known
    }

    /// Returns true if the failed end of a member makes the run count as failed, which one end of each run does.
    fn counts_as_failed(&mut self, step: &StepRecord, worker: &WorkerId, end: &RunEnd) -> bool {
        let known = self.observe(step, end);
        if known.run != end.run {
            // The end of an earlier run, which is no longer placed.
            return false;
        }
        let failure = GangFailure::Listed(worker.clone(), end.number);
        if known.failure == GangFailure::None {
            known.failure = failure;
            return true;
        }
        known.failure == failure
    }

    /// Forgets the runs of jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.runs.retain(|(job, _, _), _| state.job(*job).is_some_and(|record| !record.status.is_final()));
    }
}

impl GangRun {
    /// Returns a run that an earlier leader has placed, and of which it may have recorded a failure: then a member has
    /// ended and has failures.
    fn inherited(step: &StepRecord, run: RunNumber) -> Self {
        let recorded = step.tasks.iter().any(|task| task.last_run == run && task.live == 0 && task.failures > 0);
        Self { run, failure: if recorded { GangFailure::Recorded } else { GangFailure::None } }
    }
}

fn step_key(task: &TaskKey) -> StepKey {
    (task.job, task.occurrence, task.step)
}

impl Dispatcher {
    /// Returns the commands of one entry that record the ends in a report, which are sorted by their numbers. The ends
    /// from one on that cannot be recorded yet are left out; the worker lists them again.
    pub(crate) fn settle(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        report: &WorkerReport,
        ends: Vec<RunEnd>,
    ) -> Vec<BatchCommand> {
        let (worker, incarnation) = (report.worker.clone(), report.incarnation);
        // A worker that has announced its exit does not list the ends again, and they are not acknowledged.
        let departed = self.workers.get(&worker).is_some_and(|view| view.departed);
        let mut commands = Vec::new();
        let (mut runs, mut recorded) = (Vec::new(), Vec::new());
        let mut is_held = false;
        for mut end in ends {
            let listed = end.outcome;
            end.outcome = self.recorded_outcome(state, &worker, &end);
            let decision = self.decide_end(state, &worker, &end);
            is_held |= matches!(decision, EndDecision::Later(_)) && !departed;
            if is_held {
                self.hold_end(now, state, &end, decision);
                continue;
            }
            log_run_end(state, report, &end, listed);
            match decision {
                EndDecision::Listed => {}
                EndDecision::NewRun { run, withdrawn } => {
                    self.bar_runs(&withdrawn);
                    commands.extend(withdrawn.iter().map(withdrawal_of));
                    end.run = run;
                    runs.push(RunPlacement { task: end.task, run, worker: worker.clone(), incarnation });
                }
                EndDecision::Later(_) => continue,
            }
            recorded.push(end);
        }
        // The ends may be recorded already by an entry on its way to the state. Then the new runs are left over.
        let left_over: Vec<BatchCommand> = runs.iter().map(withdrawal_of).collect();
        commands.extend((!runs.is_empty()).then_some(BatchCommand::Place { runs }));
        commands.extend((!recorded.is_empty()).then_some(BatchCommand::Settle { worker, incarnation, ends: recorded }));
        commands.extend(left_over);
        commands
    }

    /// Returns the outcome by which an end is recorded.
    fn recorded_outcome(&mut self, state: &BatchState, worker: &WorkerId, end: &RunEnd) -> RunOutcome {
        let step = state.step_of(&end.task).and_then(|(job, spec)| Some((job.step(&end.task)?, spec)));
        match (end.outcome, step) {
            // Long-running tasks are started again however they end. Applied to a gang, these ends would end its job.
            (RunOutcome::Done | RunOutcome::Failed, Some((_, StepSpec { gang: true, long_running: true, .. }))) => {
                RunOutcome::Stopped
            }
            (RunOutcome::Failed, Some((step, StepSpec { gang: true, .. }))) => {
                let counts = self.gang_runs.counts_as_failed(step, worker, end);
                if counts { RunOutcome::Failed } else { RunOutcome::GangBroken }
            }
            (outcome, Some((step, StepSpec { gang: true, .. }))) => {
                self.gang_runs.observe(step, end);
                outcome
            }
            (outcome, _) => outcome,
        }
    }
}

fn log_run_end(state: &BatchState, report: &WorkerReport, end: &RunEnd, listed: RunOutcome) {
    let record = state.worker(&report.worker).filter(|record| record.incarnation == report.incarnation);
    let committed = record.and_then(|record| record.runs.get(&end.task)).is_some_and(|entry| entry.run == end.run);
    log::info!(
        "event=run_ended job={} task={} run={} worker={} number={} outcome={listed:?} recorded={:?} \
         committed={committed} sequence={}",
        end.task.job,
        end.task,
        end.run,
        report.worker,
        end.number,
        end.outcome,
        report.sequence
    );
}
