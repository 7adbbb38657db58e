//! Simulation of one run in steps of one second.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parsleywalk_scheduler::{ObjectiveWeights, PolicyEvent, ServiceSpec, TaskOutcome, TaskUsage, TeamQuota};
use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel, WorkerId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::baseline::BenchPolicy;
use crate::ground_truth::{
    BATCH_SERVICE_COUNT, BenchEvent, BenchUser, CRITICAL_SERVICE_COUNT, GroundTruth, RUN_SECONDS, WORKER_COUNT,
    ZONE_BACK_AT, ZONE_OUT_AT,
};
use crate::measure::RunMeasure;

/// Time until a new instance serves requests.
pub(crate) const COLD_START_SECONDS: u64 = 20;
/// Time from the start of a stop to the worker's confirmation.
pub(crate) const STOP_DELAY_SECONDS: u64 = 2;
/// Time in which a started batch task restores its state without progress.
pub(crate) const RESTORE_SECONDS: u64 = 20;
/// Share of proposals that are lost, so that the policy has to repeat them.
pub(crate) const LOST_PROPOSAL_SHARE: f64 = 0.02;
/// Share of stops with a successful checkpoint. Otherwise the task resumes from its last periodic checkpoint.
pub(crate) const STOP_CHECKPOINT_SHARE: f64 = 0.8;
pub(crate) const INSTANCE_COUNTS: [usize; CRITICAL_SERVICE_COUNT] = [30, 20];
const MIN_QUEUED_BATCH_TASKS: usize = 120;

/// Number of spare instances of each service, and how long they run after a worker loss or a high load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpareSettings {
    pub(crate) spares: usize,
    /// In seconds; 0 runs the spares all the time.
    pub(crate) cool_down: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Queued,
    Running,
    /// The task stops until the given second.
    Stopping(u64),
}

