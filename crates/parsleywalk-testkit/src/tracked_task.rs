//! An attempt on the fake worker.

use std::time::{Duration, Instant};

use parsleywalk_api::{ReportedPhase, TaskReport};
use parsleywalk_units::{AttemptNumber, MemoryBytes, MilliCores, ResourceSize, TaskId, ThrottleLevel, TimeSpan};

/// An attempt that is running, or that has ended without the leader having confirmed that it recorded the end.
#[derive(Debug, Clone)]
pub(crate) struct TrackedTask {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: ReportedPhase,
    pub(crate) size: ResourceSize,
    /// The work after which it is done, as run time without throttling; with `None` it runs until it is stopped.
    pub(crate) run_time: Option<Duration>,
    pub(crate) work: Duration,
    pub(crate) checkpointed_work: Duration,
    pub(crate) has_checkpoint: bool,
    pub(crate) throttle: ThrottleLevel,
    pub(crate) lease_end: Instant,
    /// The index of its record in the run log; `None` if it never started.
    pub(crate) record: Option<usize>,
    pub(crate) text: String,
}

impl TrackedTask {
    pub(crate) fn is_running(&self) -> bool {
        self.phase == ReportedPhase::Running
    }

    /// Adds the work done in `elapsed`, depending on the throttle level, and takes a checkpoint if one is due.
    pub(crate) fn advance(&mut self, elapsed: Duration, checkpoint_interval: Option<Duration>) {
        self.work += match self.throttle {
            ThrottleLevel::None => elapsed,
            ThrottleLevel::Light => elapsed / 2,
            ThrottleLevel::Hard => elapsed / 8,
        };
        if checkpoint_interval.is_some_and(|every| self.work.saturating_sub(self.checkpointed_work) >= every) {
            self.take_checkpoint();
        }
    }

    pub(crate) fn take_checkpoint(&mut self) {
        self.checkpointed_work = self.work;
        self.has_checkpoint = true;
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.run_time.is_some_and(|run_time| self.work >= run_time)
    }

    pub(crate) fn report(&self, usage_percent: u32, latency_us: Option<u64>) -> TaskReport {
        let running = self.is_running();
        let percent = if running { usage_percent } else { 0 };
        let cores = u64::from(self.size.cores.get()) * u64::from(percent) / 100;
        TaskReport {
            task: self.task,
            attempt: self.attempt,
            phase: self.phase,
            cores: MilliCores::new(u32::try_from(cores).unwrap_or(u32::MAX)),
            memory: MemoryBytes::new(self.size.memory.get() / 100 * u64::from(percent)),
            latency_us: latency_us.filter(|_| running && self.run_time.is_none()),
            since_checkpoint: TimeSpan::from_millis(millis(self.work.saturating_sub(self.checkpointed_work))),
            checkpoint: self.has_checkpoint.then(|| format!("work-{}ms", millis(self.checkpointed_work))),
            text: self.text.clone(),
        }
    }
}

/// Parses the work that a checkpoint of [`TrackedTask::report`] contains.
pub(crate) fn checkpoint_work(checkpoint: &str) -> Option<Duration> {
    checkpoint.strip_prefix("work-")?.parse::<TimeSpan>().ok().map(TimeSpan::as_duration)
}

/// Returns the run time in a start order's arguments (`run=<span>`), if there is one.
pub(crate) fn run_time_argument(arguments: &str) -> Option<Duration> {
    let span = arguments.split_whitespace().find_map(|word| word.strip_prefix("run="))?;
    span.parse::<TimeSpan>().ok().map(TimeSpan::as_duration)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
