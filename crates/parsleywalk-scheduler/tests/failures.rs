//! One test for each failure that concerns the policy.

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
const LATENCY: ObjectiveWeights = ObjectiveWeights { batch_throughput: 0.0, service_latency: 1.0 };

fn fleet() -> FakeState {
    FakeState::with_fleet(PolicySettings::default(), 6, 4, "32c/125GB/0a")
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

/// A proposal that is refused or lost must be made again, and not before its wait has ended.
#[test]
fn lost_start_is_proposed_again_after_its_wait() {
    let mut state = fleet();
    let task = state.batch("4c/16GB/0a");
    assert_eq!(starts(&state.decide(10)), 1);
    state.pass(SECOND);
    assert_eq!(starts(&state.decide(10)), 0);
    assert!(state.policy.explain(task).to_string().contains("is being committed"));
    state.pass(SECOND);
    assert_eq!(starts(&state.decide(10)), 1);
}

/// Tasks started in a zone that operators took out, and instances stopped before their replacements.
#[test]
fn zone_out_moves_everything_and_starts_nothing_there() {
    let mut state = fleet();
    for _ in 0..6 {
        state.instance("4c/16GB/0a");
    }
    for _ in 0..30 {
        state.batch("8c/16GB/0a");
    }
    state.step(SECOND);
    state.set_zone("z1", false);
    let held: Vec<TaskId> =
        state.tasks.keys().copied().filter(|task| state.workers[&state.tasks[task].worker].zone == "z1").collect();
    let decisions = state.decide(10_000);
    for task in held {
        let batch = state.tasks[&task].class == TaskClass::Batch;
        let moved = decisions.iter().any(|decision| match decision {
            PolicyDecision::Evict { task: moved, reason: EvictionCause::ZoneOut, .. } => batch && *moved == task,
            PolicyDecision::Replace { task: moved, .. } => !batch && *moved == task,
            _ => false,
        });
        assert!(moved, "{task} stays");
    }
    for decision in &decisions {
        state.accept(decision);
    }
    // The oracle refuses starts in the zone.
    for _ in 0..20 {
        state.step(SECOND);
    }
    assert!(state.queued().is_empty());
}

/// A zone that returns must not get everything at once.
#[test]
fn zone_in_takes_starts_gradually() {
    let mut state = fleet();
    state.set_zone("z0", false);
    for _ in 0..200 {
        state.batch("8c/16GB/0a");
    }
    state.step(SECOND);
    state.set_zone("z0", true);
    let first: usize = (0..5).map(|_| starts(&state.step(SECOND))).sum();
    let rest: usize = (0..90).map(|_| starts(&state.step(SECOND))).sum();
    assert!((1..=5).contains(&first), "{first} starts in the first 5 s");
    assert_eq!(first + rest, 32);
}

/// Jobs that can never run must not block others, and `explain` must say why they wait.
#[rstest]
#[case("64c/1GB/0a", "100c/100GB/0a", "no worker of a zone in service has")]
#[case("20c/1GB/0a", "16c/100GB/0a", "its quota is")]
fn impossible_job_blocks_nothing(#[case] need: &str, #[case] quota: &str, #[case] reason: &str) {
    let mut state = fleet();
    state.configure(&[("planning", 1, Some(quota))], ObjectiveWeights::default());
    let impossible: Vec<TaskId> = (0..300).map(|_| state.batch(need)).collect();
    let possible = state.batch("4c/16GB/0a");
    state.step(SECOND);
    assert!(matches!(state.tasks[&possible].phase, FakePhase::Running(_)));
    let told = state.policy.explain(impossible[0]).to_string();
    assert!(told.contains(reason), "{told}");
}

/// Cancellations of thousands of queued tasks must leave the rest startable.
#[test]
fn cancellation_flood_leaves_the_rest() {
    let mut state = fleet();
    let tasks: Vec<TaskId> = (0..10_000).map(|_| state.batch("32c/100GB/0a")).collect();
    state.step(SECOND);
    for task in &tasks[..9990] {
        state.end(*task, TaskOutcome::Cancelled);
    }
    state.step(SECOND);
    assert_eq!(state.running().len(), 10);
    assert_eq!(state.policy.status().queued, 0);
}

/// A worker that fails everything must not swallow the queue; it gets one probe at a time and returns after a success.
#[test]
fn failing_worker_is_quarantined_and_probed() {
    let mut state = fleet();
    let mut failures = 0;
    for round in 0..600 {
        while state.queued().len() < 40 {
            state.batch("4c/16GB/0a");
        }
        state.step(SECOND);
        let bad = state.held_on("w0.0");
        if state.policy.status().quarantined > 0 {
            assert!(bad.len() <= 1, "{} probes at once", bad.len());
        }
        for task in state.running() {
            if state.tasks[&task].worker == "w0.0" && round < 400 {
                failures += 1;
                state.end(task, TaskOutcome::Failed);
            } else if task.get() % 3 == round % 3 {
                state.end(task, TaskOutcome::Done);
            }
        }
    }
    assert!(failures < 20, "{failures} failures");
    assert_eq!(state.policy.status().quarantined, 0, "released after its probe succeeded");
}

/// A job that fails everywhere must end as failed, and must not condemn sound workers.
#[test]
fn failing_job_ends_with_reasons_and_without_blaming_workers() {
    let mut state = fleet();
    let bad: BTreeSet<TaskId> = (0..20).map(|_| state.batch("4c/16GB/0a")).collect();
    let mut failed = BTreeSet::new();
    for _ in 0..600 {
        state.batch("4c/16GB/0a");
        for decision in state.step(SECOND) {
            if let PolicyDecision::Fail { task, reason } = decision {
                assert!(reason.starts_with("failed on 3 healthy workers: w"), "{reason}");
                failed.insert(task);
            }
        }
        for task in state.running() {
            state.end(task, if bad.contains(&task) { TaskOutcome::Failed } else { TaskOutcome::Done });
        }
    }
    assert_eq!(failed, bad);
    assert_eq!(state.policy.status().quarantined, 0);
}

/// Urgent work must start within seconds by evicting what loses least, also where the first eviction is lost.
#[test]
fn urgent_work_evicts_what_loses_least() {
    let mut state = FakeState::with_fleet(PolicySettings::default(), 3, 1, "8c/32GB/0a");
    let saved = state.batch("8c/8GB/0a");
    state.step(SECOND);
    let unsaved = [state.batch("8c/8GB/0a"), state.batch("8c/8GB/0a")];
    state.step(Duration::from_mins(2));
    // Only the oldest task is known to have a recent checkpoint.
    let worker = state.tasks[&saved].worker.clone();
    state.report(&worker, SECOND, Duration::ZERO);
    let urgent = state.submit("resurvey", "planning", TaskClass::Batch, "4c/8GB/0a", true);
    let lost = evictions(&state.decide(100));
    assert_eq!(lost.len(), 1);
    assert!(lost[0].0 == saved && !unsaved.contains(&lost[0].0));
    assert_eq!(lost[0].1, EvictionCause::UrgentWork);
    for _ in 0..5 {
        state.pass(SECOND);
        state.step(Duration::ZERO);
    }
    assert!(matches!(state.tasks[&urgent].phase, FakePhase::Running(_)));
}

/// The loss of a rack must leave room for its instances, without waiting for evictions.
#[test]
fn rack_loss_finds_room_that_was_kept() {
    let mut state = fleet();
    state.configure(&[], LATENCY);
    for _ in 0..12 {
        state.instance("4c/16GB/0a");
    }
    for _ in 0..400 {
        state.batch("4c/4GB/0a");
    }
    for _ in 0..10 {
        state.step(SECOND);
    }
    assert!(!state.queued().is_empty(), "the fleet is full");
    for place in 0..4 {
        state.lose(&format!("w0.{place}"));
    }
    state.step(SECOND);
    let waits = |task: &&TaskId| state.tasks[*task].class == TaskClass::LatencyCritical;
    assert_eq!(state.queued().iter().filter(waits).count(), 0);
}

/// The loss of one zone, rack or VM must not take most instances of a service.
#[test]
fn instances_are_spread() {
    let mut state = fleet();
    for _ in 0..12 {
        state.instance("4c/16GB/0a");
    }
    state.step(SECOND);
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

/// One team must not hold the fleet only because it queued first, and weights must count.
#[test]
fn teams_share_by_weight_and_quota() {
    let mut state = fleet();
    state.configure(
        &[("one", 1, None), ("two", 2, None), ("limited", 8, Some("64c/200GB/0a"))],
        ObjectiveWeights::default(),
    );
    for team in ["one", "two", "limited"] {
        for _ in 0..400 {
            state.submit("resurvey", team, TaskClass::Batch, "4c/12GB/0a", false);
        }
    }
    state.step(SECOND);
    let held = |team: &str| state.sum(|task| task.team == team).cores.get() / 4000;
    assert_eq!(held("limited"), 16);
    let (one, two) = (held("one"), held("two"));
    assert!(two.abs_diff(2 * one) <= 2, "{one} and {two}");
}

/// Declared sizes that are far too small must not fill a worker's memory.
#[test]
fn memory_is_learned() {
    let mut state = FakeState::with_fleet(PolicySettings::default(), 1, 1, "32c/100GB/0a");
    state.batch("1c/1GB/0a");
    state.step(SECOND);
    for _ in 0..200 {
        let task = state.running()[0];
        state.tasks.get_mut(&task).unwrap().size.memory = size("1c/10GB/0a").memory;
        state.report("w0.0", SECOND, Duration::ZERO);
        state.pass(SECOND);
    }
    for _ in 0..30 {
        state.batch("1c/1GB/0a");
    }
    state.step(SECOND);
    let running = state.running().len();
    assert!((8..=11).contains(&running), "{running} tasks of 10 GB on 100 GB");
}

/// A large task must not starve behind a stream of small ones.
#[test]
fn large_task_gets_a_held_worker() {
    let mut state = FakeState::with_fleet(PolicySettings::default(), 2, 2, "8c/32GB/0a");
    let mut large = None;
    for round in 0..600_u64 {
        while state.queued().len() < 20 {
            state.submit("small", "planning", TaskClass::Batch, "1c/1GB/0a", false);
        }
        if round == 30 {
            large = Some(state.submit("large", "planning", TaskClass::Batch, "8c/30GB/0a", false));
        }
        state.step(SECOND);
        if large.is_some_and(|task| matches!(state.tasks[&task].phase, FakePhase::Running(_))) {
            return;
        }
        for task in state.running() {
            if task.get() % 20 == round % 20 {
                state.end(task, TaskOutcome::Done);
            }
        }
    }
    panic!("never started: {}", state.policy.explain(large.unwrap()));
}

/// Guards that step on stale reports evict what a throttle had already cured.
#[test]
fn guards_wait_for_reports_of_their_last_step() {
    let mut state = FakeState::with_fleet(PolicySettings::default(), 3, 2, "32c/125GB/0a");
    state.configure(&[], LATENCY);
    for _ in 0..6 {
        state.instance("4c/16GB/0a");
    }
    state.step(SECOND);
    for _ in 0..3 {
        state.batch("20c/40GB/0a");
    }
    state.step(SECOND);
    let noisy: Vec<String> =
        state.tasks.values().filter(|task| task.class == TaskClass::Batch).map(|task| task.worker.clone()).collect();
    let workers: Vec<String> = state.workers.keys().cloned().collect();
    let (lag, mut levels) = (Duration::from_secs(8), Vec::new());
    for round in 0..60 {
        for worker in &workers {
            let slow = round > 5 && *worker == noisy[0];
            state.report(worker, lag, Duration::from_millis(if slow { 30 } else { 10 }));
        }
        for decision in state.step(Duration::from_secs(2)) {
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
    // The effect takes 2 s and the report 8 s.
    assert!(levels[1].0.since(levels[0].0) >= Duration::from_secs(10), "{levels:?}");
}

/// No event confirms a throttle, so a lost one must be proposed again.
#[test]
fn lost_throttle_is_proposed_again() {
    let mut state = FakeState::with_fleet(PolicySettings::default(), 3, 2, "32c/125GB/0a");
    state.configure(&[], LATENCY);
    for _ in 0..6 {
        state.instance("4c/16GB/0a");
    }
    state.step(SECOND);
    state.batch("20c/40GB/0a");
    state.step(SECOND);
    let workers: Vec<String> = state.workers.keys().cloned().collect();
    let noisy = state.tasks.values().find(|task| task.class == TaskClass::Batch).unwrap().worker.clone();
    let throttled = |decisions: Vec<PolicyDecision>| {
        decisions.into_iter().find(|decision| matches!(decision, PolicyDecision::Throttle { .. }))
    };
    let mut lost = None;
    for round in 0..30 {
        for worker in &workers {
            let slow = round > 5 && *worker == noisy;
            state.report(worker, SECOND, Duration::from_millis(if slow { 30 } else { 10 }));
        }
        state.pass(SECOND);
        lost = throttled(state.decide(100));
        if lost.is_some() {
            break;
        }
    }
    assert!(lost.is_some());
    // Without any further report.
    state.pass(Duration::from_secs(10));
    assert_eq!(throttled(state.decide(100)), lost);
}

/// Equal seeds and events must give equal decisions, or a failure cannot be repeated.
#[test]
fn decisions_repeat() {
    let run = || {
        let mut state = fleet();
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
        (0..10).flat_map(|_| state.step(SECOND)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Events of another attempt, of unknown tasks and of lost workers must change nothing.
#[test]
fn stale_events_are_ignored() {
    let mut state = fleet();
    let task = state.batch("4c/16GB/0a");
    state.step(SECOND);
    let before = state.policy.status();
    let (attempt, outcome) = (AttemptNumber::new(7), TaskOutcome::Done);
    state.observe(PolicyEvent::TaskEnded { task, attempt, outcome });
    state.observe(PolicyEvent::TaskRunning { task: TaskId::new(999), attempt });
    state.observe(PolicyEvent::WorkerLost { worker: "nobody".parse().unwrap() });
    assert_eq!(state.policy.status(), before);
}
