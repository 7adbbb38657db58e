//! Runs an embedded standalone daemon with a fake endpoint and two fake workers.
//!
//! Serves requests, runs a batch job that is evicted and resumed, takes an availability zone out of service and back in,
//! and prints each result. The last line is `quickstart: ok`.

use std::error::Error;
use std::time::{Duration, Instant};

use parsleywalk_api::{
    ConfigurationApply, JobPhase, JobResult, JobStatus, JobSubmission, OperationReply, ZoneCommand, headers,
};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, RunLog, WorkerSettings};
use parsleywalk_units::ZoneDirection;
use parsleywalkd::{Daemon, DaemonSettings, initialise};
use serde::Serialize;
use serde::de::DeserializeOwned;

type BoxResult<T> = Result<T, Box<dyn Error>>;

const CATALOG: &str = "
version: 1
teams:
  - { name: planning, weight: 1 }
services:
  - name: route-checks
    class: latency-critical
    team: planning
    size: { cores: 2, memory: 4GB }
    instances: 2
    slots: 8
    deadline: 2s
  - name: resurveys
    class: batch
    team: planning
    size: { cores: 8, memory: 16GB }
    run_time: 3s
    depends_on: [route-checks]
";

/// Time limit for each step.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> BoxResult<()> {
    let folder = tempfile::TempDir::new()?;
    let settings = DaemonSettings {
        data_folder: Some(folder.path().join("data")),
        replicas: vec!["1".parse()?],
        ..DaemonSettings::default()
    };
    initialise(&settings)?;
    let daemon = Daemon::start(&settings)?;
    let (callers, operators) = (daemon.caller_address().to_string(), daemon.operator_address().to_string());
    println!("daemon: callers at {callers}, operators at {operators}");
    wait_until("readiness", || Ok(attohttpc::get(format!("http://{operators}/readyz")).send()?.is_success()))?;

    let apply = ConfigurationApply { operation: "quickstart-apply".parse()?, text: CATALOG.to_owned() };
    let applied: OperationReply = post(&operators, "/v1/configuration", &apply)?;
    println!("configuration: {}", applied.message);

    let log = RunLog::new();
    let workers =
        [start_worker(&daemon, "worker-1", "north", &log)?, start_worker(&daemon, "worker-2", "south", &log)?];
    serve_requests(&daemon, &callers)?;
    run_job(&callers, &operators, &log)?;

    log.check()?;
    drop(workers);
    daemon.shutdown();
    println!("quickstart: ok");
    Ok(())
}

fn start_worker(daemon: &Daemon, name: &str, zone: &str, log: &RunLog) -> BoxResult<FakeWorker> {
    let settings = WorkerSettings {
        entries: vec![daemon.caller_address()],
        long_running_services: vec!["route-checks".parse()?],
        run_time: Some(Duration::from_secs(3)),
        checkpoint_interval: Some(Duration::from_millis(200)),
        ..WorkerSettings::new(name.parse()?, zone.parse()?, "rack-1".parse()?)
    };
    Ok(FakeWorker::start(settings, log.clone()))
}

fn serve_requests(daemon: &Daemon, callers: &str) -> BoxResult<()> {
    let endpoint = FakeEndpoint::start(EndpointSettings {
        entries: vec![daemon.caller_address()],
        ..EndpointSettings::new("planner-1".parse()?, "route-checks".parse()?)
    })?;
    let url = format!("http://{callers}/v1/services/route-checks/requests");
    wait_until("an endpoint", || {
        let probe = attohttpc::post(&url).header(headers::REPEATABLE, "true").text("probe").send()?;
        Ok(probe.is_success())
    })?;
    for number in 1..=3 {
        let key = format!("check-{number}");
        let body = format!("route {number}");
        for copy in 1..=3 {
            let response = attohttpc::post(&url).header(headers::IDEMPOTENCY_KEY, &key).text(&body).send()?;
            let text = response.text()?;
            if text != body {
                return Err(format!("request {key} copy {copy}: got {text:?}, expected {body:?}").into());
            }
        }
        println!("request {key}: sent 3 times, ran {} time", endpoint.ran_count(body.as_bytes()));
        if endpoint.ran_count(body.as_bytes()) != 1 {
            return Err("a request that is not repeatable ran more than once".into());
        }
    }
    println!("endpoint planner-1: {} entry knows that it leaves", endpoint.leave());
    Ok(())
}

