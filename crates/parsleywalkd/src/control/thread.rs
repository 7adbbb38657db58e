//! The control thread, which feeds events to the coordinator and executes its actions.

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

use super::event::{ControlEvent, ReplyCallback};
use crate::clock::ProcessClock;
use crate::message::DaemonMessage;
use crate::metrics::DaemonMetrics;
use crate::router::{RouterHandle, service_routes};
use crate::settings::DaemonSettings;
use crate::{DaemonError, Result};

/// Maximum number of queued events. Further calls to the leader fail as not sent.
pub(crate) const MAX_QUEUED_EVENTS: usize = 16_384;

/// Maximum number of queued events handled together with the first one, before due timers are checked again.
const MAX_BATCH_EVENTS: usize = 512;

/// Exit code when the log can't be decoded, `EX_DATAERR` of `sysexits.h`.
const CORRUPT_LOG_EXIT_CODE: i32 = 65;

/// The parts of the daemon that the control thread uses.
pub(crate) struct ControlContext {
    pub(crate) clock: ProcessClock,
    pub(crate) network: Arc<PeerNetwork<DaemonMessage>>,
    pub(crate) router: RouterHandle,
    pub(crate) metrics: DaemonMetrics,
    /// The queue of the storage thread; `None` for an observer, which has no log on disk.
    pub(crate) store: Option<Sender<(WriteTicket, LogWrite)>>,
}

/// The state of the control thread.
pub(crate) struct ControlThread {
    settings: DaemonSettings,
    context: ControlContext,
    coordinator: DaemonCoordinator,
    // A hash map, because thousands of calls are pending under load.
    calls: HashMap<CallToken, ReplyCallback>,
    last_call: u64,
}

/// Starts the control thread.
pub(crate) fn start(
    settings: &DaemonSettings,
    context: ControlContext,
    coordinator: DaemonCoordinator,
    queue: Receiver<ControlEvent>,
) -> Result<std::thread::JoinHandle<()>> {
    let thread =
        ControlThread { settings: settings.clone(), context, coordinator, calls: HashMap::new(), last_call: 0 };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || thread.run(&queue))
        .map_err(|cause| DaemonError::Thread { step: "start control thread", cause })
}

impl ControlThread {
    fn run(mut self, queue: &Receiver<ControlEvent>) {
        loop {
            let now = self.context.clock.now();
            let first = match queue.recv_timeout(self.coordinator.next_deadline().since(now)) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Queued events are handled before the next tick, so that their log entries share one message and one sync.
            for event in first.into_iter().chain(queue.try_iter().take(MAX_BATCH_EVENTS)) {
                if matches!(event, ControlEvent::Stop) {
                    return;
                }
                self.handle(event);
            }
            let now = self.context.clock.now();
            if self.coordinator.next_deadline() <= now {
                let actions = self.coordinator.tick(now, ProcessClock::timestamp());
                self.execute(actions);
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Call { call: body, timeout, callback } => {
                self.last_call += 1;
                let call = CallToken::new(self.last_call);
                self.calls.insert(call, callback);
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
        let actions = self.coordinator.step(self.context.clock.now(), ProcessClock::timestamp(), event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => self.send(to, message),
                CoordinatorAction::Persist { ticket, write } => self.persist(ticket, write),
                CoordinatorAction::Finish { call, result } => {
                    if let Some(callback) = self.calls.remove(&call) {
                        callback(result);
                    }
                }
                CoordinatorAction::Configure => self.configure_router(),
                CoordinatorAction::Record(record) => self.record(&record),
                CoordinatorAction::Fail { reason } => {
                    error!("event=log_not_decodable error={reason:?}");
                    std::process::exit(CORRUPT_LOG_EXIT_CODE);
                }
            }
        }
    }

    fn send(&self, to: VmNumber, message: CoordinatorMessage) {
        let kind = if message.is_bulk() { StreamKind::Bulk } else { StreamKind::Control };
        self.context.network.send(to, kind, &DaemonMessage::Coordinator(message));
    }

    fn persist(&self, ticket: WriteTicket, write: LogWrite) {
        let Some(store) = &self.context.store else {
            warn!("event=write_without_disk ticket={ticket}");
            return;
        };
        if store.send((ticket, write)).is_err() {
            error!("event=storage_thread_gone");
            std::process::exit(CORRUPT_LOG_EXIT_CODE);
        }
    }

    fn configure_router(&self) {
        if let Some(configuration) = self.coordinator.state().configuration() {
            self.context.router.configure(service_routes(&configuration.catalog));
        }
    }

    fn record(&self, record: &CoordinatorRecord) {
        match record {
            CoordinatorRecord::CommandApplied { refused } => {
                self.context.metrics.record_command(if *refused { "refused" } else { "accepted" });
                debug!("{record}");
            }
            CoordinatorRecord::ReportAnswered => self.context.metrics.record_report(),
            _ => info!("{record}"),
        }
    }
}

/// Queries of the operator server.
impl ControlThread {
    /// Returns true if the daemon has caught up and can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.coordinator.is_ready()
    }

    pub(crate) fn status(&self) -> SystemStatus {
        self.coordinator.system_status(self.settings.own_address().zone.clone())
    }

    pub(crate) fn configuration(&self) -> Option<ConfigurationView> {
        self.coordinator.configuration_view()
    }

    /// Returns true if a worker has registered in the zone, or an operator has changed its state.
    pub(crate) fn has_zone(&self, zone: &ZoneName) -> bool {
        self.coordinator.state().zones().any(|(name, _)| name == zone)
    }

    pub(crate) fn gauges(&self) -> Vec<(&'static str, u64)> {
        let mut gauges = self.coordinator.gauges(self.context.clock.now());
        gauges.push(("peer_messages_dropped", self.context.network.dropped()));
        gauges.push(("peer_bytes_sent", self.context.network.sent_bytes()));
        gauges
    }

    pub(crate) fn dump(&self) -> Value {
        self.coordinator.dump(self.context.clock.now())
    }
}
