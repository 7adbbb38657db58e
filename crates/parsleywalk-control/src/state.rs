//! The replicated state machine and the application of commands.

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
use crate::zone::phase_counter;
use crate::{
    Applied, CommandRefusal, ControlCommand, ControlReply, StateChange, TaskOwner, TaskRecord, WorkerNumber,
    WorkerRecord, ZoneState,
};

/// The maximum number of live tasks: twice the projected number.
pub(crate) const MAX_TASKS: u64 = 300_000;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedConfiguration {
    /// The version of the configuration.
    pub version: ConfigurationVersion,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The operation that put the configuration in force.
    pub operation: OperationId,
    /// The configuration as the operator wrote it.
    pub text: String,
    /// The configuration parsed from `text`.
    pub catalog: Catalog,
}

/// The replicated state machine of the control plane.
///
/// It is deterministic: it depends on nothing but the commands, so the same sequence of commands gives the same state
/// on every replica.
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
    /// The replacement of each instance that is being replaced. Kept outside the task records, since few of the many
    /// tasks have one.
    pub(crate) successors: BTreeMap<TaskId, TaskId>,
    pub(crate) jobs: JobTable,
    pub(crate) claims: ClaimTable,
    /// The resources allocated for the batch tasks of each team.
    #[serde(skip)]
    pub(crate) held: BTreeMap<TeamName, ResourceSize>,
    #[serde(skip)]
    pub(crate) instances: InstanceTable,
    /// The number of live tasks in each phase.
    #[serde(skip)]
    pub(crate) counts: TaskCounts,
}

/// The effects of a command besides the updated records: the changes to report and the services to reconcile.
#[derive(Debug, Default)]
pub(crate) struct CommandEffects {
    pub(crate) changes: Vec<StateChange>,
    pub(crate) services: Vec<ServiceName>,
}

/// The result of checking and applying one command.
pub(crate) type CommandResult = Result<ControlReply, CommandRefusal>;

/// Commands.
impl ControlState {
    /// Creates the state before the first command.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command of the replicated log.
    ///
    /// The command is checked in full, whoever proposed it, and a refused command changes nothing but the revision and
    /// the clock.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated, since the state of this replica can no longer be trusted. Release builds
    /// check only invariants that need no scan. Debug builds also scan the whole state, after each command while it is
    /// small and less often as it grows.
    pub fn apply(&mut self, command: &ControlCommand) -> Applied {
        self.revision += 1;
        self.now = self.now.max(command.at());
        let mut effects = CommandEffects::default();
        self.expire(&mut effects);
        let outcome = self.dispatch(command, &mut effects);
        self.reconcile_affected(&mut effects);
        let reply = outcome.unwrap_or_else(ControlReply::Refused);
        #[cfg(debug_assertions)]
        self.assert_invariants();
        Applied { reply, changes: effects.changes }
    }

    fn dispatch(&mut self, command: &ControlCommand, effects: &mut CommandEffects) -> CommandResult {
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
                // The key shares the text of the service's name with the configuration, to save memory.
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

    /// Removes claims, ended jobs and pending cancels whose retention is over.
    fn expire(&mut self, effects: &mut CommandEffects) {
        for key in self.claims.expire(self.now) {
            effects.changes.push(StateChange::ClaimChanged { key });
        }
        self.jobs.expire(self.now);
    }

    #[cfg(debug_assertions)]
    fn assert_invariants(&self) {
        /// Below this number of records the invariants are checked after every command. Above it the interval grows
        /// with the square of the number, so that large tests finish in time.
        const FULLY_CHECKED_RECORDS: usize = 500;
        let records = self.tasks.len() + self.job_count() + self.claims.len() + self.operations.len();
        let interval = 1 + ((records / FULLY_CHECKED_RECORDS) as u64).pow(2);
        if self.revision.is_multiple_of(interval)
            && let Err(error) = self.check_invariants()
        {
            panic!("after revision {}: {error}", self.revision);
        }
    }

    /// Changes the phase of a task and updates the totals by phase.
    pub(crate) fn set_phase(&mut self, task: TaskId, phase: TaskPhase) {
        let record = self.tasks.get_mut(&task).expect("the task is live");
        let before = std::mem::replace(&mut record.phase, phase);
        record.entered = self.revision;
        let zone = record.worker.and_then(|number| self.workers.get(&number)).map(|worker| worker.zone.clone());
        self.recount(before, phase, zone.as_ref());
    }

    pub(crate) fn recount(&mut self, before: TaskPhase, after: TaskPhase, zone: Option<&ZoneName>) {
        if let Some(count) = phase_counter(&mut self.counts, before) {
            *count -= 1;
        }
        if let Some(count) = phase_counter(&mut self.counts, after) {
            *count += 1;
        }
        let Some(state) = zone.and_then(|zone| self.zones.get_mut(zone)) else { return };
        if before != TaskPhase::Queued
            && let Some(count) = phase_counter(&mut state.tasks, before)
        {
            *count -= 1;
        }
        if after != TaskPhase::Queued
            && let Some(count) = phase_counter(&mut state.tasks, after)
        {
            *count += 1;
        }
    }

    /// Creates a queued task.
    pub(crate) fn create_task(
        &mut self,
        owner: TaskOwner,
        service: ServiceName,
        declared: ResourceSize,
        effects: &mut CommandEffects,
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

    pub(crate) fn push_queued(&self, task: TaskId, effects: &mut CommandEffects) {
        if let Some(change) = self.tasks.get(&task).and_then(|record| self.queued_change(record)) {
            effects.changes.push(change);
        }
    }
}
