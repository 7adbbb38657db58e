//! Throttling and eviction of batch tasks that slow services on their worker.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId, ThrottleLevel};

use crate::guard_table::{GuardLimits, GuardStep};
use crate::policy::SchedulerPolicy;
use crate::{EvictionCause, PolicyDecision};

/// Slowdown above which guards throttle, for a latency weight of 0 and of 1.
const GUARD_SLOWDOWN_LIMITS: (f64, f64) = (0.9, 0.0);
/// Interval at which a throttle level is proposed again.
const THROTTLE_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Number of times that the release of a throttle is proposed again.
const RELEASE_RENEWALS: u8 = 3;
/// Smallest slowdown limit; below it guards would react to the noise of reports.
const MIN_GUARD_SLOWDOWN_LIMIT: f64 = 0.05;
/// Expected slowdown above which plain batch tasks do not start, for a latency weight of 0 and of 1.
const PLACEMENT_SLOWDOWN_LIMITS: (f64, f64) = (0.5, 0.1);
/// Share of the total expected slowdown below which a task is not worth throttling.
const NEGLIGIBLE_SHARE: f64 = 0.1;

/// Returns the share of its processors that a task can use at a throttle level.
fn remaining_core_share(level: ThrottleLevel) -> f64 {
    match level {
        ThrottleLevel::None => 1.0,
        ThrottleLevel::Light => 0.5,
        ThrottleLevel::Hard => 0.125,
    }
}

fn harder(level: ThrottleLevel) -> Option<ThrottleLevel> {
    match level {
        ThrottleLevel::None => Some(ThrottleLevel::Light),
        ThrottleLevel::Light => Some(ThrottleLevel::Hard),
        ThrottleLevel::Hard => None,
    }
}

fn lighter(level: ThrottleLevel) -> Option<ThrottleLevel> {
    match level {
        ThrottleLevel::None => None,
        ThrottleLevel::Light => Some(ThrottleLevel::None),
        ThrottleLevel::Hard => Some(ThrottleLevel::Light),
    }
}

/// Interpolates linearly between two limits.
fn interpolate(limits: (f64, f64), share: f64) -> f64 {
    limits.0 + (limits.1 - limits.0) * share
}

/// A batch task with the slowdown that it is expected to cause without a throttle.
#[derive(Debug, Clone, Copy)]
struct ThrottleCandidate {
    task: TaskId,
    level: ThrottleLevel,
    slowdown: f64,
}

impl SchedulerPolicy {
    pub(crate) fn guard_limits(&self) -> GuardLimits {
        GuardLimits {
            slowdown_limit: interpolate(GUARD_SLOWDOWN_LIMITS, self.weights.latency_share())
                .max(MIN_GUARD_SLOWDOWN_LIMIT),
            waits_for_effect: self.settings.guard_waits_for_effect,
            effect_delay: self.settings.guard_effect_delay,
            release_delay: self.settings.guard_release_delay,
        }
    }

    /// Returns the expected slowdown of services up to which plain batch tasks start on their worker.
    pub(crate) fn placement_slowdown_limit(&self) -> f64 {
        interpolate(PLACEMENT_SLOWDOWN_LIMITS, self.weights.latency_share())
    }

    pub(crate) fn decide_guards(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        if !self.settings.guards {
            return;
        }
        self.renew_throttles(now, limit, decisions);
        let limits = self.guard_limits();
        while decisions.len() < limit
            && let Some(worker) = self.guards.next_reported()
        {
            match self.guards.next_step(now, worker, &limits) {
                GuardStep::Wait => {}
                GuardStep::Increase { excess } => self.increase_throttle(now, worker, excess, &limits, decisions),
                GuardStep::Release => self.release_throttle(now, worker, &limits, decisions),
            }
        }
    }

