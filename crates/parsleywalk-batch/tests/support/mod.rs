//! A fleet of fake workers around one leader, with an oracle that looks at what the workers do.

#![allow(dead_code, reason = "each test uses a part")]
#![allow(clippy::struct_excessive_bools, reason = "each fault is switched by itself")]

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, EndNumber, FencingToken, JobId, JobSpec, JobStatus,
    JobSubmission, ReportStep, RunEnd, RunNumber, RunOutcome, RunningTask, StepSpec, TaskKey, WorkerReport,
};
use parsleywalk_units::{
    Incarnation, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, WorkerId, ZoneDirection, ZoneName,
};

/// The simulated time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// A small generator, so that a seed repeats a run.
pub(crate) struct Chance(u64);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What a worker does with a run.
#[derive(Debug, Clone)]
pub(crate) struct FakeRun {
    pub(crate) run: RunNumber,
    pub(crate) size: ResourceSize,
    done_ms: f64,
    total_ms: f64,
    pub(crate) rate: u8,
    lasting: bool,
    pub(crate) filling: bool,
    serves: bool,
    stalled: bool,
    resumes: bool,
}

/// A worker that carries out orders.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneName,
    pub(crate) rack: String,
    pub(crate) born: u64,
    pub(crate) up: bool,
    pub(crate) cut: bool,
    pub(crate) draining: bool,
    /// Fails every run it starts.
    pub(crate) broken: bool,
    /// Starts runs and makes no progress.
    pub(crate) hung: bool,
    pub(crate) capacity: ResourceSize,
    pub(crate) runs: BTreeMap<TaskKey, FakeRun>,
    pub(crate) ended: Vec<RunEnd>,
    last_number: u64,
    lease_until: MonotonicTime,
    fence: FencingToken,
    sequence: u64,
    next_report: MonotonicTime,
    /// The highest run of each task that was stopped or ended here.
    seen: BTreeMap<TaskKey, RunNumber>,
}

/// The leader, the workers and what the oracle knows.
pub(crate) struct FakeFleet {
    pub(crate) now: MonotonicTime,
    pub(crate) state: BatchState,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) chance: Chance,
    pub(crate) settings: DispatchSettings,
    term: u64,
    /// Answers lost on their way, in percent.
    pub(crate) loss: u64,
    /// The tail latency of a serving task in milliseconds beside filling processors of that share.
    pub(crate) tail_ms: fn(f64) -> u32,
    /// Tasks whose end as done was recorded.
    done: BTreeMap<TaskKey, RunNumber>,
    out_since: BTreeMap<ZoneName, MonotonicTime>,
    pub(crate) starts: u64,
    pub(crate) ended_at: BTreeMap<JobId, MonotonicTime>,
    /// The longest time that a serving task was over its target without a break.
    pub(crate) longest_harm: Duration,
    harm_since: BTreeMap<TaskKey, MonotonicTime>,
}

pub(crate) fn size(cores: u32, gigabytes: u64) -> ResourceSize {
    ResourceSize::new(MilliCores::new(cores * 1000), MemoryBytes::new(gigabytes * 1_000_000_000))
}

pub(crate) fn step(count: u32, cores: u32, estimate_ms: u64) -> StepSpec {
    StepSpec { count, size: size(cores, 1), estimate: Duration::from_millis(estimate_ms), ..StepSpec::default() }
}

pub(crate) fn submission(job: u64, priority: u8, steps: Vec<StepSpec>) -> JobSubmission {
    JobSubmission {
        job: JobId::new(job),
        spec: JobSpec { payload: format!("job {job}"), steps, schedule: None },
        queue: format!("queue-{priority}"),
        service: "service".parse().expect("a name"),
        priority,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_secs(1),
        advised: false,
        accepted_unix_ms: 0,
    }
}

impl FakeFleet {
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let settings = DispatchSettings::default();
        let now = MonotonicTime::from_millis(1);
        let fleet: Vec<FakeWorker> = (0..workers).map(FakeWorker::new).collect();
        Self {
            now,
            state: BatchState::default(),
            dispatcher: Dispatcher::new(settings.clone(), FencingToken::new(1), now),
            workers: fleet,
            chance: Chance::new(seed),
            settings,
            term: 1,
            loss: 0,
            tail_ms: |_| 40,
            done: BTreeMap::new(),
            out_since: BTreeMap::new(),
            starts: 0,
            ended_at: BTreeMap::new(),
            longest_harm: Duration::ZERO,
            harm_since: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, mut submission: JobSubmission) -> JobId {
        let job = submission.job;
        submission.accepted_unix_ms = self.unix_ms();
        self.apply(&BatchCommand::Submit(Box::new(submission)));
        job
    }

