//! The leader's volatile knowledge of a worker.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{Incarnation, MonotonicTime, ResourceSize, ServiceName, ZoneName};

use crate::health::WorkerHealth;
use crate::interference::{CriticalLoad, ImageIndex};
use crate::pacing::PaceController;
use crate::run_progress::RunProgress;
use crate::worker_speed::WorkerSpeed;
use crate::{BatchState, EndNumber, JobSubmission, RunNumber, RunningTask, SortedMap, StepSpec, TaskKey, WorkerReport};

/// A worker as described by its newest report.
#[derive(Debug, Clone)]
pub(crate) struct WorkerView {
    pub(crate) incarnation: Incarnation,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) labels: Vec<String>,
    pub(crate) rack: Option<String>,
    pub(crate) capacity: ResourceSize,
    pub(crate) draining: bool,
    /// Whether the worker has announced its exit. Reports that arrive later count only for the ends in them; see
    /// `late_report`.
    pub(crate) departed: bool,
    /// The sequence number of the newest report, and the worker's clock in it.
    pub(crate) sequence: u64,
    pub(crate) clock: Duration,
    /// When the newest report arrived.
    pub(crate) reported_at: MonotonicTime,
    /// The worker's lease has certainly expired by this time.
    pub(crate) lease_until: MonotonicTime,
    /// The runs in progress in the newest report.
    pub(crate) running: SortedMap<TaskKey, RunView>,
    /// The run ends in the newest report.
    pub(crate) ended: Vec<(TaskKey, RunNumber)>,
    /// The worker's clock in the report whose response last carried the task's start order.
    pub(crate) ordered_at: SortedMap<TaskKey, Duration>,
    /// Runs to stop although their tasks are unfinished.
    pub(crate) evicting: SortedMap<TaskKey, RunNumber>,
    /// Whether the worker's lease has expired and the loss of its runs is being committed. Until then it gets no
    /// orders, because they would renew the lease.
    pub(crate) loss_pending: bool,
    /// Runs that are to be withdrawn once their start orders have expired, and those whose withdrawal is being committed.
    /// They are not ordered again.
    pub(crate) withdrawing: SortedMap<TaskKey, RunNumber>,
    pub(crate) health: WorkerHealth,
    /// The measured speed of this incarnation.
    pub(crate) speed: WorkerSpeed,
    /// The highest number of an end of which the outcome has been read.
    pub(crate) read_until: EndNumber,
    pub(crate) pacing: PaceController,
    /// The loads of the running latency-critical tasks in the newest report.
    pub(crate) critical_loads: Vec<CriticalLoad>,
    /// The placed long-running tasks, as of a version of the worker's record.
    pub(crate) long_running: LongRunningTasks,
    /// The millicores allocated to long-running tasks in progress, which rarely use all of them.
    pub(crate) long_running_cores: u32,
}

/// The long-running tasks placed on a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct LongRunningTasks {
    /// The version of the worker's record that this was computed from; `None` initially.
    pub(crate) version: Option<u64>,
    /// The version of the compatibility of images that `compatible_images` was computed from; `None` initially.
    pub(crate) compatibility_version: Option<u64>,
    /// The distinct images of the latency-critical tasks.
    pub(crate) images: Vec<ImageIndex>,
    /// The number of best-effort images that are compatible with all of `images`.
    pub(crate) compatible_images: u32,
    /// The resources allocated to the tasks, which are not freed until their jobs are cancelled.
    pub(crate) allocated: ResourceSize,
}

/// A run in progress as described by the newest report.
#[derive(Debug, Clone)]
pub(crate) struct RunView {
    pub(crate) run: RunNumber,
    /// The job of the run, once it has been looked up in the state.
    pub(crate) submission: Option<Arc<JobSubmission>>,
    pub(crate) saved: String,
    pub(crate) percent: u8,
    pub(crate) figure: u32,
    /// The rate last ordered, in percent of full speed.
    pub(crate) rate: u8,
    /// The image of a best-effort run.
    pub(crate) image: Option<ImageIndex>,
    /// The load of a latency-critical run without interference.
    pub(crate) own_load: Option<f32>,
    /// Whether the measurement differs from that in the previous report.
    pub(crate) figure_changed: bool,
    /// Since when the run has been throttled below the useful minimum rate.
    pub(crate) throttled_since: Option<MonotonicTime>,
    /// Whether the run has shown that its worker works, by being at work for long enough.
    pub(crate) proven: bool,
    /// When the percentage last changed.
    pub(crate) progressed_at: MonotonicTime,
    pub(crate) first_seen: MonotonicTime,
    /// The work and progress since then.
    pub(crate) progress: RunProgress,
}

