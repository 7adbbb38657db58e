//! When a worker's batch tasks are slowed further or less.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The weight of the newest report in the smoothed slow-down.
const SMOOTHING: f64 = 0.4;
/// Reports since the last step that are needed for the next one; a single one may be noise.
const FRESH_REPORTS: u32 = 2;
/// The longest release pause, as a multiple of the setting.
const LONGEST_PAUSE: u32 = 16;

/// What a worker's guard should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GuardStep {
    Wait,
    /// Cut the slow-down by at least this much.
    Tighten {
        excess: f64,
    },
    Release,
}

/// When guards act.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GuardLimits {
    /// The slow-down above which a guard tightens.
    pub(crate) limit: f64,
    /// Wait for reports measured after the last step took effect.
    pub(crate) waits: bool,
    pub(crate) effect: Duration,
    pub(crate) release: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct WorkerGuard {
    smoothed: f64,
    fresh: u32,
    measured_at: MonotonicTime,
    acted_at: Option<MonotonicTime>,
    calm_since: Option<MonotonicTime>,
    released_at: Option<MonotonicTime>,
    /// Grows when a release was followed by a new step, so that guards do not swing.
    pause: u32,
    active: bool,
}

/// The guards of all workers that run services.
#[derive(Debug, Clone, Default)]
pub(crate) struct GuardLadder {
    workers: BTreeMap<u32, WorkerGuard>,
    reported: BTreeSet<u32>,
}

impl GuardLadder {
    /// Takes a worker's largest slow-down of a report and returns the smoothed one.
    pub(crate) fn report(
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
        let in_effect = guard.acted_at.is_none_or(|acted| measured_at >= acted + limits.effect);
        if limits.waits && !in_effect {
            return guard.smoothed;
        }
        if guard.fresh == 0 {
            guard.smoothed = slowdown;
        } else {
            guard.smoothed += (slowdown - guard.smoothed) * SMOOTHING;
        }
        guard.fresh = guard.fresh.saturating_add(1);
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

    pub(crate) fn step(&mut self, now: MonotonicTime, worker: u32, limits: &GuardLimits) -> GuardStep {
        let Some(guard) = self.workers.get_mut(&worker) else { return GuardStep::Wait };
        if guard.smoothed > limits.limit {
            guard.calm_since = None;
            if guard.fresh < FRESH_REPORTS && limits.waits {
                return GuardStep::Wait;
            }
            return GuardStep::Tighten { excess: guard.smoothed - limits.limit * 0.5 };
        }
        if !guard.active || guard.smoothed > limits.limit * 0.6 {
            guard.calm_since = None;
            return GuardStep::Wait;
        }
        let since = *guard.calm_since.get_or_insert(now);
        if now.since(since) >= limits.release * guard.pause.max(1) { GuardStep::Release } else { GuardStep::Wait }
    }

    /// Notes that a step was taken; reports measured before its effect no longer count.
    pub(crate) fn acted(&mut self, now: MonotonicTime, worker: u32, release: bool, limits: &GuardLimits) {
        let Some(guard) = self.workers.get_mut(&worker) else { return };
        guard.acted_at = Some(now);
        guard.calm_since = None;
        guard.fresh = 0;
        if release {
            guard.released_at = Some(now);
            return;
        }
        guard.active = true;
        let swung = guard.released_at.take().is_some_and(|released| now.since(released) < limits.release * 2);
        guard.pause = if swung { (guard.pause.max(1) * 2).min(LONGEST_PAUSE) } else { 1 };
    }

    /// Notes that nothing on the worker is throttled any more.
    pub(crate) fn settle(&mut self, worker: u32) {
        if let Some(guard) = self.workers.get_mut(&worker) {
            guard.active = false;
        }
    }

    /// The number of workers on which something is throttled.
    pub(crate) fn active(&self) -> usize {
        self.workers.values().filter(|guard| guard.active).count()
    }
}
