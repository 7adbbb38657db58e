//! Workers that fail everything, and tasks that fail everywhere.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId};

/// Blame since the last success at which a worker is quarantined.
const BLAME_LIMIT: f64 = 2.0;
/// Seconds. A worker that fails everything fails again within seconds; rare failures of sound workers must not add up.
const BLAME_HALF_LIFE: f64 = 120.0;
/// A task that fails this often is ended even where there are too few distinct workers.
const FAILURE_LIMIT: usize = 8;
/// How long a task avoids a worker after its first failure; doubles up to 16 times with each further one.
const AVOIDED: Duration = Duration::from_mins(1);
/// Histories of failures that are kept; the lowest task ids are dropped first.
const HISTORY_LIMIT: usize = 20_000;
/// The weight of one outcome in a service's share of successes.
const SERVICE_STEP: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct WorkerHealth {
    blame: f64,
    blamed_at: MonotonicTime,
    /// The task that failed last, so that one task alone cannot condemn a worker.
    last_task: Option<TaskId>,
    distinct: u32,
    /// The number of failed probes, where the worker is quarantined.
    quarantined: Option<u32>,
    due: MonotonicTime,
    probe: Option<TaskId>,
}

/// One failure of a task.
#[derive(Debug, Clone, Copy)]
struct FailureNote {
    worker: u32,
    /// The part of the blame that the worker took.
    share: f64,
    /// Until when the task avoids the worker. It is not forever, since no other worker may have the capacity.
    avoided_until: MonotonicTime,
}

/// Splits the blame for failures between workers and jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuarantineList {
    workers: Vec<WorkerHealth>,
    /// Quarantined workers without a probe, by the end of their pause.
    waiting: BTreeSet<(MonotonicTime, u32)>,
    /// The share of successes of each service.
    services: Vec<f64>,
    failed: HashMap<TaskId, Vec<FailureNote>>,
    order: BTreeSet<TaskId>,
    count: usize,
}

impl QuarantineList {
    fn health(&mut self, worker: u32) -> &mut WorkerHealth {
        let place = worker as usize;
        if self.workers.len() <= place {
            self.workers.resize(place + 1, WorkerHealth::default());
        }
        &mut self.workers[place]
    }

    fn service(&mut self, service: u32) -> &mut f64 {
        let place = service as usize;
        if self.services.len() <= place {
            self.services.resize(place + 1, 0.8);
        }
        &mut self.services[place]
    }

    pub(crate) fn is_quarantined(&self, worker: u32) -> bool {
        self.workers.get(worker as usize).is_some_and(|health| health.quarantined.is_some())
    }

