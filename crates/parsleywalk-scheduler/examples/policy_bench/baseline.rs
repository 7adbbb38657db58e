//! The baseline policies, which share no code with the measured policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_scheduler::{EvictionCause, PolicyDecision, PolicyEvent, SchedulerPolicy};
use parsleywalk_units::{
    AttemptNumber, MonotonicTime, ResourceSize, ServiceName, TaskClass, TaskId, WorkerId, ZoneName,
};

/// The policy of a run.
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

/// How long the guard closes a worker to batch work after an eviction.
const CLOSED_DURATION: Duration = Duration::from_mins(1);

#[derive(Debug, Clone)]
struct FirstFitWorker {
    zone: ZoneName,
    capacity: ResourceSize,
    allocated: ResourceSize,
    present: bool,
}

#[derive(Debug, Clone)]
struct FirstFitTask {
    attempt: AttemptNumber,
    service: ServiceName,
    class: TaskClass,
    urgent: bool,
    size: ResourceSize,
    worker: Option<WorkerId>,
    move_proposed_at: MonotonicTime,
}

/// First-fit policy by declared size in order of arrival, with at most one instance of a service on a worker where
/// possible.
///
/// With a threshold, a guard evicts the newest batch task of a worker when a report shows a latency above that multiple
/// of the service's lower quartile, and closes the worker to batch work for a minute.
pub(crate) struct FirstFit {
    threshold: Option<f64>,
    workers: BTreeMap<WorkerId, FirstFitWorker>,
    zones_out_of_service: BTreeSet<ZoneName>,
    tasks: BTreeMap<TaskId, FirstFitTask>,
    queue: BTreeSet<(bool, bool, TaskId)>,
    latencies: BTreeMap<ServiceName, BTreeMap<TaskId, f64>>,
    /// Workers that the guard closed to batch work, with the end of the closure.
    closed_until: BTreeMap<WorkerId, MonotonicTime>,
    pending_evictions: Vec<TaskId>,
}

impl FirstFit {
    pub(crate) fn new(threshold: Option<f64>) -> Self {
        Self {
            threshold,
            workers: BTreeMap::new(),
            zones_out_of_service: BTreeSet::new(),
            tasks: BTreeMap::new(),
            queue: BTreeSet::new(),
            latencies: BTreeMap::new(),
            closed_until: BTreeMap::new(),
            pending_evictions: Vec::new(),
        }
    }

