//! Preemption for urgent work and service instances, and reservations for large batch tasks.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};

use crate::policy::SchedulerPolicy;
use crate::queue::QueuePriority;
use crate::worker::WorkerReservation;
use crate::{EvictionCause, PolicyDecision, WaitReason};

/// How long a worker is reserved while evicted tasks stop; longer than any checkpoint should take.
const EVICTION_RESERVATION: Duration = Duration::from_secs(30);
/// Longest reservation of a worker for a large batch task.
const MAX_BACKFILL_RESERVATION: Duration = Duration::from_mins(20);
/// Number of known workers per permitted backfill reservation.
const WORKERS_PER_RESERVATION: usize = 16;
/// Number of workers sampled in each zone for a preemption or reservation, with and without accelerators each.
const MAX_SAMPLED_WORKERS: usize = 8;

fn eviction_cause(priority: QueuePriority) -> EvictionCause {
    if priority == QueuePriority::Critical { EvictionCause::ServiceInstance } else { EvictionCause::UrgentWork }
}

/// A task that may be evicted.
#[derive(Debug, Clone, Copy)]
struct EvictionCandidate {
    urgent: bool,
    /// Whether the eviction was proposed before, in which case the task may already be stopping.
    already_proposed: bool,
    /// Unsaved work in core seconds, or a value that orders tasks by age, newest first.
    loss: f64,
    task: TaskId,
    size: ResourceSize,
    usage: ResourceSize,
}

impl SchedulerPolicy {
    /// Preempts batch tasks or reserves a worker for a task that could not be placed, if permitted. Returns the reason
    /// for which the task waits.
    pub(crate) fn preempt_or_reserve(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        priority: QueuePriority,
        reason: WaitReason,
        decisions: &mut Vec<PolicyDecision>,
    ) -> WaitReason {
        if let Some(&worker) = self.reservations.get(&task) {
            let record = &self.workers[worker as usize];
            let usable = self.accepts_starts(worker) && !self.quarantine.is_quarantined(worker);
            if usable
                && record.reservation.is_some_and(|reservation| reservation.task == task && now < reservation.until)
            {
                let reason = WaitReason::Reserved { worker: record.id.clone() };
                self.renew_evictions(now, task, worker, priority, decisions);
                return reason;
            }
            self.cancel_reservation(task);
        }
        let Some(record) = self.tasks.get(&task) else { return reason };
        let waited = now.since(record.queued_at);
        // The next placement search uses the same size, so that the freed capacity is enough.
        let Ok(mut size) = self.size_to_allocate(record) else { return reason };
        if !self.any_worker_fits(&size) {
            size = record.declared;
        }
        match (priority, &reason) {
            (_, WaitReason::Quota { .. } | WaitReason::TooLarge { .. } | WaitReason::NoZone) => reason,
            (QueuePriority::Critical | QueuePriority::Urgent, _) => {
                self.preempt_for(now, task, size, priority, decisions).unwrap_or(reason)
            }
            (QueuePriority::Batch, WaitReason::NoCapacity { .. })
                if self.settings.backfill && waited >= self.settings.reservation_delay =>
            {
                self.reserve_for_backfill(now, task, size).unwrap_or(reason)
            }
            (QueuePriority::Batch, _) => reason,
        }
    }

    /// Samples workers that could be reserved for a task.
    fn reservation_candidates(&mut self, now: MonotonicTime, task: TaskId, size: &ResourceSize) -> Vec<u32> {
        let mut candidates = Vec::new();
        for (zone, record) in (0u32..).zip(&self.zones) {
            if record.out_of_service || !record.ramp.has_token() {
                continue;
            }
            self.index.sample_any(zone, false, MAX_SAMPLED_WORKERS, &mut self.rng, &mut candidates);
            self.index.sample_any(zone, true, MAX_SAMPLED_WORKERS, &mut self.rng, &mut candidates);
        }
        candidates.retain(|worker| {
            let record = &self.workers[*worker as usize];
            size.fits_within(&record.capacity)
                && record.reservation.is_none()
                && !self.quarantine.avoids(now, task, *worker)
        });
        candidates
    }

