//! Request latencies, usage reports and the execution of decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_scheduler::{EvictionCause, PolicyDecision, PolicyEvent, TaskOutcome, TaskUsage};
use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskId, ThrottleLevel, WorkerId,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ground_truth::{CRITICAL_SERVICE_COUNT, WORKER_COUNT};
use crate::simulation::{
    BenchTask, BenchWorker, COLD_START_SECONDS, INSTANCE_COUNTS, LOST_PROPOSAL_SHARE, Phase, RESTORE_SECONDS,
    STOP_DELAY_SECONDS, Simulation, cores_of, instance_size, memory_of, remaining_core_share, worker_size,
};

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small positive numbers")]
fn millicores(cores: f64) -> MilliCores {
    MilliCores::new((cores * 1000.0) as u32)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small positive numbers")]
fn bytes(memory: f64) -> MemoryBytes {
    MemoryBytes::new(memory as u64)
}

/// Returns a sample of approximately the standard normal distribution: the sum of twelve uniform samples.
fn standard_normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
}

impl Simulation {
    fn serving_instances(&self) -> Vec<TaskId> {
        let is_serving = |task: &BenchTask| {
            task.critical && task.phase != Phase::Queued && self.tick >= task.since + COLD_START_SECONDS.min(self.tick)
        };
        self.tasks.iter().filter(|(_, task)| is_serving(task)).map(|(id, _)| *id).collect()
    }

    /// Returns the utilization of each service's instances.
    fn utilization(&self) -> [f64; CRITICAL_SERVICE_COUNT] {
        let mut counts = [0.0; CRITICAL_SERVICE_COUNT];
        for id in self.serving_instances() {
            counts[self.tasks[&id].service] += 1.0;
        }
        let load = self.ground_truth.load(self.tick);
        let mut result = [0.0; CRITICAL_SERVICE_COUNT];
        for service in 0..CRITICAL_SERVICE_COUNT {
            #[expect(clippy::cast_precision_loss, reason = "a small count")]
            let required = load * INSTANCE_COUNTS[service] as f64;
            result[service] = (required / f64::max(counts[service], 1.0)).min(3.0);
        }
        result
    }

    /// Returns the true slowdown of an instance by the batch tasks on its worker.
    fn slowdown(&self, id: TaskId, demand: &[f64], load: f64) -> f64 {
        let instance = &self.tasks[&id];
        let mut sum = 0.0;
        for task in self.tasks.values().filter(|task| !task.critical && task.phase != Phase::Queued) {
            if task.worker == instance.worker {
                let noise = self.ground_truth.noise(task.service, self.tick);
                let slope = self.ground_truth.slopes[instance.service][task.service];
                sum += slope * task.cores * remaining_core_share(task.throttle) * noise;
            }
        }
        let oversubscription = (demand[instance.worker] / cores_of(&worker_size()) - 1.0).max(0.0);
        sum * (0.4 + 1.2 * load) + oversubscription
    }

    pub(crate) fn serve_requests(&mut self) {
        let utilization = self.utilization();
        let demand = self.demand();
        for id in self.serving_instances() {
            let service = self.tasks[&id].service;
            let used = utilization[service];
            let slowdown = self.slowdown(id, &demand, used.min(1.0));
            let queueing = 1.0 / (1.0 - 0.75 * used.min(1.0)) + 10.0 * (used - 1.0).max(0.0);
            let base = 8.0 + 4.0 * f64::from(u8::try_from(service).unwrap_or(0));
            let mean = base * queueing * (1.0 + slowdown);
            for _ in 0..2 {
                let sample = mean * (0.3 * standard_normal(&mut self.rng)).exp();
                self.measure.record_latency(sample);
            }
            // Reports contain the tail latency of the last seconds, which is noisy itself.
            let reported = mean * 2.0 * (0.08 * standard_normal(&mut self.rng)).exp();
            if let Some(task) = self.tasks.get_mut(&id) {
                task.done = reported;
                task.cores = 4.0 * (0.2 + 0.8 * used.min(1.0));
            }
        }
    }

    /// Measures the usage of each worker every 5 s and delivers each report after the worker's lag.
    pub(crate) fn deliver_reports(&mut self) {
        for worker in 0..WORKER_COUNT {
            if !self.workers[worker].present {
                continue;
            }
            if (self.tick + worker as u64).is_multiple_of(5) {
                let usages = self.usages(worker);
                let due = self.tick + self.workers[worker].lag;
                self.workers[worker].reports.push_back((due, self.tick, usages));
            }
            while self.workers[worker].reports.front().is_some_and(|report| report.0 <= self.tick) {
                if let Some((_, measured, tasks)) = self.workers[worker].reports.pop_front() {
                    let measured_at = MonotonicTime::from_millis(1000 + measured * 1000);
                    let id = self.workers[worker].id.clone();
                    self.observe(PolicyEvent::UsageReported { worker: id, measured_at, tasks });
                }
            }
        }
    }

    fn usages(&self, worker: usize) -> Vec<TaskUsage> {
        let running = self.tasks_on(worker).into_iter().map(|id| (id, &self.tasks[&id]));
        running
            .map(|(task, record)| {
                let is_serving = record.critical && self.tick >= record.since + COLD_START_SECONDS;
                let unsaved = if record.critical { 0.0 } else { (record.done - record.saved).max(0.0) };
                TaskUsage {
                    task,
                    cores: millicores(record.cores * remaining_core_share(record.throttle)),
                    memory: bytes(record.memory),
                    latency: is_serving.then(|| Duration::from_secs_f64(record.done / 1000.0)),
                    since_checkpoint: Duration::from_secs_f64(unsaved),
                }
            })
            .collect()
    }

