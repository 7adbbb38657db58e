//! How well a worker suits a task.

/// How well a worker suits a task; lower is better. The fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(clippy::struct_excessive_bools, reason = "each property is compared by itself")]
pub(crate) struct WorkerRank {
    /// Whether the worker is quarantined, or on probation and gets one run more than it would otherwise.
    pub(crate) over_probation: bool,
    /// Whether the worker is known to be slow.
    pub(crate) is_slow: bool,
    /// Whether the worker is outside the rack that the step prefers.
    pub(crate) off_rack: bool,
    /// Whether the task last failed or stalled on the worker.
    pub(crate) avoided: bool,
    /// The worker's consecutive failures.
    pub(crate) failures: u32,
    /// For a latency-critical task the best-effort images that the worker loses; for a best-effort task those that it
    /// accepts, so that workers with many are left to images with fewer choices.
    pub(crate) compatibility: u32,
    /// For a latency-critical task the mismatch of images; for a best-effort task the interference level.
    pub(crate) interference: u32,
    /// The free cores, or their complement where a worker with more free cores is better.
    pub(crate) cores: u32,
}
