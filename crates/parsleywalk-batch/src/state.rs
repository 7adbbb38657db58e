//! The replicated state machine.

use std::sync::Arc;

use parsleywalk_units::{Incarnation, ResourceSize, WorkerId, WorkspaceName, ZoneDirection, ZoneName};
use serde::{Deserialize, Serialize};

use crate::error::{decode_prefix, encode};
use crate::snapshot_extension::{self, SnapshotExtension};
use crate::workspace_allocations::WorkspaceAllocations;
use crate::{
    BatchCommand, EndNumber, JobId, JobRecord, JobStatus, JobSubmission, QueueConfiguration, Result, RunEnd, RunNumber,
    RunOutcome, RunPlacement, SortedMap, StepSpec, TaskKey, WorkspaceConfiguration,
};

/// The runs placed on a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The incarnation that the runs belong to.
    pub incarnation: Incarnation,
    /// The highest end number that is recorded.
    pub settled: EndNumber,
    /// The placed runs.
    pub runs: SortedMap<TaskKey, PlacedRun>,
    /// The resources allocated to the runs; best-effort runs are allocated no cores.
    #[serde(rename = "committed")]
    pub allocated: ResourceSize,
    /// The cores of the best-effort runs, which are not part of `allocated`.
    #[serde(rename = "filling")]
    pub best_effort_cores: parsleywalk_units::MilliCores,
    /// Incremented with each change of the runs.
    pub version: u64,
}

/// A run placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRun {
    /// The run number.
    pub run: RunNumber,
    /// The resources that the task needs.
    pub size: ResourceSize,
    /// Whether the run is best-effort, so that its cores are not allocated.
    #[serde(rename = "filling")]
    pub best_effort: bool,
    /// The workspace whose allocation includes the run. It stays when the job is removed while the run goes on.
    #[serde(skip)]
    pub workspace: Option<WorkspaceName>,
}

impl WorkerRecord {
    /// Returns the record of a new incarnation without runs.
    fn for_incarnation(&self, incarnation: Incarnation) -> Self {
        Self { incarnation, version: self.version + 1, ..Self::default() }
    }

    fn add(&mut self, task: TaskKey, entry: PlacedRun) {
        if entry.best_effort {
            self.best_effort_cores =
                self.best_effort_cores.checked_add(entry.size.cores).unwrap_or(self.best_effort_cores);
        }
        let allocation = entry.allocation();
        self.allocated = self.allocated.checked_add(&allocation).unwrap_or(self.allocated);
        self.version += 1;
        self.runs.insert(task, entry);
    }

    /// Removes a run and returns its entry, or `None` if the run is not on the worker.
    fn remove(&mut self, task: &TaskKey, run: RunNumber) -> Option<PlacedRun> {
        if self.runs.get(task).is_none_or(|entry| entry.run != run) {
            return None;
        }
        let entry = self.runs.remove(task)?;
        if entry.best_effort {
            self.best_effort_cores = self.best_effort_cores.saturating_sub(entry.size.cores);
        }
        self.allocated = self.allocated.saturating_sub(&entry.allocation());
        self.version += 1;
        Some(entry)
    }
}

impl PlacedRun {
    /// Returns the resources allocated to the run on its worker.
    fn allocation(&self) -> ResourceSize {
        let cores = if self.best_effort { parsleywalk_units::MilliCores::default() } else { self.size.cores };
        ResourceSize { cores, ..self.size }
    }
}

/// The result of applying a caller's or an operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchReply {
    /// The command has taken effect, now or when an earlier copy of it was applied.
    Done,
    /// The job does not exist.
    NoJob,
}

/// The replicated state: configuration, zones, jobs and the runs placed on each worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchState {
    configuration: Option<Arc<QueueConfiguration>>,
    zones_out: SortedMap<ZoneName, ()>,
    jobs: SortedMap<JobId, JobRecord>,
    workers: SortedMap<WorkerId, WorkerRecord>,
    /// The number of jobs stored so far, from which each job gets its sequence number.
    submitted: u64,
    /// The jobs that are not final.
    active: SortedMap<JobId, ()>,
    /// The workspaces of the configuration with their version. Snapshots hold them in their extension.
    #[serde(skip)]
    workspaces: Option<Arc<WorkspaceConfiguration>>,
    /// The resources allocated to the placed runs of each workspace.
    #[serde(skip)]
    workspace_allocations: WorkspaceAllocations,
    /// The jobs that became final since the last call of `take_newly_ended`.
    #[serde(skip)]
    newly_ended: Vec<(JobId, JobStatus)>,
}

