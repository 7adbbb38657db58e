//! Real daemons on loopback addresses.

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod linked_fleet;
pub(crate) mod test_worker;

use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_batch::{JobSpec, QueueConfiguration, ReportResponse, StepSpec, WorkerPool, WorkerReport};
use parsleywalk_fleet::{
    CallFailure, FleetMetrics, FleetSettings, LeaderAccess, LeaderReply, LeaderRequest, QueueAction,
};
use parsleywalk_units::ConfigurationVersion;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The maximum wait for any condition; a loaded machine may be slow.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long callers wait for a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type CallOutcome = Result<LeaderReply, CallFailure>;
pub(crate) type ReportOutcome = Result<(ReportResponse, Option<Ipv4Addr>), CallFailure>;

pub(crate) enum DaemonCommand {
    Call(Box<LeaderRequest>, Duration, flume::Sender<CallOutcome>),
    Report(Box<WorkerReport>, flume::Sender<ReportOutcome>),
    Pause(Duration),
    Stop,
}

/// A daemon on its own thread. Stopping it leaves its folder as a crash would.
pub(crate) struct TestDaemon {
    commands: flume::Sender<DaemonCommand>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TestDaemon {
    pub(crate) fn start(settings: FleetSettings) -> Self {
        let (commands, queue) = flume::unbounded();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let access = std::rc::Rc::new(
                    LeaderAccess::start(settings, FleetMetrics::default()).await.expect("the daemon starts"),
                );
                while let Ok(command) = queue.recv_async().await {
                    let access = std::rc::Rc::clone(&access);
                    match command {
                        DaemonCommand::Call(request, timeout, sender) => tokio::task::spawn_local(async move {
                            drop(sender.send(access.call(*request, timeout).await));
                        }),
                        DaemonCommand::Report(report, sender) => tokio::task::spawn_local(async move {
                            drop(sender.send(access.report(*report, Duration::from_secs(2)).await));
                        }),
                        DaemonCommand::Pause(duration) => {
                            thread::sleep(duration);
                            continue;
                        }
                        DaemonCommand::Stop => break,
                    };
                }
            });
        });
        Self { commands, thread: Some(thread) }
    }

    pub(crate) fn call(&self, request: LeaderRequest) -> CallOutcome {
        self.begin_call(request, CALL_TIMEOUT).recv().expect("every call gets a reply")
    }

    /// Sends a request to the daemon, whose caller waits for `timeout`. The outcome arrives at the receiver.
    pub(crate) fn begin_call(&self, request: LeaderRequest, timeout: Duration) -> flume::Receiver<CallOutcome> {
        let (sender, reply) = flume::bounded(1);
        self.commands.send(DaemonCommand::Call(Box::new(request), timeout, sender)).expect("the daemon runs");
        reply
    }

    /// Pauses the whole daemon. Requests that are sent meanwhile wait, as in a socket.
    pub(crate) fn pause(&self, duration: Duration) {
        self.commands.send(DaemonCommand::Pause(duration)).expect("the daemon runs");
    }

    /// Sends a worker's report to the daemon. The outcome arrives at the receiver.
    pub(crate) fn report(&self, report: WorkerReport) -> flume::Receiver<ReportOutcome> {
        let (sender, outcome) = flume::bounded(1);
        self.commands.send(DaemonCommand::Report(Box::new(report), sender)).expect("the daemon runs");
        outcome
    }

    /// Repeats the request until the reply satisfies the predicate.
    pub(crate) fn wait_for(&self, request: &LeaderRequest, accept: impl Fn(&LeaderReply) -> bool) -> LeaderReply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.call(request.clone()) {
                Ok(reply) if accept(&reply) => return reply,
                other => assert!(Instant::now() < deadline, "no such reply to {request:?}: {other:?}"),
            }
        }
    }

    pub(crate) fn leader(&self) -> Ipv4Addr {
        let located = self
            .wait_for(&LeaderRequest::Locate, |reply| matches!(reply, LeaderReply::Located { leader: Some(_), .. }));
        let LeaderReply::Located { leader: Some(leader), .. } = located else { unreachable!("checked above") };
        parsleywalk_fleet::vm_address(leader)
    }

    pub(crate) fn members(&self) -> Vec<Ipv4Addr> {
        match self.call(LeaderRequest::Locate) {
            Ok(LeaderReply::Located { members, .. }) => {
                members.into_iter().map(parsleywalk_fleet::vm_address).collect()
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn stop(mut self) {
        drop(self.commands.send(DaemonCommand::Stop));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the daemon ends");
        }
    }
}

/// The addresses and folders of a test deployment.
pub(crate) struct TestFleet {
    network: u8,
    port: u16,
    folder: TempDir,
}

impl TestFleet {
    pub(crate) fn new(network: u8) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        Self { network, port, folder: TempDir::new().expect("a folder") }
    }

    pub(crate) fn address(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, number)
    }

    pub(crate) fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.path().join(number.to_string())
    }

    pub(crate) fn settings(&self, number: u8) -> FleetSettings {
        FleetSettings {
            address: self.address(number),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3].parse().expect("a zone"),
            peer_port: self.port,
            seeds: (1..=3).map(|seed| self.address(seed)).collect(),
            ..FleetSettings::default()
        }
    }

    pub(crate) fn replica(&self, number: u8, bootstrap: bool) -> TestDaemon {
        let data_folder = Some(self.data_folder(number));
        TestDaemon::start(FleetSettings { data_folder, bootstrap, ..self.settings(number) })
    }

    pub(crate) fn bootstrap(&self) -> Vec<Option<TestDaemon>> {
        (1..=3).map(|number| Some(self.replica(number, true))).collect()
    }

    /// Starts an entry daemon on an address of its own.
    pub(crate) fn entry(&self) -> TestDaemon {
        TestDaemon::start(self.settings(100))
    }
}

pub(crate) fn configuration(version: u64) -> LeaderRequest {
    let service: parsleywalk_units::ServiceName = "planning".parse().expect("a name");
    LeaderRequest::Configure(Box::new(QueueConfiguration {
        version: ConfigurationVersion::new(version),
        text: format!("version {version}"),
        queues: vec![parsleywalk_batch::JobQueue {
            name: "checks".to_owned(),
            host: "example".to_owned(),
            path_prefix: "/checks/".to_owned(),
            service: service.clone(),
            priority: 0,
            attempt_limit: 3,
            stretch: 2.0,
            latency_objective: Duration::from_secs(1),
            timeout: Duration::from_secs(3),
            advice: None,
        }],
        pools: vec![WorkerPool { service, enforces_capacity: true, standby: false }],
        body_limit: 1000,
    }))
}

pub(crate) fn queue(path: &str, action: QueueAction) -> LeaderRequest {
    LeaderRequest::Queue { host: "example".to_owned(), path: path.to_owned(), action }
}

pub(crate) fn job() -> JobSpec {
    JobSpec { payload: "spec".to_owned(), steps: vec![StepSpec { count: 2, ..StepSpec::default() }], schedule: None }
}

pub(crate) fn is_version(expected: u64) -> impl Fn(&LeaderReply) -> bool {
    move |reply| matches!(reply, LeaderReply::Configuration { version, .. } if version.get() == expected)
}
