//! Queries of the state.

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

/// The tasks that a job's status lists at most.
const LISTED_TASKS: u64 = 100;

/// Queries.
impl ControlState {
    /// Returns the number of commands applied.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the state's clock, the largest time of an applied command.
    #[must_use]
    pub const fn now(&self) -> StateTime {
        self.now
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> Option<&AcceptedConfiguration> {
        self.configuration.as_ref()
    }

    /// Returns the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.as_ref().map_or(ConfigurationVersion::new(0), |configuration| configuration.version)
    }

    /// Returns the stored answer to an operator's operation.
    #[must_use]
    pub fn operation(&self, operation: &OperationId) -> Option<&OperationAnswer> {
        self.operations.answer(operation).map(|(_, answer)| answer)
    }

    /// Finds a service of the configuration in force.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.configuration.as_ref()?.catalog.service(name)
    }

    /// Finds a team of the configuration in force.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.configuration.as_ref()?.catalog.team(name)
    }

    /// Returns an availability zone; one that is not known yet is in service and empty.
    #[must_use]
    pub fn zone(&self, name: &ZoneName) -> ZoneState {
        self.zones.get(name).copied().unwrap_or_default()
    }

    /// Returns all zones in which a worker has ever registered, by name.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneState)> {
        self.zones.iter()
    }

    /// Returns the zones as the interface shows them.
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

    /// Returns the number of tasks in each phase.
    #[must_use]
    pub const fn task_counts(&self) -> TaskCounts {
        self.counts
    }

    /// Finds a worker.
    #[must_use]
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(self.numbers.get(worker)?)
    }

    /// Finds a worker by its registration.
    #[must_use]
    pub fn registration(&self, number: WorkerNumber) -> Option<&WorkerRecord> {
        self.workers.get(&number)
    }

    /// Returns all workers, in the order of their registration.
    #[must_use]
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &WorkerRecord> {
        self.workers.values()
    }

    /// Finds a task that has not ended.
    #[must_use]
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task).map(AsRef::as_ref)
    }

    /// Returns all tasks that have not ended, by id.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRecord> {
        self.tasks.values().map(AsRef::as_ref)
    }

    /// Returns the instance that takes the place of another once it runs.
    #[must_use]
    pub fn successor(&self, task: TaskId) -> Option<TaskId> {
        self.successors.get(&task).copied()
    }

    /// Returns the tasks that hold capacity on a worker, by id.
    pub fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskRecord> {
        let tasks = self.worker(worker).map_or(&[][..], |record| &record.tasks);
        tasks.iter().filter_map(|task| self.task(*task))
    }

    /// Finds a job.
    #[must_use]
    pub fn job(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(self.jobs.number(key)?)
    }

    /// Finds the job of a task.
    #[must_use]
    pub fn job_by_number(&self, number: JobNumber) -> Option<&JobRecord> {
        self.jobs.get(number)
    }

    /// Returns the number of jobs that are kept, and of cancels that wait for theirs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of cancels that wait for their job.
    #[must_use]
    pub fn waiting_cancels(&self) -> usize {
        self.jobs.waiting_cancels()
    }

    /// Finds the claim of a request key.
    #[must_use]
    pub fn claim(&self, key: &RequestKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// Returns the number of claims that are kept.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of stored operations.
    #[must_use]
    pub fn operation_count(&self) -> usize {
        self.operations.len()
    }

    /// Returns where a job stands, with its first 100 tasks.
    #[must_use]
    pub fn job_status(&self, key: &JobKey) -> Option<JobStatus> {
        let job = self.job(key)?;
        let end = job.first.get() + LISTED_TASKS.min(u64::from(job.count));
        let live = self.tasks.range(job.first..TaskId::new(end)).map(|(_, record)| self.task_status(record));
        let ended = job.ends.iter().filter(|it| it.task.get() < end).map(|it| TaskStatus {
            task: it.task,
            attempt: it.attempt,
            phase: it.phase,
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

    /// Returns the results of a job that has ended; `None` for an unknown job and one that has not.
    ///
    /// The list is empty when the job was cancelled before it arrived or its results were dropped, see
    /// [`JobRecord::results_dropped`].
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

    /// Returns the changes that lead from an empty state to this one, for whoever rebuilds an index after a snapshot.
    ///
    /// Jobs and claims are left out; a task that is placed is first queued under its present attempt.
    pub fn events_for_restart(&self) -> impl Iterator<Item = StateChange> {
        let configuration =
            self.configuration.iter().map(|it| StateChange::ConfigurationChanged { version: it.version });
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
        let tasks = self.tasks().flat_map(|record| self.task_events(record));
        configuration.chain(zones).chain(workers).chain(tasks)
    }

    fn task_events(&self, record: &TaskRecord) -> impl Iterator<Item = StateChange> + use<> {
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

    /// Describes a task as waiting, under the attempt that a start has to name or that is under way.
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

    /// Returns the attempt that a start of a queued task has to name.
    #[must_use]
    pub fn next_attempt(&self, task: TaskId) -> Option<AttemptNumber> {
        self.task(task).filter(|record| record.phase == TaskPhase::Queued).map(|record| record.attempt.next())
    }
}
