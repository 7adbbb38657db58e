//! Real daemons on loopback addresses: founding, loss of the leader, of a disk and of a VM.

use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_batch::{JobSpec, JobStatus, QueueConfiguration, StepSpec, WorkerPool};
use parsleywalk_fleet::{
    CallFailure, FleetMetrics, FleetSettings, LeaderAccess, LeaderReply, LeaderRequest, QueueAction,
};
use parsleywalk_units::ConfigurationVersion;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The longest wait for anything; a loaded machine may be slow.
const PATIENCE: Duration = Duration::from_secs(30);

type Answer = Result<LeaderReply, CallFailure>;

enum DaemonOrder {
    Call(Box<LeaderRequest>, flume::Sender<Answer>),
    Stop,
}

/// A daemon on a thread of its own. Stopping it leaves its folder as a crash would.
struct TestDaemon {
    orders: flume::Sender<DaemonOrder>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TestDaemon {
    fn start(settings: FleetSettings) -> Self {
        let (orders, queue) = flume::unbounded();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let access = std::rc::Rc::new(
                    LeaderAccess::start(settings, FleetMetrics::default()).await.expect("the daemon starts"),
                );
                while let Ok(DaemonOrder::Call(request, reply)) = queue.recv_async().await {
                    let access = std::rc::Rc::clone(&access);
                    tokio::task::spawn_local(async move {
                        drop(reply.send(access.call(*request, Duration::from_secs(2)).await));
                    });
                }
            });
        });
        Self { orders, thread: Some(thread) }
    }

    fn call(&self, request: LeaderRequest) -> Answer {
        let (reply, answer) = flume::bounded(1);
        self.orders.send(DaemonOrder::Call(Box::new(request), reply)).expect("the daemon runs");
        answer.recv().expect("every call is answered")
    }

    /// Calls until the answer satisfies the predicate.
    fn wait_for(&self, request: &LeaderRequest, accept: impl Fn(&LeaderReply) -> bool) -> LeaderReply {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.call(request.clone()) {
                Ok(reply) if accept(&reply) => return reply,
                other => assert!(Instant::now() < end, "no such answer to {request:?}: {other:?}"),
            }
        }
    }

    fn leader(&self) -> Ipv4Addr {
        let located = self
            .wait_for(&LeaderRequest::Locate, |reply| matches!(reply, LeaderReply::Located { leader: Some(_), .. }));
        let LeaderReply::Located { leader: Some(leader), .. } = located else { unreachable!("checked above") };
        parsleywalk_fleet::vm_address(leader)
    }

    fn members(&self) -> Vec<Ipv4Addr> {
        match self.call(LeaderRequest::Locate) {
            Ok(LeaderReply::Located { members, .. }) => {
                members.into_iter().map(parsleywalk_fleet::vm_address).collect()
            }
            _ => Vec::new(),
        }
    }

    fn stop(mut self) {
        drop(self.orders.send(DaemonOrder::Stop));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the daemon ends");
        }
    }
}

/// Addresses and folders of a test's deployment.
struct TestFleet {
    network: u8,
    port: u16,
    folder: TempDir,
}

impl TestFleet {
    fn new(network: u8) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        Self { network, port, folder: TempDir::new().expect("a folder") }
    }

    fn address(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, number)
    }

    fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.path().join(number.to_string())
    }

    fn settings(&self, number: u8) -> FleetSettings {
        FleetSettings {
            address: self.address(number),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3].parse().expect("a zone"),
            peer_port: self.port,
            seeds: (1..=3).map(|seed| self.address(seed)).collect(),
            ..FleetSettings::default()
        }
    }

    fn replica(&self, number: u8, bootstrap: bool) -> TestDaemon {
        let data_folder = Some(self.data_folder(number));
        TestDaemon::start(FleetSettings { data_folder, bootstrap, ..self.settings(number) })
    }

    fn found(&self) -> Vec<Option<TestDaemon>> {
        (1..=3).map(|number| Some(self.replica(number, true))).collect()
    }

    /// An entry on an address of its own.
    fn entry(&self) -> TestDaemon {
        TestDaemon::start(self.settings(100))
    }
}

