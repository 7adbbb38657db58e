//! Tests of invalid input and misbehaving callers at the caller server, and of tokens at the operator server.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{CallerRequest, CallerResponse};
use common::{CATALOG, Deployment, DeploymentSpec, wait_until};
use parsleywalk_api::{JobPhase, JobStatus, Refusal, RefusalOutcome};
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, RunLog};

fn start(address_block: u8, extra: &str) -> (Deployment, FakeEndpoint) {
    let spec = DeploymentSpec { address_block, zones: &["a"], replicas: &[1], extra, ..DeploymentSpec::default() };
    let deployment = Deployment::start_with(&spec);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    let settings = EndpointSettings {
        entries: deployment.all_callers(),
        ..EndpointSettings::new("quotes-1".parse().unwrap(), "quotes".parse().unwrap())
    };
    let endpoint = FakeEndpoint::start(settings).unwrap();
    wait_until("the announcement", || deployment.status(1).is_some_and(|status| status.endpoints == 1));
    (deployment, endpoint)
}

fn connect(entry: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(entry).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    socket
}

/// Reads a response until the connection closes.
fn read_response(socket: &mut TcpStream) -> CallerResponse {
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no response: {text}"));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    CallerResponse { status, body: body.as_bytes().to_vec() }
}

fn exchange(entry: SocketAddr, request: &[u8]) -> CallerResponse {
    let mut socket = connect(entry);
    socket.write_all(request).unwrap();
    read_response(&mut socket)
}

fn post_head(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: {length}\r\n")
}

const REQUESTS: &str = "/v1/services/quotes/requests";

/// Guards against invalid input that crashes an entry, runs on an endpoint, or is not refused as not run.
#[test]
fn bad_input_is_refused_and_others_are_served() {
    let (deployment, endpoint) = start(0, "");
    let entry = deployment.callers(1);
    let with = |line: &[u8]| [post_head(REQUESTS, 1).as_bytes(), line, b"\r\n\r\nx"].concat();
    let refused: Vec<(&str, Vec<u8>)> = vec![
        ("malformed job", [post_head("/v1/jobs", 5).as_bytes(), b"\r\n{\"a\":"].concat()),
        ("unknown field", [post_head("/v1/jobs", 9).as_bytes(), b"\r\n{\"a\":\"b\"}"].concat()),
        ("malformed announcement", [post_head("/v1/endpoints", 2).as_bytes(), b"\r\n[]"].concat()),
        ("malformed report", [post_head("/v1/workers/report", 4).as_bytes(), b"\r\n\xff\xfe\x00\x01"].concat()),
        ("bad UTF-8 in a key", with(b"Idempotency-Key: \xff\xfe")),
        ("bad UTF-8 in a caller", with(b"Parsleywalk-Caller: \xc3\x28")),
        ("bad flag", with(b"Parsleywalk-Repeatable: perhaps")),
        ("bad deadline", with(b"Parsleywalk-Deadline-Ms: 99999999999999999999")),
        ("no deadline", with(b"Parsleywalk-Deadline-Ms: 0")),
        ("bad service name", [post_head("/v1/services/%FF%FE/requests", 1).as_bytes(), b"\r\nx"].concat()),
        ("unknown service", [post_head("/v1/services/nobody/requests", 1).as_bytes(), b"\r\nx"].concat()),
        ("unknown path", [post_head("/v2", 1).as_bytes(), b"\r\nx"].concat()),
    ];
    for (case, request) in &refused {
        let response = exchange(entry, request);
        assert!((400..600).contains(&response.status), "{case}: {response:?}");
        assert_eq!(response.refusal().outcome, RefusalOutcome::NotRun, "{case}");
    }
    // These heads are not valid HTTP, so the connection may close without a response. Nothing must run.
    for request in
        [b"\xff\xfe\x00 nonsense\r\n\r\n".as_slice(), b"GET /\xff\xfe HTTP/1.1\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n"]
    {
        let mut socket = connect(entry);
        socket.write_all(request).unwrap();
        let mut response = Vec::new();
        drop(socket.read_to_end(&mut response));
        assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 4"), "{}", String::from_utf8_lossy(&response));
    }
    for size in [8 * 1024 * 1024 + 1, 24 * 1024 * 1024] {
        let response = CallerRequest::new(entry, &"x".repeat(size)).send();
        let response = response.unwrap_or_else(|error| panic!("no refusal of {size} bytes: {error}"));
        assert_eq!((response.status, response.refusal().outcome), (413, RefusalOutcome::NotRun));
    }
    assert_eq!(endpoint.ran().len(), 0, "nothing of this ran");
    CallerRequest::new(entry, "a good request").expect_success();
    CallerRequest::new(entry, &"x".repeat(8 * 1024 * 1024)).expect_success();
}

