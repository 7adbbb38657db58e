//! Deployments of real daemon processes, each on its own loopback address.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod caller;
pub(crate) mod platform;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_api::{
    ConfigurationApply, JobStatus, JobSubmission, OperationReply, Refusal, SystemStatus, ZoneCommand,
};
use parsleywalk_testkit::{FakeWorker, FaultyLink, LinkCut, RunLog, WorkerSettings};
use parsleywalk_units::{OperationId, ZoneDirection};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

/// Time limit for waiting for any condition, far above what a loaded machine needs.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The configuration of most tests.
pub(crate) const CATALOG: &str = "
version: 1
objective: { batch_throughput: 0.5, service_latency: 0.5 }
teams:
  - { name: planning, weight: 1 }
services:
  - { name: quotes, class: latency-critical, team: planning, size: { cores: 1, memory: 1GB }, instances: 2, slots: 8, deadline: 5s }
  - { name: ledgers, class: batch, team: planning, size: { cores: 2, memory: 2GB }, run_time: 2s }
";

/// The process of one daemon.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) vm: u32,
    pub(crate) zone: String,
    settings: PathBuf,
    child: Option<Child>,
    ip: String,
}

/// The link over which one daemon connects to another.
#[derive(Debug)]
struct PeerLink {
    from: u32,
    to: u32,
    link: FaultyLink,
}

/// The daemons of one deployment and the folder of their files.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) folder: TempDir,
    pub(crate) processes: Vec<DaemonProcess>,
    links: Vec<PeerLink>,
}

/// The settings of a deployment.
#[derive(Debug, Clone, Default)]
pub(crate) struct DeploymentSpec<'a> {
    /// Selects the deployment's IP addresses, so it must differ between the tests of one process.
    pub(crate) address_block: u8,
    /// The zone of each daemon.
    pub(crate) zones: &'a [&'a str],
    pub(crate) replicas: &'a [u32],
    /// Further lines for every settings file.
    pub(crate) extra: &'a str,
    /// Whether daemons connect to one another over links that can be cut.
    pub(crate) linked: bool,
}

impl Deployment {
    /// Writes the settings, initialises the replicas and starts every daemon. `address_block` must differ between the
    /// tests of one process.
    pub(crate) fn start(address_block: u8, zones: &[&str], replicas: &[u32]) -> Self {
        let deployment = Self::prepare(address_block, zones, replicas);
        deployment.started()
    }

    fn started(mut self) -> Self {
        for process in &mut self.processes {
            process.start();
        }
        self
    }

    /// Writes the settings and initialises the replicas.
    pub(crate) fn prepare(address_block: u8, zones: &[&str], replicas: &[u32]) -> Self {
        Self::prepare_with(&DeploymentSpec { address_block, zones, replicas, ..DeploymentSpec::default() })
    }

    /// Writes the settings of `spec`, initialises the replicas and starts every daemon.
    pub(crate) fn start_with(spec: &DeploymentSpec) -> Self {
        Self::prepare_with(spec).started()
    }

    /// Writes the settings of `spec` and initialises the replicas.
    pub(crate) fn prepare_with(spec: &DeploymentSpec) -> Self {
        let DeploymentSpec { address_block, zones, replicas, extra, linked } = spec.clone();
        let folder = TempDir::new().expect("a temporary folder");
        fs::write(folder.path().join("peer.token"), "peer").expect("a token file");
        let pid = std::process::id();
        let prefix = format!("127.{}.{}", 16 + (pid >> 8) % 200, pid & 0xff);
        let ip = |vm: u32| format!("{prefix}.{}", u32::from(address_block) * 8 + vm);
        let links = if linked { peer_links(zones.len(), &ip) } else { Vec::new() };
        let processes = (1..).zip(zones).map(|(vm, zone)| {
            let daemons: Vec<String> = (1..)
                .zip(zones)
                .map(|(peer, zone)| {
                    let ip = ip(peer);
                    let link = links.iter().find(|link| (link.from, link.to) == (vm, peer));
                    let peers = link.map_or_else(|| format!("{ip}:7002"), |link| link.link.address().to_string());
                    format!("  - {{ vm: {peer}, zone: {zone}, callers: \"{ip}:7000\", operators: \"{ip}:7001\", peers: \"{peers}\" }}\n")
                })
                .collect();
            let disk = if replicas.contains(&vm) { format!("data_folder: data{vm}\n") } else { String::new() };
            let content = format!(
                "vm: {vm}\n{disk}replicas: {replicas:?}\npeer_token_file: peer.token\ndaemons:\n{}log: {{ level: info, file: vm{vm}.log }}\n{extra}",
                daemons.concat()
            );
            let settings = folder.path().join(format!("vm{vm}.yaml"));
            fs::write(&settings, content).expect("a settings file");
            DaemonProcess { vm, zone: (*zone).to_owned(), settings, child: None, ip: ip(vm) }
        });
        let processes = processes.collect();
        let deployment = Self { folder, processes, links };
        for process in deployment.processes.iter().filter(|process| replicas.contains(&process.vm)) {
            process.initialise();
        }
        deployment
    }

