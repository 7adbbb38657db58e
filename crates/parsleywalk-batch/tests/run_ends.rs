//! Stateful test of run ends against a reference model: jobs of every kind, whose tasks and workers fail in every way.
//! Commands take effect later than they are decided or are refused, and reports arrive late, also after their workers have
//! announced their exit or started again.
//!
//! The model knows what workers did and what was acknowledged to them, and nothing of how ends are recorded. It says which
//! states of a job may be shown:
//!
//! - A long-running task is started again however it ends, until its job is cancelled.
//! - A job is completed if each of its tasks has ended as done. One such end stands for all members of a gang.
//! - A job is failed if one of its tasks, or a gang as a whole, has failed as often as its queue permits
//!   before it was done. A run of a gang fails once, however many members do.
//! - A job is pending until a task of it has started, and not after an end of a run was acknowledged, whoever leads.
//! - A task whose end as done was acknowledged is done, or its job is final; the fleet checks this.
//! - A sound job has a task running within 3 s while healthy workers are free, whatever other jobs do.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_batch::{
    BatchState, JobId, JobSchedule, JobSpec, JobStatus, JobSubmission, RunNumber, RunOutcome, StepSpec, TaskKey,
};
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{FakeFleet, STEP_DURATION, step, submission};

const WORKERS: usize = 6;
/// Callers consider a job stuck that has had nothing running for this long while there is capacity for it.
const STUCK_AFTER: Duration = Duration::from_secs(3);
/// Callers consider a long-running task stuck that does not run this long after its last run.
const LONG_RUNNING_STUCK_AFTER: Duration = Duration::from_secs(9);
/// The longest time in milliseconds until a report arrives.
const LONGEST_DELAY_MS: u64 = 300;
/// The ids of sound jobs start here.
const FIRST_SOUND_JOB: u64 = 1_000;

/// The kind of step that a job has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    Plain,
    Speculative,
    LongRunning,
    Gang,
    LongRunningGang,
    Scheduled,
}

/// A job as the caller knows it.
#[derive(Debug, Clone)]
struct ModelJob {
    id: u64,
    kind: StepKind,
    tasks: u32,
    attempt_limit: u16,
    payload: &'static str,
}

impl ModelJob {
    fn is_gang(&self) -> bool {
        matches!(self.kind, StepKind::Gang | StepKind::LongRunningGang)
    }

    fn is_long_running(&self) -> bool {
        matches!(self.kind, StepKind::LongRunning | StepKind::LongRunningGang)
    }

    fn occurrences(&self) -> u32 {
        if self.kind == StepKind::Scheduled { 2 } else { 1 }
    }

    fn submission(&self) -> JobSubmission {
        let spec = StepSpec {
            gang: self.is_gang(),
            long_running: self.is_long_running(),
            speculative: self.kind == StepKind::Speculative,
            size: ResourceSize::new(MilliCores::new(50), MemoryBytes::new(1_000_000)),
            ..step(self.tasks, 1, 600)
        };
        let schedule = JobSchedule { first_unix_ms: 0, interval_ms: 500, occurrences: self.occurrences() };
        let spec = JobSpec {
            payload: self.payload.to_owned(),
            steps: vec![spec],
            schedule: (self.kind == StepKind::Scheduled).then_some(schedule),
        };
        JobSubmission { spec, attempt_limit: self.attempt_limit, ..submission(self.id, 0, Vec::new()) }
    }
}

/// What happens to the fleet.
#[derive(Debug, Clone)]
enum Transition {
    Submit(ModelJob),
    /// A sound job comes, which must start.
    SubmitSound,
    Cancel(usize),
    Advance(u64),
    /// A run, picked by a number, ends.
    EndRun(usize, RunOutcome),
    /// A worker is cut off, or can be reached again.
    Cut(usize, bool),
    /// A run, picked by a number, ends on a worker that is cut off until it is declared lost, and some steps more. The
    /// leader may change meanwhile.
    EndRunWhileCut(usize, RunOutcome, bool, usize),
    /// A worker crashes and starts again.
    Crash(usize),
    /// A worker fails all that it starts, or works again.
    Fail(usize, bool),
    /// A worker refuses all start orders, or works again.
    Refuse(usize, bool),
    /// The share of responses that are lost, in percent.
    LoseResponses(u64),
    /// The longest times in milliseconds until commands are applied and until reports arrive, and the share of commands
    /// that are refused, in percent.
    Delay(u64, u64, u64),
    /// A worker is about to exit and takes no new runs.
    Drain(usize),
    /// A worker announces its exit, with its incarnation or without it, and exits right after its last report.
    Depart(usize, bool),
    /// The worker that has exited starts again under its id.
    Return(usize),
    ChangeLeader,
    /// The state is taken from a snapshot of it.
    Restore,
}

