//! What the control state promises, computed by scans over plain records.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_api::{JobPhase, TaskPhase};
use parsleywalk_control::{AttemptChange, AttemptEnd, ControlCommand, JobSpec};
use parsleywalk_units::{
    ClaimId, ClaimOutcome, Incarnation, JobKey, OperationId, RequestKey, ResourceSize, WorkerId, ZoneDirection,
    ZoneName,
};

use super::{size, unit};

#[derive(Debug, Clone)]
pub struct Worker {
    pub id: WorkerId,
    pub incarnation: Incarnation,
    pub zone: ZoneName,
    pub capacity: ResourceSize,
    pub sequence: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// `None` for an instance of the service `web`.
    pub job: Option<JobKey>,
    pub attempt: u32,
    pub phase: TaskPhase,
    pub worker: Option<u32>,
    pub declared: ResourceSize,
    pub size: ResourceSize,
    pub checkpoint: Option<String>,
    pub entered: u64,
    pub successor: Option<u64>,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    pub cancelled: bool,
    pub started: bool,
}

/// Tasks and jobs that have ended stay here.
#[derive(Debug, Clone, Default)]
pub struct Oracle {
    pub revision: u64,
    pub accepted: bool,
    pub version: u64,
    pub quota: ResourceSize,
    pub instances: u32,
    pub instance_size: ResourceSize,
    pub operations: BTreeMap<OperationId, (String, bool)>,
    pub zones: BTreeMap<ZoneName, bool>,
    pub workers: BTreeMap<u32, Worker>,
    pub last_worker: u32,
    pub tasks: BTreeMap<u64, Task>,
    pub last_task: u64,
    pub jobs: BTreeMap<JobKey, Job>,
    pub cancels: BTreeSet<JobKey>,
    pub claims: BTreeMap<RequestKey, (ClaimId, Option<ClaimOutcome>)>,
}

pub fn is_placed(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Starting | TaskPhase::Running | TaskPhase::Stopping)
}

pub fn is_live(phase: TaskPhase) -> bool {
    phase == TaskPhase::Queued || is_placed(phase)
}

impl Oracle {
    pub fn number(&self, id: &WorkerId) -> Option<u32> {
        self.workers.iter().find(|(_, worker)| worker.id == *id).map(|(number, _)| *number)
    }

