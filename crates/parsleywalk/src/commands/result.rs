//! `result TEAM/KEY`: shows the state of a job and, once it has ended, its results.

use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use parsleywalk_api::{JobPhase, JobResult, JobStatus};
use parsleywalk_units::{JobKey, TimeSpan};

use super::job_text::{job_report, phase_name, task_phase_name};
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

/// Interval between two status queries; jobs run for seconds to hours.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The arguments of `result`.
#[derive(Debug, Args)]
pub(crate) struct ResultArguments {
    /// The job
    #[arg(value_name = "TEAM/KEY")]
    job: JobKey,
    /// How long to wait for the job to end
    #[arg(long, value_name = "SPAN", default_value = "0s")]
    wait: TimeSpan,
}

/// Exits with 0 if the job is done, 1 if it failed or was cancelled, and 3 if it has not ended.
pub(crate) fn run(arguments: &ResultArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let JobKey { team, key } = &arguments.job;
    let client = DaemonClient::caller(connection)?;
    let end = Instant::now() + arguments.wait.as_duration();
    loop {
        let status: JobStatus = client.query(format!("/v1/jobs/{team}/{key}"))?;
        if status.phase.has_ended() {
            let result: JobResult = client.query(format!("/v1/jobs/{team}/{key}/result"))?;
            return result_report(&result);
        }
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return job_report(&status, ExitStatus::Unknown);
        }
        thread::sleep(remaining.min(POLL_INTERVAL));
    }
}

fn result_report(result: &JobResult) -> Result<CommandReport> {
    let mut table = TextTable::new(&["TASK", "ATTEMPT", "PHASE", "RESULT"]);
    for task in &result.results {
        let phase = task_phase_name(task.phase).to_owned();
        table.add(&[task.task.to_string(), task.attempt.to_string(), phase, task.text.clone()]);
    }
    let text = format!("{}: {}\n\n{}", result.job, phase_name(result.phase), table.render());
    let status = if result.phase == JobPhase::Done { ExitStatus::Success } else { ExitStatus::Refused };
    CommandReport::new(text, result, status)
}
