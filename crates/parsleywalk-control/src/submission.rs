//! Submission and cancellation of jobs.

use parsleywalk_api::{JobPhase, TaskPhase};
use parsleywalk_catalog::ServiceEntry;
use parsleywalk_units::{JobKey, TaskClass, TaskId};

use crate::job::ContentDigest;
use crate::job_table::MAX_PENDING_CANCELS;
use crate::state::{CommandEffects, CommandResult, MAX_TASKS};
use crate::{
    CommandRefusal, ControlReply, ControlState, JobField, JobNumber, JobRecord, JobSpec, StateChange, StopReason,
    TaskEnd, TaskOwner,
};

/// The maximum number of tasks of one job.
const MAX_TASKS_PER_JOB: u32 = 10_000;
/// The maximum length of a job's arguments.
const MAX_ARGUMENT_BYTES: usize = 4096;

/// Commands.
impl ControlState {
    pub(crate) fn submit_job(&mut self, key: &JobKey, job: &JobSpec, effects: &mut CommandEffects) -> CommandResult {
        let contents = ContentDigest::of(job);
        if let Some(record) = self.job(key) {
            return if record.contents == contents {
                Ok(ControlReply::Job { phase: record.phase(), created: false })
            } else {
                Err(CommandRefusal::JobDiffers { key: key.clone() })
            };
        }
        let entry = self.check_job(key, job)?;
        let (service, urgent) = (entry.name.clone(), job.urgent || entry.urgent);
        // The key shares the text of the team's name with the configuration, to save memory.
        let team = self.team(&key.team).map_or_else(|| key.team.clone(), |team| team.name.clone());
        let size = job.size.unwrap_or(entry.size);
        let cancelled = self.jobs.take_pending_cancel(key, self.now);
        let number = self.jobs.insert(JobRecord {
            key: JobKey { team, key: key.key.clone() },
            service: service.clone(),
            first: TaskId::new(self.next_task + 1),
            count: job.count,
            urgent,
            arguments: job.arguments.as_str().into(),
            contents,
            live: if cancelled { 0 } else { job.count },
            started: false,
            cancelled,
            failures: 0,
            ended_at: None,
            ends: Vec::new(),
            trimmed: false,
        });
        if cancelled {
            // The task ids are assigned all the same, so that the id ranges of two jobs never overlap.
            self.next_task += u64::from(job.count);
            self.end_job(number, effects);
        } else {
            for _ in 0..job.count {
                self.create_task(TaskOwner::Job(number), service.clone(), size, effects);
            }
        }
        let phase = self.jobs.get(number).map_or(JobPhase::Queued, JobRecord::phase);
        Ok(ControlReply::Job { phase, created: true })
    }

    fn check_job(&self, key: &JobKey, job: &JobSpec) -> Result<&ServiceEntry, CommandRefusal> {
        let out_of_range = |field, found| Err(CommandRefusal::JobOutOfRange { field, found });
        if job.count == 0 || job.count > MAX_TASKS_PER_JOB {
            return out_of_range(JobField::Count, u64::from(job.count));
        }
        if job.arguments.len() > MAX_ARGUMENT_BYTES {
            return out_of_range(JobField::Arguments, job.arguments.len() as u64);
        }
        let Some(entry) = self.service(&job.service) else {
            return Err(CommandRefusal::UnknownService { service: job.service.clone() });
        };
        if entry.class != TaskClass::Batch {
            return Err(CommandRefusal::NotBatch { service: job.service.clone() });
        }
        if self.team(&key.team).is_none() {
            return Err(CommandRefusal::UnknownTeam { team: key.team.clone() });
        }
        self.check_task_limit(u64::from(job.count))?;
        Ok(entry)
    }

    pub(crate) fn check_task_limit(&self, added: u64) -> Result<(), CommandRefusal> {
        let asked = self.tasks.len() as u64 + added;
        if asked > MAX_TASKS { Err(CommandRefusal::TooManyTasks { asked, limit: MAX_TASKS }) } else { Ok(()) }
    }

    /// Cancels all tasks of a job, or keeps the cancel for a job that has not arrived yet.
    pub(crate) fn cancel_job(&mut self, key: &JobKey, effects: &mut CommandEffects) -> CommandResult {
        let Some(number) = self.jobs.number(key) else {
            return if self.jobs.add_pending_cancel(key.clone(), self.now) {
                Ok(ControlReply::Cancelled { phase: None })
            } else {
                Err(CommandRefusal::TooManyCancels { limit: MAX_PENDING_CANCELS })
            };
        };
        let record = self.jobs.get_mut(number).expect("the number was just found");
        if record.live > 0 && !record.cancelled {
            record.cancelled = true;
            for task in record.task_ids() {
                if self.tasks.contains_key(&task) {
                    self.stop_task(task, StopReason::Cancelled, effects);
                }
            }
        }
        Ok(ControlReply::Cancelled { phase: self.jobs.get(number).map(JobRecord::phase) })
    }

    /// Records the result of one task of a job, and the end of the job with its last task.
    pub(crate) fn record_end(&mut self, number: JobNumber, end: TaskEnd, effects: &mut CommandEffects) {
        let record = self.jobs.get_mut(number).expect("a job is kept as long as it has live tasks");
        assert!(record.live > 0, "job {} has no live task but task {} ended", record.key, end.task);
        record.live -= 1;
        record.failures += u32::from(end.phase == TaskPhase::Failed);
        record.ends.push(end);
        if record.live == 0 {
            self.end_job(number, effects);
        }
    }

    fn end_job(&mut self, number: JobNumber, effects: &mut CommandEffects) {
        self.jobs.end(number, self.now);
        if let Some(record) = self.jobs.get(number) {
            effects.changes.push(StateChange::JobEnded { job: record.key.clone(), phase: record.phase() });
        }
    }
}
