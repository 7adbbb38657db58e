//! `failing`: lists the jobs of which runs have failed.

use parsleywalk_api::FailingJobs;

use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

pub(crate) fn run(connection: &ConnectionArguments) -> Result<CommandReport> {
    let failing: FailingJobs = DaemonClient::metrics(connection)?.query("/failing-jobs".to_owned())?;
    CommandReport::new(failing_text(&failing), &failing, ExitStatus::Success)
}

fn failing_text(failing: &FailingJobs) -> String {
    if failing.jobs.is_empty() {
        return "no job has failed runs\n".to_owned();
    }
    let mut table = TextTable::new(&["JOB", "FAILED RUNS", "LAST", "TASK", "WORKER", "RESTART DELAY"]);
    for job in &failing.jobs {
        table.add(&[
            job.job.clone(),
            job.failed_runs.to_string(),
            format!("{} ago", job.last_failure_age),
            job.last_task.clone(),
            job.last_worker.clone(),
            job.restart_delay.to_string(),
        ]);
    }
    table.render()
}
