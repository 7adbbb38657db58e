//! Starts and stops the threads and servers of one daemon.

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
use crate::control::{self, ControlContext, ControlEvent, ControlHandle};
use crate::edge::caller::CallerServer;
use crate::edge::operator::{OperatorContext, OperatorServer};
use crate::edge::routes::CallerContext;
use crate::message::DaemonMessage;
use crate::metrics::DaemonMetrics;
use crate::router::{self, RequestCall, RouterContext, RouterHandle};
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// Interval at which a shutdown checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon.
///
/// Dropping it without [`Daemon::shutdown`] stops it as abruptly as a crash.
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

/// Initialises the data folder of a replica. Every bootstrap replica needs this once, before its first start.
///
/// # Errors
///
/// Returns an error if the settings name no data folder, or if the folder already holds a log.
pub fn initialise(settings: &DaemonSettings) -> Result<ReplicaId> {
    let Some(folder) = &settings.data_folder else {
        let errors = vec!["data_folder: required to initialise a replica".to_owned()];
        return Err(DaemonError::Settings { path: std::path::PathBuf::new(), errors });
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
    /// Starts all threads and servers of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a token or the log store can't be read, or an address can't be bound.
    pub fn start(settings: &DaemonSettings) -> Result<Self> {
        let clock = ProcessClock::start();
        let incarnation = random_incarnation();
        let metrics = DaemonMetrics::new();
        let own = settings.own_address().clone();
        let peer_settings = PeerSettings {
            vm: settings.vm,
            incarnation: Incarnation::new(incarnation),
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
        let (control_events, control_queue) = flume::bounded(control::MAX_QUEUED_EVENTS);
        let (router_events, router_queue) = flume::bounded(router::MAX_QUEUED_EVENTS);
        let control = ControlHandle::new(control_events.clone());
        let router = RouterHandle::new(router_events.clone());
        // Opened before any server listens, so that a daemon with a damaged store is never reachable.
        let (node, store) = open_log(settings, clock, incarnation, &control)?;
        let (network, inbox) = PeerNetwork::start(peer_settings).map_err(|cause| DaemonError::Peer { cause })?;
        let network = Arc::new(network);
        let daemons = settings.daemons.iter().map(|daemon| daemon.vm);
        let coordinator = DaemonCoordinator::new(node, daemons, incarnation);
        let control_context = ControlContext {
            clock,
            network: Arc::clone(&network),
            router: router.clone(),
            metrics: metrics.clone(),
            store,
        };
        let control_thread = control::start(settings, control_context, coordinator, control_queue)?;
        let router_context =
            RouterContext { clock, control: control.clone(), network: Arc::clone(&network), incarnation };
        router::start(settings, router_context, &router_events, router_queue)?;
        start_inbox(inbox, control.clone(), router.clone(), Arc::clone(&network))?;
        let draining = Arc::new(AtomicBool::new(false));
        let operator_context = OperatorContext {
            control: control.clone(),
            router: router.clone(),
            metrics: metrics.clone(),
            token: operator_token,
            draining: Arc::clone(&draining),
            zones: configured_zones(settings),
        };
        let operators = OperatorServer::start(own.operators, operator_context)?;
        let caller_context = CallerContext {
            control: control.clone(),
            router: router.clone(),
            metrics,
            limits: settings.limits.clone(),
            zone_entries: zone_entries(settings),
        };
        let callers = CallerServer::start(own.callers, caller_context)?;
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

    /// Returns the address for callers, endpoints and workers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators and health checks.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for the other daemons.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.network.address()
    }

    /// Shuts the daemon down gracefully.
    ///
    /// The readiness check fails from now on and new requests are refused. The servers close once the requests in
    /// progress have been answered, or after the settings' `shutdown_timeout`.
    pub fn shutdown(mut self) {
        info!("event=shutdown_started connections={}", self.callers.open_connections());
        self.draining.store(true, Ordering::Relaxed);
        self.router.drain();
        let timeout = self.settings.limits.shutdown_timeout.as_duration();
        let end = Instant::now() + timeout;
        while Instant::now() < end && self.router.status().is_some_and(|status| status.in_progress > 0) {
            thread::sleep(DRAIN_POLL_INTERVAL);
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

type WriteQueue = flume::Sender<(parsleywalk_consensus::WriteTicket, parsleywalk_consensus::LogWrite)>;

/// Opens the log of a replica, or creates an observer if the settings name no data folder.
fn open_log(
    settings: &DaemonSettings,
    clock: ProcessClock,
    incarnation: u64,
    control: &ControlHandle,
) -> Result<(ConsensusNode, Option<WriteQueue>)> {
    let contact_points: Vec<VmNumber> =
        settings.daemons.iter().map(|daemon| daemon.vm).filter(|vm| *vm != settings.vm).collect();
    let consensus = ConsensusSettings { contact_points: contact_points.clone(), ..ConsensusSettings::default() };
    let Some(folder) = &settings.data_folder else {
        let id = ReplicaId::new(settings.vm, Incarnation::new(incarnation));
        return Ok((ConsensusNode::observer(consensus, id, contact_points, incarnation, clock.now()), None));
    };
    let storage_error = |cause| DaemonError::Storage { step: "open log store", cause };
    let (store, recovered) = LogStore::open(folder).map_err(storage_error)?;
    let id = store.id();
    let node = ConsensusNode::open(consensus, id, recovered, incarnation, clock.now())
        .map_err(|cause| DaemonError::Log { cause })?;
    // Unbounded, because the log already bounds the bytes that are proposed and not yet synced. With a bound here the
    // control thread could block on the storage thread while that waits to report to it.
    let (queue, writes) = flume::unbounded();
    control::start_storage(store, writes, control.events().clone())?;
    Ok((node, Some(queue)))
}

/// Starts the thread that passes received messages to the control thread and the router.
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
                    DaemonMessage::Announce(announcement) => router.announce_from_peer(announcement),
                    DaemonMessage::Forward { call, request } => {
                        let Some(network) = weak.upgrade() else { return };
                        router.serve_forwarded(
                            RequestCall::from_forwarded(request),
                            router::ResponseSink::Peer { network, vm, call },
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

/// Returns the caller addresses of all entries in this daemon's zone.
///
/// Entries with port 0 are left out: only a single daemon may have one, and its endpoints and workers know its address.
fn zone_entries(settings: &DaemonSettings) -> Vec<SocketAddr> {
    let own = settings.own_address();
    let in_zone = settings.daemons.iter().filter(|daemon| daemon.zone == own.zone);
    in_zone.map(|daemon| daemon.callers).filter(|address| address.port() != 0).collect()
}

/// Returns the zones of the settings, sorted and without duplicates.
fn configured_zones(settings: &DaemonSettings) -> Vec<ZoneName> {
    let mut zones: Vec<ZoneName> = settings.daemons.iter().map(|daemon| daemon.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Draws a random number that identifies this process among its predecessors and seeds its random number generators.
fn random_incarnation() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system has random numbers");
    u64::from_le_bytes(bytes) | 1
}
