//! The heaviest loads, and what callers get.

mod support;

use std::time::Duration;

use parsleywalk_batch::{JobStatus, StepSpec};
use parsleywalk_units::MonotonicTime;
use support::{FakeFleet, size, step, submission};

/// The tail of a queue that is `load` busy: 25 ms without load, over a target of 150 ms above 83%.
fn tail(load: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most a second")]
    let tail = (25.0 / (1.0 - load).max(0.025)) as u32;
    tail
}

/// Twice as much work arrives as the workers can do. First come, first served would make nearly every job late; the
/// order by slack ends more than a third of them within their objective.
#[test]
fn overload_leaves_jobs_on_time() {
    let mut fleet = FakeFleet::new(3, 1);
    let mut accepted: Vec<(parsleywalk_batch::JobId, MonotonicTime)> = Vec::new();
    // 96 cores; each job takes 48 core-seconds, and four arrive a second.
    for id in 1..=80 {
        let job = fleet.submit(submission(id, 1, vec![step(8, 4, 1500)]));
        accepted.push((job, fleet.now));
        fleet.run_for(Duration::from_millis(250));
    }
    assert!(fleet.run_until_done(Duration::from_mins(2)), "every accepted job ends");
    // Twice the 1.5 s of work, and 1 s.
    let objective = Duration::from_secs(4);
    let on_time = accepted.iter().filter(|(job, since)| fleet.ended_at[job].since(*since) <= objective).count();
    assert!(on_time * 3 >= accepted.len(), "{on_time} of {} jobs on time", accepted.len());
}

/// Long jobs arrive faster than the workers can do them, and short ones among them. Long jobs without slack must not hold
/// up short ones, which take little and are late soon.
#[test]
fn short_jobs_end_on_time_among_too_many_long_ones() {
    let mut fleet = FakeFleet::new(3, 1);
    let mut short: Vec<(parsleywalk_batch::JobId, MonotonicTime)> = Vec::new();
    // 96 cores; long jobs ask for 120 and short ones for 8.
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
    // Twice the half second of work and a second, less a quarter, since estimates may be as wrong as that.
    let on_time = |(job, since): &(parsleywalk_batch::JobId, MonotonicTime)| {
        fleet.ended_at.get(job).is_some_and(|end| end.since(*since) <= Duration::from_millis(1500))
    };
    let on_time = short.iter().filter(|entry| on_time(entry)).count();
    assert!(on_time * 10 >= short.len() * 9, "{on_time} of {} short jobs on time", short.len());
}

/// Work of a higher priority that arrives during the overload is not late.
#[test]
fn urgent_jobs_pass_a_backlog() {
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

fn serving(image: &str) -> StepSpec {
    StepSpec {
        lasting: true,
        tail_objective: Some(Duration::from_millis(150)),
        image: image.to_owned(),
        ..step(4, 6, 0)
    }
}

fn filling(image: &str, milliseconds: u64) -> StepSpec {
    StepSpec { filling: true, checkpointable: true, image: image.to_owned(), ..step(8, 4, milliseconds) }
}

/// Filling tasks that disturb are slowed or moved before a serving task has been over its target for 5.5 s, and still
/// end.
#[test]
fn serving_tasks_are_not_harmed_for_long() {
    let mut fleet = FakeFleet::new(4, 1);
    fleet.tail_ms = |share| tail(0.3 + 4.0 * share);
    for id in 1..=4 {
        fleet.submit(submission(id, 0, vec![serving("serving")]));
    }
    fleet.run_for(Duration::from_secs(2));
    for id in 11..=30 {
        fleet.submit(submission(id, 2, vec![filling("heavy", 2000)]));
        fleet.run_for(Duration::from_millis(500));
    }
    fleet.run_for(Duration::from_mins(1));
    assert!(fleet.longest_harm < Duration::from_millis(5500), "over the target for {:?}", fleet.longest_harm);
    let ended = (11..=30).filter(|id| fleet.status(parsleywalk_batch::JobId::new(*id)) == Some(JobStatus::Completed));
    // One task a worker stays below the target: 4 workers could do 17 jobs in that time.
    let ended = ended.count();
    assert!(ended >= 8, "{ended} of 17 jobs that fit in ended");
}

/// Filling tasks that disturb nobody use the processors that lasting tasks leave.
#[test]
fn harmless_filling_tasks_use_idle_processors() {
    let mut fleet = FakeFleet::new(4, 1);
    for id in 1..=4 {
        fleet.submit(submission(id, 0, vec![serving("serving")]));
    }
    fleet.run_for(Duration::from_secs(2));
    let start = fleet.now;
    let jobs: Vec<_> = (11..=16).map(|id| fleet.submit(submission(id, 2, vec![filling("light", 2000)]))).collect();
    fleet.run_for(Duration::from_secs(20));
    for job in jobs {
        assert_eq!(fleet.status(job), Some(JobStatus::Completed));
        assert!(fleet.ended_at[&job].since(start) <= Duration::from_secs(15));
    }
}

/// A filling job in no hurry waits for a place where it disturbs nobody, and still ends on time. Placed at once, it would
/// bring the serving task over its target.
#[test]
fn filling_jobs_in_no_hurry_wait_for_a_gentle_place() {
    let mut fleet = FakeFleet::new(2, 1);
    // 0.7 of load without filling tasks, over the target from 0.83 on.
    fleet.tail_ms = |share| tail(0.7 + 2.0 * share);
    fleet.submit(submission(1, 0, vec![serving("serving")]));
    let busy = fleet.submit(submission(2, 0, vec![StepSpec { lasting: true, size: size(32, 125), ..step(1, 32, 0) }]));
    // The serving tasks share one worker; the other has no memory left.
    fleet.run_for(Duration::from_secs(3));
    let start = fleet.now;
    let job = fleet.submit(submission(3, 2, vec![StepSpec { count: 1, ..filling("heavy", 2000) }]));
    fleet.run_for(Duration::from_millis(500));
    fleet.cancel(busy);
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.longest_harm, Duration::ZERO);
    // Twice the two seconds of work, and a second.
    assert!(fleet.ended_at[&job].since(start) <= Duration::from_secs(5), "the job is late");
}