/// Read-only methods.
impl BatchState {
    /// Returns the active configuration.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<QueueConfiguration>> {
        self.configuration.as_ref()
    }

    /// Returns the workspaces of the active configuration, or `None` if it has none and every call is permitted.
    #[must_use]
    pub fn workspaces(&self) -> Option<&Arc<WorkspaceConfiguration>> {
        self.workspaces.as_ref()
    }

    /// Returns true if the state shows that a command of release 2 was applied, so that every replica supports them.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.workspaces.is_some() || self.jobs.iter().any(|(_, record)| record.workspace.is_some())
    }

    /// Returns the resources allocated to the placed runs of a workspace. Best-effort runs count with their cores.
    #[must_use]
    pub fn workspace_allocation(&self, workspace: &WorkspaceName) -> ResourceSize {
        self.workspace_allocations.allocated(workspace)
    }

    /// Returns true if operators have taken the zone out of service.
    #[must_use]
    pub fn is_out_of_service(&self, zone: &ZoneName) -> bool {
        self.zones_out.contains(zone)
    }

    /// Returns the record of a job.
    #[must_use]
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Returns all jobs, in the order of their ids.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(job, record)| (*job, record))
    }

    /// Returns the jobs that are not final, in the order of their ids.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.active.iter().filter_map(|(job, ())| Some((*job, self.jobs.get(job)?)))
    }

    /// Returns the jobs that are final, in the order of their ids.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().filter(|(_, record)| record.status.is_final()).map(|(job, record)| (*job, record))
    }

    /// Returns true if the job is known and not final.
    #[must_use]
    pub fn is_active(&self, job: JobId) -> bool {
        self.active.contains(&job)
    }

    /// Returns the number of jobs that are not final.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns the record of a worker.
    #[must_use]
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(worker)
    }

    /// Returns the number of workers that runs have been placed on.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the records of all workers.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.workers.iter()
    }

    /// Returns the job of a task and the specification of its step, if the job is known.
    #[must_use]
    pub fn step_of(&self, task: &TaskKey) -> Option<(&JobRecord, &StepSpec)> {
        let record = self.jobs.get(&task.job)?;
        Some((record, record.step_spec(task.step)?))
    }

    /// Returns true if the task still has to run: its job is not final and the task is not done.
    #[must_use]
    pub fn is_unfinished(&self, task: &TaskKey) -> bool {
        let record = self.jobs.get(&task.job).filter(|record| !record.status.is_final());
        record.and_then(|record| record.task(task)).is_some_and(|task| !task.done)
    }

    /// Encodes the state as a snapshot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        bytes.extend(SnapshotExtension::of(self).iter().flat_map(SnapshotExtension::encode));
        bytes
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (mut state, used): (Self, usize) = decode_prefix("snapshot", bytes)?;
        if used < bytes.len() {
            state.extend(SnapshotExtension::decode(&bytes[used..])?)?;
        }
        Ok(state)
    }

    /// Sets the owners of jobs and runs and the active workspaces of a decoded state.
    fn extend(&mut self, extension: SnapshotExtension) -> Result<()> {
        let active = self.configuration.as_ref().map(|configuration| configuration.version);
        if let Some(workspaces) = extension.workspaces {
            if active != Some(workspaces.version) {
                let reason = format!("the workspaces of version {} are not those of {active:?}", workspaces.version);
                return Err(snapshot_extension::error(reason));
            }
            self.workspaces = Some(workspaces);
        }
        for (workspace, jobs) in extension.jobs {
            for job in jobs {
                let record = self.jobs.get_mut(&job).filter(|record| record.workspace.is_none());
                let unknown = || snapshot_extension::error(format!("{job} has no record or two owners"));
                record.ok_or_else(unknown)?.workspace = Some(workspace.clone());
            }
        }
        for (_, worker_record) in self.workers.iter_mut() {
            for (task, run) in worker_record.runs.iter_mut() {
                run.workspace = self.jobs.get(&task.job).and_then(|record| record.workspace.clone());
            }
        }
        for (worker, task, workspace) in extension.runs {
            let run = self.workers.get_mut(&worker).and_then(|worker_record| worker_record.runs.get_mut(&task));
            run.ok_or_else(|| snapshot_extension::error(format!("{worker} has no run of {task}")))?.workspace =
                workspace;
        }
        for run in self.workers.iter().flat_map(|(_, worker_record)| worker_record.runs.iter().map(|(_, run)| run)) {
            self.workspace_allocations.charge(run.workspace.as_ref(), &run.size);
        }
        Ok(())
    }
}

