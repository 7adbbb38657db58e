//! Commands of deployments with workspaces.

use parsleywalk_batch::{ApiKey, BatchCommand, QueueConfiguration, StepSpec, Workspace, WorkspaceConfiguration};
use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ConfigurationVersion, WorkspaceName};

use super::{FakeFleet, step, submission};

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

/// Activates workspaces with their weights and limits.
pub(crate) fn share(fleet: &mut FakeFleet, rows: &[(&str, u32, &str)]) {
    let version = fleet.state.configuration().map_or(1, |known| known.version.get() + 1);
    let row = |&(name, weight, limit): &(&str, u32, &str)| Workspace {
        name: workspace(name),
        keys: Vec::new(),
        weight,
        limit: limit.parse().expect("a limit"),
    };
    let mut workspaces: Vec<Workspace> = rows.iter().map(row).collect();
    workspaces.sort_by(|left, right| left.name.cmp(&right.name));
    let version_number = ConfigurationVersion::new(version);
    let workspaces = WorkspaceConfiguration { version: version_number, workspaces, public_queues: Vec::new() };
    fleet.state.apply(&configure(version));
    fleet.state.apply(&BatchCommand::ConfigureWorkspaces(Box::new(workspaces)));
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