/// A job whose queue gives it no slack at all is in a hurry from the start.
#[test]
fn filling_jobs_without_slack_take_any_bearable_place() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.tail_ms = |share| tail(0.7 + 0.5 * share);
    fleet.submit(submission(1, 0, vec![serving("serving")]));
    fleet.run_for(Duration::from_secs(3));
    let mut hurried = submission(2, 2, vec![StepSpec { count: 1, ..filling("light", 2000) }]);
    (hurried.stretch, hurried.latency_objective) = (1.0, Duration::ZERO);
    let job = fleet.submit(hurried);
    // Well before the job counts as starved, which gets it a place in any case.
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.status(job), Some(JobStatus::Running));
}

/// Serving tasks of two images gather on workers of their own, so that images which disturb only one of them find room.
#[test]
fn serving_images_gather() {
    let mut fleet = FakeFleet::new(8, 1);
    for id in 1..=8 {
        fleet.submit(submission(id, 0, vec![serving(if id % 2 == 0 { "left" } else { "right" })]));
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

/// A lasting task that needs much room is not passed over for ever by small tasks that take each piece as it gets free.
#[test]
fn a_large_lasting_task_finds_room_beside_a_stream_of_small_ones() {
    let mut fleet = FakeFleet::new(3, 1);
    // Twice what the workers can do, in pieces of 2 cores.
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
    let lasting = fleet.submit(submission(1, 0, vec![StepSpec { lasting: true, ..step(1, 10, 0) }]));
    for _ in 0..6 {
        stream(&mut fleet);
    }
    assert_eq!(fleet.status(lasting), Some(JobStatus::Running), "the task waits for more than 6 s");
}

/// A lasting task gets a place within 6 s where small tasks and lasting ones share the workers. Keeping a worker free whose
/// other lasting tasks leave too little room for it would make it wait for ever.
#[test]
fn a_large_lasting_task_finds_the_worker_that_can_hold_it() {
    let mut fleet = FakeFleet::new(3, 1);
    let lasting = |count, cores| vec![StepSpec { lasting: true, ..step(count, cores, 0) }];
    // Two workers keep 8 of 32 cores beside their lasting tasks, the third 12; tasks of 5 cores use what is left.
    for (id, cores) in [(1, 24), (2, 24), (3, 20)] {
        fleet.submit(submission(id, 0, lasting(1, cores)));
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
    let large = fleet.submit(submission(4, 0, lasting(1, 10)));
    for _ in 0..12 {
        stream(&mut fleet);
    }
    assert_eq!(fleet.status(large), Some(JobStatus::Running), "the task waits for more than 6 s");
}

/// More lasting jobs are offered than there is room for. They get what short jobs don't need, and no more: without a bound
/// they take every processor for good, and no short job ends on time any more.
#[test]
fn lasting_jobs_leave_room_to_short_ones() {
    let mut fleet = FakeFleet::new(6, 1);
    let mut short = Vec::new();
    let mut lasting = 0;
    // 192 cores; short work takes 24 of them, and a lasting job of 24 cores comes every two seconds.
    for round in 0..60_u64 {
        if let Some(job) = fleet.offer(submission(1000 + round, 0, vec![step(4, 3, 1000)])) {
            short.push((job, fleet.now));
        }
        if round >= 8
            && round % 4 == 0
            && fleet.offer(submission(round, 0, vec![StepSpec { lasting: true, ..step(4, 6, 0) }])).is_some()
        {
            lasting += 1;
        }
        fleet.run_for(Duration::from_millis(500));
    }
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(short.len(), 60, "short jobs are not refused");
    // Twice the second of work, and a second.
    let on_time = |(job, since): &(parsleywalk_batch::JobId, MonotonicTime)| {
        fleet.ended_at.get(job).is_some_and(|end| end.since(*since) <= Duration::from_secs(3))
    };
    let on_time = short.iter().filter(|entry| on_time(entry)).count();
    assert!(on_time * 10 >= short.len() * 9, "{on_time} of {} short jobs on time", short.len());
    // 192 cores less one and a half times 24 hold six lasting jobs.
    assert_eq!(lasting, 6);
}

/// A new leader has heard of no worker yet, which is no reason to refuse a job.
#[test]
fn a_new_leader_does_not_take_silence_for_a_full_service() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.run_for(Duration::from_secs(5));
    fleet.change_leader();
    let lasting = submission(1, 0, vec![StepSpec { lasting: true, ..step(2, 4, 0) }]);
    assert!(fleet.offer(lasting).is_some(), "the service is empty");
}

/// A service without room must not keep another service's tasks from being placed.
#[test]
fn a_full_service_does_not_hold_another() {
    let mut fleet = FakeFleet::new(1, 1);
    let mut elsewhere = submission(1, 0, vec![step(2, 1, 500)]);
    elsewhere.service = "other".parse().expect("a name");
    fleet.submit(elsewhere);
    let job = fleet.submit(submission(2, 0, vec![step(2, 1, 500)]));
    // Well before the job counts as starved, which gets it a place in any case.
    fleet.run_for(Duration::from_millis(1200));
    assert_eq!(fleet.status(job), Some(JobStatus::Completed));
}
