//! Model workers, which follow the rules of the interface, and the oracle's checks of what they run.

use std::time::Duration;

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MonotonicTime, ResourceSize, TaskId, ThrottleLevel, TimeSpan, WorkerId,
    ZoneName,
};
use rand::RngExt;

use crate::clock::DriftingClock;
use crate::daemon::{DAEMON_ZONES, ZONES};
use crate::event::{Event, Party, earliest};
use crate::jobs::size;
use crate::oracle::ZONE_OUT_LIMIT;
use crate::world::{Delivery, World};

/// How long a worker waits for an answer before it reports to the next entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest sleep of a worker.
const LONGEST_SLEEP: u64 = 200_000;
/// The work between checkpoints in microseconds.
const CHECKPOINT_EVERY: u64 = 1_000_000;

/// One attempt that runs, or whose end is not settled.
#[derive(Debug, Clone)]
pub(crate) struct HeldAttempt {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: ReportedPhase,
    pub(crate) size: ResourceSize,
    /// The work until it is done in microseconds; absent for an instance.
    run_time: Option<u64>,
    fails: bool,
    work: u64,
    saved: Option<u64>,
    throttle: ThrottleLevel,
    pub(crate) lease_until: MonotonicTime,
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) life: u64,
    pub(crate) clock: DriftingClock,
    pub(crate) is_up: bool,
    /// Lost for good.
    pub(crate) is_gone: bool,
    pub(crate) frozen_until: u64,
    pub(crate) held: Vec<HeldAttempt>,
    sequence: u64,
    echo: u64,
    sent: MonotonicTime,
    /// The attempts that the newest report listed as running; its answer renews exactly these.
    listed: Vec<(TaskId, AttemptNumber)>,
    next_report: MonotonicTime,
    last_tick: MonotonicTime,
    entry: usize,
}

impl Worker {
    pub(crate) fn new(place: usize, clock: DriftingClock) -> Self {
        Self {
            id: format!("w{place}").parse().expect("a worker's id"),
            zone: place % ZONES.len(),
            incarnation: Incarnation::new(1),
            life: 0,
            clock,
            is_up: false,
            is_gone: false,
            frozen_until: 0,
            held: Vec::new(),
            sequence: 0,
            echo: 0,
            sent: MonotonicTime::ZERO,
            listed: Vec::new(),
            next_report: MonotonicTime::ZERO,
            last_tick: MonotonicTime::ZERO,
            entry: 0,
        }
    }

    pub(crate) fn capacity() -> ResourceSize {
        size(8)
    }

    pub(crate) fn zone_name(&self) -> ZoneName {
        ZONES[self.zone].parse().expect("a zone's name")
    }

    fn running(&self) -> impl Iterator<Item = &HeldAttempt> {
        self.held.iter().filter(|held| held.phase == ReportedPhase::Running)
    }

    /// Suspends the worker with its attempts, while its clock and leases run on.
    pub(crate) fn freeze(&mut self, now: u64, until: u64) {
        self.tick(self.clock.read(now));
        self.frozen_until = until;
        self.last_tick = self.clock.read(until);
    }

    /// Lets attempts work and ends those that are complete or whose lease has ended; returns the latter.
    fn tick(&mut self, local: MonotonicTime) -> u64 {
        let passed = u64::try_from(local.since(self.last_tick).as_micros()).unwrap_or(0);
        self.last_tick = self.last_tick.max(local);
        let mut lease_stops = 0;
        for held in self.held.iter_mut().filter(|held| held.phase == ReportedPhase::Running) {
            held.work += match held.throttle {
                ThrottleLevel::None => passed,
                ThrottleLevel::Light => passed / 2,
                ThrottleLevel::Hard => passed / 8,
            };
            if held.work >= held.saved.unwrap_or(0) + CHECKPOINT_EVERY {
                held.saved = Some(held.work);
            }
            if local >= held.lease_until {
                held.phase = ReportedPhase::Stopped;
                lease_stops += 1;
            } else if held.fails && held.run_time.is_some_and(|run_time| held.work >= run_time / 2) {
                held.phase = ReportedPhase::Failed;
            } else if held.run_time.is_some_and(|run_time| held.work >= run_time) {
                held.phase = ReportedPhase::Done;
            }
        }
        lease_stops
    }

    fn report(&mut self, local: MonotonicTime, latency_us: Option<u64>) -> WorkerReport {
        self.sequence += 1;
        self.sent = local;
        self.listed = self.running().map(|held| (held.task, held.attempt)).collect();
        WorkerReport {
            worker: self.id.clone(),
            incarnation: self.incarnation,
            zone: self.zone_name(),
            rack: format!("r{}", self.zone).parse().expect("a rack's name"),
            capacity: Self::capacity(),
            sequence: self.sequence,
            echo: self.echo,
            lag: TimeSpan::from_millis(100),
            tasks: self.held.iter().map(|held| task_report(held, latency_us)).collect(),
        }
    }
}

