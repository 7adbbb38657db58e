//! A stand-in for the replicated state: it checks every proposal and plays back what was accepted.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_scheduler::{
    ObjectiveWeights, PolicyDecision, PolicyEvent, PolicySettings, SchedulerPolicy, TaskOutcome, TaskUsage, TeamQuota,
};
use parsleywalk_units::{AttemptNumber, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel, WorkerId};

#[derive(Debug, Clone)]
pub(crate) struct FakeWorker {
    pub(crate) zone: String,
    pub(crate) rack: String,
    pub(crate) capacity: ResourceSize,
    pub(crate) present: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FakePhase {
    Queued,
    Placed,
    Running(MonotonicTime),
}

#[derive(Debug, Clone)]
pub(crate) struct FakeTask {
    pub(crate) attempt: u32,
    pub(crate) service: String,
    pub(crate) team: String,
    pub(crate) class: TaskClass,
    pub(crate) size: ResourceSize,
    pub(crate) urgent: bool,
    pub(crate) phase: FakePhase,
    pub(crate) worker: String,
    pub(crate) held: ResourceSize,
    pub(crate) throttle: ThrottleLevel,
    /// A proposed start that may still be accepted.
    pub(crate) pending: Option<(MonotonicTime, String, ResourceSize)>,
}

pub(crate) struct FakeState {
    pub(crate) now: MonotonicTime,
    pub(crate) policy: SchedulerPolicy,
    pub(crate) pending: Duration,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    pub(crate) zones_out: Vec<String>,
    pub(crate) quotas: BTreeMap<String, ResourceSize>,
    pub(crate) tasks: BTreeMap<TaskId, FakeTask>,
    next: u64,
}

pub(crate) fn size(text: &str) -> ResourceSize {
    text.parse().unwrap()
}

impl FakeState {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        let pending = settings.proposal_timeout;
        Self {
            now: MonotonicTime::from_millis(1000),
            policy: SchedulerPolicy::new(settings, 7),
            pending,
            workers: BTreeMap::new(),
            zones_out: Vec::new(),
            quotas: BTreeMap::new(),
            tasks: BTreeMap::new(),
            next: 1,
        }
    }

    /// Three zones with racks of the given number of workers.
    pub(crate) fn with_fleet(settings: PolicySettings, racks: usize, per_rack: usize, capacity: &str) -> Self {
        let mut state = Self::new(settings);
        for rack in 0..racks {
            for place in 0..per_rack {
                state.join(&format!("w{rack}.{place}"), &format!("z{}", rack % 3), &format!("r{rack}"), size(capacity));
            }
        }
        state
    }

    pub(crate) fn observe(&mut self, event: PolicyEvent) {
        self.policy.observe(self.now, event);
    }

    pub(crate) fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    pub(crate) fn join(&mut self, worker: &str, zone: &str, rack: &str, capacity: ResourceSize) {
        let record = FakeWorker { zone: zone.into(), rack: rack.into(), capacity, present: true };
        self.workers.insert(worker.into(), record);
        self.observe(PolicyEvent::WorkerJoined {
            worker: worker.parse().unwrap(),
            zone: zone.parse().unwrap(),
            rack: rack.parse().unwrap(),
            capacity,
        });
    }