    fn observe(&mut self, event: PolicyEvent) {
        match event {
            PolicyEvent::ZoneChanged { zone, in_service: true } => {
                self.zones_out_of_service.remove(&zone);
            }
            PolicyEvent::ZoneChanged { zone, in_service: false } => {
                self.zones_out_of_service.insert(zone);
            }
            PolicyEvent::WorkerJoined { worker, zone, capacity, .. } => {
                let allocated = ResourceSize::default();
                self.workers.insert(worker, FirstFitWorker { zone, capacity, allocated, present: true });
            }
            PolicyEvent::WorkerLost { worker } => {
                if let Some(record) = self.workers.get_mut(&worker) {
                    record.present = false;
                }
            }
            PolicyEvent::TaskQueued { task, attempt, service, class, size, urgent, .. } => {
                self.queue.insert((class == TaskClass::Batch, !urgent, task));
                let move_proposed_at = MonotonicTime::ZERO;
                self.tasks.insert(
                    task,
                    FirstFitTask { attempt, service, class, urgent, size, worker: None, move_proposed_at },
                );
            }
            PolicyEvent::TaskPlaced { task, worker, size, .. } => {
                if let Some(record) = self.tasks.get_mut(&task) {
                    self.queue.remove(&(record.class == TaskClass::Batch, !record.urgent, task));
                    record.worker = Some(worker.clone());
                    if let Some(target) = self.workers.get_mut(&worker) {
                        target.allocated = target.allocated.checked_add(&size).unwrap_or(target.allocated);
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
        if let Some(target) = record.worker.and_then(|worker| self.workers.get_mut(&worker)) {
            target.allocated = target.allocated.saturating_sub(&record.size);
        }
    }

    fn guard(&mut self, task: TaskId, latency: f64) {
        let Some(threshold) = self.threshold else { return };
        let Some(record) = self.tasks.get(&task) else { return };
        let list = self.latencies.entry(record.service.clone()).or_default();
        list.insert(task, latency);
        let mut sorted: Vec<f64> = list.values().copied().collect();
        sorted.sort_by(f64::total_cmp);
        // The lower quartile approximates the baseline latency.
        if latency <= threshold * sorted[sorted.len() / 4] {
            return;
        }
        let is_batch_beside = |other: &FirstFitTask| other.worker == record.worker && other.class == TaskClass::Batch;
        self.pending_evictions
            .extend(self.tasks.iter().rev().find(|(_, other)| is_batch_beside(other)).map(|(id, _)| *id));
    }

    fn decide(&mut self, now: MonotonicTime) -> Vec<PolicyDecision> {
        let mut decisions = Vec::new();
        for task in std::mem::take(&mut self.pending_evictions) {
            if let Some((record, worker)) = self.tasks.get(&task).and_then(|task| Some((task, task.worker.clone()?))) {
                self.closed_until.insert(worker, now + CLOSED_DURATION);
                let attempt = record.attempt;
                decisions.push(PolicyDecision::Evict { task, attempt, reason: EvictionCause::Interference });
            }
        }
        self.closed_until.retain(|_, until| *until > now);
        self.evacuate(now, &mut decisions);
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
        task: &FirstFitTask,
        pending: &BTreeMap<WorkerId, ResourceSize>,
        planned: &BTreeSet<(ServiceName, WorkerId)>,
    ) -> Option<WorkerId> {
        let critical = task.class == TaskClass::LatencyCritical;
        let fits = |id: &WorkerId, worker: &FirstFitWorker| {
            let extra = pending.get(id).copied().unwrap_or_default();
            let sum = worker.allocated.checked_add(&extra).and_then(|sum| sum.checked_add(&task.size));
            worker.present
                && (critical || !self.closed_until.contains_key(id))
                && !self.zones_out_of_service.contains(&worker.zone)
                && sum.is_some_and(|sum| sum.fits_within(&worker.capacity))
        };
        let is_spread = |id: &WorkerId| {
            !planned.contains(&(task.service.clone(), id.clone()))
                && !self.tasks.values().any(|other| other.worker.as_ref() == Some(id) && other.service == task.service)
        };
        let first = self.workers.iter().find(|(id, worker)| fits(id, worker) && (!critical || is_spread(id)));
        let any = || self.workers.iter().find(|(id, worker)| fits(id, worker));
        first.or_else(|| if critical { any() } else { None }).map(|(id, _)| id.clone())
    }

    /// Evacuates zones out of service. The proposal for a task is repeated every 30 s.
    fn evacuate(&mut self, now: MonotonicTime, decisions: &mut Vec<PolicyDecision>) {
        if self.zones_out_of_service.is_empty() {
            return;
        }
        for (task, record) in &mut self.tasks {
            let Some(worker) = record.worker.as_ref().and_then(|worker| self.workers.get(worker)) else { continue };
            let waited =
                record.move_proposed_at == MonotonicTime::ZERO || now.since(record.move_proposed_at).as_secs() >= 30;
            if !self.zones_out_of_service.contains(&worker.zone) || !waited {
                continue;
            }
            record.move_proposed_at = now;
            let (task, attempt) = (*task, record.attempt);
            decisions.push(match record.class {
                TaskClass::Batch => PolicyDecision::Evict { task, attempt, reason: EvictionCause::ZoneOut },
                TaskClass::LatencyCritical => PolicyDecision::Replace { task, attempt },
            });
        }
    }
}
