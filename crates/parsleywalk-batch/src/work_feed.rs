//! How reports reach the model of the durations of tasks.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::run_progress::{RunProgress, WorkSample};
use crate::work_model::WorkModel;
use crate::worker_speed::MAX_RUN_POINTS;
use crate::worker_view::{RunView, WorkerView};
use crate::{BatchState, JobId, RunEnd, RunOutcome, StepSpec, TaskKey, WorkerReport};

/// The longest time between two reports that is measured. Longer ones are those of a worker that could not be reached.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// How much later or earlier than the worker's clock says a report may arrive, because of queues and links.
const MAX_JITTER: Duration = Duration::from_secs(1);
/// The period that the measured processor time of a run covers. Before it is over, the measurement may cover time before
/// the run started.
const CORES_WINDOW: Duration = Duration::from_millis(600);

/// A worker's speed is compared with the progress of other workers if that is at least this, in percentage points.
const MIN_REFERENCE_POINTS: f64 = 20.0;
/// The progress of a run from which its own pace is known, in percentage points.
const MIN_OWN_POINTS: f64 = 5.0;
/// The lowest speed by which the end of a run is predicted. A throttled run may get faster at any time.
const MIN_RUN_SPEED: f64 = 0.05;

impl WorkerView {
    /// Returns the time between the newest report and the next one, on the worker's clock. It is unknown if the clock does
    /// not advance, or not at the pace of this leader's.
    fn interval_until(&self, report: &WorkerReport, now: MonotonicTime) -> Option<Duration> {
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

    /// Updates the view from a report as [`WorkerView::update`] does, and records what the report tells of runs in progress
    /// and of those that have ended.
    pub(crate) fn update_measured(
        &mut self,
        model: &mut WorkModel,
        now: MonotonicTime,
        state: &BatchState,
        report: &WorkerReport,
        ends: &[RunEnd],
    ) {
        let interval = self.interval_until(report, now);
        if model.is_enabled() {
            self.measure_ends(model, now, state, report, ends, interval);
        }
        self.update(report, now);
        if model.is_enabled() {
            self.measure_runs(model, now, state, interval);
        }
    }

    /// Records the runs that have completed since the previous report.
    fn measure_ends(
        &self,
        model: &mut WorkModel,
        now: MonotonicTime,
        state: &BatchState,
        report: &WorkerReport,
        ends: &[RunEnd],
        interval: Option<Duration>,
    ) {
        let is_new = |end: &&RunEnd| end.number > self.read_until && end.outcome == RunOutcome::Done;
        for end in ends.iter().filter(is_new) {
            let Some((job, step)) = state.step_of(&end.task) else { continue };
            if !self.is_comparable(step) {
                continue;
            }
            let rest = match self.running.get(&end.task).filter(|known| known.run == end.run) {
                Some(known) => interval.and_then(|interval| known.progress.finish(interval)),
                None if job.task(&end.task).is_some_and(|task| task.saved.is_empty()) => self.unlisted(end, report),
                None => None,
            };
            if let Some(rest) = rest.filter(|_| !self.speed.is_slow(now)) {
                model.record_progress(&end.task, &rest);
            }
            model.record_end(&job.submission, &end.task);
        }
    }

    /// Records what the newest report tells of the runs in progress.
    fn measure_runs(
        &mut self,
        model: &mut WorkModel,
        now: MonotonicTime,
        state: &BatchState,
        interval: Option<Duration>,
    ) {
        let is_slow = self.speed.is_slow(now);
        let mut running = std::mem::take(&mut self.running);
        let mut own_samples = Vec::new();
        for (task, run) in running.iter_mut() {
            run.resolve(task, state);
            let Some(step) = run.step(task).filter(|step| self.is_comparable(step)) else { continue };
            let (gang, best_effort_cores) = (step.gang, step.best_effort.then_some(step.size.cores.get()));
            // The time before the first report that lists a run is not known.
            let interval = interval.filter(|_| run.first_seen < now);
            run.measure(now, gang, best_effort_cores, interval);
            if let Some(sample) = run.progress.newest.filter(|_| !is_slow) {
                model.record_progress(task, &sample);
                run.progress.shared.add(&sample);
            }
            add_own_sample(&mut own_samples, task, &run.progress.shared);
        }
        self.running = running;
        self.compare_speed(now, model, &own_samples);
    }

    /// Compares the newest progress of the runs with that of the same steps elsewhere. `own_samples` are the parts of the
    /// steps' measurements that come from the runs listed here.
    fn compare_speed(&mut self, now: MonotonicTime, model: &WorkModel, own_samples: &[((JobId, u16), WorkSample)]) {
        let mut own_samples = own_samples.iter().peekable();
        for (task, run) in self.running.iter_mut() {
            let key = (task.job, task.step);
            let Some(newest) = run.progress.newest.take().filter(|_| run.progress.compared < MAX_RUN_POINTS) else {
                continue;
            };
            while own_samples.next_if(|(known, _)| *known < key).is_some() {}
            let Some((_, own)) = own_samples.peek().filter(|(known, _)| *known == key) else { continue };
            let elsewhere = model.measured(task.job, task.step).map(|measured| measured.without(own));
            let elsewhere = elsewhere.filter(|elsewhere| elsewhere.points >= MIN_REFERENCE_POINTS);
            let Some(seconds) = elsewhere.and_then(|elsewhere| elsewhere.task_seconds()) else { continue };
            let expected = newest.seconds / seconds * 100.0;
            self.speed.add(now, newest.points, expected, &mut run.progress.compared);
        }
    }

    /// Returns true if the duration of the step's tasks here tells that elsewhere. Away from their data, and on several
    /// racks, tasks take longer by a factor that is not known here.
    fn is_comparable(&self, step: &StepSpec) -> bool {
        let on_rack = step.preferred_rack.is_none() || step.preferred_rack == self.rack;
        on_rack && !step.rack_local && !step.long_running
    }
}

impl RunView {
    /// Updates the progress from the newest row of a run, given the cores that it asks for if it is best-effort.
    fn measure(&mut self, now: MonotonicTime, gang: bool, best_effort_cores: Option<u32>, interval: Option<Duration>) {
        // A gang waits for its members before it makes progress.
        if gang && self.percent == 0 {
            self.progress = RunProgress::new(0);
            return;
        }
        if let Some(cores) = best_effort_cores {
            if self.figure < cores && now.since(self.first_seen) < CORES_WINDOW {
                self.progress = RunProgress::new(self.percent);
                return;
            }
            self.progress.set_speed(self.figure, cores, self.rate);
        }
        self.progress.advance(interval, self.percent);
    }

