//! Tests that logs and metrics suffice to find the cause of a failed request from its id; see docs/OPERATIONS.md.

mod common;

use std::cell::Cell;

use common::platform::{DAEMONS, start_platform};
use common::wait_until;
use parsleywalk_platform_soak::{FleetProbe, ProbeJob, ProcessFleet};
use tempfile::TempDir;

/// The index of the first entry. Daemons 0 to 2 are replicas, 3 to 5 are entries.
const ENTRY: usize = 3;

/// Returns the log lines of all daemons that have the event and contain the text.
fn lines(fleet: &ProcessFleet, event: &str, text: &str) -> Vec<String> {
    let logs = (0..DAEMONS).map(|index| fleet.log(index).expect("a log"));
    let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
    lines.filter(|line| line.contains(&format!("event={event} ")) && line.contains(text)).collect()
}

fn metrics(fleet: &ProcessFleet, index: usize) -> String {
    let response = attohttpc::get(format!("http://{}/metrics", fleet.metrics(index))).send();
    response.and_then(attohttpc::Response::text).expect("metrics are served")
}

/// Guards against a refusal that is logged without the job and the reason, at the entry or at the leader.
#[test]
fn a_refused_job_is_explained() {
    let folder = TempDir::new().expect("a folder");
    let fleet = start_platform(&folder);
    let probe = FleetProbe::new(&fleet);
    // For a while after its election, a leader accepts jobs although no worker has registered yet, and accepted jobs
    // stay accepted. Each attempt therefore submits a new job.
    let attempt = Cell::new(0xa0_u64);
    let job = || format!("{:016x}", attempt.get());
    wait_until("a refusal", || {
        attempt.set(attempt.get() + 1);
        probe.submit(&job(), ProbeJob::LongRunning) == Some(429)
    });
    let job = &job();
    let reason = "lasting work leaves too little";
    wait_until("the entry's line", || lines(&fleet, "request_answered", job).iter().any(|line| line.contains("429")));
    wait_until("the leader's line", || lines(&fleet, "job_refused", job).iter().any(|line| line.contains(reason)));
    assert!(lines(&fleet, "job_accepted", job).is_empty(), "a refused job was never accepted");
    assert!(metrics(&fleet, ENTRY).contains("status=\"429\""), "{}", metrics(&fleet, ENTRY));
    let refused = (0..3).any(|index| metrics(&fleet, index).contains("parsleywalk_refusals_total"));
    assert!(refused, "the leader counts refusals by reason");
}

/// Guards against a waiting job whose log lines don't show that it was accepted but not started, and why: all zones are
/// out of service.
#[test]
fn a_waiting_job_is_explained() {
    let folder = TempDir::new().expect("a folder");
    let fleet = start_platform(&folder);
    let probe = FleetProbe::new(&fleet);
    for zone in ["zone-a", "zone-b", "zone-c"] {
        wait_until("the zone's change", || probe.evacuate(zone));
    }
    let job = "00000000000000b1";
    wait_until("the job", || probe.submit(job, ProbeJob::Short) == Some(200));
    wait_until("the leader's line", || !lines(&fleet, "job_accepted", job).is_empty());
    assert!(lines(&fleet, "start_ordered", job).is_empty(), "the job has not started");
    wait_until("the zone's line", || !lines(&fleet, "zone_change", "zone=zone-a direction=out").is_empty());
    let waiting = || {
        (0..3).any(|index| {
            let text = metrics(&fleet, index);
            let pending = |line: &&str| {
                line.starts_with("parsleywalk_active_jobs{")
                    && line.contains("status=\"pending\"")
                    && line.contains("priority=\"0\"")
            };
            text.lines().any(|line| pending(&line) && line.ends_with(" 1"))
        })
    };
    wait_until("the metric of waiting jobs", waiting);
}

/// Guards against a request that fails without a leader but is logged without that cause, and against an entry that
/// doesn't log the loss of its leader.
#[test]
fn a_lost_leader_is_explained() {
    let folder = TempDir::new().expect("a folder");
    let mut fleet = start_platform(&folder);
    let probe = FleetProbe::new(&fleet);
    let job = "00000000000000c1";
    wait_until("a leader", || probe.submit(job, ProbeJob::Short) == Some(200));
    for index in 0..3 {
        fleet.kill(index);
    }
    let job = "00000000000000c2";
    let status = probe.submit(job, ProbeJob::Short);
    assert!(matches!(status, Some(503 | 504)), "{status:?}");
    wait_until("the entry's line", || {
        let answered = lines(&fleet, "request_answered", job);
        answered.iter().any(|line| line.contains("no leader reached") || line.contains("leader did not answer"))
    });
    wait_until("the lost leader", || !lines(&fleet, "leader_lost", "peer=").is_empty());
    assert!(metrics(&fleet, ENTRY).contains("parsleywalk_leaders_lost_total"));
}
