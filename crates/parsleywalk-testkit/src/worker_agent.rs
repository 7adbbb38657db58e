//! The state of a fake worker: its tasks, their leases and the handling of orders.

use std::time::{Duration, Instant};

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{AttemptNumber, Incarnation, ResourceSize, TaskId, ThrottleLevel};

use crate::tracked_task::{TrackedTask, checkpoint_work, run_time_argument};
use crate::{RunLog, RunRecord, WorkerSettings};

/// The state of one incarnation of a worker. It reads no clock; every method gets the time as an argument.
#[derive(Debug)]
pub(crate) struct WorkerAgent {
    settings: WorkerSettings,
    incarnation: Incarnation,
    log: RunLog,
    tasks: Vec<TrackedTask>,
    sequence: u64,
    echo: u64,
    /// The attempts that the newest report listed as running. Its response renews the leases of exactly these.
    reported: Vec<(TaskId, AttemptNumber)>,
    last_tick: Instant,
    pub(crate) latency_us: Option<u64>,
    pub(crate) fails: bool,
    pub(crate) rejected_starts: usize,
    /// Set when a start order was handled or an attempt has ended, so that it is reported before the next regular
    /// report.
    pub(crate) has_unreported_change: bool,
}

impl WorkerAgent {
    pub(crate) fn new(settings: WorkerSettings, incarnation: Incarnation, log: RunLog, now: Instant) -> Self {
        Self {
            fails: settings.fails,
            settings,
            incarnation,
            log,
            tasks: Vec::new(),
            sequence: 0,
            echo: 0,
            reported: Vec::new(),
            last_tick: now,
            latency_us: None,
            rejected_starts: 0,
            has_unreported_change: false,
        }
    }

