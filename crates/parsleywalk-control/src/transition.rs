//! Transitions of tasks between phases.

use parsleywalk_api::TaskPhase;
use parsleywalk_units::{AttemptNumber, ResourceSize, StateTime, TaskId};

use crate::state::{CommandEffects, CommandResult};
use crate::task::{MAX_REASON_BYTES, truncate};
use crate::{
    AttemptOutcome, CommandRefusal, ControlReply, ControlState, EvictionReason, StateChange, StopReason, TaskEnd,
    TaskOwner, TaskRecord, WorkerNumber,
};

/// Commands.
impl ControlState {
    pub(crate) fn start_task(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        worker: WorkerNumber,
        size: ResourceSize,
        effects: &mut CommandEffects,
    ) -> CommandResult {
        self.check_start(task, attempt, worker, size)?;
        let record = self.tasks.get_mut(&task).expect("the task was just checked");
        record.attempt = attempt;
        record.worker = Some(worker);
        record.size = size;
        if let Some(history) = &mut record.history {
            history.resumed = history.saved;
        }
        let worker_record = self.workers.get_mut(&worker).expect("the worker was just checked");
        worker_record.allocate(task, &size);
        let id = worker_record.id.clone();
        self.allocate_quota(task, size);
        self.set_phase(task, TaskPhase::Starting);
        effects.changes.push(StateChange::TaskPlaced { task, attempt, worker: id, size });
        Ok(ControlReply::Accepted)
    }

    fn check_start(
        &self,
        task: TaskId,
        attempt: AttemptNumber,
        worker: WorkerNumber,
        size: ResourceSize,
    ) -> Result<(), CommandRefusal> {
        let Some(record) = self.tasks.get(&task) else {
            return Err(CommandRefusal::UnknownTask { task });
        };
        if record.phase != TaskPhase::Queued {
            return Err(CommandRefusal::WrongPhase { task, phase: record.phase });
        }
        let expected = record.attempt.next();
        if attempt != expected {
            return Err(CommandRefusal::WrongAttempt { task, attempt, expected });
        }
        let Some(worker_record) = self.workers.get(&worker) else {
            return Err(CommandRefusal::UnknownRegistration { worker });
        };
        if !self.zone(&worker_record.zone).in_service {
            return Err(CommandRefusal::ZoneOut { zone: worker_record.zone.clone() });
        }
        if !record.declared.fits_within(&size) {
            return Err(CommandRefusal::SizeBelowDeclared { task, size, declared: record.declared });
        }
        if !size.fits_within(&worker_record.free()) {
            return Err(CommandRefusal::CapacityExceeded {
                worker: worker_record.id.clone(),
                size,
                free: worker_record.free(),
            });
        }
        self.check_quota(record, size)
    }

    pub(crate) fn evict_task(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        reason: EvictionReason,
        effects: &mut CommandEffects,
    ) -> CommandResult {
        let Some(record) = self.tasks.get(&task) else {
            return Err(CommandRefusal::UnknownTask { task });
        };
        if record.attempt != attempt {
            return Err(CommandRefusal::WrongAttempt { task, attempt, expected: record.attempt });
        }
        if !matches!(record.phase, TaskPhase::Starting | TaskPhase::Running) {
            return Err(CommandRefusal::WrongPhase { task, phase: record.phase });
        }
        self.stop_task(task, StopReason::Evicted(reason), effects);
        Ok(ControlReply::Accepted)
    }

    pub(crate) fn fail_task(&mut self, task: TaskId, reason: &str, effects: &mut CommandEffects) -> CommandResult {
        let Some(record) = self.tasks.get(&task) else {
            return Err(CommandRefusal::UnknownTask { task });
        };
        if record.owner == TaskOwner::Service {
            return Err(CommandRefusal::WrongKind { task });
        }
        if record.phase != TaskPhase::Queued {
            return Err(CommandRefusal::WrongPhase { task, phase: record.phase });
        }
        let mut reasons: Vec<_> = record.reasons().collect();
        reasons.push(truncate(reason, MAX_REASON_BYTES));
        let text = reasons.join("; ");
        let attempt = record.attempt.next();
        effects.changes.push(StateChange::TaskEnded {
            task,
            attempt,
            outcome: AttemptOutcome::Failed,
            phase: TaskPhase::Failed,
        });
        self.finish_task(task, TaskPhase::Failed, &text, effects);
        Ok(ControlReply::Accepted)
    }