/// The state from which transitions are generated.
#[derive(Debug, Clone, Default)]
struct ModelState {
    jobs: Vec<ModelJob>,
    cut: Option<usize>,
    failing: Option<usize>,
    refusing: Option<usize>,
    leaving: Option<usize>,
}

impl ReferenceStateMachine for ModelState {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let id = state.jobs.len() as u64 + 1;
        let kinds = prop::sample::select(vec![
            StepKind::Plain,
            StepKind::Speculative,
            StepKind::LongRunning,
            StepKind::Gang,
            StepKind::LongRunningGang,
            StepKind::LongRunningGang,
            StepKind::Scheduled,
        ]);
        let payloads = prop::sample::select(vec![
            "works",
            "works",
            "fails 200",
            "all-fail 150",
            "completes 300",
            "hangs",
            "refused",
        ]);
        let submit = (kinds, 1..6_u32, 1..4_u16, payloads).prop_map(move |(kind, tasks, attempt_limit, payload)| {
            Transition::Submit(ModelJob { id, kind, tasks, attempt_limit, payload })
        });
        let outcomes = prop::sample::select(vec![RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Done]);
        prop_oneof![
            3 => submit,
            2 => Just(Transition::SubmitSound),
            1 => any::<usize>().prop_map(Transition::Cancel),
            6 => (100..3_000_u64).prop_map(Transition::Advance),
            6 => (any::<usize>(), outcomes).prop_map(|(run, outcome)| Transition::EndRun(run, outcome)),
            1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, cut)| Transition::Cut(worker, cut)),
            2 => (any::<usize>(), prop::sample::select(vec![RunOutcome::Done, RunOutcome::Done, RunOutcome::Failed]),
                any::<bool>(), 0..8_usize).prop_map(|(run, outcome, leader_changes, steps)| {
                Transition::EndRunWhileCut(run, outcome, leader_changes, steps)
            }),
            1 => (0..WORKERS).prop_map(Transition::Crash),
            1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, fails)| Transition::Fail(worker, fails)),
            1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, refuses)| Transition::Refuse(worker, refuses)),
            1 => prop::sample::select(vec![0, 0, 10, 40]).prop_map(Transition::LoseResponses),
            1 => prop::sample::select(vec![(0, 0, 0), (150, 0, 0), (200, 100, 5), (50, LONGEST_DELAY_MS, 0)])
                .prop_map(|(commit, report, refused)| Transition::Delay(commit, report, refused)),
            1 => (0..WORKERS).prop_map(Transition::Drain),
            2 => (0..WORKERS, any::<bool>()).prop_map(|(worker, numbered)| Transition::Depart(worker, numbered)),
            1 => (0..WORKERS).prop_map(Transition::Return),
            1 => Just(Transition::ChangeLeader),
            1 => Just(Transition::Restore),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Submit(job) => state.jobs.push(job.clone()),
            Transition::Cut(worker, cut) => state.cut = cut.then_some(*worker),
            Transition::Fail(worker, fails) => state.failing = fails.then_some(*worker),
            Transition::Refuse(worker, refuses) => state.refusing = refuses.then_some(*worker),
            Transition::Drain(worker) | Transition::Depart(worker, _) => state.leaving = Some(*worker),
            Transition::Return(_) => state.leaving = None,
            _ => {}
        }
        state
    }

    /// At most one worker is cut off, one fails its runs, one refuses them and one leaves, so that there are healthy ones.
    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Submit(job) => state.jobs.iter().all(|known| known.id != job.id),
            Transition::EndRunWhileCut(..) => state.cut.is_none(),
            Transition::Cut(worker, true) => state.cut.is_none_or(|known| known == *worker),
            Transition::Fail(worker, true) => state.failing.is_none_or(|known| known == *worker),
            Transition::Refuse(worker, true) => state.refusing.is_none_or(|known| known == *worker),
            Transition::Drain(worker) => state.leaving.is_none_or(|known| known == *worker),
            Transition::Depart(worker, _) | Transition::Return(worker) => state.leaving == Some(*worker),
            _ => true,
        }
    }
}

