//! Tests of workspaces in the replicated state.

mod support;

use std::time::Duration;

use parsleywalk_batch::{
    BatchCommand, BatchState, EndNumber, JobId, RunEnd, RunNumber, RunOutcome, RunPlacement, TaskKey,
};
use parsleywalk_units::{Incarnation, MonotonicTime, WorkerId, WorkspaceName};
use rstest::rstest;
use support::workspaces::{TASKS_OF_A_STEP, configure, configure_workspaces, submit, workspace};
use support::{FakeFleet, TestRng};

const JOBS: u64 = 6;
const WORKERS: u64 = 3;

fn owner(job: u64) -> Option<WorkspaceName> {
    [None, Some("alpha"), Some("beta")][(job % 3) as usize].map(workspace)
}

/// Returns a random command about the jobs' runs. Run and end numbers increase with `number`.
fn random_command(rng: &mut TestRng, number: u32) -> BatchCommand {
    let job = rng.next_below(JOBS);
    let mut task = || {
        let step = u16::try_from(rng.next_below(2)).expect("small");
        let index = u32::try_from(rng.next_below(u64::from(TASKS_OF_A_STEP))).expect("small");
        TaskKey { job: JobId::new(job), occurrence: 0, step, index }
    };
    let (task, other) = (task(), task());
    let worker: WorkerId = format!("worker-{}", rng.next_below(WORKERS)).parse().expect("a name");
    let incarnation = Incarnation::new(1);
    let run = RunNumber::new(number);
    let earlier = RunNumber::new(number.saturating_sub(u32::try_from(rng.next_below(8)).expect("small")));
    match rng.next_below(16) {
        0 => submit(job, owner(job)),
        1 => BatchCommand::Cancel { job: task.job },
        2 => BatchCommand::Forget { jobs: vec![task.job] },
        3 => BatchCommand::Lose { worker, incarnation, saved: Vec::new() },
        4 | 5 => BatchCommand::Withdraw { worker, incarnation, runs: vec![(task, earlier)] },
        6..=8 => {
            let outcome = if rng.chance(50) { RunOutcome::Stopped } else { RunOutcome::Done };
            let number = EndNumber::new(u64::from(number));
            let end = RunEnd { number, task, run: earlier, outcome, saved: String::new() };
            BatchCommand::Settle { worker, incarnation, ends: vec![end] }
        }
        _ => {
            let placement = |task| RunPlacement { task, run, worker: worker.clone(), incarnation };
            BatchCommand::Place { runs: vec![placement(task), placement(other)] }
        }
    }
}

/// Guards against an allocation that drifts from the placed runs, so that a workspace is limited wrongly for good. A run
/// counts until its end is known, also if its job has been removed.
#[test]
fn allocations_are_those_of_the_placed_runs() {
    for seed in 0..40 {
        let mut rng = TestRng::new(seed);
        let mut state = BatchState::default();
        let mut highest = 0;
        for number in 1..400 {
            state.apply(&random_command(&mut rng, number));
            if number % 40 == 0 {
                state.take_newly_ended();
                let restored = BatchState::decode(&state.encode()).expect("a snapshot");
                assert_eq!(restored, state, "seed {seed}, command {number}");
                state = restored;
            }
            for name in ["alpha", "beta"].map(workspace) {
                let runs = state.workers().flat_map(|(_, worker)| worker.runs.iter());
                let jobs = (0..JOBS).filter(|job| owner(*job).as_ref() == Some(&name)).map(JobId::new);
                let jobs: Vec<JobId> = jobs.collect();
                let owned = runs.filter(|(task, _)| jobs.contains(&task.job));
                let cores: u32 = owned.map(|(_, run)| run.size.cores.get()).sum();
                assert_eq!(state.workspace_allocation(&name).cores.get(), cores, "seed {seed}, command {number}");
                highest = highest.max(cores);
            }
        }
        assert!(highest > 0, "seed {seed} places no run");
    }
}

