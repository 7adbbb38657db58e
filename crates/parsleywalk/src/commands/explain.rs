//! `explain TEAM/KEY`: explains why a job is in its current state.

use clap::Args;
use parsleywalk_api::JobExplanation;
use parsleywalk_units::JobKey;

use super::job_text::phase_name;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

/// The arguments of `explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainArguments {
    /// The job
    #[arg(value_name = "TEAM/KEY")]
    job: JobKey,
}

pub(crate) fn run(arguments: &ExplainArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let JobKey { team, key } = &arguments.job;
    let client = DaemonClient::operator(connection)?;
    let explanation: JobExplanation = client.query(format!("/v1/jobs/{team}/{key}/explain"))?;
    let mut parts = vec![format!("{}: {}\n", explanation.job, phase_name(explanation.phase))];
    if !explanation.tasks.is_empty() {
        let mut table = TextTable::new(&["TASK", "REASON"]);
        for task in &explanation.tasks {
            table.add(&[task.task.to_string(), task.reason.clone()]);
        }
        parts.push(table.render());
    }
    CommandReport::new(parts.join("\n"), &explanation, ExitStatus::Success)
}
