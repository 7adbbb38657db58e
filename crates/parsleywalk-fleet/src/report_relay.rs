//! Relay of workers' reports from a follower to the leader.
//!
//! A follower reads the reports of the workers that call it and sends them to the leader together, at most once in each
//! [`EXCHANGE_INTERVAL`]. The reply carries the responses that have become ready since. The leader thus handles a few
//! large messages instead of an HTTP request for each report. Leases and orders are still given by the leader alone, in
//! the response to each report; the relay gives none.
//!
//! While the leader is slow there is one exchange in flight, and the reports that wait for the next one are dropped
//! once their worker has given up on them. A new leader gets every report again whose worker still waits. A report that
//! the leader has already seen is answered without orders, after which the worker reports anew.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use parsleywalk_batch::{ReportResponse, SortedMap, WorkerReport};
use parsleywalk_peer::{CallWindow, SteadyClock};
use parsleywalk_units::{Incarnation, VmNumber, WorkerId};
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};

use crate::client::{CallFailure, LeaderClient};
use crate::message::RelayedResponse;
use crate::{FleetMetrics, LeaderReply, LeaderRequest};

/// The minimum time between two exchanges with the leader.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// The longest wait for the leader's reply to an exchange. Workers drop responses that take a second.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum size of the reports or responses in one exchange in bytes, unless a single one is larger; a message may
/// take 16 MiB.
pub(crate) const MAX_EXCHANGE_BYTES: usize = 4 * 1024 * 1024;

/// A report that has not been answered.
#[derive(Debug)]
struct RelayedReport {
    report: Arc<WorkerReport>,
    sender: oneshot::Sender<ReportResponse>,
    /// The leader that has the report; `None` if that is unknown.
    sent_to: Option<VmNumber>,
}

/// Gathers reports and exchanges them for responses.
#[derive(Debug)]
pub(crate) struct ReportRelay {
    client: Rc<LeaderClient>,
    clock: SteadyClock,
    metrics: FleetMetrics,
    /// The unanswered reports. A worker keeps its slot, so that a report moves no other row.
    reports: RefCell<SortedMap<WorkerId, Option<RelayedReport>>>,
    /// The last report of each worker that was sent to a leader. Its response may still arrive.
    sent: RefCell<SortedMap<WorkerId, (Incarnation, u64)>>,
    /// Whether the leader wants the workers of this replica's zone to report here.
    is_gathering: Cell<bool>,
    arrived: Notify,
}

impl ReportRelay {
    pub(crate) fn new(client: Rc<LeaderClient>, clock: SteadyClock, metrics: FleetMetrics) -> Self {
        Self {
            client,
            clock,
            metrics,
            reports: RefCell::default(),
            sent: RefCell::default(),
            is_gathering: Cell::new(false),
            arrived: Notify::new(),
        }
    }

    /// Returns true if the leader wants the workers of this replica's zone to report here.
    pub(crate) fn is_gathering(&self) -> bool {
        self.is_gathering.get()
    }