/// The simulated fleet, and what the oracle knows besides.
struct FleetUnderTest {
    fleet: FakeFleet,
    jobs: BTreeMap<JobId, ModelJob>,
    cancelled: BTreeSet<JobId>,
    sound_jobs: u64,
    leader_changes: usize,
}

/// The ends of a job's runs on all workers.
#[derive(Debug, Default)]
struct JobEnds {
    /// The runs that failed, by task, or by step for a gang.
    failed: BTreeMap<TaskKey, BTreeSet<RunNumber>>,
    /// Those of them whose ends were acknowledged, to a worker that no fault kept from reporting.
    acknowledged: BTreeMap<TaskKey, BTreeSet<RunNumber>>,
    done: BTreeSet<TaskKey>,
}

impl FleetUnderTest {
    fn ends(&self, job: &ModelJob) -> JobEnds {
        let mut ends = JobEnds::default();
        for worker in &self.fleet.workers {
            for (incarnation, end) in worker.history.iter().filter(|(_, end)| end.task.job == JobId::new(job.id)) {
                let key = if job.is_gang() { TaskKey { index: 0, ..end.task } } else { end.task };
                match end.outcome {
                    RunOutcome::Failed => {
                        ends.failed.entry(key).or_default().insert(end.run);
                        if worker.acknowledged.contains(&(*incarnation, end.number)) && !worker.was_cut {
                            ends.acknowledged.entry(key).or_default().insert(end.run);
                        }
                    }
                    RunOutcome::Done => {
                        ends.done.insert(key);
                    }
                    _ => {}
                }
            }
        }
        ends
    }

    fn check_job(&self, job: &ModelJob, status: JobStatus) {
        let id = JobId::new(job.id);
        if self.cancelled.contains(&id) {
            let is_final = status.is_final() || !self.fleet.transit.is_instant();
            assert!(is_final, "{job:?} was cancelled and is {status:?}");
            return;
        }
        if job.is_long_running() {
            assert!(matches!(status, JobStatus::Pending | JobStatus::Running), "{job:?} is {status:?}");
            return;
        }
        let mut ends = self.ends(job);
        // The completion of an earlier run may be recorded before the end of a newer one, which then costs nothing.
        let record = self.fleet.state.job(id);
        ends.acknowledged.retain(|task, _| !record.and_then(|record| record.task(task)).is_some_and(|task| task.done));
        let limit = usize::from(job.attempt_limit);
        let reaches = |failed: &BTreeMap<TaskKey, BTreeSet<RunNumber>>, limit: usize| {
            failed.values().any(|runs| runs.len() >= limit)
        };
        match status {
            JobStatus::Failed => {
                assert!(reaches(&ends.failed, limit), "{job:?} is shown as failed after {:?}", ends.failed);
            }
            JobStatus::Completed => {
                let members = if job.is_gang() { 1 } else { job.tasks };
                let tasks = (members * job.occurrences()) as usize;
                assert_eq!(ends.done.len(), tasks, "{job:?} is shown as completed");
            }
            // A new leader may not know that a member's failure is recorded, and permit the gang one run more.
            _ if job.is_gang() && self.leader_changes > 0 => {
                assert!(!reaches(&ends.acknowledged, limit + self.leader_changes), "{job:?}: {:?}", ends.acknowledged);
            }
            _ => assert!(!reaches(&ends.acknowledged, limit), "{job:?} goes on after {:?}", ends.acknowledged),
        }
    }

    /// Checks that the job is shown as pending until a task of it has started, and not after the leader has heard of that.
    fn check_begun(&self, id: JobId) {
        let fleet = &self.fleet;
        let record = fleet.state.job(id).expect("the job is stored");
        let shown = fleet.dispatcher.status(fleet.now, &fleet.state, id, record);
        let is_heard = fleet.workers.iter().any(|worker| {
            let ends =
                worker.history.iter().filter(|(_, end)| end.task.job == id && end.outcome != RunOutcome::Refused);
            ends.into_iter().any(|(incarnation, end)| worker.acknowledged.contains(&(*incarnation, end.number)))
        });
        assert!(!is_heard || shown != JobStatus::Pending, "{id} is shown as pending although it has begun");
        // A new leader takes runs of which it knows nothing for begun.
        let has_started = self.leader_changes > 0 || fleet.started.iter().any(|(task, _)| task.job == id);
        assert!(has_started || shown != JobStatus::Running, "{id} is shown as running and has not begun");
    }

