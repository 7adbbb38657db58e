//! Tests of the limits of workspaces and of the order in which workspaces are served.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use parsleywalk_batch::{JobId, JobRecord, RunNumber, StepSpec, TaskKey};
use parsleywalk_units::{ResourceSize, WorkspaceName};
use rstest::rstest;
use support::random_steps::RandomSteps;
use support::workspaces::{share, workspace};
use support::{FakeFleet, FakeWorker, STEP_DURATION, TestRng, size, step, submission};

const NAMES: [&str; 3] = ["alpha", "beta", "gamma"];

/// What the placed runs of each workspace have allocated, counted from the workers' records and the jobs' owners.
#[derive(Default)]
struct LimitOracle {
    owners: BTreeMap<JobId, WorkspaceName>,
    limits: BTreeMap<WorkspaceName, u32>,
    placed: BTreeSet<(TaskKey, RunNumber)>,
}

impl LimitOracle {
    /// Sets random limits in cores and weights; 0 removes the workspace.
    fn configure(&mut self, fleet: &mut FakeFleet) {
        let mut cores = || 16 * u32::try_from(fleet.rng.next_below(6)).expect("small");
        let limits: Vec<(&str, u32, String)> = NAMES
            .map(|name| (name, cores()))
            .into_iter()
            .filter(|row| row.1 > 0)
            .map(|(name, cores)| (name, cores, format!("{cores}c/-/-")))
            .collect();
        let rows: Vec<(&str, u32, &str)> = limits.iter().map(|row| (row.0, row.1, row.2.as_str())).collect();
        share(fleet, &rows);
        self.limits = limits.iter().map(|row| (workspace(row.0), row.1 * 1000)).collect();
    }

    /// Checks that no workspace with a new run is beyond its limit.
    fn check(&mut self, fleet: &FakeFleet) {
        let mut allocated: BTreeMap<&WorkspaceName, (u32, bool)> = BTreeMap::new();
        let mut placed = BTreeSet::new();
        for (task, entry) in fleet.state.workers().flat_map(|(_, worker)| worker.runs.iter()) {
            placed.insert((*task, entry.run));
            let Some(owner) = self.owners.get(&task.job) else { continue };
            let (cores, is_new) = allocated.entry(owner).or_default();
            *cores += entry.size.cores.get();
            *is_new |= !self.placed.contains(&(*task, entry.run));
        }
        for (owner, (cores, is_new)) in allocated {
            let limit = self.limits.get(owner).copied().unwrap_or(u32::MAX);
            assert!(!is_new || cores <= limit, "{owner} starts a task and has {cores} of {limit} millicores");
        }
        self.placed = placed;
    }
}

/// Guards against starts beyond a limit under random submissions, ends, cancellations, losses, leader changes and
/// changes of the limits, and against work that never ends because of a limit that has been lifted.
#[rstest]
fn no_start_exceeds_a_limit(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = FakeFleet::without_refusals(9, seed);
    fleet.response_loss_percent = 5;
    let mut oracle = LimitOracle::default();
    oracle.configure(&mut fleet);
    for id in 1..=1000 {
        let index = usize::try_from(fleet.rng.next_below(9)).expect("small");
        match fleet.rng.next_below(60) {
            0..=14 => {
                let submission =
                    submission(id, u8::try_from(id % 3).expect("small"), RandomSteps::random(&mut fleet.rng));
                let job = if index < 7 {
                    oracle.owners.insert(submission.job, workspace(NAMES[index % 3]));
                    fleet.submit_owned(submission, &workspace(NAMES[index % 3]))
                } else {
                    fleet.submit(submission)
                };
                if fleet.rng.chance(10) {
                    fleet.cancel(job);
                }
            }
            15 => fleet.crash(index),
            16 => fleet.change_leader(),
            17 => fleet.workers[index].partitioned = !fleet.workers[index].partitioned,
            18 => oracle.configure(&mut fleet),
            _ => {}
        }
        fleet.step();
        oracle.check(&fleet);
    }
    fleet.response_loss_percent = 0;
    for worker in &mut fleet.workers {
        worker.partitioned = false;
    }
    share(&mut fleet, &[("alpha", 1, "-/-/-")]);
    assert!(fleet.run_until_done(Duration::from_mins(4)), "work never ends: {}", fleet.describe_unfinished());
}

