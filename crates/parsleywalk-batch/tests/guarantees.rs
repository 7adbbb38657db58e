//! Random faults around one leader; the oracle in `support` checks what the workers do after every step.

mod support;

use std::time::Duration;

use parsleywalk_units::ZoneDirection;
use rstest::rstest;
use support::{FakeFleet, StepsOf, step, submission};

/// Steps of a random run.
const RANDOM_STEPS: u32 = 1200;

#[rstest]
fn guarantees_hold_under_random_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = FakeFleet::new(9, seed);
    fleet.loss = 10;
    let mut jobs = Vec::new();
    for number in 0..RANDOM_STEPS {
        let place = usize::try_from(fleet.chance.below(9)).expect("small");
        match fleet.chance.below(60) {
            0..=7 => {
                let id = u64::from(number) + 1;
                let steps = StepsOf::random(&mut fleet.chance);
                jobs.push(fleet.submit(submission(id, u8::try_from(id % 3).expect("small"), steps)));
            }
            8 => fleet.workers[place].cut = !fleet.workers[place].cut,
            9 => fleet.workers[place].restart(),
            10 => fleet.change_leader(),
            11 => fleet.set_zone(["zone-a", "zone-b"][place % 2], ZoneDirection::Out),
            12 => {
                fleet.set_zone("zone-a", ZoneDirection::In);
                fleet.set_zone("zone-b", ZoneDirection::In);
            }
            13 => {
                if let Some(job) = jobs.get(place) {
                    fleet.cancel(*job);
                }
            }
            14 => fleet.workers[place].broken = !fleet.workers[place].broken,
            15 => fleet.workers[place].hung = !fleet.workers[place].hung,
            16 => fleet.workers[place].up = !fleet.workers[place].up,
            _ => {}
        }
        fleet.step();
    }
    // The faults end, and then every job does.
    fleet.loss = 0;
    for worker in &mut fleet.workers {
        if !worker.up {
            worker.restart();
            worker.up = true;
        }
        (worker.cut, worker.broken, worker.hung) = (false, false, false);
    }
    for zone in ["zone-a", "zone-b", "zone-c"] {
        fleet.set_zone(zone, ZoneDirection::In);
    }
    let ended = fleet.run_until_done(Duration::from_mins(4));
    assert!(ended, "{} jobs never end: {}", fleet.state.active_count(), fleet.leftovers());
}

/// A leader that has proposed to give a worker up must not renew its lease: the worker would go on with runs that start
/// elsewhere.
#[test]
fn a_worker_that_is_being_lost_gets_no_orders() {
    use parsleywalk_batch::ReportAction;
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.workers[0].runs.len(), 1);
    // Silent beyond its lease, then heard again before the loss is committed.
    fleet.now = fleet.now + fleet.settings.max_lease();
    let lost = fleet.dispatcher.expire_leases(fleet.now, &fleet.state);
    assert_eq!(lost.len(), 1, "the lease has ended");
    let report = fleet.workers[0].describe_now(fleet.now);
    let step = fleet.dispatcher.receive(fleet.now, &fleet.state, &report);
    assert!(matches!(step, ReportAction::Commit(_)));
    let answer = fleet.dispatcher.build_response(&fleet.state, &report.worker, report.sequence);
    assert_eq!(answer.orders, None);
}

/// A worker whose answers were late, and that reports again, tells itself what it lost: its listed ends still count.
#[test]
fn a_worker_that_reports_is_not_lost() {
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    fleet.now = fleet.now + fleet.settings.max_lease();
    let report = fleet.workers[0].describe_now(fleet.now);
    fleet.dispatcher.receive(fleet.now, &fleet.state, &report);
    assert_eq!(fleet.dispatcher.expire_leases(fleet.now, &fleet.state), Vec::new());
}

