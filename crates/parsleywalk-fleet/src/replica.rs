//! The runtime of a replica: disk, links, timers.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use log::{error, info, warn};
use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, LogWrite, RecoveredLog, WriteTicket};
use parsleywalk_peer::{PeerAddress, PeerNetwork, PeerReceivers, PeerSettings, StreamKind};
use parsleywalk_storage::LogStore;
use parsleywalk_units::{Incarnation, MonotonicTime, VmNumber};
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::client::{CallFailure, LeaderClient};
use crate::clock::FleetClock;
use crate::core::{CoreOutput, ReplicaCore};
use crate::settings::{FleetSettings, vm_number};
use crate::{FleetError, FleetMetrics, LeaderReply, LeaderRequest, LogMessage, Result};

/// The most writes in one sync.
const GROUP_LIMIT: usize = 4096;
/// The exit code after a failed sync: what is on the disk is unknown then.
const STORAGE_EXIT: i32 = 74;
/// The wait before a log that can't be opened is tried again; a disk may refuse for some seconds.
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// How often a log is tried to be opened before the process gives up.
const OPEN_ATTEMPTS: u32 = 40;
/// The wait between two looks for members while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// A replica of the batch state. It belongs to a `LocalSet`.
pub(crate) struct Replica {
    core: RefCell<ReplicaCore>,
    network: PeerNetwork<LogMessage>,
    writes: Sender<(WriteTicket, LogWrite)>,
    client: Rc<LeaderClient>,
    settings: FleetSettings,
    clock: FleetClock,
    /// Wakes the timer when its deadline may have moved.
    moved: Notify,
}

impl Replica {
    /// Opens the log, starts the links, and runs the replica on the caller's `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be opened or the peer port can't be bound.
    pub(crate) async fn start(
        settings: FleetSettings,
        peers: Arc<PeerSettings>,
        client: Rc<LeaderClient>,
        clock: FleetClock,
        metrics: FleetMetrics,
    ) -> Result<Rc<Self>> {
        let Some(folder) = settings.data_folder.clone() else {
            unreachable!("a replica is started only where there is a data folder");
        };
        let (store, recovered) = open_store(&settings, &folder).await?;
        let id = store.id();
        let contact_points = settings.seeds.iter().map(|seed| vm_number(*seed)).collect();
        let consensus = ConsensusSettings { contact_points, ..ConsensusSettings::default() };
        let node = ConsensusNode::open(consensus, id, recovered, draw_seed(), clock.now())
            .map_err(|cause| FleetError::Log { cause })?;
        info!("event=replica_opened replica={id} founding={}", settings.bootstrap);
        let (network, receivers) =
            PeerNetwork::start_local(PeerSettings::clone(&peers)).await.map_err(|cause| FleetError::Peer { cause })?;
        // Not bounded by a count: the log bounds the bytes that are proposed and not yet synced.
        let (writes, write_queue) = flume::unbounded();
        let (synced, synced_queue) = flume::unbounded();
        start_storage(store, write_queue, synced, metrics.clone())?;
        let replica = Rc::new(Self {
            core: RefCell::new(ReplicaCore::new(settings.clone(), node, metrics)),
            network,
            writes,
            client,
            settings,
            clock,
            moved: Notify::new(),
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
                replica.step(|core, now| core.receive(now, vm, zone, received.message));
            }
        });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            while let Ok(call) = calls.recv_async().await {
                match call.decode::<LeaderRequest>() {
                    Ok(request) => {
                        let answer = replica.serve(request);
                        tokio::task::spawn_local(async move {
                            if let Ok(answer) = answer.await {
                                call.reply(&answer);
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
                replica.step(|core, now| core.persisted(now, tickets));
            }
        });
        let replica = Rc::clone(&self);
        tokio::task::spawn_local(async move { replica.run_timer().await });
        tokio::task::spawn_local(async move { self.search_members().await });
    }

    async fn run_timer(&self) {
        loop {
            let next = self.core.borrow().next_deadline();
            let wait = next.since(self.clock.now());
            tokio::select! {
                () = time::sleep(wait) => {}
                () = self.moved.notified() => continue,
            }
            self.step(ReplicaCore::tick);
        }
    }

    /// Learns of members from any known replica while this one knows no leader.
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
                        std::process::exit(STORAGE_EXIT);
                    }
                }
            }
        }
        if earlier {
            self.moved.notify_one();
        }
    }

    /// Brings the metrics of the state up to date.
    pub(crate) fn measure(&self) {
        self.core.borrow().measure();
    }

    fn serve(&self, request: LeaderRequest) -> oneshot::Receiver<LeaderReply> {
        let (reply, answer) = oneshot::channel();
        self.step(|core, now| core.serve(now, request, reply));
        answer
    }

    /// Serves a request here while this replica leads, and else passes it on to the leader.
    pub(crate) async fn call(
        &self,
        request: LeaderRequest,
        timeout: Duration,
    ) -> std::result::Result<LeaderReply, CallFailure> {
        let leads = self.core.borrow().leads(self.clock.now());
        if !leads {
            return self.client.call(&request, timeout).await;
        }
        let answer = self.serve(request.clone());
        match time::timeout(timeout, answer).await {
            Ok(Ok(LeaderReply::NotLeader { .. })) => self.client.call(&request, timeout).await,
            Ok(Ok(LeaderReply::Uncertain) | Err(_)) | Err(_) => Err(CallFailure::Unknown),
            Ok(Ok(answer)) => Ok(answer),
        }
    }
}

