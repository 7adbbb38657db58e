//! The deciding part of the worker's stand-in: tasks, leases, orders.

use std::time::{Duration, Instant};

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{AttemptNumber, Incarnation, ResourceSize, TaskId, ThrottleLevel};

use crate::held_task::{HeldTask, run_time_of_arguments, work_of_checkpoint};
use crate::{RunLog, RunRecord, WorkerSettings};

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct WorkerAgent {
    settings: WorkerSettings,
    incarnation: Incarnation,
    log: RunLog,
    tasks: Vec<HeldTask>,
    sequence: u64,
    echo: u64,
    /// The attempts that the newest report listed as running; its answer renews exactly these.
    reported: Vec<(TaskId, AttemptNumber)>,
    last_tick: Instant,
    pub(crate) latency_us: Option<u64>,
    pub(crate) fails: bool,
    pub(crate) no_room: usize,
    /// Set when an attempt ends, so that the end is reported without waiting for the next regular report.
    pub(crate) has_news: bool,
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
            no_room: 0,
            has_news: false,
        }
    }

    /// Lets tasks work until `now` and ends those that are complete or whose lease has ended.
    pub(crate) fn tick(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        let every = self.settings.checkpoint_every;
        for place in 0..self.tasks.len() {
            let task = &mut self.tasks[place];
            if !task.is_running() {
                continue;
            }
            if now >= task.lease_end {
                let end = task.lease_end;
                self.finish(place, end, ReportedPhase::Stopped, "lease ended");
                continue;
            }
            task.advance(passed, every);
            if self.fails {
                self.finish(place, now, ReportedPhase::Failed, "the worker fails every task");
            } else if self.tasks[place].is_complete() {
                let text = format!("done in attempt {}", self.tasks[place].attempt);
                self.finish(place, now, ReportedPhase::Done, &text);
            }
        }
    }

    /// Skips the time that the worker was frozen: no task worked, while leases ran on.
    pub(crate) fn skip_until(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Writes the next report; the answers to all earlier ones are void from here on.
    pub(crate) fn report(&mut self) -> WorkerReport {
        self.sequence += 1;
        self.has_news = false;
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

    /// Carries out the answer to the report that was sent at `sent`; answers to older reports are dropped.
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
        let start_end = sent + reply.start_within.as_duration();
        let start_lease = lease_end.filter(|lease_end| now < start_end && now < *lease_end);
        for order in &reply.orders {
            self.carry_out(now, order, start_lease);
        }
        self.echo = reply.revision;
    }

    /// Ends everything without a report, as the loss of the VM does.
    pub(crate) fn kill(&mut self, now: Instant) {
        for task in self.tasks.drain(..).filter(HeldTask::is_running) {
            if let Some(record) = task.record {
                self.log.end(record, now.min(task.lease_end), None, task.work);
            }
        }
    }

    pub(crate) fn running(&self) -> Vec<(TaskId, AttemptNumber)> {
        self.tasks.iter().filter(|task| task.is_running()).map(|task| (task.task, task.attempt)).collect()
    }

    pub(crate) fn throttle(&self, task: TaskId) -> Option<ThrottleLevel> {
        self.tasks.iter().find(|held| held.task == task && held.is_running()).map(|held| held.throttle)
    }

    fn carry_out(&mut self, now: Instant, order: &WorkerOrder, start_lease: Option<Instant>) {
        match order {
            WorkerOrder::Start { task, attempt, .. } => {
                // A start is ordered again until it is reported, so a repeated one is not a second start.
                if self.place(*task, *attempt).is_none() {
                    self.start(now, order, start_lease);
                }
            }
            WorkerOrder::Stop { task, attempt } => {
                if let Some(place) = self.place(*task, *attempt).filter(|place| self.tasks[*place].is_running()) {
                    self.tasks[place].take_checkpoint();
                    self.finish(place, now, ReportedPhase::Stopped, "stopped on order");
                }
            }
            WorkerOrder::Throttle { task, attempt, level } => {
                if let Some(place) = self.place(*task, *attempt) {
                    self.tasks[place].throttle = *level;
                }
            }
            WorkerOrder::Settled { task, attempt } => {
                self.tasks.retain(|held| held.is_running() || (held.task, held.attempt) != (*task, *attempt));
            }
        }
    }

    fn start(&mut self, now: Instant, order: &WorkerOrder, lease_end: Option<Instant>) {
        let WorkerOrder::Start { task, attempt, service, size, arguments, checkpoint } = order else { return };
        let resumed_from = checkpoint.as_deref().and_then(work_of_checkpoint).unwrap_or_default();
        let endless = self.settings.endless.contains(service);
        let mut held = HeldTask {
            task: *task,
            attempt: *attempt,
            phase: ReportedPhase::NotStarted,
            size: *size,
            run_time: run_time_of_arguments(arguments).or(self.settings.run_time).filter(|_| !endless),
            work: resumed_from,
            saved: resumed_from,
            has_checkpoint: checkpoint.is_some(),
            throttle: ThrottleLevel::None,
            lease_end: lease_end.unwrap_or(now),
            record: None,
            text: String::new(),
        };
        self.has_news = true;
        if lease_end.is_none() {
            "the order had expired".clone_into(&mut held.text);
        } else if !self.has_room(size) {
            self.no_room += 1;
            "no room".clone_into(&mut held.text);
        } else {
            held.phase = ReportedPhase::Running;
            held.record = Some(self.log.start(self.record(&held, now)));
        }
        self.tasks.push(held);
    }

    fn record(&self, held: &HeldTask, now: Instant) -> RunRecord {
        RunRecord {
            task: held.task,
            attempt: held.attempt,
            worker: self.settings.worker.clone(),
            incarnation: self.incarnation,
            start: self.log.clock(now),
            end: None,
            phase: None,
            resumed_from: held.work,
            work: held.work,
        }
    }

    fn finish(&mut self, place: usize, at: Instant, phase: ReportedPhase, text: &str) {
        let task = &mut self.tasks[place];
        task.phase = phase;
        text.clone_into(&mut task.text);
        if let Some(record) = task.record {
            self.log.end(record, at, Some(phase), task.work);
        }
        self.has_news = true;
    }

    fn has_room(&self, size: &ResourceSize) -> bool {
        let held = self.tasks.iter().filter(|task| task.is_running()).map(|task| task.size);
        held.chain([*size])
            .try_fold(ResourceSize::default(), |sum, size| sum.checked_add(&size))
            .is_some_and(|sum| sum.fits_within(&self.settings.capacity))
    }

    fn place(&self, task: TaskId, attempt: AttemptNumber) -> Option<usize> {
        self.tasks.iter().position(|held| (held.task, held.attempt) == (task, attempt))
    }
}

/// How often tasks advance: finer steps only cost processor time, since run times in tests are 50 ms and more.
pub(crate) const TICK: Duration = Duration::from_millis(5);
