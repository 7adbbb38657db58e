//! Runtime of a replica: disk, network and timers.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use log::{error, info, warn};
use parsleywalk_batch::{JobFailures, JobId, ReportResponse, WorkerReport, WorkspaceUsage};
use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, LogWrite, RecoveredLog, WriteTicket};
use parsleywalk_peer::{
    CallWindow, PeerAddress, PeerNetwork, PeerReceivers, PeerSettings, ReceivedCall, SteadyClock, StreamKind,
};
use parsleywalk_storage::LogStore;
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::client::{CallFailure, LeaderClient};
use crate::core::{CoreOutput, ReplicaCore};
use crate::report_relay::ReportRelay;
use crate::settings::{FleetSettings, vm_number};
use crate::waiter::ReplySender;
use crate::{FleetError, FleetMetrics, LeaderReply, LeaderRequest, LogMessage, Result};

/// The maximum number of further writes that join the first one of a sync.
const MAX_SYNC_WRITES: usize = 4096;
/// The exit code used after a failed write or sync, which leaves the content of the disk unknown.
const STORAGE_FAILURE_EXIT_CODE: i32 = 74;
/// The delay before another attempt to open the log; a disk may be unavailable for some seconds.
const OPEN_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// The number of attempts to open the log before the process exits.
const MAX_OPEN_ATTEMPTS: u32 = 40;
/// The interval between two searches for members while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between two queries for the releases of other replicas while this one leads.
const RELEASE_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// A replica of the batch state. Its tasks run on a `LocalSet`.
pub(crate) struct Replica {
    core: RefCell<ReplicaCore>,
    network: PeerNetwork<LogMessage>,
    writes: Sender<(WriteTicket, LogWrite)>,
    client: Rc<LeaderClient>,
    settings: FleetSettings,
    clock: SteadyClock,
    /// Wakes the timer task when the next deadline has become earlier.
    deadline_moved: Notify,
    relay: ReportRelay,
    metrics: FleetMetrics,
}

impl Replica {
    /// Opens the log, starts the peer connections, and runs the replica on the caller's `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the peer port cannot be bound.
    pub(crate) async fn start(
        settings: FleetSettings,
        peers: Arc<PeerSettings>,
        client: Rc<LeaderClient>,
        clock: SteadyClock,
        metrics: FleetMetrics,
    ) -> Result<Rc<Self>> {
        let Some(folder) = settings.data_folder.clone() else {
            unreachable!("a replica is started only where there is a data folder");
        };
        let (store, recovered) = open_store(&settings, &folder).await?;
        let id = store.id();
        let contact_points = settings.seeds.iter().map(|seed| vm_number(*seed)).collect();
        let consensus = ConsensusSettings { contact_points, ..ConsensusSettings::default() };
        // What the folder held tells a first start from one on the data of an earlier one.
        info!(
            "event=replica_opened replica={id} founding={} log_term={} log_entries={} snapshot={}",
            settings.bootstrap,
            recovered.hard_state.term,
            recovered.entries.len(),
            recovered.snapshot.is_some()
        );
        let node = ConsensusNode::open(consensus, id, recovered, random_seed(), clock.now())
            .map_err(|cause| FleetError::Log { cause })?;
        let (network, receivers) =
            PeerNetwork::start_local(PeerSettings::clone(&peers)).await.map_err(|cause| FleetError::Peer { cause })?;
        // The channel needs no bound: the log limits the bytes that are proposed and not yet synced.
        let (writes, write_queue) = flume::unbounded();
        let (synced, synced_queue) = flume::unbounded();
        start_storage(store, write_queue, synced, metrics.clone())?;
        let relay = ReportRelay::new(Rc::clone(&client), clock, metrics.clone());
        let replica = Rc::new(Self {
            core: RefCell::new(ReplicaCore::new(settings.clone(), node, metrics.clone())),
            network,
            writes,
            client,
            settings,
            clock,
            deadline_moved: Notify::new(),
            relay,
            metrics,
        });
        replica.clone().run_tasks(receivers, synced_queue);
        Ok(replica)
    }

