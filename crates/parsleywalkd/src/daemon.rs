//! One daemon: its threads and servers, started and stopped together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::Receiver;
use log::info;
use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, ReplicaId};
use parsleywalk_coordinator::DaemonCoordinator;
use parsleywalk_peer::{PeerAddress, PeerNetwork, PeerSettings, ReceivedMessage};
use parsleywalk_storage::LogStore;
use parsleywalk_units::{Incarnation, VmNumber, ZoneName};

use crate::clock::ProcessClock;
use crate::control::{self, ControlEvent, ControlHandle, ControlLinks};
use crate::edge::caller::CallerServer;
use crate::edge::operator::{OperatorContext, OperatorServer};
use crate::edge::routes::EdgeContext;
use crate::message::DaemonMessage;
use crate::metrics::DaemonMetrics;
use crate::router::{self, RequestCall, RouterHandle, RouterLinks};
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// The wait between two looks at the requests in progress during a shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running daemon. Dropping it without [`Daemon::shutdown`] stops it as a crash would.
///
/// ```no_run
/// use parsleywalkd::{Daemon, DaemonSettings};
///
/// let folder = std::env::temp_dir().join("parsleywalk");
/// let settings = DaemonSettings {
///     data_folder: Some(folder.clone()),
///     replicas: vec!["1".parse()?],
///     ..DaemonSettings::default()
/// };
/// parsleywalkd::initialise(&settings)?;
/// let daemon = Daemon::start(&settings)?;
/// println!("callers at {}", daemon.caller_address());
/// daemon.shutdown();
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Daemon {
    settings: DaemonSettings,
    control: ControlHandle,
    control_thread: Option<thread::JoinHandle<()>>,
    router: RouterHandle,
    callers: CallerServer,
    operators: OperatorServer,
    network: Arc<PeerNetwork<DaemonMessage>>,
    draining: Arc<AtomicBool>,
}

/// Prepares the data folder of a replica. Every founding replica does this once, before its first start.
///
/// # Errors
///
/// Returns an error when the settings name no data folder, or when the folder holds a log already.
pub fn initialise(settings: &DaemonSettings) -> Result<ReplicaId> {
    let Some(folder) = &settings.data_folder else {
        let faults = vec!["data_folder: needed to initialise a replica".to_owned()];
        return Err(DaemonError::Settings { path: std::path::PathBuf::new(), faults });
    };
    std::fs::create_dir_all(folder).map_err(|cause| DaemonError::File {
        step: "create data folder",
        path: folder.clone(),
        cause,
    })?;
    LogStore::init(folder, settings.vm, &settings.replicas)
        .map_err(|cause| DaemonError::Storage { step: "initialise log store", cause })
}

impl Daemon {
    /// Starts every thread and server of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when a token or the log store can't be read, or an address can't be bound.
    pub fn start(settings: &DaemonSettings) -> Result<Self> {
        let clock = ProcessClock::start();
        let process = draw_number();
        let metrics = DaemonMetrics::new();
        let own = settings.own_address().clone();
        let peer_settings = PeerSettings {
            vm: settings.vm,
            incarnation: Incarnation::new(process),
            zone: own.zone.clone(),
            listen: own.peers,
            peers: settings
                .daemons
                .iter()
                .filter(|daemon| daemon.vm != settings.vm)
                .map(|daemon| PeerAddress { vm: daemon.vm, address: daemon.peers })
                .collect(),
            token: settings.peer_token()?,
            ..PeerSettings::default()
        };
        let operator_token = settings.operator_token()?;
        let (control_events, control_queue) = flume::bounded(control::EVENT_LIMIT);
        let (router_events, router_queue) = flume::bounded(router::EVENT_LIMIT);
        let control = ControlHandle::new(control_events.clone());
        let router = RouterHandle::new(router_events.clone());
        // Opened first: a damaged store must stop the start before the daemon can be heard by anyone.
        let (node, store) = open_log(settings, clock, process, &control)?;
        let (network, inbox) = PeerNetwork::start(peer_settings).map_err(|cause| DaemonError::Peer { cause })?;
        let network = Arc::new(network);
        let daemons = settings.daemons.iter().map(|daemon| daemon.vm);
        let coordinator = DaemonCoordinator::new(node, daemons, process);
        let control_links = ControlLinks {
            clock,
            network: Arc::clone(&network),
            router: router.clone(),
            metrics: metrics.clone(),
            store,
        };
        let control_thread = control::start(settings, control_links, coordinator, control_queue)?;
        let router_links = RouterLinks { clock, control: control.clone(), network: Arc::clone(&network), process };
        router::start(settings, router_links, &router_events, router_queue)?;
        start_inbox(inbox, control.clone(), router.clone(), Arc::clone(&network))?;
        let draining = Arc::new(AtomicBool::new(false));
        let operator_context = OperatorContext {
            control: control.clone(),
            router: router.clone(),
            metrics: metrics.clone(),
            token: operator_token,
            draining: Arc::clone(&draining),
            zones: settings_zones(settings),
        };
        let operators = OperatorServer::start(own.operators, operator_context)?;
        let edge_context = EdgeContext {
            control: control.clone(),
            router: router.clone(),
            metrics,
            limits: settings.limits.clone(),
            zone_entries: zone_entries(settings),
        };
        let callers = CallerServer::start(own.callers, edge_context)?;
        info!(
            "event=started vm={} zone={} callers={} operators={} peers={}",
            settings.vm,
            own.zone,
            callers.address(),
            operators.address(),
            network.address()
        );
        Ok(Self {
            settings: settings.clone(),
            control,
            control_thread: Some(control_thread),
            router,
            callers,
            operators,
            network,
            draining,
        })
    }