async fn open_store(settings: &FleetSettings, folder: &Path) -> Result<(LogStore, RecoveredLog)> {
    let vm = settings.vm();
    let founders: Vec<VmNumber> = settings.seeds.iter().map(|seed| vm_number(*seed)).collect();
    // A folder that is empty at a later start has lost its disk: it joins as a new replica.
    let members = if settings.bootstrap && founders.contains(&vm) { founders } else { Vec::new() };
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
            Err(cause) if attempt < OPEN_ATTEMPTS => {
                warn!("event=log_open_failed attempt={attempt} error={:?}", cause.to_string());
                time::sleep(OPEN_PAUSE).await;
            }
            Err(cause) => {
                return Err(FleetError::Storage { step: "open log", folder: folder.to_owned(), cause });
            }
        }
    }
}

fn start_storage(
    mut store: LogStore,
    queue: Receiver<(WriteTicket, LogWrite)>,
    synced: Sender<Vec<WriteTicket>>,
    metrics: FleetMetrics,
) -> Result<()> {
    let run = move || {
        while let Ok(first) = queue.recv() {
            let (tickets, writes): (Vec<_>, Vec<_>) =
                std::iter::once(first).chain(queue.try_iter().take(GROUP_LIMIT)).unzip();
            let start = Instant::now();
            let written = store.write(&writes);
            metrics.log_synced(start.elapsed());
            if let Err(cause) = written {
                error!("event=storage_failed error={:?}", cause.to_string());
                std::process::exit(STORAGE_EXIT);
            }
            if synced.send(tickets).is_err() {
                return;
            }
        }
    };
    let spawned = thread::Builder::new().name("storage".to_owned()).spawn(run);
    spawned.map(drop).map_err(|cause| FleetError::Thread { step: "start storage thread", cause })
}

/// Draws a number that differs from start to start.
pub(crate) fn draw_seed() -> u64 {
    getrandom::u64().unwrap_or_else(|error| {
        warn!("event=random_failed error={:?}", error.to_string());
        FleetClock::unix_ms()
    })
}

/// What distinguishes this process from earlier ones on its VM.
pub(crate) fn process_incarnation() -> Incarnation {
    Incarnation::new(draw_seed() | 1)
}
