//! The control thread's loop: events in, actions out.

use std::collections::HashMap;
use std::sync::Arc;

use flume::{Receiver, RecvTimeoutError, Sender};
use log::{debug, error, info, warn};
use parsleywalk_api::{ConfigurationView, SystemStatus};
use parsleywalk_consensus::{LogWrite, WriteTicket};
use parsleywalk_coordinator::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, CoordinatorRecord, DaemonCoordinator,
};
use parsleywalk_peer::{PeerNetwork, StreamKind};
use parsleywalk_units::{VmNumber, ZoneName};
use serde_json::Value;

use super::event::{CallDone, ControlEvent};
use crate::clock::ProcessClock;
use crate::message::DaemonMessage;
use crate::metrics::DaemonMetrics;
use crate::router::{RouterHandle, service_routes};
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// Events that may wait for the control thread; a call beyond them is refused as not sent.
pub(crate) const EVENT_LIMIT: usize = 16_384;

/// The most events handled before time-driven work is looked at again.
const BATCH_LIMIT: usize = 512;

/// The exit code when the log holds what can't be decoded.
const CORRUPT_EXIT: i32 = 65;

/// What the control thread needs of the daemon.
pub(crate) struct ControlLinks {
    pub(crate) clock: ProcessClock,
    pub(crate) network: Arc<PeerNetwork<DaemonMessage>>,
    pub(crate) router: RouterHandle,
    pub(crate) metrics: DaemonMetrics,
    /// Takes log writes; a daemon without a disk has none.
    pub(crate) store: Option<Sender<(WriteTicket, LogWrite)>>,
}

/// The state of the control thread.
pub(crate) struct ControlThread {
    settings: DaemonSettings,
    links: ControlLinks,
    coordinator: DaemonCoordinator,
    // A map, since thousands of calls wait under load.
    calls: HashMap<CallToken, CallDone>,
    last_call: u64,
}

/// Starts the control thread.
pub(crate) fn start(
    settings: &DaemonSettings,
    links: ControlLinks,
    coordinator: DaemonCoordinator,
    queue: Receiver<ControlEvent>,
) -> Result<std::thread::JoinHandle<()>> {
    let thread = ControlThread { settings: settings.clone(), links, coordinator, calls: HashMap::new(), last_call: 0 };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || thread.run(&queue))
        .map_err(|cause| DaemonError::Thread { step: "start control thread", cause })
}

impl ControlThread {
    fn run(mut self, queue: &Receiver<ControlEvent>) {
        loop {
            let now = self.links.clock.now();
            let first = match queue.recv_timeout(self.coordinator.next_deadline().since(now)) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Events that wait are handled together, so that their log entries go into one message and one sync.
            for event in first.into_iter().chain(queue.try_iter().take(BATCH_LIMIT)) {
                if matches!(event, ControlEvent::Stop) {
                    return;
                }
                self.handle(event);
            }
            let now = self.links.clock.now();
            if self.coordinator.next_deadline() <= now {
                let actions = self.coordinator.tick(now, ProcessClock::stamp());
                self.carry_out(actions);
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Call { call: body, timeout, done } => {
                self.last_call += 1;
                let call = CallToken::new(self.last_call);
                self.calls.insert(call, done);
                self.step(CoordinatorEvent::Call { call, body, timeout });
            }
            ControlEvent::Peer { from, message } => self.step(CoordinatorEvent::Receive { from, message }),
            ControlEvent::Persisted(tickets) => {
                for ticket in tickets {
                    self.step(CoordinatorEvent::Persisted { ticket });
                }
            }
            ControlEvent::Query(query) => query(self),
            ControlEvent::Stop => {}
        }
    }

    fn step(&mut self, event: CoordinatorEvent) {
        let actions = self.coordinator.step(self.links.clock.now(), ProcessClock::stamp(), event);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => self.send(to, message),
                CoordinatorAction::Persist { ticket, write } => self.persist(ticket, write),
                CoordinatorAction::Finish { call, result } => {
                    if let Some(done) = self.calls.remove(&call) {
                        done(result);
                    }
                }
                CoordinatorAction::Configure => self.configure_router(),
                CoordinatorAction::Record(record) => self.record(&record),
                CoordinatorAction::Fail { reason } => {
                    error!("event=log_not_decodable error={reason:?}");
                    std::process::exit(CORRUPT_EXIT);
                }
            }
        }
    }

    fn send(&self, to: VmNumber, message: CoordinatorMessage) {
        let kind = if message.is_bulk() { StreamKind::Bulk } else { StreamKind::Control };
        self.links.network.send(to, kind, &DaemonMessage::Coordinator(message));
    }

    fn persist(&self, ticket: WriteTicket, write: LogWrite) {
        let Some(store) = &self.links.store else {
            warn!("event=write_without_disk ticket={ticket}");
            return;
        };
        if store.send((ticket, write)).is_err() {
            error!("event=storage_thread_gone");
            std::process::exit(CORRUPT_EXIT);
        }
    }

    fn configure_router(&self) {
        if let Some(configuration) = self.coordinator.state().configuration() {
            self.links.router.configure(service_routes(&configuration.catalog));
        }
    }

    fn record(&self, record: &CoordinatorRecord) {
        match record {
            CoordinatorRecord::CommandApplied { refused } => {
                self.links.metrics.command(if *refused { "refused" } else { "accepted" });
                debug!("{record}");
            }
            CoordinatorRecord::ReportAnswered => self.links.metrics.report(),
            _ => info!("{record}"),
        }
    }
}

/// Queries, for the operator edge.
impl ControlThread {
    /// Whether the daemon takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.coordinator.is_ready()
    }

    pub(crate) fn status(&self) -> SystemStatus {
        self.coordinator.system_status(self.settings.own_address().zone.clone())
    }

    pub(crate) fn configuration(&self) -> Option<ConfigurationView> {
        self.coordinator.configuration_view()
    }

    /// Whether a worker has registered in the zone, or an operator has moved it.
    pub(crate) fn knows_zone(&self, zone: &ZoneName) -> bool {
        self.coordinator.state().zones().any(|(known, _)| known == zone)
    }

    pub(crate) fn gauges(&self) -> Vec<(&'static str, u64)> {
        let mut gauges = self.coordinator.gauges(self.links.clock.now());
        gauges.push(("peer_messages_dropped", self.links.network.dropped()));
        gauges.push(("peer_bytes_sent", self.links.network.sent_bytes()));
        gauges
    }

    pub(crate) fn dump(&self) -> Value {
        self.coordinator.dump(self.links.clock.now())
    }
}