    /// Submits a job as a caller does: the leader may refuse it.
    pub(crate) fn offer(&mut self, submission: JobSubmission) -> Option<JobId> {
        let refusal = self.dispatcher.admit(self.now, &self.state, &submission);
        if refusal.is_some() { None } else { Some(self.submit(submission)) }
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        self.apply(&BatchCommand::Cancel { job });
    }

    pub(crate) fn set_zone(&mut self, zone: &str, direction: ZoneDirection) {
        let zone: ZoneName = zone.parse().expect("a zone");
        match direction {
            ZoneDirection::Out => self.out_since.insert(zone.clone(), self.now),
            ZoneDirection::In => self.out_since.remove(&zone),
        };
        self.apply(&BatchCommand::SetZone { zone, direction });
    }

    /// The leader is followed by another, which knows the replicated state only.
    pub(crate) fn change_leader(&mut self) {
        self.term += 1;
        self.dispatcher = Dispatcher::new(self.settings.clone(), FencingToken::new(self.term), self.now);
    }

    pub(crate) fn status(&self, job: JobId) -> Option<JobStatus> {
        self.state.job(job).map(|record| record.status)
    }

    fn unix_ms(&self) -> u64 {
        self.now.as_micros() / 1000
    }

    fn apply(&mut self, command: &BatchCommand) {
        if let BatchCommand::Settle { ends, .. } = command {
            for end in ends.iter().filter(|end| end.outcome == RunOutcome::Done) {
                let committed = self
                    .state
                    .workers()
                    .any(|(_, record)| record.runs.get(&end.task).is_some_and(|entry| entry.run == end.run));
                if committed {
                    self.done.insert(end.task, end.run);
                }
            }
        }
        // What a replica applies must survive the way through the log.
        let bytes = parsleywalk_batch::encode_commands(std::slice::from_ref(command));
        let decoded = parsleywalk_batch::decode_commands(&bytes).expect("commands decode");
        self.state.apply(&decoded[0]);
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job is final, or the time is over.
    pub(crate) fn run_until_done(&mut self, time: Duration) -> bool {
        let end = self.now + time;
        while self.now < end {
            self.step();
            if self.state.active_count() == 0 {
                return true;
            }
        }
        false
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        for place in 0..self.workers.len() {
            self.work(place);
        }
        for command in self.dispatcher.expire(self.now, &self.state) {
            self.apply(&command);
        }
        let unix_ms = self.unix_ms();
        let runs = self.dispatcher.plan(self.now, unix_ms, &self.state);
        if !runs.is_empty() {
            self.apply(&BatchCommand::Place { runs });
        }
        for place in 0..self.workers.len() {
            if self.workers[place].up && self.workers[place].next_report <= self.now {
                self.report(place);
            }
        }
        self.check();
    }

    fn work(&mut self, place: usize) {
        let now = self.now;
        let tail = self.tail_ms;
        let worker = &mut self.workers[place];
        if !worker.up {
            return;
        }
        if now >= worker.lease_until && !worker.runs.is_empty() {
            worker.end_all(RunOutcome::LeaseLapsed);
        }
        let share = worker.filling_share();
        let serving: Vec<TaskKey> = worker.runs.iter().filter(|(_, run)| run.serves).map(|(task, _)| *task).collect();
        for task in serving {
            if tail(share) > 150 {
                let since = *self.harm_since.entry(task).or_insert(now);
                self.longest_harm = self.longest_harm.max(now.since(since));
            } else {
                self.harm_since.remove(&task);
            }
        }
        let step_ms = STEP.as_secs_f64() * 1000.0;
        let mut ended = Vec::new();
        for (task, run) in &mut worker.runs {
            if run.stalled {
                continue;
            }
            run.done_ms += step_ms * f64::from(run.rate) / 100.0;
            if !run.lasting && run.done_ms >= run.total_ms {
                ended.push(*task);
            }
        }
        for task in ended {
            let outcome = if worker.broken { RunOutcome::Failed } else { RunOutcome::Done };
            worker.end(task, outcome);
        }
    }

    fn report(&mut self, place: usize) {
        let tail = self.tail_ms;
        let report = self.workers[place].describe(self.now, tail);
        self.workers[place].next_report = self.now + Duration::from_millis(100);
        if self.workers[place].cut {
            return;
        }
        let ReportStep::Commit(commands) = self.dispatcher.observe(self.now, &self.state, &report) else { return };
        for command in &commands {
            self.apply(command);
        }
        let answer = self.dispatcher.answer(&self.state, &report.worker, report.sequence);
        if self.chance.percent(self.loss) {
            return;
        }
        let Some(orders) = answer.orders else { return };
        let now = self.now;
        let worker = &mut self.workers[place];
        if orders.fence < worker.fence {
            return;
        }
        worker.fence = orders.fence;
        worker.lease_until = worker.lease_until.max(now + orders.lease);
        worker.ended.retain(|end| end.number > orders.settled);
        for (task, run) in orders.stops {
            if worker.runs.get(&task).is_some_and(|known| known.run == run) {
                worker.end(task, RunOutcome::Stopped);
            }
            worker.seen.insert(task, run);
        }
        for (task, run, rate) in orders.rates {
            if let Some(known) = worker.runs.get_mut(&task).filter(|known| known.run == run) {
                known.rate = rate;
            }
        }
        for order in orders.starts {
            let Some((job, spec)) = self.state.step_of(&order.task) else { continue };
            assert_eq!(order.payload, job.submission.spec.payload, "the payload is the job's");
            let worker = &mut self.workers[place];
            let late = worker.seen.get(&order.task).is_some_and(|seen| *seen >= order.run);
            if late || worker.runs.contains_key(&order.task) {
                continue;
            }
            if let Some(since) = self.out_since.get(&worker.zone) {
                assert!(now.since(*since) < Duration::from_secs(2), "{} starts in a zone that is out", order.task);
            }
            assert!(!self.done.contains_key(&order.task), "{} starts after it was done", order.task);
            self.starts += 1;
            worker.runs.insert(
                order.task,
                FakeRun {
                    run: order.run,
                    size: spec.size,
                    done_ms: order.saved.parse().unwrap_or(0.0),
                    total_ms: spec.estimate.as_secs_f64() * 1000.0,
                    rate: 100,
                    lasting: spec.lasting,
                    filling: spec.filling,
                    serves: spec.tail_objective.is_some(),
                    stalled: worker.hung,
                    resumes: spec.checkpointable,
                },
            );
        }
    }

    /// What must hold after every step.
    fn check(&mut self) {
        let mut seen: BTreeMap<TaskKey, &WorkerId> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.up) {
            let mut used = ResourceSize::default();
            for (task, run) in &worker.runs {
                let held =
                    if run.filling { ResourceSize { cores: MilliCores::default(), ..run.size } } else { run.size };
                used = used.checked_add(&held).expect("no overflow");
                if let Some(other) = seen.insert(*task, &worker.id) {
                    let speculative = self.state.step_of(task).is_some_and(|(_, step)| step.speculative);
                    assert!(speculative, "{task} runs on {other} and on {}", worker.id);
                }
            }
            assert!(used.fits_within(&worker.capacity), "{} is committed beyond its capacity", worker.id);
        }
        let ended: Vec<JobId> = self.state.ended_jobs().map(|(job, _)| job).collect();
        for job in ended {
            self.ended_at.entry(job).or_insert(self.now);
        }
    }
}

