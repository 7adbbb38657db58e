//! End-to-end tests with daemons as separate processes.

mod common;

use std::time::Duration;

use common::{CATALOG, Deployment, id, wait_until};
use parsleywalk_api::{ConfigurationApply, JobPhase, JobResult, OperationOutcome, OperationReply, headers};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, RunLog, WorkerSettings};
use parsleywalk_units::{ConfigurationVersion, ZoneDirection};

const ZONES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

fn worker(deployment: &Deployment, name: &str, zone: &str, log: &RunLog) -> FakeWorker {
    let entries = deployment.processes.iter().filter(|process| process.zone == zone);
    let settings = WorkerSettings {
        entries: entries.map(|process| process.address(7000)).collect(),
        long_running_services: vec!["quotes".parse().unwrap()],
        run_time: Some(Duration::from_millis(300)),
        ..WorkerSettings::new(name.parse().unwrap(), zone.parse().unwrap(), "rack-1".parse().unwrap())
    };
    FakeWorker::start(settings, log.clone())
}

/// Guards against a failure in any step from end to end: configuration, request, batch job, and taking a zone out of
/// service and back in.
#[test]
fn seven_daemons_serve_a_request_and_a_job() {
    let deployment = Deployment::start(0, &ZONES, &[1, 2, 4, 5, 6]);
    deployment.wait_ready();

    let reply = deployment.apply(7, "first", CATALOG);
    assert_eq!(reply.outcome, OperationOutcome::Accepted);
    assert_eq!(reply.version, Some(ConfigurationVersion::new(1)));
    assert_eq!(reply.in_force.len(), 7, "in force everywhere before it is accepted: {reply:?}");

    let endpoint = FakeEndpoint::start(EndpointSettings {
        entries: vec![deployment.callers(1)],
        ..EndpointSettings::new("quotes-1".parse().unwrap(), "quotes".parse().unwrap())
    })
    .unwrap();
    let url = format!("http://{}/v1/services/quotes/requests", deployment.callers(1));
    wait_until("the endpoint's announcement", || deployment.status(1).is_some_and(|status| status.endpoints == 1));
    let response = attohttpc::post(&url).header(headers::IDEMPOTENCY_KEY, "quote-1").text("a rib").send().unwrap();
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(response.text().unwrap(), "a rib");
    let again = attohttpc::post(&url).header(headers::IDEMPOTENCY_KEY, "quote-1").text("a rib").send().unwrap();
    assert_eq!(again.text().unwrap(), "a rib");
    assert_eq!(endpoint.ran_count(b"a rib"), 1, "a resend under the same key does not run again");

    let log = RunLog::new();
    let _workers = [worker(&deployment, "w1", "a", &log), worker(&deployment, "w2", "b", &log)];
    let submitted = deployment.submit(3, "planning/job-1", 3).unwrap();
    assert_eq!(submitted.count, 3);
    wait_until("the job's end", || deployment.job(6, "planning/job-1").is_some_and(|job| job.phase == JobPhase::Done));
    let result: JobResult = common::get(deployment.callers(2), "/v1/jobs/planning/job-1/result").unwrap();
    assert_eq!(result.results.len(), 3);

    let out = deployment.zone(5, "drain", "a", ZoneDirection::Out);
    assert_eq!(out.outcome, OperationOutcome::Accepted);
    std::thread::sleep(Duration::from_secs(2));
    let before = log.records().len();
    deployment.submit(1, "planning/job-2", 4).unwrap();
    wait_until("the job's end", || deployment.job(1, "planning/job-2").is_some_and(|job| job.phase == JobPhase::Done));
    assert!(log.records()[before..].iter().all(|record| record.worker.as_str() == "w2"), "nothing starts in zone a");
    deployment.zone(5, "return", "a", ZoneDirection::In);
    log.check().unwrap();
}

/// Guards against accepting the same version from two operators, and against a resend that gets another reply than the
/// first copy.
#[test]
fn operators_race_under_one_number_and_resend() {
    let deployment = Deployment::start(1, &["a", "b", "c"], &[1, 2, 3]);
    deployment.wait_ready();
    let other = CATALOG.replace("2GB", "3GB");
    let attempts = std::thread::scope(|scope| {
        let racers = [(1, "left", CATALOG), (2, "right", other.as_str())].map(|(vm, operation, text)| {
            let address = deployment.operators(vm);
            scope.spawn(move || {
                let body = ConfigurationApply { operation: id(operation), text: text.to_owned() };
                common::post::<_, OperationReply>(address, "/v1/configuration", &body)
            })
        });
        racers.map(|racer| racer.join().unwrap())
    });
    assert_eq!(attempts.iter().filter(|attempt| attempt.is_ok()).count(), 1, "{attempts:?}");
    let winner = attempts.iter().position(Result::is_ok).unwrap();
    let (operation, text) = if winner == 0 { ("left", CATALOG) } else { ("right", other.as_str()) };
    let again = deployment.apply(3, operation, text);
    assert_eq!(again.outcome, OperationOutcome::Accepted, "another daemon gives the stored reply again");
    assert_eq!(again.version, Some(ConfigurationVersion::new(1)));
}