fn task_report(held: &HeldAttempt, latency_us: Option<u64>) -> TaskReport {
    TaskReport {
        task: held.task,
        attempt: held.attempt,
        phase: held.phase,
        cores: held.size.cores,
        memory: MemoryBytes::new(held.size.memory.get() / 2),
        latency_us: latency_us.filter(|_| held.run_time.is_none() && held.phase == ReportedPhase::Running),
        since_checkpoint: TimeSpan::from_millis((held.work - held.saved.unwrap_or(0).min(held.work)) / 1000),
        checkpoint: held.saved.map(|saved| format!("work-{saved}")),
        text: if held.phase == ReportedPhase::Failed { "it fails".to_owned() } else { String::new() },
    }
}

fn work_of(checkpoint: Option<&str>) -> u64 {
    checkpoint.and_then(|text| text.strip_prefix("work-")?.parse().ok()).unwrap_or(0)
}

/// What happens to workers.
impl World {
    pub(crate) fn start_worker(&mut self, worker: usize) {
        let clock = DriftingClock::draw(self.now, &mut self.random);
        let local = clock.read(self.now);
        let started = &mut self.workers[worker];
        started.clock = clock;
        started.is_up = true;
        started.life += 1;
        started.frozen_until = 0;
        (started.sequence, started.echo) = (0, 0);
        started.listed.clear();
        (started.next_report, started.last_tick) = (local, local);
        let life = started.life;
        self.schedule(self.now, Event::WakeWorker { worker, life });
    }

    /// Ends everything that runs on the worker, as the loss of its VM does.
    pub(crate) fn stop_worker(&mut self, worker: usize) {
        let stopped = &mut self.workers[worker];
        stopped.is_up = false;
        stopped.life += 1;
        stopped.frozen_until = 0;
        stopped.held.clear();
        self.note(format_args!("worker {worker} ends"));
    }

    pub(crate) fn restart_worker(&mut self, worker: usize, life: u64) {
        let restarted = &mut self.workers[worker];
        if restarted.life == life && !restarted.is_up && !restarted.is_gone {
            restarted.incarnation = restarted.incarnation.next();
            self.start_worker(worker);
        }
    }

    pub(crate) fn wake_worker(&mut self, worker: usize, life: u64) {
        if self.workers[worker].life != life {
            return;
        }
        self.tick_worker(worker);
        let local = self.workers[worker].clock.read(self.now);
        if self.workers[worker].next_report <= local {
            self.send_report(worker, local);
        }
        let woken = &self.workers[worker];
        let leases = woken.running().map(|held| held.lease_until);
        let due = woken.clock.when(earliest(leases.chain([woken.next_report])));
        let at = due.clamp(self.now + 100, self.now + LONGEST_SLEEP);
        self.schedule(at, Event::WakeWorker { worker, life });
    }

    fn tick_worker(&mut self, worker: usize) {
        let local = self.workers[worker].clock.read(self.now);
        let lease_stops = self.workers[worker].tick(local);
        if lease_stops > 0 {
            self.totals.lease_stops += lease_stops;
            self.note(format_args!("worker {worker}: {lease_stops} attempts end with their lease"));
        }
    }