/// Methods that change the state.
impl BatchState {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &BatchCommand) -> BatchReply {
        match command {
            BatchCommand::Configure(configuration) => self.configure(configuration),
            BatchCommand::SetZone { zone, direction } => {
                match direction {
                    ZoneDirection::Out => self.zones_out.insert(zone.clone(), ()),
                    ZoneDirection::In => self.zones_out.remove(zone),
                };
                BatchReply::Done
            }
            BatchCommand::Submit(submission) => self.submit(submission, None),
            BatchCommand::Cancel { job } => self.cancel(*job),
            BatchCommand::Settle { worker, incarnation, ends } => self.settle(worker, *incarnation, ends),
            BatchCommand::Place { runs } => {
                for placement in runs {
                    self.place(placement);
                }
                BatchReply::Done
            }
            BatchCommand::Lose { worker, incarnation, saved } => self.lose(worker, *incarnation, saved),
            BatchCommand::Withdraw { worker, incarnation, runs } => self.withdraw(worker, *incarnation, runs),
            BatchCommand::Forget { jobs } => {
                self.jobs.retain(|job, record| !record.status.is_final() || jobs.binary_search(job).is_err());
                BatchReply::Done
            }
            BatchCommand::ConfigureWorkspaces(workspaces) => self.configure_workspaces(workspaces),
            BatchCommand::SubmitOwned { submission, workspace } => self.submit(submission, Some(workspace.clone())),
        }
    }

    /// Returns the jobs that became final since the last call.
    pub fn take_newly_ended(&mut self) -> Vec<(JobId, JobStatus)> {
        std::mem::take(&mut self.newly_ended)
    }

    fn configure(&mut self, configuration: &QueueConfiguration) -> BatchReply {
        if self.configuration.as_ref().is_none_or(|current| current.version < configuration.version) {
            self.configuration = Some(Arc::new(configuration.clone()));
            self.workspaces = None;
        }
        BatchReply::Done
    }

    /// Activates the workspaces of the active configuration. Once a version has workspaces, they do not change, as the
    /// configuration of a version does not.
    fn configure_workspaces(&mut self, workspaces: &WorkspaceConfiguration) -> BatchReply {
        let active = self.configuration.as_ref().map(|configuration| configuration.version);
        if active == Some(workspaces.version) && self.workspaces.is_none() {
            self.workspaces = Some(Arc::new(workspaces.clone()));
        }
        BatchReply::Done
    }

    fn submit(&mut self, submission: &JobSubmission, workspace: Option<WorkspaceName>) -> BatchReply {
        if !self.jobs.contains(&submission.job) {
            self.submitted += 1;
            let record = JobRecord::new(Arc::new(submission.clone()), self.submitted);
            let record = JobRecord { workspace, ..record };
            self.jobs.insert(submission.job, record);
            self.active.insert(submission.job, ());
        }
        BatchReply::Done
    }

    fn cancel(&mut self, job: JobId) -> BatchReply {
        let Some(record) = self.jobs.get(&job) else { return BatchReply::NoJob };
        if !record.status.is_final() {
            self.end_job(job, JobStatus::Cancelled);
        }
        BatchReply::Done
    }

    fn end_job(&mut self, job: JobId, status: JobStatus) {
        if let Some(record) = self.jobs.get_mut(&job) {
            record.status = status;
        }
        self.active.remove(&job);
        self.newly_ended.push((job, status));
    }

    fn place(&mut self, placement: &RunPlacement) {
        let RunPlacement { task, run, worker, incarnation } = placement;
        let Some(record) = self.jobs.get_mut(&task.job).filter(|record| !record.status.is_final()) else { return };
        let Some(spec) = record.step_spec(task.step).cloned() else { return };
        let worker_record = self.workers.entry(worker.clone(), WorkerRecord::default);
        if worker_record.runs.is_empty() && worker_record.incarnation < *incarnation {
            *worker_record = worker_record.for_incarnation(*incarnation);
        }
        if worker_record.incarnation != *incarnation || worker_record.runs.contains(task) {
            return;
        }
        let Some(step) = record.step_mut(task) else { return };
        let Some(entry) = step.tasks.get_mut(task.index as usize) else { return };
        let may_start = entry.live == 0 || (spec.speculative && !spec.gang);
        if entry.done || !may_start || *run <= entry.last_run {
            return;
        }
        if entry.live == 0 {
            step.waiting -= 1;
        }
        entry.live += 1;
        entry.last_run = *run;
        let workspace = record.workspace.clone();
        self.workspace_allocations.charge(workspace.as_ref(), &spec.size);
        let entry = PlacedRun { run: *run, size: spec.size, best_effort: spec.best_effort, workspace };
        worker_record.add(*task, entry);
        if record.status == JobStatus::Pending {
            record.status = JobStatus::Running;
        }
    }

    fn settle(&mut self, worker: &WorkerId, incarnation: Incarnation, ends: &[RunEnd]) -> BatchReply {
        let worker_record = self.workers.entry(worker.clone(), WorkerRecord::default);
        if worker_record.incarnation < incarnation && worker_record.runs.is_empty() {
            *worker_record = worker_record.for_incarnation(incarnation);
        }
        if worker_record.incarnation != incarnation {
            return BatchReply::Done;
        }
        for end in ends {
            let Some(worker_record) = self.workers.get_mut(worker) else { break };
            if end.number <= worker_record.settled {
                continue;
            }
            worker_record.settled = end.number;
            // The end of a run that was already declared lost changes nothing.
            if let Some(entry) = worker_record.remove(&end.task, end.run) {
                self.workspace_allocations.refund(entry.workspace.as_ref(), &entry.size);
                self.end_run(&end.task, end.run, end.outcome, &end.saved);
            }
        }
        BatchReply::Done
    }

    fn lose(&mut self, worker: &WorkerId, incarnation: Incarnation, saved: &[(TaskKey, String)]) -> BatchReply {
        let Some(worker_record) =
            self.workers.get_mut(worker).filter(|worker_record| worker_record.incarnation == incarnation)
        else {
            return BatchReply::Done;
        };
        let next = WorkerRecord { settled: worker_record.settled, ..worker_record.for_incarnation(incarnation) };
        let lost = std::mem::replace(worker_record, next);
        for (task, entry) in lost.runs.iter() {
            let checkpoint = saved.iter().find(|(key, _)| key == task).map_or("", |(_, checkpoint)| checkpoint);
            self.workspace_allocations.refund(entry.workspace.as_ref(), &entry.size);
            self.end_run(task, entry.run, RunOutcome::LeaseLapsed, checkpoint);
        }
        BatchReply::Done
    }

    fn withdraw(&mut self, worker: &WorkerId, incarnation: Incarnation, runs: &[(TaskKey, RunNumber)]) -> BatchReply {
        for (task, run) in runs {
            let worker_record =
                self.workers.get_mut(worker).filter(|worker_record| worker_record.incarnation == incarnation);
            if let Some(entry) = worker_record.and_then(|worker_record| worker_record.remove(task, *run)) {
                self.workspace_allocations.refund(entry.workspace.as_ref(), &entry.size);
                self.end_run(task, *run, RunOutcome::Refused, "");
            }
        }
        BatchReply::Done
    }

    /// Records the end of a run that has been removed from its worker's record.
    fn end_run(&mut self, task: &TaskKey, run: RunNumber, outcome: RunOutcome, saved: &str) {
        let Some(record) = self.jobs.get_mut(&task.job) else { return };
        let attempt_limit = record.submission.attempt_limit;
        let Some(spec) = record.step_spec(task.step) else { return };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let Some(step) = record.step_mut(task) else { return };
        let Some(entry) = step.tasks.get_mut(task.index as usize) else { return };
        entry.live = entry.live.saturating_sub(1);
        if !saved.is_empty() {
            saved.clone_into(&mut entry.saved);
        }
        let mut failed = false;
        if outcome == RunOutcome::Failed && !entry.done {
            entry.failures += 1;
            failed = !long_running && entry.failures >= attempt_limit.max(1);
        }
        if outcome == RunOutcome::Done && !entry.done && !long_running {
            entry.done = true;
            step.done += 1;
        } else if !entry.done && entry.live == 0 {
            step.waiting += 1;
        }
        if gang {
            failed |= end_gang_run(step, run, outcome, attempt_limit);
        }
        if record.status.is_final() {
            return;
        }
        if failed {
            self.end_job(task.job, JobStatus::Failed);
        } else if record.is_complete() {
            self.end_job(task.job, JobStatus::Completed);
        }
    }
}

/// Applies the end of one gang member to the whole gang: if one completes, all are done; otherwise all share the newest
/// checkpoint and the sum of failures. Returns true if the gang has reached the queue's limit on failed runs.
fn end_gang_run(step: &mut crate::StepRecord, run: RunNumber, outcome: RunOutcome, attempt_limit: u16) -> bool {
    if outcome == RunOutcome::Done {
        for entry in &mut step.tasks {
            if !entry.done {
                entry.done = true;
                step.done += 1;
                if entry.live == 0 {
                    step.waiting -= 1;
                }
            }
        }
        return false;
    }
    let newest = step.tasks.iter().filter(|entry| entry.last_run == run).map(|entry| &entry.saved);
    let saved = newest.max().cloned().unwrap_or_default();
    let failures: u16 = step.tasks.iter().map(|entry| entry.failures).sum();
    for entry in &mut step.tasks {
        entry.saved.clone_from(&saved);
    }
    failures >= attempt_limit.max(1)
}
