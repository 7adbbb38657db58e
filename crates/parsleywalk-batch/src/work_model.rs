//! Predictions of how long tasks take.
//!
//! Three sources are combined in logarithms, each weighted by its precision: the caller's estimate, whose error is learned
//! by queue and step position; the durations of the same step position of the queue's earlier jobs; and the runs of the
//! same step of the same job, ended or in progress. See `docs/design/measured-work.md`.

use std::time::Duration;

use crate::run_progress::{DURATION_RANGE, WorkSample};
use crate::step_history::{LogPrediction, StepHistory};
use crate::{BatchState, JobId, JobSubmission, SortedMap, StepSpec, TaskKey};

/// The number of step positions, over all queues, with a history. The one that was not added to for longest is forgotten.
pub(crate) const MAX_HISTORIES: usize = 256;
/// The number of steps of active jobs that are measured. Further ones go by estimate and history.
const MAX_MEASURED_STEPS: usize = 4096;
/// The variance of the logarithm of a task's duration given those of the same step, which are equal up to the worker's
/// speed and what runs beside them.
const SAME_STEP_VARIANCE: f64 = 0.1 * 0.1;
/// A step whose measurement is worse than this tells the history nothing.
const MAX_MEASUREMENT_VARIANCE: f64 = 1.0;

/// What the runs of a step of an active job have told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct MeasuredStep {
    total: WorkSample,
    /// Whether the step has been added to the history of its queue.
    is_recorded: bool,
}

/// Predicts how long tasks take at full speed on a sound worker.
#[derive(Debug, Default)]
pub(crate) struct WorkModel {
    is_enabled: bool,
    histories: SortedMap<(String, u16), StepHistory>,
    steps: SortedMap<(JobId, u16), MeasuredStep>,
    /// The number of additions to all histories.
    additions: u64,
}

/// Methods that change the state.
impl WorkModel {
    /// Creates a model without measurements. If it is not enabled, predictions are the estimates.
    pub(crate) fn new(is_enabled: bool) -> Self {
        Self { is_enabled, ..Self::default() }
    }

    /// Adds what a report tells of a run of the task.
    pub(crate) fn record_progress(&mut self, task: &TaskKey, sample: &WorkSample) {
        if let Some(step) = self.measured_step(task) {
            step.total.add(sample);
        }
    }

    /// Records that a run of the task has completed. The first one adds its step to the history of the queue.
    pub(crate) fn record_end(&mut self, submission: &JobSubmission, task: &TaskKey) {
        let Some(step) = self.measured_step(task).filter(|step| !step.is_recorded) else { return };
        let Some(measured) = step.total.prediction().filter(|known| known.variance <= MAX_MEASUREMENT_VARIANCE) else {
            return;
        };
        step.is_recorded = true;
        let estimate = submission.spec.steps.get(usize::from(task.step)).and_then(log_estimate);
        self.additions += 1;
        let history = self.history_mut(&submission.queue, task.step);
        history.add(estimate, measured);
    }

    /// Forgets the measurements of jobs that are final.
    pub(crate) fn prune(&mut self, state: &BatchState) {
        self.steps.retain(|(job, _), _| state.is_active(*job));
    }

    fn measured_step(&mut self, task: &TaskKey) -> Option<&mut MeasuredStep> {
        let key = (task.job, task.step);
        let has_room = self.steps.len() < MAX_MEASURED_STEPS || self.steps.contains(&key);
        (self.is_enabled && has_room).then(|| self.steps.entry(key, MeasuredStep::default))
    }

    fn history_mut(&mut self, queue: &str, step: u16) -> &mut StepHistory {
        let key = (queue.to_owned(), step);
        if self.histories.len() >= MAX_HISTORIES && !self.histories.contains(&key) {
            let oldest = self.histories.iter().min_by_key(|(_, history)| history.updated);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.histories.remove(&oldest);
            }
        }
        let history = self.histories.entry(key, StepHistory::default);
        history.updated = self.additions;
        history
    }
}

/// Read-only methods.
impl WorkModel {
    /// Returns true if predictions go by measurements.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the predicted duration of a task of a step.
    pub(crate) fn predict(&self, submission: &JobSubmission, step: u16) -> Duration {
        let Some(spec) = submission.spec.steps.get(usize::from(step)) else { return Duration::ZERO };
        let history = self.history(&submission.queue, step);
        let measured = self.measured(submission.job, step).and_then(WorkSample::prediction);
        if history.is_none() && measured.is_none() || spec.long_running {
            return spec.bounded_estimate();
        }
        let unknown = StepHistory::default();
        let known = history.unwrap_or(&unknown);
        let estimate = log_estimate(spec).map(|estimate| known.corrected(estimate));
        let typical = history.map(StepHistory::typical);
        let expected = [estimate, typical].into_iter().flatten().reduce(LogPrediction::combine);
        let expected = expected.map(|expected| measured.map_or(expected, |measured| expected.widened(measured)));
        let combined = [expected, measured].into_iter().flatten().reduce(LogPrediction::combine);
        let combined = combined.filter(|combined| combined.mean.is_finite());
        combined.map_or_else(
            || spec.bounded_estimate(),
            |combined| Duration::from_secs_f64(combined.mean.exp().clamp(DURATION_RANGE.0, DURATION_RANGE.1)),
        )
    }

    /// Returns what the runs of a step have told.
    pub(crate) fn measured(&self, job: JobId, step: u16) -> Option<&WorkSample> {
        self.steps.get(&(job, step)).map(|step| &step.total)
    }

    /// Returns the number of step positions with a history.
    #[cfg(test)]
    pub(crate) fn history_count(&self) -> usize {
        self.histories.len()
    }

    fn history(&self, queue: &str, step: u16) -> Option<&StepHistory> {
        self.histories.find(|(name, position)| name.as_str().cmp(queue).then(position.cmp(&step)))
    }
}

impl WorkSample {
    /// Returns what the runs of a step predict for its other tasks.
    fn prediction(&self) -> Option<LogPrediction> {
        let seconds = self.task_seconds()?.clamp(DURATION_RANGE.0, DURATION_RANGE.1);
        let variance = SAME_STEP_VARIANCE + self.log_variance();
        variance.is_finite().then_some(LogPrediction { mean: seconds.ln(), variance })
    }
}

/// Returns the logarithm of the caller's estimate in seconds; zero is no estimate.
fn log_estimate(spec: &StepSpec) -> Option<f64> {
    let seconds = spec.bounded_estimate().as_secs_f64();
    (seconds > 0.0).then(|| seconds.clamp(DURATION_RANGE.0, DURATION_RANGE.1).ln())
}