    /// Advances the tasks to `now` and ends those that are complete, must fail or have an expired lease.
    pub(crate) fn tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        let every = self.settings.checkpoint_interval;
        for index in 0..self.tasks.len() {
            let task = &mut self.tasks[index];
            if !task.is_running() {
                continue;
            }
            if now >= task.lease_end {
                let end = task.lease_end;
                self.finish(index, end, ReportedPhase::Stopped, "lease expired");
                continue;
            }
            task.advance(elapsed, every);
            if self.fails {
                self.finish(index, now, ReportedPhase::Failed, "the fake worker is set to fail every task");
            } else if self.tasks[index].is_complete() {
                let text = format!("done in attempt {}", self.tasks[index].attempt);
                self.finish(index, now, ReportedPhase::Done, &text);
            }
        }
    }

    /// Skips the time during which the worker was frozen: tasks did no work, but leases kept running.
    pub(crate) fn skip_until(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Returns the next report. Responses to earlier reports are ignored from here on.
    pub(crate) fn report(&mut self) -> WorkerReport {
        self.sequence += 1;
        self.has_unreported_change = false;
        self.reported =
            self.tasks.iter().filter(|task| task.is_running()).map(|task| (task.task, task.attempt)).collect();
        let (usage, latency) = (self.settings.usage_percent, self.latency_us);
        WorkerReport {
            worker: self.settings.worker.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            rack: self.settings.rack.clone(),
            capacity: self.settings.capacity,
            sequence: self.sequence,
            echo: self.echo,
            lag: self.settings.lag,
            tasks: self.tasks.iter().map(|task| task.report(usage, latency)).collect::<Vec<TaskReport>>(),
        }
    }

    /// Applies the response to the report that was sent at `sent`; a response to an older report is ignored.
    pub(crate) fn handle(&mut self, now: Instant, sent: Instant, reply: &WorkerReply) {
        if reply.sequence != self.sequence {
            return;
        }
        self.tick(now);
        let lease_end = reply.lease.map(|lease| sent + lease.as_duration());
        if let Some(lease_end) = lease_end {
            for task in &mut self.tasks {
                if task.is_running() && self.reported.contains(&(task.task, task.attempt)) {
                    task.lease_end = task.lease_end.max(lease_end);
                }
            }
        }
        let start_deadline = sent + reply.start_within.as_duration();
        let start_lease = lease_end.filter(|lease_end| now < start_deadline && now < *lease_end);
        for order in &reply.orders {
            self.apply_order(now, order, start_lease);
        }
        self.echo = reply.revision;
    }

    /// Ends all attempts without a report, as the loss of the VM would.
    pub(crate) fn kill(&mut self, now: Instant) {
        for task in self.tasks.drain(..).filter(TrackedTask::is_running) {
            if let Some(record) = task.record {
                self.log.end(record, now.min(task.lease_end), None, task.work);
            }
        }
    }

    pub(crate) fn running(&self) -> Vec<(TaskId, AttemptNumber)> {
        self.tasks.iter().filter(|task| task.is_running()).map(|task| (task.task, task.attempt)).collect()
    }

    pub(crate) fn throttle(&self, task: TaskId) -> Option<ThrottleLevel> {
        self.tasks.iter().find(|tracked| tracked.task == task && tracked.is_running()).map(|tracked| tracked.throttle)
    }

    fn apply_order(&mut self, now: Instant, order: &WorkerOrder, start_lease: Option<Instant>) {
        match order {
            WorkerOrder::Start { task, attempt, .. } => {
                // The leader repeats a start order until the attempt is reported, so a repeated order starts nothing.
                if self.index_of(*task, *attempt).is_none() {
                    self.start(now, order, start_lease);
                }
            }
            WorkerOrder::Stop { task, attempt } => {
                if let Some(index) = self.index_of(*task, *attempt).filter(|index| self.tasks[*index].is_running()) {
                    self.tasks[index].take_checkpoint();
                    self.finish(index, now, ReportedPhase::Stopped, "stopped on order");
                }
            }
            WorkerOrder::Throttle { task, attempt, level } => {
                if let Some(index) = self.index_of(*task, *attempt) {
                    self.tasks[index].throttle = *level;
                }
            }
            WorkerOrder::Settled { task, attempt } => {
                self.tasks
                    .retain(|tracked| tracked.is_running() || (tracked.task, tracked.attempt) != (*task, *attempt));
            }
        }
    }

    fn start(&mut self, now: Instant, order: &WorkerOrder, lease_end: Option<Instant>) {
        let WorkerOrder::Start { task, attempt, service, size, arguments, checkpoint } = order else { return };
        let resumed_from = checkpoint.as_deref().and_then(checkpoint_work).unwrap_or_default();
        let long_running_services = self.settings.long_running_services.contains(service);
        let mut tracked = TrackedTask {
            task: *task,
            attempt: *attempt,
            phase: ReportedPhase::NotStarted,
            size: *size,
            run_time: run_time_argument(arguments).or(self.settings.run_time).filter(|_| !long_running_services),
            work: resumed_from,
            checkpointed_work: resumed_from,
            has_checkpoint: checkpoint.is_some(),
            throttle: ThrottleLevel::None,
            lease_end: lease_end.unwrap_or(now),
            record: None,
            text: String::new(),
        };
        self.has_unreported_change = true;
        if lease_end.is_none() {
            "the start order had expired".clone_into(&mut tracked.text);
        } else if !self.has_capacity(size) {
            self.rejected_starts += 1;
            "insufficient free capacity".clone_into(&mut tracked.text);
        } else {
            tracked.phase = ReportedPhase::Running;
            tracked.record = Some(self.log.start(self.record(&tracked, now)));
        }
        self.tasks.push(tracked);
    }

    fn record(&self, tracked: &TrackedTask, now: Instant) -> RunRecord {
        RunRecord {
            task: tracked.task,
            attempt: tracked.attempt,
            worker: self.settings.worker.clone(),
            incarnation: self.incarnation,
            start: self.log.elapsed(now),
            end: None,
            phase: None,
            resumed_from: tracked.work,
            work: tracked.work,
        }
    }

    fn finish(&mut self, index: usize, at: Instant, phase: ReportedPhase, text: &str) {
        let task = &mut self.tasks[index];
        task.phase = phase;
        text.clone_into(&mut task.text);
        if let Some(record) = task.record {
            self.log.end(record, at, Some(phase), task.work);
        }
        self.has_unreported_change = true;
    }

    fn has_capacity(&self, size: &ResourceSize) -> bool {
        let allocated = self.tasks.iter().filter(|task| task.is_running()).map(|task| task.size);
        allocated
            .chain([*size])
            .try_fold(ResourceSize::default(), |sum, size| sum.checked_add(&size))
            .is_some_and(|sum| sum.fits_within(&self.settings.capacity))
    }

    fn index_of(&self, task: TaskId, attempt: AttemptNumber) -> Option<usize> {
        self.tasks.iter().position(|tracked| (tracked.task, tracked.attempt) == (task, attempt))
    }
}

/// How often tasks advance. Shorter ticks would only cost CPU time, since run times in tests are at least 50 ms.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(5);
