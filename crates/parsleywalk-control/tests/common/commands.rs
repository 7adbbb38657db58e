//! Strategies for random commands, most of them valid in the oracle's current state.

use parsleywalk_api::TaskPhase;
use parsleywalk_control::{AttemptChange, AttemptEnd, ControlCommand, EvictionReason, WorkerNumber};
use parsleywalk_units::{
    AcceleratorCount, AttemptNumber, ClaimId, ClaimOutcome, Incarnation, RequestKey, ResourceSize, StateTime, TaskId,
    TimeSpan, VmNumber, ZoneDirection,
};
use proptest::prelude::*;

use super::oracle::{Oracle, Task, is_live};
use super::{configure, fuzz_catalog, register, size, spec, unit};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns the time of the next command. Times increase and stay within a minute, so that nothing expires.
fn now(oracle: &Oracle) -> u64 {
    oracle.revision + 1
}

fn at(oracle: &Oracle) -> StateTime {
    StateTime::from_millis(now(oracle))
}

/// Selects a live task with its attempt, and rarely a task that has ended or never existed.
fn task_and_attempt(oracle: &Oracle) -> BoxedStrategy<(TaskId, u32)> {
    let live: Vec<_> =
        oracle.tasks.iter().filter(|(_, task)| is_live(task.phase)).map(|(id, task)| (*id, task.attempt)).collect();
    let any: Vec<_> =
        oracle.tasks.iter().map(|(id, task)| (*id, task.attempt)).chain([(oracle.last_task + 1, 0)]).collect();
    let live = if live.is_empty() { any.clone() } else { live };
    prop_oneof![20 => prop::sample::select(live), 1 => prop::sample::select(any)]
        .prop_map(|(id, attempt)| (TaskId::new(id), attempt))
        .boxed()
}

fn attempt(expected: u32) -> BoxedStrategy<AttemptNumber> {
    prop_oneof![8 => Just(expected), 1 => Just(expected + 1), 1 => Just(expected.saturating_sub(1))]
        .prop_map(AttemptNumber::new)
        .boxed()
}

/// Selects a starting or running task if there is one.
fn started_task(oracle: &Oracle) -> BoxedStrategy<(TaskId, u32)> {
    let may_run = |task: &Task| matches!(task.phase, TaskPhase::Starting | TaskPhase::Running);
    let started: Vec<_> = oracle
        .tasks
        .iter()
        .filter(|(_, task)| may_run(task))
        .map(|(id, task)| (TaskId::new(*id), task.attempt))
        .collect();
    let any = task_and_attempt(oracle);
    if started.is_empty() { any } else { prop_oneof![4 => prop::sample::select(started), 1 => any].boxed() }
}

fn worker_number(oracle: &Oracle) -> BoxedStrategy<u32> {
    let known: Vec<_> = oracle.workers.keys().copied().collect();
    let any = 0..=oracle.last_worker + 1;
    if known.is_empty() { any.boxed() } else { prop_oneof![9 => prop::sample::select(known), 1 => any].boxed() }
}

fn task_size() -> BoxedStrategy<ResourceSize> {
    (1..=4_u32, 0..=1_u16)
        .prop_map(|(cores, count)| size(cores).with_accelerators(AcceleratorCount::new(count)))
        .boxed()
}

fn operation() -> BoxedStrategy<String> {
    (0..40_u32).prop_map(|number| format!("op{number}")).boxed()
}

fn operator(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let (now, at, version) = (now(oracle), at(oracle), oracle.version);
    let configure = (operation(), prop_oneof![6 => Just(version + 1), 1 => Just(version), 1 => Just(version + 2)])
        .prop_flat_map(move |(operation, version)| {
            (0..=3_u32, 2..=9_u32, 1..=2_u32).prop_map(move |(instances, quota, cores)| {
                configure(now, &operation, fuzz_catalog(version, quota, instances, cores))
            })
        });
    let direction = prop_oneof![1 => Just(ZoneDirection::Out), 2 => Just(ZoneDirection::In)];
    let zone =
        (operation(), prop::sample::select(&ZONES[..]), direction).prop_map(move |(operation, zone, direction)| {
            ControlCommand::SetZone { at, operation: unit(&operation), zone: unit(zone), direction }
        });
    prop_oneof![1 => configure, 2 => zone].boxed()
}

fn registration(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let (now, at) = (now(oracle), at(oracle));
    let known: Vec<_> = oracle.workers.values().map(|worker| (worker.id.clone(), worker.incarnation.get())).collect();
    let join = (0..3_usize, 1..=4_u64, prop_oneof![9 => Just(6_u32), 1 => Just(7)]).prop_map(
        move |(worker, incarnation, cores)| register(now, &format!("w{worker}"), incarnation, ZONES[worker % 2], cores),
    );
    if known.is_empty() {
        return join.boxed();
    }
    let lose = (prop::sample::select(known), 0..=2_u64).prop_map(move |((worker, incarnation), offset)| {
        ControlCommand::LoseWorker { at, worker, incarnation: Incarnation::new(incarnation + offset.saturating_sub(1)) }
    });
    prop_oneof![3 => join, 1 => lose].boxed()
}

