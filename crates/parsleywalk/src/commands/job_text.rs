//! Text output for jobs.

use parsleywalk_api::{JobPhase, JobStatus, TaskPhase};

use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

pub(crate) const fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Cancelling => "cancelling",
        JobPhase::Done => "done",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    }
}

pub(crate) const fn task_phase_name(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Queued => "queued",
        TaskPhase::Starting => "starting",
        TaskPhase::Running => "running",
        TaskPhase::Stopping => "stopping",
        TaskPhase::Done => "done",
        TaskPhase::Failed => "failed",
        TaskPhase::Cancelled => "cancelled",
    }
}

/// Renders the status of a job and its tasks.
pub(crate) fn job_report(job: &JobStatus, status: ExitStatus) -> Result<CommandReport> {
    let tasks = if job.count == 1 { "task" } else { "tasks" };
    let mut parts = vec![format!("{}: {}, {} {tasks}\n", job.job, phase_name(job.phase), job.count)];
    if !job.tasks.is_empty() {
        let mut table = TextTable::new(&["TASK", "ATTEMPT", "PHASE", "WORKER"]);
        for task in &job.tasks {
            let worker = task.worker.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string);
            let phase = task_phase_name(task.phase).to_owned();
            table.add(&[task.task.to_string(), task.attempt.to_string(), phase, worker]);
        }
        parts.push(table.render());
        let listed = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        if job.count > listed {
            parts.push(format!("and {} more tasks\n", job.count - listed));
        }
    }
    CommandReport::new(parts.join("\n"), job, status)
}
