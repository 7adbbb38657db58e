//! Fake workers, which carry out the leader's orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_batch::{EndNumber, FencingToken, RunEnd, RunNumber, RunOutcome, RunningTask, TaskKey, WorkerReport};
use parsleywalk_units::{Incarnation, MonotonicTime, ResourceSize, WorkerId, ZoneName};

use super::size;

/// What the tasks of a job do wherever they run, by the payload of the job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behavior {
    /// The tasks do their work.
    Works,
    /// Each run ends with an outcome after so many milliseconds.
    Ends(RunOutcome, f64),
    /// The runs make no progress, and long-running ones are never at work.
    Hangs,
}

impl Behavior {
    /// Parses a payload such as `fails 200`; any other than these stands for a job that works.
    pub(super) fn of(payload: &str, index: u32) -> Self {
        let mut words = payload.split(' ');
        let (kind, time) = (words.next(), words.next().and_then(|word| word.parse().ok()).unwrap_or(0.0));
        match kind {
            Some("one-fails") if index > 0 => Self::Works,
            Some("fails" | "all-fail" | "one-fails") => Self::Ends(RunOutcome::Failed, time),
            Some("completes") => Self::Ends(RunOutcome::Done, time),
            Some("alone") => Self::Ends(RunOutcome::GangIncomplete, time),
            Some("hangs") => Self::Hangs,
            _ => Self::Works,
        }
    }
}

/// A run on a fake worker.
#[derive(Debug, Clone)]
pub(crate) struct FakeRun {
    pub(crate) run: RunNumber,
    pub(super) behavior: Behavior,
    /// How long the run has been in progress, in milliseconds.
    pub(super) age_ms: f64,
    /// Whether its end breaks the run of its gang.
    pub(super) breaks_gang: bool,
    pub(crate) size: ResourceSize,
    /// Whether it is away from its rack.
    pub(super) is_far: bool,
    pub(super) done_ms: f64,
    pub(super) total_ms: f64,
    pub(crate) rate: u8,
    pub(super) long_running: bool,
    pub(crate) best_effort: bool,
    pub(super) latency_critical: bool,
    pub(super) hung: bool,
    pub(super) resumable: bool,
}

/// A worker that carries out the leader's orders.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneName,
    pub(crate) rack: String,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) partitioned: bool,
    /// Whether a fault has kept the worker from reporting.
    pub(crate) was_cut: bool,
    pub(crate) draining: bool,
    /// Whether every run fails when its work is done.
    pub(crate) fails_runs: bool,
    /// Whether every run fails as soon as it has started.
    pub(crate) fails_starts: bool,
    /// Whether every start order is refused.
    pub(crate) refuses_starts: bool,
    /// Every end so far, with its incarnation.
    pub(crate) history: Vec<(u64, RunEnd)>,
    /// The ends that the leader has acknowledged, by incarnation and number.
    pub(crate) acknowledged: BTreeSet<(u64, EndNumber)>,
    /// The tasks of the runs that have failed here.
    pub(crate) failed_tasks: Vec<TaskKey>,
    /// Whether new runs make no progress.
    pub(crate) hung: bool,
    pub(crate) capacity: ResourceSize,
    /// The work done per second by a run at full speed, in seconds of a sound worker.
    pub(crate) speed: f64,
    pub(crate) runs: BTreeMap<TaskKey, FakeRun>,
    pub(crate) ended: Vec<RunEnd>,
    pub(super) last_end_number: u64,
    pub(super) lease_until: MonotonicTime,
    pub(super) fence: FencingToken,
    pub(super) sequence: u64,
    pub(super) next_report: MonotonicTime,
    /// The highest run number of each task that was stopped or has ended on this worker.
    pub(super) last_runs: BTreeMap<TaskKey, RunNumber>,
}

