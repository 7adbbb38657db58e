//! Measures the memory and the times of the control state at the projected size.
//!
//! `cargo run --release -p parsleywalk-control --example projected_size [-- [TASKS_PER_JOB] [checkpoints]]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{catalog, configure, service, size, submit, unit};
use parsleywalk_control::{AttemptChange, ControlCommand, ControlReply, ControlState, WorkerNumber};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, ResourceSize, StateTime, TaskClass, TaskId, TimeSpan,
};

/// Milliseconds since 1970 in the year 2026, a state time of the size that proposers use.
const NOW_MS: u64 = 1_796_000_000_000;
const WORKERS: u32 = 4400;
const SERVICES: u32 = 440;
const INSTANCES_PER_SERVICE: u32 = 50;
const BATCH_TASKS: u32 = 120_000;

fn start(task: u64, worker: u32) -> ControlCommand {
    let memory = MemoryBytes::new(3_500_000_000);
    ControlCommand::StartTask {
        at: StateTime::from_millis(NOW_MS),
        task: TaskId::new(task),
        attempt: AttemptNumber::new(1),
        worker: WorkerNumber::new(worker),
        size: ResourceSize::new(MilliCores::new(900), memory),
    }
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 4096
}

fn build(tasks_per_job: u32, with_checkpoints: bool) -> ControlState {
    let mut state = ControlState::new();
    let mut services: Vec<_> = (0..SERVICES)
        .map(|number| service(&format!("service-{number}"), TaskClass::LatencyCritical, 0, INSTANCES_PER_SERVICE, &[]))
        .collect();
    services.push(service("batch", TaskClass::Batch, 0, 0, &[]));
    for number in 0..WORKERS {
        let reply = state
            .apply(&ControlCommand::RegisterWorker {
                at: StateTime::from_millis(NOW_MS),
                worker: unit(&format!("worker-{number:05}")),
                incarnation: Incarnation::new(NOW_MS + u64::from(number)),
                zone: unit(&format!("zone-{}", number % 11)),
                rack: unit(&format!("rack-{}", number / 8)),
                capacity: size(64),
            })
            .reply;
        assert!(matches!(reply, ControlReply::Registered { .. }));
    }
    state.apply(&configure(NOW_MS, "first", catalog(1, None, services)));
    for number in 0..BATCH_TASKS / tasks_per_job {
        state.apply(&submit(NOW_MS, &format!("resurvey-{number:08}"), tasks_per_job, None));
    }
    let count = SERVICES * INSTANCES_PER_SERVICE + BATCH_TASKS;
    for task in 1..=count {
        assert_eq!(state.apply(&start(u64::from(task), 1 + task % WORKERS)).reply, ControlReply::Accepted);
    }
    for worker in 1..=WORKERS {
        confirm(&mut state, WorkerNumber::new(worker), with_checkpoints);
    }
    assert_eq!(state.task_counts().running, count);
    state
}

fn confirm(state: &mut ControlState, worker: WorkerNumber, with_checkpoints: bool) {
    let attempt = AttemptNumber::new(1);
    let mut changes = Vec::new();
    for task in state.registration(worker).unwrap().tasks() {
        changes.push(AttemptChange::Running { task: *task, attempt });
        if with_checkpoints && state.task(*task).unwrap().service().as_str() == "batch" {
            let reference = format!("checkpoints/slope-resurvey/{task}/0001");
            changes.push(AttemptChange::Checkpoint { task: *task, attempt, reference, since: TimeSpan::default() });
        }
    }
    state.apply(&ControlCommand::RecordReport { at: StateTime::from_millis(NOW_MS), worker, sequence: 1, changes });
}

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let tasks_per_job = arguments.iter().find_map(|argument| argument.parse().ok()).unwrap_or(10);
    let with_checkpoints = arguments.iter().any(|argument| argument == "checkpoints");
    println!("{tasks_per_job} tasks per job, checkpoints: {with_checkpoints}, workers: {WORKERS}");
    let state = measure_growth(tasks_per_job, with_checkpoints);
    let loaded = measure_snapshot(&state);
    measure_turnover(loaded);
}

fn measure_growth(tasks_per_job: u32, with_checkpoints: bool) -> ControlState {
    let before = resident_bytes();
    let built = Instant::now();
    let state = build(tasks_per_job, with_checkpoints);
    let (commands, build_time) = (state.revision(), built.elapsed());
    let running = u64::from(state.task_counts().running);
    println!(
        "{running} tasks run, memory for each, all else included: {} bytes",
        (resident_bytes() - before) / running
    );
    println!("{commands} commands in {build_time:?}, {:?} each", build_time / u32::try_from(commands).unwrap());
    state
}

fn measure_snapshot(state: &ControlState) -> ControlState {
    let running = u64::from(state.task_counts().running);
    let encoding = Instant::now();
    let bytes = state.encode();
    println!("snapshot: {} bytes, encoded in {:?}", bytes.len(), encoding.elapsed());
    let (loading, before) = (Instant::now(), resident_bytes());
    let loaded = ControlState::decode(&bytes).unwrap();
    let load_time = loading.elapsed();
    println!("loaded and checked in {load_time:?}, {} bytes per task", (resident_bytes() - before) / running);
    assert!(loaded == *state, "the snapshot differs");
    let checking = Instant::now();
    state.check_invariants().unwrap();
    println!("all invariants checked in {:?}", checking.elapsed());
    loaded
}

fn measure_turnover(mut state: ControlState) {
    let (turning, rounds) = (Instant::now(), 20_000_u32);
    for round in 0..rounds {
        let task = TaskId::new(u64::from(SERVICES * INSTANCES_PER_SERVICE + 1 + round * 5));
        let (worker, attempt) = (state.task(task).unwrap().worker().unwrap(), AttemptNumber::new(1));
        let (at, sequence) = (StateTime::from_millis(NOW_MS), u64::from(round) + 2);
        let change = AttemptChange::Absent { task, attempt, echo: u64::MAX };
        state.apply(&ControlCommand::RecordReport { at, worker, sequence, changes: vec![change] });
        let ControlCommand::StartTask { at, task, size, .. } = start(task.get(), 1) else { unreachable!() };
        let reply = state.apply(&ControlCommand::StartTask { at, task, attempt: attempt.next(), worker, size }).reply;
        assert_eq!(reply, ControlReply::Accepted);
    }
    println!("an end with a further start: {:?}", turning.elapsed() / rounds);
}
