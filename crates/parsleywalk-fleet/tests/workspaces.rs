//! Tests of workspaces with real daemons on loopback addresses: replicas of the previous release, the loss of the leader,
//! revoked keys, and requests of two workspaces about one job id at the same time.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_batch::{ApiKey, BatchCommand, BatchState, JobStatus, Workspace, WorkspaceConfiguration};
use parsleywalk_fleet::{FleetSettings, HttpResponse, LeaderReply, LeaderRequest, QueueAction};
use parsleywalk_peer::DaemonRelease;
use parsleywalk_shares::ResourceLimit;
use support::{TestDaemon, TestFleet, WAIT_TIMEOUT, configuration, job, queue};

const PATH: &str = "/checks/00000000000000aa";
/// Long enough for the leader to ask all replicas for their releases several times.
const RELEASES_KNOWN: Duration = Duration::from_secs(2);
/// The number of job ids about which two workspaces send requests at the same time.
const CONTESTED_JOBS: u32 = 40;

/// Returns a configuration with the workspaces alpha, whose key is given, and beta, whose key is `b1`.
fn configuration_with_workspaces(version: u64, alpha_key: &str) -> LeaderRequest {
    let workspace = |name: &str, key: &str| Workspace {
        name: name.parse().expect("a name"),
        keys: vec![ApiKey::new(key.to_owned())],
        weight: 1,
        limit: ResourceLimit::default(),
    };
    let LeaderRequest::Configure(configuration) = configuration(version) else { unreachable!("it configures") };
    let workspaces = Box::new(WorkspaceConfiguration {
        version: configuration.version,
        workspaces: vec![workspace("alpha", alpha_key), workspace("beta", "b1")],
        public_queues: Vec::new(),
    });
    LeaderRequest::ConfigureWorkspaces { configuration, workspaces }
}

fn keyed(path: &str, action: QueueAction, key: &str) -> LeaderRequest {
    LeaderRequest::KeyedQueue {
        host: "example".to_owned(),
        path: path.to_owned(),
        action,
        key: ApiKey::new(key.to_owned()),
    }
}

fn submit() -> QueueAction {
    QueueAction::Submit(Box::new(job()))
}

/// Starts a replica that names a release to others.
fn replica_of(fleet: &TestFleet, number: u8, release: DaemonRelease, bootstrap: bool) -> TestDaemon {
    let data_folder = Some(fleet.data_folder(number));
    TestDaemon::start(FleetSettings { data_folder, bootstrap, release, ..fleet.settings(number) })
}

fn is_done(reply: &LeaderReply) -> bool {
    *reply == LeaderReply::Done
}

/// Guards against log entries that a replica of release 1 cannot decode, after which it exits: a configuration with
/// workspaces waits until the replica is replaced, and everything else continues.
#[test]
fn a_replica_of_the_previous_release_delays_workspaces() {
    let fleet = TestFleet::new(61);
    let releases = [DaemonRelease::FIRST, DaemonRelease::CURRENT, DaemonRelease::CURRENT];
    let mut replicas: Vec<TestDaemon> =
        (1..).zip(releases).map(|(number, release)| replica_of(&fleet, number, release, true)).collect();
    let entry = fleet.entry();
    while entry.leader() == fleet.address(1) {
        replicas.remove(0).stop();
        replicas.insert(0, replica_of(&fleet, 1, DaemonRelease::FIRST, false));
    }
    entry.wait_for(&configuration(1), is_done);
    let deadline = Instant::now() + RELEASES_KNOWN;
    while Instant::now() < deadline {
        let reply = entry.wait_for(&configuration_with_workspaces(2, "a1"), |_| true);
        assert_eq!(reply, LeaderReply::NotReady);
        thread::sleep(Duration::from_millis(100));
    }
    entry.wait_for(&configuration(2), is_done);
    entry.wait_for(&queue(PATH, submit()), is_done);
    replicas.remove(0).stop();
    replicas.push(replica_of(&fleet, 1, DaemonRelease::CURRENT, false));
    entry.wait_for(&configuration_with_workspaces(3, "a1"), is_done);
    entry.wait_for(&keyed(PATH, QueueAction::Read, "a1"), |reply| *reply == LeaderReply::Status(JobStatus::Pending));
    entry.stop();
    replicas.into_iter().for_each(TestDaemon::stop);
}

/// Guards against requests that a leader of release 1 cannot decode, and against callers that are refused during an upgrade
/// because they already send keys, which a deployment without workspaces ignores.
#[test]
fn a_leader_of_the_previous_release_is_sent_no_keys() {
    let fleet = TestFleet::new(62);
    let replicas: Vec<TestDaemon> =
        (1..=3).map(|number| replica_of(&fleet, number, DaemonRelease::FIRST, true)).collect();
    let entry = fleet.entry();
    entry.wait_for(&configuration(1), is_done);
    assert_eq!(entry.wait_for(&keyed(PATH, submit(), "a1"), |_| true), LeaderReply::Done);
    assert_eq!(entry.wait_for(&configuration_with_workspaces(2, "a1"), |_| true), LeaderReply::NotReady);
    for read in [keyed(PATH, QueueAction::Read, "a1"), queue(PATH, QueueAction::Read)] {
        assert_eq!(entry.wait_for(&read, |_| true), LeaderReply::Status(JobStatus::Pending));
    }
    entry.stop();
    replicas.into_iter().for_each(TestDaemon::stop);
}