impl FakeWorker {
    fn new(place: usize) -> Self {
        Self {
            id: format!("worker-{place}").parse().expect("a name"),
            zone: ["zone-a", "zone-b", "zone-c"][place % 3].parse().expect("a name"),
            rack: format!("rack-{}", place / 4),
            born: 1,
            up: true,
            cut: false,
            draining: false,
            broken: false,
            hung: false,
            capacity: size(32, 125),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            lease_until: MonotonicTime::ZERO,
            fence: FencingToken::ZERO,
            sequence: 0,
            next_report: MonotonicTime::ZERO,
            seen: BTreeMap::new(),
        }
    }

    /// The worker crashes and comes back as another life.
    pub(crate) fn restart(&mut self) {
        self.born += 1;
        self.runs.clear();
        self.ended.clear();
        self.seen.clear();
        self.last_number = 0;
        self.sequence = 0;
        self.fence = FencingToken::ZERO;
        self.draining = false;
    }

    fn end(&mut self, task: TaskKey, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.last_number += 1;
        self.seen.insert(task, run.run);
        let number = EndNumber::new(self.last_number);
        let saved = run.checkpoint();
        self.ended.push(RunEnd { number, task, run: run.run, outcome, saved });
    }

    fn end_all(&mut self, outcome: RunOutcome) {
        let tasks: Vec<TaskKey> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end(task, outcome);
        }
    }

    /// The share of the processors that filling tasks use.
    fn filling_share(&self) -> f64 {
        let used: f64 = self
            .runs
            .values()
            .filter(|run| run.filling)
            .map(|run| f64::from(run.size.cores.get()) * f64::from(run.rate) / 100.0)
            .sum();
        used / f64::from(self.capacity.cores.get())
    }

    fn describe(&mut self, now: MonotonicTime, tail: fn(f64) -> u32) -> WorkerReport {
        self.sequence += 1;
        let share = self.filling_share();
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.run,
            saved: run.checkpoint(),
            percent: percent(run),
            figure: if run.serves { tail(share) } else { run.size.cores.get() / 100 * u32::from(run.rate) },
        });
        WorkerReport {
            worker: self.id.clone(),
            incarnation: Incarnation::new(self.born),
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
    /// The work that a start elsewhere need not repeat.
    fn checkpoint(&self) -> String {
        if self.resumes { format!("{}", self.done_ms) } else { String::new() }
    }
}