    /// Stops a placed task, or ends a queued one at once.
    pub(crate) fn stop_task(&mut self, task: TaskId, reason: StopReason, effects: &mut CommandEffects) {
        let record = self.tasks.get_mut(&task).expect("the task is live");
        let attempt = record.attempt;
        match record.phase {
            TaskPhase::Queued => {
                effects.changes.push(StateChange::TaskEnded {
                    task,
                    attempt: attempt.next(),
                    outcome: AttemptOutcome::Cancelled,
                    phase: TaskPhase::Cancelled,
                });
                self.remove_instance(task, effects);
                self.finish_task(task, TaskPhase::Cancelled, "", effects);
            }
            TaskPhase::Starting | TaskPhase::Running => {
                record.stop = Some(reason);
                self.set_phase(task, TaskPhase::Stopping);
                effects.changes.push(StateChange::TaskStopping { task, attempt });
                self.remove_instance(task, effects);
            }
            // The last reason decides what follows the stop: a cancelled task is not queued again.
            _ => record.stop = Some(reason),
        }
    }

    /// Ends the current attempt, which no longer runs, and queues the task again if it needs another attempt.
    pub(crate) fn end_attempt(
        &mut self,
        task: TaskId,
        outcome: AttemptOutcome,
        text: &str,
        effects: &mut CommandEffects,
    ) {
        let record = &self.tasks[&task];
        let attempt = record.attempt;
        let phase = self.phase_after(record, outcome);
        self.release(task);
        let outcome = match (phase, outcome) {
            (TaskPhase::Cancelled, AttemptOutcome::Evicted | AttemptOutcome::NotStarted) => AttemptOutcome::Cancelled,
            _ => outcome,
        };
        effects.changes.push(StateChange::TaskEnded { task, attempt, outcome, phase });
        if phase == TaskPhase::Queued {
            self.requeue(task, effects);
        } else {
            self.remove_instance(task, effects);
            self.finish_task(task, phase, text, effects);
        }
    }

    /// Returns the phase of a task after an attempt has ended.
    fn phase_after(&self, record: &TaskRecord, outcome: AttemptOutcome) -> TaskPhase {
        match record.owner {
            TaskOwner::Job(_) if outcome == AttemptOutcome::Done => TaskPhase::Done,
            TaskOwner::Job(number) if self.jobs.get(number).is_some_and(|job| job.cancelled) => TaskPhase::Cancelled,
            TaskOwner::Job(_) => TaskPhase::Queued,
            TaskOwner::Service => {
                let is_active = self.instances.set(&record.service).is_some_and(|set| set.active.contains(&record.id));
                match outcome {
                    // A lost instance is replaced by a new task.
                    AttemptOutcome::Lost => TaskPhase::Failed,
                    _ if is_active => TaskPhase::Queued,
                    _ => TaskPhase::Cancelled,
                }
            }
        }
    }

    fn requeue(&mut self, task: TaskId, effects: &mut CommandEffects) {
        let record = &self.tasks[&task];
        let declared = match record.owner {
            TaskOwner::Service => self.service(&record.service).map_or(record.declared, |entry| entry.size),
            TaskOwner::Job(_) => record.declared,
        };
        self.set_phase(task, TaskPhase::Queued);
        let record = self.tasks.get_mut(&task).expect("the task is live");
        record.worker = None;
        record.stop = None;
        record.running_since = StateTime::default();
        record.declared = declared;
        record.size = declared;
        self.push_queued(task, effects);
    }

    /// Removes a task that needs no further attempt.
    pub(crate) fn finish_task(&mut self, task: TaskId, phase: TaskPhase, text: &str, effects: &mut CommandEffects) {
        let record = self.tasks.remove(&task).expect("the task is live");
        let zone = record.worker.and_then(|number| self.workers.get(&number)).map(|worker| worker.zone.clone());
        self.recount(record.phase, phase, zone.as_ref());
        if let TaskOwner::Job(number) = record.owner {
            let end = TaskEnd { task, attempt: record.attempt, phase, text: text.into() };
            self.record_end(number, end, effects);
        }
    }

    /// Releases the resources allocated for an attempt.
    fn release(&mut self, task: TaskId) {
        let record = &self.tasks[&task];
        let (size, number) = (record.size, record.worker);
        if let Some(worker) = number.and_then(|number| self.workers.get_mut(&number)) {
            worker.release(task, &size);
        }
        self.release_quota(task, size);
    }
}