/// Guards against an operator's call that takes effect without the correct token.
#[test]
fn operators_need_the_token() {
    let extra = "operator_token_file: peer.token\n";
    let spec = DeploymentSpec { address_block: 1, zones: &["a"], replicas: &[1], extra, ..DeploymentSpec::default() };
    let deployment = Deployment::start_with(&spec);
    deployment.wait_ready();
    let url = format!("http://{}/v1/configuration", deployment.operators(1));
    let body = serde_json::to_string(&parsleywalk_api::ConfigurationApply {
        operation: common::id("first"),
        text: CATALOG.to_owned(),
    })
    .unwrap();
    for token in [None, Some("Bearer wrong"), Some("Bearer "), Some("peer"), Some("Bearer peerpeer")] {
        let request = attohttpc::post(&url).timeout(Duration::from_secs(5));
        let request = token.iter().fold(request, |request, token| request.header("Authorization", *token));
        let response = request.text(&body).send().unwrap();
        assert_eq!(response.status().as_u16(), 401, "{token:?}");
        let refusal: Refusal = serde_json::from_slice(&response.bytes().unwrap()).unwrap();
        assert_eq!(refusal.outcome, RefusalOutcome::NotRun);
    }
    let status = || attohttpc::get(&url).header("Authorization", "Bearer peer").send().unwrap().status().as_u16();
    assert_eq!(status(), 404, "no configuration came into force");
    let response = attohttpc::post(&url).header("Authorization", "Bearer peer").text(&body).send().unwrap();
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(status(), 200);
}

/// Guards against slow senders and idle connections that block other callers of an entry.
#[test]
fn slow_and_idle_connections_do_not_hold_up_others() {
    let (deployment, endpoint) = start(2, "limits: { body_timeout: 3s, head_timeout: 4s }\n");
    let entry = deployment.callers(1);
    let idle: Vec<TcpStream> = (0..1500).map(|_| connect(entry)).collect();
    let started = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut served = 0;
    thread::scope(|scope| {
        let slow: Vec<_> = (0..50)
            .map(|_| {
                scope.spawn(move || {
                    let mut socket = connect(entry);
                    socket.write_all(format!("{}\r\n", post_head(REQUESTS, 100)).as_bytes()).unwrap();
                    while socket.write_all(b"x").is_ok() && started.elapsed() < Duration::from_millis(3500) {
                        thread::sleep(Duration::from_secs(1));
                    }
                    read_response(&mut socket)
                })
            })
            .collect();
        while started.elapsed() < Duration::from_millis(2500) {
            let sent = Instant::now();
            CallerRequest::new(entry, &format!("quick-{served}")).expect_success();
            slowest = slowest.max(sent.elapsed());
            served += 1;
        }
        for slow in slow {
            let response = slow.join().unwrap();
            assert_eq!((response.status, response.refusal().outcome), (408, RefusalOutcome::NotRun));
        }
    });
    println!("{served} requests beside 50 slow and 1500 idle connections, the slowest took {slowest:?}");
    assert!(slowest < Duration::from_secs(1), "the slowest took {slowest:?}");
    assert_eq!(endpoint.ran().len(), served, "nothing of the slow callers ran");
    for mut socket in idle {
        // Closed after the head timeout, so that idle connections don't use up the connection limit.
        let mut response = Vec::new();
        drop(socket.read_to_end(&mut response));
    }
    assert!(started.elapsed() < Duration::from_secs(15), "idle connections were closed after {:?}", started.elapsed());
}

