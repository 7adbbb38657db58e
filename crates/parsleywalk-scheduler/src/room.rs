//! Room for work that finds none: evictions for urgent work and instances, held workers for large batch tasks.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};

use crate::policy::SchedulerPolicy;
use crate::queue::QueuePriority;
use crate::worker::WorkerHold;
use crate::{EvictionCause, PolicyDecision, WaitReason};

/// How long a worker is held while evicted tasks stop. Longer than any checkpoint should take.
const EVICTION_HOLD: Duration = Duration::from_secs(30);
/// The longest time for which a worker is held for a large batch task.
const BACKFILL_HOLD: Duration = Duration::from_mins(20);
/// One worker in this many may be held for large batch tasks.
const HOLD_SHARE: usize = 16;
/// Workers of each zone that are looked at when room is made.
const ROOM_CANDIDATES: usize = 8;

fn eviction_cause(priority: QueuePriority) -> EvictionCause {
    if priority == QueuePriority::Critical { EvictionCause::ServiceInstance } else { EvictionCause::UrgentWork }
}

/// A task that may be evicted.
#[derive(Debug, Clone, Copy)]
struct EvictionChoice {
    urgent: bool,
    /// Whether its eviction was proposed before; it may already be stopping.
    asked: bool,
    loss: f64,
    task: TaskId,
    size: ResourceSize,
    usage: ResourceSize,
}

impl SchedulerPolicy {
    /// Makes room for a task that found no place, where it may; returns the reason to give until then.
    pub(crate) fn find_room(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        priority: QueuePriority,
        reason: WaitReason,
        decisions: &mut Vec<PolicyDecision>,
    ) -> WaitReason {
        if let Some(&worker) = self.holds.get(&task) {
            let record = &self.workers[worker as usize];
            let usable = self.takes_starts(worker) && !self.quarantine.is_quarantined(worker);
            if usable && record.hold.is_some_and(|hold| hold.task == task && now < hold.until) {
                let reason = WaitReason::Held { worker: record.id.clone() };
                self.repeat_evictions(now, task, worker, priority, decisions);
                return reason;
            }
            self.drop_hold(task);
        }
        let Some(record) = self.tasks.get(&task) else { return reason };
        let waited = now.since(record.queued_at);
        // The same size as the next search looks for, or the room made would not be enough.
        let Ok(mut size) = self.needed_size(record) else { return reason };
        if !self.some_worker_has(&size) {
            size = record.declared;
        }
        match (priority, &reason) {
            (_, WaitReason::Quota { .. } | WaitReason::TooLarge { .. } | WaitReason::NoZone) => reason,
            (QueuePriority::Critical | QueuePriority::Urgent, _) => {
                self.evict_for(now, task, size, priority, decisions).unwrap_or(reason)
            }
            (QueuePriority::Batch, WaitReason::NoRoom { .. })
                if self.settings.backfill && waited >= self.settings.hold_after =>
            {
                self.hold_for(now, task, size).unwrap_or(reason)
            }
            (QueuePriority::Batch, _) => reason,
        }
    }

    fn room_candidates(&mut self, now: MonotonicTime, task: TaskId, size: &ResourceSize) -> Vec<u32> {
        let mut found = Vec::new();
        for (zone, record) in (0u32..).zip(&self.zones) {
            if record.out || !record.ramp.is_open() {
                continue;
            }
            self.index.sample_any(zone, false, ROOM_CANDIDATES, &mut self.rng, &mut found);
            self.index.sample_any(zone, true, ROOM_CANDIDATES, &mut self.rng, &mut found);
        }
        found.retain(|worker| {
            let record = &self.workers[*worker as usize];
            size.fits_within(&record.capacity) && record.hold.is_none() && !self.quarantine.avoids(now, task, *worker)
        });
        found
    }

