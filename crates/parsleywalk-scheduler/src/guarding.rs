//! What the guards do to a worker's batch tasks.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId, ThrottleLevel};

use crate::guard::{GuardLimits, GuardStep};
use crate::policy::SchedulerPolicy;
use crate::{EvictionCause, PolicyDecision};

/// The slow-down above which guards act, for a latency weight of 0 and of 1.
const GUARD_LIMITS: (f64, f64) = (0.9, 0.0);
/// How long until a throttle level is proposed again.
const THROTTLE_AGAIN: Duration = Duration::from_secs(10);
/// How often a release is proposed again.
const RELEASE_REPEATS: u8 = 3;
/// Below this a guard would act on the noise of reports.
const SMALLEST_LIMIT: f64 = 0.05;
/// The expected slow-down above which batch tasks do not start, for a latency weight of 0 and of 1.
const PLACEMENT_LIMITS: (f64, f64) = (0.5, 0.1);
/// The share of the expected slow-down below which a task is not worth throttling.
const NEGLIGIBLE: f64 = 0.1;

/// The share of its processors that a task keeps at a level.
fn kept(level: ThrottleLevel) -> f64 {
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

fn between(limits: (f64, f64), share: f64) -> f64 {
    limits.0 + (limits.1 - limits.0) * share
}

/// A batch task with the slow-down that it is expected to cause without a throttle.
#[derive(Debug, Clone, Copy)]
struct GuardSuspect {
    task: TaskId,
    level: ThrottleLevel,
    slowdown: f64,
}

impl SchedulerPolicy {
    pub(crate) fn guard_limits(&self) -> GuardLimits {
        GuardLimits {
            limit: between(GUARD_LIMITS, self.weights.latency_share()).max(SMALLEST_LIMIT),
            waits: self.settings.guard_waits,
            effect: self.settings.guard_effect,
            release: self.settings.guard_release_delay,
        }
    }

    /// The expected slow-down up to which batch tasks start beside a service.
    pub(crate) fn slowdown_allowance(&self) -> f64 {
        between(PLACEMENT_LIMITS, self.weights.latency_share())
    }

    pub(crate) fn decide_guards(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        if !self.settings.guards {
            return;
        }
        self.repeat_throttles(now, limit, decisions);
        let limits = self.guard_limits();
        while decisions.len() < limit
            && let Some(worker) = self.guards.next_reported()
        {
            match self.guards.step(now, worker, &limits) {
                GuardStep::Wait => {}
                GuardStep::Tighten { excess } => self.tighten(now, worker, excess, &limits, decisions),
                GuardStep::Release => self.loosen(now, worker, &limits, decisions),
            }
        }
    }

    /// The running batch tasks of a worker, the most harmful first.
    fn suspects(&self, now: MonotonicTime, worker: u32) -> Vec<GuardSuspect> {
        let record = &self.workers[worker as usize];
        let mut suspects: Vec<GuardSuspect> = record
            .tasks
            .iter()
            .filter_map(|held| Some((*held, self.tasks.get(held)?)))
            .filter(|(_, task)| task.is_batch() && task.is_running() && !task.is_evicting(now))
            .map(|(held, task)| {
                let cores = f64::from(task.size.cores.get()) / 1000.0;
                let slope = record
                    .mix
                    .iter()
                    .filter(|mix| mix.critical)
                    .map(|mix| self.model.slope(now, mix.service, task.service))
                    .fold(0.0, f64::max);
                GuardSuspect { task: held, level: task.throttle, slowdown: slope * cores }
            })
            .collect();
        suspects.sort_by(|one, other| other.slowdown.total_cmp(&one.slowdown).then(one.task.cmp(&other.task)));
        suspects
    }

    fn tighten(
        &mut self,
        now: MonotonicTime,
        worker: u32,
        excess: f64,
        limits: &GuardLimits,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let suspects = self.suspects(now, worker);
        let total: f64 = suspects.iter().map(|suspect| suspect.slowdown).sum();
        let mut left = excess;
        let mut acted = false;
        for suspect in &suspects {
            if left <= 0.0 || suspect.slowdown < total * NEGLIGIBLE {
                break;
            }
            if let Some(level) = harder(suspect.level) {
                left -= suspect.slowdown * (kept(suspect.level) - kept(level));
                self.propose_throttle(now, suspect.task, level, decisions);
                acted = true;
            }
        }
        if !acted && let Some(worst) = suspects.first().filter(|worst| worst.level == ThrottleLevel::Hard) {
            let eviction = self.propose_eviction(now, worst.task, EvictionCause::Interference);
            acted = eviction.is_some();
            decisions.extend(eviction);
        }
        if acted {
            self.guards.acted(now, worker, false, limits);
        }
    }

    fn loosen(&mut self, now: MonotonicTime, worker: u32, limits: &GuardLimits, decisions: &mut Vec<PolicyDecision>) {
        let suspects = self.suspects(now, worker);
        let throttled = suspects.iter().rev().find(|suspect| suspect.level != ThrottleLevel::None);
        if let Some(suspect) = throttled
            && let Some(level) = lighter(suspect.level)
        {
            self.propose_throttle(now, suspect.task, level, decisions);
            self.guards.acted(now, worker, true, limits);
        } else {
            self.guards.settle(worker);
        }
    }

    fn propose_throttle(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        level: ThrottleLevel,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let repeats = if level == ThrottleLevel::None { RELEASE_REPEATS } else { u8::MAX };
        let due = now + THROTTLE_AGAIN;
        if let Some(record) = self.tasks.get_mut(&task) {
            record.throttle = level;
            record.throttle_due = Some((due, repeats));
            self.throttles.insert((due, task));
            decisions.push(PolicyDecision::Throttle { task, attempt: record.attempt, level });
        }
    }

    /// Proposes the levels in force again: no event confirms them, and a lost release would slow a task for good.
    fn repeat_throttles(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        while decisions.len() < limit
            && let Some(&(due, task)) = self.throttles.first()
            && due <= now
        {
            self.throttles.pop_first();
            let Some(record) = self.tasks.get_mut(&task).filter(|record| record.is_running()) else { continue };
            let Some((_, left)) = record.throttle_due.filter(|(next, _)| *next == due) else { continue };
            decisions.push(PolicyDecision::Throttle { task, attempt: record.attempt, level: record.throttle });
            let endless = record.throttle != ThrottleLevel::None;
            record.throttle_due = (endless || left > 1).then(|| (now + THROTTLE_AGAIN, left.saturating_sub(1)));
            if let Some((next, _)) = record.throttle_due {
                self.throttles.insert((next, task));
            }
        }
    }
}