    /// Returns how long the rest of the task takes on its worker, given the prediction of the whole for sound workers.
    pub(crate) fn remaining_duration(&self, predicted: Duration) -> Duration {
        self.task_duration(predicted) * u32::from(100 - self.percent.min(100)) / 100
    }

    /// Returns the time until the run ends as of the newest report, which arrived at `reported_at`. Runs whose work is not
    /// measured go by the time that their progress has taken.
    pub(crate) fn remaining_time(&self, predicted: Duration, reported_at: MonotonicTime) -> Duration {
        let gained = self.percent.saturating_sub(self.progress.first_percent());
        if self.progress.total.points < MIN_OWN_POINTS && f64::from(gained) >= MIN_OWN_POINTS {
            let listed = reported_at.since(self.first_seen);
            return listed * u32::from(100 - self.percent.min(100)) / u32::from(gained);
        }
        self.remaining_duration(predicted).div_f64(self.progress.speed().max(MIN_RUN_SPEED))
    }

    /// Returns how long the task takes on its worker, given the prediction for sound workers.
    pub(crate) fn task_duration(&self, predicted: Duration) -> Duration {
        let known = Some(&self.progress.total).filter(|total| total.points >= MIN_OWN_POINTS);
        known.and_then(WorkSample::duration).map_or(predicted, |own| own.max(predicted))
    }
}

/// Adds a run's part of the measurement of its step to the sums by step. Tasks are added in the order of their keys.
fn add_own_sample(own_samples: &mut Vec<((JobId, u16), WorkSample)>, task: &TaskKey, sample: &WorkSample) {
    let key = (task.job, task.step);
    match own_samples.last_mut().filter(|(known, _)| *known == key) {
        Some((_, sum)) => sum.add(sample),
        None => own_samples.push((key, *sample)),
    }
}
