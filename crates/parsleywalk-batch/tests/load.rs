//! Tests of placement, pacing and admission under heavy load.

mod support;

use std::time::Duration;

use parsleywalk_batch::{BatchCommand, JobSpec, JobStatus, MAX_PAYLOAD_BYTES, StepSpec};
use parsleywalk_units::{MemoryBytes, MilliCores, MonotonicTime, ResourceSize};
use support::{FakeFleet, size, step, submission};

/// Returns the tail latency of a queue with the given load: 25 ms without load, and above an objective of 150 ms from a
/// load of 83% on.
fn tail_latency_ms(load: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most a second")]
    let tail_latency_ms = (25.0 / (1.0 - load).max(0.025)) as u32;
    tail_latency_ms
}

/// Guards against first come, first served under twice the workers' capacity, which makes nearly every job late. At
/// least a third of the jobs must end within their objective.
#[test]
fn some_jobs_end_on_time_under_overload() {
    let mut fleet = FakeFleet::new(3, 1);
    let mut accepted: Vec<(parsleywalk_batch::JobId, MonotonicTime)> = Vec::new();
    // 96 cores; each job takes 48 core-seconds, and four jobs arrive per second.
    for id in 1..=80 {
        let job = fleet.submit(submission(id, 1, vec![step(8, 4, 1500)]));
        accepted.push((job, fleet.now));
        fleet.run_for(Duration::from_millis(250));
    }
    assert!(fleet.run_until_done(Duration::from_mins(2)), "every accepted job ends");
    // Twice the 1.5 s of work plus 1 s.
    let objective = Duration::from_secs(4);
    let on_time = accepted.iter().filter(|(job, since)| fleet.ended_at[job].since(*since) <= objective).count();
    assert!(on_time * 3 >= accepted.len(), "{on_time} of {} jobs end on time", accepted.len());
}

/// Guards against ordering by least slack: long jobs without slack arrive faster than the workers can run them and must
/// not delay short jobs, which take little and are late soon.
#[test]
fn short_jobs_end_on_time_while_long_jobs_overload_the_service() {
    let mut fleet = FakeFleet::new(3, 1);
    let mut short: Vec<(parsleywalk_batch::JobId, MonotonicTime)> = Vec::new();
    // 96 cores; long jobs need 120 and short ones 8.
    for round in 0..40_u64 {
        fleet.submit(submission(
            1000 + round,
            1,
            vec![step(10, 4, 1500), StepSpec { depends_on: vec![0], ..step(10, 4, 1500) }],
        ));
        short.push((fleet.submit(submission(2000 + round, 1, vec![step(2, 4, 500)])), fleet.now));
        fleet.run_for(Duration::from_secs(1));
    }
    fleet.run_for(Duration::from_secs(10));
    // Twice the half second of work plus 1 s, less a quarter, because estimates may be that inaccurate.
    let on_time = |(job, since): &(parsleywalk_batch::JobId, MonotonicTime)| {
        fleet.ended_at.get(job).is_some_and(|end| end.since(*since) <= Duration::from_millis(1500))
    };
    let on_time = short.iter().filter(|entry| on_time(entry)).count();
    assert!(on_time * 10 >= short.len() * 9, "{on_time} of {} short jobs end on time", short.len());
}

/// Guards against late high-priority jobs: one that arrives during an overload must not wait for the backlog.
#[test]
fn high_priority_jobs_overtake_a_backlog() {
    let mut fleet = FakeFleet::new(3, 1);
    for id in 1..=40 {
        fleet.submit(submission(id, 2, vec![step(8, 4, 1500)]));
    }
    fleet.run_for(Duration::from_secs(2));
    let start = fleet.now;
    let urgent = fleet.submit(submission(100, 0, vec![step(4, 2, 500)]));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.status(urgent), Some(JobStatus::Completed));
    assert!(fleet.ended_at[&urgent].since(start) <= Duration::from_secs(3));
}

/// Guards against placement work that grows with workers times tasks, which saturated a leader of 1100 workers: ranking
/// the workers once for each step must do.
#[test]
fn the_work_of_placing_a_step_does_not_grow_with_its_tasks() {
    let mut fleet = FakeFleet::new(200, 1);
    fleet.run_for(Duration::from_secs(1));
    let job = fleet.submit(submission(1, 1, vec![step(160, 1, 200)]));
    assert!(fleet.run_until_done(Duration::from_secs(5)));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
    // Each worker once for the step, and a few for each task whose worker has changed.
    let ranked = fleet.dispatcher.ranked_workers();
    assert!(ranked <= 200 + 4 * 160, "workers were ranked {ranked} times to place 160 tasks on 200 workers");
}

fn latency_critical_step(image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_objective: Some(Duration::from_millis(150)),
        image: image.to_owned(),
        ..step(4, 6, 0)
    }
}

