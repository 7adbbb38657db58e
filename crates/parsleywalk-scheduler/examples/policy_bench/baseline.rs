//! The baselines, which share nothing with the policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_scheduler::{EvictionCause, PolicyDecision, PolicyEvent, SchedulerPolicy};
use parsleywalk_units::{
    AttemptNumber, MonotonicTime, ResourceSize, ServiceName, TaskClass, TaskId, WorkerId, ZoneName,
};

/// Whatever decides in a run.
pub(crate) enum BenchPolicy {
    Ours(Box<SchedulerPolicy>),
    FirstFit(FirstFit),
}

impl BenchPolicy {
    pub(crate) fn observe(&mut self, now: MonotonicTime, event: PolicyEvent) {
        match self {
            Self::Ours(policy) => policy.observe(now, event),
            Self::FirstFit(policy) => policy.observe(event),
        }
    }

    pub(crate) fn decide(&mut self, now: MonotonicTime) -> Vec<PolicyDecision> {
        match self {
            Self::Ours(policy) => policy.decide(now, 2000),
            Self::FirstFit(policy) => policy.decide(now),
        }
    }
}

/// How long the guard closes a worker to batch.
const CLOSED: Duration = Duration::from_mins(1);

#[derive(Debug, Clone)]
struct FirstWorker {
    zone: ZoneName,
    capacity: ResourceSize,
    committed: ResourceSize,
    present: bool,
}

#[derive(Debug, Clone)]
struct FirstTask {
    attempt: AttemptNumber,
    service: ServiceName,
    class: TaskClass,
    urgent: bool,
    size: ResourceSize,
    worker: Option<WorkerId>,
    asked: MonotonicTime,
}

/// First fit by declared size in order of arrival, with at most one instance of a service on a worker; optionally with
/// a guard that evicts the newest batch task whenever a report shows a latency above a fixed multiple of the lower
/// quarter of all instances, and closes the worker to batch for a minute.
pub(crate) struct FirstFit {
    threshold: Option<f64>,
    workers: BTreeMap<WorkerId, FirstWorker>,
    zones_out: BTreeSet<ZoneName>,
    tasks: BTreeMap<TaskId, FirstTask>,
    queue: BTreeSet<(bool, bool, TaskId)>,
    latencies: BTreeMap<ServiceName, BTreeMap<TaskId, f64>>,
    /// Workers on which the guard lets no batch start, and until when.
    closed: BTreeMap<WorkerId, MonotonicTime>,
    evict: Vec<TaskId>,
}

impl FirstFit {
    pub(crate) fn new(threshold: Option<f64>) -> Self {
        Self {
            threshold,
            workers: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            tasks: BTreeMap::new(),
            queue: BTreeSet::new(),
            latencies: BTreeMap::new(),
            closed: BTreeMap::new(),
            evict: Vec::new(),
        }
    }

    fn observe(&mut self, event: PolicyEvent) {
        match event {
            PolicyEvent::ZoneChanged { zone, in_service: true } => {
                self.zones_out.remove(&zone);
            }
            PolicyEvent::ZoneChanged { zone, in_service: false } => {
                self.zones_out.insert(zone);
            }
            PolicyEvent::WorkerJoined { worker, zone, capacity, .. } => {
                let committed = ResourceSize::default();
                self.workers.insert(worker, FirstWorker { zone, capacity, committed, present: true });
            }
            PolicyEvent::WorkerLost { worker } => {
                if let Some(record) = self.workers.get_mut(&worker) {
                    record.present = false;
                }
            }
            PolicyEvent::TaskQueued { task, attempt, service, class, size, urgent, .. } => {
                self.queue.insert((class == TaskClass::Batch, !urgent, task));
                let asked = MonotonicTime::ZERO;
                self.tasks.insert(task, FirstTask { attempt, service, class, urgent, size, worker: None, asked });
            }
            PolicyEvent::TaskPlaced { task, worker, size, .. } => {
                if let Some(record) = self.tasks.get_mut(&task) {
                    self.queue.remove(&(record.class == TaskClass::Batch, !record.urgent, task));
                    record.worker = Some(worker.clone());
                    if let Some(place) = self.workers.get_mut(&worker) {
                        place.committed = place.committed.checked_add(&size).unwrap_or(place.committed);
                    }
                }
            }
            PolicyEvent::TaskEnded { task, .. } => self.end(task),
            PolicyEvent::UsageReported { tasks, .. } => {
                for usage in tasks {
                    if let Some(latency) = usage.latency {
                        self.guard(usage.task, latency.as_secs_f64());
                    }
                }
            }
            PolicyEvent::ConfigurationChanged { .. } | PolicyEvent::TaskRunning { .. } => {}
        }
    }