    pub(crate) fn decide(&mut self) {
        let now = self.now();
        for decision in self.policy.decide(now) {
            if !self.rng.random_bool(LOST_PROPOSAL_SHARE) {
                self.apply(&decision);
            }
        }
        if self.trace && self.tick.is_multiple_of(60) {
            self.print_trace();
        }
        self.measure.add_available_work(self.tick, self.available_work());
    }

    fn print_trace(&self) {
        let count = |keep: &dyn Fn(&BenchTask) -> bool| self.tasks.values().filter(|task| keep(task)).count();
        let allocated_cores: f64 =
            self.tasks.values().filter(|task| task.phase != Phase::Queued).map(|task| cores_of(&task.size)).sum();
        eprintln!(
            "tick={} load={:.2} committed={allocated_cores:.0} light={} hard={} stopping={} waiting_instances={} {:?}",
            self.tick,
            self.ground_truth.load(self.tick),
            count(&|task| task.throttle == ThrottleLevel::Light),
            count(&|task| task.throttle == ThrottleLevel::Hard),
            count(&|task| matches!(task.phase, Phase::Stopping(_))),
            count(&|task| task.critical && task.phase == Phase::Queued),
            self.measure.causes,
        );
        if let crate::baseline::BenchPolicy::Ours(policy) = &self.policy {
            let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
            for (id, _) in self.tasks.iter().filter(|(_, task)| task.phase == Phase::Queued) {
                *reasons.entry(policy.explain(*id).to_string()).or_default() += 1;
            }
            eprintln!("  {reasons:?}");
        }
    }

    /// Returns the batch work that is possible in this second: the capacity of healthy workers in service minus that of
    /// the service instances.
    fn available_work(&self) -> f64 {
        let is_usable =
            |worker: &BenchWorker| worker.present && !worker.broken && !(self.zone_out_of_service && worker.zone == 1);
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let workers = self.workers.iter().filter(|worker| is_usable(worker)).count() as f64;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let instances = INSTANCE_COUNTS.iter().sum::<usize>() as f64;
        let cores = workers * cores_of(&worker_size()) - instances * cores_of(&instance_size());
        let memory = workers * memory_of(&worker_size()) - instances * memory_of(&instance_size());
        // The mix of batch services is given, so the memory that it needs per core limits the work as well. Each task
        // also spends time on restoring its state once.
        #[expect(clippy::cast_precision_loss, reason = "seconds")]
        let restore = RESTORE_SECONDS as f64;
        cores.min(memory / self.ground_truth.memory_per_core()) * self.ground_truth.useful_share(restore)
    }

    fn apply(&mut self, decision: &PolicyDecision) {
        match decision {
            PolicyDecision::Start { task, attempt, worker, size } => {
                self.start(*task, *attempt, worker, *size);
            }
            PolicyDecision::Evict { task, attempt, reason } => self.evict(*task, *attempt, *reason),
            PolicyDecision::Throttle { task, attempt, level } => {
                if let Some(record) = self.tasks.get_mut(task).filter(|record| record.attempt == attempt.get()) {
                    record.throttle = *level;
                    self.measure.throttles += 1;
                }
            }
            PolicyDecision::Replace { task, attempt } => self.replace(*task, *attempt),
            PolicyDecision::Fail { task, .. } => {
                let Some(record) = self.tasks.get(task) else { return };
                self.measure.failed_jobs += 1;
                if !record.always_fails {
                    self.measure.wrongly_failed += 1;
                }
                self.end(*task, TaskOutcome::Cancelled);
            }
        }
    }

    fn start(&mut self, id: TaskId, attempt: AttemptNumber, worker: &WorkerId, size: ResourceSize) {
        let index = self.workers.iter().position(|record| record.id == *worker);
        let Some(index) = index.filter(|index| self.workers[*index].present) else { return };
        let tick = self.tick;
        let out_of_service = self.zone_out_of_service && self.workers[index].zone == 1;
        let allocated = self
            .tasks_on(index)
            .iter()
            .fold(size, |sum, id| sum.checked_add(&self.tasks[id].size).expect("far below the limit"));
        assert!(
            !out_of_service && allocated.fits_within(&worker_size()),
            "{id} starts at {worker}, which then has {allocated} allocated"
        );
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.attempt != attempt.get() || task.phase != Phase::Queued {
            return;
        }
        task.phase = Phase::Running;
        task.worker = index;
        task.size = size;
        task.since = tick;
        if task.urgent {
            self.measure.record_urgent_wait(tick - task.queued_at);
        }
        self.observe(PolicyEvent::TaskPlaced { task: id, attempt, worker: worker.clone(), size });
        self.observe(PolicyEvent::TaskRunning { task: id, attempt });
    }

    fn evict(&mut self, id: TaskId, attempt: AttemptNumber, reason: EvictionCause) {
        let until = self.tick + STOP_DELAY_SECONDS;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.attempt == attempt.get() && task.phase == Phase::Running && !task.critical {
            task.phase = Phase::Stopping(until);
            self.measure.count_eviction(reason);
        }
    }

    fn replace(&mut self, id: TaskId, attempt: AttemptNumber) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.attempt == attempt.get() && task.critical && !task.replaced {
            task.replaced = true;
            let service = task.service;
            self.add_instance(service, Some(id));
        }
    }
}
