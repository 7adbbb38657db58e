//! Queries of the control state.

use parsleywalk_api::{JobResult, JobStatus, TaskCounts, TaskPhase, TaskResult, TaskStatus, ZoneView};
use parsleywalk_catalog::{ServiceEntry, TeamEntry};
use parsleywalk_units::{
    AttemptNumber, ConfigurationVersion, JobKey, OperationId, RequestKey, ServiceName, StateTime, TaskClass, TaskId,
    TeamName, WorkerId, ZoneName,
};

use crate::{
    AcceptedConfiguration, ClaimRecord, ControlState, JobNumber, JobRecord, OperationAnswer, StateChange, TaskOwner,
    TaskRecord, WorkerNumber, WorkerRecord, ZoneState,
};

/// The maximum number of tasks in a job's status.
const MAX_LISTED_TASKS: u64 = 100;

/// Queries.
impl ControlState {
    /// Returns the number of commands applied so far, refused ones included.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the state's clock, which is the latest time of any applied command.
    #[must_use]
    pub const fn now(&self) -> StateTime {
        self.now
    }

    /// Returns the configuration in force; `None` before the first.
    #[must_use]
    pub const fn configuration(&self) -> Option<&AcceptedConfiguration> {
        self.configuration.as_ref()
    }

    /// Returns the version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.as_ref().map_or(ConfigurationVersion::new(0), |configuration| configuration.version)
    }

    /// Returns the stored answer to an operator's operation, while it is kept.
    #[must_use]
    pub fn operation(&self, operation: &OperationId) -> Option<&OperationAnswer> {
        self.operations.answer(operation).map(|(_, answer)| answer)
    }

    /// Returns a service of the configuration in force.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.configuration.as_ref()?.catalog.service(name)
    }

    /// Returns a team of the configuration in force.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.configuration.as_ref()?.catalog.team(name)
    }

    /// Returns the state of an availability zone. A zone that is not recorded yet is in service and empty.
    #[must_use]
    pub fn zone(&self, name: &ZoneName) -> ZoneState {
        self.zones.get(name).copied().unwrap_or_default()
    }

    /// Returns all recorded zones, sorted by name: those in which a worker has registered or that an operator has set.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneState)> {
        self.zones.iter()
    }

    /// Returns the zones in the form of the API.
    #[must_use]
    pub fn zone_views(&self) -> Vec<ZoneView> {
        let view = |(zone, state): (&ZoneName, &ZoneState)| ZoneView {
            zone: zone.clone(),
            in_service: state.in_service,
            workers: state.workers,
            tasks: state.tasks.starting + state.tasks.running + state.tasks.stopping,
        };
        self.zones.iter().map(view).collect()
    }

    /// Returns the number of live tasks in each phase.
    #[must_use]
    pub const fn task_counts(&self) -> TaskCounts {
        self.counts
    }

    /// Returns the registered worker with this id.
    #[must_use]
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(self.numbers.get(worker)?)
    }

    /// Returns the worker with this registration number.
    #[must_use]
    pub fn registration(&self, number: WorkerNumber) -> Option<&WorkerRecord> {
        self.workers.get(&number)
    }

    /// Returns all workers in the order of registration.
    #[must_use]
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &WorkerRecord> {
        self.workers.values()
    }

    /// Returns a live task; `None` if it has ended or never existed.
    #[must_use]
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task).map(AsRef::as_ref)
    }

    /// Returns all live tasks, sorted by id.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRecord> {
        self.tasks.values().map(AsRef::as_ref)
    }

    /// Returns the replacement of an instance, which stops once the replacement runs.
    #[must_use]
    pub fn successor(&self, task: TaskId) -> Option<TaskId> {
        self.successors.get(&task).copied()
    }

    /// Returns the tasks with resources allocated on a worker, sorted by id.
    pub fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskRecord> {
        let tasks = self.worker(worker).map_or(&[][..], |record| &record.tasks);
        tasks.iter().filter_map(|task| self.task(*task))
    }

    /// Returns a job that is live or ended recently.
    #[must_use]
    pub fn job(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(self.jobs.number(key)?)
    }

    /// Returns the job with this number, which the records of its tasks hold.
    #[must_use]
    pub fn job_by_number(&self, number: JobNumber) -> Option<&JobRecord> {
        self.jobs.get(number)
    }

    /// Returns the number of recorded jobs and pending cancels.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of cancels whose job has not arrived.
    #[must_use]
    pub fn pending_cancels(&self) -> usize {
        self.jobs.pending_cancels()
    }

    /// Returns the claim of a request key.
    #[must_use]
    pub fn claim(&self, key: &RequestKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// Returns the number of recorded claims.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of operations with a stored answer.
    #[must_use]
    pub fn operation_count(&self) -> usize {
        self.operations.len()
    }

    /// Returns a job's status with the first 100 of its tasks.
    #[must_use]
    pub fn job_status(&self, key: &JobKey) -> Option<JobStatus> {
        let job = self.job(key)?;
        let end = job.first.get() + MAX_LISTED_TASKS.min(u64::from(job.count));
        let live = self.tasks.range(job.first..TaskId::new(end)).map(|(_, record)| self.task_status(record));
        let ended = job.ends.iter().filter(|task_end| task_end.task.get() < end).map(|task_end| TaskStatus {
            task: task_end.task,
            attempt: task_end.attempt,
            phase: task_end.phase,
            worker: None,
        });
        let mut tasks: Vec<_> = live.chain(ended).collect();
        tasks.sort_by_key(|status| status.task);
        Some(JobStatus { job: key.clone(), phase: job.phase(), tasks, count: job.count })
    }

    fn task_status(&self, record: &TaskRecord) -> TaskStatus {
        let worker = record.worker.and_then(|number| self.workers.get(&number)).map(|worker| worker.id.clone());
        TaskStatus { task: record.id, attempt: record.attempt, phase: record.phase, worker }
    }

    /// Returns the results of an ended job; `None` if the job is unknown or has not ended.
    ///
    /// The list is empty if the job was cancelled before it arrived or if [`JobRecord::results_dropped`] is true.
    #[must_use]
    pub fn job_result(&self, key: &JobKey) -> Option<JobResult> {
        let job = self.job(key).filter(|job| job.ended_at.is_some())?;
        let result = |end: &crate::TaskEnd| TaskResult {
            task: end.task,
            attempt: end.attempt,
            phase: end.phase,
            text: end.text.to_string(),
        };
        Some(JobResult { job: key.clone(), phase: job.phase(), results: job.ends.iter().map(result).collect() })
    }

    /// Returns the changes that lead from an empty state to this one, for rebuilding an index after a snapshot.
    ///
    /// Changes of jobs and claims are left out. A placed task is first queued under its current attempt.
    pub fn replay_changes(&self) -> impl Iterator<Item = StateChange> {
        let configuration =
            self.configuration.iter().map(|current| StateChange::ConfigurationChanged { version: current.version });
        let zones = self
            .zones
            .iter()
            .map(|(zone, state)| StateChange::ZoneChanged { zone: zone.clone(), in_service: state.in_service });
        let workers = self.workers.values().map(|worker| StateChange::WorkerJoined {
            worker: worker.id.clone(),
            number: worker.number,
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity,
        });
        let tasks = self.tasks().flat_map(|record| self.task_replay_changes(record));
        configuration.chain(zones).chain(workers).chain(tasks)
    }

    fn task_replay_changes(&self, record: &TaskRecord) -> impl Iterator<Item = StateChange> + use<> {
        let (task, attempt) = (record.id, record.attempt);
        let worker = record.worker.and_then(|number| self.workers.get(&number));
        let placed = worker.map(|worker| StateChange::TaskPlaced {
            task,
            attempt,
            worker: worker.id.clone(),
            size: record.size,
        });
        let has_run = matches!(record.phase, TaskPhase::Running | TaskPhase::Stopping)
            && record.running_since != StateTime::default();
        let running = has_run.then_some(StateChange::TaskRunning { task, attempt });
        let stopping = (record.phase == TaskPhase::Stopping).then_some(StateChange::TaskStopping { task, attempt });
        [self.queued_change(record), placed, running, stopping].into_iter().flatten()
    }

    /// Returns the `TaskQueued` change of a task, with the attempt that the next start has to name or that was placed.
    pub(crate) fn queued_change(&self, record: &TaskRecord) -> Option<StateChange> {
        let entry = self.service(&record.service);
        let (team, class, urgent) = match record.owner {
            TaskOwner::Job(number) => {
                let job = self.jobs.get(number)?;
                (job.key.team.clone(), TaskClass::Batch, job.urgent)
            }
            TaskOwner::Service => (entry?.team.clone(), TaskClass::LatencyCritical, false),
        };
        let attempt = if record.phase == TaskPhase::Queued { record.attempt.next() } else { record.attempt };
        Some(StateChange::TaskQueued {
            task: record.id,
            attempt,
            service: record.service.clone(),
            team,
            class,
            size: record.declared,
            urgent,
            run_time: entry.and_then(|entry| entry.run_time),
            saved: record.saved(),
        })
    }

    /// Returns the attempt that the next start of a queued task has to name; `None` if the task is not queued.
    #[must_use]
    pub fn next_attempt(&self, task: TaskId) -> Option<AttemptNumber> {
        self.task(task).filter(|record| record.phase == TaskPhase::Queued).map(|record| record.attempt.next())
    }
}
