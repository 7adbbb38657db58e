//! A scripted entry daemon and a wait function for the tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_api::{WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_testkit::WorkerSettings;
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize, TaskId, TimeSpan};
use rouille::Response;

/// Waits until `condition` holds and panics after 10 s.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "waited 10 s for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP server that acts as an entry daemon with scripted responses. Dropping it stops it.
pub(crate) struct ScriptedEntry {
    pub(crate) address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl ScriptedEntry {
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

impl Drop for ScriptedEntry {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// The next responses of a scripted leader, and all reports that it has received.
pub(crate) struct LeaderScript {
    pub(crate) orders: Vec<WorkerOrder>,
    pub(crate) lease: Option<TimeSpan>,
    pub(crate) start_within: TimeSpan,
    pub(crate) delay: Duration,
    /// How far the sequence number of a response is behind that of the report.
    pub(crate) sequence_lag: u64,
    pub(crate) reports: Vec<WorkerReport>,
}

pub(crate) type SharedScript = Arc<Mutex<LeaderScript>>;

/// Starts an entry daemon that responds to reports as scripted. Each response contains all pending orders.
pub(crate) fn scripted_leader() -> (ScriptedEntry, SharedScript) {
    let script = Arc::new(Mutex::new(LeaderScript {
        orders: Vec::new(),
        lease: Some(TimeSpan::from_secs(60)),
        start_within: TimeSpan::from_secs(1),
        delay: Duration::ZERO,
        sequence_lag: 0,
        reports: Vec::new(),
    }));
    let shared = Arc::clone(&script);
    let entry = ScriptedEntry::start(move |url, body| {
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
    (entry, script)
}

/// Returns a start order for attempt 1 of a task with the run time `run`.
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

pub(crate) fn worker_settings(entries: Vec<SocketAddr>) -> WorkerSettings {
    WorkerSettings {
        entries,
        report_timeout: Duration::from_millis(500),
        ..WorkerSettings::new("worker-1".parse().unwrap(), "zone-a".parse().unwrap(), "rack-1".parse().unwrap())
    }
}
