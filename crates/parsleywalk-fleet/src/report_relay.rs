//! Relay of workers' reports from a follower to the leader.
//!
//! A follower reads the reports of the workers that call it and sends them to the leader together, at most once in each
//! [`EXCHANGE_INTERVAL`]. The reply carries the responses that have become ready since. The leader thus spends its
//! processor time on decisions and not on connections to workers. Leases and orders are still given by the leader alone,
//! in the response to each report; the relay gives none.
//!
//! While the leader is slow there is one exchange in flight, and the reports that wait for the next one are dropped once
//! their worker has given up on them. A new leader gets every unanswered report again. A report that the leader has
//! already seen is answered without orders, after which the worker reports anew.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use parsleywalk_batch::{ReportResponse, SortedMap, WorkerReport};
use parsleywalk_units::{VmNumber, WorkerId};
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};

use crate::client::{CallFailure, LeaderClient};
use crate::message::RelayedResponse;
use crate::{FleetMetrics, LeaderReply, LeaderRequest};

/// The minimum time between two exchanges with the leader.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// The longest wait for the leader's reply to an exchange. Workers drop responses that take a second.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// A report that has not been answered.
#[derive(Debug)]
struct RelayedReport {
    report: Arc<WorkerReport>,
    sender: oneshot::Sender<ReportResponse>,
    /// Whether the report has been sent to the leader that the relay last exchanged with.
    is_sent: bool,
}

/// Gathers reports and exchanges them for responses.
#[derive(Debug)]
pub(crate) struct ReportRelay {
    client: Rc<LeaderClient>,
    metrics: FleetMetrics,
    /// The unanswered reports. A worker keeps its slot, so that a report moves no other row.
    reports: RefCell<SortedMap<WorkerId, Option<RelayedReport>>>,
    /// Whether the leader wants the workers of this replica's zone to report here.
    is_gathering: Cell<bool>,
    arrived: Notify,
}

impl ReportRelay {
    pub(crate) fn new(client: Rc<LeaderClient>, metrics: FleetMetrics) -> Self {
        Self { client, metrics, reports: RefCell::default(), is_gathering: Cell::new(false), arrived: Notify::new() }
    }

    /// Returns true if the leader wants the workers of this replica's zone to report here.
    pub(crate) fn is_gathering(&self) -> bool {
        self.is_gathering.get()
    }

    /// Relays a report and returns the leader's response. A newer report of the same worker replaces it.
    pub(crate) async fn call(&self, report: WorkerReport, timeout: Duration) -> Result<ReportResponse, CallFailure> {
        let (sender, response) = oneshot::channel();
        let worker = report.worker.clone();
        let relayed = RelayedReport { report: Arc::new(report), sender, is_sent: false };
        self.reports.borrow_mut().entry(worker, || None).replace(relayed);
        self.arrived.notify_one();
        match time::timeout(timeout, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Unknown),
        }
    }

    /// Exchanges reports for responses while there are unanswered reports. Runs until it is dropped.
    pub(crate) async fn run(&self) {
        let mut leader = None;
        loop {
            let started = Instant::now();
            if self.client.leader() != leader {
                leader = self.client.leader();
                self.mark_unsent();
            }
            let reports = self.take_unsent();
            if reports.is_empty() && !self.has_unanswered() {
                self.arrived.notified().await;
                continue;
            }
            self.exchange(reports, leader).await;
            time::sleep_until(started + EXCHANGE_INTERVAL).await;
        }
    }

    async fn exchange(&self, reports: Vec<Arc<WorkerReport>>, leader: Option<VmNumber>) {
        self.metrics.reports_relayed(reports.len());
        match self.client.call(&LeaderRequest::Relay { reports }, EXCHANGE_TIMEOUT).await {
            Ok(LeaderReply::Relayed { responses, is_gathering }) => {
                if is_gathering != self.is_gathering.replace(is_gathering) {
                    info!("event=report_gathering_changed gathering={is_gathering}");
                }
                self.deliver(responses);
            }
            Err(CallFailure::NotSent) => self.fail_all(),
            // Whether the leader has handled the reports is unknown. It answers those that it has seen at once.
            outcome => {
                info!("event=report_exchange_failed leader={leader:?} outcome={outcome:?}");
                self.mark_unsent();
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

    /// Returns the reports to send. Reports that nobody waits for any more are dropped.
    fn take_unsent(&self) -> Vec<Arc<WorkerReport>> {
        let mut unsent = Vec::new();
        for (_, slot) in self.reports.borrow_mut().iter_mut() {
            slot.take_if(|relayed| relayed.sender.is_closed());
            if let Some(relayed) = slot.as_mut().filter(|relayed| !relayed.is_sent) {
                relayed.is_sent = true;
                unsent.push(Arc::clone(&relayed.report));
            }
        }
        unsent
    }

    fn mark_unsent(&self) {
        for (_, slot) in self.reports.borrow_mut().iter_mut() {
            if let Some(relayed) = slot {
                relayed.is_sent = false;
            }
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
