//! A simple reference model of the control state, which scans plain records instead of keeping indexes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_api::{JobPhase, TaskPhase};
use parsleywalk_catalog::Catalog;
use parsleywalk_control::{AttemptChange, AttemptEnd, ControlCommand, JobSpec};
use parsleywalk_units::{
    ClaimId, ClaimOutcome, Incarnation, JobKey, OperationId, RequestKey, ResourceSize, WorkerId, ZoneDirection,
    ZoneName,
};

use super::{size, unit};

#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneName,
    pub(crate) capacity: ResourceSize,
    pub(crate) sequence: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Task {
    /// `None` for an instance of the service `web`.
    pub(crate) job: Option<JobKey>,
    pub(crate) attempt: u32,
    pub(crate) phase: TaskPhase,
    pub(crate) worker: Option<u32>,
    pub(crate) declared: ResourceSize,
    pub(crate) size: ResourceSize,
    pub(crate) checkpoint: Option<String>,
    pub(crate) entered: u64,
    pub(crate) successor: Option<u64>,
}

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) cancelled: bool,
    pub(crate) started: bool,
}

/// The reference model. Unlike the control state it keeps all ended tasks and jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Oracle {
    pub(crate) revision: u64,
    pub(crate) accepted: bool,
    pub(crate) version: u64,
    pub(crate) quota: ResourceSize,
    pub(crate) instances: u32,
    pub(crate) instance_size: ResourceSize,
    pub(crate) operations: BTreeMap<OperationId, (String, bool)>,
    pub(crate) zones: BTreeMap<ZoneName, bool>,
    pub(crate) workers: BTreeMap<u32, Worker>,
    pub(crate) last_worker: u32,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) last_task: u64,
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    pub(crate) cancels: BTreeSet<JobKey>,
    pub(crate) claims: BTreeMap<RequestKey, (ClaimId, Option<ClaimOutcome>)>,
}

pub(crate) fn is_placed(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Starting | TaskPhase::Running | TaskPhase::Stopping)
}

pub(crate) fn is_live(phase: TaskPhase) -> bool {
    phase == TaskPhase::Queued || is_placed(phase)
}

impl Oracle {
    pub(crate) fn number(&self, id: &WorkerId) -> Option<u32> {
        self.workers.iter().find(|(_, worker)| worker.id == *id).map(|(number, _)| *number)
    }

