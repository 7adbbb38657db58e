//! The life of a task as the policy follows it.

use std::time::Duration;

use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel, WorkerId,
};

use crate::PolicyEvent;
use crate::event::TaskOutcome;
use crate::policy::SchedulerPolicy;
use crate::queue::{GroupKey, QueuePriority};
use crate::spread::WorkerSite;
use crate::task::{TaskPhase, TaskRecord};

impl SchedulerPolicy {
    pub(crate) fn queue_task(&mut self, now: MonotonicTime, event: PolicyEvent) {
        let PolicyEvent::TaskQueued { task, attempt, service, team, class, size, urgent, run_time, saved } = event
        else {
            return;
        };
        if let Some(record) = self.tasks.get(&task) {
            if record.attempt >= attempt {
                return;
            }
            self.remove_task(task);
        }
        let service = self.names.services.intern(&service);
        let run_time = run_time.or_else(|| self.plans.get(service as usize).and_then(|plan| plan.run_time));
        let record = TaskRecord {
            attempt,
            service,
            team: self.names.teams.intern(&team),
            group: u32::MAX,
            worker: u32::MAX,
            class,
            urgent,
            throttle: ThrottleLevel::None,
            throttle_due: None,
            phase: TaskPhase::Queued,
            declared: size,
            size,
            run_time,
            saved,
            queued_at: now,
            move_due: None,
            evicting: None,
            cores: MilliCores::default(),
            memory: MemoryBytes::default(),
            since_checkpoint: Duration::ZERO,
            measured_at: MonotonicTime::ZERO,
        };
        self.tasks.insert(task, record);
        if self.settings.quarantine && self.quarantine.verdict(task, self.settings.failures).is_some() {
            self.quarantine.absolve(task);
            self.failing.insert((now, task));
        } else {
            self.enqueue(task);
        }
    }

    /// Puts a task of the phase `Queued` into the queue.
    pub(crate) fn enqueue(&mut self, task: TaskId) {
        let failed_before = self.quarantine.has_failed(task).then_some(task);
        let Some(record) = self.tasks.get_mut(&task) else { return };
        let priority = match (record.class, record.urgent) {
            (TaskClass::LatencyCritical, _) => QueuePriority::Critical,
            (TaskClass::Batch, true) => QueuePriority::Urgent,
            (TaskClass::Batch, false) => QueuePriority::Batch,
        };
        let key = GroupKey {
            team: record.team,
            service: record.service,
            priority,
            size: record.declared,
            run_time: record.run_time,
            failed_before,
        };
        record.group = self.queue.push(task, key);
    }

