//! Workers that fail everything, and tasks that fail everywhere.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId};

/// Blame since the last success at which a worker is quarantined.
const FAILURE_SCORE_LIMIT: f64 = 2.0;
/// Seconds. A worker that fails everything fails again within seconds; rare failures of sound workers must not add up.
const FAILURE_SCORE_HALF_LIFE: f64 = 120.0;
/// A task that fails this often is ended even where there are too few distinct workers.
const TOTAL_FAILURE_LIMIT: usize = 8;
/// How long a task avoids a worker after its first failure; doubles up to 16 times with each further one.
const FIRST_AVOIDANCE: Duration = Duration::from_mins(1);
/// Histories of failures that are kept; the lowest task ids are dropped first.
const HISTORY_LIMIT: usize = 20_000;
/// The weight of one outcome in a service's share of successes.
const SUCCESS_RATE_STEP: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct WorkerHealth {
    failure_score: f64,
    scored_at: MonotonicTime,
    /// The task that failed last, so that one task alone cannot condemn a worker.
    last_failed_task: Option<TaskId>,
    distinct_tasks: u32,
    /// The number of failed probes, where the worker is quarantined.
    failed_probes: Option<u32>,
    due: MonotonicTime,
    probe: Option<TaskId>,
}

/// One failure of a task.
#[derive(Debug, Clone, Copy)]
struct FailureRecord {
    worker: u32,
    /// The part of the blame that the worker took.
    attributed_score: f64,
    /// Until when the task avoids the worker. It is not forever, since no other worker may have the capacity.
    avoided_until: MonotonicTime,
}