fn best_effort_step(image: &str, milliseconds: u64) -> StepSpec {
    StepSpec { best_effort: true, checkpointable: true, image: image.to_owned(), ..step(8, 4, milliseconds) }
}

/// Guards against prolonged interference: best-effort tasks must be throttled or moved before a latency-critical task
/// has missed its objective for 5.5 s, and must still complete.
#[test]
fn latency_critical_tasks_miss_their_objective_only_briefly() {
    let mut fleet = FakeFleet::new(4, 1);
    fleet.tail_latency_ms = |share| tail_latency_ms(0.3 + 4.0 * share);
    for id in 1..=4 {
        fleet.submit(submission(id, 0, vec![latency_critical_step("serving")]));
    }
    fleet.run_for(Duration::from_secs(2));
    for id in 11..=30 {
        fleet.submit(submission(id, 2, vec![best_effort_step("heavy", 2000)]));
        fleet.run_for(Duration::from_millis(500));
    }
    fleet.run_for(Duration::from_mins(1));
    assert!(
        fleet.longest_violation < Duration::from_millis(5500),
        "objective missed for {:?}",
        fleet.longest_violation
    );
    let ended = (11..=30).filter(|id| fleet.status(parsleywalk_batch::JobId::new(*id)) == Some(JobStatus::Completed));
    // One best-effort task per worker stays within the objective, so 4 workers could run 17 jobs in that time.
    let ended = ended.count();
    assert!(ended >= 8, "{ended} jobs ended; the workers have capacity for 17");
}

/// Guards against idle cores: best-effort tasks that do not interfere must use the cores that long-running tasks leave
/// idle.
#[test]
fn harmless_best_effort_tasks_use_idle_cores() {
    let mut fleet = FakeFleet::new(4, 1);
    for id in 1..=4 {
        fleet.submit(submission(id, 0, vec![latency_critical_step("serving")]));
    }
    fleet.run_for(Duration::from_secs(2));
    let start = fleet.now;
    let jobs: Vec<_> =
        (11..=16).map(|id| fleet.submit(submission(id, 2, vec![best_effort_step("light", 2000)]))).collect();
    fleet.run_for(Duration::from_secs(20));
    for job in jobs {
        assert_eq!(fleet.status(job), Some(JobStatus::Completed));
        assert!(fleet.ended_at[&job].since(start) <= Duration::from_secs(15));
    }
}

/// Guards against placing a best-effort job at once although it has slack: it would make the latency-critical task miss
/// its objective. It must wait for a worker with headroom and still end on time.
#[test]
fn best_effort_jobs_with_slack_wait_for_headroom() {
    let mut fleet = FakeFleet::new(2, 1);
    // The load is 0.7 without best-effort tasks and misses the objective from 0.83 on.
    fleet.tail_latency_ms = |share| tail_latency_ms(0.7 + 2.0 * share);
    fleet.submit(submission(1, 0, vec![latency_critical_step("serving")]));
    let busy =
        fleet.submit(submission(2, 0, vec![StepSpec { long_running: true, size: size(32, 125), ..step(1, 32, 0) }]));
    // The latency-critical tasks share one worker; the other worker has no memory left.
    fleet.run_for(Duration::from_secs(3));
    let start = fleet.now;
    let job = fleet.submit(submission(3, 2, vec![StepSpec { count: 1, ..best_effort_step("heavy", 2000) }]));
    fleet.run_for(Duration::from_millis(500));
    fleet.cancel(busy);
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.longest_violation, Duration::ZERO);
    // Twice the 2 s of work plus 1 s.
    assert!(fleet.ended_at[&job].since(start) <= Duration::from_secs(5), "the job ends late");
}

/// Guards against making a job without any slack wait for a worker with more headroom.
#[test]
fn best_effort_jobs_without_slack_start_at_minimal_headroom() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.tail_latency_ms = |share| tail_latency_ms(0.7 + 0.5 * share);
    fleet.submit(submission(1, 0, vec![latency_critical_step("serving")]));
    fleet.run_for(Duration::from_secs(3));
    let mut hurried = submission(2, 2, vec![StepSpec { count: 1, ..best_effort_step("light", 2000) }]);
    (hurried.stretch, hurried.latency_objective) = (1.0, Duration::ZERO);
    let job = fleet.submit(hurried);
    // Before the starvation timeout, after which the job would be placed in any case.
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.status(job), Some(JobStatus::Running));
}