    /// Repeats the cancels that have had no effect, as callers do.
    fn repeat_cancels(&mut self) {
        for id in self.cancelled.clone() {
            if self.fleet.status(id).is_some_and(|status| !status.is_final()) {
                self.fleet.cancel(id);
            }
        }
    }

    /// Starts a worker again that has exited or is about to.
    fn start_again(&mut self, index: usize) {
        if self.fleet.workers[index].up {
            self.fleet.crash(index);
            self.fleet.workers[index].was_cut = true;
        } else {
            self.fleet.workers[index].restart();
            self.fleet.workers[index].up = true;
        }
    }

    /// Submits a sound job and checks that it starts in time.
    fn submit_sound_job(&mut self) {
        // The job may be placed on a worker that has just been cut off, until the leader takes it for unresponsive.
        if self.fleet.workers.iter().any(|worker| worker.partitioned || !worker.up) {
            let last_report = Duration::from_millis(LONGEST_DELAY_MS) + STEP_DURATION * 2;
            self.fleet.run_for(self.fleet.settings.worker_timeout + last_report);
        }
        self.sound_jobs += 1;
        let spec =
            StepSpec { size: ResourceSize::new(MilliCores::new(50), MemoryBytes::new(1_000_000)), ..step(2, 1, 300) };
        let job = self.fleet.submit(submission(FIRST_SOUND_JOB + self.sound_jobs, 0, vec![spec]));
        let submitted = self.fleet.now;
        while self.fleet.started.iter().all(|(task, _)| task.job != job) {
            assert!(
                self.fleet.now.since(submitted) < STUCK_AFTER,
                "a sound job does not start: {}",
                self.fleet.describe_unfinished()
            );
            self.fleet.step();
        }
    }

    /// Returns a run, picked by a number among those in progress, with the index of its worker.
    fn pick_run(&self, pick: usize) -> Option<(usize, TaskKey)> {
        let workers = self.fleet.workers.iter().enumerate();
        let runs = workers.flat_map(|(index, worker)| worker.runs.keys().map(move |task| (index, *task)));
        // A member of a gang ends after all of its run have started.
        let is_complete = |task: &TaskKey| {
            let (_, spec) = self.fleet.state.step_of(task).expect("known");
            let members = self.fleet.workers.iter().flat_map(|worker| worker.runs.keys());
            !spec.gang || members.filter(|other| other.same_step(task)).count() == spec.count as usize
        };
        let runs: Vec<(usize, TaskKey)> = runs.filter(|(_, task)| is_complete(task)).collect();
        runs.get(pick % runs.len().max(1)).copied()
    }
}

impl StateMachineTest for FleetUnderTest {
    type SystemUnderTest = Self;
    type Reference = ModelState;

    fn init_test(_: &ModelState) -> Self {
        let mut fleet = FakeFleet::new(WORKERS, 1);
        fleet.run_for(Duration::from_secs(1));
        Self { fleet, jobs: BTreeMap::new(), cancelled: BTreeSet::new(), sound_jobs: 0, leader_changes: 0 }
    }

