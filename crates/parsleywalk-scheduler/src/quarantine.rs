//! Detection of workers on which all tasks fail and of tasks that fail on all workers.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId};

/// Failure score at which a worker is quarantined.
const FAILURE_SCORE_LIMIT: f64 = 2.0;
/// Half-life of failure scores in seconds. On a broken worker tasks fail within seconds; rare failures on a healthy
/// worker must not add up.
const FAILURE_SCORE_HALF_LIFE_SECONDS: f64 = 120.0;
/// A task that fails this often is ended even if it failed on too few distinct workers.
const MAX_TASK_FAILURES: usize = 8;
/// How long a task avoids a worker after its first failure. Each further failure doubles it, up to 16 times this value.
const FIRST_AVOIDANCE: Duration = Duration::from_mins(1);
/// Number of tasks whose failure records are kept. The records of the lowest task ids are dropped first.
const MAX_FAILED_TASKS: usize = 20_000;
/// Weight of one outcome in the success rate of a service.
const SUCCESS_RATE_STEP: f64 = 0.05;

/// Failure score and quarantine state of a worker.
#[derive(Debug, Clone, Copy, Default)]
struct WorkerHealth {
    failure_score: f64,
    scored_at: MonotonicTime,
    /// The task that failed last, so that repeated failures of one task cannot quarantine a worker.
    last_failed_task: Option<TaskId>,
    /// Number of failures since the last success, without consecutive failures of the same task.
    distinct_tasks: u32,
    /// Number of failed probes; `None` if the worker is not quarantined.
    failed_probes: Option<u32>,
    /// When the next probe may start.
    probe_due: MonotonicTime,
    /// The task that runs as a probe.
    probe: Option<TaskId>,
}

/// A failure of a task on a worker.
#[derive(Debug, Clone, Copy)]
struct FailureRecord {
    worker: u32,
    /// Part of the failure that was added to the worker's failure score, from 0 to 1.
    attributed_score: f64,
    /// Until when the task avoids the worker. This is limited, because no other worker may have enough capacity.
    avoided_until: MonotonicTime,
}

/// Attributes failures to workers or tasks, and quarantines workers.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuarantineList {
    workers: Vec<WorkerHealth>,
    /// Quarantined workers without a running probe, by the end of their backoff.
    awaiting_probe: BTreeSet<(MonotonicTime, u32)>,
    /// Success rate of each service.
    success_rates: Vec<f64>,
    /// Failure records of each task.
    failures: HashMap<TaskId, Vec<FailureRecord>>,
    /// Ids of the tasks with failure records, to drop the records of the lowest ids first.
    task_order: BTreeSet<TaskId>,
    quarantined_count: usize,
}

impl QuarantineList {
    fn health(&mut self, worker: u32) -> &mut WorkerHealth {
        let index = worker as usize;
        if self.workers.len() <= index {
            self.workers.resize(index + 1, WorkerHealth::default());
        }
        &mut self.workers[index]
    }

    fn success_rate_mut(&mut self, service: u32) -> &mut f64 {
        let index = service as usize;
        if self.success_rates.len() <= index {
            self.success_rates.resize(index + 1, 0.8);
        }
        &mut self.success_rates[index]
    }

    pub(crate) fn is_quarantined(&self, worker: u32) -> bool {
        self.workers.get(worker as usize).is_some_and(|health| health.failed_probes.is_some())
    }

    /// Returns the number of quarantined workers.
    pub(crate) fn len(&self) -> usize {
        self.quarantined_count
    }

    pub(crate) fn has_failed(&self, task: TaskId) -> bool {
        self.failures.contains_key(&task)
    }

    /// Returns true if the task avoids the worker because it failed there recently.
    pub(crate) fn avoids(&self, now: MonotonicTime, task: TaskId, worker: u32) -> bool {
        let avoided = |record: &FailureRecord| record.worker == worker && now < record.avoided_until;
        self.failures.get(&task).is_some_and(|list| list.iter().any(avoided))
    }

