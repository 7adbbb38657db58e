//! The replicated state and the order in which a command is applied.

use std::collections::BTreeMap;

use parsleywalk_api::{TaskCounts, TaskPhase};
use parsleywalk_catalog::Catalog;
use parsleywalk_units::{
    ConfigurationVersion, OperationId, RequestKey, ResourceSize, ServiceName, StateTime, TaskId, TeamName, WorkerId,
    ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::claim::ClaimTable;
use crate::instance::InstanceTable;
use crate::job_table::JobTable;
use crate::operation::OperationLog;
use crate::zone::counter;
use crate::{
    Applied, CommandRefusal, ControlCommand, ControlReply, StateChange, TaskOwner, TaskRecord, WorkerNumber,
    WorkerRecord, ZoneState,
};

/// The tasks that have not ended and that the state holds at most: twice the projected number.
pub(crate) const TASK_LIMIT: u64 = 300_000;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedConfiguration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The operation that put it in force.
    pub operation: OperationId,
    /// The operators' text.
    pub text: String,
    /// The parsed text.
    pub catalog: Catalog,
}

/// All that the replicas agree on.
///
/// Equal sequences of commands give equal states on every replica: nothing but the commands goes in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    pub(crate) revision: u64,
    pub(crate) now: StateTime,
    pub(crate) configuration: Option<AcceptedConfiguration>,
    pub(crate) operations: OperationLog,
    pub(crate) zones: BTreeMap<ZoneName, ZoneState>,
    pub(crate) numbers: BTreeMap<WorkerId, WorkerNumber>,
    pub(crate) workers: BTreeMap<WorkerNumber, WorkerRecord>,
    pub(crate) next_worker: u32,
    pub(crate) next_task: u64,
    pub(crate) tasks: BTreeMap<TaskId, Box<TaskRecord>>,
    /// The instance that takes the place of another, by the one that leaves. There are few, so that the task records,
    /// of which there are many, do not hold it.
    pub(crate) successors: BTreeMap<TaskId, TaskId>,
    pub(crate) jobs: JobTable,
    pub(crate) claims: ClaimTable,
    /// What the batch tasks of each team hold.
    #[serde(skip)]
    pub(crate) held: BTreeMap<TeamName, ResourceSize>,
    #[serde(skip)]
    pub(crate) instances: InstanceTable,
    /// All tasks by phase.
    #[serde(skip)]
    pub(crate) counts: TaskCounts,
}

/// What a command changes beside the records: the changes to report and the services to bring to their number.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) changes: Vec<StateChange>,
    pub(crate) services: Vec<ServiceName>,
}

pub(crate) type Outcome = Result<ControlReply, CommandRefusal>;

/// Commands.
impl ControlState {
    /// Creates the state before the first command.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command of the log.
    ///
    /// The command is checked in full, whoever proposed it, and a refused command changes nothing but the revision and
    /// the clock.
    ///
    /// # Panics
    ///
    /// Panics when an invariant is broken, since no further answer of this replica could be trusted. Debug builds check
    /// every invariant after each command, release builds those that cost no scan.
    pub fn apply(&mut self, command: &ControlCommand) -> Applied {
        self.revision += 1;
        self.now = self.now.max(command.at());
        let mut effects = Effects::default();
        self.expire(&mut effects);
        let outcome = self.dispatch(command, &mut effects);
        self.reconcile_touched(&mut effects);
        let reply = outcome.unwrap_or_else(ControlReply::Refused);
        #[cfg(debug_assertions)]
        self.assert_invariants();
        Applied { reply, changes: effects.changes }
    }