/// Guards against an order or placements that change for deployments without workspaces: one account that owns all jobs,
/// by shares, and none must give the same starts.
#[rstest]
fn a_single_account_is_served_as_without_workspaces(#[values(1, 2, 3, 4)] seed: u64) {
    let starts = |has_workspaces: bool| {
        let mut fleet = FakeFleet::new(6, seed);
        if has_workspaces {
            share(&mut fleet, &[]);
        }
        let mut rng = TestRng::new(seed);
        for id in 1..=120 {
            let priority = u8::try_from(id % 3).expect("small");
            fleet.submit(submission(id, priority, RandomSteps::random(&mut rng)));
            fleet.run_for(Duration::from_millis(100));
        }
        fleet.run_for(Duration::from_secs(20));
        fleet.started
    };
    assert_eq!(starts(true), starts(false));
}

/// Guards against the cost of workspaces at their limits, which must not grow with what they have waiting: no worker is
/// ranked for it, and a cycle examines one step of each.
#[rstest]
fn a_workspace_at_its_limit_costs_one_look(#[values(4, 20)] jobs: u64) {
    const WORKSPACES: u64 = 45;
    const CYCLES: u32 = 10;
    let mut fleet = FakeFleet::new(4400, 1);
    let names: Vec<String> = (0..WORKSPACES).map(|index| format!("workspace-{index}")).collect();
    let rows: Vec<(&str, u32, &str)> = names.iter().map(|name| (name.as_str(), 100, "32c/-/-")).collect();
    share(&mut fleet, &rows);
    fleet.run_for(STEP_DURATION);
    for id in 0..WORKSPACES * jobs {
        let name = workspace(&names[usize::try_from(id % WORKSPACES).expect("small")]);
        fleet.submit_owned(submission(id, 1, vec![step(8, 4, 60_000)]), &name);
    }
    fleet.run_for(STEP_DURATION * 2);
    let (ranked, looks) = (fleet.dispatcher.ranked_workers(), fleet.dispatcher.limit_looks());
    fleet.run_for(STEP_DURATION * CYCLES);
    assert_eq!(fleet.dispatcher.ranked_workers(), ranked, "workers are ranked for work at its limit");
    assert_eq!(fleet.dispatcher.limit_looks() - looks, WORKSPACES * u64::from(CYCLES));
    for usage in fleet.dispatcher.workspace_usage(&fleet.state) {
        assert_eq!((usage.allocated.cores, usage.limit.cores), (size(32, 0).cores, Some(size(32, 0).cores)));
        let expected = usize::try_from(jobs - 1).expect("small");
        assert_eq!((usage.waiting_jobs, usage.limited_jobs), (expected, expected), "{}", usage.workspace);
    }
}

fn long_running(count: u32, cores: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(count, cores, 0) }
}

/// Returns what a workspace has allocated in cores.
fn cores(fleet: &FakeFleet, name: &str) -> u32 {
    let allocated: ResourceSize = fleet.state.workspace_allocation(&workspace(name));
    allocated.cores.get() / 1000
}

/// Guards against limits that hold up other workspaces: work at its limit must neither wait before others of a lower
/// priority nor have a worker reserved, so that the others can use every other core.
#[test]
fn work_at_its_limit_does_not_hold_up_others() {
    let mut fleet = FakeFleet::new(3, 1);
    share(&mut fleet, &[("alpha", 9, "16c/-/-"), ("beta", 1, "-/-/-")]);
    for id in 1..=40 {
        let steps = if id % 2 == 0 { vec![long_running(2, 8)] } else { vec![step(2, 8, 3000)] };
        fleet.submit_owned(submission(id, 0, steps), &workspace("alpha"));
    }
    fleet.run_for(Duration::from_secs(4));
    for id in 41..=50 {
        fleet.submit_owned(submission(id, 2, vec![step(4, 4, 60_000)]), &workspace("beta"));
    }
    fleet.run_for(Duration::from_secs(4));
    assert_eq!((cores(&fleet, "alpha"), cores(&fleet, "beta")), (16, 80));
}