    /// Evicts the batch tasks that lose the least on the worker where that costs the least.
    fn evict_for(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        size: ResourceSize,
        priority: QueuePriority,
        decisions: &mut Vec<PolicyDecision>,
    ) -> Option<WaitReason> {
        let cause = eviction_cause(priority);
        let mut best: Option<(f64, u32, Vec<TaskId>)> = None;
        for worker in self.room_candidates(now, task, &size) {
            let Some((loss, victims)) = self.victims(now, worker, &size, priority) else { continue };
            let crowding = if priority == QueuePriority::Critical && self.settings.spread {
                self.tasks.get(&task).map_or(0.0, |record| self.crowding(record.service, self.site(worker)))
            } else {
                0.0
            };
            let cost = loss + crowding;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, worker, victims));
            }
        }
        let (_, worker, victims) = best?;
        for victim in victims {
            decisions.extend(self.propose_eviction(now, victim, cause));
        }
        let until = now + EVICTION_HOLD;
        Some(self.hold_worker(task, worker, WorkerHold { task, size, ready_at: now, until }))
    }

    /// Proposes the evictions on a held worker again that were refused or lost.
    fn repeat_evictions(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        worker: u32,
        priority: QueuePriority,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let size = self.workers[worker as usize].hold.map(|hold| hold.size);
        let Some(size) = size.filter(|_| priority != QueuePriority::Batch) else { return };
        let cause = eviction_cause(priority);
        let Some((_, victims)) = self.victims(now, worker, &size, priority) else {
            self.drop_hold(task);
            return;
        };
        for victim in victims {
            decisions.extend(self.propose_eviction(now, victim, cause));
        }
    }

    fn hold_worker(&mut self, task: TaskId, worker: u32, hold: WorkerHold) -> WaitReason {
        self.holds.insert(task, worker);
        let record = &mut self.workers[worker as usize];
        record.hold = Some(hold);
        WaitReason::Held { worker: record.id.clone() }
    }

    /// The tasks whose eviction makes room on a worker, with what they lose.
    fn victims(
        &self,
        now: MonotonicTime,
        worker: u32,
        size: &ResourceSize,
        priority: QueuePriority,
    ) -> Option<(f64, Vec<TaskId>)> {
        let record = &self.workers[worker as usize];
        let (mut committed, mut used) = (record.committed, record.used);
        let mut choices = Vec::new();
        for held in &record.tasks {
            let Some(task) = self.tasks.get(held) else { continue };
            let usage = ResourceSize::new(task.cores, task.memory);
            if task.is_evicting(now) {
                committed = committed.saturating_sub(&task.size);
                used = used.saturating_sub(&usage);
            } else if task.is_batch() && task.is_committed() && (!task.urgent || priority == QueuePriority::Critical) {
                let loss = if self.settings.least_loss {
                    task.loss(now)
                } else {
                    #[expect(clippy::cast_precision_loss, reason = "only the order matters")]
                    let newest = 1e9 - held.get() as f64;
                    newest
                };
                choices.push(EvictionChoice {
                    urgent: task.urgent,
                    asked: task.evicting.is_some(),
                    loss,
                    task: *held,
                    size: task.size,
                    usage,
                });
            }
        }
        choices.sort_by(|one, other| {
            let rank = |choice: &EvictionChoice| (choice.urgent, !choice.asked);
            rank(one).cmp(&rank(other)).then(one.loss.total_cmp(&other.loss)).then(one.task.cmp(&other.task))
        });
        let fits = |committed: &ResourceSize, used: &ResourceSize| {
            size.fits_within(&record.capacity.saturating_sub(&committed.componentwise_max(used)))
        };
        let mut chosen = Vec::new();
        for choice in choices {
            if fits(&committed, &used) {
                break;
            }
            committed = committed.saturating_sub(&choice.size);
            used = used.saturating_sub(&choice.usage);
            chosen.push(choice);
        }
        if !fits(&committed, &used) {
            return None;
        }
        // A later, larger victim may make earlier ones unnecessary; the costliest are spared first.
        for place in (0..chosen.len()).rev() {
            let spared = chosen[place];
            let (more, busier) = (committed.checked_add(&spared.size)?, used.checked_add(&spared.usage)?);
            if fits(&more, &busier) {
                (committed, used) = (more, busier);
                chosen.remove(place);
            }
        }
        let loss = chosen.iter().map(|choice| choice.loss + 1.0).sum();
        Some((loss, chosen.into_iter().map(|choice| choice.task).collect()))
    }

    /// Proposes to evict a task that runs and is not being evicted.
    pub(crate) fn propose_eviction(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        reason: EvictionCause,
    ) -> Option<PolicyDecision> {
        let until = now + self.settings.pending;
        let record = self.tasks.get_mut(&task)?;
        if record.is_evicting(now) || !record.is_committed() {
            return None;
        }
        record.evicting = Some(until);
        self.evictions += 1;
        Some(PolicyDecision::Evict { task, attempt: record.attempt, reason })
    }

    /// Holds the worker on which a large batch task is expected to fit first; short tasks may use it until then.
    fn hold_for(&mut self, now: MonotonicTime, task: TaskId, size: ResourceSize) -> Option<WaitReason> {
        if self.holds.len() >= (self.workers.len() / HOLD_SHARE).max(1) {
            return None;
        }
        let mut best: Option<(MonotonicTime, u32)> = None;
        for worker in self.room_candidates(now, task, &size) {
            if let Some(ready_at) = self.fits_at(now, worker, &size)
                && best.is_none_or(|(earliest, _)| ready_at < earliest)
            {
                best = Some((ready_at, worker));
            }
        }
        let (ready_at, worker) = best?;
        let longest = now + BACKFILL_HOLD;
        let ready_at = ready_at.min(longest);
        Some(self.hold_worker(task, worker, WorkerHold { task, size, ready_at, until: longest }))
    }

    /// When enough of a worker's batch tasks are expected to have ended.
    fn fits_at(&self, now: MonotonicTime, worker: u32, size: &ResourceSize) -> Option<MonotonicTime> {
        let record = &self.workers[worker as usize];
        let mut ends: Vec<(MonotonicTime, ResourceSize)> = record
            .tasks
            .iter()
            .filter_map(|held| self.tasks.get(held))
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

    fn expected_end(&self, now: MonotonicTime, task: &crate::task::TaskRecord) -> MonotonicTime {
        let since = if let crate::task::TaskPhase::Running { since } = task.phase { since } else { now };
        let remaining = self.remaining_time(task).unwrap_or(BACKFILL_HOLD);
        // A task that has overrun is expected to need a fifth of its time more.
        (since + remaining).max(now + remaining / 5)
    }
}