fn percent(run: &FakeRun) -> u8 {
    if run.lasting {
        return 100;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to a percentage")]
    let percent = (run.done_ms / run.total_ms * 100.0).clamp(0.0, 99.0) as u8;
    percent
}

/// Makes the steps of random jobs.
pub(crate) struct StepsOf;

impl StepsOf {
    pub(crate) fn random(chance: &mut Chance) -> Vec<StepSpec> {
        let steps = 1 + chance.below(3);
        (0..steps)
            .map(|number| {
                let number = u16::try_from(number).expect("small");
                let count = 1 + u32::try_from(chance.below(6)).expect("small");
                let mut spec =
                    step(count, 1 + u32::try_from(chance.below(6)).expect("small"), 200 + chance.below(1500));
                if number > 0 && chance.percent(60) {
                    spec.depends_on = vec![number - 1];
                }
                spec.filling = chance.percent(20);
                spec.gang = !spec.filling && chance.percent(10);
                spec.checkpointable = chance.percent(50);
                if chance.percent(20) {
                    spec.per_worker_limit = Some(2);
                }
                if chance.percent(20) {
                    spec.preferred_rack = Some("rack-1".to_owned());
                }
                spec
            })
            .collect()
    }
}

impl FakeWorker {
    /// The report that the worker would send now.
    pub(crate) fn describe_now(&mut self, now: MonotonicTime) -> WorkerReport {
        self.describe(now, |_| 40)
    }
}

impl FakeFleet {
    /// Describes the tasks that are left, for a failed assertion.
    pub(crate) fn leftovers(&self) -> String {
        let mut text = String::new();
        for (id, job) in self.state.active_jobs().take(3) {
            text.extend([format!("\n{id} {:?} sequence {}", job.status, job.sequence)]);
            for (number, step) in job.occurrences[0].steps.iter().enumerate() {
                let spec = &job.submission.spec.steps[number];
                text.extend([format!(
                    "\n  step {number}: waiting {} done {} gang {} filling {} after {:?} limit {:?} size {} tasks {:?}",
                    step.waiting,
                    step.done,
                    spec.gang,
                    spec.filling,
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
                "\n{} born {} runs {:?} unacknowledged {} record {:?}",
                worker.id,
                worker.born,
                worker.runs.keys().map(ToString::to_string).collect::<Vec<_>>(),
                worker.ended.len(),
                record.map(|record| (
                    record.incarnation,
                    record.settled,
                    record.committed,
                    record.runs.iter().map(|(task, entry)| format!("{task}/{}", entry.run)).collect::<Vec<_>>()
                ))
            )]);
        }
        text
    }
}