/// Guards against snapshots that release 1 cannot read although no workspace was ever used, and against a change of the
/// part that it wrote.
#[test]
fn snapshots_begin_with_those_of_release_1() {
    for seed in 0..10 {
        let mut rng = TestRng::new(seed);
        let (mut state, mut plain) = (BatchState::default(), BatchState::default());
        for command in [configure(3), configure_workspaces(3, &["alpha", "beta"])] {
            state.apply(&command);
        }
        plain.apply(&configure(3));
        for number in 1..200 {
            let command = random_command(&mut rng, number);
            state.apply(&command);
            plain.apply(&match command {
                BatchCommand::SubmitOwned { submission, .. } => BatchCommand::Submit(submission),
                other => other,
            });
        }
        let (bytes, plain) = (state.encode(), plain.encode());
        assert!(bytes.starts_with(&plain) && bytes.len() > plain.len(), "seed {seed}");
        state.take_newly_ended();
        assert_eq!(BatchState::decode(&bytes).as_ref(), Ok(&state));
    }
}

/// Guards against workspaces that are active with another configuration than theirs: their public queues are positions in
/// its list.
#[test]
fn workspaces_are_active_with_their_configuration_only() {
    let mut state = BatchState::default();
    let mut active = |commands: &[BatchCommand]| -> Option<usize> {
        for command in commands {
            state.apply(command);
        }
        state.workspaces().map(|active| active.workspaces.len())
    };
    assert_eq!(active(&[configure_workspaces(3, &["alpha"])]), None, "no configuration is active");
    assert_eq!(active(&[configure(3), configure_workspaces(3, &["alpha"])]), Some(1));
    assert_eq!(active(&[configure(3), configure_workspaces(3, &["alpha", "beta"])]), Some(1), "a second proposal");
    assert_eq!(active(&[configure(2), configure_workspaces(2, &["alpha", "beta"])]), Some(1), "an earlier version");
    assert_eq!(active(&[configure(4)]), None, "a configuration without workspaces");
    assert_eq!(active(&[configure_workspaces(3, &["alpha"])]), None, "workspaces of an earlier configuration");
    assert_eq!(active(&[configure(5), configure_workspaces(5, &[])]), Some(0), "no key is valid");
}

/// Guards against a job that changes hands: the first submission decides.
#[test]
fn a_job_keeps_its_workspace() {
    let mut state = BatchState::default();
    state.apply(&submit(1, Some(workspace("alpha"))));
    state.apply(&submit(1, Some(workspace("beta"))));
    state.apply(&submit(1, None));
    state.apply(&submit(2, None));
    let owner = |job| state.job(JobId::new(job)).expect("the job is stored").workspace.clone();
    assert_eq!((owner(1), owner(2)), (Some(workspace("alpha")), None));
}

/// Guards against an allocation of runs that were never committed, or that counts runs twice, when the leader is killed
/// between placing and the commit: the entry is lost, or the next leader commits it.
#[rstest]
fn a_leader_killed_before_the_commit_leaves_no_allocation(#[values(false, true)] is_committed: bool) {
    let mut fleet = FakeFleet::new(4, 1);
    fleet.run_for(Duration::from_secs(1));
    fleet.state.apply(&submit(1, Some(workspace("alpha"))));
    let allocated = |fleet: &FakeFleet| fleet.state.workspace_allocation(&workspace("alpha")).cores.get();
    let runs = fleet.dispatcher.plan(fleet.now, 0, &fleet.state);
    assert!(!runs.is_empty(), "tasks are placed");
    fleet.record_planned(&runs);
    assert_eq!(allocated(&fleet), 0, "nothing is committed");
    fleet.change_leader();
    if is_committed {
        fleet.state.apply(&BatchCommand::Place { runs });
    }
    let mut highest = 0;
    while fleet.state.active_count() > 0 {
        fleet.step();
        let runs = fleet.state.workers().flat_map(|(_, worker)| worker.runs.iter());
        assert_eq!(allocated(&fleet), runs.map(|(_, run)| run.size.cores.get()).sum::<u32>());
        highest = highest.max(allocated(&fleet));
        assert!(fleet.now < MonotonicTime::from_millis(60_000), "the job never ends: {}", fleet.describe_unfinished());
    }
    assert!(highest > 0 && allocated(&fleet) == 0, "{highest}");
}