/// A task whose worker fails everything ends on another one, well before its attempts are used up.
#[test]
fn a_worker_that_fails_everything_does_not_fail_jobs() {
    let mut fleet = FakeFleet::new(6, 1);
    fleet.workers[2].broken = true;
    let jobs: Vec<_> = (1..=30).map(|id| fleet.submit(submission(id, 0, vec![step(4, 2, 400)]))).collect();
    assert!(fleet.run_until_done(Duration::from_mins(1)));
    let failed = jobs.iter().filter(|job| fleet.status(**job) == Some(parsleywalk_batch::JobStatus::Failed)).count();
    assert_eq!(failed, 0);
}

/// A task that stands still is stopped and started elsewhere.
#[test]
fn a_hung_worker_does_not_hold_its_tasks() {
    let mut fleet = FakeFleet::new(3, 1);
    fleet.workers[0].hung = true;
    for id in 1..=6 {
        fleet.submit(submission(id, 0, vec![step(4, 2, 500)]));
    }
    assert!(fleet.run_until_done(Duration::from_secs(20)));
}

/// An order that may be on its way to a zone that was taken out is not sent again, and its task starts elsewhere.
#[test]
fn no_task_starts_in_a_zone_that_is_out() {
    let mut fleet = FakeFleet::new(9, 3);
    fleet.loss = 50;
    for id in 1..=40 {
        fleet.submit(submission(id, 0, vec![step(6, 2, 700)]));
    }
    fleet.run_for(Duration::from_millis(600));
    fleet.set_zone("zone-a", ZoneDirection::Out);
    fleet.run_for(Duration::from_secs(8));
    fleet.loss = 0;
    // The oracle fails on a start in the zone later than 2 s.
    assert!(fleet.run_until_done(Duration::from_mins(2)));
}

/// A worker that failed runs for a while and holds lasting tasks is tried again: its lasting tasks never end, so waiting
/// for them would keep it out for good.
#[test]
fn a_recovered_worker_with_lasting_tasks_gets_work_again() {
    let mut fleet = FakeFleet::new(1, 1);
    let lasting = parsleywalk_batch::StepSpec { lasting: true, ..step(1, 8, 0) };
    fleet.submit(submission(1, 0, vec![lasting]));
    fleet.run_for(Duration::from_secs(1));
    fleet.workers[0].broken = true;
    for id in 2..=5 {
        fleet.submit(submission(id, 0, vec![step(1, 1, 300)]));
    }
    fleet.run_for(Duration::from_secs(3));
    fleet.workers[0].broken = false;
    let job = fleet.submit(submission(10, 0, vec![step(4, 1, 300)]));
    fleet.run_for(Duration::from_secs(15));
    assert_eq!(fleet.status(job), Some(parsleywalk_batch::JobStatus::Completed));
}

/// Lasting tasks move off a worker that drains while it still works, so that they are not away until its lease ends.
#[test]
fn lasting_tasks_leave_a_draining_worker() {
    let mut fleet = FakeFleet::new(2, 1);
    let lasting = parsleywalk_batch::StepSpec { lasting: true, ..step(2, 8, 0) };
    fleet.submit(submission(1, 0, vec![lasting]));
    fleet.run_for(Duration::from_secs(1));
    let place = usize::from(fleet.workers[0].runs.is_empty());
    fleet.workers[place].draining = true;
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.workers[place].runs.is_empty());
    assert_eq!(fleet.workers[1 - place].runs.len(), 2);
}

/// A report that arrives after its worker said that it exits must not renew the lease: nothing runs there any more.
#[test]
fn a_late_report_does_not_keep_a_worker_that_left() {
    use parsleywalk_batch::ReportAction;
    let mut fleet = FakeFleet::new(1, 1);
    fleet.submit(submission(1, 0, vec![step(1, 1, 60_000)]));
    fleet.run_for(Duration::from_millis(500));
    fleet.workers[0].draining = true;
    fleet.run_for(Duration::from_millis(300));
    let late = fleet.workers[0].describe_now(fleet.now);
    fleet.dispatcher.mark_departed(&late.worker, None);
    fleet.now = fleet.now + Duration::from_secs(4);
    assert_eq!(fleet.dispatcher.receive(fleet.now, &fleet.state, &late), ReportAction::Stale);
}