    /// Proposes to evict batch tasks from the sampled worker with the lowest cost, and reserves that worker. The cost
    /// is the loss of the victims plus the spread penalty.
    fn preempt_for(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        size: ResourceSize,
        priority: QueuePriority,
        decisions: &mut Vec<PolicyDecision>,
    ) -> Option<WaitReason> {
        let cause = eviction_cause(priority);
        let mut best: Option<(f64, u32, Vec<TaskId>)> = None;
        for worker in self.reservation_candidates(now, task, &size) {
            let Some((loss, victims)) = self.victims(now, worker, &size, priority) else { continue };
            let spread_penalty = if priority == QueuePriority::Critical && self.settings.spread {
                self.tasks.get(&task).map_or(0.0, |record| self.spread_penalty(record.service, self.location(worker)))
            } else {
                0.0
            };
            let cost = loss + spread_penalty;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, worker, victims));
            }
        }
        let (_, worker, victims) = best?;
        for victim in victims {
            decisions.extend(self.propose_eviction(now, victim, cause));
        }
        let until = now + EVICTION_RESERVATION;
        Some(self.reserve_worker(task, worker, WorkerReservation { task, size, ready_at: now, until }))
    }

    /// Repeats proposed evictions on a reserved worker that were refused or lost.
    fn renew_evictions(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        worker: u32,
        priority: QueuePriority,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let size = self.workers[worker as usize].reservation.map(|reservation| reservation.size);
        let Some(size) = size.filter(|_| priority != QueuePriority::Batch) else { return };
        let cause = eviction_cause(priority);
        let Some((_, victims)) = self.victims(now, worker, &size, priority) else {
            self.cancel_reservation(task);
            return;
        };
        for victim in victims {
            decisions.extend(self.propose_eviction(now, victim, cause));
        }
    }

    fn reserve_worker(&mut self, task: TaskId, worker: u32, reservation: WorkerReservation) -> WaitReason {
        self.reservations.insert(task, worker);
        let record = &mut self.workers[worker as usize];
        record.reservation = Some(reservation);
        WaitReason::Reserved { worker: record.id.clone() }
    }

    /// Returns the tasks to evict from a worker so that `size` fits, with their total loss, or `None` if evictions do
    /// not free enough.
    fn victims(
        &self,
        now: MonotonicTime,
        worker: u32,
        size: &ResourceSize,
        priority: QueuePriority,
    ) -> Option<(f64, Vec<TaskId>)> {
        let record = &self.workers[worker as usize];
        let (mut allocated, mut used) = (record.allocated, record.used);
        let mut candidates = Vec::new();
        for task_id in &record.tasks {
            let Some(task) = self.tasks.get(task_id) else { continue };
            let usage = ResourceSize::new(task.cores, task.memory);
            if task.has_pending_eviction(now) {
                allocated = allocated.saturating_sub(&task.size);
                used = used.saturating_sub(&usage);
            } else if task.is_batch() && task.is_committed() && (!task.urgent || priority == QueuePriority::Critical) {
                let loss = if self.settings.least_loss_eviction {
                    task.unsaved_work(now)
                } else {
                    #[expect(clippy::cast_precision_loss, reason = "only the order matters")]
                    let newest = 1e9 - task_id.get() as f64;
                    newest
                };
                candidates.push(EvictionCandidate {
                    urgent: task.urgent,
                    already_proposed: task.eviction_pending_until.is_some(),
                    loss,
                    task: *task_id,
                    size: task.size,
                    usage,
                });
            }
        }
        candidates.sort_by(|one, other| {
            let rank = |candidate: &EvictionCandidate| (candidate.urgent, !candidate.already_proposed);
            rank(one).cmp(&rank(other)).then(one.loss.total_cmp(&other.loss)).then(one.task.cmp(&other.task))
        });
        let fits = |allocated: &ResourceSize, used: &ResourceSize| {
            size.fits_within(&record.capacity.saturating_sub(&allocated.componentwise_max(used)))
        };
        let mut chosen = Vec::new();
        for candidate in candidates {
            if fits(&allocated, &used) {
                break;
            }
            allocated = allocated.saturating_sub(&candidate.size);
            used = used.saturating_sub(&candidate.usage);
            chosen.push(candidate);
        }
        if !fits(&allocated, &used) {
            return None;
        }
        // A later, larger victim may make earlier victims unnecessary. Those with the highest loss are spared first.
        for index in (0..chosen.len()).rev() {
            let spared = chosen[index];
            let (allocated_with, used_with) = (allocated.checked_add(&spared.size)?, used.checked_add(&spared.usage)?);
            if fits(&allocated_with, &used_with) {
                (allocated, used) = (allocated_with, used_with);
                chosen.remove(index);
            }
        }
        let loss = chosen.iter().map(|candidate| candidate.loss + 1.0).sum();
        Some((loss, chosen.into_iter().map(|candidate| candidate.task).collect()))
    }

    /// Proposes to evict a placed task, unless an eviction of the task is pending.
    pub(crate) fn propose_eviction(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        reason: EvictionCause,
    ) -> Option<PolicyDecision> {
        let until = now + self.settings.proposal_timeout;
        let record = self.tasks.get_mut(&task)?;
        if record.has_pending_eviction(now) || !record.is_committed() {
            return None;
        }
        record.eviction_pending_until = Some(until);
        self.evictions += 1;
        Some(PolicyDecision::Evict { task, attempt: record.attempt, reason })
    }

    /// Reserves the sampled worker on which a large batch task is expected to fit first. Short tasks may use the worker
    /// until then.
    fn reserve_for_backfill(&mut self, now: MonotonicTime, task: TaskId, size: ResourceSize) -> Option<WaitReason> {
        if self.reservations.len() >= (self.workers.len() / WORKERS_PER_RESERVATION).max(1) {
            return None;
        }
        let mut best: Option<(MonotonicTime, u32)> = None;
        for worker in self.reservation_candidates(now, task, &size) {
            if let Some(ready_at) = self.expected_fit_time(now, worker, &size)
                && best.is_none_or(|(earliest, _)| ready_at < earliest)
            {
                best = Some((ready_at, worker));
            }
        }
        let (ready_at, worker) = best?;
        let longest = now + MAX_BACKFILL_RESERVATION;
        let ready_at = ready_at.min(longest);
        Some(self.reserve_worker(task, worker, WorkerReservation { task, size, ready_at, until: longest }))
    }

    /// Returns the time at which enough batch tasks of a worker are expected to have ended for `size` to fit.
    fn expected_fit_time(&self, now: MonotonicTime, worker: u32, size: &ResourceSize) -> Option<MonotonicTime> {
        let record = &self.workers[worker as usize];
        let mut ends: Vec<(MonotonicTime, ResourceSize)> = record
            .tasks
            .iter()
            .filter_map(|task_id| self.tasks.get(task_id))
            .filter(|task| task.is_batch())
            .map(|task| (self.expected_end(now, task), task.size))
            .collect();
        ends.sort_unstable();
        let mut free = record.free();
        for (end, freed) in ends {
            free = free.checked_add(&freed).unwrap_or(free);
            if size.fits_within(&free) {
                return Some(end);
            }
        }
        None
    }

    /// Returns the time at which a task is expected to end.
    fn expected_end(&self, now: MonotonicTime, task: &crate::task::TaskRecord) -> MonotonicTime {
        let since = if let crate::task::TaskPhase::Running { since } = task.phase { since } else { now };
        let remaining = self.remaining_time(task).unwrap_or(MAX_BACKFILL_RESERVATION);
        // A task that exceeded its expected run time is expected to need another fifth of it.
        (since + remaining).max(now + remaining / 5)
    }
}
