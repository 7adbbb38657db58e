//! Guards that decide when the batch tasks of a worker are throttled harder or lighter.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Weight of the newest report in the smoothed slowdown.
const SMOOTHING: f64 = 0.4;
/// Reports since the last step that are needed for the next step; a single report may be noise.
const MIN_REPORTS_PER_STEP: u32 = 2;
/// Longest backoff between releases, as a multiple of the release delay.
const MAX_RELEASE_BACKOFF: u32 = 16;

/// The next step of a worker's guard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GuardStep {
    /// Keep the current throttle levels.
    Wait,
    /// Throttle harder, to reduce the slowdown by at least `excess`.
    Increase { excess: f64 },
    /// Throttle lighter by one level.
    Release,
}

/// Parameters of the guards.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GuardLimits {
    /// Slowdown above which a guard throttles harder.
    pub(crate) slowdown_limit: f64,
    /// Ignore reports that were measured before the last step took effect, and require [`MIN_REPORTS_PER_STEP`] newer
    /// ones before throttling harder.
    pub(crate) waits_for_effect: bool,
    /// Time from a step to its full effect on the worker.
    pub(crate) effect_delay: Duration,
    /// How long the slowdown must stay low before a release.
    pub(crate) release_delay: Duration,
}

/// State of the guard of one worker.
#[derive(Debug, Clone, Copy, Default)]
struct WorkerGuard {
    smoothed_slowdown: f64,
    reports_since_step: u32,
    /// Measurement time of the newest report.
    measured_at: MonotonicTime,
    last_step_at: Option<MonotonicTime>,
    below_limit_since: Option<MonotonicTime>,
    last_release_at: Option<MonotonicTime>,
    /// Multiple of the release delay. It doubles when a release is soon followed by harder throttling, so that guards
    /// do not oscillate.
    release_backoff: u32,
    /// Whether a task on the worker is throttled.
    active: bool,
}

/// The guards of all workers that run services.
#[derive(Debug, Clone, Default)]
pub(crate) struct GuardTable {
    workers: BTreeMap<u32, WorkerGuard>,
    /// Workers with a report since their last evaluation.
    reported: BTreeSet<u32>,
}

impl GuardTable {
    /// Records the largest slowdown in a worker's report and returns the smoothed slowdown.
    pub(crate) fn record_slowdown(
        &mut self,
        worker: u32,
        measured_at: MonotonicTime,
        slowdown: f64,
        limits: &GuardLimits,
    ) -> f64 {
        let guard = self.workers.entry(worker).or_default();
        if measured_at < guard.measured_at {
            return guard.smoothed_slowdown;
        }
        guard.measured_at = measured_at;
        let in_effect = guard.last_step_at.is_none_or(|step_at| measured_at >= step_at + limits.effect_delay);
        if limits.waits_for_effect && !in_effect {
            return guard.smoothed_slowdown;
        }
        if guard.reports_since_step == 0 {
            guard.smoothed_slowdown = slowdown;
        } else {
            guard.smoothed_slowdown += (slowdown - guard.smoothed_slowdown) * SMOOTHING;
        }
        guard.reports_since_step = guard.reports_since_step.saturating_add(1);
        self.reported.insert(worker);
        guard.smoothed_slowdown
    }

    pub(crate) fn remove(&mut self, worker: u32) {
        self.workers.remove(&worker);
        self.reported.remove(&worker);
    }

    /// Removes and returns the next worker with a new report.
    pub(crate) fn next_reported(&mut self) -> Option<u32> {
        self.reported.pop_first()
    }

    /// Returns the step that the worker's guard should take now.
    pub(crate) fn next_step(&mut self, now: MonotonicTime, worker: u32, limits: &GuardLimits) -> GuardStep {
        let Some(guard) = self.workers.get_mut(&worker) else { return GuardStep::Wait };
        if guard.smoothed_slowdown > limits.slowdown_limit {
            guard.below_limit_since = None;
            if guard.reports_since_step < MIN_REPORTS_PER_STEP && limits.waits_for_effect {
                return GuardStep::Wait;
            }
            return GuardStep::Increase { excess: guard.smoothed_slowdown - limits.slowdown_limit * 0.5 };
        }
        if !guard.active || guard.smoothed_slowdown > limits.slowdown_limit * 0.6 {
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

    /// Records that a step was taken. Reports measured before its effect are ignored from now on.
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

    /// Records that no task on the worker is throttled any more.
    pub(crate) fn deactivate(&mut self, worker: u32) {
        if let Some(guard) = self.workers.get_mut(&worker) {
            guard.active = false;
        }
    }

    /// Returns the number of workers with a throttled task.
    pub(crate) fn active_count(&self) -> usize {
        self.workers.values().filter(|guard| guard.active).count()
    }
}