    pub(crate) fn place_task(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        attempt: AttemptNumber,
        worker: &WorkerId,
        size: ResourceSize,
    ) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.attempt != attempt || record.is_committed() {
            return;
        }
        let (phase, group, proposed) = (record.phase, record.group, (record.worker, record.size));
        let worker = self.worker_number(worker);
        if phase != TaskPhase::Queued && proposed == (worker, size) {
            // Releasing it here would end the probe that this start may be.
            if let Some(record) = self.tasks.get_mut(&task) {
                record.phase = TaskPhase::Placed;
            }
        } else if phase == TaskPhase::Queued {
            self.queue.remove(group, task);
            self.hold_capacity(task, worker, size, TaskPhase::Placed);
        } else {
            self.release_capacity(task);
            self.hold_capacity(task, worker, size, TaskPhase::Placed);
        }
        let zone = self.workers[worker as usize].zone;
        if self.zones.get(zone as usize).is_some_and(|zone| zone.out) {
            self.plan_move(now, task);
        }
    }

    pub(crate) fn run_task(&mut self, now: MonotonicTime, task: TaskId, attempt: AttemptNumber) {
        let Some(record) = self.tasks.get_mut(&task) else { return };
        if record.attempt == attempt && record.phase == TaskPhase::Placed {
            record.phase = TaskPhase::Running { since: now };
            record.measured_at = now;
        }
    }

    pub(crate) fn end_task(&mut self, now: MonotonicTime, task: TaskId, attempt: AttemptNumber, outcome: TaskOutcome) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.attempt != attempt {
            return;
        }
        let (service, worker) = (record.service, record.worker);
        match outcome {
            TaskOutcome::Done => {
                if let TaskPhase::Running { since } = record.phase
                    && record.throttle == ThrottleLevel::None
                {
                    self.usage.learn_run(service, record.run_time, record.saved + now.since(since));
                }
                if record.is_committed() {
                    self.quarantine.success(task, service, worker);
                } else {
                    self.quarantine.forget(task);
                }
            }
            TaskOutcome::Failed if record.is_committed() && self.settings.quarantine => {
                self.quarantine.failure(now, task, service, worker, self.settings.probe_backoff);
            }
            TaskOutcome::Failed | TaskOutcome::Cancelled => {
                self.quarantine.forget(task);
            }
            TaskOutcome::Evicted | TaskOutcome::Lost => {}
        }
        // Frees the capacity last, since the verdict decides whether the worker takes further starts.
        self.remove_task(task);
    }

    /// Forgets a task and frees all that it holds.
    fn remove_task(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.holds_capacity() {
            self.release_capacity(task);
        } else {
            self.queue.remove(record.group, task);
        }
        self.drop_hold(task);
        self.tasks.remove(&task);
    }

    pub(crate) fn site(&self, worker: u32) -> WorkerSite {
        let record = &self.workers[worker as usize];
        WorkerSite { zone: record.zone, rack: record.rack, worker }
    }

    /// Commits a task's size on a worker.
    pub(crate) fn hold_capacity(&mut self, task: TaskId, worker: u32, size: ResourceSize, phase: TaskPhase) {
        self.drop_hold(task);
        let Some(record) = self.tasks.get_mut(&task) else { return };
        record.worker = worker;
        record.size = size;
        record.phase = phase;
        record.throttle = ThrottleLevel::None;
        record.throttle_due = None;
        record.evicting = None;
        let (service, team, batch) = (record.service, record.team, record.is_batch());
        if self.settings.learned_sizes {
            // Until the first report the task counts with what its service is known to use.
            record.cores = self.usage.cores(service, &record.declared);
        }
        let expected = ResourceSize::new(record.cores, record.memory);
        let held = &mut self.workers[worker as usize];
        held.used = held.used.checked_add(&expected).unwrap_or(held.used);
        held.add(task, service, !batch, &size);
        if batch {
            self.fair.charge(team, &size);
        } else {
            self.grow_reserve_unit(&size);
            let place = self.site(worker);
            self.spread.add(service, place);
            self.reserve.add_instance(place.rack);
        }
        self.refresh_worker(worker);
    }

    /// Frees what a task holds and makes it `Queued`, without putting it into the queue.
    pub(crate) fn release_capacity(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get_mut(&task) else { return };
        let (worker, size, service, team) = (record.worker, record.size, record.service, record.team);
        let batch = record.is_batch();
        if record.phase != (TaskPhase::Queued) {
            record.phase = TaskPhase::Queued;
            let (cores, memory) = (record.cores, record.memory);
            record.cores = MilliCores::default();
            record.memory = MemoryBytes::default();
            let held = &mut self.workers[worker as usize];
            held.remove(task, service, &size);
            held.used = held.used.saturating_sub(&ResourceSize::new(cores, memory));
            if batch {
                self.fair.refund(team, &size);
            } else {
                let place = self.site(worker);
                self.spread.remove(service, place);
                self.reserve.remove_instance(place.rack);
            }
            self.quarantine.end_probe(worker, task);
            self.refresh_worker(worker);
        }
    }

    /// Gives up the worker that is held for a task.
    pub(crate) fn drop_hold(&mut self, task: TaskId) {
        if let Some(worker) = self.holds.remove(&task) {
            let record = &mut self.workers[worker as usize];
            if record.hold.is_some_and(|hold| hold.task == task) {
                record.hold = None;
            }
        }
    }
}