    pub(crate) fn process(&mut self, vm: u32) -> &mut DaemonProcess {
        &mut self.processes[vm as usize - 1]
    }

    pub(crate) fn callers(&self, vm: u32) -> SocketAddr {
        self.processes[vm as usize - 1].address(7000)
    }

    pub(crate) fn operators(&self, vm: u32) -> SocketAddr {
        self.processes[vm as usize - 1].address(7001)
    }

    pub(crate) fn all_callers(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.address(7000)).collect()
    }

    /// Waits until every running daemon is ready.
    pub(crate) fn wait_ready(&self) {
        for process in self.processes.iter().filter(|process| process.child.is_some()) {
            let url = format!("http://{}/readyz", process.address(7001));
            wait_until("readiness", || attohttpc::get(&url).send().is_ok_and(|response| response.is_success()));
        }
    }

    /// Applies a configuration through a daemon and waits until it is in force on every daemon.
    pub(crate) fn apply(&self, vm: u32, operation: &str, text: &str) -> OperationReply {
        let body = ConfigurationApply { operation: id(operation), text: text.to_owned() };
        let reply = post::<_, OperationReply>(self.operators(vm), "/v1/configuration", &body);
        reply.unwrap_or_else(|refusal| panic!("configuration refused: {refusal:?}"))
    }

    pub(crate) fn zone(&self, vm: u32, operation: &str, zone: &str, direction: ZoneDirection) -> OperationReply {
        let body = ZoneCommand { operation: id(operation), direction };
        let reply = post::<_, OperationReply>(self.operators(vm), &format!("/v1/zones/{zone}"), &body);
        reply.unwrap_or_else(|refusal| panic!("zone command refused: {refusal:?}"))
    }

    pub(crate) fn status(&self, vm: u32) -> Option<SystemStatus> {
        get(self.operators(vm), "/v1/status").ok()
    }

    /// Returns the leader's VM as seen by the daemon on `vm`.
    pub(crate) fn leader(&self, vm: u32) -> Option<u32> {
        self.status(vm)?.leader.map(parsleywalk_units::VmNumber::get)
    }

    pub(crate) fn submit(&self, vm: u32, job: &str, count: u32) -> Result<JobStatus, Refusal> {
        let submission = JobSubmission {
            job: job.parse().expect("a job key"),
            service: "ledgers".parse().expect("a service name"),
            count,
            size: None,
            urgent: false,
            arguments: String::new(),
        };
        post(self.callers(vm), "/v1/jobs", &submission)
    }

    pub(crate) fn job(&self, vm: u32, job: &str) -> Option<JobStatus> {
        get(self.callers(vm), &format!("/v1/jobs/{job}")).ok()
    }

    /// Cuts or restores all traffic from one daemon to another, on connections opened by either.
    pub(crate) fn cut(&self, from: u32, to: u32, cut: bool) {
        for link in &self.links {
            if (link.from, link.to) == (from, to) {
                link.link.set_cut(if cut { LinkCut::Forward } else { LinkCut::None });
            } else if (link.from, link.to) == (to, from) {
                link.link.set_cut(if cut { LinkCut::Backward } else { LinkCut::None });
            }
        }
    }

    /// Cuts or restores all traffic between the daemon and the others, without closing connections.
    pub(crate) fn isolate(&self, vm: u32, cut: bool) {
        for link in self.links.iter().filter(|link| link.from == vm || link.to == vm) {
            link.link.set_cut(if cut { LinkCut::Both } else { LinkCut::None });
        }
    }

    /// Returns the running daemon that reports itself as leader.
    pub(crate) fn current_leader(&self) -> Option<u32> {
        let running = self.processes.iter().filter(|process| process.child.is_some());
        let mut statuses = running.filter_map(|process| self.status(process.vm));
        statuses.find(|status| status.role == "leader").map(|status| status.vm.get())
    }

    /// Waits until one of the given daemons reports itself as leader, and returns it.
    pub(crate) fn wait_leader(&self, among: &[u32]) -> u32 {
        let mut leader = None;
        wait_until("a leader", || {
            leader = among.iter().copied().find(|vm| self.status(*vm).is_some_and(|status| status.role == "leader"));
            leader.is_some()
        });
        leader.expect("a leader")
    }

    /// Starts a worker that reports to the entries of its zone first, then to the others.
    pub(crate) fn worker(&self, name: &str, zone: &str, run_time: Duration, log: &RunLog) -> FakeWorker {
        let (own, others): (Vec<&DaemonProcess>, Vec<&DaemonProcess>) =
            self.processes.iter().partition(|process| process.zone == zone);
        let settings = WorkerSettings {
            entries: own.into_iter().chain(others).map(|process| process.address(7000)).collect(),
            long_running_services: vec!["quotes".parse().expect("a service name")],
            run_time: Some(run_time),
            ..WorkerSettings::new(
                name.parse().expect("a worker id"),
                zone.parse().expect("a zone"),
                "rack-1".parse().expect("a rack"),
            )
        };
        FakeWorker::start(settings, log.clone())
    }

    /// Returns the log of the daemon on `vm`.
    pub(crate) fn log(&self, vm: u32) -> String {
        fs::read_to_string(self.folder.path().join(format!("vm{vm}.log"))).unwrap_or_default()
    }
}

