//! Workspaces: the owners of jobs, with their keys, limits and weights.

use std::fmt::{self, Debug, Formatter};

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ConfigurationVersion, MemoryBytes, MilliCores, ResourceSize, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::JobSpec;

/// A secret by which a caller shows that it acts for a workspace. `Debug` hides it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns true if the keys are equal. The time that it takes depends only on the lengths.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let (one, other) = (self.0.as_bytes(), other.0.as_bytes());
        one.len() == other.len() && one.iter().zip(other).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A workspace of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name, which stays when keys change.
    pub name: WorkspaceName,
    /// The valid keys.
    pub keys: Vec<ApiKey>,
    /// The share of the workspace when all capacity is in use, and the jobs that it may submit per second before others
    /// of its priority come first.
    pub weight: u32,
    /// What the workspace may have running on all workers.
    pub limit: ResourceLimit,
}

/// The size of a workspace or a key in a log entry without its text in bytes, which is at least that of its encoding.
const ROW_BYTES: usize = 64;

impl Workspace {
    /// Returns why a task or a gang of the job can never run within the limit, or `None` if each can.
    #[must_use]
    pub fn limit_error(&self, spec: &JobSpec) -> Option<String> {
        spec.steps.iter().enumerate().find_map(|(number, step)| {
            let (tasks, what) = if step.gang { (step.count, "the gang") } else { (1, "a task") };
            let exceeded = exceeded_bound(&self.limit, &step.size, tasks)?;
            Some(format!("{what} of step {number} needs {exceeded} of workspace {}", self.name))
        })
    }

    /// Returns about how many bytes the workspace takes in a log entry, rounded up.
    pub(crate) fn size_hint(&self) -> usize {
        let keys = self.keys.iter().map(|key| ROW_BYTES + key.0.len()).sum::<usize>();
        ROW_BYTES + self.name.as_str().len() + keys
    }
}

/// Returns the first resource of which this many tasks need more than the limit permits, with its bound.
fn exceeded_bound(limit: &ResourceLimit, size: &ResourceSize, tasks: u32) -> Option<String> {
    let tasks = u64::from(tasks);
    let cores = u64::from(size.cores.get()) * tasks;
    if let Some(bound) = limit.cores.filter(|bound| cores > u64::from(bound.get())) {
        let needed =
            u32::try_from(cores).map_or((cores / 1000).to_string(), |cores| MilliCores::new(cores).to_string());
        return Some(format!("{needed} cores, over the limit of {bound}"));
    }
    let memory = size.memory.get().saturating_mul(tasks);
    if let Some(bound) = limit.memory.filter(|bound| memory > bound.get()) {
        return Some(format!("{} of memory, over the limit of {bound}", MemoryBytes::new(memory)));
    }
    let accelerators = u64::from(size.accelerators.get()) * tasks;
    let bound = limit.accelerators.filter(|bound| accelerators > u64::from(bound.get()))?;
    Some(format!("{accelerators} accelerators, over the limit of {bound}"))
}

/// The workspaces of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceConfiguration {
    /// The version of the configuration that they belong to.
    pub version: ConfigurationVersion,
    /// The workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// The positions, in the configuration's list of queues, of those that need no key, in ascending order.
    pub public_queues: Vec<u32>,
}

impl WorkspaceConfiguration {
    /// Returns the workspace with a name.
    #[must_use]
    pub fn find(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let index = self.workspaces.binary_search_by(|workspace| workspace.name.cmp(name)).ok()?;
        Some(&self.workspaces[index])
    }

    /// Returns true if the queue at a position of the configuration's list needs no key.
    #[must_use]
    pub fn is_public(&self, queue_position: usize) -> bool {
        self.public_queues.iter().any(|public| *public as usize == queue_position)
    }

    /// Returns the workspace that a key belongs to. Every key is compared, so that the time shows nothing about them.
    #[must_use]
    pub fn owner(&self, key: &ApiKey) -> Option<&Workspace> {
        let has_key =
            |workspace: &Workspace| workspace.keys.iter().fold(false, |found, known| found | known.matches(key));
        self.workspaces.iter().fold(None, |owner, workspace| if has_key(workspace) { Some(workspace) } else { owner })
    }
}
