//! How reports reach the model of the durations of tasks.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::run_progress::{RunProgress, WorkSample};
use crate::worker_view::{RunView, WorkerView};
use crate::{BatchState, Dispatcher, RunEnd, RunOutcome, StepSpec, WorkerReport};

/// The longest time between two reports that is measured. Longer ones are those of a worker that could not be reached.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// How much later or earlier than the worker's clock says a report may arrive, because of queues and links.
const MAX_JITTER: Duration = Duration::from_secs(1);
/// The period that the measured processor time of a run covers. Before it is over, the measurement may cover time before
/// the run started.
const CORES_WINDOW: Duration = Duration::from_millis(600);

impl WorkerView {
    /// Returns the time between the newest report and the next one, on the worker's clock. It is unknown if the clock does
    /// not advance, or not at the pace of this leader's.
    pub(crate) fn interval_until(&self, report: &WorkerReport, now: MonotonicTime) -> Option<Duration> {
        let interval = report.clock.checked_sub(self.clock).filter(|interval| !interval.is_zero())?;
        let arrival = now.since(self.reported_at);
        let is_plausible = interval <= arrival * 2 + MAX_JITTER && arrival <= interval * 2 + MAX_JITTER;
        (is_plausible && self.sequence > 0 && interval <= MAX_INTERVAL).then_some(interval)
    }

    /// Returns what is known of a whole run that started and completed between two reports.
    fn unlisted(&self, end: &RunEnd, report: &WorkerReport) -> Option<WorkSample> {
        let longest = report.clock.checked_sub(*self.ordered_at.get(&end.task)?)?;
        (!longest.is_zero() && longest <= MAX_INTERVAL).then(|| WorkSample::within(longest))
    }

    /// Returns true if the duration of the step's tasks here tells that elsewhere. Away from their data, and on several
    /// racks, tasks take longer by a factor that is not known here.
    fn is_comparable(&self, step: &StepSpec) -> bool {
        let on_rack = step.preferred_rack.is_none() || step.preferred_rack == self.rack;
        on_rack && !step.rack_local && !step.long_running
    }
}

impl RunView {
    /// Updates the progress from the newest row and returns what was added.
    fn measure(&mut self, now: MonotonicTime, step: &StepSpec, interval: Option<Duration>) -> Option<WorkSample> {
        // A gang waits for its members before it makes progress.
        if step.gang && self.percent == 0 {
            self.progress = RunProgress::new(0);
            return None;
        }
        if step.best_effort {
            let cores = step.size.cores.get();
            if self.figure < cores && now.since(self.first_seen) < CORES_WINDOW {
                self.progress = RunProgress::new(self.percent);
                return None;
            }
            self.progress.set_speed(self.figure, cores, self.rate);
        }
        self.progress.advance(interval, self.percent)
    }
}

impl Dispatcher {
    /// Records what a report tells of the runs in progress, given the time since the worker's previous report.
    pub(crate) fn measure_runs(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        worker: &WorkerId,
        interval: Option<Duration>,
    ) {
        let Some(view) = self.workers.get_mut(worker) else { return };
        let mut running = std::mem::take(&mut view.running);
        for (task, run) in running.iter_mut() {
            run.resolve(task, state);
            let Some(submission) = run.submission.clone() else { continue };
            let Some(step) = submission.spec.steps.get(usize::from(task.step)) else { continue };
            if !view.is_comparable(step) {
                continue;
            }
            if let Some(sample) = run.measure(now, step, interval) {
                self.work_model.record_progress(task, &sample);
            }
        }
        view.running = running;
    }

    /// Records the runs in a report that have completed since the previous one, which is still that of the worker's view.
    pub(crate) fn measure_ends(&mut self, state: &BatchState, report: &WorkerReport, interval: Option<Duration>) {
        let Some(view) = self.workers.get(&report.worker) else { return };
        let completed =
            report.ended.iter().filter(|end| end.number > view.read_until && end.outcome == RunOutcome::Done);
        for end in completed {
            let Some((job, _)) = state.step_of(&end.task).filter(|(_, step)| view.is_comparable(step)) else {
                continue;
            };
            let rest = match view.running.get(&end.task).filter(|known| known.run == end.run) {
                Some(known) => interval.and_then(|interval| known.progress.finish(interval)),
                None if job.task(&end.task).is_some_and(|task| task.saved.is_empty()) => view.unlisted(end, report),
                None => None,
            };
            if let Some(rest) = rest {
                self.work_model.record_progress(&end.task, &rest);
            }
            self.work_model.record_end(&job.submission, &end.task);
        }
    }
}