impl DaemonProcess {
    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_parsleywalkd"));
        command.arg("--settings").arg(&self.settings).stdin(Stdio::null()).stdout(Stdio::null());
        command
    }

    pub(crate) fn initialise(&self) {
        let status = self.command().arg("init").status().expect("the daemon's binary");
        assert!(status.success(), "init of vm {} failed", self.vm);
    }

    pub(crate) fn start(&mut self) {
        self.child = Some(self.command().spawn().expect("the daemon's binary"));
    }

    /// Runs the binary with the given arguments and returns its output. The process is killed after 10 s.
    pub(crate) fn output(&self, arguments: &[&str]) -> Output {
        let mut command = self.command();
        let mut child = command.args(arguments).stderr(Stdio::piped()).spawn().expect("the daemon's binary");
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end && child.try_wait().expect("a child process").is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        drop(child.kill());
        child.wait_with_output().expect("a child process")
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("a running process");
        let status = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        assert!(status.expect("the kill command").success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().expect("a child process").code()
    }

    /// Removes the data folder, as if the disk had been replaced.
    pub(crate) fn erase_disk(&self) {
        let folder = self.settings.with_file_name(format!("data{}", self.vm));
        fs::remove_dir_all(folder).expect("a data folder");
    }

    pub(crate) fn address(&self, port: u32) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub(crate) fn settings(&self) -> &Path {
        &self.settings
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a link for each ordered pair of daemons.
fn peer_links(count: usize, ip: &dyn Fn(u32) -> String) -> Vec<PeerLink> {
    let vms = 1..=u32::try_from(count).expect("a few daemons");
    let pairs = vms.clone().flat_map(|from| vms.clone().map(move |to| (from, to))).filter(|(from, to)| from != to);
    let links = pairs.map(|(from, to)| {
        let target = format!("{}:7002", ip(to)).parse().expect("an address");
        let link = FaultyLink::start("127.0.0.1".parse().expect("an address"), target).expect("a free port");
        PeerLink { from, to, link }
    });
    links.collect()
}

pub(crate) fn id(text: &str) -> OperationId {
    text.parse().expect("an operation id")
}

/// Waits up to `time` for a condition. Returns true if it holds before then.
pub(crate) fn becomes_true_within(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    assert!(becomes_true_within(WAIT_TIMEOUT, condition), "timed out waiting for {what}");
}

pub(crate) fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Refusal> {
    read(attohttpc::get(format!("http://{address}{path}")).timeout(Duration::from_secs(20)).send())
}

pub(crate) fn post<B: Serialize, T: DeserializeOwned>(address: SocketAddr, path: &str, body: &B) -> Result<T, Refusal> {
    let request = attohttpc::post(format!("http://{address}{path}")).timeout(Duration::from_secs(20));
    let body = serde_json::to_vec(body).expect("a JSON body");
    read(request.header("Content-Type", "application/json").bytes(body).send())
}

fn read<T: DeserializeOwned>(response: attohttpc::Result<attohttpc::Response>) -> Result<T, Refusal> {
    let response = response.map_err(|error| Refusal::unknown(error.to_string()))?;
    let success = response.is_success();
    let body = response.bytes().map_err(|error| Refusal::unknown(error.to_string()))?;
    if success {
        return Ok(serde_json::from_slice(&body).expect("a response of this type"));
    }
    Err(serde_json::from_slice(&body).unwrap_or_else(|_| Refusal::unknown(String::from_utf8_lossy(&body))))
}