    /// The number of quarantined workers.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn has_failed(&self, task: TaskId) -> bool {
        self.failed.contains_key(&task)
    }

    /// Tells whether the task avoids the worker, having failed there.
    pub(crate) fn avoids(&self, now: MonotonicTime, task: TaskId, worker: u32) -> bool {
        let avoided = |note: &FailureNote| note.worker == worker && now < note.avoided_until;
        self.failed.get(&task).is_some_and(|list| list.iter().any(avoided))
    }

    /// Records a failure. The worker takes more of the blame the more often the service succeeds elsewhere, and less the
    /// more other workers the task has failed on.
    pub(crate) fn failure(&mut self, now: MonotonicTime, task: TaskId, service: u32, worker: u32, pause: Duration) {
        let others = self.failed.get(&task).map_or(0, |list| {
            list.iter().filter(|note| note.worker != worker && !self.is_quarantined(note.worker)).count()
        });
        let successes = self.service(service);
        let rate = *successes;
        *successes -= rate * SERVICE_STEP;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let share = rate / (1.0 + others as f64);
        self.remember(now, task, worker, share);
        let health = self.health(worker);
        if let Some(failures) = health.quarantined {
            if health.probe == Some(task) {
                health.probe = None;
                let step = failures + 1;
                health.quarantined = Some(step);
                health.due = now + pause * (1 << step.min(3));
                let due = health.due;
                self.waiting.insert((due, worker));
            }
            return;
        }
        health.blame = health.blame * 0.5_f64.powf(now.since(health.blamed_at).as_secs_f64() / BLAME_HALF_LIFE) + share;
        health.blamed_at = now;
        if health.last_task != Some(task) {
            health.distinct += 1;
            health.last_task = Some(task);
        }
        if health.blame < BLAME_LIMIT || health.distinct < 2 {
            return;
        }
        health.quarantined = Some(0);
        health.due = now + pause;
        let due = health.due;
        self.waiting.insert((due, worker));
        self.count += 1;
    }

    fn remember(&mut self, now: MonotonicTime, task: TaskId, worker: u32, share: f64) {
        let notes = self.failed.entry(task).or_default();
        let avoided_until = now + AVOIDED * (1 << notes.len().min(4));
        notes.push(FailureNote { worker, share, avoided_until });
        self.order.insert(task);
        if self.order.len() > HISTORY_LIMIT
            && let Some(oldest) = self.order.pop_first()
        {
            self.failed.remove(&oldest);
        }
    }

    /// Records a success; a probe that succeeds ends the quarantine.
    pub(crate) fn success(&mut self, task: TaskId, service: u32, worker: u32) {
        let successes = self.service(service);
        *successes += (1.0 - *successes) * SERVICE_STEP;
        // The task is sound, so the workers on which it failed take the rest of the blame.
        for note in self.take_notes(task) {
            self.health(note.worker).blame += 1.0 - note.share;
        }
        let health = self.health(worker);
        health.blame *= 0.25;
        health.distinct = 0;
        health.last_task = None;
        self.release(worker);
    }

    /// Forgets a task's failures.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.take_notes(task);
    }

    fn take_notes(&mut self, task: TaskId) -> Vec<FailureNote> {
        self.order.remove(&task);
        self.failed.remove(&task).unwrap_or_default()
    }

    /// Takes back the blame of workers for a task that turned out to fail everywhere.
    pub(crate) fn absolve(&mut self, task: TaskId) {
        for note in self.failed.get(&task).cloned().unwrap_or_default() {
            let health = self.health(note.worker);
            health.blame = (health.blame - note.share).max(0.0);
        }
    }

    /// Ends a worker's quarantine, for example since its VM was replaced.
    pub(crate) fn release(&mut self, worker: u32) {
        let health = self.health(worker);
        if health.quarantined.is_some() {
            let due = health.due;
            *health = WorkerHealth::default();
            self.waiting.remove(&(due, worker));
            self.count -= 1;
        }
    }

    /// Quarantined workers whose pause has ended and that have no probe, at most 8.
    pub(crate) fn due(&self, now: MonotonicTime) -> impl Iterator<Item = u32> {
        self.waiting.iter().take_while(move |(due, _)| *due <= now).take(8).map(|(_, worker)| *worker)
    }

    /// Makes a task the worker's only probe.
    pub(crate) fn begin_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        health.probe = Some(task);
        let due = health.due;
        self.waiting.remove(&(due, worker));
    }

    /// Ends a probe that gave no verdict; another one may follow at once.
    pub(crate) fn end_probe(&mut self, worker: u32, task: TaskId) {
        let health = self.health(worker);
        if health.quarantined.is_some() && health.probe == Some(task) {
            health.probe = None;
            let due = health.due;
            self.waiting.insert((due, worker));
        }
    }

    /// The distinct healthy workers on which a task failed, where these are enough to end it.
    pub(crate) fn verdict(&self, task: TaskId, enough: usize) -> Option<Vec<u32>> {
        let list = self.failed.get(&task)?;
        let mut healthy: Vec<u32> =
            list.iter().map(|note| note.worker).filter(|worker| !self.is_quarantined(*worker)).collect();
        healthy.sort_unstable();
        healthy.dedup();
        let repeated = list.len() >= FAILURE_LIMIT && !healthy.is_empty();
        (healthy.len() >= enough || repeated).then_some(healthy)
    }
}
