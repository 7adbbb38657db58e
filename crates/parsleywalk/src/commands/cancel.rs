//! `cancel TEAM/KEY`: cancels all tasks of a job.

use clap::Args;
use parsleywalk_api::JobStatus;
use parsleywalk_units::JobKey;

use super::job_text::job_report;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};

/// The arguments of `cancel`.
#[derive(Debug, Args)]
pub(crate) struct CancelArguments {
    /// The job
    #[arg(value_name = "TEAM/KEY")]
    job: JobKey,
}

pub(crate) fn run(arguments: &CancelArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let JobKey { team, key } = &arguments.job;
    let job: JobStatus = DaemonClient::caller(connection)?.delete(format!("/v1/jobs/{team}/{key}"))?;
    job_report(&job, ExitStatus::Success)
}
