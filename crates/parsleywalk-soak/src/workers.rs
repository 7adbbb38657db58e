//! Simulated workers, which follow the worker protocol, and the oracle's checks of the attempts that they run.

use std::time::Duration;

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MonotonicTime, ResourceSize, TaskId, ThrottleLevel, TimeSpan, WorkerId,
    ZoneName,
};
use rand::RngExt;

use crate::clock::DriftingClock;
use crate::daemon::{DAEMON_ZONES, ZONES};
use crate::event::{Event, NetworkNode, earliest};
use crate::jobs::resource_size;
use crate::oracle::EVACUATION_LIMIT_MICROS;
use crate::world::{Delivery, World};

/// How long a worker waits for a response before it reports to the next entry daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time between two wake-ups of a worker.
const MAX_SLEEP_MICROS: u64 = 200_000;
/// The work between checkpoints in microseconds.
const CHECKPOINT_INTERVAL_MICROS: u64 = 1_000_000;

/// An attempt that is running, or that has ended without the leader having confirmed that it recorded the end.
#[derive(Debug, Clone)]
pub(crate) struct TrackedAttempt {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: ReportedPhase,
    pub(crate) size: ResourceSize,
    /// The work after which it is done, in microseconds; `None` for an instance of a service.
    run_time: Option<u64>,
    fails: bool,
    work: u64,
    checkpointed_work: Option<u64>,
    throttle: ThrottleLevel,
    pub(crate) lease_until: MonotonicTime,
}

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) generation: u64,
    pub(crate) clock: DriftingClock,
    pub(crate) is_up: bool,
    /// Whether the worker was stopped permanently.
    pub(crate) is_removed: bool,
    pub(crate) frozen_until: u64,
    pub(crate) attempts: Vec<TrackedAttempt>,
    sequence: u64,
    echo: u64,
    sent_at: MonotonicTime,
    /// The attempts that the newest report listed as running. Its response renews the leases of exactly these.
    listed: Vec<(TaskId, AttemptNumber)>,
    next_report: MonotonicTime,
    last_tick: MonotonicTime,
    entry: usize,
}

impl Worker {
    pub(crate) fn new(index: usize, clock: DriftingClock) -> Self {
        Self {
            id: format!("w{index}").parse().expect("a worker's id"),
            zone: index % ZONES.len(),
            incarnation: Incarnation::new(1),
            generation: 0,
            clock,
            is_up: false,
            is_removed: false,
            frozen_until: 0,
            attempts: Vec::new(),
            sequence: 0,
            echo: 0,
            sent_at: MonotonicTime::ZERO,
            listed: Vec::new(),
            next_report: MonotonicTime::ZERO,
            last_tick: MonotonicTime::ZERO,
            entry: 0,
        }
    }

    pub(crate) fn capacity() -> ResourceSize {
        resource_size(8)
    }

    pub(crate) fn zone_name(&self) -> ZoneName {
        ZONES[self.zone].parse().expect("a zone's name")
    }

    fn running(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.attempts.iter().filter(|tracked| tracked.phase == ReportedPhase::Running)
    }

    /// Suspends the worker and its attempts until a given time. Its clock keeps running, and its leases may expire.
    pub(crate) fn freeze(&mut self, now: u64, until: u64) {
        self.tick(self.clock.read(now));
        self.frozen_until = until;
        self.last_tick = self.clock.read(until);
    }

    /// Advances the attempts to `local` and ends those that are complete, must fail or have an expired lease; returns
    /// the number of expired ones.
    fn tick(&mut self, local: MonotonicTime) -> u64 {
        let elapsed = u64::try_from(local.since(self.last_tick).as_micros()).unwrap_or(0);
        self.last_tick = self.last_tick.max(local);
        let mut expired_attempts = 0;
        for tracked in self.attempts.iter_mut().filter(|tracked| tracked.phase == ReportedPhase::Running) {
            tracked.work += match tracked.throttle {
                ThrottleLevel::None => elapsed,
                ThrottleLevel::Light => elapsed / 2,
                ThrottleLevel::Hard => elapsed / 8,
            };
            if tracked.work >= tracked.checkpointed_work.unwrap_or(0) + CHECKPOINT_INTERVAL_MICROS {
                tracked.checkpointed_work = Some(tracked.work);
            }
            if local >= tracked.lease_until {
                tracked.phase = ReportedPhase::Stopped;
                expired_attempts += 1;
            } else if tracked.fails && tracked.run_time.is_some_and(|run_time| tracked.work >= run_time / 2) {
                tracked.phase = ReportedPhase::Failed;
            } else if tracked.run_time.is_some_and(|run_time| tracked.work >= run_time) {
                tracked.phase = ReportedPhase::Done;
            }
        }
        expired_attempts
    }

