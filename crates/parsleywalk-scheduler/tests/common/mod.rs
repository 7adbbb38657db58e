//! A fake of the replicated state that checks every proposal and sends accepted proposals back as events.

#![allow(dead_code, reason = "each test file uses only some of the items")]

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
    pub(crate) allocated: ResourceSize,
    pub(crate) throttle: ThrottleLevel,
    /// A proposed start that may still be accepted: its deadline, worker and size.
    pub(crate) proposed_start: Option<(MonotonicTime, String, ResourceSize)>,
}

pub(crate) struct FakeState {
    pub(crate) now: MonotonicTime,
    pub(crate) policy: SchedulerPolicy,
    pub(crate) proposal_timeout: Duration,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    pub(crate) zones_out_of_service: Vec<String>,
    pub(crate) quotas: BTreeMap<String, ResourceSize>,
    pub(crate) tasks: BTreeMap<TaskId, FakeTask>,
    next_task: u64,
}

pub(crate) fn size(text: &str) -> ResourceSize {
    text.parse().unwrap()
}

impl FakeState {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        let proposal_timeout = settings.proposal_timeout;
        Self {
            now: MonotonicTime::from_millis(1000),
            policy: SchedulerPolicy::new(settings, 7),
            proposal_timeout,
            workers: BTreeMap::new(),
            zones_out_of_service: Vec::new(),
            quotas: BTreeMap::new(),
            tasks: BTreeMap::new(),
            next_task: 1,
        }
    }

    /// Creates a state with `racks` racks of `per_rack` workers each in three zones.
    pub(crate) fn with_cluster(settings: PolicySettings, racks: usize, per_rack: usize, capacity: &str) -> Self {
        let mut state = Self::new(settings);
        for rack in 0..racks {
            for number in 0..per_rack {
                state.join_worker(
                    &format!("w{rack}.{number}"),
                    &format!("z{}", rack % 3),
                    &format!("r{rack}"),
                    size(capacity),
                );
            }
        }
        state
    }

    pub(crate) fn observe(&mut self, event: PolicyEvent) {
        self.policy.observe(self.now, event);
    }

    pub(crate) fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    pub(crate) fn join_worker(&mut self, worker: &str, zone: &str, rack: &str, capacity: ResourceSize) {
        let record = FakeWorker { zone: zone.into(), rack: rack.into(), capacity, present: true };
        self.workers.insert(worker.into(), record);
        self.observe(PolicyEvent::WorkerJoined {
            worker: worker.parse().unwrap(),
            zone: zone.parse().unwrap(),
            rack: rack.parse().unwrap(),
            capacity,
        });
    }

    pub(crate) fn lose_worker(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.present = false;
        }
        self.observe(PolicyEvent::WorkerLost { worker: worker.parse().unwrap() });
        for task in self.tasks_on(worker) {
            self.end_attempt(task, TaskOutcome::Lost);
        }
    }

    pub(crate) fn set_zone(&mut self, zone: &str, in_service: bool) {
        self.zones_out_of_service.retain(|out| out != zone);
        if !in_service {
            self.zones_out_of_service.push(zone.into());
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

    pub(crate) fn submit(
        &mut self,
        service: &str,
        team: &str,
        class: TaskClass,
        declared: &str,
        urgent: bool,
    ) -> TaskId {
        let task = TaskId::new(self.next_task);
        self.next_task += 1;
        let record = FakeTask {
            attempt: 0,
            service: service.into(),
            team: team.into(),
            class,
            size: size(declared),
            urgent,
            phase: FakePhase::Queued,
            worker: String::new(),
            allocated: ResourceSize::default(),
            throttle: ThrottleLevel::None,
            proposed_start: None,
        };
        self.tasks.insert(task, record);
        self.queue(task);
        task
    }

    pub(crate) fn submit_batch(&mut self, declared: &str) -> TaskId {
        self.submit("resurvey", "planning", TaskClass::Batch, declared, false)
    }

    pub(crate) fn submit_instance(&mut self, declared: &str) -> TaskId {
        self.submit("marker", "planning", TaskClass::LatencyCritical, declared, false)
    }

    fn queue(&mut self, task: TaskId) {
        let record = self.tasks.get_mut(&task).unwrap();
        record.attempt += 1;
        record.phase = FakePhase::Queued;
        record.proposed_start = None;
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

    /// Ends the current attempt. Outcomes other than `Done` and `Cancelled` queue the next attempt.
    pub(crate) fn end_attempt(&mut self, task: TaskId, outcome: TaskOutcome) {
        let attempt = AttemptNumber::new(self.tasks[&task].attempt);
        self.observe(PolicyEvent::TaskEnded { task, attempt, outcome });
        if matches!(outcome, TaskOutcome::Done | TaskOutcome::Cancelled) {
            self.tasks.remove(&task);
        } else {
            self.queue(task);
        }
    }

    pub(crate) fn tasks_on(&self, worker: &str) -> Vec<TaskId> {
        let is_placed = |task: &FakeTask| task.phase != FakePhase::Queued && task.worker == worker;
        self.tasks.iter().filter(|(_, task)| is_placed(task)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn running(&self) -> Vec<TaskId> {
        let runs = |task: &FakeTask| matches!(task.phase, FakePhase::Running(_));
        self.tasks.iter().filter(|(_, task)| runs(task)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn queued(&self) -> Vec<TaskId> {
        self.tasks.iter().filter(|(_, task)| task.phase == FakePhase::Queued).map(|(id, _)| *id).collect()
    }

    /// Calls `decide`, checks every decision and returns them.
    pub(crate) fn decide(&mut self, limit: usize) -> Vec<PolicyDecision> {
        let now = self.now;
        for task in self.tasks.values_mut() {
            if task.proposed_start.as_ref().is_some_and(|(until, ..)| *until <= now) {
                task.proposed_start = None;
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
                assert_ne!(record.phase, FakePhase::Queued, "{decision:?} for a task that is not placed");
                assert_eq!(record.class, TaskClass::Batch, "{decision:?} for a service instance");
            }
            PolicyDecision::Replace { task, .. } => {
                let record = &self.tasks[task];
                assert_eq!(record.class, TaskClass::LatencyCritical);
                assert!(
                    self.zones_out_of_service.contains(&self.workers[&record.worker].zone),
                    "{decision:?} in a zone in service"
                );
            }
            PolicyDecision::Fail { task, .. } => {
                assert_eq!(self.tasks[task].phase, FakePhase::Queued, "{decision:?} for a task that is not queued");
            }
        }
    }

    fn check_start(&mut self, task: TaskId, attempt: AttemptNumber, worker: &WorkerId, size: ResourceSize) {
        let record = &self.tasks[&task];
        assert_eq!(record.phase, FakePhase::Queued, "{task} starts although it is not queued");
        assert_eq!(attempt.get(), record.attempt);
        assert!(record.proposed_start.is_none(), "{task} is proposed again before the proposal timeout");
        assert!(record.size.fits_within(&size), "{task} is allocated less than declared");
        let target = &self.workers[worker.as_str()];
        assert!(target.present, "{task} starts on a lost worker");
        assert!(!self.zones_out_of_service.contains(&target.zone), "{task} starts in a zone out of service");
        let (capacity, team, batch) = (target.capacity, record.team.clone(), record.class == TaskClass::Batch);
        let deadline = self.now + self.proposal_timeout;
        self.tasks.get_mut(&task).unwrap().proposed_start = Some((deadline, worker.to_string(), size));
        let allocated =
            self.total_allocated(|record| assignment(record).is_some_and(|(assigned, _)| assigned == worker.as_str()));
        assert!(allocated.fits_within(&capacity), "{worker} is allocated {allocated} of {capacity}");
        if let Some(quota) = self.quotas.get(&team).filter(|_| batch) {
            let allocated = self.total_allocated(|record| record.team == team && record.class == TaskClass::Batch);
            assert!(allocated.fits_within(quota), "team {team} has {allocated} of {quota}");
        }
    }

    /// Returns the size allocated to matching tasks, including proposed starts.
    pub(crate) fn total_allocated(&self, matches: impl Fn(&FakeTask) -> bool) -> ResourceSize {
        self.tasks
            .values()
            .filter(|task| matches(task))
            .filter_map(|task| assignment(task).map(|(_, size)| size))
            .fold(ResourceSize::default(), |sum, size| sum.checked_add(&size).unwrap())
    }

    /// Accepts a decision as the replicated state would, with immediate confirmation by the worker.
    pub(crate) fn accept(&mut self, decision: &PolicyDecision) {
        match decision {
            PolicyDecision::Start { task, attempt, worker, size } => {
                let now = self.now;
                let record = self.tasks.get_mut(task).unwrap();
                record.proposed_start = None;
                record.worker = worker.to_string();
                record.allocated = *size;
                record.phase = FakePhase::Running(now);
                let (task, attempt) = (*task, *attempt);
                self.observe(PolicyEvent::TaskPlaced { task, attempt, worker: worker.clone(), size: *size });
                self.observe(PolicyEvent::TaskRunning { task, attempt });
            }
            PolicyDecision::Evict { task, .. } => self.end_attempt(*task, TaskOutcome::Evicted),
            PolicyDecision::Throttle { task, level, .. } => self.tasks.get_mut(task).unwrap().throttle = *level,
            PolicyDecision::Replace { task, .. } => {
                let record = self.tasks[task].clone();
                self.submit(&record.service, &record.team, record.class, &record.size.to_string(), false);
                self.end_attempt(*task, TaskOutcome::Cancelled);
            }
            PolicyDecision::Fail { task, .. } => self.end_attempt(*task, TaskOutcome::Cancelled),
        }
    }

    /// Runs a scheduling cycle, accepts every decision and advances the time.
    pub(crate) fn run_cycle(&mut self, duration: Duration) -> Vec<PolicyDecision> {
        let decisions = self.decide(10_000);
        for decision in &decisions {
            self.accept(decision);
        }
        self.advance(duration);
        decisions
    }

    /// Reports the usage of every task on a worker, measured `lag` ago.
    pub(crate) fn report_usage(&mut self, worker: &str, lag: Duration, latency: Duration) {
        let tasks = self
            .tasks_on(worker)
            .into_iter()
            .map(|task| {
                let record = &self.tasks[&task];
                let core_divisor = match record.throttle {
                    ThrottleLevel::None => 1,
                    ThrottleLevel::Light => 2,
                    ThrottleLevel::Hard => 8,
                };
                TaskUsage {
                    task,
                    cores: parsleywalk_units::MilliCores::new(record.size.cores.get() / core_divisor),
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

/// Returns the worker and size that are allocated to a task, or proposed for its start.
pub(crate) fn assignment(task: &FakeTask) -> Option<(&str, ResourceSize)> {
    match (&task.phase, &task.proposed_start) {
        (FakePhase::Queued, Some((_, worker, size))) => Some((worker, *size)),
        (FakePhase::Queued, None) => None,
        _ => Some((&task.worker, task.allocated)),
    }
}
