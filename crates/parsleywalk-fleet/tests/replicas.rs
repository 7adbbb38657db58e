//! Tests with real daemons on loopback addresses: bootstrap, and the loss of the leader, of a disk and of a VM.

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

/// The maximum wait for any condition; a loaded machine may be slow.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

type CallOutcome = Result<LeaderReply, CallFailure>;

enum DaemonCommand {
    Call(Box<LeaderRequest>, flume::Sender<CallOutcome>),
    Stop,
}

/// A daemon on its own thread. Stopping it leaves its folder as a crash would.
struct TestDaemon {
    commands: flume::Sender<DaemonCommand>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TestDaemon {
    fn start(settings: FleetSettings) -> Self {
        let (commands, queue) = flume::unbounded();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let access = std::rc::Rc::new(
                    LeaderAccess::start(settings, FleetMetrics::default()).await.expect("the daemon starts"),
                );
                while let Ok(DaemonCommand::Call(request, sender)) = queue.recv_async().await {
                    let access = std::rc::Rc::clone(&access);
                    tokio::task::spawn_local(async move {
                        drop(sender.send(access.call(*request, Duration::from_secs(2)).await));
                    });
                }
            });
        });
        Self { commands, thread: Some(thread) }
    }

    fn call(&self, request: LeaderRequest) -> CallOutcome {
        let (sender, reply) = flume::bounded(1);
        self.commands.send(DaemonCommand::Call(Box::new(request), sender)).expect("the daemon runs");
        reply.recv().expect("every call gets a reply")
    }

    /// Repeats the request until the reply satisfies the predicate.
    fn wait_for(&self, request: &LeaderRequest, accept: impl Fn(&LeaderReply) -> bool) -> LeaderReply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.call(request.clone()) {
                Ok(reply) if accept(&reply) => return reply,
                other => assert!(Instant::now() < deadline, "no such reply to {request:?}: {other:?}"),
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
        drop(self.commands.send(DaemonCommand::Stop));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the daemon ends");
        }
    }
}

/// The addresses and folders of a test deployment.
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

    fn bootstrap(&self) -> Vec<Option<TestDaemon>> {
        (1..=3).map(|number| Some(self.replica(number, true))).collect()
    }

    /// Starts an entry daemon on an address of its own.
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

/// Guards against the loss of acknowledged changes with the leader, and against a lower configuration version replacing
/// a higher one.
#[test]
fn acknowledged_changes_survive_the_loss_of_the_leader() {
    let fleet = TestFleet::new(11);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(7), |reply| *reply == LeaderReply::Done);
    let submit = queue("/checks/00000000000000aa", QueueAction::Submit(Box::new(job())));
    entry.wait_for(&submit, |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = usize::from(leader.octets()[3]) - 1;
    replicas[lost].take().expect("the replica runs").stop();
    // The reply comes from the successor, which holds every acknowledged change.
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

/// Guards against a replica with a lost disk not regaining its vote: it joins as a new replica, after which another may
/// be lost.
#[test]
fn a_replica_with_a_lost_disk_rejoins() {
    let fleet = TestFleet::new(12);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(lost) - 1].take().expect("the replica runs").stop();
    std::fs::remove_dir_all(fleet.data_folder(lost)).expect("the disk is lost");
    replicas[usize::from(lost) - 1] = Some(fleet.replica(lost, false));
    // The third replica may be lost only once the new one votes, which is shown by progress without the third.
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let new_replica = replicas[usize::from(lost) - 1].as_ref().expect("the replica runs");
    while new_replica.members().len() != 3 {
        assert!(Instant::now() < deadline, "the new replica does not learn the members");
    }
    thread::sleep(Duration::from_secs(2));
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != lost).expect("another");
    replicas[usize::from(third) - 1].take().expect("the replica runs").stop();
    entry.wait_for(&configuration(5), |reply| *reply == LeaderReply::Done);
    entry.wait_for(&LeaderRequest::ReadConfiguration, is_version(5));
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against a permanently lost VM keeping its vote: a VM at a new address must replace it.
#[test]
fn a_lost_vm_is_replaced_by_another() {
    let fleet = TestFleet::new(13);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = (1..=3).find(|number| fleet.address(*number) != leader).expect("a follower");
    replicas[usize::from(lost) - 1].take().expect("the replica runs").stop();
    let new_replica = fleet.replica(4, false);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let (new, old) = (fleet.address(4), fleet.address(lost));
    loop {
        let members = new_replica.members();
        if members.contains(&new) && !members.contains(&old) {
            break;
        }
        assert!(Instant::now() < deadline, "the members are still {members:?}");
        thread::sleep(Duration::from_millis(50));
    }
    let third = (1..=3).find(|number| fleet.address(*number) != leader && *number != lost).expect("another");
    thread::sleep(Duration::from_secs(1));
    replicas[usize::from(third) - 1].take().expect("the replica runs").stop();
    entry.wait_for(&configuration(4), |reply| *reply == LeaderReply::Done);
    entry.stop();
    new_replica.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against replies from stale state without a majority, and against late refusals.
#[test]
fn a_minority_serves_no_requests() {
    let fleet = TestFleet::new(14);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration(3), |reply| *reply == LeaderReply::Done);
    replicas[0].take().expect("the replica runs").stop();
    replicas[1].take().expect("the replica runs").stop();
    // The remaining replica may have led, and steps down within an election timeout.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while entry.call(LeaderRequest::ReadConfiguration).is_ok() {
        assert!(Instant::now() < deadline, "a minority still replies");
    }
    let submit = queue("/checks/00000000000000bb", QueueAction::Submit(Box::new(job())));
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    assert_eq!(entry.call(submit), Err(CallFailure::NotSent));
    assert!(start.elapsed() < Duration::from_millis(1500), "the refusal takes {:?}", start.elapsed());
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}