    fn run_tasks(self: Rc<Self>, receivers: PeerReceivers<LogMessage>, synced: Receiver<Vec<WriteTicket>>) {
        let PeerReceivers { messages, calls } = receivers;
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            while let Ok(received) = messages.recv_async().await {
                replica.add_peer(received.from.vm);
                let (vm, zone) = (received.from.vm, received.from.zone);
                replica.step(|core, now| core.handle_message(now, vm, zone, received.message));
            }
        });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            while let Ok(call) = calls.recv_async().await {
                let window = replica.window_of(&call);
                // A busy leader catches up sooner if it does not even decode what comes too late.
                if window.is_expired(replica.clock.now()) {
                    replica.drop_expired(call, window);
                    continue;
                }
                match call.decode::<LeaderRequest>() {
                    Ok(LeaderRequest::Relay { reports }) => {
                        let reply = replica.handle_relayed(call.from.vm, &reports);
                        call.reply(&reply);
                    }
                    Ok(request) => {
                        let reply = replica.handle_request(request, window);
                        tokio::task::spawn_local(async move {
                            if let Ok(reply) = reply.await {
                                call.reply(&reply);
                            }
                        });
                    }
                    Err(reason) => warn!("event=call_not_decoded from={} error={reason:?}", call.from.vm),
                }
            }
        });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            while let Ok(tickets) = synced.recv_async().await {
                replica.step(|core, now| core.handle_persisted(now, tickets));
            }
        });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move { replica.run_timer().await });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move { replica.relay.run().await });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move { replica.query_releases().await });
        tokio::task::spawn_local(async move { self.search_members().await });
    }

    /// Learns the releases of the other replicas while they decide what this one, as the leader, may propose.
    async fn query_releases(&self) {
        loop {
            time::sleep(RELEASE_QUERY_INTERVAL).await;
            let replicas = self.core.borrow().replicas_to_query(self.clock.now());
            self.client.query_releases(&replicas).await;
        }
    }

    /// Ticks the core at each of its deadlines.
    async fn run_timer(&self) {
        loop {
            let next = self.core.borrow().next_deadline();
            let wait = next.since(self.clock.now());
            tokio::select! {
                () = time::sleep(wait) => {}
                () = self.deadline_moved.notified() => continue,
            }
            self.step(ReplicaCore::tick);
        }
    }

    /// Learns members from any known replica while this one knows no leader.
    async fn search_members(&self) {
        loop {
            let leaderless = !self.core.borrow().has_leader();
            if leaderless {
                self.client.search().await;
                for vm in self.client.contact_points() {
                    self.add_peer(vm);
                    self.core.borrow_mut().add_contact_point(vm);
                }
            }
            time::sleep(SEARCH_INTERVAL).await;
        }
    }

    fn add_peer(&self, vm: VmNumber) {
        self.network.add_peer(&PeerAddress { vm, address: self.settings.peer_address(vm) });
    }

    /// Changes the core, and then sends the messages and starts the writes that it requests.
    fn step(&self, change: impl FnOnce(&mut ReplicaCore, MonotonicTime)) {
        let mut core = self.core.borrow_mut();
        let before = core.next_deadline();
        change(&mut core, self.clock.now());
        self.client.set_leader(core.leader());
        let outputs = core.take_outputs();
        let earlier = core.next_deadline() < before;
        drop(core);
        for output in outputs {
            match output {
                CoreOutput::Send { to, message } => {
                    self.add_peer(to);
                    let kind = if message.message.is_bulk() { StreamKind::Bulk } else { StreamKind::Control };
                    self.network.send(to, kind, &message);
                }
                CoreOutput::Persist { ticket, write } => {
                    if self.writes.send((ticket, write)).is_err() {
                        error!("event=storage_thread_gone");
                        std::process::exit(STORAGE_FAILURE_EXIT_CODE);
                    }
                }
            }
        }
        if earlier {
            self.deadline_moved.notify_one();
        }
    }

    /// Returns the active jobs of which runs have failed, with the time since the newest, if this replica leads.
    pub(crate) fn failing_jobs(&self) -> Option<Vec<(JobId, JobFailures, Duration)>> {
        self.core.borrow().failing_jobs(self.clock.now())
    }

    /// Returns what the workspaces use and wait for, if this replica leads.
    pub(crate) fn workspace_usage(&self) -> Option<Vec<WorkspaceUsage>> {
        self.core.borrow().workspace_usage(self.clock.now())
    }

    /// Updates the metrics that describe the state.
    pub(crate) fn record_state_metrics(&self) {
        self.core.borrow().record_state_metrics(self.clock.now());
    }

    /// Returns the window of a call. A call from a daemon of a release without windows counts as received now.
    fn window_of(&self, call: &ReceivedCall) -> CallWindow {
        call.window.unwrap_or_else(|| CallWindow::from_now(self.clock.now()))
    }

    /// Answers a call whose caller no longer waits.
    fn drop_expired(&self, call: ReceivedCall, window: CallWindow) {
        self.metrics.call_overtaken();
        let age_ms = self.clock.now().since(window.received).as_millis();
        info!("event=call_overtaken from={} age_ms={age_ms} expired=true", call.from.vm);
        call.reply(&LeaderReply::Overtaken);
    }

    fn handle_request(&self, request: LeaderRequest, window: CallWindow) -> oneshot::Receiver<LeaderReply> {
        let (sender, reply) = oneshot::channel();
        self.step(|core, now| {
            if matches!(request, LeaderRequest::ConfigureWorkspaces { .. }) {
                core.record_releases(|vm| self.client.release(vm));
            }
            core.handle_request(now, request, window, ReplySender::Task(sender));
        });
        reply
    }

    /// Handles the reports that a follower has relayed, and returns the responses that are ready for it.
    fn handle_relayed(&self, follower: VmNumber, reports: &[Arc<WorkerReport>]) -> LeaderReply {
        self.step(|core, now| core.handle_relayed(now, follower, reports));
        self.core.borrow().take_relayed(self.clock.now(), follower)
    }

    /// Passes a worker's report to the leader. Returns the response and the replica to which the worker is to report
    /// next.
    pub(crate) async fn report(
        &self,
        report: WorkerReport,
        window: CallWindow,
    ) -> std::result::Result<(ReportResponse, Option<VmNumber>), CallFailure> {
        let (worker, zone) = (report.worker.clone(), report.zone.clone());
        let timeout = window.expires.since(self.clock.now());
        let is_leader = self.core.borrow().is_leader(self.clock.now());
        if is_leader {
            let reply = self.handle_request(LeaderRequest::Report(Box::new(report)), window);
            let Ok(Ok(LeaderReply::Report(response))) = time::timeout(timeout, reply).await else {
                return Err(CallFailure::Unknown);
            };
            let next = self.core.borrow().report_replica(self.clock.now(), &worker, &zone);
            return Ok((*response, Some(next)));
        }
        let response = self.relay.call(report, timeout).await?;
        let gathers = self.relay.is_gathering() && zone == self.settings.zone;
        Ok((response, if gathers { Some(self.settings.vm()) } else { self.client.leader() }))
    }

    /// Handles a request locally while this replica leads, and otherwise forwards it to the leader.
    pub(crate) async fn call(
        &self,
        request: LeaderRequest,
        window: CallWindow,
    ) -> std::result::Result<LeaderReply, CallFailure> {
        let now = self.clock.now();
        let is_leader = self.core.borrow().is_leader(now);
        if !is_leader {
            return self.client.call(&request, window).await;
        }
        let reply = self.handle_request(request.clone(), window);
        match time::timeout(window.expires.since(now), reply).await {
            Ok(Ok(LeaderReply::NotLeader { .. })) => self.client.call(&request, window).await,
            Ok(Ok(LeaderReply::Uncertain) | Err(_)) | Err(_) => Err(CallFailure::Unknown),
            Ok(Ok(reply)) => Ok(reply),
        }
    }
}