    /// Returns the running batch tasks of a worker, those with the largest expected slowdown first.
    fn throttle_candidates(&self, now: MonotonicTime, worker: u32) -> Vec<ThrottleCandidate> {
        let record = &self.workers[worker as usize];
        let mut candidates: Vec<ThrottleCandidate> = record
            .tasks
            .iter()
            .filter_map(|task_id| Some((*task_id, self.tasks.get(task_id)?)))
            .filter(|(_, task)| task.is_batch() && task.is_running() && !task.has_pending_eviction(now))
            .map(|(task_id, task)| {
                let cores = f64::from(task.size.cores.get()) / 1000.0;
                let slope = record
                    .allocations
                    .iter()
                    .filter(|allocation| allocation.critical)
                    .map(|allocation| self.interference.slope(now, allocation.service, task.service))
                    .fold(0.0, f64::max);
                ThrottleCandidate { task: task_id, level: task.throttle, slowdown: slope * cores }
            })
            .collect();
        candidates.sort_by(|one, other| other.slowdown.total_cmp(&one.slowdown).then(one.task.cmp(&other.task)));
        candidates
    }

    /// Throttles the tasks with the largest expected slowdown by one level each, until the expected reduction reaches
    /// `excess`. If none of them can be throttled harder, evicts the first.
    fn increase_throttle(
        &mut self,
        now: MonotonicTime,
        worker: u32,
        excess: f64,
        limits: &GuardLimits,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let candidates = self.throttle_candidates(now, worker);
        let total_slowdown: f64 = candidates.iter().map(|candidate| candidate.slowdown).sum();
        let mut excess_left = excess;
        let mut acted = false;
        for candidate in &candidates {
            if excess_left <= 0.0 || candidate.slowdown < total_slowdown * NEGLIGIBLE_SHARE {
                break;
            }
            if let Some(level) = harder(candidate.level) {
                excess_left -=
                    candidate.slowdown * (remaining_core_share(candidate.level) - remaining_core_share(level));
                self.propose_throttle(now, candidate.task, level, decisions);
                acted = true;
            }
        }
        if !acted && let Some(worst) = candidates.first().filter(|worst| worst.level == ThrottleLevel::Hard) {
            let eviction = self.propose_eviction(now, worst.task, EvictionCause::Interference);
            acted = eviction.is_some();
            decisions.extend(eviction);
        }
        if acted {
            self.guards.record_step(now, worker, false, limits);
        }
    }

    /// Releases one level of the throttled task with the smallest expected slowdown.
    fn release_throttle(
        &mut self,
        now: MonotonicTime,
        worker: u32,
        limits: &GuardLimits,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let candidates = self.throttle_candidates(now, worker);
        let throttled = candidates.iter().rev().find(|candidate| candidate.level != ThrottleLevel::None);
        if let Some(candidate) = throttled
            && let Some(level) = lighter(candidate.level)
        {
            self.propose_throttle(now, candidate.task, level, decisions);
            self.guards.record_step(now, worker, true, limits);
        } else {
            self.guards.deactivate(worker);
        }
    }

    fn propose_throttle(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        level: ThrottleLevel,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let renewals = if level == ThrottleLevel::None { RELEASE_RENEWALS } else { u8::MAX };
        let due = now + THROTTLE_RENEWAL_INTERVAL;
        if let Some(record) = self.tasks.get_mut(&task) {
            record.throttle = level;
            record.throttle_due = Some((due, renewals));
            self.throttle_renewals.insert((due, task));
            decisions.push(PolicyDecision::Throttle { task, attempt: record.attempt, level });
        }
    }

    /// Proposes the current throttle levels again: no event confirms them, and a lost release would slow a task for the
    /// rest of its run.
    fn renew_throttles(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        while decisions.len() < limit
            && let Some(&(due, task)) = self.throttle_renewals.first()
            && due <= now
        {
            self.throttle_renewals.pop_first();
            let Some(record) = self.tasks.get_mut(&task).filter(|record| record.is_running()) else { continue };
            let Some((_, renewals_left)) = record.throttle_due.filter(|(next, _)| *next == due) else { continue };
            decisions.push(PolicyDecision::Throttle { task, attempt: record.attempt, level: record.throttle });
            let is_throttled = record.throttle != ThrottleLevel::None;
            record.throttle_due = (is_throttled || renewals_left > 1)
                .then(|| (now + THROTTLE_RENEWAL_INTERVAL, renewals_left.saturating_sub(1)));
            if let Some((next, _)) = record.throttle_due {
                self.throttle_renewals.insert((next, task));
            }
        }
    }
}
