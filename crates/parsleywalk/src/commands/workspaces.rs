//! `workspaces`: lists what the workspaces use and wait for.

use parsleywalk_api::{WorkspaceList, WorkspaceView};

use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

pub(crate) fn run(connection: &ConnectionArguments) -> Result<CommandReport> {
    let list: WorkspaceList = DaemonClient::metrics(connection)?.query("/workspaces".to_owned())?;
    CommandReport::new(list_text(&list), &list, ExitStatus::Success)
}

fn list_text(list: &WorkspaceList) -> String {
    if list.workspaces.is_empty() {
        return "no workspaces are configured\n".to_owned();
    }
    let mut table = TextTable::new(&["WORKSPACE", "ALLOCATED", "LIMIT", "SHARE", "WAITING JOBS", "WAITING FOR"]);
    for workspace in &list.workspaces {
        table.add(&[
            workspace.workspace.to_string(),
            workspace.allocated.to_string(),
            workspace.limit.to_string(),
            format!("{:.1}%", workspace.share * 100.0),
            workspace.waiting_jobs.to_string(),
            waiting_text(workspace),
        ]);
    }
    let text = table.render();
    if list.omitted == 0 {
        text
    } else {
        format!("{text}{} more workspaces are not listed: those with the fewest waiting jobs\n", list.omitted)
    }
}

/// Returns what the waiting jobs of a workspace wait for, with their numbers.
fn waiting_text(workspace: &WorkspaceView) -> String {
    let others = workspace.waiting_jobs.saturating_sub(workspace.limited_jobs);
    let causes = [("limit", workspace.limited_jobs), ("capacity", others)];
    let causes = causes.iter().filter(|(_, jobs)| *jobs > 0).map(|(cause, jobs)| format!("{cause} {jobs}"));
    let text = causes.collect::<Vec<_>>().join(", ");
    if text.is_empty() { "-".to_owned() } else { text }
}