    fn dispatch(&mut self, command: &ControlCommand, effects: &mut Effects) -> Outcome {
        match command {
            ControlCommand::ApplyConfiguration { operation, catalog, text, .. } => {
                Ok(self.apply_configuration(operation, catalog, text, effects))
            }
            ControlCommand::SetZone { operation, zone, direction, .. } => {
                Ok(self.set_zone(operation, zone, *direction, effects))
            }
            ControlCommand::RegisterWorker { worker, incarnation, zone, rack, capacity, .. } => {
                self.register_worker(worker, *incarnation, zone, rack, *capacity, effects)
            }
            ControlCommand::LoseWorker { worker, incarnation, .. } => self.lose_worker(worker, *incarnation, effects),
            ControlCommand::SubmitJob { key, job, .. } => self.submit_job(key, job, effects),
            ControlCommand::CancelJob { key, .. } => self.cancel_job(key, effects),
            ControlCommand::StartTask { task, attempt, worker, size, .. } => {
                self.start_task(*task, *attempt, *worker, *size, effects)
            }
            ControlCommand::RecordReport { worker, sequence, changes, .. } => {
                self.record_report(*worker, *sequence, changes, effects)
            }
            ControlCommand::EvictTask { task, attempt, reason, .. } => {
                self.evict_task(*task, *attempt, *reason, effects)
            }
            ControlCommand::ReplaceInstance { task, .. } => self.replace_instance(*task, effects),
            ControlCommand::FailTask { task, reason, .. } => self.fail_task(*task, reason, effects),
            ControlCommand::Claim { key, entry, claim, deadline, .. } => {
                // The service's text is shared with the configuration.
                let Some(service) = self.service(&key.service).map(|entry| entry.name.clone()) else {
                    return Err(CommandRefusal::UnknownService { service: key.service.clone() });
                };
                let key = RequestKey { service, key: key.key.clone() };
                let reply = self.claims.claim(self.now, &key, *entry, *claim, *deadline)?;
                effects.changes.push(StateChange::ClaimChanged { key });
                Ok(reply)
            }
            ControlCommand::SettleClaim { key, claim, outcome, .. } => {
                let reply = self.claims.settle(key, *claim, *outcome)?;
                effects.changes.push(StateChange::ClaimChanged { key: key.clone() });
                Ok(reply)
            }
        }
    }

    /// Drops what has been kept for its time.
    fn expire(&mut self, effects: &mut Effects) {
        for key in self.claims.expire(self.now) {
            effects.changes.push(StateChange::ClaimChanged { key });
        }
        self.jobs.expire(self.now);
    }

    #[cfg(debug_assertions)]
    fn assert_invariants(&self) {
        /// Below this number of records every command is checked; above it the checks get rarer with the square, so
        /// that large tests finish.
        const CHECKED_EACH_TIME: usize = 500;
        let records = self.tasks.len() + self.job_count() + self.claims.len() + self.operations.len();
        let interval = 1 + ((records / CHECKED_EACH_TIME) as u64).pow(2);
        if self.revision.is_multiple_of(interval)
            && let Err(error) = self.check_invariants()
        {
            panic!("after revision {}: {error}", self.revision);
        }
    }

    /// Moves a task to another phase and keeps the counters.
    pub(crate) fn set_phase(&mut self, task: TaskId, phase: TaskPhase) {
        let record = self.tasks.get_mut(&task).expect("the caller holds a live task");
        let before = std::mem::replace(&mut record.phase, phase);
        record.entered = self.revision;
        let zone = record.worker.and_then(|number| self.workers.get(&number)).map(|worker| worker.zone.clone());
        self.recount(before, phase, zone.as_ref());
    }

    pub(crate) fn recount(&mut self, before: TaskPhase, after: TaskPhase, zone: Option<&ZoneName>) {
        if let Some(count) = counter(&mut self.counts, before) {
            *count -= 1;
        }
        if let Some(count) = counter(&mut self.counts, after) {
            *count += 1;
        }
        let Some(state) = zone.and_then(|zone| self.zones.get_mut(zone)) else { return };
        if before != TaskPhase::Queued
            && let Some(count) = counter(&mut state.tasks, before)
        {
            *count -= 1;
        }
        if after != TaskPhase::Queued
            && let Some(count) = counter(&mut state.tasks, after)
        {
            *count += 1;
        }
    }

    /// Adds a queued task.
    pub(crate) fn create_task(
        &mut self,
        owner: TaskOwner,
        service: ServiceName,
        declared: ResourceSize,
        effects: &mut Effects,
    ) -> TaskId {
        self.next_task += 1;
        let task = TaskId::new(self.next_task);
        let mut record = TaskRecord::new(task, owner, service, declared);
        record.entered = self.revision;
        self.tasks.insert(task, Box::new(record));
        self.counts.queued += 1;
        self.push_queued(task, effects);
        task
    }

    pub(crate) fn push_queued(&self, task: TaskId, effects: &mut Effects) {
        if let Some(change) = self.tasks.get(&task).and_then(|record| self.queued_change(record)) {
            effects.changes.push(change);
        }
    }
}