/// Guards against shares that ignore weights, and against a workspace that can't use what others leave. Each task is
/// placed once although its step gets several turns.
#[rstest]
#[case::alone(1, 96, 1000, 0, 96)]
#[case::equal(1, 96, 1, 96, 48)]
#[case::weighted(3, 96, 1, 96, 72)]
#[case::modest(1, 96, 1, 12, 84)]
fn capacity_is_shared_by_weight(
    #[case] weight: u32,
    #[case] tasks: u32,
    #[case] other_weight: u32,
    #[case] other_tasks: u32,
    #[case] expected: u32,
) {
    let mut fleet = FakeFleet::new(3, 1);
    share(&mut fleet, &[("alpha", weight, "-/-/-"), ("beta", other_weight, "-/-/-")]);
    fleet.run_for(STEP_DURATION);
    fleet.submit_owned(submission(1, 1, vec![step(tasks, 1, 60_000)]), &workspace("alpha"));
    if other_tasks > 0 {
        fleet.submit_owned(submission(2, 1, vec![step(other_tasks, 1, 60_000)]), &workspace("beta"));
    }
    fleet.run_for(STEP_DURATION * 4);
    assert!(cores(&fleet, "alpha").abs_diff(expected) <= 1, "{} cores are allocated", cores(&fleet, "alpha"));
    assert_eq!(cores(&fleet, "alpha") + cores(&fleet, "beta"), 96);
}

/// Guards against treating a job that has waited for its limit as one that has waited for workers: it would be started at
/// once on a worker where it makes a latency-critical task miss its objective.
#[test]
fn waiting_for_a_limit_is_not_starvation() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.tail_latency_ms = |share| if share > 0.0 { 140 } else { 120 };
    share(&mut fleet, &[("alpha", 1, "2c/-/-")]);
    let objective = Some(Duration::from_millis(150));
    fleet.submit(submission(1, 0, vec![StepSpec { tail_objective: objective, ..long_running(1, 6) }]));
    fleet.run_for(Duration::from_secs(1));
    let heavy = StepSpec { best_effort: true, ..step(1, 4, 60_000) };
    fleet.submit_owned(submission(2, 2, vec![heavy]), &workspace("alpha"));
    fleet.run_for(Duration::from_secs(3));
    share(&mut fleet, &[("alpha", 1, "8c/-/-")]);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(cores(&fleet, "alpha"), 0, "the job waits for headroom");
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(cores(&fleet, "alpha"), 4, "the job is starved");
}

/// Guards against steps that wait for ever beside others of their workspace: `waits` is submitted when the long-running
/// task `holds` and a stream of small jobs use the limit of 16 cores, and must start, beside the small jobs, or these must
/// go on without it.
#[rstest]
#[case::gang(0, 3, 1200, StepSpec { gang: true, ..step(4, 4, 500) }, true)]
#[case::large_task(0, 3, 1200, step(1, 14, 500), true)]
#[case::beside_long_running(8, 6, 1200, step(2, 4, 500), true)]
#[case::no_room_beside_long_running(8, 40, 6000, long_running(1, 12), false)]
fn a_step_at_the_limit_is_not_overtaken_for_ever(
    #[case] holds: u32,
    #[case] interval: u32,
    #[case] small_ms: u64,
    #[case] waits: StepSpec,
    #[case] starts: bool,
) {
    let mut fleet = FakeFleet::new(3, 1);
    share(&mut fleet, &[("alpha", 1000, "16c/-/-")]);
    if holds > 0 {
        fleet.submit_owned(submission(1, 1, vec![long_running(1, holds)]), &workspace("alpha"));
    }
    let mut gap = Duration::ZERO;
    for id in 10..200 {
        fleet.submit_owned(submission(id, 1, vec![step(1, 2, small_ms)]), &workspace("alpha"));
        if id == 100 {
            fleet.submit_owned(submission(2, 1, vec![waits.clone()]), &workspace("alpha"));
        }
        for _ in 0..interval {
            let before = fleet.starts;
            fleet.run_for(STEP_DURATION);
            gap = if fleet.starts == before { gap + STEP_DURATION } else { Duration::ZERO };
            assert!(gap < Duration::from_secs(3), "the small jobs wait for a step that can't start");
        }
    }
    assert_eq!(fleet.started.iter().any(|(task, _)| task.job == JobId::new(2)), starts);
}