/// Guards against mixing two latency-critical images on a worker, which would leave no worker to best-effort images
/// that interfere with only one of them.
#[test]
fn latency_critical_images_are_placed_on_separate_workers() {
    let mut fleet = FakeFleet::new(8, 1);
    for id in 1..=8 {
        fleet.submit(submission(id, 0, vec![latency_critical_step(if id % 2 == 0 { "left" } else { "right" })]));
    }
    fleet.run_for(Duration::from_secs(3));
    let mixed = fleet.workers.iter().filter(|worker| {
        let images: std::collections::BTreeSet<_> = worker
            .runs
            .keys()
            .filter_map(|task| fleet.state.step_of(task).map(|(_, step)| step.image.clone()))
            .collect();
        images.len() > 1
    });
    assert_eq!(mixed.count(), 0);
}

/// Guards against the starvation of a large long-running task by small tasks, which take each core that becomes free.
#[test]
fn a_large_long_running_task_is_not_starved_by_small_tasks() {
    let mut fleet = FakeFleet::new(3, 1);
    // Twice the capacity of the workers, in tasks of 2 cores.
    let mut id = 100;
    let mut stream = |fleet: &mut FakeFleet| {
        for _ in 0..10 {
            id += 1;
            fleet.submit(submission(id, 0, vec![step(10, 2, 900 + id % 7 * 100)]));
        }
        fleet.run_for(Duration::from_secs(1));
    };
    for _ in 0..4 {
        stream(&mut fleet);
    }
    let long_running = fleet.submit(submission(1, 0, vec![StepSpec { long_running: true, ..step(1, 10, 0) }]));
    for _ in 0..6 {
        stream(&mut fleet);
    }
    assert_eq!(fleet.status(long_running), Some(JobStatus::Running), "the task waits for more than 6 s");
}

/// Guards against reserving a worker on which other long-running tasks leave too little capacity: the large task would
/// then wait forever. It must start within 6 s.
#[test]
fn a_reservation_picks_a_worker_that_can_fit_the_task() {
    let mut fleet = FakeFleet::new(3, 1);
    let long_running = |count, cores| vec![StepSpec { long_running: true, ..step(count, cores, 0) }];
    // The long-running tasks leave 8 of 32 cores on two workers and 12 on the third; tasks of 5 cores use what is left.
    for (id, cores) in [(1, 24), (2, 24), (3, 20)] {
        fleet.submit(submission(id, 0, long_running(1, cores)));
        fleet.run_for(Duration::from_millis(500));
    }
    let mut id = 100;
    let mut stream = |fleet: &mut FakeFleet| {
        id += 1;
        fleet.submit(submission(id, 0, vec![step(3, 5, 900 + id % 7 * 100)]));
        fleet.run_for(Duration::from_millis(500));
    };
    for _ in 0..4 {
        stream(&mut fleet);
    }
    let large = fleet.submit(submission(4, 0, long_running(1, 10)));
    for _ in 0..12 {
        stream(&mut fleet);
    }
    assert_eq!(fleet.status(large), Some(JobStatus::Running), "the task waits for more than 6 s");
}

/// Guards against long-running jobs taking every core permanently, after which no short job ends on time: they must get
/// only the capacity that short jobs do not need.
#[test]
fn long_running_jobs_leave_capacity_for_short_jobs() {
    let mut fleet = FakeFleet::new(6, 1);
    let mut short = Vec::new();
    let mut long_running = 0;
    // 192 cores; short jobs use 24 of them, and a long-running job of 24 cores arrives every two seconds.
    for round in 0..60_u64 {
        if let Some(job) = fleet.try_submit(submission(1000 + round, 0, vec![step(4, 3, 1000)])) {
            short.push((job, fleet.now));
        }
        if round >= 8
            && round % 4 == 0
            && fleet.try_submit(submission(round, 0, vec![StepSpec { long_running: true, ..step(4, 6, 0) }])).is_some()
        {
            long_running += 1;
        }
        fleet.run_for(Duration::from_millis(500));
    }
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(short.len(), 60, "short jobs are not refused");
    // Twice the 1 s of work plus 1 s.
    let on_time = |(job, since): &(parsleywalk_batch::JobId, MonotonicTime)| {
        fleet.ended_at.get(job).is_some_and(|end| end.since(*since) <= Duration::from_secs(3))
    };
    let on_time = short.iter().filter(|entry| on_time(entry)).count();
    assert!(on_time * 10 >= short.len() * 9, "{on_time} of {} short jobs end on time", short.len());
    // 192 cores less 1.5 times 24 fit six long-running jobs.
    assert_eq!(long_running, 6);
}

/// Guards against a new leader refusing jobs because no worker has reported to it yet.
#[test]
fn a_new_leader_admits_jobs_before_workers_report() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(5));
    fleet.change_leader();
    let long_running = submission(1, 0, vec![StepSpec { long_running: true, ..step(2, 4, 0) }]);
    assert!(fleet.try_submit(long_running).is_some(), "a job is refused although the service is idle");
}

