//! A simulated leader with fake workers, and an oracle that checks the workers' runs.

#![allow(dead_code, reason = "each test uses a part")]
#![allow(clippy::struct_excessive_bools, reason = "each fault is switched by itself")]

mod describe;
pub(crate) mod plays;
pub(crate) mod racks;
pub(crate) mod random_steps;
mod transit;
mod worker;
pub(crate) mod workspaces;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, FencingToken, JobId, JobRefusal, JobSpec, JobStatus,
    JobSubmission, RunEnd, RunNumber, RunOutcome, RunPlacement, StepSpec, TaskKey,
};
use parsleywalk_units::{
    Incarnation, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, WorkerId, WorkspaceName, ZoneDirection, ZoneName,
};

use transit::{EntryWaiter, SentReport, Transit};
pub(crate) use worker::FakeWorker;
use worker::{Behavior, FakeRun};

/// The simulated duration of one step.
pub(crate) const STEP_DURATION: Duration = Duration::from_millis(50);
/// How long the members of a gang wait for the others, in milliseconds.
const GANG_TIMEOUT_MS: f64 = 3000.0;
/// How long a worker waits from the response to a report, or its failure, to the next report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a worker waits for the response to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A seeded xorshift generator, so that a seed reproduces a run.
pub(crate) struct TestRng(u64);

impl TestRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub(crate) fn next_below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.next_below(100) < percent
    }
}