impl RunView {
    /// Looks up the run's job unless that has been done.
    pub(crate) fn resolve(&mut self, task: &TaskKey, state: &BatchState) {
        if self.submission.is_none() {
            self.submission = state.job(task.job).map(|job| Arc::clone(&job.submission));
        }
    }

    /// Returns the specification of the run's step, if its job is known.
    pub(crate) fn step(&self, task: &TaskKey) -> Option<&StepSpec> {
        self.submission.as_ref()?.spec.steps.get(usize::from(task.step))
    }
}

impl WorkerView {
    pub(crate) fn new(report: &WorkerReport, now: MonotonicTime) -> Self {
        Self {
            incarnation: report.incarnation,
            service: report.service.clone(),
            zone: report.zone.clone(),
            labels: Vec::new(),
            rack: None,
            capacity: ResourceSize::default(),
            draining: false,
            departed: false,
            sequence: 0,
            clock: Duration::ZERO,
            reported_at: now,
            lease_until: now,
            running: SortedMap::default(),
            ended: Vec::new(),
            ordered_at: SortedMap::default(),
            evicting: SortedMap::default(),
            loss_pending: false,
            withdrawing: SortedMap::default(),
            health: WorkerHealth::new(now),
            speed: WorkerSpeed::default(),
            read_until: EndNumber::ZERO,
            pacing: PaceController::default(),
            critical_loads: Vec::new(),
            long_running: LongRunningTasks::default(),
            long_running_cores: 0,
        }
    }

    /// Updates the view from a report that is newer than all previous ones.
    pub(crate) fn update(&mut self, report: &WorkerReport, now: MonotonicTime) {
        self.service = report.service.clone();
        self.zone = report.zone.clone();
        self.labels.clone_from(&report.labels);
        self.rack = report.rack().map(str::to_owned);
        self.capacity = report.capacity;
        // A worker that has announced its exit keeps draining until its next incarnation.
        self.draining |= report.draining;
        self.sequence = report.sequence;
        self.clock = report.clock;
        self.reported_at = now;
        let mut running = SortedMap::default();
        for task in &report.running {
            running.insert(task.task, self.run_view(task, now));
        }
        self.running = running;
        self.ended = report.ended.iter().map(|end| (end.task, end.run)).collect();
        let listed = &self.running;
        self.evicting.retain(|task, run| listed.get(task).is_some_and(|view| view.run == *run));
        self.ordered_at.retain(|task, _| !listed.contains(task));
    }

    fn run_view(&self, task: &RunningTask, now: MonotonicTime) -> RunView {
        let known = self.running.get(&task.task).filter(|view| view.run == task.run);
        let progressed_at = known.filter(|view| view.percent == task.percent).map_or(now, |view| view.progressed_at);
        RunView {
            run: task.run,
            submission: known.and_then(|view| view.submission.clone()),
            saved: task.saved.clone(),
            percent: task.percent,
            figure: task.figure,
            rate: known.map_or(100, |view| view.rate),
            image: known.and_then(|view| view.image),
            own_load: known.and_then(|view| view.own_load),
            figure_changed: known.is_none_or(|view| view.figure != task.figure),
            throttled_since: known.and_then(|view| view.throttled_since),
            proven: known.is_some_and(|view| view.proven),
            progressed_at,
            first_seen: known.map_or(now, |view| view.first_seen),
            progress: known.map_or_else(|| RunProgress::new(task.percent), |view| view.progress),
        }
    }

    /// Returns for how long reports have listed the run as being in progress.
    pub(crate) fn life(&self, now: MonotonicTime, task: &TaskKey, run: RunNumber) -> Duration {
        let known = self.running.get(task).filter(|view| view.run == run);
        known.map_or(Duration::ZERO, |view| now.since(view.first_seen))
    }

    /// Returns true if the newest report contains the run, in progress or ended.
    pub(crate) fn lists(&self, task: &TaskKey, run: RunNumber) -> bool {
        self.running.get(task).is_some_and(|view| view.run == run) || self.ended.contains(&(*task, run))
    }
}
