//! The operators' configuration: queues and services.

use std::time::Duration;

use parsleywalk_units::{ConfigurationVersion, ServiceName};
use serde::{Deserialize, Serialize};

/// A queue of jobs, addressed by host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobQueue {
    /// The name in logs.
    pub name: String,
    /// The host that callers address, in lower case.
    pub host: String,
    /// The path's beginning; the longest match decides.
    pub path_prefix: String,
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 comes first and may preempt others.
    pub priority: u8,
    /// The failed runs after which a task's job has failed.
    pub attempt_limit: u16,
    /// A job is on time within this many times its longest chain of work, and the latency objective.
    pub stretch: f32,
    /// Added to the stretched work.
    pub latency_objective: Duration,
    /// The longest that a caller's request may take.
    pub timeout: Duration,
    /// Who decides which workers may run a step, if anybody does.
    pub advice: Option<AdviceRule>,
}

/// How long the advice service takes and how long its word holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPool {
    /// The pool's service.
    pub service: ServiceName,
    /// The workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// The pool's machines are off.
    pub standby: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// The highest version is in force.
    pub version: ConfigurationVersion,
    /// The operator's text, returned as it came.
    pub text: String,
    /// The queues.
    pub queues: Vec<JobQueue>,
    /// The pools.
    pub pools: Vec<WorkerPool>,
    /// The largest body of a submission in bytes.
    pub body_limit: usize,
}

impl QueueConfiguration {
    /// Returns the queue whose host matches and whose prefix is the longest that the path begins with.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&JobQueue> {
        let matching = self.queues.iter().filter(|queue| queue.host == host && path.starts_with(&queue.path_prefix));
        matching.max_by_key(|queue| queue.path_prefix.len())
    }
}