    /// Records a failure. The part attributed to the worker grows with the success rate of the service, and shrinks
    /// with the number of other healthy workers on which the task failed. `pause` is the first backoff before a
    /// quarantined worker is probed.
    pub(crate) fn add_failure(&mut self, now: MonotonicTime, task: TaskId, service: u32, worker: u32, pause: Duration) {
        let others = self.failures.get(&task).map_or(0, |list| {
            list.iter().filter(|record| record.worker != worker && !self.is_quarantined(record.worker)).count()
        });
        let success_rate = self.success_rate_mut(service);
        let rate = *success_rate;
        *success_rate -= rate * SUCCESS_RATE_STEP;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let attributed_score = rate / (1.0 + others as f64);
        self.add_failure_record(now, task, worker, attributed_score);
        let health = self.health(worker);
        if let Some(failed_probes) = health.failed_probes {
            if health.probe == Some(task) {
                health.probe = None;
                let failed_probes = failed_probes + 1;
                health.failed_probes = Some(failed_probes);
                health.probe_due = now + pause * (1 << failed_probes.min(3));
                let due = health.probe_due;
                self.awaiting_probe.insert((due, worker));
            }
            return;
        }
        health.failure_score = health.failure_score
            * 0.5_f64.powf(now.since(health.scored_at).as_secs_f64() / FAILURE_SCORE_HALF_LIFE_SECONDS)
            + attributed_score;
        health.scored_at = now;
        if health.last_failed_task != Some(task) {
            health.distinct_tasks += 1;
            health.last_failed_task = Some(task);
        }
        if health.failure_score < FAILURE_SCORE_LIMIT || health.distinct_tasks < 2 {
            return;
        }
        health.failed_probes = Some(0);
        health.probe_due = now + pause;
        let due = health.probe_due;
        self.awaiting_probe.insert((due, worker));
        self.quarantined_count += 1;
    }

    fn add_failure_record(&mut self, now: MonotonicTime, task: TaskId, worker: u32, attributed_score: f64) {
        let records = self.failures.entry(task).or_default();
        let avoided_until = now + FIRST_AVOIDANCE * (1 << records.len().min(4));
        records.push(FailureRecord { worker, attributed_score, avoided_until });
        self.task_order.insert(task);
        if self.task_order.len() > MAX_FAILED_TASKS
            && let Some(oldest) = self.task_order.pop_first()
        {
            self.failures.remove(&oldest);
        }
    }

    /// Records a success. A success on a quarantined worker ends its quarantine.
    pub(crate) fn add_success(&mut self, task: TaskId, service: u32, worker: u32) {
        let success_rate = self.success_rate_mut(service);
        *success_rate += (1.0 - *success_rate) * SUCCESS_RATE_STEP;
        // The task is able to succeed, so its earlier failures are attributed to the workers in full.
        for record in self.take_failure_records(task) {
            self.health(record.worker).failure_score += 1.0 - record.attributed_score;
        }
        let health = self.health(worker);
        health.failure_score *= 0.25;
        health.distinct_tasks = 0;
        health.last_failed_task = None;
        self.release(worker);
    }

    /// Drops a task's failure records.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.take_failure_records(task);
    }

    fn take_failure_records(&mut self, task: TaskId) -> Vec<FailureRecord> {
        self.task_order.remove(&task);
        self.failures.remove(&task).unwrap_or_default()
    }

    /// Subtracts the failures of a task from the failure scores of workers, after the task turned out to fail
    /// everywhere.
    pub(crate) fn retract_failure_scores(&mut self, task: TaskId) {
        for record in self.failures.get(&task).cloned().unwrap_or_default() {
            let health = self.health(record.worker);
            health.failure_score = (health.failure_score - record.attributed_score).max(0.0);
        }
    }

    /// Ends a worker's quarantine, for example because its VM was replaced.
    pub(crate) fn release(&mut self, worker: u32) {
        let health = self.health(worker);
        if health.failed_probes.is_some() {
            let due = health.probe_due;
            *health = WorkerHealth::default();
            self.awaiting_probe.remove(&(due, worker));
            self.quarantined_count -= 1;
        }
    }

    /// Returns up to 8 quarantined workers without a running probe whose backoff has ended.
    pub(crate) fn due_for_probe(&self, now: MonotonicTime) -> impl Iterator<Item = u32> {
        self.awaiting_probe.iter().take_while(move |(due, _)| *due <= now).take(8).map(|(_, worker)| *worker)
    }

    /// Makes a task the probe of a worker. A worker has at most one probe at a time.
    pub(crate) fn begin_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        health.probe = Some(task);
        let due = health.probe_due;
        self.awaiting_probe.remove(&(due, worker));
    }

    /// Ends a probe that neither succeeded nor failed. The next probe may start at once.
    pub(crate) fn end_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        if health.failed_probes.is_some() && health.probe == Some(task) {
            health.probe = None;
            let due = health.probe_due;
            self.awaiting_probe.insert((due, worker));
        }
    }

    /// Returns the distinct healthy workers on which a task failed, or `None` if it should not end as failed: they are
    /// fewer than `min_workers` and the task failed less than [`MAX_TASK_FAILURES`] times.
    pub(crate) fn failed_healthy_workers(&self, task: TaskId, min_workers: usize) -> Option<Vec<u32>> {
        let list = self.failures.get(&task)?;
        let mut healthy: Vec<u32> =
            list.iter().map(|record| record.worker).filter(|worker| !self.is_quarantined(*worker)).collect();
        healthy.sort_unstable();
        healthy.dedup();
        let repeated = list.len() >= MAX_TASK_FAILURES && !healthy.is_empty();
        (healthy.len() >= min_workers || repeated).then_some(healthy)
    }
}
