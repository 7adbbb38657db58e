//! Tests of restarts, lost disks and damaged log files.

mod common;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::CallerRequest;
use common::{CATALOG, Deployment, get, wait_until};
use parsleywalk_api::{ConfigurationView, JobPhase, JobResult, OperationOutcome, RefusalOutcome};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, RunLog};
use parsleywalk_units::{ConfigurationVersion, ZoneDirection};

const ZONES: [&str; 3] = ["a", "b", "c"];
const ALL_VMS: [u32; 3] = [1, 2, 3];

fn catalog(version: u64) -> String {
    CATALOG.replace("version: 1", &format!("version: {version}"))
}

fn version(deployment: &Deployment, vm: u32) -> Option<ConfigurationVersion> {
    deployment.status(vm)?.configuration
}

fn wait_version(deployment: &Deployment, vm: u32, expected: u64) {
    let expected = Some(ConfigurationVersion::new(expected));
    wait_until("the configuration", || version(deployment, vm) == expected);
}

/// Waits until workers from `count` zones have registered.
fn wait_zones(deployment: &Deployment, count: usize) {
    wait_until("the workers", || deployment.status(1).is_some_and(|status| status.zones.len() == count));
}

/// Guards against state that is kept only in memory: configuration, zones, jobs, results and claims must survive the
/// death of all processes at once.
#[test]
fn everything_committed_outlives_the_death_of_all_daemons() {
    let mut deployment = Deployment::start(0, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let endpoint = FakeEndpoint::start(EndpointSettings {
        entries: deployment.all_callers(),
        ..EndpointSettings::new("quotes-1".parse().unwrap(), "quotes".parse().unwrap())
    })
    .unwrap();
    wait_until("the announcement", || deployment.status(1).is_some_and(|status| status.endpoints == 1));
    CallerRequest::keyed(deployment.callers(1), "order-1", "an order").expect_success();
    let log = RunLog::new();
    let _workers =
        ["a", "b"].map(|zone| deployment.worker(&format!("w-{zone}"), zone, Duration::from_millis(300), &log));
    wait_zones(&deployment, 2);
    deployment.zone(2, "drain", "a", ZoneDirection::Out);
    deployment.submit(1, "planning/early", 3).unwrap();
    wait_until("the job's end", || deployment.job(2, "planning/early").is_some_and(|job| job.phase == JobPhase::Done));
    let early: JobResult = get(deployment.callers(1), "/v1/jobs/planning/early/result").unwrap();
    deployment.submit(1, "planning/late", 60).unwrap();
    wait_until("running tasks", || log.records().len() > 8);

    for process in &mut deployment.processes {
        process.kill();
    }
    for process in &mut deployment.processes {
        process.start();
    }
    let started = Instant::now();
    deployment.wait_ready();
    println!("all daemons ready {:?} after their restart", started.elapsed());

    for vm in ALL_VMS {
        let view: ConfigurationView = get(deployment.operators(vm), "/v1/configuration").unwrap();
        assert_eq!((view.version, view.text.as_str()), (ConfigurationVersion::new(1), CATALOG), "vm {vm}");
        let zones = deployment.status(vm).unwrap().zones;
        assert!(zones.iter().any(|zone| zone.zone.as_str() == "a" && !zone.in_service), "vm {vm}: {zones:?}");
    }
    let result: JobResult = get(deployment.callers(3), "/v1/jobs/planning/early/result").unwrap();
    assert_eq!(result, early);
    wait_until("the job's end", || deployment.job(2, "planning/late").is_some_and(|job| job.phase == JobPhase::Done));
    log.check().unwrap();
    // The response was only in memory, but the claim is in the log: the request must not run again, and the refusal
    // must not say "not run".
    wait_until("the announcement", || deployment.status(1).is_some_and(|status| status.endpoints == 1));
    let again = CallerRequest::keyed(deployment.callers(1), "order-1", "an order").send().unwrap();
    assert_eq!(again.refusal().outcome, RefusalOutcome::Unknown);
    assert_eq!(endpoint.ran_count(b"an order"), 1);
}

/// Guards against a restarted replica that learns its commit index only from the next change, and so never gets ready
/// if nothing changes.
#[test]
fn a_replica_gets_ready_after_its_restart_while_nothing_changes() {
    let mut deployment = Deployment::start(4, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let leader = deployment.wait_leader(&ALL_VMS);
    let follower = ALL_VMS.into_iter().find(|vm| *vm != leader).unwrap();
    for signal in ["TERM", "KILL"] {
        deployment.process(follower).signal(signal);
        deployment.process(follower).wait();
        deployment.process(follower).start();
        let started = Instant::now();
        deployment.wait_ready();
        println!("ready {:?} after the restart", started.elapsed());
        assert_eq!(version(&deployment, follower), Some(ConfigurationVersion::new(1)));
    }
}

/// Guards against a replica that loses or reverts the configuration while it catches up with hundreds of changes, and
/// against changes that are accepted but not in force.
#[test]
fn a_replica_catches_up_with_hundreds_of_changes_and_never_steps_back() {
    let mut deployment = Deployment::start(1, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "change-1", CATALOG);
    let leader = deployment.wait_leader(&ALL_VMS);
    let down = ALL_VMS.into_iter().find(|vm| *vm != leader).unwrap();
    let up = ALL_VMS.into_iter().find(|vm| *vm != leader && *vm != down).unwrap();
    deployment.process(down).kill();
    let started = Instant::now();
    // The reply waits until the change is in force on all daemons, so the next change is sent before the reply arrives.
    thread::scope(|scope| {
        let mut replies = Vec::new();
        for change in 2..=300 {
            let deployment = &deployment;
            replies.push(scope.spawn(move || deployment.apply(up, &format!("change-{change}"), &catalog(change))));
            wait_version(deployment, leader, change);
        }
        for reply in replies {
            assert_eq!(reply.join().unwrap().outcome, OperationOutcome::Accepted);
        }
    });
    println!("299 changes in {:?}", started.elapsed());
    assert_eq!(
        version(&deployment, up),
        Some(ConfigurationVersion::new(300)),
        "in force at the daemon that was called"
    );
    deployment.process(down).start();
    let (started, mut last) = (Instant::now(), None);
    wait_until("the restarted replica", || {
        let now = version(&deployment, down);
        if now.is_some() {
            assert!(now >= last, "the version stepped back from {last:?} to {now:?}");
            last = now;
        }
        now == Some(ConfigurationVersion::new(300))
    });
    println!("caught up {:?} after the restart", started.elapsed());
    deployment.process(leader).kill();
    let reply = deployment.apply(down, "change-301", &catalog(301));
    assert_eq!(reply.version, Some(ConfigurationVersion::new(301)));
    // A resend, then a competing change with the same version number.
    let resent = deployment.apply(up, "change-301", &catalog(301));
    assert_eq!(resent.outcome, OperationOutcome::Accepted);
    let body = parsleywalk_api::ConfigurationApply { operation: common::id("rival"), text: catalog(301) };
    let competing =
        common::post::<_, parsleywalk_api::OperationReply>(deployment.operators(up), "/v1/configuration", &body);
    assert!(competing.is_err(), "a competing change with the same version is refused: {competing:?}");
    deployment.process(leader).start();
    wait_version(&deployment, leader, 301);
}

/// Returns the id under which a VM votes, if the leader has no change of members in progress.
fn committed_voter(deployment: &Deployment, leader: u32, vm: u32) -> Option<serde_json::Value> {
    let dump: serde_json::Value = get(deployment.operators(leader), "/v1/dump").ok()?;
    let log = &dump["control"]["log"];
    let settled = log["outgoing"].as_array()?.is_empty() && log["open_proposals"] == 0;
    let voters = log["voters"].as_array().filter(|_| settled)?;
    voters.iter().find(|voter| voter["vm"] == vm).cloned()
}

/// Guards against a replaced replica that counts towards a quorum with an empty log. Once it has caught up, the loss of
/// a second replica must lose no data.
#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_loses_nothing() {
    let mut deployment = Deployment::start(2, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    for change in 1..=5 {
        deployment.apply(1, &format!("change-{change}"), &catalog(change));
    }
    let worker = deployment.worker("w-c", "c", Duration::from_secs(1), &RunLog::new());
    wait_zones(&deployment, 1);
    worker.kill();
    deployment.zone(1, "drain", "c", ZoneDirection::Out);
    let leader = deployment.wait_leader(&ALL_VMS);
    let lost = ALL_VMS.into_iter().find(|vm| *vm != leader).unwrap();
    let erased = committed_voter(&deployment, leader, lost).expect("the replica is a voter");
    let voters = |deployment: &Deployment| {
        let status = deployment.current_leader().and_then(|leader| deployment.status(leader));
        status.map_or(0, |status| {
            let voting = status.replicas.iter().filter(|replica| replica.role == "voter" || replica.role == "leader");
            voting.filter(|replica| replica.heard_ms < 1000).count()
        })
    };
    deployment.process(lost).kill();
    deployment.process(lost).erase_disk();
    deployment.process(lost).initialise();
    deployment.process(lost).start();
    let started = Instant::now();
    wait_until("the replaced replica", || {
        deployment.log(lost).lines().filter(|line| line.contains("role=follower")).count() > 0
            && deployment.status(lost).is_some_and(|status| status.role == "follower" || status.role == "voter")
            && version(&deployment, lost) == Some(ConfigurationVersion::new(5))
    });
    // The replica calls itself a voter when it has stored the change of members. The second loss may come only once the
    // change is committed; until then the old voters decide, and a majority of them would be gone.
    wait_until("the committed change of members", || {
        committed_voter(&deployment, leader, lost).is_some_and(|voter| voter != erased)
    });
    println!(
        "the replica votes again {:?} after it was initialised; voters {}",
        started.elapsed(),
        voters(&deployment)
    );

    deployment.process(leader).kill();
    deployment.process(leader).erase_disk();
    let survivors: Vec<u32> = ALL_VMS.into_iter().filter(|vm| *vm != leader).collect();
    deployment.wait_leader(&survivors);
    for vm in &survivors {
        wait_version(&deployment, *vm, 5);
        let zones = deployment.status(*vm).unwrap().zones;
        assert!(zones.iter().any(|zone| zone.zone.as_str() == "c" && !zone.in_service), "vm {vm}: {zones:?}");
    }
    let reply = deployment.apply(survivors[0], "change-6", &catalog(6));
    assert_eq!(reply.version, Some(ConfigurationVersion::new(6)));
    deployment.process(leader).initialise();
    deployment.process(leader).start();
    wait_version(&deployment, leader, 6);
}

/// Returns the log file with one bit changed in each copy of the configuration's text. The file also has freed pages,
/// where a change would have no effect, so all copies are changed.
fn with_changed_text(intact: &[u8]) -> Vec<u8> {
    let mut changed = intact.to_vec();
    let windows = intact.windows(7).enumerate().filter(|(_, window)| *window == b"ledgers");
    let offsets: Vec<usize> = windows.map(|(offset, _)| offset).collect();
    assert!(!offsets.is_empty(), "the configuration's text is in the file");
    for offset in offsets {
        changed[offset] ^= 1;
    }
    changed
}

/// Guards against opening a log with a damaged last commit as of the commit before it, which would lose entries that
/// the replica has acknowledged.
#[test]
fn a_last_commit_that_is_damaged_after_a_kill_ends_the_process() {
    let mut deployment = Deployment::start(5, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    deployment.process(2).kill();
    let file = deployment.folder.path().join("data2").join("log.redb");
    let intact = fs::read(&file).unwrap();
    fs::write(&file, with_changed_text(&intact)).unwrap();
    let ended = deployment.process(2).output(&["run"]);
    let message = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(1), "the daemon goes on with a damaged log: {message}");
    assert!(message.contains("open log store") && message.contains("log.redb"), "{message}");
}

/// Guards against opening a damaged log as an empty one, and against an `init` that overwrites a log.
#[test]
fn a_damaged_log_ends_the_process_and_init_keeps_an_existing_log() {
    let mut deployment = Deployment::start(3, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let again = deployment.process(2).output(&["init"]);
    assert_eq!(again.status.code(), Some(1));
    let message = String::from_utf8_lossy(&again.stderr).into_owned();
    assert!(message.contains("initialise"), "{message}");

    deployment.process(2).signal("TERM");
    assert_eq!(deployment.process(2).wait(), Some(0));
    let again = deployment.process(2).output(&["init"]);
    assert_eq!(again.status.code(), Some(1), "a stopped replica's log is kept as well");
    let file = deployment.folder.path().join("data2").join("log.redb");
    let intact = fs::read(&file).unwrap();
    let changed = with_changed_text(&intact);
    let damages: [(&str, Vec<u8>); 4] = [
        ("changed bytes", changed),
        ("cut off", intact[..intact.len() / 3].to_vec()),
        ("empty", Vec::new()),
        ("zeroes", vec![0; intact.len()]),
    ];
    for (damage, content) in damages {
        fs::write(&file, &content).unwrap();
        let ended = deployment.process(2).output(&["run"]);
        let message = String::from_utf8_lossy(&ended.stderr).into_owned();
        println!("{damage}: {} {}", ended.status, message.trim());
        assert_eq!(ended.status.code(), Some(1), "{damage}: {message}");
        assert!(message.contains("open log store") && message.contains("log.redb"), "{damage}: {message}");
        let again = deployment.process(2).output(&["init"]);
        assert_eq!(again.status.code(), Some(1), "{damage}: a damaged log is not initialised over");
    }
    fs::remove_file(&file).unwrap();
    let ended = deployment.process(2).output(&["run"]);
    assert_eq!(ended.status.code(), Some(1), "a folder without a log is not taken for an empty log");
    fs::write(&file, &intact).unwrap();
    deployment.process(2).start();
    wait_version(&deployment, 2, 1);
}
