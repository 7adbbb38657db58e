//! Commands of deployments with workspaces.

use parsleywalk_batch::{ApiKey, BatchCommand, QueueConfiguration, StepSpec, Workspace, WorkspaceConfiguration};
use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ConfigurationVersion, WorkspaceName};

use super::{step, submission};

/// The number of tasks of each step.
pub(crate) const TASKS_OF_A_STEP: u32 = 4;

pub(crate) fn workspace(name: &str) -> WorkspaceName {
    name.parse().expect("a name")
}

pub(crate) fn configure(version: u64) -> BatchCommand {
    BatchCommand::Configure(Box::new(QueueConfiguration {
        version: ConfigurationVersion::new(version),
        text: String::new(),
        queues: Vec::new(),
        pools: Vec::new(),
        body_limit: 0,
    }))
}

pub(crate) fn configure_workspaces(version: u64, names: &[&str]) -> BatchCommand {
    let row = |name: &&str| Workspace {
        name: workspace(name),
        keys: vec![ApiKey::new(format!("key-{name}"))],
        weight: 1,
        limit: ResourceLimit::default(),
    };
    BatchCommand::ConfigureWorkspaces(Box::new(WorkspaceConfiguration {
        version: ConfigurationVersion::new(version),
        workspaces: names.iter().map(row).collect(),
        public_queues: vec![1],
    }))
}

/// Returns a submission with a step of plain tasks and one of best-effort tasks.
pub(crate) fn submit(job: u64, owner: Option<WorkspaceName>) -> BatchCommand {
    let best_effort = StepSpec { best_effort: true, ..step(TASKS_OF_A_STEP, 1, 500) };
    let submission = Box::new(submission(job, 0, vec![step(TASKS_OF_A_STEP, 2, 500), best_effort]));
    match owner {
        Some(workspace) => BatchCommand::SubmitOwned { submission, workspace },
        None => BatchCommand::Submit(submission),
    }
}