    /// Where callers, endpoints and workers reach this daemon.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators and health checks reach this daemon.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where the other daemons reach this daemon.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.network.address()
    }

    /// Stops gracefully: readiness goes off, new requests are refused, those in progress are finished and answered, and
    /// only then the servers close. Waits at most the settings' `shutdown_timeout`.
    pub fn shutdown(mut self) {
        info!("event=shutdown_started connections={}", self.callers.open_connections());
        self.draining.store(true, Ordering::Relaxed);
        self.router.drain();
        let timeout = self.settings.limits.shutdown_timeout.as_duration();
        let end = Instant::now() + timeout;
        while Instant::now() < end && self.router.status().is_some_and(|status| status.in_progress > 0) {
            thread::sleep(DRAIN_POLL);
        }
        self.callers.stop(end.saturating_duration_since(Instant::now()));
        drop(self.control.events().send(ControlEvent::Stop));
        if let Some(thread) = self.control_thread.take() {
            drop(thread.join());
        }
        info!("event=shutdown_done");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.control.events().try_send(ControlEvent::Stop));
    }
}

type LogQueue = flume::Sender<(parsleywalk_consensus::WriteTicket, parsleywalk_consensus::LogWrite)>;

/// Opens the log of a replica, or makes an observer where the settings name no data folder.
fn open_log(
    settings: &DaemonSettings,
    clock: ProcessClock,
    process: u64,
    control: &ControlHandle,
) -> Result<(ConsensusNode, Option<LogQueue>)> {
    let contact_points: Vec<VmNumber> =
        settings.daemons.iter().map(|daemon| daemon.vm).filter(|vm| *vm != settings.vm).collect();
    let consensus = ConsensusSettings { contact_points: contact_points.clone(), ..ConsensusSettings::default() };
    let Some(folder) = &settings.data_folder else {
        let id = ReplicaId::new(settings.vm, Incarnation::new(process));
        return Ok((ConsensusNode::observer(consensus, id, contact_points, process, clock.now()), None));
    };
    let storage_error = |cause| DaemonError::Storage { step: "open log store", cause };
    let (store, recovered) = LogStore::open(folder).map_err(storage_error)?;
    let id = store.id();
    let node = ConsensusNode::open(consensus, id, recovered, process, clock.now())
        .map_err(|cause| DaemonError::Log { cause })?;
    // Not bounded by a count: the log bounds the bytes that are proposed and not yet synced. A bound here could block
    // the control thread while the storage thread waits to report to it.
    let (queue, writes) = flume::unbounded();
    control::start_storage(store, writes, control.events().clone())?;
    Ok((node, Some(queue)))
}

/// Starts the thread that sorts received messages to the threads they are for.
fn start_inbox(
    inbox: Receiver<ReceivedMessage<DaemonMessage>>,
    control: ControlHandle,
    router: RouterHandle,
    network: Arc<PeerNetwork<DaemonMessage>>,
) -> Result<()> {
    let weak = Arc::downgrade(&network);
    drop(network);
    thread::Builder::new()
        .name("inbox".to_owned())
        .spawn(move || {
            while let Ok(received) = inbox.recv() {
                let vm = received.from.vm;
                match received.message {
                    DaemonMessage::Announce(announcement) => router.share(announcement),
                    DaemonMessage::Forward { call, request } => {
                        let Some(network) = weak.upgrade() else { return };
                        router.serve_forwarded(
                            RequestCall::from_forwarded(request),
                            router::AnswerSink::Peer { network, vm, call },
                        );
                    }
                    DaemonMessage::ForwardReply { call, answer } => router.finish_forward(call, answer),
                    DaemonMessage::Coordinator(message) => {
                        if control.events().send(ControlEvent::Peer { from: vm, message }).is_err() {
                            return;
                        }
                    }
                }
            }
        })
        .map_err(|cause| DaemonError::Thread { step: "start inbox thread", cause })?;
    Ok(())
}

/// The caller edges of all entries of this daemon's zone. With a free port there is only this daemon, whose endpoints
/// and workers know its address already.
fn zone_entries(settings: &DaemonSettings) -> Vec<SocketAddr> {
    let own = settings.own_address();
    let in_zone = settings.daemons.iter().filter(|daemon| daemon.zone == own.zone);
    in_zone.map(|daemon| daemon.callers).filter(|address| address.port() != 0).collect()
}

/// The zones of the settings, sorted.
fn settings_zones(settings: &DaemonSettings) -> Vec<ZoneName> {
    let mut zones: Vec<ZoneName> = settings.daemons.iter().map(|daemon| daemon.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

fn draw_number() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system has random numbers");
    u64::from_le_bytes(bytes) | 1
}
