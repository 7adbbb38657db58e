//! Regression tests, one for each failure of the cluster or the policy.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{FakePhase, FakeState, size};
use parsleywalk_scheduler::{
    EvictionCause, ObjectiveWeights, PolicyDecision, PolicyEvent, PolicySettings, TaskOutcome,
};
use parsleywalk_units::{AttemptNumber, TaskClass, TaskId, ThrottleLevel};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const LATENCY_ONLY: ObjectiveWeights = ObjectiveWeights { batch_throughput: 0.0, service_latency: 1.0 };

fn cluster() -> FakeState {
    FakeState::with_cluster(PolicySettings::default(), 6, 4, "32c/125GB/0a")
}

fn starts(decisions: &[PolicyDecision]) -> usize {
    decisions.iter().filter(|decision| matches!(decision, PolicyDecision::Start { .. })).count()
}

fn evictions(decisions: &[PolicyDecision]) -> Vec<(TaskId, EvictionCause)> {
    let evicted = |decision: &PolicyDecision| match decision {
        PolicyDecision::Evict { task, reason, .. } => Some((*task, *reason)),
        _ => None,
    };
    decisions.iter().filter_map(evicted).collect()
}

/// Guards against a refused or lost start that is never repeated, or repeated before the proposal timeout.
#[test]
fn lost_start_is_proposed_again_after_its_timeout() {
    let mut state = cluster();
    let task = state.submit_batch("4c/16GB/0a");
    assert_eq!(starts(&state.decide(10)), 1);
    state.advance(SECOND);
    assert_eq!(starts(&state.decide(10)), 0);
    assert!(state.policy.explain(task).to_string().contains("is being committed"));
    state.advance(SECOND);
    assert_eq!(starts(&state.decide(10)), 1);
}

/// Guards against starts in a zone out of service, and against instances that stop before their replacements run.
#[test]
fn zone_out_of_service_is_evacuated_and_takes_no_starts() {
    let mut state = cluster();
    for _ in 0..6 {
        state.submit_instance("4c/16GB/0a");
    }
    for _ in 0..30 {
        state.submit_batch("8c/16GB/0a");
    }
    state.run_cycle(SECOND);
    state.set_zone("z1", false);
    let zone_tasks: Vec<TaskId> =
        state.tasks.keys().copied().filter(|task| state.workers[&state.tasks[task].worker].zone == "z1").collect();
    let decisions = state.decide(10_000);
    for task in zone_tasks {
        let batch = state.tasks[&task].class == TaskClass::Batch;
        let moved = decisions.iter().any(|decision| match decision {
            PolicyDecision::Evict { task: moved, reason: EvictionCause::ZoneOut, .. } => batch && *moved == task,
            PolicyDecision::Replace { task: moved, .. } => !batch && *moved == task,
            _ => false,
        });
        assert!(moved, "{task} is not evacuated");
    }
    for decision in &decisions {
        state.accept(decision);
    }
    // The fake state panics on starts in the zone.
    for _ in 0..20 {
        state.run_cycle(SECOND);
    }
    assert!(state.queued().is_empty());
}

/// Guards against a burst of starts in a zone that is back in service.
#[test]
fn zone_back_in_service_takes_starts_gradually() {
    let mut state = cluster();
    state.set_zone("z0", false);
    for _ in 0..200 {
        state.submit_batch("8c/16GB/0a");
    }
    state.run_cycle(SECOND);
    state.set_zone("z0", true);
    let first: usize = (0..5).map(|_| starts(&state.run_cycle(SECOND))).sum();
    let later: usize = (0..90).map(|_| starts(&state.run_cycle(SECOND))).sum();
    assert!((1..=5).contains(&first), "{first} starts in the first 5 s");
    assert_eq!(first + later, 32);
}

/// Guards against jobs that can never run and block others; `explain` must return why they wait.
#[rstest]
#[case("64c/1GB/0a", "100c/100GB/0a", "no worker of a zone in service has")]
#[case("20c/1GB/0a", "16c/100GB/0a", "its quota is")]
fn unplaceable_job_blocks_no_other_job(#[case] declared: &str, #[case] quota: &str, #[case] reason: &str) {
    let mut state = cluster();
    state.configure(&[("planning", 1, Some(quota))], ObjectiveWeights::default());
    let unplaceable: Vec<TaskId> = (0..300).map(|_| state.submit_batch(declared)).collect();
    let placeable = state.submit_batch("4c/16GB/0a");
    state.run_cycle(SECOND);
    assert!(matches!(state.tasks[&placeable].phase, FakePhase::Running(_)));
    let explanation = state.policy.explain(unplaceable[0]).to_string();
    assert!(explanation.contains(reason), "{explanation}");
}