    pub(crate) fn sum<'a>(tasks: impl Iterator<Item = &'a Task>) -> ResourceSize {
        tasks.filter(|task| is_placed(task.phase)).fold(size(0), |sum, task| sum.checked_add(&task.size).unwrap())
    }

    pub(crate) fn used(&self, worker: u32) -> ResourceSize {
        Self::sum(self.tasks.values().filter(|task| task.worker == Some(worker)))
    }

    fn is_active(&self, id: u64) -> bool {
        let task = &self.tasks[&id];
        task.job.is_none() && task.successor.is_none() && is_live(task.phase) && task.phase != TaskPhase::Stopping
    }

    pub(crate) fn active_instances(&self) -> Vec<u64> {
        self.tasks.keys().copied().filter(|id| self.is_active(*id)).collect()
    }

    pub(crate) fn job_phase(&self, key: &JobKey) -> JobPhase {
        let (job, mut tasks) = (&self.jobs[key], self.tasks.values().filter(|task| task.job.as_ref() == Some(key)));
        match (tasks.clone().any(|task| is_live(task.phase)), job.cancelled) {
            (true, true) => JobPhase::Cancelling,
            (true, false) if job.started => JobPhase::Running,
            (true, false) => JobPhase::Queued,
            (false, true) => JobPhase::Cancelled,
            (false, false) if tasks.any(|task| task.phase == TaskPhase::Failed) => JobPhase::Failed,
            (false, false) => JobPhase::Done,
        }
    }

    fn create(&mut self, job: Option<JobKey>, declared: ResourceSize) -> u64 {
        self.last_task += 1;
        let (phase, entered) = (TaskPhase::Queued, self.revision);
        let task = Task {
            job,
            attempt: 0,
            phase,
            worker: None,
            declared,
            size: declared,
            checkpoint: None,
            entered,
            successor: None,
        };
        self.tasks.insert(self.last_task, task);
        self.last_task
    }

    fn set_phase(&mut self, id: u64, phase: TaskPhase) {
        let task = self.tasks.get_mut(&id).unwrap();
        (task.phase, task.entered) = (phase, self.revision);
        if !is_live(phase) || phase == TaskPhase::Stopping {
            task.successor = None;
        }
        if !is_placed(phase) {
            task.worker = None;
            task.size = task.declared;
        }
    }

    fn stop(&mut self, id: u64) {
        match self.tasks[&id].phase {
            TaskPhase::Queued => self.set_phase(id, TaskPhase::Cancelled),
            TaskPhase::Starting | TaskPhase::Running => self.set_phase(id, TaskPhase::Stopping),
            _ => {}
        }
    }

    fn stop_all(&mut self, choose: impl Fn(&Task) -> bool) {
        let chosen: Vec<_> = self.tasks.iter().filter(|(_, task)| choose(task)).map(|(id, _)| *id).collect();
        for id in chosen {
            self.stop(id);
        }
    }

    /// Ends an attempt. The task is queued again unless it completed, is cancelled, or is an instance that is lost or
    /// no longer needed.
    fn end(&mut self, id: u64, is_done: bool, is_lost: bool) {
        let after = match &self.tasks[&id].job {
            Some(_) if is_done => TaskPhase::Done,
            Some(key) if self.jobs[key].cancelled => TaskPhase::Cancelled,
            Some(_) => TaskPhase::Queued,
            None if is_lost => TaskPhase::Failed,
            None if self.is_active(id) => TaskPhase::Queued,
            None => TaskPhase::Cancelled,
        };
        if self.tasks[&id].job.is_none() {
            self.tasks.get_mut(&id).unwrap().declared = self.instance_size;
        }
        self.set_phase(id, after);
    }

    fn end_worker(&mut self, number: u32) {
        let placed: Vec<_> =
            self.tasks.iter().filter(|(_, task)| task.worker == Some(number)).map(|(id, _)| *id).collect();
        for id in placed {
            self.end(id, false, true);
        }
        self.workers.remove(&number);
    }

    fn reconcile_instances(&mut self) {
        let (declared_count, mut newest) = (self.instances as usize, None);
        while self.active_instances().len() < declared_count {
            newest = Some(self.create(None, self.instance_size));
        }
        let mut active_instances = self.active_instances();
        active_instances.sort_by_key(|id| {
            let rank = match self.tasks[id].phase {
                TaskPhase::Queued => 0,
                TaskPhase::Starting => 1,
                _ => 2,
            };
            (rank, Reverse(*id))
        });
        for id in active_instances.iter().take(active_instances.len().saturating_sub(declared_count)) {
            self.stop(*id);
        }
        for id in self.tasks.keys().copied().collect::<Vec<_>>() {
            if self.tasks[&id].successor.is_some_and(|successor| !self.is_active(successor)) {
                match newest {
                    Some(_) => self.tasks.get_mut(&id).unwrap().successor = newest,
                    None => self.stop(id),
                }
            }
        }
    }

    fn start_is_allowed(&self, id: u64, attempt: u32, number: u32, size: ResourceSize) -> bool {
        let (Some(task), Some(worker)) = (self.tasks.get(&id), self.workers.get(&number)) else { return false };
        let fits = |allocated: ResourceSize, limit| allocated.checked_add(&size).unwrap().fits_within(&limit);
        let team_allocation = Self::sum(self.tasks.values().filter(|task| task.job.is_some()));
        task.phase == TaskPhase::Queued
            && attempt == task.attempt + 1
            && self.zones[&worker.zone]
            && task.declared.fits_within(&size)
            && fits(self.used(number), worker.capacity)
            && (task.job.is_none() || fits(team_allocation, self.quota))
    }

    fn record(&mut self, number: u32, change: &AttemptChange) {
        let id = change.task().get();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.attempt != change.attempt().get() {
            return;
        }
        // A late report of an attempt that was declared lost counts as long as its task is queued.
        if task.phase == TaskPhase::Queued && task.attempt > 0 {
            match (change, task.job.clone()) {
                (AttemptChange::Checkpoint { reference, .. }, _) => task.checkpoint = Some(reference.clone()),
                (AttemptChange::Ended { end: AttemptEnd::Done, .. }, Some(key)) => {
                    self.jobs.get_mut(&key).unwrap().started = true;
                    self.set_phase(id, TaskPhase::Done);
                }
                _ => {}
            }
            return;
        }
        if task.worker != Some(number) {
            return;
        }
        if let AttemptChange::Ended { checkpoint: Some(reference), .. } | AttemptChange::Checkpoint { reference, .. } =
            change
        {
            task.checkpoint = Some(reference.clone());
        }
        let (phase, entered, job) = (task.phase, task.entered, task.job.clone());
        let has_run = match change {
            AttemptChange::Running { .. } => phase == TaskPhase::Starting,
            AttemptChange::Ended { end, .. } => *end != AttemptEnd::NotStarted,
            _ => false,
        };
        if let Some(job) = job.and_then(|key| self.jobs.get_mut(&key)) {
            job.started |= has_run;
        }
        match change {
            AttemptChange::Running { .. } if phase == TaskPhase::Starting => {
                self.set_phase(id, TaskPhase::Running);
                self.stop_all(|task| task.successor == Some(id));
            }
            AttemptChange::Ended { end, .. } => self.end(id, *end == AttemptEnd::Done, false),
            AttemptChange::Absent { echo, .. } if phase != TaskPhase::Starting && *echo >= entered => {
                self.end(id, false, phase == TaskPhase::Running);
            }
            _ => {}
        }
    }

    /// Decides an operator's operation once. A resend gets the stored decision, unless its contents differ.
    fn operate(&mut self, operation: &OperationId, contents: String, decide: impl FnOnce(&mut Self) -> bool) -> bool {
        if let Some((stored, accepted)) = self.operations.get(operation) {
            return *accepted && *stored == contents;
        }
        let accepted = decide(self);
        self.operations.insert(operation.clone(), (contents, accepted));
        accepted
    }

    pub(crate) fn apply(&mut self, command: &ControlCommand) {
        self.revision += 1;
        self.accepted = self.decide(command);
        self.reconcile_instances();
    }

    fn decide(&mut self, command: &ControlCommand) -> bool {
        match command {
            ControlCommand::ApplyConfiguration { operation, catalog, text, .. } => {
                self.operate(operation, text.clone(), |oracle| oracle.configure(catalog))
            }
            ControlCommand::SetZone { operation, zone, direction, .. } => {
                let contents = format!("{zone} {direction}");
                self.operate(operation, contents, |oracle| oracle.set_zone(zone, *direction == ZoneDirection::In))
            }
            ControlCommand::RegisterWorker { worker, incarnation, zone, capacity, .. } => {
                self.register(worker, *incarnation, zone, *capacity)
            }
            ControlCommand::LoseWorker { worker, incarnation, .. } => match self.number(worker) {
                Some(number) if self.workers[&number].incarnation == *incarnation => {
                    self.end_worker(number);
                    true
                }
                _ => false,
            },
            ControlCommand::SubmitJob { key, job, .. } => self.submit(key, job),
            ControlCommand::CancelJob { key, .. } => {
                self.cancel(key);
                true
            }
            ControlCommand::StartTask { task, attempt, worker, size, .. } => {
                self.start(task.get(), attempt.get(), worker.get(), *size)
            }
            ControlCommand::RecordReport { worker, sequence, changes, .. } => {
                self.report(worker.get(), *sequence, changes)
            }
            ControlCommand::EvictTask { task, attempt, .. } => {
                let may_run = |record: &&Task| matches!(record.phase, TaskPhase::Starting | TaskPhase::Running);
                let found =
                    self.tasks.get(&task.get()).filter(may_run).is_some_and(|record| record.attempt == attempt.get());
                if found {
                    self.stop(task.get());
                }
                found
            }
            ControlCommand::ReplaceInstance { task, .. } => self.replace(task.get()),
            ControlCommand::FailTask { task, .. } => {
                let is_queued_batch = |record: &Task| record.job.is_some() && record.phase == TaskPhase::Queued;
                let found = self.tasks.get(&task.get()).is_some_and(is_queued_batch);
                if found {
                    self.set_phase(task.get(), TaskPhase::Failed);
                }
                found
            }
            ControlCommand::Claim { key, claim, .. } => self.claim(key, *claim),
            ControlCommand::SettleClaim { key, claim, outcome, .. } => match self.claims.get_mut(key) {
                Some((holder, settled)) if holder == claim && settled.is_none_or(|settled| settled == *outcome) => {
                    *settled = Some(*outcome);
                    true
                }
                _ => false,
            },
        }
    }

    fn configure(&mut self, catalog: &Catalog) -> bool {
        if catalog.version.get() != self.version + 1 {
            return false;
        }
        let web = catalog.service(&unit("web")).unwrap();
        self.version += 1;
        self.quota = catalog.teams[0].quota.unwrap();
        (self.instances, self.instance_size) = (web.instances, web.size);
        for task in self.tasks.values_mut() {
            if task.job.is_none() && task.phase == TaskPhase::Queued {
                (task.declared, task.size) = (web.size, web.size);
            }
        }
        true
    }

    fn set_zone(&mut self, zone: &ZoneName, in_service: bool) -> bool {
        let state = self.zones.entry(zone.clone()).or_insert(true);
        *state = in_service;
        if !in_service {
            let worker_numbers: Vec<_> = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.zone == *zone)
                .map(|(number, _)| Some(*number))
                .collect();
            self.stop_all(|task| task.phase == TaskPhase::Starting && worker_numbers.contains(&task.worker));
        }
        true
    }

    fn register(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        zone: &ZoneName,
        capacity: ResourceSize,
    ) -> bool {
        if let Some(number) = self.number(worker) {
            let known = &self.workers[&number];
            if incarnation <= known.incarnation {
                return incarnation == known.incarnation && *zone == known.zone && capacity == known.capacity;
            }
            self.end_worker(number);
        }
        self.zones.entry(zone.clone()).or_insert(true);
        self.last_worker += 1;
        let worker = Worker { id: worker.clone(), incarnation, zone: zone.clone(), capacity, sequence: None };
        self.workers.insert(self.last_worker, worker);
        true
    }

    fn submit(&mut self, key: &JobKey, job: &JobSpec) -> bool {
        if let Some(known) = self.jobs.get(key) {
            return known.spec == *job;
        }
        if self.version == 0 {
            return false;
        }
        let cancelled = self.cancels.remove(key);
        self.jobs.insert(key.clone(), Job { spec: job.clone(), cancelled, started: false });
        for _ in 0..job.count {
            let id = self.create(Some(key.clone()), job.size.unwrap_or(size(1)));
            if cancelled {
                self.stop(id);
            }
        }
        true
    }

    fn cancel(&mut self, key: &JobKey) {
        if !self.jobs.contains_key(key) {
            self.cancels.insert(key.clone());
        } else if matches!(self.job_phase(key), JobPhase::Queued | JobPhase::Running) {
            self.jobs.get_mut(key).unwrap().cancelled = true;
            self.stop_all(|task| task.job.as_ref() == Some(key));
        }
    }

    fn start(&mut self, id: u64, attempt: u32, worker: u32, size: ResourceSize) -> bool {
        let allowed = self.start_is_allowed(id, attempt, worker, size);
        if allowed {
            self.set_phase(id, TaskPhase::Starting);
            let task = self.tasks.get_mut(&id).unwrap();
            (task.attempt, task.worker, task.size) = (attempt, Some(worker), size);
        }
        allowed
    }

    fn report(&mut self, worker: u32, sequence: u64, changes: &[AttemptChange]) -> bool {
        let Some(known) = self.workers.get_mut(&worker) else { return false };
        if known.sequence.is_some_and(|last| sequence <= last) {
            return false;
        }
        known.sequence = Some(sequence);
        for change in changes {
            self.record(worker, change);
        }
        true
    }

    fn replace(&mut self, id: u64) -> bool {
        let Some(old) = self.tasks.get(&id) else { return false };
        if !matches!(old.phase, TaskPhase::Starting | TaskPhase::Running) || !self.is_active(id) {
            return false;
        }
        let successor = Some(self.create(None, self.instance_size));
        for (other, task) in &mut self.tasks {
            if *other == id || task.successor == Some(id) {
                task.successor = successor;
            }
        }
        true
    }

    fn claim(&mut self, key: &RequestKey, claim: ClaimId) -> bool {
        if self.version == 0 {
            return false;
        }
        let is_free = match self.claims.get(key) {
            None => true,
            Some((holder, outcome)) => *outcome == Some(ClaimOutcome::NotRun) && *holder != claim,
        };
        if is_free {
            self.claims.insert(key.clone(), (claim, None));
        }
        true
    }
}