    /// Relays a report and returns the leader's response. A newer report of the same worker replaces it.
    pub(crate) async fn call(&self, report: WorkerReport, timeout: Duration) -> Result<ReportResponse, CallFailure> {
        // Responses name the worker and the sequence number only. One for an earlier incarnation must not reach this one;
        // the worker reports again with the next number.
        let last_sent = self.sent.borrow().get(&report.worker).copied();
        if last_sent
            .is_some_and(|(incarnation, sequence)| incarnation != report.incarnation && sequence == report.sequence)
        {
            return Err(CallFailure::Unknown);
        }
        let (sender, response) = oneshot::channel();
        let worker = report.worker.clone();
        let relayed = RelayedReport { report: Arc::new(report), sender, sent_to: None };
        self.reports.borrow_mut().entry(worker, || None).replace(relayed);
        self.arrived.notify_one();
        match time::timeout(timeout, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Unknown),
        }
    }

    /// Exchanges reports for responses while there are unanswered reports. Runs until it is dropped.
    pub(crate) async fn run(&self) {
        loop {
            let started = Instant::now();
            self.drop_abandoned();
            if !self.has_unanswered() {
                self.arrived.notified().await;
                continue;
            }
            self.exchange(self.reports_for(self.client.leader())).await;
            time::sleep_until(started + EXCHANGE_INTERVAL).await;
        }
    }

    async fn exchange(&self, reports: Vec<Arc<WorkerReport>>) {
        self.metrics.reports_relayed(reports.len());
        for report in &reports {
            self.sent.borrow_mut().insert(report.worker.clone(), (report.incarnation, report.sequence));
        }
        let now = self.clock.now();
        let window = CallWindow { received: now, expires: now + EXCHANGE_TIMEOUT };
        let outcome = self.client.call_any(&LeaderRequest::Relay { reports: reports.clone() }, window).await;
        match outcome {
            Ok((leader, LeaderReply::Relayed { responses, is_gathering })) => {
                self.record_sent(&reports, leader);
                if is_gathering != self.is_gathering.replace(is_gathering) {
                    info!("event=report_gathering_changed gathering={is_gathering}");
                }
                self.deliver(responses);
            }
            Err(CallFailure::NotSent) => self.fail_all(),
            // Whether the leader has handled the reports is unknown. It answers those that it has seen at once.
            outcome => {
                info!("event=report_exchange_failed outcome={outcome:?}");
                self.forget_sent();
            }
        }
    }

    fn deliver(&self, responses: Vec<RelayedResponse>) {
        let mut reports = self.reports.borrow_mut();
        for RelayedResponse { worker, sequence, response } in responses {
            let Some(slot) = reports.get_mut(&worker) else { continue };
            if let Some(relayed) = slot.take_if(|relayed| relayed.report.sequence == sequence) {
                // The receiver may have timed out.
                drop(relayed.sender.send(response));
            }
        }
    }

    /// Drops the reports that nobody waits for any more.
    fn drop_abandoned(&self) {
        for (_, slot) in self.reports.borrow_mut().iter_mut() {
            slot.take_if(|relayed| relayed.sender.is_closed());
        }
    }

    /// Returns the reports that the leader does not have yet, as many as fit into an exchange.
    fn reports_for(&self, leader: Option<VmNumber>) -> Vec<Arc<WorkerReport>> {
        let reports = self.reports.borrow();
        let unsent = reports.iter().filter_map(|(_, slot)| slot.as_ref());
        let unsent = unsent.filter(|relayed| relayed.sent_to.is_none() || relayed.sent_to != leader);
        let mut bytes = 0;
        let fitting = unsent.take_while(|relayed| {
            let is_first = bytes == 0;
            bytes += relayed.report.size_hint();
            is_first || bytes <= MAX_EXCHANGE_BYTES
        });
        fitting.map(|relayed| Arc::clone(&relayed.report)).collect()
    }

    /// Records that a leader has the reports. A report that a newer one has replaced meanwhile is left out.
    fn record_sent(&self, sent: &[Arc<WorkerReport>], leader: VmNumber) {
        let mut reports = self.reports.borrow_mut();
        for report in sent {
            let slot = reports.get_mut(&report.worker).and_then(Option::as_mut);
            if let Some(relayed) = slot.filter(|relayed| Arc::ptr_eq(&relayed.report, report)) {
                relayed.sent_to = Some(leader);
            }
        }
    }

    fn forget_sent(&self) {
        for relayed in self.reports.borrow_mut().iter_mut().filter_map(|(_, slot)| slot.as_mut()) {
            relayed.sent_to = None;
        }
    }

    /// Fails all calls, because no leader is known here; the workers can reach another replica.
    fn fail_all(&self) {
        for (_, slot) in self.reports.borrow_mut().iter_mut() {
            *slot = None;
        }
    }

    fn has_unanswered(&self) -> bool {
        self.reports.borrow().iter().any(|(_, slot)| slot.is_some())
    }
}