    fn send_report(&mut self, worker: usize, local: MonotonicTime) {
        let noisy = !self.settling && self.random.random_ratio(1, 20);
        let latency = if noisy { 60_000 } else { 900 + self.random.random_range(0..200) };
        let reporter = &mut self.workers[worker];
        let report = Box::new(reporter.report(local, Some(latency)));
        // Without an answer in time, the next entry gets the next report.
        reporter.next_report = local + ANSWER_TIMEOUT;
        reporter.entry = reporter.entry.wrapping_add(1);
        let entries: Vec<usize> = (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] == reporter.zone).collect();
        let daemon = entries[reporter.entry % entries.len()];
        let life = reporter.life;
        let event = Event::Report { daemon, worker, life, report };
        self.send(Party::Worker(worker), Party::Daemon(daemon), Delivery::Any, event);
    }

    pub(crate) fn report_answered(&mut self, worker: usize, life: u64, reply: &WorkerReply) {
        if self.workers[worker].life != life {
            return;
        }
        self.tick_worker(worker);
        let answered = &mut self.workers[worker];
        if reply.sequence != answered.sequence || answered.next_report == answered.sent {
            return;
        }
        let local = answered.clock.read(self.now);
        let lease_until = reply.lease.map(|lease| answered.sent + lease.as_duration());
        if let Some(until) = lease_until {
            for held in answered.held.iter_mut().filter(|held| held.phase == ReportedPhase::Running) {
                if answered.listed.contains(&(held.task, held.attempt)) {
                    held.lease_until = held.lease_until.max(until);
                }
            }
        }
        let in_time = local < answered.sent + reply.start_within.as_duration();
        answered.echo = reply.revision;
        answered.entry = answered.entry.wrapping_sub(1);
        answered.next_report = local + reply.report_every.as_duration();
        let lease = lease_until.filter(|until| in_time && local < *until);
        for order in &reply.orders {
            self.carry_out_order(worker, order, lease);
        }
    }

    fn carry_out_order(&mut self, worker: usize, order: &WorkerOrder, lease: Option<MonotonicTime>) {
        let place =
            |held: &[HeldAttempt], task, attempt| held.iter().position(|it| (it.task, it.attempt) == (task, attempt));
        let held = &mut self.workers[worker].held;
        match order {
            WorkerOrder::Start { task, attempt, .. } => {
                if place(held, *task, *attempt).is_none() {
                    self.start_attempt(worker, order, lease);
                }
            }
            WorkerOrder::Stop { task, attempt } => {
                let Some(place) = place(held, *task, *attempt) else { return };
                if held[place].phase == ReportedPhase::Running {
                    held[place].saved = Some(held[place].work);
                    held[place].phase = ReportedPhase::Stopped;
                    self.totals.evictions += 1;
                    self.note(format_args!("worker {worker} stops {task}/{attempt} on order"));
                }
            }
            WorkerOrder::Throttle { task, attempt, level } => {
                if let Some(place) = place(held, *task, *attempt) {
                    held[place].throttle = *level;
                }
            }
            WorkerOrder::Settled { task, attempt } => {
                let Some(place) = place(held, *task, *attempt) else { return };
                if held[place].phase != ReportedPhase::Running {
                    let ended = held.remove(place);
                    self.settled(&ended);
                }
            }
        }
    }

    fn start_attempt(&mut self, worker: usize, order: &WorkerOrder, lease: Option<MonotonicTime>) {
        let WorkerOrder::Start { task, attempt, size, arguments, checkpoint, .. } = order else { return };
        let work = work_of(checkpoint.as_deref());
        let mut held = HeldAttempt {
            task: *task,
            attempt: *attempt,
            phase: ReportedPhase::NotStarted,
            size: *size,
            run_time: arguments.parse::<u64>().ok().map(|millis| millis * 1000),
            fails: !self.settling && self.random.random_ratio(1, 30),
            work,
            saved: checkpoint.as_ref().map(|_| work),
            throttle: ThrottleLevel::None,
            lease_until: MonotonicTime::ZERO,
        };
        if let Some(lease_until) = lease {
            held.phase = ReportedPhase::Running;
            held.lease_until = lease_until;
            self.check_start(worker, &held);
        }
        self.workers[worker].held.push(held);
    }
}

/// The oracle's checks.
impl World {
    /// Checks P1, P2, P3 and P4 on a start.
    fn check_start(&mut self, worker: usize, held: &HeldAttempt) {
        let (task, attempt) = (held.task, held.attempt);
        self.totals.starts += 1;
        self.totals.resumes += u64::from(held.saved.is_some());
        let zone = self.workers[worker].zone_name();
        self.note(format_args!("worker {worker} in zone {zone} starts {task}/{attempt} from {}", held.work));
        if !self.oracle.attempts.insert((task, attempt)) {
            self.violate(format!("P2: attempt {task}/{attempt} starts twice"));
        }
        if let Some(since) = self.oracle.out_since(&zone)
            && self.now > since + ZONE_OUT_LIMIT
        {
            let late = self.now - since;
            self.violate(format!("P4: {task}/{attempt} starts in zone {zone} {late} us after it was taken out"));
        }
        let saved = self.oracle.checkpoints.get(&task).copied().unwrap_or(0);
        if held.work < saved {
            self.violate(format!("P3: {task}/{attempt} resumes from {} where {saved} was saved", held.work));
        }
        for (other, running) in self.workers.iter().enumerate() {
            let local = running.clock.read(self.now);
            let elsewhere = running.running().find(|it| it.task == task && it.lease_until > local);
            if let Some(elsewhere) = elsewhere {
                let what = format!(
                    "P2: {task}/{attempt} starts on worker {worker} while {} runs on {other}",
                    elsewhere.attempt
                );
                self.oracle.violation.get_or_insert(what);
            }
        }
        let used = self.workers[worker].running().map(|it| it.size).chain([held.size]);
        let used = used.fold(ResourceSize::default(), |sum, size| sum.checked_add(&size).unwrap_or(Worker::capacity()));
        if !used.fits_within(&Worker::capacity()) {
            self.violate(format!("P1: worker {worker} runs {used}"));
        }
    }

    /// Remembers a checkpoint that is certainly recorded.
    fn settled(&mut self, ended: &HeldAttempt) {
        // A checkpoint that is reported after a further attempt was placed is of no use any more.
        let is_recorded = ended.phase != ReportedPhase::NotStarted
            && self
                .newest_state()
                .and_then(|state| state.task(ended.task))
                .is_some_and(|it| it.attempt() == ended.attempt);
        if let Some(saved) = ended.saved.filter(|_| is_recorded) {
            let known = self.oracle.checkpoints.entry(ended.task).or_default();
            *known = saved.max(*known);
        }
    }
}
