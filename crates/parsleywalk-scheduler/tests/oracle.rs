//! Property test with random histories. The fake state in `common` checks every decision: starts of queued tasks only,
//! in zones in service, within capacity and quota including proposed starts, and evictions of placed tasks only. After
//! each history every placeable task must start.

mod common;

use std::time::Duration;

use common::{FakePhase, FakeState, size};
use parsleywalk_scheduler::{ObjectiveWeights, PolicySettings, TaskOutcome};
use parsleywalk_units::{TaskClass, TaskId};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Debug, Clone)]
enum Step {
    Submit { kind: usize, team: usize, count: usize },
    Instance { kind: usize },
    Decide { limit: usize, accept_every: usize },
    Advance { millis: u64 },
    End { pick: usize, outcome: usize },
    CancelHalf,
    SetZone { zone: usize, in_service: bool },
    SetWorker { pick: usize, is_joining: bool },
    Report { pick: usize, latency: u64 },
}

const TEAMS: [&str; 3] = ["planning", "rescue", "guides"];
const SIZES: [&str; 6] = ["1c/1GB/0a", "4c/30GB/0a", "16c/8GB/0a", "30c/120GB/0a", "2c/2GB/1a", "64c/1GB/0a"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..SIZES.len(), 0..TEAMS.len(), 1..6_usize).prop_map(|(kind, team, count)| Step::Submit { kind, team, count }),
        2 => (0..2_usize).prop_map(|kind| Step::Instance { kind }),
        6 => (1..40_usize, 1..5_usize).prop_map(|(limit, accept_every)| Step::Decide { limit, accept_every }),
        4 => (1..8000_u64).prop_map(|millis| Step::Advance { millis }),
        3 => (any::<usize>(), 0..4_usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => Just(Step::CancelHalf),
        1 => (0..3_usize, any::<bool>()).prop_map(|(zone, in_service)| Step::SetZone { zone, in_service }),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(pick, is_joining)| Step::SetWorker { pick, is_joining }),
        3 => (any::<usize>(), 1..60_u64).prop_map(|(pick, latency)| Step::Report { pick, latency }),
    ]
}

fn cluster() -> FakeState {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 6, 2, "32c/125GB/0a");
    state.join_worker("accelerated", "z1", "r1", size("32c/125GB/4a"));
    let quota = [("planning", 2, Some("64c/300GB/2a")), ("rescue", 1, None), ("guides", 1, Some("8c/40GB/0a"))];
    state.configure(&quota, ObjectiveWeights::default());
    state
}

fn run_step(state: &mut FakeState, step: &Step) {
    match step {
        Step::Submit { kind, team, count } => {
            for number in 0..*count {
                state.submit(&format!("batch{kind}"), TEAMS[*team], TaskClass::Batch, SIZES[*kind], number == 4);
            }
        }
        Step::Instance { kind } => {
            state.submit(&format!("service{kind}"), "planning", TaskClass::LatencyCritical, "4c/16GB/0a", false);
        }
        Step::Decide { limit, accept_every } => {
            let decisions = state.decide(*limit);
            for (index, decision) in decisions.iter().enumerate() {
                if index % accept_every == 0 {
                    state.accept(decision);
                }
            }
        }
        Step::Advance { millis } => state.advance(Duration::from_millis(*millis)),
        Step::End { pick, outcome } => {
            let running = state.running();
            if !running.is_empty() {
                let outcomes = [TaskOutcome::Done, TaskOutcome::Failed, TaskOutcome::Evicted, TaskOutcome::Lost];
                state.end_attempt(running[pick % running.len()], outcomes[*outcome]);
            }
        }
        Step::CancelHalf => {
            let tasks: Vec<TaskId> = state.tasks.keys().copied().collect();
            for task in tasks.iter().step_by(2) {
                state.end_attempt(*task, TaskOutcome::Cancelled);
            }
        }
        Step::SetZone { zone, in_service } => state.set_zone(&format!("z{zone}"), *in_service),
        Step::SetWorker { pick, is_joining } => {
            let names: Vec<String> = state.workers.keys().cloned().collect();
            let name = &names[pick % names.len()];
            let worker = state.workers[name].clone();
            if *is_joining && !worker.present {
                state.join_worker(name, &worker.zone, &worker.rack, worker.capacity);
            } else if !is_joining && worker.present {
                state.lose_worker(name);
            }
        }
        Step::Report { pick, latency } => {
            let names: Vec<String> = state.workers.keys().cloned().collect();
            state.report_usage(&names[pick % names.len()], Duration::from_secs(2), Duration::from_millis(*latency));
        }
    }
}

/// Brings all zones and workers back into service and runs each task for 20 s. Panics if a placeable task never starts.
fn run_until_idle(state: &mut FakeState) {
    for zone in ["z0", "z1", "z2"] {
        state.set_zone(zone, true);
    }
    let lost: Vec<String> =
        state.workers.iter().filter(|(_, worker)| !worker.present).map(|(name, _)| name.clone()).collect();
    for name in lost {
        let worker = state.workers[&name].clone();
        state.join_worker(&name, &worker.zone, &worker.rack, worker.capacity);
    }
    for _ in 0..3600 {
        state.run_cycle(Duration::from_secs(1));
        for task in state.running() {
            if let FakePhase::Running(since) = state.tasks[&task].phase
                && state.now.since(since) >= Duration::from_secs(20)
            {
                state.end_attempt(task, TaskOutcome::Done);
            }
        }
        if state.queued().iter().all(|task| is_unplaceable(state, *task)) && state.running().is_empty() {
            return;
        }
    }
    let waiting: Vec<String> = state
        .queued()
        .into_iter()
        .filter(|task| !is_unplaceable(state, *task))
        .map(|task| format!("{task} {}: {}", state.tasks[&task].size, state.policy.explain(task)))
        .collect();
    panic!("tasks never started: {waiting:?}");
}

fn is_unplaceable(state: &FakeState, task: TaskId) -> bool {
    let record = &state.tasks[&task];
    let quota = state.quotas.get(&record.team).filter(|_| record.class == TaskClass::Batch);
    quota.is_some_and(|quota| !record.size.fits_within(quota))
        || !state.workers.values().any(|worker| record.size.fits_within(&worker.capacity))
}

proptest! {
    #![proptest_config(Config {
        cases: 1024,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against overcommitted workers, lost proposals that are never repeated, and starvation.
    #[test]
    fn every_decision_is_permitted_and_every_placeable_task_starts(steps in vec(step(), 1..160)) {
        let mut state = cluster();
        for step in &steps {
            run_step(&mut state, step);
        }
        run_until_idle(&mut state);
    }
}
