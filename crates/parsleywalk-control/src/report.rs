//! Recording of workers' reports.

use parsleywalk_api::TaskPhase;
use parsleywalk_units::TaskId;

use crate::state::{CommandEffects, CommandResult};
use crate::task::{MAX_RESULT_BYTES, truncate};
use crate::{
    AttemptChange, AttemptEnd, AttemptOutcome, CommandRefusal, ControlReply, ControlState, StateChange, TaskOwner,
    TaskRecord, WorkerNumber,
};

/// Commands.
impl ControlState {
    pub(crate) fn record_report(
        &mut self,
        worker: WorkerNumber,
        sequence: u64,
        changes: &[AttemptChange],
        effects: &mut CommandEffects,
    ) -> CommandResult {
        let Some(record) = self.workers.get_mut(&worker) else {
            return Err(CommandRefusal::UnknownRegistration { worker });
        };
        if let Some(recorded) = record.sequence.filter(|recorded| sequence <= *recorded) {
            return Err(CommandRefusal::StaleReport { worker, sequence, recorded });
        }
        record.sequence = Some(sequence);
        let mut applied = 0;
        for change in changes {
            applied += u32::from(self.record_change(worker, change, effects));
        }
        Ok(ControlReply::Recorded { applied })
    }

    /// Records one change. Returns false if it names another attempt or changes nothing.
    fn record_change(&mut self, worker: WorkerNumber, change: &AttemptChange, effects: &mut CommandEffects) -> bool {
        let task = change.task();
        let Some(record) = self.tasks.get_mut(&task) else { return false };
        if record.attempt != change.attempt() {
            return false;
        }
        if record.phase == TaskPhase::Queued {
            return self.record_late_change(task, change, effects);
        }
        if record.worker != Some(worker) {
            return false;
        }
        match change {
            AttemptChange::Running { .. } => return self.confirm_start(task, effects),
            AttemptChange::Checkpoint { reference, since, .. } => {
                if !record.accepts_checkpoint(reference) {
                    return false;
                }
                record.record_checkpoint(self.now, reference, *since);
            }
            AttemptChange::Ended { end, checkpoint, since, text, .. } => {
                if let Some(reference) = checkpoint
                    && record.accepts_checkpoint(reference)
                {
                    record.record_checkpoint(self.now, reference, *since);
                }
                self.record_attempt_end(task, *end, text, effects);
            }
            AttemptChange::Absent { echo, .. } => {
                if !proves_absence(record, *echo) {
                    return false;
                }
                let is_stopping = record.phase == TaskPhase::Stopping;
                let outcome = if is_stopping { AttemptOutcome::Evicted } else { AttemptOutcome::Lost };
                self.end_attempt(task, outcome, "", effects);
            }
        }
        true
    }

    /// Records a change of an attempt that was declared lost, while its task is queued for the next one.
    ///
    /// The worker was partitioned until its lease had expired. Its result or last checkpoint is still valid.
    fn record_late_change(&mut self, task: TaskId, change: &AttemptChange, effects: &mut CommandEffects) -> bool {
        let now = self.now;
        let record = self.tasks.get_mut(&task).expect("the task is live");
        let next = record.attempt.next();
        match change {
            // There was no attempt yet.
            _ if record.attempt.get() == 0 => false,
            AttemptChange::Checkpoint { reference, since, .. } if record.accepts_checkpoint(reference) => {
                record.record_checkpoint(now, reference, *since);
                true
            }
            AttemptChange::Ended { end: AttemptEnd::Done, text, .. } if record.owner != TaskOwner::Service => {
                self.mark_started(task);
                let (outcome, phase) = (AttemptOutcome::Done, TaskPhase::Done);
                effects.changes.push(StateChange::TaskEnded { task, attempt: next, outcome, phase });
                self.finish_task(task, phase, truncate(text, MAX_RESULT_BYTES), effects);
                true
            }
            _ => false,
        }
    }

    fn record_attempt_end(&mut self, task: TaskId, end: AttemptEnd, text: &str, effects: &mut CommandEffects) {
        let outcome = match end {
            AttemptEnd::Done => AttemptOutcome::Done,
            AttemptEnd::Failed => AttemptOutcome::Failed,
            AttemptEnd::Stopped => AttemptOutcome::Evicted,
            AttemptEnd::NotStarted => AttemptOutcome::NotStarted,
        };
        if end == AttemptEnd::Failed
            && let Some(record) = self.tasks.get_mut(&task)
        {
            record.record_failure(text);
        }
        if end != AttemptEnd::NotStarted {
            self.mark_started(task);
        }
        let text = if end == AttemptEnd::NotStarted { "" } else { truncate(text, MAX_RESULT_BYTES) };
        self.end_attempt(task, outcome, text, effects);
    }

    fn confirm_start(&mut self, task: TaskId, effects: &mut CommandEffects) -> bool {
        let now = self.now;
        let record = self.tasks.get_mut(&task).expect("the task is live");
        if record.phase != TaskPhase::Starting {
            return false;
        }
        record.running_since = now;
        let (attempt, owner, service) = (record.attempt, record.owner, record.service.clone());
        self.set_phase(task, TaskPhase::Running);
        effects.changes.push(StateChange::TaskRunning { task, attempt });
        match owner {
            TaskOwner::Job(_) => self.mark_started(task),
            TaskOwner::Service => self.retire_predecessors(task, &service, effects),
        }
        true
    }

    fn mark_started(&mut self, task: TaskId) {
        if let Some(TaskOwner::Job(number)) = self.tasks.get(&task).map(|record| record.owner)
            && let Some(job) = self.jobs.get_mut(number)
        {
            job.started = true;
        }
    }
}

/// Returns true if a report that does not list an attempt proves that its worker does not run it.
///
/// The worker must have handled a response that was written after the task entered its current phase. It then ignores
/// every earlier response, and a later one orders a start only in phase `Starting`.
pub(crate) fn proves_absence(record: &TaskRecord, echo: u64) -> bool {
    matches!(record.phase, TaskPhase::Running | TaskPhase::Stopping) && echo >= record.entered
}
