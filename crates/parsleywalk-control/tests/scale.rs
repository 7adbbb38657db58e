//! Bytes, memory and times at the projected size.
//!
//! The measurements need a release build and take a few seconds:
//! `cargo test --release -p parsleywalk-control --test scale -- --ignored --nocapture`

mod common;

use std::time::Instant;

use common::{catalog, configure, service, size, submit, unit};
use parsleywalk_control::{AttemptChange, ControlCommand, ControlReply, ControlState, WorkerNumber};
use parsleywalk_units::{
    AttemptNumber, Incarnation, MemoryBytes, MilliCores, ResourceSize, StateTime, TaskClass, TaskId, TimeSpan,
};
use rstest::rstest;

/// Milliseconds since 1970, the largest times that a proposer may use.
const NOW: u64 = 1_796_000_000_000;
const WORKERS: u32 = 4400;
const SERVICES: u32 = 440;
const INSTANCES: u32 = 50;
const JOBS: u32 = 12_000;
const TASKS_PER_JOB: u32 = 10;

fn start(task: u64, worker: u32) -> ControlCommand {
    let memory = MemoryBytes::new(3_500_000_000);
    ControlCommand::StartTask {
        at: StateTime::from_millis(NOW),
        task: TaskId::new(task),
        attempt: AttemptNumber::new(1),
        worker: WorkerNumber::new(worker),
        size: ResourceSize::new(MilliCores::new(900), memory),
    }
}

/// Guards the target of at most 40 replicated bytes for a task start, at numbers that take years to reach.
#[rstest]
#[case::today(200_000, 4400)]
#[case::after_years(4_000_000_000, 4_000_000_000)]
fn a_start_takes_at_most_40_bytes(#[case] task: u64, #[case] worker: u32) {
    let command = start(task, worker);
    let bytes = command.encode();
    println!("start of task {task}: {} bytes", bytes.len());
    assert!(bytes.len() <= 40, "{} bytes", bytes.len());
    assert_eq!(ControlCommand::decode(&bytes).unwrap(), command);
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 4096
}

fn build(with_checkpoints: bool) -> ControlState {
    let mut state = ControlState::new();
    let mut services: Vec<_> = (0..SERVICES)
        .map(|number| service(&format!("service-{number}"), TaskClass::LatencyCritical, 0, INSTANCES, &[]))
        .collect();
    services.push(service("batch", TaskClass::Batch, 0, 0, &[]));
    for number in 0..WORKERS {
        let reply = state
            .apply(&ControlCommand::RegisterWorker {
                at: StateTime::from_millis(NOW),
                worker: unit(&format!("worker-{number:05}")),
                incarnation: Incarnation::new(NOW + u64::from(number)),
                zone: unit(&format!("zone-{}", number % 11)),
                rack: unit(&format!("rack-{}", number / 8)),
                capacity: size(64),
            })
            .reply;
        assert!(matches!(reply, ControlReply::Registered { .. }));
    }
    state.apply(&configure(NOW, "first", catalog(1, None, services)));
    for number in 0..JOBS {
        state.apply(&submit(NOW, &format!("resurvey-{number:08}"), TASKS_PER_JOB, None));
    }
    let count = SERVICES * INSTANCES + JOBS * TASKS_PER_JOB;
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
    state.apply(&ControlCommand::RecordReport { at: StateTime::from_millis(NOW), worker, sequence: 1, changes });
}

#[rstest]
#[case::plain(false)]
#[case::with_checkpoints(true)]
#[ignore = "measures in a release build"]
fn the_projected_size(#[case] with_checkpoints: bool) {
    let before = resident_bytes();
    let built = Instant::now();
    let state = build(with_checkpoints);
    let (commands, build_time) = (state.revision(), built.elapsed());
    let running = u64::from(state.task_counts().running);
    println!("checkpoints: {with_checkpoints}, tasks running: {running}, workers: {WORKERS}, jobs: {JOBS}");
    println!("memory per running task, all else included: {} bytes", (resident_bytes() - before) / running);
    println!("{commands} commands in {build_time:?}, {:?} each", build_time / u32::try_from(commands).unwrap());
    let encoding = Instant::now();
    let bytes = state.encode();
    println!("snapshot: {} bytes, encoded in {:?}", bytes.len(), encoding.elapsed());
    let (loading, before) = (Instant::now(), resident_bytes());
    let loaded = ControlState::decode(&bytes).unwrap();
    let load_time = loading.elapsed();
    println!("loaded and checked in {load_time:?}, {} bytes per task", (resident_bytes() - before) / running);
    assert!(loaded == state, "the snapshot differs");
    let checking = Instant::now();
    state.check_invariants().unwrap();
    println!("all invariants checked in {:?}", checking.elapsed());
    let (mut state, turning, rounds) = (loaded, Instant::now(), 20_000_u32);
    for round in 0..rounds {
        let task = TaskId::new(u64::from(SERVICES * INSTANCES + 1 + round * 5));
        let (worker, attempt) = (state.task(task).unwrap().worker().unwrap(), AttemptNumber::new(1));
        let (at, sequence) = (StateTime::from_millis(NOW), u64::from(round) + 2);
        let change = AttemptChange::Absent { task, attempt, echo: u64::MAX };
        state.apply(&ControlCommand::RecordReport { at, worker, sequence, changes: vec![change] });
        let ControlCommand::StartTask { at, task, size, .. } = start(task.get(), 1) else { unreachable!() };
        let reply = state.apply(&ControlCommand::StartTask { at, task, attempt: attempt.next(), worker, size }).reply;
        assert_eq!(reply, ControlReply::Accepted);
    }
    println!("an end with a further start: {:?}", turning.elapsed() / rounds);
    assert!(load_time.as_secs_f64() < 1.0);
}