/// Guards against connections beyond the limit that are not refused as not run, and against closed connections that still
/// count towards the limit.
#[test]
fn connections_beyond_the_limit_get_a_whole_refusal() {
    let (deployment, endpoint) = start(3, "limits: { connections: 20, head_timeout: 60s }\n");
    let entry = deployment.callers(1);
    let mut idle = Vec::new();
    let refused = |body: &str| {
        CallerRequest::new(entry, body).send().map(|response| (response.status, response.refusal().outcome))
    };
    for _ in 0..20 {
        idle.push(connect(entry));
    }
    thread::sleep(Duration::from_millis(300));
    let large = "x".repeat(2 * 1024 * 1024);
    for body in ["small", large.as_str()] {
        for _ in 0..10 {
            let seen = refused(body).unwrap_or_else(|error| panic!("no refusal of {} bytes: {error}", body.len()));
            assert_eq!(seen, (503, RefusalOutcome::NotRun));
        }
    }
    assert_eq!(endpoint.ran().len(), 0);
    drop(idle);
    wait_until("a free connection", || {
        CallerRequest::new(entry, "afterwards").send().is_ok_and(|response| response.status == 200)
    });
}

/// Guards against callers that disconnect early and leave an occupied slot, a request in progress, or a response that the
/// next caller receives.
#[test]
fn callers_that_leave_half_way_hold_nothing_up() {
    let (deployment, endpoint) = start(4, "");
    let entry = deployment.callers(1);
    for number in 0..200 {
        let mut socket = connect(entry);
        let head = post_head(REQUESTS, 10);
        let text = format!("{head}\r\n0123456789");
        let cut = match number % 4 {
            0 => head.len() / 2,
            1 => head.len(),
            2 => text.len() - 5,
            _ => text.len(),
        };
        socket.write_all(&text.as_bytes()[..cut]).unwrap();
    }
    wait_until("the end of all requests", || deployment.status(1).is_some_and(|status| status.requests == 0));
    assert!(endpoint.ran().iter().all(|request| request.body == b"0123456789"), "no part of a request ran");
    assert!(endpoint.ran().len() <= 50, "each ran at most once");
    for number in 0..20 {
        CallerRequest::new(entry, &format!("afterwards-{number}")).expect_success();
    }
}

/// Guards against a flood of cancels that blocks other work, and against losing a cancel that arrives before its job.
#[test]
fn a_flood_of_cancels_is_carried_out_even_before_the_jobs() {
    let (deployment, _endpoint) = start(5, "");
    let log = RunLog::new();
    let _worker = deployment.worker("w-a", "a", Duration::from_millis(200), &log);
    let entry = deployment.callers(1);
    let cancel = |job: &str| {
        let response = attohttpc::delete(format!("http://{entry}/v1/jobs/planning/{job}")).send().unwrap();
        response.status().as_u16()
    };
    deployment.submit(1, "planning/good", 30).unwrap();
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= 3000 {
                        return;
                    }
                    let status = cancel(&format!("early-{}", number % 600));
                    if status != 200 {
                        refused.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    println!("3000 cancels in {:?}, {} not accepted", started.elapsed(), refused.load(Ordering::Relaxed));
    let before = log.records().len();
    for number in 0..50 {
        let job = format!("planning/early-{number}");
        let status: JobStatus = deployment.submit(1, &job, 1).unwrap();
        assert_eq!(status.phase, JobPhase::Cancelled, "{job} was cancelled before it was submitted");
    }
    for number in 0..50 {
        let job = format!("late-{number}");
        deployment.submit(1, &format!("planning/{job}"), 2).unwrap();
        assert_eq!(cancel(&job), 200);
    }
    wait_until("the job's end", || deployment.job(1, "planning/good").is_some_and(|job| job.phase == JobPhase::Done));
    for number in 0..50 {
        let job = format!("planning/late-{number}");
        wait_until("the cancelled job", || deployment.job(1, &job).is_some_and(|job| job.phase == JobPhase::Cancelled));
    }
    log.check().unwrap();
    println!("starts after the flood: {}", log.records().len() - before);
}
