//! Leaders and followers that die or freeze while jobs run and requests are served.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::CallerRequest;
use common::{CATALOG, Deployment, wait_until};
use parsleywalk_api::{JobPhase, OperationOutcome};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, RunLog};
use parsleywalk_units::ZoneDirection;

const ZONES: [&str; 3] = ["a", "b", "c"];
const ALL: [u32; 3] = [1, 2, 3];

/// The target for a new leader after a kill. An election whose votes are split takes a second round, so the median of
/// several kills is held to it.
const NEW_LEADER: Duration = Duration::from_secs(2);

/// The target for a zone out, counted from its acceptance.
const ZONE_OUT: Duration = Duration::from_secs(2);

fn endpoint(deployment: &Deployment) -> FakeEndpoint {
    let settings = EndpointSettings {
        entries: deployment.all_callers(),
        slots: 64,
        ..EndpointSettings::new("quotes-1".parse().unwrap(), "quotes".parse().unwrap())
    };
    let endpoint = FakeEndpoint::start(settings).unwrap();
    for process in &deployment.processes {
        wait_until("the announcement", || deployment.status(process.vm).is_some_and(|status| status.endpoints == 1));
    }
    endpoint
}

fn wait_done(deployment: &Deployment, vm: u32, job: &str) {
    wait_until("the job's end", || deployment.job(vm, job).is_some_and(|status| status.phase == JobPhase::Done));
}

/// Sends requests at one entry until `stop`; while the entry is down it pauses. Returns how many were answered.
fn keep_asking(entry: std::net::SocketAddr, vm: u32, down: &AtomicU32, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        if down.load(Ordering::SeqCst) == vm {
            continue;
        }
        let body = format!("request {answered} at {vm}");
        match CallerRequest::new(entry, &body).send() {
            Ok(answer) => {
                assert_eq!((answer.status, answer.body.as_slice()), (200, body.as_bytes()), "entry {vm}");
                answered += 1;
            }
            Err(error) => assert_eq!(down.load(Ordering::SeqCst), vm, "entry {vm} serves on: {error}"),
        }
    }
    answered
}

/// Guards against a leader's death that stops requests at other entries, loses or repeats tasks, or leaves the
/// deployment without a leader for longer than the target.
#[test]
fn a_dead_leader_is_replaced_while_jobs_run_and_requests_are_served() {
    let mut deployment = Deployment::start(0, &ZONES, &ALL);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let endpoint = endpoint(&deployment);
    let log = RunLog::new();
    let _workers = ZONES.map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(400), &log));
    let (down, stop) = (AtomicU32::new(0), AtomicBool::new(false));
    let entries: Vec<(u32, std::net::SocketAddr)> = ALL.map(|vm| (vm, deployment.callers(vm))).into();
    let mut gaps = Vec::new();
    thread::scope(|scope| {
        let askers: Vec<_> =
            entries.iter().map(|(vm, entry)| scope.spawn(|| keep_asking(*entry, *vm, &down, &stop))).collect();
        for round in 1..=3 {
            let leader = deployment.wait_leader(&ALL);
            let survivors: Vec<u32> = ALL.into_iter().filter(|vm| *vm != leader).collect();
            let job = format!("planning/job-{round}");
            deployment.submit(survivors[0], &job, 80).unwrap();
            wait_until("running tasks", || log.records().len() >= 80 * round - 60);
            down.store(leader, Ordering::SeqCst);
            deployment.process(leader).kill();
            let killed = Instant::now();
            let key = format!("order-{round}");
            let claimed = scope.spawn({
                let entry = deployment.callers(survivors[1]);
                move || {
                    CallerRequest::once(entry, &key, &key).expect_whole();
                    killed.elapsed()
                }
            });
            deployment.wait_leader(&survivors);
            gaps.push(killed.elapsed());
            println!(
                "round {round}: new leader after {:?}, claim after {:?}",
                killed.elapsed(),
                claimed.join().unwrap()
            );
            deployment.process(leader).start();
            deployment.wait_ready();
            wait_until("the endpoint", || deployment.status(leader).is_some_and(|status| status.endpoints == 1));
            down.store(0, Ordering::SeqCst);
            wait_done(&deployment, survivors[0], &job);
        }
        stop.store(true, Ordering::SeqCst);
        for asker in askers {
            assert!(asker.join().unwrap() > 50, "requests went on at every entry");
        }
    });
    log.check().unwrap();
    for round in 1..=3 {
        assert_eq!(endpoint.ran_count(format!("order-{round}").as_bytes()), 1);
    }
    gaps.sort();
    assert!(gaps[1] < NEW_LEADER, "new leaders after {gaps:?}");
}