/// Guards against queued tasks that no longer start after the cancellation of thousands of others.
#[test]
fn mass_cancellation_leaves_other_tasks_startable() {
    let mut state = cluster();
    let tasks: Vec<TaskId> = (0..10_000).map(|_| state.submit_batch("32c/100GB/0a")).collect();
    state.run_cycle(SECOND);
    for task in &tasks[..9990] {
        state.end_attempt(*task, TaskOutcome::Cancelled);
    }
    state.run_cycle(SECOND);
    assert_eq!(state.running().len(), 10);
    assert_eq!(state.policy.status().queued, 0);
}

/// Guards against a worker that fails all tasks and drains the queue. It must get one probe at a time, and leave
/// quarantine after a success.
#[test]
fn failing_worker_is_quarantined_and_probed() {
    let mut state = cluster();
    let mut failures = 0;
    for round in 0..600 {
        while state.queued().len() < 40 {
            state.submit_batch("4c/16GB/0a");
        }
        state.run_cycle(SECOND);
        let probes = state.tasks_on("w0.0");
        if state.policy.status().quarantined > 0 {
            assert!(probes.len() <= 1, "{} probes at once", probes.len());
        }
        for task in state.running() {
            if state.tasks[&task].worker == "w0.0" && round < 400 {
                failures += 1;
                state.end_attempt(task, TaskOutcome::Failed);
            } else if task.get() % 3 == round % 3 {
                state.end_attempt(task, TaskOutcome::Done);
            }
        }
    }
    assert!(failures < 20, "{failures} failures");
    assert_eq!(state.policy.status().quarantined, 0, "the worker leaves quarantine after a successful probe");
}

/// Guards against a job that fails on all workers, never ends and causes the quarantine of healthy workers.
#[test]
fn failing_job_ends_as_failed_without_quarantining_workers() {
    let mut state = cluster();
    let always_failing: BTreeSet<TaskId> = (0..20).map(|_| state.submit_batch("4c/16GB/0a")).collect();
    let mut failed = BTreeSet::new();
    for _ in 0..600 {
        state.submit_batch("4c/16GB/0a");
        for decision in state.run_cycle(SECOND) {
            if let PolicyDecision::Fail { task, reason } = decision {
                assert!(reason.starts_with("failed on 3 healthy workers: w"), "{reason}");
                failed.insert(task);
            }
        }
        for task in state.running() {
            state.end_attempt(
                task,
                if always_failing.contains(&task) { TaskOutcome::Failed } else { TaskOutcome::Done },
            );
        }
    }
    assert_eq!(failed, always_failing);
    assert_eq!(state.policy.status().quarantined, 0);
}

/// Guards against urgent work that does not start within seconds, also if the first eviction is lost, and against
/// evictions of tasks with more unsaved work than others.
#[test]
fn urgent_work_evicts_tasks_with_least_unsaved_work() {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 3, 1, "8c/32GB/0a");
    let saved = state.submit_batch("8c/8GB/0a");
    state.run_cycle(SECOND);
    let unsaved = [state.submit_batch("8c/8GB/0a"), state.submit_batch("8c/8GB/0a")];
    state.run_cycle(Duration::from_mins(2));
    // Only the oldest task has reported a recent checkpoint.
    let worker = state.tasks[&saved].worker.clone();
    state.report_usage(&worker, SECOND, Duration::ZERO);
    let urgent = state.submit("resurvey", "planning", TaskClass::Batch, "4c/8GB/0a", true);
    let lost = evictions(&state.decide(100));
    assert_eq!(lost.len(), 1);
    assert!(lost[0].0 == saved && !unsaved.contains(&lost[0].0));
    assert_eq!(lost[0].1, EvictionCause::UrgentWork);
    for _ in 0..5 {
        state.advance(SECOND);
        state.run_cycle(Duration::ZERO);
    }
    assert!(matches!(state.tasks[&urgent].phase, FakePhase::Running(_)));
}

