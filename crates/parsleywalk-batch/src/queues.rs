//! Configuration of job queues and worker pools.

use std::fmt::{self, Debug, Formatter};
use std::time::Duration;

use parsleywalk_units::{ConfigurationVersion, ServiceName};
use serde::{Deserialize, Serialize};

/// A queue of jobs, addressed by host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobQueue {
    /// The queue's name in logs and metrics.
    pub name: String,
    /// The host that callers address, in lower case.
    pub host: String,
    /// The prefix of the request path; the queue with the longest matching prefix is used.
    pub path_prefix: String,
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// The priority; 0 is the highest and may preempt others.
    pub priority: u8,
    /// The number of failed runs after which a task fails its job.
    pub attempt_limit: u16,
    /// Factor for the critical path: a job is on time if it ends within `stretch` times its critical path plus
    /// `latency_objective`.
    pub stretch: f32,
    /// The constant part of the latency objective.
    pub latency_objective: Duration,
    /// The maximum duration of a caller's request.
    pub timeout: Duration,
    /// The rule for advice about which workers may run a step; `None` if the queue takes no advice.
    pub advice: Option<AdviceRule>,
}

/// A rule for using the tickets of the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPool {
    /// The service of the pool.
    pub service: ServiceName,
    /// Whether the workers refuse runs that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the pool's machines are powered off.
    pub standby: bool,
}

/// One version of the configuration. `Debug` hides the text, which holds the keys of workspaces.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// The version; the highest one is active.
    pub version: ConfigurationVersion,
    /// The operator's original text, returned unchanged.
    pub text: String,
    /// The queues of jobs.
    pub queues: Vec<JobQueue>,
    /// The worker pools.
    pub pools: Vec<WorkerPool>,
    /// The maximum body size of a submission in bytes.
    pub body_limit: usize,
}

impl Debug for QueueConfiguration {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("QueueConfiguration");
        debug.field("version", &self.version).field("text_bytes", &self.text.len()).field("queues", &self.queues);
        debug.field("pools", &self.pools).field("body_limit", &self.body_limit).finish()
    }
}

impl QueueConfiguration {
    /// Returns the queue with the matching host and the longest matching path prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&JobQueue> {
        self.queues.get(self.queue_position(host, path)?)
    }

    /// Returns the position in the list of the queue with the matching host and the longest matching path prefix.
    #[must_use]
    pub fn queue_position(&self, host: &str, path: &str) -> Option<usize> {
        let queues = self.queues.iter().enumerate();
        let matching = queues.filter(|(_, queue)| queue.host == host && path.starts_with(&queue.path_prefix));
        matching.max_by_key(|(_, queue)| queue.path_prefix.len()).map(|(position, _)| position)
    }
}
