//! What a workspace uses and waits for.

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ResourceSize, WorkspaceName};

/// What a workspace uses and waits for, for metrics and operators.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The resources allocated to its placed runs; best-effort runs count with their cores.
    pub allocated: ResourceSize,
    /// What it may have allocated.
    pub limit: ResourceLimit,
    /// Its dominant share of the capacity divided by its weight, which decides when it is served.
    pub share: f64,
    /// The number of its jobs with tasks that are ready to start.
    pub waiting_jobs: usize,
    /// How many of these wait for the limit.
    pub limited_jobs: usize,
}
