//! Tests of network partitions between daemons, and between a worker and its entry.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::caller::CallerRequest;
use common::{CATALOG, Deployment, DeploymentSpec, becomes_true_within, post, wait_until};
use parsleywalk_api::{JobPhase, OperationOutcome, RefusalOutcome, WorkerReply, WorkerReport};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, FaultyLink, LinkCut, RunLog, WorkerSettings};
use parsleywalk_units::{Incarnation, MemoryBytes, MilliCores, ResourceSize, ZoneDirection};

const ZONES: [&str; 3] = ["a", "b", "c"];
const ALL_VMS: [u32; 3] = [1, 2, 3];

/// The length of a leader lease, with a margin for a loaded machine. Without a lease, a leader would reply until it steps
/// down, about 1.2 s after it last heard from the others.
const MAX_LEASE: Duration = Duration::from_millis(900);

/// Time limit for a placement on a worker that is cut off. It is longer than the time after its last report for which the
/// leader still places tasks on a worker.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of attempts at such a placement.
const MAX_PLACEMENT_ATTEMPTS: u32 = 5;

/// The objective for the time from the acceptance of a zone's evacuation to the last start in the zone.
const ZONE_OUT_TARGET: Duration = Duration::from_secs(2);

fn start(address_block: u8) -> Deployment {
    let spec =
        DeploymentSpec { address_block, zones: &ZONES, replicas: &ALL_VMS, linked: true, ..DeploymentSpec::default() };
    let deployment = Deployment::start_with(&spec);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    deployment
}

fn others(vm: u32) -> Vec<u32> {
    ALL_VMS.into_iter().filter(|other| *other != vm).collect()
}

fn zone_of(vm: u32) -> &'static str {
    ZONES[vm as usize - 1]
}

fn worker_settings(deployment: &Deployment, name: &str, vm: u32) -> WorkerSettings {
    WorkerSettings {
        entries: vec![deployment.callers(vm)],
        long_running_services: vec!["quotes".parse().unwrap()],
        run_time: Some(Duration::from_millis(300)),
        ..WorkerSettings::new(name.parse().unwrap(), zone_of(vm).parse().unwrap(), "rack-1".parse().unwrap())
    }
}

fn endpoint(deployment: &Deployment, vm: u32) -> FakeEndpoint {
    let settings = EndpointSettings {
        entries: vec![deployment.callers(vm)],
        ..EndpointSettings::new(format!("quotes-{vm}").parse().unwrap(), "quotes".parse().unwrap())
    };
    let endpoint = FakeEndpoint::start(settings).unwrap();
    wait_until("the announcement", || deployment.status(vm).is_some_and(|status| status.endpoints == 1));
    endpoint
}

