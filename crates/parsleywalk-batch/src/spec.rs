//! What a job consists of.

use std::time::Duration;

use parsleywalk_units::ResourceSize;
use serde::{Deserialize, Serialize};

/// The most tasks of a job over all its occurrences; bounds the memory that one submission takes.
pub const TASK_LIMIT: usize = 20_000;

/// The most steps of a job.
pub const STEP_LIMIT: usize = 256;

/// A set of equal tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each property is independent")]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// What each task needs.
    pub size: ResourceSize,
    /// A rough estimate of a task's duration.
    pub estimate: Duration,
    /// The earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// The tasks keep checkpoints and can resume from them.
    pub checkpointable: bool,
    /// The tasks work only all together, under one run number.
    pub gang: bool,
    /// The tasks are slower when they run on more than one rack.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds the data; tasks are slower elsewhere.
    pub preferred_rack: Option<String>,
    /// The most tasks of the step on one worker.
    pub per_worker_limit: Option<u32>,
    /// Several runs of one task may be in progress; the first to finish counts.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: String,
    /// The tail latency of lasting tasks must stay below this.
    pub tail_objective: Option<Duration>,
    /// The tasks use only processor time that others leave, so their processors are not committed.
    pub filling: bool,
    /// How many lasting tasks of the step may be unavailable at a time by the system's own actions.
    pub disruption_budget: Option<u32>,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Handed to every task.
    pub payload: String,
    /// The steps, in order.
    pub steps: Vec<StepSpec>,
    /// The times at which the steps run; none for a job that runs once, at once.
    pub schedule: Option<JobSchedule>,
}

/// When the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub occurrences: u32,
    /// When the first is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// The milliseconds from one to the next.
    pub interval_ms: u64,
}

impl StepSpec {
    /// Tells whether the tasks serve users of their own, whose latency must stay below a target.
    #[must_use]
    pub fn is_latency_critical(&self) -> bool {
        self.lasting && self.tail_objective.is_some()
    }
}

impl JobSchedule {
    /// When an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms.saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

impl JobSpec {
    /// The number of occurrences, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns why the job can't be accepted, or `None` for a valid one.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() || self.steps.len() > STEP_LIMIT {
            return Some("a job has 1 to 256 steps");
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("a step has at least one task");
            }
            if step.depends_on.iter().any(|earlier| usize::from(*earlier) >= number) {
                return Some("a step depends on earlier steps only");
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let all = tasks.saturating_mul(u64::from(self.occurrences()));
        (all > TASK_LIMIT as u64).then_some("a job has at most 20000 tasks over all its occurrences")
    }
}