impl FakeWorker {
    pub(super) fn new(index: usize) -> Self {
        Self {
            id: format!("worker-{index}").parse().expect("a name"),
            zone: ["zone-a", "zone-b", "zone-c"][index % 3].parse().expect("a name"),
            rack: format!("rack-{}", index / 4),
            incarnation: 1,
            up: true,
            partitioned: false,
            was_cut: false,
            draining: false,
            fails_runs: false,
            fails_starts: false,
            refuses_starts: false,
            history: Vec::new(),
            acknowledged: BTreeSet::new(),
            failed_tasks: Vec::new(),
            hung: false,
            capacity: size(32, 125),
            speed: 1.0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            lease_until: MonotonicTime::ZERO,
            fence: FencingToken::ZERO,
            sequence: 0,
            next_report: MonotonicTime::ZERO,
            last_runs: BTreeMap::new(),
        }
    }

    /// Restarts the worker as a new incarnation, as after a crash.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.runs.clear();
        self.ended.clear();
        self.last_runs.clear();
        self.last_end_number = 0;
        self.sequence = 0;
        self.fence = FencingToken::ZERO;
        self.draining = false;
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, task: TaskKey, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.list_end(task, run.run, outcome, run.checkpoint());
    }

    /// Refuses to start a run.
    pub(super) fn refuse(&mut self, task: TaskKey, run: RunNumber) {
        self.list_end(task, run, RunOutcome::Refused, String::new());
    }

    fn list_end(&mut self, task: TaskKey, run: RunNumber, outcome: RunOutcome, saved: String) {
        self.last_end_number += 1;
        self.last_runs.insert(task, run);
        let number = EndNumber::new(self.last_end_number);
        let end = RunEnd { number, task, run, outcome, saved };
        self.history.push((self.incarnation, end.clone()));
        self.ended.push(end);
    }

    /// Returns the runs that belong to gangs, as ended with an outcome.
    pub(super) fn gang_runs(&self, outcome: RunOutcome) -> Vec<(TaskKey, RunNumber, RunOutcome)> {
        let runs = self.runs.iter().filter(|(_, run)| run.breaks_gang);
        runs.map(|(task, run)| (*task, run.run, outcome)).collect()
    }

    pub(super) fn end_all(&mut self, outcome: RunOutcome) {
        let tasks: Vec<TaskKey> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end(task, outcome);
        }
    }

    /// Returns the share of cores that best-effort tasks use.
    pub(super) fn best_effort_share(&self) -> f64 {
        let used: f64 = self
            .runs
            .values()
            .filter(|run| run.best_effort)
            .map(|run| f64::from(run.size.cores.get()) * f64::from(run.rate) / 100.0)
            .sum();
        used / f64::from(self.capacity.cores.get())
    }

    pub(super) fn build_report(&mut self, now: MonotonicTime, tail_latency_ms: fn(f64) -> u32) -> WorkerReport {
        self.sequence += 1;
        let share = self.best_effort_share();
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.run,
            saved: run.checkpoint(),
            percent: percent(run),
            figure: if run.latency_critical {
                tail_latency_ms(share)
            } else {
                run.size.cores.get() / 100 * u32::from(run.rate)
            },
        });
        WorkerReport {
            worker: self.id.clone(),
            incarnation: Incarnation::new(self.incarnation),
            service: "service".parse().expect("a name"),
            zone: self.zone.clone(),
            labels: vec!["kind".to_owned(), self.rack.clone()],
            capacity: self.capacity,
            draining: self.draining,
            sequence: self.sequence,
            clock: Duration::from_micros(now.as_micros()),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

impl FakeRun {
    /// Returns the progress to resume from; empty if the run writes no checkpoints.
    pub(super) fn checkpoint(&self) -> String {
        if self.resumable { format!("{}", self.done_ms) } else { String::new() }
    }
}

fn percent(run: &FakeRun) -> u8 {
    if run.long_running {
        return if run.behavior == Behavior::Hangs { 0 } else { 100 };
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to a percentage")]
    let percent = (run.done_ms / run.total_ms * 100.0).clamp(0.0, 99.0) as u8;
    percent
}

impl FakeWorker {
    /// Returns the report that the worker would send now, with a tail latency of 40 ms.
    pub(crate) fn current_report(&mut self, now: MonotonicTime) -> WorkerReport {
        self.build_report(now, |_| 40)
    }
}