/// The leader, the workers and the state of the oracle.
pub(crate) struct FakeFleet {
    pub(crate) now: MonotonicTime,
    pub(crate) state: BatchState,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) rng: TestRng,
    pub(crate) settings: DispatchSettings,
    term: u64,
    pub(crate) transit: Transit,
    /// The incarnation and sequence number of the newest report of each worker that the leader has handled.
    newest: BTreeMap<WorkerId, (Incarnation, u64)>,
    /// The runs that scheduling cycles have placed.
    planned: BTreeSet<(TaskKey, RunNumber, WorkerId)>,
    /// The share of reports that the leader handles in time, in percent. Workers give up on the others after
    /// [`REPORT_TIMEOUT`].
    pub(crate) handled_percent: u64,
    /// The probability that a response is lost, in percent.
    pub(crate) response_loss_percent: u64,
    /// The tail latency of a latency-critical task in milliseconds, as a function of the share of cores that
    /// best-effort tasks use.
    pub(crate) tail_latency_ms: fn(f64) -> u32,
    /// The runs of gangs of which all members have been present, by the step's first task.
    complete_gangs: BTreeSet<(TaskKey, RunNumber)>,
    /// Tasks with a recorded completion.
    done: BTreeMap<TaskKey, RunNumber>,
    out_since: BTreeMap<ZoneName, MonotonicTime>,
    pub(crate) starts: u64,
    /// The started runs in order.
    pub(crate) started: Vec<(TaskKey, RunNumber)>,
    /// The number of commands that were applied.
    pub(crate) commands: u64,
    /// The largest size of the payloads and checkpoints of the start orders in one response.
    pub(crate) largest_starts: usize,
    pub(crate) ended_at: BTreeMap<JobId, MonotonicTime>,
    /// The longest time for which a latency-critical task has missed its objective without interruption.
    pub(crate) longest_violation: Duration,
    violated_since: BTreeMap<TaskKey, MonotonicTime>,
    /// The durations in milliseconds of the tasks of steps whose estimates are wrong.
    pub(crate) true_ms: BTreeMap<(JobId, u16), f64>,
    /// How many times as long a run takes away from the rack of its data, or beside runs of its rack-local step on another
    /// rack.
    pub(crate) far_x: f64,
    /// The number of starts of such runs.
    pub(crate) far_starts: u64,
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
            rng: TestRng::new(seed),
            settings,
            term: 1,
            transit: Transit::default(),
            newest: BTreeMap::new(),
            planned: BTreeSet::new(),
            handled_percent: 100,
            response_loss_percent: 0,
            tail_latency_ms: |_| 40,
            complete_gangs: BTreeSet::new(),
            done: BTreeMap::new(),
            out_since: BTreeMap::new(),
            starts: 0,
            started: Vec::new(),
            commands: 0,
            largest_starts: 0,
            ended_at: BTreeMap::new(),
            longest_violation: Duration::ZERO,
            violated_since: BTreeMap::new(),
            true_ms: BTreeMap::new(),
            far_x: 1.0,
            far_starts: 0,
        }
    }

    /// Creates a fleet whose leader refuses no short jobs, for tests that submit more than the workers get through.
    pub(crate) fn without_refusals(workers: usize, seed: u64) -> Self {
        let mut fleet = Self::new(workers, seed);
        fleet.settings.refusal_multiple = f32::INFINITY;
        fleet.change_leader();
        fleet
    }

    pub(crate) fn submit(&mut self, mut submission: JobSubmission) -> JobId {
        let job = submission.job;
        submission.accepted_unix_ms = self.unix_ms();
        self.commit_entries(MonotonicTime::NEVER);
        self.apply(&BatchCommand::Submit(Box::new(submission)));
        job
    }

    /// Submits a job of a workspace, which counts against its rate.
    pub(crate) fn submit_owned(&mut self, submission: JobSubmission, workspace: &WorkspaceName) -> JobId {
        let job = submission.job;
        assert_eq!(self.offer_owned(submission, workspace), None);
        job
    }

    /// Submits a job of a workspace unless admission control refuses it.
    pub(crate) fn offer_owned(
        &mut self,
        mut submission: JobSubmission,
        workspace: &WorkspaceName,
    ) -> Option<JobRefusal> {
        submission.accepted_unix_ms = self.unix_ms();
        let refusal = self.dispatcher.admit_owned(self.now, &self.state, &submission, workspace);
        if refusal.is_none() {
            let (submission, workspace) = (Box::new(submission), workspace.clone());
            self.apply(&BatchCommand::SubmitOwned { submission, workspace });
        }
        refusal
    }

    /// Submits a job through admission control, which may refuse it.
    pub(crate) fn try_submit(&mut self, submission: JobSubmission) -> Option<JobId> {
        let job = submission.job;
        self.offer(submission).is_none().then_some(job)
    }

    /// Submits a job unless admission control refuses it.
    pub(crate) fn offer(&mut self, submission: JobSubmission) -> Option<JobRefusal> {
        let refusal = self.dispatcher.admit(self.now, &self.state, &submission);
        if refusal.is_none() {
            self.submit(submission);
        }
        refusal
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        self.propose(vec![BatchCommand::Cancel { job }], EntryWaiter::Caller);
    }

    pub(crate) fn set_zone(&mut self, zone: &str, direction: ZoneDirection) {
        let zone: ZoneName = zone.parse().expect("a zone");
        self.propose(vec![BatchCommand::SetZone { zone, direction }], EntryWaiter::Caller);
    }

    /// Replaces the leader by one that knows only the replicated state.
    pub(crate) fn change_leader(&mut self) {
        for commands in self.transit.lose_entries(&mut self.rng) {
            for command in &commands {
                self.apply(command);
            }
        }
        self.term += 1;
        self.newest.clear();
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
            let is_done = |end: &&RunEnd| {
                let long_running = self.state.step_of(&end.task).is_some_and(|(_, step)| step.long_running);
                end.outcome == RunOutcome::Done && !long_running
            };
            for end in ends.iter().filter(is_done) {
                let committed = self
                    .state
                    .workers()
                    .any(|(_, record)| record.runs.get(&end.task).is_some_and(|entry| entry.run == end.run));
                if committed {
                    self.done.insert(end.task, end.run);
                }
            }
        }
        // An order that is lost on its way is not acknowledged.
        match command {
            BatchCommand::SetZone { zone, direction: ZoneDirection::Out } => {
                self.out_since.entry(zone.clone()).or_insert(self.now);
            }
            BatchCommand::SetZone { zone, direction: ZoneDirection::In } => drop(self.out_since.remove(zone)),
            _ => {}
        }
        self.commands += 1;
        // Commands must survive the encoding used in the log.
        let bytes = parsleywalk_batch::encode_commands(std::slice::from_ref(command));
        let decoded = parsleywalk_batch::decode_commands(&bytes).expect("commands decode");
        self.state.apply(&decoded[0]);
    }

    /// Records runs that a leader has placed, so that workers may start them.
    pub(crate) fn record_planned(&mut self, runs: &[RunPlacement]) {
        self.planned.extend(runs.iter().map(|placed| (placed.task, placed.run, placed.worker.clone())));
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job is final and returns true, or returns false after `time`.
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
        self.now = self.now + STEP_DURATION;
        for index in 0..self.workers.len() {
            self.advance_worker(index);
        }
        self.commit_entries(self.now);
        self.receive_reports();
        if !self.transit.is_pending(EntryWaiter::Maintenance) {
            let commands = self.dispatcher.expire_leases(self.now, &self.state);
            if !commands.is_empty() {
                self.propose(commands, EntryWaiter::Maintenance);
            }
        }
        if !self.transit.is_pending(EntryWaiter::Plan) {
            let unix_ms = self.unix_ms();
            let runs = self.dispatcher.plan(self.now, unix_ms, &self.state);
            self.record_planned(&runs);
            if !runs.is_empty() {
                self.propose(vec![BatchCommand::Place { runs }], EntryWaiter::Plan);
            }
        }
        for index in 0..self.workers.len() {
            if !self.workers[index].up || self.workers[index].next_report > self.now {
                continue;
            }
            if self.handled_percent >= 100 || self.rng.chance(self.handled_percent) {
                self.report(index);
            } else {
                self.workers[index].next_report = self.now + REPORT_TIMEOUT;
            }
        }
        self.record_complete_gangs();
        self.check();
    }

    fn advance_worker(&mut self, index: usize) {
        let now = self.now;
        let (tail_latency_ms, far_x) = (self.tail_latency_ms, self.far_x);
        let worker = &mut self.workers[index];
        if !worker.up {
            return;
        }
        let mut broken = Vec::new();
        if now >= worker.lease_until && !worker.runs.is_empty() {
            broken = worker.gang_runs(RunOutcome::LeaseLapsed);
            worker.end_all(RunOutcome::LeaseLapsed);
        }
        let share = worker.best_effort_share();
        let critical: Vec<TaskKey> =
            worker.runs.iter().filter(|(_, run)| run.latency_critical).map(|(task, _)| *task).collect();
        for task in critical {
            if tail_latency_ms(share) > 150 {
                let since = *self.violated_since.entry(task).or_insert(now);
                self.longest_violation = self.longest_violation.max(now.since(since));
            } else {
                self.violated_since.remove(&task);
            }
        }
        let step_ms = STEP_DURATION.as_secs_f64() * 1000.0;
        let mut ended = Vec::new();
        for (task, run) in &mut worker.runs {
            run.age_ms += step_ms;
            let gang = (TaskKey { index: 0, ..*task }, run.run);
            if run.breaks_gang && run.age_ms >= GANG_TIMEOUT_MS && !self.complete_gangs.contains(&gang) {
                ended.push((*task, RunOutcome::GangIncomplete));
                continue;
            }
            match run.behavior {
                _ if worker.fails_starts => ended.push((*task, RunOutcome::Failed)),
                Behavior::Ends(outcome, after_ms) if run.age_ms >= after_ms => ended.push((*task, outcome)),
                Behavior::Works => {}
                Behavior::Ends(..) | Behavior::Hangs => continue,
            }
            if run.hung {
                continue;
            }
            let distance = if run.is_far { far_x } else { 1.0 };
            run.done_ms += step_ms * f64::from(run.rate) / 100.0 * worker.speed / distance;
            if !run.long_running && run.done_ms >= run.total_ms {
                ended.push((*task, if worker.fails_runs { RunOutcome::Failed } else { RunOutcome::Done }));
            }
        }
        for (task, outcome) in ended {
            if let Some(run) = worker.runs.get(&task).filter(|run| run.breaks_gang) {
                broken.push((task, run.run, outcome));
            }
            if outcome == RunOutcome::Failed {
                worker.failed_tasks.push(task);
            }
            worker.end(task, outcome);
        }
        for (task, run, outcome) in broken {
            self.break_gang(&task, run, outcome);
        }
    }

    /// Ends a run, and with it those of the other members of its gang.
    pub(crate) fn end_run(&mut self, index: usize, task: TaskKey, outcome: RunOutcome) {
        let Some(run) = self.workers[index].runs.get(&task).map(|run| run.run) else { return };
        let is_gang = self.state.step_of(&task).is_some_and(|(_, step)| step.gang);
        self.workers[index].end(task, outcome);
        if is_gang {
            self.break_gang(&task, run, outcome);
        }
    }

    /// Starts a worker again, as after a crash.
    pub(crate) fn crash(&mut self, index: usize) {
        let broken = self.workers[index].gang_runs(RunOutcome::LeaseLapsed);
        self.workers[index].restart();
        for (task, run, outcome) in broken {
            self.break_gang(&task, run, outcome);
        }
    }

    /// Ends the other members of a gang after one has ended. They complete together.
    fn break_gang(&mut self, ended: &TaskKey, run: RunNumber, outcome: RunOutcome) {
        let outcome = if outcome == RunOutcome::Done { RunOutcome::Done } else { RunOutcome::GangBroken };
        for worker in &mut self.workers {
            let others = worker.runs.iter().filter(|(task, other)| task.same_step(ended) && other.run == run);
            let others: Vec<TaskKey> = others.map(|(task, _)| *task).collect();
            for task in others {
                worker.end(task, outcome);
            }
        }
    }

    /// Answers a report if it is the newest one of its worker, which carries out the orders if it still waits.
    fn respond(&mut self, sent: SentReport) {
        let (now, index) = (self.now, sent.worker);
        let id = self.workers[index].id.clone();
        let response = self.dispatcher.build_response(&self.state, &id, sent.sequence);
        let worker = &mut self.workers[index];
        let waits = worker.up && worker.incarnation == sent.incarnation && now < sent.sent_at + REPORT_TIMEOUT;
        if !waits || worker.partitioned {
            return;
        }
        worker.next_report = worker.next_report.min(now + REPORT_INTERVAL);
        if self.rng.chance(self.response_loss_percent) {
            return;
        }
        let Some(orders) = response.orders else { return };
        if orders.fence < worker.fence {
            return;
        }
        worker.fence = orders.fence;
        worker.lease_until = worker.lease_until.max(sent.sent_at + orders.lease);
        for end in worker.ended.extract_if(.., |end| end.number <= orders.settled) {
            worker.acknowledged.insert((worker.incarnation, end.number));
            // The effect of a completion must not be lost: the task would run again.
            let is_recorded = end.outcome != RunOutcome::Done || !self.state.is_unfinished(&end.task);
            let long_running = self.state.step_of(&end.task).is_some_and(|(_, step)| step.long_running);
            assert!(is_recorded || long_running, "the end of {} was acknowledged without effect", end.task);
        }
        let mut broken = Vec::new();
        for (task, run) in orders.stops {
            if let Some(known) = worker.runs.get(&task).filter(|known| known.run == run) {
                broken.extend(known.breaks_gang.then_some((task, run)));
                worker.end(task, RunOutcome::Stopped);
            }
            worker.last_runs.insert(task, run);
        }
        for (task, run, rate) in orders.rates {
            if let Some(known) = worker.runs.get_mut(&task).filter(|known| known.run == run) {
                known.rate = rate;
            }
        }
        for (task, run) in broken {
            self.break_gang(&task, run, RunOutcome::Stopped);
        }
        let bytes = orders.starts.iter().map(|order| order.payload.len() + order.saved.len()).sum();
        self.largest_starts = self.largest_starts.max(bytes);
        for order in orders.starts {
            let Some((job, spec)) = self.state.step_of(&order.task) else { continue };
            assert_eq!(order.payload, job.submission.spec.payload, "the order carries the job's payload");
            let spec = spec.clone();
            let worker = &mut self.workers[index];
            let already_ended = worker.last_runs.get(&order.task).is_some_and(|last_run| *last_run >= order.run);
            if already_ended || worker.runs.contains_key(&order.task) {
                continue;
            }
            if worker.refuses_starts || order.payload == "refused" {
                worker.refuse(order.task, order.run);
                continue;
            }
            if let Some(since) = self.out_since.get(&worker.zone) {
                assert!(now.since(*since) < Duration::from_secs(2), "{} starts in a zone out of service", order.task);
            }
            assert!(!self.done.contains_key(&order.task), "{} starts after it was done", order.task);
            let true_ms = self.true_ms.get(&(order.task.job, order.task.step)).copied();
            // Other placements do not go by the worker's free capacity.
            let is_planned = self.planned.contains(&(order.task, order.run, worker.id.clone()));
            assert!(is_planned, "{} starts without having been planned", order.task);
            let is_far = self.is_far(index, &order.task);
            let worker = &mut self.workers[index];
            self.starts += 1;
            self.started.push((order.task, order.run));
            worker.runs.insert(
                order.task,
                FakeRun {
                    run: order.run,
                    behavior: Behavior::of(&order.payload, order.task.index),
                    age_ms: 0.0,
                    breaks_gang: spec.gang && !order.payload.starts_with("all-fail"),
                    size: spec.size,
                    is_far,
                    done_ms: order.saved.parse().unwrap_or(0.0),
                    total_ms: true_ms.unwrap_or(spec.estimate.as_secs_f64() * 1000.0),
                    rate: 100,
                    long_running: spec.long_running,
                    best_effort: spec.best_effort,
                    latency_critical: spec.tail_objective.is_some(),
                    hung: worker.hung,
                    resumable: spec.checkpointable,
                },
            );
        }
    }

    /// Returns true if a new run is away from its rack. The other runs of a rack-local step are then slower as well.
    fn is_far(&mut self, index: usize, task: &TaskKey) -> bool {
        let Some((_, spec)) = self.state.step_of(task) else { return false };
        let rack = self.workers[index].rack.clone();
        let mut is_far = spec.preferred_rack.as_ref().is_some_and(|preferred| *preferred != rack);
        if spec.rack_local {
            let is_other =
                |worker: &FakeWorker| worker.rack != rack && worker.runs.keys().any(|run| run.same_step(task));
            is_far |= self.workers.iter().any(is_other);
            let runs = self.workers.iter_mut().flat_map(|worker| &mut worker.runs);
            runs.filter(|(run, _)| is_far && run.same_step(task)).for_each(|(_, run)| run.is_far = true);
        }
        self.far_starts += u64::from(is_far);
        is_far
    }

    /// Records the gangs of which all members are present.
    fn record_complete_gangs(&mut self) {
        let mut present: BTreeMap<(TaskKey, RunNumber), u32> = BTreeMap::new();
        for worker in &self.workers {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.breaks_gang) {
                *present.entry((TaskKey { index: 0, ..*task }, run.run)).or_default() += 1;
            }
        }
        for (gang, members) in present {
            if self.state.step_of(&gang.0).is_some_and(|(_, step)| step.count == members) {
                self.complete_gangs.insert(gang);
            }
        }
    }

    /// Checks the invariants that must hold after every step.
    fn check(&mut self) {
        let mut running_on: BTreeMap<TaskKey, &WorkerId> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.up) {
            let mut used = ResourceSize::default();
            for (task, run) in &worker.runs {
                let allocated =
                    if run.best_effort { ResourceSize { cores: MilliCores::default(), ..run.size } } else { run.size };
                used = used.checked_add(&allocated).expect("no overflow");
                if let Some(other) = running_on.insert(*task, &worker.id) {
                    let speculative = self.state.step_of(task).is_some_and(|(_, step)| step.speculative);
                    assert!(speculative, "{task} runs on {other} and on {}", worker.id);
                }
            }
            assert!(used.fits_within(&worker.capacity), "{} has more allocated than its capacity", worker.id);
        }
        let ended: Vec<JobId> = self.state.ended_jobs().map(|(job, _)| job).collect();
        for job in ended {
            self.ended_at.entry(job).or_insert(self.now);
        }
    }
}