    fn report(&mut self, local: MonotonicTime, latency_us: Option<u64>) -> WorkerReport {
        self.sequence += 1;
        self.sent_at = local;
        self.listed = self.running().map(|tracked| (tracked.task, tracked.attempt)).collect();
        WorkerReport {
            worker: self.id.clone(),
            incarnation: self.incarnation,
            zone: self.zone_name(),
            rack: format!("r{}", self.zone).parse().expect("a rack's name"),
            capacity: Self::capacity(),
            sequence: self.sequence,
            echo: self.echo,
            lag: TimeSpan::from_millis(100),
            tasks: self.attempts.iter().map(|tracked| task_report(tracked, latency_us)).collect(),
        }
    }
}

fn task_report(tracked: &TrackedAttempt, latency_us: Option<u64>) -> TaskReport {
    TaskReport {
        task: tracked.task,
        attempt: tracked.attempt,
        phase: tracked.phase,
        cores: tracked.size.cores,
        memory: MemoryBytes::new(tracked.size.memory.get() / 2),
        latency_us: latency_us.filter(|_| tracked.run_time.is_none() && tracked.phase == ReportedPhase::Running),
        since_checkpoint: TimeSpan::from_millis(
            (tracked.work - tracked.checkpointed_work.unwrap_or(0).min(tracked.work)) / 1000,
        ),
        checkpoint: tracked.checkpointed_work.map(|checkpointed_work| format!("work-{checkpointed_work}")),
        text: if tracked.phase == ReportedPhase::Failed { "it fails".to_owned() } else { String::new() },
    }
}

/// Parses the work in a checkpoint; a start without a checkpoint has none.
fn checkpoint_work(checkpoint: Option<&str>) -> u64 {
    checkpoint.and_then(|text| text.strip_prefix("work-")?.parse().ok()).unwrap_or(0)
}

/// Events of workers.
impl World {
    pub(crate) fn start_worker(&mut self, worker: usize) {
        let clock = DriftingClock::random(self.now, &mut self.random);
        let local = clock.read(self.now);
        let started = &mut self.workers[worker];
        started.clock = clock;
        started.is_up = true;
        started.generation += 1;
        started.frozen_until = 0;
        (started.sequence, started.echo) = (0, 0);
        started.listed.clear();
        (started.next_report, started.last_tick) = (local, local);
        let generation = started.generation;
        self.schedule(self.now, Event::WakeWorker { worker, generation });
    }

    /// Stops the worker and drops its attempts, as the loss of its VM would.
    pub(crate) fn stop_worker(&mut self, worker: usize) {
        let stopped = &mut self.workers[worker];
        stopped.is_up = false;
        stopped.generation += 1;
        stopped.frozen_until = 0;
        stopped.attempts.clear();
        self.push_trace(format_args!("worker {worker} stops"));
    }

    pub(crate) fn restart_worker(&mut self, worker: usize, generation: u64) {
        let restarted = &mut self.workers[worker];
        if restarted.generation == generation && !restarted.is_up && !restarted.is_removed {
            restarted.incarnation = restarted.incarnation.next();
            self.start_worker(worker);
        }
    }

    pub(crate) fn wake_worker(&mut self, worker: usize, generation: u64) {
        if self.workers[worker].generation != generation {
            return;
        }
        self.tick_worker(worker);
        let local = self.workers[worker].clock.read(self.now);
        if self.workers[worker].next_report <= local {
            self.send_report(worker, local);
        }
        let woken = &self.workers[worker];
        let leases = woken.running().map(|tracked| tracked.lease_until);
        let due = woken.clock.real_time_at(earliest(leases.chain([woken.next_report])));
        let at = due.clamp(self.now + 100, self.now + MAX_SLEEP_MICROS);
        self.schedule(at, Event::WakeWorker { worker, generation });
    }

