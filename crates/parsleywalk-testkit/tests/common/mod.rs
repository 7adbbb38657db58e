//! A scripted caller edge and waits that the tests share.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_api::{WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_testkit::WorkerSettings;
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize, TaskId, TimeSpan};
use rouille::Response;

/// Waits until `condition` holds.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "waited 10 s for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An edge whose answers a test scripts; dropping it closes it.
pub(crate) struct ScriptedEdge {
    pub(crate) address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl ScriptedEdge {
    pub(crate) fn start(handler: impl Fn(&str, &str) -> Response + Send + Sync + 'static) -> Self {
        let server = rouille::Server::new("127.0.0.1:0", move |request| {
            let mut body = String::new();
            std::io::Read::read_to_string(&mut request.data().unwrap(), &mut body).unwrap();
            handler(&request.url(), &body)
        })
        .unwrap();
        let (address, stopped) = (server.server_addr(), Arc::new(AtomicBool::new(false)));
        let flag = Arc::clone(&stopped);
        thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                server.poll_timeout(Duration::from_millis(10));
            }
        });
        Self { address, stopped }
    }
}

impl Drop for ScriptedEdge {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// What a scripted leader answers next, and every report that it got.
pub(crate) struct LeaderScript {
    pub(crate) orders: Vec<WorkerOrder>,
    pub(crate) lease: Option<TimeSpan>,
    pub(crate) start_within: TimeSpan,
    pub(crate) delay: Duration,
    /// By how much the answered sequence lies behind the report's.
    pub(crate) sequence_lag: u64,
    pub(crate) reports: Vec<WorkerReport>,
}

pub(crate) type SharedScript = Arc<Mutex<LeaderScript>>;

/// An edge that answers reports from a script; each answer takes the orders that wait.
pub(crate) fn leader() -> (ScriptedEdge, SharedScript) {
    let script = Arc::new(Mutex::new(LeaderScript {
        orders: Vec::new(),
        lease: Some(TimeSpan::from_secs(60)),
        start_within: TimeSpan::from_secs(1),
        delay: Duration::ZERO,
        sequence_lag: 0,
        reports: Vec::new(),
    }));
    let shared = Arc::clone(&script);
    let edge = ScriptedEdge::start(move |url, body| {
        assert_eq!(url, "/v1/workers/report");
        let report: WorkerReport = serde_json::from_str(body).unwrap();
        let (reply, delay) = {
            let mut script = shared.lock().unwrap();
            script.reports.push(report.clone());
            let reply = WorkerReply {
                sequence: report.sequence - script.sequence_lag,
                revision: 100 + script.reports.len() as u64,
                lease: script.lease,
                start_within: script.start_within,
                report_every: TimeSpan::from_millis(20),
                orders: std::mem::take(&mut script.orders),
                entries: Vec::new(),
            };
            (reply, script.delay)
        };
        thread::sleep(delay);
        Response::json(&reply)
    });
    (edge, script)
}

/// A start order for attempt 1 of a task that runs for `run`.
pub(crate) fn start_order(task: u64, run: &str) -> WorkerOrder {
    WorkerOrder::Start {
        task: TaskId::new(task),
        attempt: "1".parse().unwrap(),
        service: "slope-resurvey".parse().unwrap(),
        size: ResourceSize::new(MilliCores::new(8000), MemoryBytes::new(24_000_000_000)),
        arguments: format!("run={run}"),
        checkpoint: None,
    }
}

pub(crate) fn settings(entries: Vec<SocketAddr>) -> WorkerSettings {
    WorkerSettings {
        entries,
        report_timeout: Duration::from_millis(500),
        ..WorkerSettings::new("worker-1".parse().unwrap(), "zone-a".parse().unwrap(), "rack-1".parse().unwrap())
    }
}
