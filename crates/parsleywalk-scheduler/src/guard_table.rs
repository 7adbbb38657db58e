//! When a worker's batch tasks are slowed further or less.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The weight of the newest report in the smoothed slow-down.
const SMOOTHING: f64 = 0.4;
/// Reports since the last step that are needed for the next one; a single one may be noise.
const MIN_REPORTS_PER_STEP: u32 = 2;
/// The longest release pause, as a multiple of the setting.
const MAX_RELEASE_BACKOFF: u32 = 16;

/// What a worker's guard should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GuardStep {
    Wait,
    /// Cut the slow-down by at least this much.
    Increase {
        excess: f64,
    },
    Release,
}

/// When guards act.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GuardLimits {
    /// The slow-down above which a guard tightens.
    pub(crate) slowdown_limit: f64,
    /// Wait for reports measured after the last step took effect.
    pub(crate) waits_for_effect: bool,
    pub(crate) effect_delay: Duration,
    pub(crate) release_delay: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct WorkerGuard {
    smoothed: f64,
    reports_since_step: u32,
    measured_at: MonotonicTime,
    last_step_at: Option<MonotonicTime>,
    below_limit_since: Option<MonotonicTime>,
    last_release_at: Option<MonotonicTime>,
    /// Grows when a release was followed by a new step, so that guards do not swing.
    release_backoff: u32,
    active: bool,
}

/// The guards of all workers that run services.
#[derive(Debug, Clone, Default)]
pub(crate) struct GuardTable {
    workers: BTreeMap<u32, WorkerGuard>,
    reported: BTreeSet<u32>,
}

impl GuardTable {
    /// Takes a worker's largest slow-down of a report and returns the smoothed one.
    pub(crate) fn record_slowdown(
        &mut self,
        worker: u32,
        measured_at: MonotonicTime,
        slowdown: f64,
        limits: &GuardLimits,
    ) -> f64 {
        let guard = self.workers.entry(worker).or_default();
        if measured_at < guard.measured_at {
            return guard.smoothed;
        }
        guard.measured_at = measured_at;
        let in_effect = guard.last_step_at.is_none_or(|step_at| measured_at >= step_at + limits.effect_delay);
        if limits.waits_for_effect && !in_effect {
            return guard.smoothed;
        }
        if guard.reports_since_step == 0 {
            guard.smoothed = slowdown;
        } else {
            guard.smoothed += (slowdown - guard.smoothed) * SMOOTHING;
        }
        guard.reports_since_step = guard.reports_since_step.saturating_add(1);
        self.reported.insert(worker);
        guard.smoothed
    }

    pub(crate) fn remove(&mut self, worker: u32) {
        self.workers.remove(&worker);
        self.reported.remove(&worker);
    }

    /// The next worker with a new report.
    pub(crate) fn next_reported(&mut self) -> Option<u32> {
        self.reported.pop_first()
    }

    pub(crate) fn next_step(&mut self, now: MonotonicTime, worker: u32, limits: &GuardLimits) -> GuardStep {
        let Some(guard) = self.workers.get_mut(&worker) else { return GuardStep::Wait };
        if guard.smoothed > limits.slowdown_limit {
            guard.below_limit_since = None;
            if guard.reports_since_step < MIN_REPORTS_PER_STEP && limits.waits_for_effect {
                return GuardStep::Wait;
            }
            return GuardStep::Increase { excess: guard.smoothed - limits.slowdown_limit * 0.5 };
        }
        if !guard.active || guard.smoothed > limits.slowdown_limit * 0.6 {
            guard.below_limit_since = None;
            return GuardStep::Wait;
        }
        let since = *guard.below_limit_since.get_or_insert(now);
        if now.since(since) >= limits.release_delay * guard.release_backoff.max(1) {
            GuardStep::Release
        } else {
            GuardStep::Wait
        }
    }

    /// Notes that a step was taken; reports measured before its effect no longer count.
    pub(crate) fn record_step(&mut self, now: MonotonicTime, worker: u32, release: bool, limits: &GuardLimits) {
        let Some(guard) = self.workers.get_mut(&worker) else { return };
        guard.last_step_at = Some(now);
        guard.below_limit_since = None;
        guard.reports_since_step = 0;
        if release {
            guard.last_release_at = Some(now);
            return;
        }
        guard.active = true;
        let oscillates =
            guard.last_release_at.take().is_some_and(|released| now.since(released) < limits.release_delay * 2);
        guard.release_backoff =
            if oscillates { (guard.release_backoff.max(1) * 2).min(MAX_RELEASE_BACKOFF) } else { 1 };
    }

    /// Notes that nothing on the worker is throttled any more.
    pub(crate) fn deactivate(&mut self, worker: u32) {
        if let Some(guard) = self.workers.get_mut(&worker) {
            guard.active = false;
        }
    }

    /// The number of workers on which something is throttled.
    pub(crate) fn active_count(&self) -> usize {
        self.workers.values().filter(|guard| guard.active).count()
    }
}