    fn tick_worker(&mut self, worker: usize) {
        let local = self.workers[worker].clock.read(self.now);
        let expired_attempts = self.workers[worker].tick(local);
        if expired_attempts > 0 {
            self.totals.expired_attempts += expired_attempts;
            self.push_trace(format_args!("worker {worker}: the leases of {expired_attempts} attempts expire"));
        }
    }

    fn send_report(&mut self, worker: usize, local: MonotonicTime) {
        let is_slow = !self.settling && self.random.random_ratio(1, 20);
        let latency = if is_slow { 60_000 } else { 900 + self.random.random_range(0..200) };
        let reporter = &mut self.workers[worker];
        let report = Box::new(reporter.report(local, Some(latency)));
        // Without a response in time, the next report goes to the next entry daemon.
        reporter.next_report = local + RESPONSE_TIMEOUT;
        reporter.entry = reporter.entry.wrapping_add(1);
        let entries: Vec<usize> = (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] == reporter.zone).collect();
        let daemon = entries[reporter.entry % entries.len()];
        let generation = reporter.generation;
        let event = Event::Report { daemon, worker, generation, report };
        self.send(NetworkNode::Worker(worker), NetworkNode::Daemon(daemon), Delivery::Unreliable, event);
    }

    pub(crate) fn on_report_response(&mut self, worker: usize, generation: u64, reply: &WorkerReply) {
        if self.workers[worker].generation != generation {
            return;
        }
        self.tick_worker(worker);
        let reported = &mut self.workers[worker];
        if reply.sequence != reported.sequence || reported.next_report == reported.sent_at {
            return;
        }
        let local = reported.clock.read(self.now);
        let lease_until = reply.lease.map(|lease| reported.sent_at + lease.as_duration());
        if let Some(until) = lease_until {
            for tracked in reported.attempts.iter_mut().filter(|tracked| tracked.phase == ReportedPhase::Running) {
                if reported.listed.contains(&(tracked.task, tracked.attempt)) {
                    tracked.lease_until = tracked.lease_until.max(until);
                }
            }
        }
        let in_time = local < reported.sent_at + reply.start_within.as_duration();
        reported.echo = reply.revision;
        reported.entry = reported.entry.wrapping_sub(1);
        reported.next_report = local + reply.report_every.as_duration();
        let lease = lease_until.filter(|until| in_time && local < *until);
        for order in &reply.orders {
            self.apply_order(worker, order, lease);
        }
    }

    fn apply_order(&mut self, worker: usize, order: &WorkerOrder, lease: Option<MonotonicTime>) {
        let position = |attempts: &[TrackedAttempt], task, attempt| {
            attempts.iter().position(|it| (it.task, it.attempt) == (task, attempt))
        };
        let attempts = &mut self.workers[worker].attempts;
        match order {
            WorkerOrder::Start { task, attempt, .. } => {
                if position(attempts, *task, *attempt).is_none() {
                    self.start_attempt(worker, order, lease);
                }
            }
            WorkerOrder::Stop { task, attempt } => {
                let Some(index) = position(attempts, *task, *attempt) else { return };
                if attempts[index].phase == ReportedPhase::Running {
                    attempts[index].checkpointed_work = Some(attempts[index].work);
                    attempts[index].phase = ReportedPhase::Stopped;
                    self.totals.evictions += 1;
                    self.push_trace(format_args!("worker {worker} stops {task}/{attempt} on order"));
                }
            }
            WorkerOrder::Throttle { task, attempt, level } => {
                if let Some(index) = position(attempts, *task, *attempt) {
                    attempts[index].throttle = *level;
                }
            }
            WorkerOrder::Settled { task, attempt } => {
                let Some(index) = position(attempts, *task, *attempt) else { return };
                if attempts[index].phase != ReportedPhase::Running {
                    let ended = attempts.remove(index);
                    self.record_settled(&ended);
                }
            }
        }
    }

    fn start_attempt(&mut self, worker: usize, order: &WorkerOrder, lease: Option<MonotonicTime>) {
        let WorkerOrder::Start { task, attempt, size, arguments, checkpoint, .. } = order else { return };
        let work = checkpoint_work(checkpoint.as_deref());
        let mut tracked = TrackedAttempt {
            task: *task,
            attempt: *attempt,
            phase: ReportedPhase::NotStarted,
            size: *size,
            run_time: arguments.parse::<u64>().ok().map(|millis| millis * 1000),
            fails: !self.settling && self.random.random_ratio(1, 30),
            work,
            checkpointed_work: checkpoint.as_ref().map(|_| work),
            throttle: ThrottleLevel::None,
            lease_until: MonotonicTime::ZERO,
        };
        if let Some(lease_until) = lease {
            tracked.phase = ReportedPhase::Running;
            tracked.lease_until = lease_until;
            self.check_start(worker, &tracked);
        }
        self.workers[worker].attempts.push(tracked);
    }
}