/// Opens the log, which is initialised first if the folder is empty. Failed attempts are repeated.
async fn open_store(settings: &FleetSettings, folder: &Path) -> Result<(LogStore, RecoveredLog)> {
    let vm = settings.vm();
    let bootstrap_vms: Vec<VmNumber> = settings.seeds.iter().map(|seed| vm_number(*seed)).collect();
    // A folder that is empty at a later start has lost its disk, and the VM joins as a new replica.
    let members = if settings.bootstrap && bootstrap_vms.contains(&vm) { bootstrap_vms } else { Vec::new() };
    let mut attempt = 0;
    loop {
        attempt += 1;
        let opened = match LogStore::open(folder) {
            Err(parsleywalk_storage::StorageError::NotInitialised { .. }) => {
                LogStore::init(folder, vm, &members).and_then(|_| LogStore::open(folder))
            }
            opened => opened,
        };
        match opened {
            Ok(opened) => return Ok(opened),
            Err(cause) if attempt < MAX_OPEN_ATTEMPTS => {
                warn!("event=log_open_failed attempt={attempt} error={:?}", cause.to_string());
                time::sleep(OPEN_RETRY_BACKOFF).await;
            }
            Err(cause) => {
                return Err(FleetError::Storage { step: "open log", folder: folder.to_owned(), cause });
            }
        }
    }
}

/// Starts the thread that writes and syncs the log. The process exits if a write fails.
fn start_storage(
    mut store: LogStore,
    queue: Receiver<(WriteTicket, LogWrite)>,
    synced: Sender<Vec<WriteTicket>>,
    metrics: FleetMetrics,
) -> Result<()> {
    let run = move || {
        while let Ok(first) = queue.recv() {
            let (tickets, writes): (Vec<_>, Vec<_>) =
                std::iter::once(first).chain(queue.try_iter().take(MAX_SYNC_WRITES)).unzip();
            let start = Instant::now();
            let written = store.write(&writes);
            metrics.log_synced(start.elapsed());
            if let Err(cause) = written {
                error!("event=storage_failed error={:?}", cause.to_string());
                std::process::exit(STORAGE_FAILURE_EXIT_CODE);
            }
            if synced.send(tickets).is_err() {
                return;
            }
        }
    };
    let spawned = thread::Builder::new().name("storage".to_owned()).spawn(run);
    spawned.map(drop).map_err(|cause| FleetError::Thread { step: "start storage thread", cause })
}

/// Returns a random number that differs between starts; the wall clock is the fallback.
pub(crate) fn random_seed() -> u64 {
    getrandom::u64().unwrap_or_else(|error| {
        warn!("event=random_failed error={:?}", error.to_string());
        crate::clock::unix_ms()
    })
}

/// Returns an incarnation that distinguishes this process from earlier ones on the same VM.
pub(crate) fn process_incarnation() -> Incarnation {
    Incarnation::new(random_seed() | 1)
}
