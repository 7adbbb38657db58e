//! Tests of leaders and followers that die or freeze while jobs run and requests are served.

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
const ALL_VMS: [u32; 3] = [1, 2, 3];

/// The objective for the time from a leader's death to a new leader. A split vote needs a second election, so the median
/// of several kills must meet it.
const NEW_LEADER_TARGET: Duration = Duration::from_secs(2);

/// The objective for the time from the acceptance of a zone's evacuation to the last start in the zone.
const ZONE_OUT_TARGET: Duration = Duration::from_secs(2);

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

/// Sends requests to one entry until `stop` is set, except while the entry is down. Returns the number of responses.
fn send_requests(entry: std::net::SocketAddr, vm: u32, down: &AtomicU32, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        if down.load(Ordering::SeqCst) == vm {
            continue;
        }
        let body = format!("request {answered} at {vm}");
        match CallerRequest::new(entry, &body).send() {
            Ok(response) => {
                assert_eq!((response.status, response.body.as_slice()), (200, body.as_bytes()), "entry {vm}");
                answered += 1;
            }
            Err(error) => assert_eq!(down.load(Ordering::SeqCst), vm, "entry {vm} failed while it was up: {error}"),
        }
    }
    answered
}

/// Guards against the death of a leader that interrupts requests at other entries, loses or repeats tasks, or leaves the
/// deployment without a leader for longer than the objective.
#[test]
fn a_dead_leader_is_replaced_while_jobs_run_and_requests_are_served() {
    let mut deployment = Deployment::start(0, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let endpoint = endpoint(&deployment);
    let log = RunLog::new();
    let _workers = ZONES.map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(400), &log));
    let (down, stop) = (AtomicU32::new(0), AtomicBool::new(false));
    let entries: Vec<(u32, std::net::SocketAddr)> = ALL_VMS.map(|vm| (vm, deployment.callers(vm))).into();
    let mut gaps = Vec::new();
    thread::scope(|scope| {
        let senders: Vec<_> =
            entries.iter().map(|(vm, entry)| scope.spawn(|| send_requests(*entry, *vm, &down, &stop))).collect();
        for round in 1..=3 {
            let leader = deployment.wait_leader(&ALL_VMS);
            let survivors: Vec<u32> = ALL_VMS.into_iter().filter(|vm| *vm != leader).collect();
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
                    CallerRequest::keyed(entry, &key, &key).expect_success();
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
        for sender in senders {
            assert!(sender.join().unwrap() > 50, "requests were served at every entry");
        }
    });
    log.check().unwrap();
    for round in 1..=3 {
        assert_eq!(endpoint.ran_count(format!("order-{round}").as_bytes()), 1);
    }
    gaps.sort();
    assert!(gaps[1] < NEW_LEADER_TARGET, "new leaders after {gaps:?}");
}

/// Guards against a frozen leader that resumes and, from its outdated state, places tasks in a zone that was taken out of
/// service meanwhile.
#[test]
fn a_zone_stays_out_when_a_frozen_leader_continues() {
    let mut deployment = Deployment::start(1, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let (log, base) = (RunLog::new(), Instant::now());
    let _workers =
        ["a", "b"].map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(150), &log));
    let starts_in_a = |after: Duration| {
        log.records().into_iter().filter(|record| record.worker.as_str() == "w-a" && record.start > after).count()
    };
    let frozen = deployment.wait_leader(&ALL_VMS);
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
    thread::sleep(ZONE_OUT_TARGET + Duration::from_millis(700));
    assert_eq!(starts_in_a(accepted + ZONE_OUT_TARGET), 0, "no task starts in a zone that is out");
    let last = log.records().into_iter().filter(|record| record.worker.as_str() == "w-a").map(|record| record.start);
    println!("last start in the zone {:?} after the acceptance", last.max().unwrap().saturating_sub(accepted));
    wait_until("the old leader's view", || {
        let status = deployment.status(frozen).expect("a status");
        status.zones.iter().any(|zone| zone.zone.as_str() == "a" && !zone.in_service)
    });

    // A frozen follower must neither stop the tasks nor keep the zone from coming back in service.
    let leader = deployment.wait_leader(&ALL_VMS);
    let follower = ALL_VMS.into_iter().find(|vm| *vm != leader).unwrap();
    deployment.process(follower).signal("STOP");
    let returned = base.elapsed();
    deployment.zone(leader, "return", "a", ZoneDirection::In);
    wait_until("starts in zone a", || starts_in_a(returned) > 0);
    deployment.process(follower).signal("CONT");
    wait_done(&deployment, leader, "planning/long");
    log.check().unwrap();
}

/// Guards against a deployment of five daemons that doesn't recover from a dead leader and a frozen follower.
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