fn run_job(callers: &str, operators: &str, log: &RunLog) -> BoxResult<()> {
    let submission = JobSubmission {
        job: "planning/slope-7".parse()?,
        service: "resurveys".parse()?,
        count: 2,
        size: None,
        urgent: false,
        arguments: "slope 7".to_owned(),
    };
    let path = "/v1/jobs/planning/slope-7";
    let _: JobStatus = post(callers, "/v1/jobs", &submission)?;
    let _: JobStatus = post(callers, "/v1/jobs", &submission)?;
    println!("job slope-7: submitted twice under one key");
    wait_until("a running task", || {
        let status: JobStatus = get(callers, path)?;
        Ok(status.tasks.iter().all(|task| task.phase == parsleywalk_api::TaskPhase::Running))
    })?;
    let status: JobStatus = get(callers, path)?;
    let worker = status.tasks[0].worker.as_ref().ok_or("a running task has no worker")?;
    let zone = if worker.as_str() == "worker-1" { "north" } else { "south" };
    std::thread::sleep(Duration::from_millis(800));
    set_zone(operators, zone, ZoneDirection::Out)?;
    wait_until("the job's end", || Ok(get::<JobStatus>(callers, path)?.phase == JobPhase::Done))?;
    set_zone(operators, zone, ZoneDirection::In)?;

    let result: JobResult = get(callers, "/v1/jobs/planning/slope-7/result")?;
    for task in &result.results {
        let runs = log.task_records(task.task);
        for run in &runs {
            println!(
                "task {} attempt {}: on {}, from {} ms of work saved, did {} ms",
                task.task,
                run.attempt,
                run.worker,
                run.resumed_from.as_millis(),
                run.work.as_millis()
            );
        }
        if runs.len() > 1 && runs[1].resumed_from.is_zero() {
            return Err("an evicted task started from scratch although it had a checkpoint".into());
        }
    }
    println!("job slope-7: {:?} with {} results", result.phase, result.results.len());
    Ok(())
}

fn set_zone(operators: &str, zone: &str, direction: ZoneDirection) -> BoxResult<()> {
    let command = ZoneCommand { operation: format!("quickstart-{zone}-{direction}").parse()?, direction };
    let reply: OperationReply = post(operators, &format!("/v1/zones/{zone}"), &command)?;
    println!("zone {zone} {direction}: {}", reply.message);
    Ok(())
}

fn wait_until(what: &str, mut condition: impl FnMut() -> BoxResult<bool>) -> BoxResult<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if condition()? {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!("timed out waiting for {what}").into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn get<T: DeserializeOwned>(address: &str, path: &str) -> BoxResult<T> {
    read(attohttpc::get(format!("http://{address}{path}")).send()?)
}

fn post<B: Serialize, T: DeserializeOwned>(address: &str, path: &str, body: &B) -> BoxResult<T> {
    let body = serde_json::to_vec(body)?;
    read(
        attohttpc::post(format!("http://{address}{path}"))
            .header("Content-Type", "application/json")
            .bytes(body)
            .send()?,
    )
}

fn read<T: DeserializeOwned>(response: attohttpc::Response) -> BoxResult<T> {
    let success = response.is_success();
    let body = response.bytes()?;
    if success { Ok(serde_json::from_slice(&body)?) } else { Err(String::from_utf8_lossy(&body).into_owned().into()) }
}
