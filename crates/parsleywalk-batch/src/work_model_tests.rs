//! Tests of predictions from sound and from implausible reports.

use std::time::Duration;

use parsleywalk_units::{Incarnation, MilliCores, MonotonicTime, ResourceSize};
use rstest::rstest;

use crate::run_progress::WorkSample;
use crate::test_submission::submission;
use crate::work_model::{MAX_HISTORIES, WorkModel};
use crate::worker_speed::WorkerSpeed;
use crate::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, EndNumber, FencingToken, JobId, JobSubmission, RunEnd,
    RunNumber, RunOutcome, RunningTask, StepSpec, TaskKey, WorkerReport,
};

const ESTIMATE: Duration = Duration::from_secs(2);
const TASK: TaskKey = TaskKey { job: JobId::new(1), occurrence: 0, step: 0, index: 0 };
/// The cores that a task asks for, in thousandths.
const CORES: u32 = 4000;
const UNTIL_END: u64 = 60_000;

fn submission_to(queue: &str, job: u64, estimate: Duration) -> JobSubmission {
    let size = ResourceSize { cores: MilliCores::new(CORES), ..ResourceSize::default() };
    let step = StepSpec { count: 4, size, estimate, best_effort: true, ..StepSpec::default() };
    JobSubmission { queue: queue.to_owned(), ..submission(job, step) }
}

fn report(sequence: u64, clock: Duration, percent: u8, figure: u32) -> WorkerReport {
    let running = RunningTask { task: TASK, run: RunNumber::new(1), saved: String::new(), percent, figure };
    WorkerReport {
        worker: "worker".parse().expect("a name"),
        incarnation: Incarnation::new(1),
        service: "service".parse().expect("a name"),
        zone: "zone".parse().expect("a name"),
        labels: Vec::new(),
        capacity: ResourceSize::default(),
        draining: false,
        sequence,
        clock,
        running: vec![running],
        ended: Vec::new(),
    }
}

/// Plays reports that arrive every 200 ms, given the worker's clock in milliseconds, percentage and figure of each, and
/// returns what they predict for the other tasks of the step, in milliseconds.
fn predict(estimate: Duration, rows: &[(u64, u8, u32)]) -> u128 {
    let start = MonotonicTime::from_millis(10_000);
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), FencingToken::new(1), start);
    let submission = submission_to("queue", 1, estimate);
    let mut state = BatchState::default();
    state.apply(&BatchCommand::Submit(Box::new(submission.clone())));
    for (sequence, (clock, percent, figure)) in (1..).zip(rows) {
        let now = start + Duration::from_millis(200 * sequence);
        let mut report = report(sequence, Duration::from_millis(*clock), *percent, *figure);
        if *percent == 100 {
            report.running.clear();
            let number = EndNumber::new(1);
            let end =
                RunEnd { number, task: TASK, run: RunNumber::new(1), outcome: RunOutcome::Done, saved: String::new() };
            report.ended.push(end);
        }
        dispatcher.receive(now, &state, &report);
    }
    dispatcher.work_model.predict(&submission, 0).as_millis()
}

/// Guards against predictions from measurements that cannot be right: they must be the estimate, and sound measurements
/// must count.
#[rstest]
#[case::sound(ESTIMATE, &[(200, 0, CORES), (400, 20, CORES), (600, 40, CORES), (800, 60, CORES)], 950..1200)]
#[case::resumed(ESTIMATE, &[(200, 50, CORES), (400, 70, CORES), (600, 90, CORES)], 950..1200)]
#[case::hangs(ESTIMATE, &[(200, 0, CORES), (400, 20, CORES), (600, 40, CORES), (800, 40, CORES), (1000, 40, CORES),
    (1200, 40, CORES), (1400, 40, CORES), (1600, 40, CORES)], 950..1200)]
#[case::ended_early(ESTIMATE, &[(200, 0, CORES), (400, 40, CORES), (600, 100, CORES)], 250..450)]
#[case::half_speed(ESTIMATE, &[(200, 0, CORES), (400, 1, CORES), (600, 2, CORES), (800, 12, CORES / 2),
    (1000, 22, CORES / 2), (1200, 32, CORES / 2), (1400, 42, CORES / 2), (1600, 52, CORES / 2)], 1200..1900)]
#[case::cores_not_measured(ESTIMATE, &[(0, 0, 0), (200, 0, 0), (400, 0, 0), (600, 20, 0), (800, 40, 0), (1000, 60, 0),
    (1200, 80, 0)], 950..1200)]