/// The oracle's checks of attempts.
impl World {
    /// Checks the start of an attempt: the worker's capacity is not exceeded (P1), no attempt starts twice and no two
    /// attempts of a task run at once (P2), no recorded checkpoint is lost (P3) and no task starts in a zone that has
    /// been out of service for longer than the limit (P4).
    fn check_start(&mut self, worker: usize, tracked: &TrackedAttempt) {
        let (task, attempt) = (tracked.task, tracked.attempt);
        self.totals.starts += 1;
        self.totals.resumes += u64::from(tracked.checkpointed_work.is_some());
        let zone = self.workers[worker].zone_name();
        self.push_trace(format_args!("worker {worker} in zone {zone} starts {task}/{attempt} from {}", tracked.work));
        if !self.oracle.started_attempts.insert((task, attempt)) {
            self.set_violation(format!("P2: attempt {task}/{attempt} starts twice"));
        }
        if let Some(since) = self.oracle.out_of_service_since(&zone)
            && self.now > since + EVACUATION_LIMIT_MICROS
        {
            let late = self.now - since;
            self.set_violation(format!(
                "P4: {task}/{attempt} starts in zone {zone} {late} us after it was taken out of service"
            ));
        }
        let checkpointed_work = self.oracle.recorded_checkpoints.get(&task).copied().unwrap_or(0);
        if tracked.work < checkpointed_work {
            self.set_violation(format!(
                "P3: {task}/{attempt} resumes from {} although a checkpoint at {checkpointed_work} was recorded",
                tracked.work
            ));
        }
        for (other, running) in self.workers.iter().enumerate() {
            let local = running.clock.read(self.now);
            let elsewhere = running.running().find(|it| it.task == task && it.lease_until > local);
            if let Some(elsewhere) = elsewhere {
                let violation = format!(
                    "P2: {task}/{attempt} starts on worker {worker} while {} runs on {other}",
                    elsewhere.attempt
                );
                self.oracle.violation.get_or_insert(violation);
            }
        }
        let used = self.workers[worker].running().map(|it| it.size).chain([tracked.size]);
        let used = used.fold(ResourceSize::default(), |sum, size| sum.checked_add(&size).unwrap_or(Worker::capacity()));
        if !used.fits_within(&Worker::capacity()) {
            self.set_violation(format!("P1: worker {worker} runs attempts of {used}, which exceeds its capacity"));
        }
    }

    /// Records the checkpoint of a settled attempt, from which the next attempt must start or a later one.
    fn record_settled(&mut self, ended: &TrackedAttempt) {
        // The leader ignores a checkpoint that is reported after a further attempt was placed.
        let is_recorded = ended.phase != ReportedPhase::NotStarted
            && self
                .newest_state()
                .and_then(|state| state.task(ended.task))
                .is_some_and(|it| it.attempt() == ended.attempt);
        if let Some(checkpointed_work) = ended.checkpointed_work.filter(|_| is_recorded) {
            let known = self.oracle.recorded_checkpoints.entry(ended.task).or_default();
            *known = checkpointed_work.max(*known);
        }
    }
}