/// Guards against instances of a lost rack that have to wait for evictions.
#[test]
fn rack_reserve_fits_instances_of_a_lost_rack() {
    let mut state = cluster();
    state.configure(&[], LATENCY_ONLY);
    for _ in 0..12 {
        state.submit_instance("4c/16GB/0a");
    }
    for _ in 0..400 {
        state.submit_batch("4c/4GB/0a");
    }
    for _ in 0..10 {
        state.run_cycle(SECOND);
    }
    assert!(!state.queued().is_empty(), "the cluster must be full");
    for number in 0..4 {
        state.lose_worker(&format!("w0.{number}"));
    }
    state.run_cycle(SECOND);
    let is_waiting_instance = |task: &&TaskId| state.tasks[*task].class == TaskClass::LatencyCritical;
    assert_eq!(state.queued().iter().filter(is_waiting_instance).count(), 0);
}

/// Guards against the loss of most instances of a service with one zone, rack or VM.
#[test]
fn instances_are_spread() {
    let mut state = cluster();
    for _ in 0..12 {
        state.submit_instance("4c/16GB/0a");
    }
    state.run_cycle(SECOND);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for task in state.tasks.values() {
        let worker = &state.workers[&task.worker];
        for domain in [&worker.zone, &worker.rack, &task.worker] {
            *counts.entry(domain.clone()).or_default() += 1;
        }
    }
    let most = |prefix: char| counts.iter().filter(|(name, _)| name.starts_with(prefix)).map(|(_, count)| *count).max();
    assert_eq!((most('z'), most('r'), most('w')), (Some(4), Some(2), Some(1)));
}

/// Guards against a team that gets the whole cluster because it queued first, and against ignored weights or quotas.
#[test]
fn teams_share_by_weight_and_quota() {
    let mut state = cluster();
    state.configure(
        &[("one", 1, None), ("two", 2, None), ("limited", 8, Some("64c/200GB/0a"))],
        ObjectiveWeights::default(),
    );
    for team in ["one", "two", "limited"] {
        for _ in 0..400 {
            state.submit("resurvey", team, TaskClass::Batch, "4c/12GB/0a", false);
        }
    }
    state.run_cycle(SECOND);
    let tasks_of = |team: &str| state.total_allocated(|task| task.team == team).cores.get() / 4000;
    assert_eq!(tasks_of("limited"), 16);
    let (one, two) = (tasks_of("one"), tasks_of("two"));
    assert!(two.abs_diff(2 * one) <= 2, "{one} and {two}");
}

/// Guards against overcommitted memory when declared sizes are far too small.
#[test]
fn memory_usage_raises_allocated_size() {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 1, 1, "32c/100GB/0a");
    state.submit_batch("1c/1GB/0a");
    state.run_cycle(SECOND);
    for _ in 0..200 {
        let task = state.running()[0];
        state.tasks.get_mut(&task).unwrap().size.memory = size("1c/10GB/0a").memory;
        state.report_usage("w0.0", SECOND, Duration::ZERO);
        state.advance(SECOND);
    }
    for _ in 0..30 {
        state.submit_batch("1c/1GB/0a");
    }
    state.run_cycle(SECOND);
    let running = state.running().len();
    assert!((8..=11).contains(&running), "{running} tasks of 10 GB on 100 GB");
}

/// Guards against starvation of a large task by a stream of small tasks.
#[test]
fn large_task_gets_a_reserved_worker() {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 2, 2, "8c/32GB/0a");
    let mut large = None;
    for round in 0..600_u64 {
        while state.queued().len() < 20 {
            state.submit("small", "planning", TaskClass::Batch, "1c/1GB/0a", false);
        }
        if round == 30 {
            large = Some(state.submit("large", "planning", TaskClass::Batch, "8c/30GB/0a", false));
        }
        state.run_cycle(SECOND);
        if large.is_some_and(|task| matches!(state.tasks[&task].phase, FakePhase::Running(_))) {
            return;
        }
        for task in state.running() {
            if task.get() % 20 == round % 20 {
                state.end_attempt(task, TaskOutcome::Done);
            }
        }
    }
    panic!("the large task never started: {}", state.policy.explain(large.unwrap()));
}

