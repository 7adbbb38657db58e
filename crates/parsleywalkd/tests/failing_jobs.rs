//! Tests of real daemons whose workers run jobs that keep failing.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::platform::{DAEMONS, start_platform};
use common::wait_until;
use parsleywalk_api::FailingJobs;
use parsleywalk_platform_soak::{FleetProbe, ProcessFleet, ScriptedWorkers};
use serde_json::json;
use tempfile::TempDir;

/// Callers consider a job stuck that has had nothing running for this long while there is capacity for it.
const STUCK_AFTER: Duration = Duration::from_secs(3);
/// Callers consider a long-running task stuck that does not run this long after its last run.
const LONG_RUNNING_STUCK_AFTER: Duration = Duration::from_secs(9);
/// How long a faulty job is at it before sound ones come.
const FAULTY_TIME: Duration = Duration::from_secs(12);

fn submit(probe: &FleetProbe, job: &str, payload: &str, step: &serde_json::Value) {
    let body = json!({"spec": payload, "steps": [step]}).to_string().into_bytes();
    assert_eq!(probe.submit_body(job, body), Some(200), "the job is accepted");
}

/// Starts daemons and workers, and returns them once a job has been completed.
fn start(folder: &TempDir, workers: usize) -> (ProcessFleet, FleetProbe, ScriptedWorkers) {
    let fleet = start_platform(folder);
    let probe = FleetProbe::new(&fleet);
    let workers = ScriptedWorkers::start(&fleet.control_addresses(), workers);
    wait_until("a leader", || probe.submit_body("00000000000000a0", warm_up_body()) == Some(200));
    wait_until("the first job", || probe.state("00000000000000a0").as_deref() == Some("completed"));
    (fleet, probe, workers)
}

fn warm_up_body() -> Vec<u8> {
    json!({"spec": "completes 100", "steps": [{"count": 6, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100}]})
        .to_string()
        .into_bytes()
}

/// Checks that the leader, and no other daemon, lists the job with its failed runs, and counts and logs them as such.
fn check_listing(fleet: &ProcessFleet, workers: &ScriptedWorkers, job: &str) {
    let get = |index, path| {
        let response = attohttpc::get(format!("http://{}/{path}", fleet.metrics(index))).send().expect("a response");
        (response.status().as_u16(), response.text().expect("a body"))
    };
    let leaders: Vec<usize> = (0..DAEMONS).filter(|index| get(*index, "failing-jobs").0 == 200).collect();
    let [leader] = leaders[..] else { panic!("one daemon leads: {leaders:?}") };
    let listing: FailingJobs = serde_json::from_str(&get(leader, "failing-jobs").1).expect("a listing");
    let [failing] = &listing.jobs[..] else { panic!("one job fails: {listing:?}") };
    assert_eq!(failing.job, job);
    let starts = u64::try_from(workers.starts(job).len()).expect("small");
    assert!(failing.failed_runs > 0 && failing.failed_runs <= starts, "{failing:?} of {starts}");
    assert!(failing.last_task.starts_with(job) && failing.last_worker.starts_with("scripted-"), "{failing:?}");
    let metrics = get(leader, "metrics").1;
    let counted = metrics.lines().find(|line| line.starts_with("parsleywalk_runs_ended_total{outcome=\"failed\""));
    assert!(counted.is_some(), "{metrics}");
    let log = fleet.log(leader).expect("a log");
    let is_logged = |event: &str, text: &str| {
        log.lines().any(|line| line.contains(&format!("event={event} job={job}")) && line.contains(text))
    };
    assert!(is_logged("run_ended", "outcome=Failed recorded=Stopped"));
    assert!(is_logged("job_failing", "worker=scripted-"));
    assert!(is_logged("restart_delayed", "outcome=Failed failures_in_a_row=9 delay_ms=4000"));
}

/// Guards against healthy workers that get no work for seconds, since all runs of a long-running gang fail on them, and
/// against a failing job that log, metrics and listing show as a healthy one.
#[test]
fn a_failing_gang_keeps_no_sound_job_waiting() {
    let folder = TempDir::new().expect("a folder");
    let (fleet, probe, workers) = start(&folder, 3);
    let gang = json!({"count": 6, "cpu": 500, "mem_mb": 100, "gang": true, "long_running": true});
    submit(&probe, "00000000000000b0", "fails 200", &gang);
    thread::sleep(FAULTY_TIME);
    assert_eq!(probe.state("00000000000000b0").as_deref(), Some("running"), "it is restarted however it ends");
    check_listing(&fleet, &workers, "00000000000000b0");
    for round in 0..3 {
        let job = format!("00000000000000c{round}");
        submit(&probe, &job, "lasts", &json!({"count": 6, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000}));
        let submitted = Instant::now();
        while workers.starts(&job).is_empty() && submitted.elapsed() < STUCK_AFTER {
            thread::sleep(Duration::from_millis(10));
        }
        assert!(!workers.starts(&job).is_empty(), "sound job {round} has not started");
    }
}

/// Guards against a long-running gang that is given up or not restarted, whichever way its members end, at work or while
/// they start, one or all of them, and across a change of leader. The case `review/2` in more forms.
#[test]
fn long_running_gangs_are_restarted_across_leaders() {
    let folder = TempDir::new().expect("a folder");
    let (mut fleet, probe, workers) = start(&folder, 6);
    let mut jobs = Vec::new();
    for outcome in ["fails", "completes"] {
        for after_ms in [20, 150, 3200] {
            for members in [1, 2, 3] {
                let job = format!("00000000000001{:02x}", jobs.len());
                let gang = json!({"count": 3, "cpu": 200, "mem_mb": 100, "gang": true, "long_running": true,
                    "anti_affinity": 1});
                submit(&probe, &job, &format!("{outcome} {after_ms} {members}"), &gang);
                jobs.push(job);
            }
        }
    }
    let start = Instant::now();
    let mut idle_since = vec![start; jobs.len()];
    for (step, daemon) in (0..3).enumerate() {
        let next = start + Duration::from_secs(9) * (u32::try_from(step).expect("small") + 1);
        while Instant::now() < next {
            for (job, since) in jobs.iter().zip(&mut idle_since) {
                if workers.running(job) > 0 {
                    *since = Instant::now();
                }
                assert!(since.elapsed() < LONG_RUNNING_STUCK_AFTER, "{job} doesn't run");
            }
            thread::sleep(Duration::from_millis(5));
        }
        // Each replica is restarted in turn, so that the leader changes at least once.
        fleet.kill(daemon);
        fleet.start(daemon).expect("the daemon starts");
    }
    wait_until("a leader", || probe.state(&jobs[0]).is_some());
    // Jobs of earlier data can be told from jobs of this run.
    let log = fleet.log(0).expect("a log");
    let opened: Vec<&str> = log.lines().filter(|line| line.contains("event=replica_opened")).collect();
    let [first, second] = opened[..] else { panic!("two starts: {opened:?}") };
    assert!(first.contains("log_term=0 log_entries=0 snapshot=false"), "{first}");
    assert!(!second.contains("log_term=0 "), "{second}");
    let answered = "event=order_answered order=configuration version=1 status=200";
    assert!((0..3).any(|daemon| fleet.log(daemon).expect("a log").contains(answered)), "the order is logged");
    for job in &jobs {
        let state = probe.state(job);
        assert_eq!(state.as_deref(), Some("running"), "{job}");
        // More than three runs, the limit on failed runs of tasks that end.
        let newest = workers.starts(job).iter().map(|start| start.run).max();
        assert!(newest.is_some_and(|run| run > 3), "{job}: {newest:?}");
    }
}