fn configuration(version: u64) -> LeaderRequest {
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

fn queue(path: &str, action: QueueAction) -> LeaderRequest {
    LeaderRequest::Queue { host: "example".to_owned(), path: path.to_owned(), action }
}

fn job() -> JobSpec {
    JobSpec { payload: "spec".to_owned(), steps: vec![StepSpec { count: 2, ..StepSpec::default() }], schedule: None }
}

fn is_version(expected: u64) -> impl Fn(&LeaderReply) -> bool {
    move |reply| matches!(reply, LeaderReply::Configuration { version, .. } if version.get() == expected)
}

/// What was acknowledged before the leader was lost is there after it, and lower versions change nothing.
#[test]
fn acknowledged_changes_survive_the_leader() {
    let fleet = TestFleet::new(11);
    let mut replicas = fleet.found();
    let entry = fleet.entry();
    entry.wait_for(&configuration(7), |reply| *reply == LeaderReply::Done);
    let submit = queue("/checks/00000000000000aa", QueueAction::Submit(Box::new(job())));
    entry.wait_for(&submit, |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("runs").leader();
    let lost = usize::from(leader.octets()[3]) - 1;
    replicas[lost].take().expect("runs").stop();
    // The answer comes from the successor, which holds all that was acknowledged.
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(7));
    let read = queue("/checks/00000000000000aa", QueueAction::Read);
    assert_eq!(entry.wait_for(&read, |_| true), LeaderReply::Status(JobStatus::Pending));
    assert_eq!(entry.wait_for(&submit, |_| true), LeaderReply::Done);
    assert_eq!(entry.wait_for(&queue("/checks/", QueueAction::Read), |_| true), LeaderReply::Waiting(1));
    entry.wait_for(&configuration(5), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(7));
    assert_eq!(entry.wait_for(&queue("/other/", QueueAction::Read), |_| true), LeaderReply::NoQueue);
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// A replica whose disk was lost joins as a new one; once it votes, another may be lost.
#[test]
fn a_lost_disk_is_replaced() {
    let fleet = TestFleet::new(12);
    let mut replicas = fleet.found();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("runs").leader();
    let lost = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(lost) - 1].take().expect("runs").stop();
    std::fs::remove_dir_all(fleet.data_folder(lost)).expect("the disk is lost");
    replicas[usize::from(lost) - 1] = Some(fleet.replica(lost, false));
    // The third replica may be lost only once the new one votes, which shows as progress without it.
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    let end = Instant::now() + PATIENCE;
    let fresh = replicas[usize::from(lost) - 1].as_ref().expect("runs");
    while fresh.members().len() != 3 {
        assert!(Instant::now() < end, "the new replica does not learn of the members");
    }
    thread::sleep(Duration::from_secs(2));
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != lost).expect("another");
    replicas[usize::from(third) - 1].take().expect("runs").stop();
    entry.wait_for(&configuration(5), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(5));
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// A VM at a new address takes the place of one that is gone for good.
#[test]
fn a_vm_is_replaced_by_another() {
    let fleet = TestFleet::new(13);
    let mut replicas = fleet.found();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("runs").leader();
    let gone = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(gone) - 1].take().expect("runs").stop();
    let fresh = fleet.replica(4, false);
    let end = Instant::now() + PATIENCE;
    let (new, old) = (fleet.address(4), fleet.address(gone));
    loop {
        let members = fresh.members();
        if members.contains(&new) && !members.contains(&old) {
            break;
        }
        assert!(Instant::now() < end, "the members stay {members:?}");
        thread::sleep(Duration::from_millis(50));
    }
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != gone).expect("another");
    thread::sleep(Duration::from_secs(1));
    replicas[usize::from(third) - 1].take().expect("runs").stop();
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    entry.stop();
    fresh.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Without a majority nothing is answered from an old state, and a refusal comes early.
#[test]
fn a_minority_answers_nothing() {
    let fleet = TestFleet::new(14);
    let mut replicas = fleet.found();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    replicas[0].take().expect("runs").stop();
    replicas[1].take().expect("runs").stop();
    // The remaining one may have led, and steps down within an election's time.
    let end = Instant::now() + PATIENCE;
    while entry.call(LeaderRequest::ReadConfiguration).is_ok() {
        assert!(Instant::now() < end, "a minority goes on answering");
    }
    let submit = queue("/checks/00000000000000bb", QueueAction::Submit(Box::new(job())));
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    assert_eq!(entry.call(submit), Err(CallFailure::NotSent));
    assert!(start.elapsed() < Duration::from_millis(1500), "the refusal takes {:?}", start.elapsed());
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}