    pub fn sum<'a>(&'a self, tasks: impl Iterator<Item = &'a Task>) -> ResourceSize {
        tasks.filter(|task| is_placed(task.phase)).fold(size(0), |sum, task| sum.checked_add(&task.size).unwrap())
    }

    pub fn used(&self, worker: u32) -> ResourceSize {
        self.sum(self.tasks.values().filter(|task| task.worker == Some(worker)))
    }

    fn counts(&self, id: u64) -> bool {
        let task = &self.tasks[&id];
        task.job.is_none() && task.successor.is_none() && is_live(task.phase) && task.phase != TaskPhase::Stopping
    }

    pub fn counted(&self) -> Vec<u64> {
        self.tasks.keys().copied().filter(|id| self.counts(*id)).collect()
    }

    pub fn job_phase(&self, key: &JobKey) -> JobPhase {
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

    fn enter(&mut self, id: u64, phase: TaskPhase) {
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
            TaskPhase::Queued => self.enter(id, TaskPhase::Cancelled),
            TaskPhase::Starting | TaskPhase::Running => self.enter(id, TaskPhase::Stopping),
            _ => {}
        }
    }

    fn stop_all(&mut self, choose: impl Fn(&Task) -> bool) {
        let chosen: Vec<_> = self.tasks.iter().filter(|(_, task)| choose(task)).map(|(id, _)| *id).collect();
        chosen.into_iter().for_each(|id| self.stop(id));
    }

    /// The attempt is over; the task goes on unless it is done, cancelled, or an instance that is not needed any more.
    fn end(&mut self, id: u64, is_done: bool, is_lost: bool) {
        let after = match &self.tasks[&id].job {
            Some(_) if is_done => TaskPhase::Done,
            Some(key) if self.jobs[key].cancelled => TaskPhase::Cancelled,
            Some(_) => TaskPhase::Queued,
            None if is_lost => TaskPhase::Failed,
            None if self.counts(id) => TaskPhase::Queued,
            None => TaskPhase::Cancelled,
        };
        if self.tasks[&id].job.is_none() {
            self.tasks.get_mut(&id).unwrap().declared = self.instance_size;
        }
        self.enter(id, after);
    }

    fn end_worker(&mut self, number: u32) {
        let held: Vec<_> =
            self.tasks.iter().filter(|(_, task)| task.worker == Some(number)).map(|(id, _)| *id).collect();
        held.into_iter().for_each(|id| self.end(id, false, true));
        self.workers.remove(&number);
    }

    fn settle_instances(&mut self) {
        let (wanted, mut newest) = (self.instances as usize, None);
        while self.counted().len() < wanted {
            newest = Some(self.create(None, self.instance_size));
        }
        let mut counted = self.counted();
        counted.sort_by_key(|id| {
            let rank = match self.tasks[id].phase {
                TaskPhase::Queued => 0,
                TaskPhase::Starting => 1,
                _ => 2,
            };
            (rank, Reverse(*id))
        });
        counted.iter().take(counted.len().saturating_sub(wanted)).for_each(|id| self.stop(*id));
        for id in self.tasks.keys().copied().collect::<Vec<_>>() {
            if self.tasks[&id].successor.is_some_and(|successor| !self.counts(successor)) {
                match newest {
                    Some(_) => self.tasks.get_mut(&id).unwrap().successor = newest,
                    None => self.stop(id),
                }
            }
        }
    }

    fn start_is_allowed(&self, id: u64, attempt: u32, number: u32, asked: ResourceSize) -> bool {
        let (Some(task), Some(worker)) = (self.tasks.get(&id), self.workers.get(&number)) else { return false };
        let fits = |taken: ResourceSize, limit| taken.checked_add(&asked).unwrap().fits_within(&limit);
        let held = self.sum(self.tasks.values().filter(|task| task.job.is_some()));
        task.phase == TaskPhase::Queued
            && attempt == task.attempt + 1
            && self.zones[&worker.zone]
            && task.declared.fits_within(&asked)
            && fits(self.used(number), worker.capacity)
            && (task.job.is_none() || fits(held, self.quota))
    }

    fn record(&mut self, number: u32, change: &AttemptChange) {
        let id = change.task().get();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.worker != Some(number) || task.attempt != change.attempt().get() {
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
                self.enter(id, TaskPhase::Running);
                self.stop_all(|task| task.successor == Some(id));
            }
            AttemptChange::Ended { end, .. } => self.end(id, *end == AttemptEnd::Done, false),
            AttemptChange::Absent { echo, .. } if phase != TaskPhase::Starting && *echo >= entered => {
                self.end(id, false, phase == TaskPhase::Running);
            }
            _ => {}
        }
    }

    /// An operator's operation: decided once, and only for the same contents.
    fn operate(&mut self, operation: &OperationId, contents: String, decide: impl FnOnce(&mut Self) -> bool) -> bool {
        if let Some((stored, accepted)) = self.operations.get(operation) {
            return *accepted && *stored == contents;
        }
        let accepted = decide(self);
        self.operations.insert(operation.clone(), (contents, accepted));
        accepted
    }

    pub fn apply(&mut self, command: &ControlCommand) {
        self.revision += 1;
        self.accepted = self.decide(command);
        self.settle_instances();
    }

    fn decide(&mut self, command: &ControlCommand) -> bool {
        match command {
            ControlCommand::ApplyConfiguration { operation, catalog, text, .. } => {
                self.operate(operation, text.clone(), |oracle| {
                    let is_next = catalog.version.get() == oracle.version + 1;
                    if is_next {
                        let web = catalog.service(&unit("web")).unwrap();
                        oracle.version += 1;
                        oracle.quota = catalog.teams[0].quota.unwrap();
                        (oracle.instances, oracle.instance_size) = (web.instances, web.size);
                        for task in oracle.tasks.values_mut() {
                            if task.job.is_none() && task.phase == TaskPhase::Queued {
                                (task.declared, task.size) = (web.size, web.size);
                            }
                        }
                    }
                    is_next
                })
            }
            ControlCommand::SetZone { operation, zone, direction, .. } => {
                self.operate(operation, format!("{zone} {direction}"), |oracle| {
                    let Some(in_service) = oracle.zones.get_mut(zone) else { return false };
                    *in_service = *direction == ZoneDirection::In;
                    if *direction == ZoneDirection::Out {
                        let there: Vec<_> =
                            oracle.workers.iter().filter(|(_, it)| it.zone == *zone).map(|(it, _)| Some(*it)).collect();
                        oracle.stop_all(|task| task.phase == TaskPhase::Starting && there.contains(&task.worker));
                    }
                    true
                })
            }
            ControlCommand::RegisterWorker { worker, incarnation, zone, capacity, .. } => {
                if let Some(number) = self.number(worker) {
                    let known = &self.workers[&number];
                    if *incarnation <= known.incarnation {
                        return *incarnation == known.incarnation && *zone == known.zone && *capacity == known.capacity;
                    }
                    self.end_worker(number);
                }
                self.zones.entry(zone.clone()).or_insert(true);
                self.last_worker += 1;
                let (id, incarnation, zone) = (worker.clone(), *incarnation, zone.clone());
                let worker = Worker { id, incarnation, zone, capacity: *capacity, sequence: None };
                self.workers.insert(self.last_worker, worker);
                true
            }
            ControlCommand::LoseWorker { worker, incarnation, .. } => match self.number(worker) {
                Some(number) if self.workers[&number].incarnation == *incarnation => {
                    self.end_worker(number);
                    true
                }
                _ => false,
            },
            ControlCommand::SubmitJob { key, job, .. } => {
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
            ControlCommand::CancelJob { key, .. } => {
                if !self.jobs.contains_key(key) {
                    self.cancels.insert(key.clone());
                } else if matches!(self.job_phase(key), JobPhase::Queued | JobPhase::Running) {
                    self.jobs.get_mut(key).unwrap().cancelled = true;
                    self.stop_all(|task| task.job.as_ref() == Some(key));
                }
                true
            }
            ControlCommand::StartTask { task, attempt, worker, size, .. } => {
                let id = task.get();
                let allowed = self.start_is_allowed(id, attempt.get(), worker.get(), *size);
                if allowed {
                    self.enter(id, TaskPhase::Starting);
                    let task = self.tasks.get_mut(&id).unwrap();
                    (task.attempt, task.worker, task.size) = (attempt.get(), Some(worker.get()), *size);
                }
                allowed
            }
            ControlCommand::RecordReport { worker, sequence, changes, .. } => {
                let Some(known) =
                    self.workers.get_mut(&worker.get()).filter(|it| it.sequence.is_none_or(|last| *sequence > last))
                else {
                    return false;
                };
                known.sequence = Some(*sequence);
                changes.iter().for_each(|change| self.record(worker.get(), change));
                true
            }
            ControlCommand::EvictTask { task, attempt, .. } => {
                let is_going = |it: &&Task| matches!(it.phase, TaskPhase::Starting | TaskPhase::Running);
                let found = self.tasks.get(&task.get()).filter(is_going).is_some_and(|it| it.attempt == attempt.get());
                if found {
                    self.stop(task.get());
                }
                found
            }
            ControlCommand::ReplaceInstance { task, .. } => {
                let id = task.get();
                let Some(old) = self.tasks.get(&id) else { return false };
                if !matches!(old.phase, TaskPhase::Starting | TaskPhase::Running) || !self.counts(id) {
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
            ControlCommand::FailTask { task, .. } => {
                let waits = |it: &Task| it.job.is_some() && it.phase == TaskPhase::Queued;
                let found = self.tasks.get(&task.get()).is_some_and(waits);
                if found {
                    self.enter(task.get(), TaskPhase::Failed);
                }
                found
            }
            ControlCommand::Claim { key, claim, .. } => {
                if self.version == 0 {
                    return false;
                }
                let free = match self.claims.get(key) {
                    None => true,
                    Some((holder, outcome)) => *outcome == Some(ClaimOutcome::NotRun) && holder != claim,
                };
                if free {
                    self.claims.insert(key.clone(), (*claim, None));
                }
                true
            }
            ControlCommand::SettleClaim { key, claim, outcome, .. } => match self.claims.get_mut(key) {
                Some((holder, settled)) if holder == claim && settled.is_none_or(|it| it == *outcome) => {
                    *settled = Some(*outcome);
                    true
                }
                _ => false,
            },
        }
    }
}