/// Guards against a next leader that does not know the workspaces or the owners of jobs, and against a revoked key that
/// is still valid after the configuration without it was acknowledged.
#[test]
fn owners_survive_the_leader_and_their_keys() {
    let fleet = TestFleet::new(63);
    let mut replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration_with_workspaces(1, "a1"), is_done);
    entry.wait_for(&keyed(PATH, submit(), "a1"), is_done);
    let leader = replicas[0].as_ref().expect("the replica runs").leader();
    let lost = usize::from(leader.octets()[3]) - 1;
    replicas[lost].take().expect("the replica runs").stop();
    let read = |key| keyed(PATH, QueueAction::Read, key);
    assert_eq!(entry.wait_for(&read("a1"), |_| true), LeaderReply::Status(JobStatus::Pending));
    assert_eq!(entry.wait_for(&read("b1"), |_| true), LeaderReply::Forbidden);
    assert_eq!(entry.wait_for(&queue(PATH, QueueAction::Read), |_| true), LeaderReply::Unauthorized);
    entry.wait_for(&configuration_with_workspaces(2, "a2"), is_done);
    assert_eq!(entry.wait_for(&read("a1"), |_| true), LeaderReply::Unauthorized);
    assert_eq!(entry.wait_for(&read("a2"), |_| true), LeaderReply::Status(JobStatus::Pending));
    assert_eq!(entry.wait_for(&keyed(PATH, QueueAction::Cancel, "b1"), |_| true), LeaderReply::Forbidden);
    entry.wait_for(&configuration(3), is_done);
    assert_eq!(
        entry.wait_for(&queue(PATH, QueueAction::Read), |_| true),
        LeaderReply::Status(JobStatus::Pending),
        "a deployment without workspaces ignores keys"
    );
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against a request that is decided before another workspace's request about the same id is applied, and then
/// cancels or replaces its job.
#[test]
fn a_job_being_committed_belongs_to_one_workspace() {
    let fleet = TestFleet::new(64);
    let replicas = fleet.bootstrap();
    let entry = fleet.entry();
    entry.wait_for(&configuration_with_workspaces(1, "a1"), is_done);
    let paths: Vec<String> = (1..=CONTESTED_JOBS).map(|number| format!("/checks/{number:016x}")).collect();
    let actions = [submit(), QueueAction::Cancel];
    let begin = |path: &str, action: &QueueAction, key| {
        entry.begin_call(keyed(path, action.clone(), key), WAIT_TIMEOUT).into_iter()
    };
    // Every second job is contested by a cancel, the others by a submission.
    let calls: Vec<_> = paths
        .iter()
        .zip(actions.iter().cycle())
        .map(|(path, action)| (path, action, begin(path, &submit(), "a1"), begin(path, action, "b1")))
        .collect();
    let mut contested = 0;
    for (path, action, mut alpha, mut beta) in calls {
        let replies = (alpha.next().expect("an outcome"), beta.next().expect("an outcome"));
        match &replies {
            (Ok(LeaderReply::Done), Ok(LeaderReply::Forbidden)) => {
                let read = keyed(path, QueueAction::Read, "a1");
                assert_eq!(entry.wait_for(&read, |_| true), LeaderReply::Status(JobStatus::Pending), "{path}");
                contested += 1;
            }
            (Ok(LeaderReply::Forbidden), Ok(LeaderReply::Done)) if matches!(action, QueueAction::Submit(_)) => {}
            (Ok(LeaderReply::Forbidden), Ok(LeaderReply::NoJob)) if matches!(action, QueueAction::Cancel) => {}
            _ => panic!("{path} {action:?}: {replies:?}"),
        }
    }
    assert!(contested > 0, "alpha's requests came first at least once");
    entry.stop();
    replicas.into_iter().flatten().for_each(TestDaemon::stop);
}

/// Guards against keys in logs: none of what carries keys shows them.
#[test]
fn keys_are_not_shown() {
    const KEY: &str = "secret-of-alpha";
    let text = format!("{{\"tenants\": [{{\"api_keys\": [\"{KEY}\"]}}]}}");
    let LeaderRequest::ConfigureWorkspaces { mut configuration, workspaces } = configuration_with_workspaces(1, KEY)
    else {
        unreachable!("it configures workspaces")
    };
    configuration.text.clone_from(&text);
    let requests = [
        keyed(PATH, QueueAction::Read, KEY),
        LeaderRequest::Configure(configuration.clone()),
        LeaderRequest::ConfigureWorkspaces { configuration: configuration.clone(), workspaces: workspaces.clone() },
    ];
    let version = configuration.version;
    let mut shown: Vec<String> = requests.iter().map(|request| format!("{request:?} {request}")).collect();
    let commands = [BatchCommand::Configure(configuration), BatchCommand::ConfigureWorkspaces(workspaces)];
    shown.push(format!("{commands:?}"));
    let mut state = BatchState::default();
    for command in &commands {
        state.apply(command);
    }
    shown.push(format!("{state:?}"));
    shown.push(format!("{:?}", HttpResponse::json(text.clone().into_bytes())));
    shown.push(format!("{:?}", LeaderReply::Configuration { version, text }));
    for shown in shown {
        assert!(!shown.contains(KEY), "{shown}");
    }
}
