//! `submit TEAM/KEY SERVICE`: submits a job.

use clap::Args;
use parsleywalk_api::{JobStatus, JobSubmission};
use parsleywalk_units::{JobKey, ResourceSize, ServiceName};

use super::job_text::job_report;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};

/// The arguments of `submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitArguments {
    /// The team and a key of your choice; submitting the same key again has no further effect
    #[arg(value_name = "TEAM/KEY")]
    job: JobKey,
    /// The batch service of the tasks
    service: ServiceName,
    /// The number of tasks
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    count: u32,
    /// The size of each task, such as 2.5c/16GB/0a; defaults to the service's size
    #[arg(long)]
    size: Option<ResourceSize>,
    /// Start ahead of other batch work
    #[arg(long)]
    urgent: bool,
    /// A text of at most 4 KiB that is passed to the worker with each start
    #[arg(long, value_name = "TEXT", default_value = "")]
    arguments: String,
}

pub(crate) fn run(arguments: SubmitArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let submission = JobSubmission {
        job: arguments.job,
        service: arguments.service,
        count: arguments.count,
        size: arguments.size,
        urgent: arguments.urgent,
        arguments: arguments.arguments,
    };
    let job: JobStatus = DaemonClient::caller(connection)?.send("/v1/jobs".to_owned(), &submission)?;
    job_report(&job, ExitStatus::Success)
}
