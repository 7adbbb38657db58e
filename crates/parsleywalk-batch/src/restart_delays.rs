//! The delays before tasks that keep failing are started again.
//!
//! A task that fails at once would otherwise be started several times a second for as long as its job may fail, each time
//! with two log entries and an order. The first restarts are not delayed, since the worker may be at fault. The delays
//! are part of the leader's memory; a new leader starts such tasks at once and counts anew.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::{BatchState, RunNumber, SortedMap, StepSpec, TaskKey};

/// The number of failures in a row after which a task is started again at once.
const FREE_RESTARTS: u32 = 2;
/// The delay after one more failure; doubled with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// The most doublings of the first delay, which go beyond the longest delays.
const MAX_DOUBLINGS: u32 = 8;
/// The longest delay of a long-running task. Callers consider such a task stuck that does not run 6 s after its last run,
/// 3 s later.
const MAX_LONG_RUNNING_DELAY: Duration = Duration::from_secs(4);
/// The longest delay of any other task. Callers consider a job stuck that has had nothing running for 3 s.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// A run that has lived for this long ends the row of failures.
const RESET_LIFE: Duration = Duration::from_secs(2);

/// The delay of a task, or of a gang, by its first member.
#[derive(Debug)]
struct RestartDelay {
    /// The newest run that failed.
    run: RunNumber,
    /// The number of runs in a row that failed before [`RESET_LIFE`].
    failures: u32,
    until: MonotonicTime,
}

/// The tasks that have failed, and until when they wait.
#[derive(Debug, Default)]
pub(crate) struct RestartDelays {
    tasks: SortedMap<TaskKey, RestartDelay>,
}

/// Returns the key under which the delay of a task is known.
fn delay_key(task: &TaskKey, spec: &StepSpec) -> TaskKey {
    if spec.gang { TaskKey { index: 0, ..*task } } else { *task }
}

/// Returns the delay after a number of failures in a row.
fn delay_after(failures: u32, spec: &StepSpec) -> Duration {
    let Some(doublings) = failures.checked_sub(FREE_RESTARTS + 1) else { return Duration::ZERO };
    let longest = if spec.long_running { MAX_LONG_RUNNING_DELAY } else { MAX_DELAY };
    (FIRST_DELAY * (1 << doublings.min(MAX_DOUBLINGS))).min(longest)
}

/// Read-only methods.
impl RestartDelays {
    /// Returns true if the task waits.
    pub(crate) fn is_delayed(&self, now: MonotonicTime, task: &TaskKey) -> bool {
        self.tasks.get(task).is_some_and(|delay| now < delay.until)
    }

    /// Returns true if all of the step's `waiting` tasks wait for their delays.
    pub(crate) fn is_step_delayed(&self, now: MonotonicTime, first: &TaskKey, spec: &StepSpec, waiting: u32) -> bool {
        if self.tasks.is_empty() {
            return false;
        }
        if spec.gang {
            return self.is_delayed(now, first);
        }
        let last = TaskKey { index: u32::MAX, ..*first };
        let delayed = self.tasks.range(first, &last).filter(|(_, delay)| now < delay.until).count();
        delayed >= waiting as usize
    }
}

/// Methods that change the state.
impl RestartDelays {
    /// Records that a run ended, after `life`, in a way that leads to a restart. Returns the delay and the number of
    /// failures in a row, or `None` if the end is that of a run which is known to have failed.
    pub(crate) fn record_failure(
        &mut self,
        now: MonotonicTime,
        (task, run): (&TaskKey, RunNumber),
        spec: &StepSpec,
        life: Duration,
    ) -> Option<(Duration, u32)> {
        let first = RestartDelay { run: RunNumber::ZERO, failures: 0, until: now };
        let known = self.tasks.entry(delay_key(task, spec), || first);
        if run <= known.run {
            return None;
        }
        known.run = run;
        known.failures = if life >= RESET_LIFE { 0 } else { known.failures.saturating_add(1) };
        let delay = delay_after(known.failures, spec);
        known.until = now + delay;
        Some((delay, known.failures))
    }

    /// Makes the task wait until a time at least.
    pub(crate) fn extend(&mut self, until: MonotonicTime, task: &TaskKey, spec: &StepSpec) {
        let first = RestartDelay { run: RunNumber::ZERO, failures: 0, until };
        let known = self.tasks.entry(delay_key(task, spec), || first);
        known.until = known.until.max(until);
    }

    /// Forgets the tasks of jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.tasks.retain(|task, _| state.is_active(task.job));
    }
}