    fn end(&mut self, task: TaskId) {
        let Some(record) = self.tasks.remove(&task) else { return };
        self.queue.remove(&(record.class == TaskClass::Batch, !record.urgent, task));
        if let Some(list) = self.latencies.get_mut(&record.service) {
            list.remove(&task);
        }
        if let Some(place) = record.worker.and_then(|worker| self.workers.get_mut(&worker)) {
            place.committed = place.committed.saturating_sub(&record.size);
        }
    }

    fn guard(&mut self, task: TaskId, latency: f64) {
        let Some(threshold) = self.threshold else { return };
        let Some(record) = self.tasks.get(&task) else { return };
        let list = self.latencies.entry(record.service.clone()).or_default();
        list.insert(task, latency);
        let mut sorted: Vec<f64> = list.values().copied().collect();
        sorted.sort_by(f64::total_cmp);
        // The lower quarter stands for the latency of running alone.
        if latency <= threshold * sorted[sorted.len() / 4] {
            return;
        }
        let on = |other: &FirstTask| other.worker == record.worker && other.class == TaskClass::Batch;
        self.evict.extend(self.tasks.iter().rev().find(|(_, other)| on(other)).map(|(id, _)| *id));
    }

    fn decide(&mut self, now: MonotonicTime) -> Vec<PolicyDecision> {
        let mut decisions = Vec::new();
        for task in std::mem::take(&mut self.evict) {
            if let Some((record, worker)) = self.tasks.get(&task).and_then(|task| Some((task, task.worker.clone()?))) {
                self.closed.insert(worker, now + CLOSED);
                let attempt = record.attempt;
                decisions.push(PolicyDecision::Evict { task, attempt, reason: EvictionCause::Interference });
            }
        }
        self.closed.retain(|_, until| *until > now);
        self.move_out(now, &mut decisions);
        let queued: Vec<TaskId> = self.queue.iter().map(|(_, _, task)| *task).collect();
        let mut blocked: BTreeSet<(ServiceName, ResourceSize)> = BTreeSet::new();
        let mut pending: BTreeMap<WorkerId, ResourceSize> = BTreeMap::new();
        let mut planned: BTreeSet<(ServiceName, WorkerId)> = BTreeSet::new();
        for task in queued {
            let record = &self.tasks[&task];
            let kind = (record.service.clone(), record.size);
            if blocked.contains(&kind) {
                continue;
            }
            let Some(worker) = self.first_fit(record, &pending, &planned) else {
                blocked.insert(kind);
                continue;
            };
            let sum = pending.entry(worker.clone()).or_default();
            *sum = sum.checked_add(&record.size).unwrap_or(*sum);
            planned.insert((record.service.clone(), worker.clone()));
            decisions.push(PolicyDecision::Start { task, attempt: record.attempt, worker, size: record.size });
        }
        decisions
    }

    fn first_fit(
        &self,
        task: &FirstTask,
        pending: &BTreeMap<WorkerId, ResourceSize>,
        planned: &BTreeSet<(ServiceName, WorkerId)>,
    ) -> Option<WorkerId> {
        let critical = task.class == TaskClass::LatencyCritical;
        let fits = |id: &WorkerId, worker: &FirstWorker| {
            let extra = pending.get(id).copied().unwrap_or_default();
            let sum = worker.committed.checked_add(&extra).and_then(|sum| sum.checked_add(&task.size));
            worker.present
                && (critical || !self.closed.contains_key(id))
                && !self.zones_out.contains(&worker.zone)
                && sum.is_some_and(|sum| sum.fits_within(&worker.capacity))
        };
        let apart = |id: &WorkerId| {
            !planned.contains(&(task.service.clone(), id.clone()))
                && !self.tasks.values().any(|other| other.worker.as_ref() == Some(id) && other.service == task.service)
        };
        let first = self.workers.iter().find(|(id, worker)| fits(id, worker) && (!critical || apart(id)));
        let any = || self.workers.iter().find(|(id, worker)| fits(id, worker));
        first.or_else(|| if critical { any() } else { None }).map(|(id, _)| id.clone())
    }

    /// Moves everything out of zones that are out, batch at once and instances once every 30 s.
    fn move_out(&mut self, now: MonotonicTime, decisions: &mut Vec<PolicyDecision>) {
        if self.zones_out.is_empty() {
            return;
        }
        for (task, record) in &mut self.tasks {
            let Some(worker) = record.worker.as_ref().and_then(|worker| self.workers.get(worker)) else { continue };
            let waited = record.asked == MonotonicTime::ZERO || now.since(record.asked).as_secs() >= 30;
            if !self.zones_out.contains(&worker.zone) || !waited {
                continue;
            }
            record.asked = now;
            let (task, attempt) = (*task, record.attempt);
            decisions.push(match record.class {
                TaskClass::Batch => PolicyDecision::Evict { task, attempt, reason: EvictionCause::ZoneOut },
                TaskClass::LatencyCritical => PolicyDecision::Replace { task, attempt },
            });
        }
    }
}
