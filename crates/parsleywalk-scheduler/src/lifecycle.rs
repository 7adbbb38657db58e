//! Handling of task events.

use std::time::Duration;

use parsleywalk_shares::AccountIndex;
use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel, WorkerId,
};

use crate::PolicyEvent;
use crate::event::TaskOutcome;
use crate::policy::SchedulerPolicy;
use crate::queue::{GroupKey, QueuePriority};
use crate::spread::WorkerLocation;
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
        let run_time = run_time.or_else(|| self.services.get(service as usize).and_then(|service| service.run_time));
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
            evacuation_due: None,
            eviction_pending_until: None,
            cores: MilliCores::default(),
            memory: MemoryBytes::default(),
            since_checkpoint: Duration::ZERO,
            measured_at: MonotonicTime::ZERO,
        };
        self.tasks.insert(task, record);
        if self.settings.quarantine
            && self.quarantine.failed_healthy_workers(task, self.settings.failed_worker_limit).is_some()
        {
            self.quarantine.retract_failure_scores(task);
            self.failing.insert((now, task));
        } else {
            self.enqueue(task);
        }
    }

    /// Adds a task in the `Queued` phase to its group of the queue.
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
        let worker = self.worker_index(worker);
        if phase != TaskPhase::Queued && proposed == (worker, size) {
            // Releasing and allocating the capacity again would end a probe that this start belongs to.
            if let Some(record) = self.tasks.get_mut(&task) {
                record.phase = TaskPhase::Placed;
            }
        } else if phase == TaskPhase::Queued {
            self.queue.remove(group, task);
            self.allocate_capacity(task, worker, size, TaskPhase::Placed);
        } else {
            self.release_capacity(task);
            self.allocate_capacity(task, worker, size, TaskPhase::Placed);
        }
        let zone = self.workers[worker as usize].zone;
        if self.zones.get(zone as usize).is_some_and(|zone| zone.out_of_service) {
            self.schedule_evacuation(now, task);
        }
    }

    pub(crate) fn confirm_start(&mut self, now: MonotonicTime, task: TaskId, attempt: AttemptNumber) {
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
                    self.usage.record_run(service, record.run_time, record.saved + now.since(since));
                }
                if record.is_committed() {
                    self.quarantine.add_success(task, service, worker);
                } else {
                    self.quarantine.forget(task);
                }
            }
            TaskOutcome::Failed if record.is_committed() && self.settings.quarantine => {
                self.quarantine.add_failure(now, task, service, worker, self.settings.probe_backoff);
            }
            TaskOutcome::Failed | TaskOutcome::Cancelled => {
                self.quarantine.forget(task);
            }
            TaskOutcome::Evicted | TaskOutcome::Lost => {}
        }
        // The capacity is released last, because the update of the placement index depends on the quarantine state.
        self.remove_task(task);
    }

    /// Removes a task, and releases its capacity and its reservation.
    fn remove_task(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.has_allocation() {
            self.release_capacity(task);
        } else {
            self.queue.remove(record.group, task);
        }
        self.cancel_reservation(task);
        self.tasks.remove(&task);
    }

    pub(crate) fn location(&self, worker: u32) -> WorkerLocation {
        let record = &self.workers[worker as usize];
        WorkerLocation { zone: record.zone, rack: record.rack, worker }
    }

    /// Allocates `size` on a worker for a task.
    pub(crate) fn allocate_capacity(&mut self, task: TaskId, worker: u32, size: ResourceSize, phase: TaskPhase) {
        self.cancel_reservation(task);
        let Some(record) = self.tasks.get_mut(&task) else { return };
        record.worker = worker;
        record.size = size;
        record.phase = phase;
        record.throttle = ThrottleLevel::None;
        record.throttle_due = None;
        record.eviction_pending_until = None;
        let (service, team, batch) = (record.service, record.team, record.is_batch());
        if self.settings.learned_sizes {
            // Until the first report, the task is assumed to use what tasks of its service are known to use.
            record.cores = self.usage.cores(service, &record.declared);
        }
        let expected = ResourceSize::new(record.cores, record.memory);
        let worker_record = &mut self.workers[worker as usize];
        worker_record.used = worker_record.used.checked_add(&expected).unwrap_or(worker_record.used);
        worker_record.add(task, service, !batch, &size);
        if batch {
            self.team_shares.charge(AccountIndex(team), &size);
        } else {
            self.grow_reserve_slot(&size);
            let location = self.location(worker);
            self.spread.add(service, location);
            self.rack_reserve.add_instance(location.rack);
        }
        self.refresh_worker(worker);
    }

    /// Releases a task's capacity and sets its phase to `Queued`, without adding it to the queue.
    pub(crate) fn release_capacity(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get_mut(&task) else { return };
        let (worker, size, service, team) = (record.worker, record.size, record.service, record.team);
        let batch = record.is_batch();
        if record.phase != (TaskPhase::Queued) {
            record.phase = TaskPhase::Queued;
            let (cores, memory) = (record.cores, record.memory);
            record.cores = MilliCores::default();
            record.memory = MemoryBytes::default();
            let worker_record = &mut self.workers[worker as usize];
            worker_record.remove(task, service, &size);
            worker_record.used = worker_record.used.saturating_sub(&ResourceSize::new(cores, memory));
            if batch {
                self.team_shares.refund(AccountIndex(team), &size);
            } else {
                let location = self.location(worker);
                self.spread.remove(service, location);
                self.rack_reserve.remove_instance(location.rack);
            }
            self.quarantine.end_probe(worker, task);
            self.refresh_worker(worker);
        }
    }

    /// Cancels the reservation for a task, if any.
    pub(crate) fn cancel_reservation(&mut self, task: TaskId) {
        if let Some(worker) = self.reservations.remove(&task) {
            let record = &mut self.workers[worker as usize];
            if record.reservation.is_some_and(|reservation| reservation.task == task) {
                record.reservation = None;
            }
        }
    }
}