#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "independent properties of one task")]
pub(crate) struct BenchTask {
    pub(crate) attempt: u32,
    pub(crate) service: usize,
    pub(crate) critical: bool,
    pub(crate) urgent: bool,
    pub(crate) phase: Phase,
    pub(crate) worker: usize,
    pub(crate) size: ResourceSize,
    /// True processor usage in cores.
    pub(crate) cores: f64,
    /// True memory usage in bytes.
    pub(crate) memory: f64,
    /// Second at which the current attempt started.
    pub(crate) since: u64,
    /// Progress in seconds of a batch task, or the last measured latency of an instance in milliseconds.
    pub(crate) done: f64,
    /// Progress that is covered by the last checkpoint.
    pub(crate) saved: f64,
    /// Run time of a batch task in seconds, without a throttle.
    pub(crate) total: f64,
    pub(crate) throttle: ThrottleLevel,
    pub(crate) always_fails: bool,
    pub(crate) cancelled: bool,
    pub(crate) failures: u32,
    pub(crate) queued_at: u64,
    /// The instance that this one replaces.
    pub(crate) replaces: Option<TaskId>,
    pub(crate) replaced: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct BenchWorker {
    pub(crate) id: WorkerId,
    pub(crate) zone: usize,
    pub(crate) rack: usize,
    pub(crate) present: bool,
    pub(crate) broken: bool,
    /// Seconds from a measurement to the delivery of its report.
    pub(crate) lag: u64,
    /// Measured reports, each with the seconds of its delivery and of its measurement.
    pub(crate) reports: VecDeque<(u64, u64, Vec<TaskUsage>)>,
}

pub(crate) struct Simulation {
    pub(crate) ground_truth: GroundTruth,
    pub(crate) policy: BenchPolicy,
    pub(crate) measure: RunMeasure,
    pub(crate) rng: Pcg64Mcg,
    /// Separate generator for task properties, so that all policies get the same tasks.
    pub(crate) task_rng: Pcg64Mcg,
    pub(crate) workers: Vec<BenchWorker>,
    pub(crate) tasks: BTreeMap<TaskId, BenchTask>,
    pub(crate) next: u64,
    pub(crate) tick: u64,
    pub(crate) zone_out_of_service: bool,
    /// Whether batch tasks run beside the service instances.
    pub(crate) batch: bool,
    pub(crate) spares: SpareSettings,
    /// Second until which the spare instances run.
    pub(crate) spares_until: u64,
    pub(crate) trace: bool,
}

fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

pub(crate) fn remaining_core_share(level: ThrottleLevel) -> f64 {
    match level {
        ThrottleLevel::None => 1.0,
        ThrottleLevel::Light => 0.5,
        ThrottleLevel::Hard => 0.125,
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(crate) fn memory_of(size: &ResourceSize) -> f64 {
    size.memory.get() as f64
}

pub(crate) fn cores_of(size: &ResourceSize) -> f64 {
    f64::from(size.cores.get()) / 1000.0
}

pub(crate) fn worker_size() -> ResourceSize {
    ResourceSize::new(MilliCores::new(32_000), MemoryBytes::new(125_000_000_000))
}

pub(crate) fn instance_size() -> ResourceSize {
    ResourceSize::new(MilliCores::new(4000), MemoryBytes::new(16_000_000_000))
}

impl Simulation {
    pub(crate) fn new(user: BenchUser, seed: u64, policy: BenchPolicy, batch: bool, spares: SpareSettings) -> Self {
        let workers = (0..WORKER_COUNT)
            .map(|number| BenchWorker {
                id: format!("w{number:02}").parse().expect("a valid name"),
                zone: number / 8 % 3,
                rack: number / 8,
                present: false,
                broken: false,
                lag: 2 + number as u64 % 5,
                reports: VecDeque::new(),
            })
            .collect();
        let mut simulation = Self {
            ground_truth: GroundTruth::generate(user, seed),
            policy,
            measure: RunMeasure::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            task_rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31)),
            workers,
            tasks: BTreeMap::new(),
            next: 1,
            tick: 0,
            zone_out_of_service: false,
            batch,
            spares,
            spares_until: 0,
            trace: std::env::var_os("POLICY_BENCH_TRACE").is_some(),
        };
        simulation.configure(user);
        simulation
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(1000 + self.tick * 1000)
    }

    pub(crate) fn observe(&mut self, event: PolicyEvent) {
        let now = self.now();
        self.policy.observe(now, event);
    }

    fn configure(&mut self, user: BenchUser) {
        let (batch_throughput, service_latency) = user.weights();
        let batch = self.ground_truth.batch.iter().enumerate().map(|(number, batch)| ServiceSpec {
            name: format!("batch{number}").parse().expect("a valid name"),
            class: TaskClass::Batch,
            instances: 0,
            run_time: Some(Duration::from_secs_f64(batch.run_time)),
        });
        let critical = INSTANCE_COUNTS.iter().enumerate().map(|(number, count)| ServiceSpec {
            name: format!("service{number}").parse().expect("a valid name"),
            class: TaskClass::LatencyCritical,
            instances: u32::try_from(*count).expect("a small count"),
            run_time: None,
        });
        let services = critical.chain(batch).collect();
        let teams = (0..3)
            .map(|team| TeamQuota {
                team: format!("team{team}").parse().expect("a valid name"),
                weight: team + 1,
                quota: None,
            })
            .collect();
        let weights = ObjectiveWeights { batch_throughput, service_latency };
        self.observe(PolicyEvent::ConfigurationChanged { services, teams, weights });
        for worker in 0..WORKER_COUNT {
            self.join_worker(worker);
        }
        for (service, count) in INSTANCE_COUNTS.iter().enumerate() {
            for _ in 0..*count {
                self.add_instance(service, None);
            }
        }
    }

    fn join_worker(&mut self, worker: usize) {
        let record = &mut self.workers[worker];
        if record.present || (self.zone_out_of_service && record.zone == 1 && self.tick >= ZONE_OUT_AT + 300) {
            return;
        }
        record.present = true;
        record.broken = false;
        let event = PolicyEvent::WorkerJoined {
            worker: record.id.clone(),
            zone: zone_name(record.zone).parse().expect("a valid name"),
            rack: format!("r{}", record.rack).parse().expect("a valid name"),
            capacity: worker_size(),
        };
        self.observe(event);
    }

    fn lose_worker(&mut self, worker: usize) {
        if !self.workers[worker].present {
            return;
        }
        self.workers[worker].present = false;
        self.workers[worker].reports.clear();
        let id = self.workers[worker].id.clone();
        self.observe(PolicyEvent::WorkerLost { worker: id });
        for task in self.tasks_on(worker) {
            self.record_lost_progress(task);
            self.end(task, TaskOutcome::Lost);
        }
        self.spares_until = self.tick + self.spares.cool_down;
    }

    pub(crate) fn tasks_on(&self, worker: usize) -> Vec<TaskId> {
        let is_placed = |task: &BenchTask| task.phase != Phase::Queued && task.worker == worker;
        self.tasks.iter().filter(|(_, task)| is_placed(task)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn add_instance(&mut self, service: usize, replaces: Option<TaskId>) {
        let size = instance_size();
        let task = BenchTask {
            attempt: 0,
            service,
            critical: true,
            urgent: false,
            phase: Phase::Queued,
            worker: 0,
            size,
            cores: cores_of(&size),
            memory: memory_of(&size) * 0.8,
            since: 0,
            done: 0.0,
            saved: 0.0,
            total: f64::MAX,
            throttle: ThrottleLevel::None,
            always_fails: false,
            cancelled: false,
            failures: 0,
            queued_at: self.tick,
            replaces,
            replaced: false,
        };
        self.add(task);
    }

    fn add_batch_task(&mut self, urgent: bool) {
        let service = self.task_rng.random_range(0..BATCH_SERVICE_COUNT);
        let batch_truth = &self.ground_truth.batch[service];
        let task_factor = self.task_rng.random_range(0.85..1.15);
        let total = batch_truth.run_time * batch_truth.run_time_ratio * self.task_rng.random_range(0.7..1.3);
        let always_fails = self.task_rng.random_bool(0.01);
        let task = BenchTask {
            attempt: 0,
            service,
            critical: false,
            urgent,
            phase: Phase::Queued,
            worker: 0,
            size: batch_truth.declared,
            cores: cores_of(&batch_truth.declared) * batch_truth.core_ratio * task_factor,
            memory: memory_of(&batch_truth.declared) * batch_truth.memory_ratio * task_factor,
            since: 0,
            done: 0.0,
            saved: 0.0,
            total,
            throttle: ThrottleLevel::None,
            always_fails,
            cancelled: false,
            failures: 0,
            queued_at: self.tick,
            replaces: None,
            replaced: false,
        };
        self.add(task);
    }

    fn add(&mut self, task: BenchTask) {
        let id = TaskId::new(self.next);
        self.next += 1;
        self.tasks.insert(id, task);
        self.queue(id);
    }

    fn queue(&mut self, id: TaskId) {
        let tick = self.tick;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.attempt += 1;
        task.phase = Phase::Queued;
        task.throttle = ThrottleLevel::None;
        task.done = task.saved;
        task.queued_at = tick;
        let class = if task.critical { TaskClass::LatencyCritical } else { TaskClass::Batch };
        let kind = if task.critical { "service" } else { "batch" };
        let team = if task.critical { 0 } else { self.ground_truth.batch[task.service].team };
        let run_time =
            (!task.critical).then(|| Duration::from_secs_f64(self.ground_truth.batch[task.service].run_time));
        let event = PolicyEvent::TaskQueued {
            task: id,
            attempt: AttemptNumber::new(task.attempt),
            service: format!("{kind}{}", task.service).parse().expect("a valid name"),
            team: format!("team{team}").parse().expect("a valid name"),
            class,
            size: if task.critical { instance_size() } else { self.ground_truth.batch[task.service].declared },
            urgent: task.urgent,
            run_time,
            saved: Duration::from_secs_f64(task.saved),
        };
        self.observe(event);
    }

    /// Returns the work of a task per second without a throttle: its true processors, at least the declared ones.
    pub(crate) fn work_rate(task: &BenchTask, declared: &ResourceSize) -> f64 {
        task.cores.max(cores_of(declared))
    }

    pub(crate) fn declared(&self, task: &BenchTask) -> ResourceSize {
        if task.critical { instance_size() } else { self.ground_truth.batch[task.service].declared }
    }

    /// Records the progress since the last checkpoint as lost.
    pub(crate) fn record_lost_progress(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(&id).filter(|task| !task.critical) else { return };
        let lost = (task.done - task.saved).max(0.0) * Self::work_rate(task, &self.declared(task));
        self.measure.add_lost_work(self.tick, lost);
    }

    /// Ends an attempt. Lost instances are replaced by new ones; evicted, failed and lost batch tasks are queued again.
    pub(crate) fn end(&mut self, id: TaskId, outcome: TaskOutcome) {
        let Some(task) = self.tasks.get(&id) else { return };
        let (attempt, critical, service, replaced) = (task.attempt, task.critical, task.service, task.replaced);
        self.observe(PolicyEvent::TaskEnded { task: id, attempt: AttemptNumber::new(attempt), outcome });
        if critical || matches!(outcome, TaskOutcome::Done | TaskOutcome::Cancelled) {
            self.tasks.remove(&id);
            if critical && outcome == TaskOutcome::Lost && !replaced {
                self.add_instance(service, None);
            }
        } else {
            self.queue(id);
        }
    }

    pub(crate) fn run(mut self) -> RunMeasure {
        let events = self.ground_truth.events.clone();
        let mut next = 0;
        while self.tick < RUN_SECONDS {
            while next < events.len() && events[next].0 <= self.tick {
                self.apply_event(events[next].1);
                next += 1;
            }
            self.fill_queue();
            self.adjust_spares();
            self.progress();
            self.serve_requests();
            self.deliver_reports();
            self.decide();
            self.tick += 1;
        }
        self.measure.finish();
        self.measure
    }

    fn apply_event(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::ZoneOutOfService | BenchEvent::ZoneBackInService => {
                self.zone_out_of_service = matches!(event, BenchEvent::ZoneOutOfService);
                if !self.zone_out_of_service {
                    for worker in 0..WORKER_COUNT {
                        if self.workers[worker].zone == 1 {
                            self.join_worker(worker);
                        }
                    }
                }
                let zone = zone_name(1).parse().expect("a valid name");
                self.observe(PolicyEvent::ZoneChanged { zone, in_service: !self.zone_out_of_service });
            }
            BenchEvent::ZoneLost => {
                for worker in 0..WORKER_COUNT {
                    if self.workers[worker].zone == 1 {
                        self.lose_worker(worker);
                    }
                }
            }
            BenchEvent::WorkerLost(worker) => self.lose_worker(worker),
            BenchEvent::WorkerBack(worker) => self.join_worker(worker),
            BenchEvent::WorkerBreaks(worker) => self.workers[worker].broken = true,
            BenchEvent::WorkerRecovers(worker) => self.workers[worker].broken = false,
            BenchEvent::CancelFlood => self.cancel_flood(),
            BenchEvent::UrgentBurst(count) => {
                for _ in 0..count {
                    if self.batch {
                        self.add_batch_task(true);
                    }
                }
            }
        }
    }

    /// Cancels half of the queued batch tasks and a few running ones.
    fn cancel_flood(&mut self) {
        let mut chosen = Vec::new();
        for (id, task) in &mut self.tasks {
            let share = if task.phase == Phase::Queued { 2 } else { 20 };
            if !task.critical && id.get() % share == 0 {
                match task.phase {
                    Phase::Queued => chosen.push(*id),
                    _ => task.cancelled = true,
                }
                if task.phase == Phase::Running {
                    task.phase = Phase::Stopping(self.tick + STOP_DELAY_SECONDS);
                }
            }
        }
        for id in chosen {
            self.end(id, TaskOutcome::Cancelled);
        }
    }

    /// Fills the queue, so that capacity limits the throughput.
    fn fill_queue(&mut self) {
        if !self.batch {
            return;
        }
        let queued = self.tasks.values().filter(|task| !task.critical && task.phase == Phase::Queued).count();
        for _ in queued..MIN_QUEUED_BATCH_TASKS {
            self.add_batch_task(false);
        }
    }

    fn adjust_spares(&mut self) {
        if self.spares.spares == 0 {
            return;
        }
        if self.ground_truth.load(self.tick) > 0.7 {
            self.spares_until = self.spares_until.max(self.tick + self.spares.cool_down);
        }
        let wanted = if self.spares.cool_down == 0 || self.tick < self.spares_until { self.spares.spares } else { 0 };
        for (service, count) in INSTANCE_COUNTS.iter().enumerate() {
            let is_current = |task: &BenchTask| task.critical && task.service == service && !task.replaced;
            let current: Vec<TaskId> =
                self.tasks.iter().filter(|(_, task)| is_current(task)).map(|(id, _)| *id).collect();
            for _ in current.len()..count + wanted {
                self.add_instance(service, None);
            }
            for id in current.iter().rev().take(current.len().saturating_sub(count + wanted)) {
                self.end(*id, TaskOutcome::Cancelled);
            }
        }
    }
}

/// Returns true if a second belongs to the measured zone outage, which ends 5 minutes after the zone is back in
/// service.
pub(crate) fn is_zone_outage(tick: u64) -> bool {
    (ZONE_OUT_AT..ZONE_BACK_AT + 300).contains(&tick)
}