fn job(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let at = at(oracle);
    let key = || (0..12_u32).prop_map(|number| super::job_key(&format!("k{number}")));
    let submit = (key(), 1..=3_u32, prop::option::weighted(0.2, task_size()))
        .prop_map(move |(key, count, size)| ControlCommand::SubmitJob { at, key, job: spec(count, size) });
    let cancel = key().prop_map(move |key| ControlCommand::CancelJob { at, key });
    let fail = task_and_attempt(oracle).prop_map(move |(task, _)| ControlCommand::FailTask {
        at,
        task,
        reason: "failed on every worker".to_owned(),
    });
    prop_oneof![6 => submit, 2 => cancel, 1 => fail].boxed()
}

fn placement(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let at = at(oracle);
    let start = (task_and_attempt(oracle), worker_number(oracle), task_size())
        .prop_flat_map(|((task, last), worker, size)| (Just((task, worker, size)), attempt(last + 1)))
        .prop_map(move |((task, worker, size), attempt)| ControlCommand::StartTask {
            at,
            task,
            attempt,
            worker: WorkerNumber::new(worker),
            size,
        });
    let evict = started_task(oracle).prop_flat_map(|(task, last)| (Just(task), attempt(last))).prop_map(
        move |(task, attempt)| ControlCommand::EvictTask { at, task, attempt, reason: EvictionReason::Urgent },
    );
    let replace = started_task(oracle).prop_map(move |(task, _)| ControlCommand::ReplaceInstance { at, task });
    prop_oneof![7 => start, 2 => evict, 2 => replace].boxed()
}

fn change(oracle: &Oracle, number: u32) -> BoxedStrategy<AttemptChange> {
    let revision = oracle.revision;
    let placed: Vec<_> = oracle
        .tasks
        .iter()
        .filter(|(_, task)| task.worker == Some(number))
        .map(|(id, task)| (TaskId::new(*id), task.attempt, task.entered))
        .collect();
    let any = task_and_attempt(oracle).prop_map(move |(task, last)| (task, last, revision));
    let target =
        if placed.is_empty() { any.boxed() } else { prop_oneof![9 => prop::sample::select(placed), 1 => any].boxed() };
    let end = prop_oneof![
        Just(AttemptEnd::Done),
        Just(AttemptEnd::Failed),
        Just(AttemptEnd::Stopped),
        Just(AttemptEnd::NotStarted)
    ];
    let reference = (0..9_u32).prop_map(|number| format!("checkpoint{number}"));
    (target, 0..10_u32, end, reference, -1..=1_i64)
        .prop_flat_map(|((task, last, entered), kind, end, reference, offset)| {
            (Just((task, kind, end, reference, entered.saturating_add_signed(offset))), attempt(last))
        })
        .prop_map(|((task, kind, end, reference, echo), attempt)| match kind {
            0..=4 => AttemptChange::Running { task, attempt },
            5 => AttemptChange::Checkpoint { task, attempt, reference, since: TimeSpan::default() },
            6..=7 => {
                let (checkpoint, text) = (Some(reference).filter(|_| kind == 6), "text".to_owned());
                AttemptChange::Ended { task, attempt, end, checkpoint, since: TimeSpan::default(), text }
            }
            _ => AttemptChange::Absent { task, attempt, echo },
        })
        .boxed()
}

fn report(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let (at, oracle) = (at(oracle), oracle.clone());
    worker_number(&oracle)
        .prop_flat_map(move |number| {
            let next = oracle.workers.get(&number).and_then(|worker| worker.sequence).map_or(1, |last| last + 1);
            let sequence = prop_oneof![9 => Just(next), 1 => Just(next - 1)];
            (Just(number), sequence, prop::collection::vec(change(&oracle, number), 1..=3))
        })
        .prop_map(move |(number, sequence, changes)| ControlCommand::RecordReport {
            at,
            worker: WorkerNumber::new(number),
            sequence,
            changes,
        })
        .boxed()
}

fn claim(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    let at = at(oracle);
    let key = || (0..4_u32).prop_map(|number| RequestKey { service: unit("web"), key: unit(&format!("r{number}")) });
    let claim = (key(), 1..=3_u64).prop_map(move |(key, claim)| ControlCommand::Claim {
        at,
        key,
        entry: VmNumber::new(1),
        claim: ClaimId::new(claim),
        deadline: TimeSpan::from_secs(2),
    });
    let outcome = prop_oneof![Just(ClaimOutcome::NotRun), Just(ClaimOutcome::Done), Just(ClaimOutcome::Unknown)];
    let settle = (key(), 1..=3_u64, outcome).prop_map(move |(key, claim, outcome)| ControlCommand::SettleClaim {
        at,
        key,
        claim: ClaimId::new(claim),
        outcome,
    });
    prop_oneof![claim, settle].boxed()
}

/// Selects any command.
pub(crate) fn command(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
    prop_oneof![
        2 => operator(oracle),
        2 => registration(oracle),
        3 => job(oracle),
        8 => placement(oracle),
        8 => report(oracle),
        2 => claim(oracle),
    ]
    .boxed()
}