    pub(crate) fn lose(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.present = false;
        }
        self.observe(PolicyEvent::WorkerLost { worker: worker.parse().unwrap() });
        for task in self.held_on(worker) {
            self.end(task, TaskOutcome::Lost);
        }
    }

    pub(crate) fn set_zone(&mut self, zone: &str, in_service: bool) {
        self.zones_out.retain(|out| out != zone);
        if !in_service {
            self.zones_out.push(zone.into());
        }
        self.observe(PolicyEvent::ZoneChanged { zone: zone.parse().unwrap(), in_service });
    }

    pub(crate) fn configure(&mut self, teams: &[(&str, u32, Option<&str>)], weights: ObjectiveWeights) {
        self.quotas.clear();
        let teams = teams
            .iter()
            .map(|(team, weight, quota)| {
                if let Some(quota) = quota {
                    self.quotas.insert((*team).into(), size(quota));
                }
                TeamQuota { team: team.parse().unwrap(), weight: *weight, quota: quota.map(size) }
            })
            .collect();
        self.observe(PolicyEvent::ConfigurationChanged { services: Vec::new(), teams, weights });
    }

    pub(crate) fn submit(&mut self, service: &str, team: &str, class: TaskClass, need: &str, urgent: bool) -> TaskId {
        let task = TaskId::new(self.next);
        self.next += 1;
        let record = FakeTask {
            attempt: 0,
            service: service.into(),
            team: team.into(),
            class,
            size: size(need),
            urgent,
            phase: FakePhase::Queued,
            worker: String::new(),
            held: ResourceSize::default(),
            throttle: ThrottleLevel::None,
            pending: None,
        };
        self.tasks.insert(task, record);
        self.queue(task);
        task
    }

    pub(crate) fn batch(&mut self, need: &str) -> TaskId {
        self.submit("resurvey", "planning", TaskClass::Batch, need, false)
    }

    pub(crate) fn instance(&mut self, need: &str) -> TaskId {
        self.submit("marker", "planning", TaskClass::LatencyCritical, need, false)
    }

    fn queue(&mut self, task: TaskId) {
        let record = self.tasks.get_mut(&task).unwrap();
        record.attempt += 1;
        record.phase = FakePhase::Queued;
        record.pending = None;
        record.throttle = ThrottleLevel::None;
        let event = PolicyEvent::TaskQueued {
            task,
            attempt: AttemptNumber::new(record.attempt),
            service: record.service.parse().unwrap(),
            team: record.team.parse().unwrap(),
            class: record.class,
            size: record.size,
            urgent: record.urgent,
            run_time: Some(Duration::from_mins(1)),
            saved: Duration::ZERO,
        };
        self.observe(event);
    }

    /// Ends the present attempt; all but `Done` and `Cancelled` queue the next one, or drop an instance that was lost.
    pub(crate) fn end(&mut self, task: TaskId, outcome: TaskOutcome) {
        let attempt = AttemptNumber::new(self.tasks[&task].attempt);
        self.observe(PolicyEvent::TaskEnded { task, attempt, outcome });
        if matches!(outcome, TaskOutcome::Done | TaskOutcome::Cancelled) {
            self.tasks.remove(&task);
        } else {
            self.queue(task);
        }
    }

    pub(crate) fn held_on(&self, worker: &str) -> Vec<TaskId> {
        let on = |task: &FakeTask| task.phase != FakePhase::Queued && task.worker == worker;
        self.tasks.iter().filter(|(_, task)| on(task)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn running(&self) -> Vec<TaskId> {
        let runs = |task: &FakeTask| matches!(task.phase, FakePhase::Running(_));
        self.tasks.iter().filter(|(_, task)| runs(task)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn queued(&self) -> Vec<TaskId> {
        self.tasks.iter().filter(|(_, task)| task.phase == FakePhase::Queued).map(|(id, _)| *id).collect()
    }

    /// Calls `decide`, checks every decision against the oracle and returns them.
    pub(crate) fn decide(&mut self, limit: usize) -> Vec<PolicyDecision> {
        let now = self.now;
        for task in self.tasks.values_mut() {
            if task.pending.as_ref().is_some_and(|(until, ..)| *until <= now) {
                task.pending = None;
            }
        }
        let decisions = self.policy.decide(now, limit);
        for decision in &decisions {
            self.check(decision);
        }
        decisions
    }

    fn check(&mut self, decision: &PolicyDecision) {
        match decision {
            PolicyDecision::Start { task, attempt, worker, size } => self.check_start(*task, *attempt, worker, *size),
            PolicyDecision::Evict { task, attempt, .. } | PolicyDecision::Throttle { task, attempt, .. } => {
                let record = &self.tasks[task];
                assert_eq!(attempt.get(), record.attempt);
                assert_ne!(record.phase, FakePhase::Queued, "{decision:?} for a task that does not run");
                assert_eq!(record.class, TaskClass::Batch, "{decision:?} for an instance");
            }
            PolicyDecision::Replace { task, .. } => {
                let record = &self.tasks[task];
                assert_eq!(record.class, TaskClass::LatencyCritical);
                assert!(
                    self.zones_out.contains(&self.workers[&record.worker].zone),
                    "{decision:?} in a zone in service"
                );
            }
            PolicyDecision::Fail { task, .. } => {
                assert_eq!(self.tasks[task].phase, FakePhase::Queued, "{decision:?} for a task that runs");
            }
        }
    }

    fn check_start(&mut self, task: TaskId, attempt: AttemptNumber, worker: &WorkerId, size: ResourceSize) {
        let record = &self.tasks[&task];
        assert_eq!(record.phase, FakePhase::Queued, "{task} started though it is not queued");
        assert_eq!(attempt.get(), record.attempt);
        assert!(record.pending.is_none(), "{task} proposed twice within the pending time");
        assert!(record.size.fits_within(&size), "{task} gets less than declared");
        let place = &self.workers[worker.as_str()];
        assert!(place.present, "{task} starts on a lost worker");
        assert!(!self.zones_out.contains(&place.zone), "{task} starts in a zone that is out");
        let (capacity, team, batch) = (place.capacity, record.team.clone(), record.class == TaskClass::Batch);
        let deadline = self.now + self.pending;
        self.tasks.get_mut(&task).unwrap().pending = Some((deadline, worker.to_string(), size));
        let on = self.sum(|record| holder(record).is_some_and(|(held, _)| held == worker.as_str()));
        assert!(on.fits_within(&capacity), "{worker} is committed to {on} of {capacity}");
        if let Some(quota) = self.quotas.get(&team).filter(|_| batch) {
            let held = self.sum(|record| record.team == team && record.class == TaskClass::Batch);
            assert!(held.fits_within(quota), "team {team} holds {held} of {quota}");
        }
    }

    /// What matching tasks hold, pending starts included.
    pub(crate) fn sum(&self, matches: impl Fn(&FakeTask) -> bool) -> ResourceSize {
        self.tasks
            .values()
            .filter(|task| matches(task))
            .filter_map(|task| holder(task).map(|(_, size)| size))
            .fold(ResourceSize::default(), |sum, size| sum.checked_add(&size).unwrap())
    }

    /// Accepts a decision as the replicated state would, and lets workers confirm it at once.
    pub(crate) fn accept(&mut self, decision: &PolicyDecision) {
        match decision {
            PolicyDecision::Start { task, attempt, worker, size } => {
                let now = self.now;
                let record = self.tasks.get_mut(task).unwrap();
                record.pending = None;
                record.worker = worker.to_string();
                record.held = *size;
                record.phase = FakePhase::Running(now);
                let (task, attempt) = (*task, *attempt);
                self.observe(PolicyEvent::TaskPlaced { task, attempt, worker: worker.clone(), size: *size });
                self.observe(PolicyEvent::TaskRunning { task, attempt });
            }
            PolicyDecision::Evict { task, .. } => self.end(*task, TaskOutcome::Evicted),
            PolicyDecision::Throttle { task, level, .. } => self.tasks.get_mut(task).unwrap().throttle = *level,
            PolicyDecision::Replace { task, .. } => {
                let record = self.tasks[task].clone();
                self.submit(&record.service, &record.team, record.class, &record.size.to_string(), false);
                self.end(*task, TaskOutcome::Cancelled);
            }
            PolicyDecision::Fail { task, .. } => self.end(*task, TaskOutcome::Cancelled),
        }
    }

    /// Decides and accepts everything, and lets the time pass.
    pub(crate) fn step(&mut self, span: Duration) -> Vec<PolicyDecision> {
        let decisions = self.decide(10_000);
        for decision in &decisions {
            self.accept(decision);
        }
        self.pass(span);
        decisions
    }

    /// Reports the same usage for every task on a worker, measured `lag` ago.
    pub(crate) fn report(&mut self, worker: &str, lag: Duration, latency: Duration) {
        let tasks = self
            .held_on(worker)
            .into_iter()
            .map(|task| {
                let record = &self.tasks[&task];
                let kept = match record.throttle {
                    ThrottleLevel::None => 1,
                    ThrottleLevel::Light => 2,
                    ThrottleLevel::Hard => 8,
                };
                TaskUsage {
                    task,
                    cores: parsleywalk_units::MilliCores::new(record.size.cores.get() / kept),
                    memory: record.size.memory,
                    latency: (record.class == TaskClass::LatencyCritical).then_some(latency),
                    since_checkpoint: Duration::from_secs(10),
                }
            })
            .collect();
        let measured_at = self.now.saturating_sub(lag);
        self.observe(PolicyEvent::UsageReported { worker: worker.parse().unwrap(), measured_at, tasks });
    }
}

/// The worker on which a task holds capacity, or may once its pending start is accepted, with the size.
pub(crate) fn holder(task: &FakeTask) -> Option<(&str, ResourceSize)> {
    match (&task.phase, &task.pending) {
        (FakePhase::Queued, Some((_, worker, size))) => Some((worker, *size)),
        (FakePhase::Queued, None) => None,
        _ => Some((&task.worker, task.held)),
    }
}