#[case::clock_stands(ESTIMATE, &[(200, 0, CORES), (200, 20, CORES), (200, 40, CORES)], 2000..2001)]
#[case::clock_goes_back(ESTIMATE, &[(800, 0, CORES), (600, 20, CORES), (400, 40, CORES)], 2000..2001)]
#[case::clock_is_fast(ESTIMATE, &[(200, 0, CORES), (2200, 20, CORES), (4200, 40, CORES)], 2000..2001)]
#[case::clock_overflows(ESTIMATE, &[(200, 0, CORES), (u64::MAX, 20, CORES), (u64::MAX, 40, CORES)], 2000..2001)]
#[case::percentage_decreases(ESTIMATE, &[(200, 90, CORES), (400, 30, CORES), (600, 50, CORES)], 2000..2001)]
#[case::percentage_stands(ESTIMATE, &[(200, 10, CORES), (400, 10, CORES), (600, 10, CORES)], 2000..2001)]
#[case::no_duration(ESTIMATE, &[(200, 0, CORES), (200, 100, CORES)], 2000..2001)]
#[case::estimate_of_zero(Duration::ZERO, &[(200, 0, CORES), (200, 20, CORES)], 0..1)]
#[case::zero_but_measured(Duration::ZERO, &[(200, 0, CORES), (400, 20, CORES), (600, 40, CORES)], 950..1200)]
#[case::longest_estimate(Duration::MAX, &[(200, 0, u32::MAX), (400, 20, u32::MAX)], 1000..UNTIL_END.into())]
#[case::no_estimate_of_use(Duration::MAX, &[], 86_400_000..86_400_001)]
fn implausible_measurements_predict_the_estimate(
    #[case] estimate: Duration,
    #[case] rows: &[(u64, u8, u32)],
    #[case] expected: std::ops::Range<u128>,
) {
    let predicted = predict(estimate, rows);
    assert!(expected.contains(&predicted), "{predicted} ms instead of {expected:?}");
}

/// Guards against a model that grows with the queues, and against one that trusts estimates which prove wrong: the
/// history must count more the worse they are.
#[test]
fn histories_are_bounded_and_outweigh_wrong_estimates() {
    let mut model = WorkModel::new(true);
    let measured = WorkSample { seconds: 1.0, points: 100.0, variance: 1.0 };
    let mut learn = |queue: &str, estimates_ms: [u64; 2]| {
        for job in 0..60 {
            let task = TaskKey { job: JobId::new(job), ..TASK };
            model.record_progress(&task, &measured);
            let estimate = Duration::from_millis(estimates_ms[usize::from(job % 2 == 0)]);
            model.record_end(&submission_to(queue, job, estimate), &task);
            model.prune(&BatchState::default());
        }
        model.predict(&submission_to(queue, 1000, ESTIMATE), 0)
    };
    let wrong = learn("wrong", [300, 3000]);
    assert!(wrong < Duration::from_millis(1200), "{wrong:?}");
    for queue in 0..MAX_HISTORIES {
        learn(&format!("queue-{queue}"), [1000, 1000]);
    }
    assert_eq!(learn("queue-0", [1000, 1000]), learn("queue-1", [1000, 1000]));
    assert_eq!(model.history_count(), MAX_HISTORIES);
    assert_eq!(model.predict(&submission_to("wrong", 1000, ESTIMATE), 0), ESTIMATE, "the oldest history is forgotten");
}

/// Guards against calling a worker slow because of one run that hangs, against never believing one that has recovered, and
/// against keeping an old measurement.
#[test]
fn a_workers_speed_follows_its_newest_runs() {
    let now = MonotonicTime::from_millis(1000);
    let mut speed = WorkerSpeed::default();
    let mut run = |points: f64| {
        speed.add(now, points, 250.0, &mut 0.0);
        (speed.get(now), speed.is_slow(now))
    };
    assert_eq!(run(0.0), (None, false), "one run");
    assert_eq!(run(250.0), (Some(0.5), false), "a run that hung, and a sound one");
    let slow: Vec<bool> = (0..4).map(|_| run(75.0).1).collect();
    assert_eq!(slow, [true; 4]);
    let recovered = (1..9).find(|_| !run(250.0).1).expect("a speed");
    assert!(recovered <= 3, "{recovered} runs");
    let later = now + Duration::from_mins(1);
    assert_eq!((speed.get(later), speed.is_slow(later)), (None, false));
    speed.add(later, f64::NAN, f64::INFINITY, &mut 0.0);
    speed.add(later, 1.0, 0.0, &mut 0.0);
    assert_eq!(speed.get(later), None);
}
