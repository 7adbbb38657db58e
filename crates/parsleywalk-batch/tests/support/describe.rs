//! Descriptions of a fleet for failed assertions.

use super::FakeFleet;

impl FakeFleet {
    /// Describes the unfinished jobs and the workers for a failed assertion.
    pub(crate) fn describe_unfinished(&self) -> String {
        let mut text = String::new();
        for (id, job) in self.state.active_jobs().take(3) {
            text.extend([format!("\n{id} {:?} sequence {}", job.status, job.sequence)]);
            for (number, step) in job.occurrences[0].steps.iter().enumerate() {
                let spec = &job.submission.spec.steps[number];
                text.extend([format!(
                    "\n  step {number}: waiting {} done {} gang {} best-effort {} after {:?} limit {:?} size {} tasks {:?}",
                    step.waiting,
                    step.done,
                    spec.gang,
                    spec.best_effort,
                    spec.depends_on,
                    spec.per_worker_limit,
                    spec.size,
                    step.tasks.iter().map(|task| (task.live, task.last_run.get(), task.done)).collect::<Vec<_>>()
                )]);
            }
        }
        for worker in &self.workers {
            let record = self.state.worker(&worker.id);
            text.extend([format!(
                "\n{} incarnation {} runs {:?} unacknowledged {} record {:?}",
                worker.id,
                worker.incarnation,
                worker.runs.keys().map(ToString::to_string).collect::<Vec<_>>(),
                worker.ended.len(),
                record.map(|record| (
                    record.incarnation,
                    record.settled,
                    record.allocated,
                    record.runs.iter().map(|(task, entry)| format!("{task}/{}", entry.run)).collect::<Vec<_>>()
                ))
            )]);
        }
        text
    }
}