/// Guards against a task that cannot be placed in one service blocking an equal task of another service.
#[test]
fn a_full_service_does_not_block_another_service() {
    let mut fleet = FakeFleet::new(1, 1);
    let mut elsewhere = submission(1, 0, vec![step(2, 1, 500)]);
    elsewhere.service = "other".parse().expect("a name");
    fleet.submit(elsewhere);
    let job = fleet.submit(submission(2, 0, vec![step(2, 1, 500)]));
    // Before the starvation timeout, after which the job would be placed in any case.
    fleet.run_for(Duration::from_millis(1200));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}

/// Guards against start orders that exceed what a worker accepts in one response: it drops the response, gets no lease,
/// and loses all that it runs, again with each response. A wide job with a long payload must start bit by bit, and
/// other tasks of its workers stay.
#[test]
fn the_start_orders_of_a_wide_job_are_spread_over_responses() {
    let mut fleet = FakeFleet::new(2, 1);
    fleet.run_for(Duration::from_secs(1));
    let lasting = fleet.submit(submission(1, 0, vec![StepSpec { long_running: true, ..step(2, 1, 0) }]));
    fleet.run_for(Duration::from_millis(500));
    let size = ResourceSize::new(MilliCores::new(8), MemoryBytes::new(20_000_000));
    let wide = StepSpec { count: 6000, size, estimate: Duration::from_millis(500), ..StepSpec::default() };
    let mut wide = submission(2, 0, vec![wide]);
    wide.spec.payload = "x".repeat(4000);
    let wide = fleet.submit(wide);
    assert!(fleet.settings.start_bytes * 6 < 4 * 1024 * 1024, "the text form of an order is up to six times as long");
    let deadline = fleet.now + Duration::from_secs(30);
    while fleet.status(wide) != Some(JobStatus::Completed) {
        assert!(fleet.now < deadline, "the job ends");
        fleet.step();
        assert!(fleet.largest_starts <= fleet.settings.start_bytes, "{} bytes", fleet.largest_starts);
    }
    let running = fleet.workers.iter().flat_map(|worker| worker.runs.keys()).filter(|task| task.job == lasting);
    assert_eq!(running.count(), 2);
    assert_eq!(fleet.starts, 6002, "each task starts once");
}

/// Guards against a start order that a worker never lists and that keeps the others from being sent.
#[test]
fn start_orders_that_are_not_carried_out_do_not_hold_up_others() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.run_for(Duration::from_secs(1));
    fleet.settings.start_bytes = MAX_PAYLOAD_BYTES * 3 / 2;
    fleet.change_leader();
    fleet.run_for(Duration::from_secs(1));
    let mut wide = submission(1, 0, vec![step(10, 1, 60_000)]);
    wide.spec.payload = "x".repeat(MAX_PAYLOAD_BYTES);
    assert_eq!(wide.spec.validation_error(), None);
    fleet.submit(wide);
    let runs = fleet.dispatcher.plan(fleet.now, 0, &fleet.state);
    fleet.state.apply(&BatchCommand::Place { runs });
    let mut ordered = Vec::new();
    for _ in 0..10 {
        fleet.now = fleet.now + Duration::from_millis(100);
        let report = fleet.workers[0].current_report(fleet.now);
        fleet.dispatcher.receive(fleet.now, &fleet.state, &report);
        let response = fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence);
        ordered.extend(response.orders.expect("orders").starts.into_iter().map(|order| order.task));
    }
    assert_eq!(ordered.len(), 10, "a response has room for one order");
    ordered.sort_unstable();
    ordered.dedup();
    assert_eq!(ordered.len(), 10, "no order is repeated before the others");
}

/// Guards against a worker with so many runs that its reports are refused.
#[test]
fn a_worker_gets_a_bounded_number_of_runs() {
    let mut fleet = FakeFleet::new(1, 1);
    let limit = u32::try_from(fleet.settings.worker_runs).expect("small");
    let size = ResourceSize::new(MilliCores::new(1), MemoryBytes::new(1));
    let tiny = StepSpec { count: limit + 100, size, estimate: Duration::from_mins(10), ..StepSpec::default() };
    fleet.submit(submission(1, 0, vec![tiny]));
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(fleet.workers[0].runs.len(), fleet.settings.worker_runs);
}

/// Guards against a job whose start orders or log entry are too large to be delivered: it must be refused at once.
#[test]
fn a_job_that_is_too_large_is_invalid() {
    let job = |payload: usize, image: usize| JobSpec {
        payload: "x".repeat(payload),
        steps: vec![StepSpec { image: "x".repeat(image), ..step(1, 1, 100) }],
        schedule: None,
    };
    assert_eq!(job(MAX_PAYLOAD_BYTES, 1000).validation_error(), None);
    assert!(job(MAX_PAYLOAD_BYTES + 1, 0).validation_error().is_some());
    assert!(job(0, 600_000).validation_error().is_some());
}