/// Splits the blame for failures between workers and jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuarantineList {
    workers: Vec<WorkerHealth>,
    /// Quarantined workers without a probe, by the end of their pause.
    awaiting_probe: BTreeSet<(MonotonicTime, u32)>,
    /// The share of successes of each service.
    success_rates: Vec<f64>,
    failures: HashMap<TaskId, Vec<FailureRecord>>,
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

    fn service(&mut self, service: u32) -> &mut f64 {
        let index = service as usize;
        if self.success_rates.len() <= index {
            self.success_rates.resize(index + 1, 0.8);
        }
        &mut self.success_rates[index]
    }

    pub(crate) fn is_quarantined(&self, worker: u32) -> bool {
        self.workers.get(worker as usize).is_some_and(|health| health.failed_probes.is_some())
    }

    /// The number of quarantined workers.
    pub(crate) fn len(&self) -> usize {
        self.quarantined_count
    }

    pub(crate) fn has_failed(&self, task: TaskId) -> bool {
        self.failures.contains_key(&task)
    }

    /// Tells whether the task avoids the worker, having failed there.
    pub(crate) fn avoids(&self, now: MonotonicTime, task: TaskId, worker: u32) -> bool {
        let avoided = |record: &FailureRecord| record.worker == worker && now < record.avoided_until;
        self.failures.get(&task).is_some_and(|list| list.iter().any(avoided))
    }

    /// Records a failure. The worker takes more of the blame the more often the service succeeds elsewhere, and less the
    /// more other workers the task has failed on.
    pub(crate) fn add_failure(&mut self, now: MonotonicTime, task: TaskId, service: u32, worker: u32, pause: Duration) {
        let others = self.failures.get(&task).map_or(0, |list| {
            list.iter().filter(|record| record.worker != worker && !self.is_quarantined(record.worker)).count()
        });
        let success_rate = self.service(service);
        let rate = *success_rate;
        *success_rate -= rate * SUCCESS_RATE_STEP;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let attributed_score = rate / (1.0 + others as f64);
        self.add_failure_record(now, task, worker, attributed_score);
        let health = self.health(worker);
        if let Some(failed_probes) = health.failed_probes {
            if health.probe == Some(task) {
                health.probe = None;
                let doublings = failed_probes + 1;
                health.failed_probes = Some(doublings);
                health.due = now + pause * (1 << doublings.min(3));
                let due = health.due;
                self.awaiting_probe.insert((due, worker));
            }
            return;
        }
        health.failure_score = health.failure_score
            * 0.5_f64.powf(now.since(health.scored_at).as_secs_f64() / FAILURE_SCORE_HALF_LIFE)
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
        health.due = now + pause;
        let due = health.due;
        self.awaiting_probe.insert((due, worker));
        self.quarantined_count += 1;
    }

    fn add_failure_record(&mut self, now: MonotonicTime, task: TaskId, worker: u32, attributed_score: f64) {
        let records = self.failures.entry(task).or_default();
        let avoided_until = now + FIRST_AVOIDANCE * (1 << records.len().min(4));
        records.push(FailureRecord { worker, attributed_score, avoided_until });
        self.task_order.insert(task);
        if self.task_order.len() > HISTORY_LIMIT
            && let Some(oldest) = self.task_order.pop_first()
        {
            self.failures.remove(&oldest);
        }
    }

    /// Records a success; a probe that succeeds ends the quarantine.
    pub(crate) fn add_success(&mut self, task: TaskId, service: u32, worker: u32) {
        let success_rate = self.service(service);
        *success_rate += (1.0 - *success_rate) * SUCCESS_RATE_STEP;
        // The task is sound, so the workers on which it failed take the rest of the blame.
        for record in self.take_failure_records(task) {
            self.health(record.worker).failure_score += 1.0 - record.attributed_score;
        }
        let health = self.health(worker);
        health.failure_score *= 0.25;
        health.distinct_tasks = 0;
        health.last_failed_task = None;
        self.release(worker);
    }

    /// Forgets a task's failures.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.take_failure_records(task);
    }

    fn take_failure_records(&mut self, task: TaskId) -> Vec<FailureRecord> {
        self.task_order.remove(&task);
        self.failures.remove(&task).unwrap_or_default()
    }

    /// Takes back the blame of workers for a task that turned out to fail everywhere.
    pub(crate) fn retract_failure_scores(&mut self, task: TaskId) {
        for record in self.failures.get(&task).cloned().unwrap_or_default() {
            let health = self.health(record.worker);
            health.failure_score = (health.failure_score - record.attributed_score).max(0.0);
        }
    }

    /// Ends a worker's quarantine, for example since its VM was replaced.
    pub(crate) fn release(&mut self, worker: u32) {
        let health = self.health(worker);
        if health.failed_probes.is_some() {
            let due = health.due;
            *health = WorkerHealth::default();
            self.awaiting_probe.remove(&(due, worker));
            self.quarantined_count -= 1;
        }
    }

    /// Quarantined workers whose pause has ended and that have no probe, at most 8.
    pub(crate) fn due_for_probe(&self, now: MonotonicTime) -> impl Iterator<Item = u32> {
        self.awaiting_probe.iter().take_while(move |(due, _)| *due <= now).take(8).map(|(_, worker)| *worker)
    }

    /// Makes a task the worker's only probe.
    pub(crate) fn begin_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        health.probe = Some(task);
        let due = health.due;
        self.awaiting_probe.remove(&(due, worker));
    }

    /// Ends a probe that gave no verdict; another one may follow at once.
    pub(crate) fn end_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        if health.failed_probes.is_some() && health.probe == Some(task) {
            health.probe = None;
            let due = health.due;
            self.awaiting_probe.insert((due, worker));
        }
    }

    /// The distinct healthy workers on which a task failed, where these are enough to end it.
    pub(crate) fn failed_healthy_workers(&self, task: TaskId, min_workers: usize) -> Option<Vec<u32>> {
        let list = self.failures.get(&task)?;
        let mut healthy: Vec<u32> =
            list.iter().map(|record| record.worker).filter(|worker| !self.is_quarantined(*worker)).collect();
        healthy.sort_unstable();
        healthy.dedup();
        let repeated = list.len() >= TOTAL_FAILURE_LIMIT && !healthy.is_empty();
        (healthy.len() >= min_workers || repeated).then_some(healthy)
    }
}
