//! One attempt on the worker's stand-in.

use std::time::{Duration, Instant};

use parsleywalk_api::{ReportedPhase, TaskReport};
use parsleywalk_units::{AttemptNumber, MemoryBytes, MilliCores, ResourceSize, TaskId, ThrottleLevel, TimeSpan};

/// An attempt that runs, or whose end has not been settled.
#[derive(Debug, Clone)]
pub(crate) struct HeldTask {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: ReportedPhase,
    pub(crate) size: ResourceSize,
    /// Total work until it is done; `None` runs until it is stopped.
    pub(crate) run_time: Option<Duration>,
    pub(crate) work: Duration,
    pub(crate) saved: Duration,
    pub(crate) has_checkpoint: bool,
    pub(crate) throttle: ThrottleLevel,
    pub(crate) lease_end: Instant,
    /// Its place in the run log; `None` when it never started.
    pub(crate) record: Option<usize>,
    pub(crate) text: String,
}

impl HeldTask {
    pub(crate) fn is_running(&self) -> bool {
        self.phase == ReportedPhase::Running
    }

    /// Adds the work of a span of time and takes the checkpoints that fall into it.
    pub(crate) fn advance(&mut self, passed: Duration, checkpoint_every: Option<Duration>) {
        self.work += match self.throttle {
            ThrottleLevel::None => passed,
            ThrottleLevel::Light => passed / 2,
            ThrottleLevel::Hard => passed / 8,
        };
        if checkpoint_every.is_some_and(|every| self.work.saturating_sub(self.saved) >= every) {
            self.take_checkpoint();
        }
    }

    pub(crate) fn take_checkpoint(&mut self) {
        self.saved = self.work;
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
            since_checkpoint: TimeSpan::from_millis(millis(self.work.saturating_sub(self.saved))),
            checkpoint: self.has_checkpoint.then(|| format!("work-{}ms", millis(self.saved))),
            text: self.text.clone(),
        }
    }
}

/// Reads the work that a checkpoint of [`HeldTask::report`] holds.
pub(crate) fn work_of_checkpoint(checkpoint: &str) -> Option<Duration> {
    checkpoint.strip_prefix("work-")?.parse::<TimeSpan>().ok().map(TimeSpan::as_duration)
}

/// Reads the run time that a start order's arguments may name.
pub(crate) fn run_time_of_arguments(arguments: &str) -> Option<Duration> {
    let span = arguments.split_whitespace().find_map(|word| word.strip_prefix("run="))?;
    span.parse::<TimeSpan>().ok().map(TimeSpan::as_duration)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
