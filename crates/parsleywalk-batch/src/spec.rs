//! Specification of a job.

use std::time::Duration;

use parsleywalk_units::ResourceSize;
use serde::{Deserialize, Serialize};

/// The maximum number of tasks of a job over all its occurrences, which bounds the memory that one submission takes.
pub const MAX_JOB_TASKS: usize = 20_000;

/// The maximum size of a job's payload in bytes. Each start order carries it, and a response must fit several.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// The maximum size of a job in bytes, which must fit into a log entry.
const MAX_JOB_BYTES: usize = 512 * 1024;

/// The maximum number of steps of a job.
pub const MAX_JOB_STEPS: usize = 256;

/// A step: a set of equal tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each property is independent")]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: ResourceSize,
    /// A rough estimate of a task's duration.
    pub estimate: Duration,
    /// The indexes of earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks write checkpoints and can resume from them.
    pub checkpointable: bool,
    /// Whether the tasks run only all together, under one run number.
    pub gang: bool,
    /// Whether the tasks are slower when they run on more than one rack.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds the data; tasks are slower on other racks.
    pub preferred_rack: Option<String>,
    /// The maximum number of the step's tasks on one worker.
    pub per_worker_limit: Option<u32>,
    /// Whether several runs of a task may be in progress; the first to complete counts.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The program that the tasks run. Tasks with the same image are assumed to behave alike.
    pub image: String,
    /// The tail-latency objective of long-running tasks.
    pub tail_objective: Option<Duration>,
    /// Whether the tasks are best-effort: they use only CPU time that others leave, so their cores are not allocated.
    #[serde(rename = "filling")]
    pub best_effort: bool,
    /// How many long-running tasks of the step the scheduler's own actions may make unavailable at a time.
    pub disruption_budget: Option<u32>,
}

/// A job as submitted by its caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Data passed to every task.
    pub payload: String,
    /// The steps in order.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` for a job that runs once, immediately.
    pub schedule: Option<JobSchedule>,
}

/// The times at which the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub occurrences: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// The interval between two occurrences in milliseconds.
    pub interval_ms: u64,
}

/// The size of a step without its texts in bytes, which is at least that of its encoding.
const STEP_BYTES: usize = 256;

/// The longest estimate that decisions use. Callers may send any number, and sums of unbounded durations overflow.
const MAX_ESTIMATE: Duration = Duration::from_hours(24);

impl StepSpec {
    /// Returns the estimated duration of a task, at most a day.
    pub(crate) fn bounded_estimate(&self) -> Duration {
        self.estimate.min(MAX_ESTIMATE)
    }

    /// Returns true if the tasks are long-running and have a tail-latency objective.
    #[must_use]
    pub fn is_latency_critical(&self) -> bool {
        self.long_running && self.tail_objective.is_some()
    }
}

impl JobSchedule {
    /// Returns when an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms.saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

impl JobSpec {
    /// Returns the number of occurrences, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns about how many bytes the job takes in a log entry, rounded up.
    pub(crate) fn size_hint(&self) -> usize {
        let texts = |step: &StepSpec| {
            let labels =
                [&step.required_label, &step.preferred_rack].map(|label| label.as_ref().map_or(0, String::len));
            step.image.len() + labels.iter().sum::<usize>() + step.depends_on.len() * size_of::<u64>()
        };
        self.payload.len() + self.steps.iter().map(|step| STEP_BYTES + texts(step)).sum::<usize>()
    }

    /// Returns the reason why the job is invalid, or `None` if it is valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() || self.steps.len() > MAX_JOB_STEPS {
            return Some("a job has 1 to 256 steps");
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("a step has at least one task");
            }
            if step.depends_on.iter().any(|earlier| usize::from(*earlier) >= index) {
                return Some("a step depends on earlier steps only");
            }
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Some("a job's payload has at most 65536 bytes");
        }
        if self.size_hint() > MAX_JOB_BYTES {
            return Some("a job takes at most 512 KiB with the texts of its steps");
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let all = tasks.saturating_mul(u64::from(self.occurrences()));
        (all > MAX_JOB_TASKS as u64).then_some("a job has at most 20000 tasks over all its occurrences")
    }
}