/// Guards against a long-running task that was lost and waits behind a workspace with a lower share, whose small jobs take
/// every core that becomes free: it must run again within 6 s, as its workspace only gets back what it had.
#[test]
fn a_lost_long_running_task_is_placed_before_workspaces_with_lower_shares() {
    let mut fleet = FakeFleet::without_refusals(3, 1);
    share(&mut fleet, &[("alpha", 1, "-/-/-"), ("beta", 100, "-/-/-")]);
    for id in 1..=2 {
        fleet.submit_owned(submission(id, 1, vec![long_running(1, 24)]), &workspace("alpha"));
    }
    fleet.run_for(Duration::from_secs(1));
    for id in 10..200 {
        fleet.submit_owned(submission(id, 1, vec![step(4, 8, 500)]), &workspace("beta"));
        if id == 20 {
            let runs_first = |worker: &FakeWorker| worker.runs.keys().any(|task| task.job == JobId::new(1));
            let index = fleet.workers.iter().position(runs_first).expect("the long-running task runs");
            fleet.crash(index);
        }
        if id > 20 {
            fleet.run_for(STEP_DURATION * 2);
        }
        if id == 80 {
            assert_eq!(cores(&fleet, "alpha"), 48, "the lost task does not run again");
        }
    }
}

/// Guards against a lowered limit that stops runs or permits starts, and against a job that waits for accelerators
/// and holds up others of a lower priority.
#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing() {
    let mut fleet = FakeFleet::new(3, 1);
    share(&mut fleet, &[("alpha", 10, "64c/-/-")]);
    fleet.submit_owned(submission(1, 1, vec![step(16, 4, 5000)]), &workspace("alpha"));
    fleet.run_for(Duration::from_millis(500));
    share(&mut fleet, &[("alpha", 10, "8c/-/0a")]);
    fleet.submit_owned(submission(2, 1, vec![step(8, 4, 1000)]), &workspace("alpha"));
    let accelerated = StepSpec { size: "1c/1GB/1a".parse().expect("a size"), ..step(1, 1, 100) };
    fleet.submit_owned(submission(3, 0, vec![accelerated]), &workspace("alpha"));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!((cores(&fleet, "alpha"), fleet.starts), (64, 16));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(cores(&fleet, "alpha"), 8);
}

/// Guards against a workspace that gets more than its rate by submitting much: jobs beyond it, and those that are no longer
/// useful, come after the useful jobs of a workspace that has more allocated. A new leader takes the jobs that it finds for
/// within the rate.
#[rstest]
#[case::beyond_rate(1, 0, false, true)]
#[case::new_leader(1, 0, true, false)]
#[case::within_rate(100, 0, false, false)]
#[case::overdue(100, 9, false, true)]
fn jobs_beyond_the_rate_and_overdue_jobs_come_last(
    #[case] weight: u32,
    #[case] delay: u64,
    #[case] leader_changes: bool,
    #[case] is_first: bool,
) {
    let mut fleet = FakeFleet::new(1, 1);
    share(&mut fleet, &[("alpha", weight, "-/-/-"), ("beta", 1, "-/-/-")]);
    fleet.submit_owned(submission(1, 1, vec![long_running(1, 24)]), &workspace("beta"));
    fleet.run_for(Duration::from_secs(1));
    for id in 10..50 {
        fleet.submit_owned(submission(id, 1, vec![step(1, 8, 1000)]), &workspace("alpha"));
    }
    fleet.run_for(Duration::from_secs(delay));
    if leader_changes {
        fleet.change_leader();
    }
    let job = fleet.submit_owned(submission(2, 1, vec![step(1, 8, 1000)]), &workspace("beta"));
    fleet.run_for(Duration::from_secs(7));
    assert_eq!(fleet.started.iter().any(|(task, _)| task.job == job), is_first);
}