/// Guards against steps on stale reports, which evict tasks although a throttle has already ended the interference.
#[test]
fn guards_wait_for_effect_of_their_last_step() {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 3, 2, "32c/125GB/0a");
    state.configure(&[], LATENCY_ONLY);
    for _ in 0..6 {
        state.submit_instance("4c/16GB/0a");
    }
    state.run_cycle(SECOND);
    for _ in 0..3 {
        state.submit_batch("20c/40GB/0a");
    }
    state.run_cycle(SECOND);
    let noisy: Vec<String> =
        state.tasks.values().filter(|task| task.class == TaskClass::Batch).map(|task| task.worker.clone()).collect();
    let workers: Vec<String> = state.workers.keys().cloned().collect();
    let (lag, mut levels) = (Duration::from_secs(8), Vec::new());
    for round in 0..60 {
        for worker in &workers {
            let slow = round > 5 && *worker == noisy[0];
            state.report_usage(worker, lag, Duration::from_millis(if slow { 30 } else { 10 }));
        }
        for decision in state.run_cycle(Duration::from_secs(2)) {
            if let PolicyDecision::Throttle { level, task, .. } = decision {
                assert_eq!(state.tasks[&task].worker, noisy[0]);
                if levels.last().is_none_or(|(_, last)| *last != level) {
                    levels.push((state.now, level));
                }
            }
        }
        if round == 40 {
            break;
        }
    }
    assert!(levels.len() >= 2, "{levels:?}");
    assert_eq!((levels[0].1, levels[1].1), (ThrottleLevel::Light, ThrottleLevel::Hard));
    // The effect takes 2 s and reports arrive 8 s after the measurement.
    assert!(levels[1].0.since(levels[0].0) >= Duration::from_secs(10), "{levels:?}");
}

/// Guards against lost throttles: no event confirms a throttle, so it must be proposed again.
#[test]
fn lost_throttle_is_proposed_again() {
    let mut state = FakeState::with_cluster(PolicySettings::default(), 3, 2, "32c/125GB/0a");
    state.configure(&[], LATENCY_ONLY);
    for _ in 0..6 {
        state.submit_instance("4c/16GB/0a");
    }
    state.run_cycle(SECOND);
    state.submit_batch("20c/40GB/0a");
    state.run_cycle(SECOND);
    let workers: Vec<String> = state.workers.keys().cloned().collect();
    let noisy = state.tasks.values().find(|task| task.class == TaskClass::Batch).unwrap().worker.clone();
    let throttled = |decisions: Vec<PolicyDecision>| {
        decisions.into_iter().find(|decision| matches!(decision, PolicyDecision::Throttle { .. }))
    };
    let mut lost = None;
    for round in 0..30 {
        for worker in &workers {
            let slow = round > 5 && *worker == noisy;
            state.report_usage(worker, SECOND, Duration::from_millis(if slow { 30 } else { 10 }));
        }
        state.advance(SECOND);
        lost = throttled(state.decide(100));
        if lost.is_some() {
            break;
        }
    }
    assert!(lost.is_some());
    // No further report arrives.
    state.advance(Duration::from_secs(10));
    assert_eq!(throttled(state.decide(100)), lost);
}

/// Guards against nondeterminism, with which failures could not be reproduced from a seed.
#[test]
fn equal_seeds_and_events_give_equal_decisions() {
    let run = || {
        let mut state = cluster();
        for number in 0..300 {
            state.submit(
                &format!("s{}", number % 7),
                &format!("t{}", number % 5),
                TaskClass::Batch,
                "3c/9GB/0a",
                false,
            );
        }
        state.set_zone("z2", false);
        (0..10).flat_map(|_| state.run_cycle(SECOND)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Guards against state changes by events of other attempts, unknown tasks and unknown workers.
#[test]
fn stale_events_are_ignored() {
    let mut state = cluster();
    let task = state.submit_batch("4c/16GB/0a");
    state.run_cycle(SECOND);
    let before = state.policy.status();
    let (attempt, outcome) = (AttemptNumber::new(7), TaskOutcome::Done);
    state.observe(PolicyEvent::TaskEnded { task, attempt, outcome });
    state.observe(PolicyEvent::TaskRunning { task: TaskId::new(999), attempt });
    state.observe(PolicyEvent::WorkerLost { worker: "nobody".parse().unwrap() });
    assert_eq!(state.policy.status(), before);
}