/// Guards against a frozen leader that goes on to place tasks from its old state once it continues, in a zone that was
/// taken out meanwhile.
#[test]
fn a_zone_stays_out_when_a_frozen_leader_continues() {
    let mut deployment = Deployment::start(1, &ZONES, &ALL);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let (log, base) = (RunLog::new(), Instant::now());
    let _workers =
        ["a", "b"].map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(150), &log));
    let starts_in_a = |after: Duration| {
        log.records().into_iter().filter(|record| record.worker.as_str() == "w-a" && record.start > after).count()
    };
    let frozen = deployment.wait_leader(&ALL);
    let other = if frozen == 3 { 2 } else { 3 };
    deployment.submit(other, "planning/long", 240).unwrap();
    wait_until("starts in zone a", || starts_in_a(Duration::ZERO) > 20);

    deployment.process(frozen).signal("STOP");
    let stopped = Instant::now();
    let reply = deployment.zone(other, "drain", "a", ZoneDirection::Out);
    assert_eq!(reply.outcome, OperationOutcome::Accepted);
    let accepted = base.elapsed();
    println!("zone out accepted {:?} after the freeze", stopped.elapsed());
    thread::sleep(Duration::from_millis(700));
    deployment.process(frozen).signal("CONT");
    thread::sleep(ZONE_OUT + Duration::from_millis(700));
    assert_eq!(starts_in_a(accepted + ZONE_OUT), 0, "no task starts in a zone that is out");
    let last = log.records().into_iter().filter(|record| record.worker.as_str() == "w-a").map(|record| record.start);
    println!("last start in the zone {:?} after the acceptance", last.max().unwrap().saturating_sub(accepted));
    wait_until("the old leader's view", || {
        let status = deployment.status(frozen).expect("a status");
        status.zones.iter().any(|zone| zone.zone.as_str() == "a" && !zone.in_service)
    });

    // A frozen follower neither stops the work nor keeps the zone from coming back.
    let leader = deployment.wait_leader(&ALL);
    let follower = ALL.into_iter().find(|vm| *vm != leader).unwrap();
    deployment.process(follower).signal("STOP");
    let returned = base.elapsed();
    deployment.zone(leader, "return", "a", ZoneDirection::In);
    wait_until("starts in zone a", || starts_in_a(returned) > 0);
    deployment.process(follower).signal("CONT");
    wait_done(&deployment, leader, "planning/long");
    log.check().unwrap();
}

/// Guards against a deployment of five that does not get over a dead leader and a frozen follower at once.
#[test]
fn five_daemons_get_over_a_dead_leader_and_a_frozen_follower() {
    let five = [1, 2, 3, 4, 5];
    let mut deployment = Deployment::start(2, &["a", "a", "b", "b", "c"], &five);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let log = RunLog::new();
    let _workers = ZONES.map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(400), &log));
    let leader = deployment.wait_leader(&five);
    let others: Vec<u32> = five.into_iter().filter(|vm| *vm != leader).collect();
    deployment.submit(others[0], "planning/job", 120).unwrap();
    wait_until("running tasks", || log.records().len() > 10);
    deployment.process(others[3]).signal("STOP");
    deployment.process(leader).kill();
    let failed = Instant::now();
    deployment.wait_leader(&others[..3]);
    println!("new leader after two failures: {:?}", failed.elapsed());
    wait_done(&deployment, others[0], "planning/job");
    let reply = deployment.apply(others[1], "second", &CATALOG.replace("version: 1", "version: 2"));
    assert_eq!(reply.outcome, OperationOutcome::Accepted);
    deployment.process(others[3]).signal("CONT");
    wait_until("the configuration at the frozen daemon", || {
        deployment.status(others[3]).is_some_and(|status| status.configuration == reply.version)
    });
    log.check().unwrap();
}