/// Guards against idle work of a workspace that uses less than half of its limit while workers are free: no job of it may
/// have nothing running for 3 s.
#[rstest]
fn work_under_half_of_its_limit_is_not_idle(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = FakeFleet::new(9, seed);
    share(&mut fleet, &[("alpha", 1, "64c/-/-"), ("beta", 1, "64c/-/-"), ("gamma", 3, "96c/-/-")]);
    let mut idle_since = BTreeMap::new();
    for id in 1..=600 {
        if fleet.rng.chance(20) {
            let mut steps = RandomSteps::random(&mut fleet.rng);
            if fleet.rng.chance(10) {
                steps = vec![long_running(2, 4)];
            }
            let name = workspace(NAMES[usize::try_from(id % 3).expect("small")]);
            let job = fleet.submit_owned(submission(id, u8::try_from(id % 2).expect("small"), steps), &name);
            if fleet.rng.chance(50) {
                fleet.cancel(job);
            }
        }
        fleet.step();
        let used: u32 = NAMES.iter().map(|name| cores(&fleet, name)).sum();
        let is_idle = |job: &JobRecord| {
            let owner = job.workspace.as_ref().expect("all jobs have an owner").as_str();
            let limit = if owner == "gamma" { 96 } else { 64 };
            !job.has_live_runs() && cores(&fleet, owner) * 2 < limit && used * 2 < 9 * 32
        };
        let idle: Vec<JobId> = fleet.state.active_jobs().filter(|(_, job)| is_idle(job)).map(|(id, _)| id).collect();
        idle_since.retain(|job, _| idle.contains(job));
        for job in idle {
            let since = *idle_since.entry(job).or_insert(fleet.now);
            assert!(fleet.now.since(since) < Duration::from_secs(3), "{job} is idle: {}", fleet.describe_unfinished());
        }
    }
}

/// Collects the log lines about workspaces.
struct LineLog(Mutex<Vec<String>>);

impl log::Log for LineLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.lock().expect("no test panics with the lock").push(record.args().to_string());
    }

    fn flush(&self) {}
}

static LOG: LineLog = LineLog(Mutex::new(Vec::new()));

/// Guards against a log line with every cycle while a workspace waits for its limit: tasks that end and start every 100 ms
/// must give one line at the start and one a second after the end.
#[test]
fn waiting_for_a_limit_is_logged_once() {
    log::set_logger(&LOG).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    let mut fleet = FakeFleet::new(1, 1);
    share(&mut fleet, &[("logged", 1, "4c/8GB/-")]);
    for id in 1..=40 {
        fleet.submit_owned(submission(id, 1, vec![step(1, 2, 100)]), &workspace("logged"));
        fleet.run_for(STEP_DURATION);
    }
    fleet.run_for(Duration::from_secs(6));
    let lines = LOG.0.lock().expect("no test panics with the lock");
    let lines: Vec<&String> = lines.iter().filter(|line| line.contains("workspace=logged")).collect();
    let expected =
        ["limited workspace=logged cores=4 limit=4c/8GB/-", "unlimited workspace=logged cores=0 limit=4c/8GB/-"];
    assert_eq!(lines, expected.map(|line| format!("event=workspace_{line}")).iter().collect::<Vec<_>>());
}

/// Guards against a workspace that is shown without a share while none of its jobs waits.
#[test]
fn a_share_is_shown_when_nothing_waits() {
    let mut fleet = FakeFleet::new(3, 1);
    share(&mut fleet, &[("alpha", 2, "-/-/-")]);
    fleet.run_for(STEP_DURATION);
    fleet.submit_owned(submission(1, 1, vec![step(24, 1, 60_000)]), &workspace("alpha"));
    fleet.run_for(STEP_DURATION * 4);
    let usage = fleet.dispatcher.workspace_usage(&fleet.state);
    let [alpha] = usage.as_slice() else { panic!("one workspace: {usage:?}") };
    assert_eq!((alpha.allocated.cores, alpha.waiting_jobs), (size(24, 0).cores, 0));
    assert!((alpha.share - 24.0 / 96.0 / 2.0).abs() < 1e-9, "{alpha:?}");
}