/// Guards against an isolated leader that keeps leading: it must answer no reports after its lease has expired, the others
/// must elect a new leader, and a zone that they take out of service must stay out.
#[test]
fn an_isolated_leader_gives_no_orders_and_is_replaced() {
    let deployment = start(0);
    let old = deployment.wait_leader(&ALL_VMS);
    let rest = others(old);
    let (log, base) = (RunLog::new(), Instant::now());
    let _workers =
        ALL_VMS.map(|vm| FakeWorker::start(worker_settings(&deployment, &format!("w-{vm}"), vm), log.clone()));
    deployment.submit(rest[0], "planning/long", 300).unwrap();
    let starts = |vm: u32, after: Duration| {
        let name = format!("w-{vm}");
        log.records().into_iter().filter(|record| record.worker.as_str() == name && record.start > after).count()
    };
    wait_until("running tasks", || ALL_VMS.iter().all(|vm| starts(*vm, Duration::ZERO) > 10));

    let report = WorkerReport {
        worker: "probe".parse().unwrap(),
        incarnation: Incarnation::new(1),
        zone: zone_of(old).parse().unwrap(),
        rack: "rack-2".parse().unwrap(),
        // Too small for any task.
        capacity: ResourceSize::new(MilliCores::new(1), MemoryBytes::new(1)),
        sequence: 1,
        echo: 0,
        lag: parsleywalk_units::TimeSpan::from_millis(0),
        tasks: Vec::new(),
    };
    assert!(post::<_, WorkerReply>(deployment.callers(old), "/v1/workers/report", &report).is_ok());
    deployment.isolate(old, true);
    let cut = Instant::now();
    let mut last_response = Duration::ZERO;
    for sequence in 2.. {
        let sent = cut.elapsed();
        let report = WorkerReport { sequence, ..report.clone() };
        if post::<_, WorkerReply>(deployment.callers(old), "/v1/workers/report", &report).is_ok() {
            last_response = sent;
        }
        if sent > MAX_LEASE * 3 {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    println!("the isolated leader answered a report for the last time {last_response:?} after the cut");
    assert!(last_response < MAX_LEASE, "an isolated leader answered a report {last_response:?} after the cut");
    assert_ne!(deployment.status(old).unwrap().role, "leader", "an isolated leader steps down");
    deployment.wait_leader(&rest);

    let reply = deployment.zone(rest[0], "drain", zone_of(old), ZoneDirection::Out);
    assert_eq!(reply.outcome, OperationOutcome::Accepted);
    let accepted = base.elapsed();
    thread::sleep(ZONE_OUT_TARGET);
    deployment.isolate(old, false);
    wait_until("the isolated daemon's view", || {
        let status = deployment.status(old).expect("a status");
        status.zones.iter().any(|zone| zone.zone.as_str() == zone_of(old) && !zone.in_service)
    });
    thread::sleep(Duration::from_millis(700));
    assert_eq!(starts(old, accepted + ZONE_OUT_TARGET), 0, "no task starts in a zone that is out");
    wait_until("the job's end", || {
        deployment.job(rest[0], "planning/long").is_some_and(|job| job.phase == JobPhase::Done)
    });
    log.check().unwrap();
}

/// Guards against a zone that is cut off and stops its running tasks or requests, starts tasks on its own, or has its tasks
/// started elsewhere while it may still be running them.
#[test]
fn a_zone_that_is_cut_off_keeps_running_and_starts_nothing() {
    let deployment = start(1);
    let (log, base) = (RunLog::new(), Instant::now());
    let leader = deployment.wait_leader(&ALL_VMS);
    let cut = others(leader)[0];
    let endpoint = endpoint(&deployment, cut);
    let _workers = ALL_VMS.map(|vm| {
        let settings = WorkerSettings {
            run_time: Some(Duration::from_millis(2500)),
            ..worker_settings(&deployment, &format!("w-{vm}"), vm)
        };
        FakeWorker::start(settings, log.clone())
    });
    let cut_zone_runs = || {
        let name = format!("w-{cut}");
        log.records().into_iter().filter(|record| record.worker.as_str() == name).collect::<Vec<_>>()
    };
    deployment.submit(leader, "planning/long", 60).unwrap();
    wait_until("running tasks", || cut_zone_runs().len() > 8);
    deployment.isolate(cut, true);
    // Start orders sent before the cut are valid for a second.
    thread::sleep(Duration::from_millis(1200));
    let (runs_before, from) = (cut_zone_runs().len(), base.elapsed());
    let entry = deployment.callers(cut);
    CallerRequest::new(entry, "repeatable").expect_success();
    CallerRequest { repeatable: false, ..CallerRequest::new(entry, "unkeyed") }.expect_success();
    // An entry on the other side of the cut may be running a request with the same key, so the refusal must say "unknown".
    let keyed =
        CallerRequest { deadline: Duration::from_secs(1), ..CallerRequest::keyed(entry, "order-1", "an order") };
    let refusal = keyed.send().unwrap().refusal();
    assert_eq!(refusal.outcome, RefusalOutcome::Unknown, "{refusal:?}");
    assert_eq!(endpoint.ran_count(b"an order"), 0);
    thread::sleep(Duration::from_secs(3).saturating_sub(base.elapsed().saturating_sub(from)));
    let now = cut_zone_runs();
    assert_eq!(now.len(), runs_before, "a zone that is cut off starts nothing");
    let stopped =
        now.iter().filter(|record| record.phase.is_some_and(|phase| phase != parsleywalk_api::ReportedPhase::Done));
    assert_eq!(stopped.count(), 0, "running tasks go on to their end");
    assert!(deployment.job(leader, "planning/long").is_some_and(|job| job.phase != JobPhase::Done));
    deployment.isolate(cut, false);
    wait_until("the job's end", || {
        deployment.job(leader, "planning/long").is_some_and(|job| job.phase == JobPhase::Done)
    });
    log.check().unwrap();
    let done = log.records().into_iter().filter(|record| record.phase == Some(parsleywalk_api::ReportedPhase::Done));
    assert_eq!(done.count(), 60, "every task was done once");
    CallerRequest::keyed(entry, "order-1", "an order").expect_success();
    assert_eq!(endpoint.ran_count(b"an order"), 1);
}

/// Guards against one-way cuts that leave the deployment without a leader, or with one that can't commit.
#[test]
fn one_way_cuts_leave_a_leader_that_commits() {
    let deployment = start(2);
    let leader = deployment.wait_leader(&ALL_VMS);
    let rest = others(leader);
    let apply = |vm: u32, version: u64| {
        let text = CATALOG.replace("version: 1", &format!("version: {version}"));
        let started = Instant::now();
        let reply = deployment.apply(vm, &format!("change-{version}"), &text);
        println!("change {version} accepted after {:?}", started.elapsed());
        assert_eq!(reply.outcome, OperationOutcome::Accepted);
    };
    for vm in &rest {
        deployment.cut(leader, *vm, true);
    }
    deployment.wait_leader(&rest);
    apply(rest[0], 2);
    for vm in &rest {
        deployment.cut(leader, *vm, false);
    }
    let leader = deployment.wait_leader(&ALL_VMS);
    let rest = others(leader);
    for vm in &rest {
        deployment.cut(*vm, leader, true);
    }
    deployment.wait_leader(&rest);
    apply(rest[1], 3);
    for vm in &rest {
        deployment.cut(*vm, leader, false);
    }
    // A follower that receives nothing must not repeatedly depose the leader.
    let leader = deployment.wait_leader(&ALL_VMS);
    let rest = others(leader);
    deployment.cut(leader, rest[0], true);
    deployment.cut(rest[1], rest[0], true);
    apply(rest[1], 4);
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(deployment.status(leader).unwrap().role, "leader");
    deployment.cut(leader, rest[0], false);
    deployment.cut(rest[1], rest[0], false);
    wait_until("the follower", || {
        deployment.status(rest[0]).and_then(|status| status.configuration).is_some_and(|version| version.get() == 4)
    });
}

/// Cuts a worker's link and submits a job whose ten tasks are placed on the worker; their start orders wait for its next
/// report. Returns the job.
///
/// The leader stops placing tasks on an unresponsive worker. If the machine stalls after the cut, the placement may come
/// too late and is tried again with another job.
fn place_on_cut_worker(deployment: &Deployment, link: &FaultyLink) -> String {
    for attempt in 0..MAX_PLACEMENT_ATTEMPTS {
        let job = format!("planning/held-{attempt}");
        link.set_cut(LinkCut::Both);
        deployment.submit(2, &job, 10).unwrap();
        let placed = || deployment.status(2).is_some_and(|status| status.tasks.starting == 10);
        if becomes_true_within(PLACEMENT_TIMEOUT, placed) {
            return job;
        }
        link.set_cut(LinkCut::None);
        wait_until("the end of the job", || deployment.job(2, &job).is_some_and(|job| job.phase == JobPhase::Done));
    }
    panic!("no job was placed on the worker in {MAX_PLACEMENT_ATTEMPTS} attempts");
}

/// Guards against carrying out a start order that arrives late: the response to a report is delayed until the zone is out
/// of service.
#[test]
fn a_start_order_that_was_held_back_is_not_carried_out() {
    let deployment = start(3);
    let (log, base) = (RunLog::new(), Instant::now());
    let link = FaultyLink::start("127.0.0.1".parse().unwrap(), deployment.callers(1)).unwrap();
    let settings = WorkerSettings {
        entries: vec![link.address()],
        report_timeout: Duration::from_secs(30),
        ..worker_settings(&deployment, "w-1", 1)
    };
    let worker = FakeWorker::start(settings, log.clone());
    wait_until("the worker", || deployment.status(2).is_some_and(|status| status.zones.len() == 1));
    wait_until("the instances", || worker.running().len() == 2);
    // The worker learned other entries from responses; from here on it uses the link only.
    worker.set_entries(vec![link.address()]);
    let job = place_on_cut_worker(&deployment, &link);
    let before = log.records().len();
    link.set_cut(LinkCut::Backward);
    thread::sleep(Duration::from_millis(700));
    let reply = deployment.zone(2, "drain", "a", ZoneDirection::Out);
    assert_eq!(reply.outcome, OperationOutcome::Accepted);
    let accepted = base.elapsed();
    thread::sleep(ZONE_OUT_TARGET + Duration::from_millis(200));
    link.set_cut(LinkCut::None);
    wait_until("the end of the starts", || deployment.status(2).is_some_and(|status| status.tasks.queued >= 10));
    let late: Vec<_> = log.records().into_iter().filter(|record| record.start > accepted + ZONE_OUT_TARGET).collect();
    assert!(late.is_empty(), "started {:?} after the acceptance", late[0].start.saturating_sub(accepted));
    assert_eq!(log.records().len(), before);
    let _other = FakeWorker::start(worker_settings(&deployment, "w-2", 2), log.clone());
    wait_until("the job's end", || deployment.job(2, &job).is_some_and(|job| job.phase == JobPhase::Done));
    log.check().unwrap();
}