    fn apply(mut test: Self, _: &ModelState, transition: Transition) -> Self {
        match transition {
            Transition::Submit(job) => {
                let id = test.fleet.submit(job.submission());
                test.jobs.insert(id, job);
            }
            Transition::SubmitSound => test.submit_sound_job(),
            Transition::Cancel(pick) => {
                if let Some(id) = test.jobs.keys().nth(pick % test.jobs.len().max(1)).copied() {
                    test.cancelled.insert(id);
                    test.fleet.cancel(id);
                }
            }
            Transition::Advance(milliseconds) => test.fleet.run_for(Duration::from_millis(milliseconds)),
            Transition::EndRun(pick, outcome) => {
                if let Some((index, task)) = test.pick_run(pick) {
                    test.fleet.end_run(index, task, outcome);
                }
            }
            Transition::EndRunWhileCut(pick, outcome, leader_changes, steps) => {
                test.leader_changes += usize::from(leader_changes);
                if let Some(run) = test.pick_run(pick) {
                    test.fleet.end_run_while_cut(run, outcome, leader_changes, steps);
                }
            }
            Transition::Cut(worker, cut) => {
                for (index, known) in test.fleet.workers.iter_mut().enumerate() {
                    known.partitioned = cut && index == worker;
                    known.was_cut |= known.partitioned;
                }
            }
            Transition::Crash(worker) => {
                test.fleet.crash(worker);
                test.fleet.workers[worker].was_cut = true;
            }
            Transition::Fail(worker, fails) => {
                for (index, known) in test.fleet.workers.iter_mut().enumerate() {
                    known.fails_starts = fails && index == worker;
                }
            }
            Transition::Refuse(worker, refuses) => {
                for (index, known) in test.fleet.workers.iter_mut().enumerate() {
                    known.refuses_starts = refuses && index == worker;
                }
            }
            Transition::LoseResponses(percent) => test.fleet.response_loss_percent = percent,
            Transition::Delay(commit_ms, report_ms, refused_percent) => {
                let transit = &mut test.fleet.transit;
                transit.commit_delay = Duration::from_millis(commit_ms);
                transit.report_delay = Duration::from_millis(report_ms);
                transit.refused_percent = refused_percent;
            }
            Transition::Drain(worker) => test.fleet.workers[worker].draining = test.fleet.workers[worker].up,
            Transition::Depart(worker, is_numbered) => {
                if test.fleet.workers[worker].up {
                    test.fleet.depart(worker, is_numbered);
                }
            }
            Transition::Return(worker) => test.start_again(worker),
            Transition::ChangeLeader => {
                test.leader_changes += 1;
                test.fleet.change_leader();
            }
            Transition::Restore => {
                test.fleet.state = BatchState::decode(&test.fleet.state.encode()).expect("a snapshot");
            }
        }
        test.repeat_cancels();
        test
    }

    fn check_invariants(test: &Self, _: &ModelState) {
        for (id, job) in &test.jobs {
            let status = test.fleet.status(*id).expect("the job is stored");
            test.check_job(job, status);
            test.check_begun(*id);
        }
    }

    /// Once all faults are over, jobs that can end do, and every long-running task is running or was a moment ago.
    fn teardown(mut test: Self, _: ModelState) {
        test.fleet.response_loss_percent = 0;
        test.fleet.transit.set_instant();
        test.repeat_cancels();
        for index in 0..WORKERS {
            if !test.fleet.workers[index].up || test.fleet.workers[index].draining {
                test.start_again(index);
            }
        }
        for worker in &mut test.fleet.workers {
            (worker.partitioned, worker.fails_starts, worker.refuses_starts) = (false, false, false);
        }
        test.fleet.run_for(Duration::from_secs(25));
        let mut idle = BTreeMap::new();
        let active: Vec<(JobId, ModelJob)> = test.jobs.iter().map(|(id, job)| (*id, job.clone())).collect();
        for _ in 0..300 {
            test.fleet.step();
            for (id, job) in active.iter().filter(|(id, job)| job.is_long_running() && !test.cancelled.contains(id)) {
                for index in 0..job.tasks {
                    let task = TaskKey { job: *id, occurrence: 0, step: 0, index };
                    if job.payload == "refused" {
                        continue;
                    }
                    if test.fleet.workers.iter().any(|worker| worker.runs.contains_key(&task)) {
                        idle.remove(&task);
                    } else {
                        let since = *idle.entry(task).or_insert(test.fleet.now);
                        let waited = test.fleet.now.since(since);
                        assert!(waited < LONG_RUNNING_STUCK_AFTER, "{job:?}: {task} has not run for {waited:?}");
                    }
                }
            }
        }
        for (id, job) in &active {
            let status = test.fleet.status(*id).expect("the job is stored");
            test.check_job(job, status);
            if !job.is_long_running() && !matches!(job.payload, "hangs" | "refused") {
                assert!(status.is_final(), "{job:?} has not ended: {}", test.fleet.describe_unfinished());
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("RUN_END_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(512),
        max_shrink_iters: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(
            std::env::var("RUN_END_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1),
        ),
        ..ProptestConfig::default()
    })]

    /// Guards against ends of runs that mean something else to the leader than to the worker that listed them.
    #[test]
    fn run_ends_mean_what_workers_list(sequential 10..40 => FleetUnderTest);
}
