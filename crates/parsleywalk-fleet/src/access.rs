//! Access to the leader from any daemon.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use parsleywalk_batch::{JobFailures, JobId, ReportResponse, WorkerReport, WorkspaceUsage};
use parsleywalk_peer::{CallWindow, PeerSettings, SteadyClock};
use tokio::time;

use crate::client::{CallFailure, LeaderClient};
use crate::replica::{Replica, process_incarnation};
use crate::settings::FleetSettings;
use crate::stall_monitor::{StallMonitor, TICK_INTERVAL};
use crate::{FleetMetrics, LeaderReply, LeaderRequest, Result};

/// The interval at which an entry daemon checks that the leader answers.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// An entry daemon is ready while a leader has answered within this time.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Passes requests to the leader, which may be this daemon's own replica.
pub struct LeaderAccess {
    client: Rc<LeaderClient>,
    replica: Option<Rc<Replica>>,
    clock: SteadyClock,
    stall_monitor: Rc<StallMonitor>,
    metrics: FleetMetrics,
}

impl LeaderAccess {
    /// Starts a replica if the settings name a data folder, and otherwise only a client of the leader. Its tasks run on
    /// the caller's `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the peer port cannot be bound.
    pub async fn start(settings: FleetSettings, metrics: FleetMetrics) -> Result<Self> {
        let clock = SteadyClock::start();
        let peers = Arc::new(PeerSettings {
            vm: settings.vm(),
            incarnation: process_incarnation(),
            clock,
            release: settings.release,
            zone: settings.zone.clone(),
            listen: settings.peer_address(settings.vm()),
            ..PeerSettings::default()
        });
        let client = Rc::new(LeaderClient::new(Arc::clone(&peers), settings.clone(), clock, metrics.clone()));
        let replica = if settings.data_folder.is_some() {
            Some(Replica::start(settings, peers, Rc::clone(&client), clock, metrics.clone()).await?)
        } else {
            let probing = Rc::clone(&client);
            tokio::task::spawn_local(async move { probing.probe(PROBE_INTERVAL).await });
            None
        };
        let stall_monitor = Rc::new(StallMonitor::new(clock.now()));
        tokio::task::spawn_local(watch_for_stalls(Rc::clone(&stall_monitor), clock));
        Ok(Self { client, replica, clock, stall_monitor, metrics })
    }

    /// Sends a request to the leader and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader replied in time; it says whether the request may have taken effect.
    pub async fn call(
        &self,
        request: LeaderRequest,
        timeout: Duration,
    ) -> std::result::Result<LeaderReply, CallFailure> {
        let window = self.window(timeout);
        match &self.replica {
            Some(replica) => replica.call(request, window).await,
            None => self.client.call(&request, window).await,
        }
    }

    /// Returns the window of a request that is read now and whose caller waits for `timeout` from its arrival.
    fn window(&self, timeout: Duration) -> CallWindow {
        let received = self.stall_monitor.earliest_arrival(self.clock.now());
        CallWindow { received, expires: received + timeout }
    }

    /// Sends a worker's report to the leader. Returns the response and the address to which the worker is to report
    /// next.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader responded in time.
    pub async fn report(
        &self,
        report: WorkerReport,
        timeout: Duration,
    ) -> std::result::Result<(ReportResponse, Option<Ipv4Addr>), CallFailure> {
        let window = self.window(timeout);
        let Some(replica) = &self.replica else {
            let reply = self.client.call(&LeaderRequest::Report(Box::new(report)), window).await?;
            let LeaderReply::Report(response) = reply else { return Err(CallFailure::Unknown) };
            return Ok((*response, self.leader_address()));
        };
        let (response, next) = replica.report(report, window).await?;
        Ok((response, next.map(crate::settings::vm_address)))
    }

    /// Returns true if a leader has replied recently.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.client.contact_age() < LEADER_CONTACT_TIMEOUT
    }

    /// Returns the address of the leader, if one is known.
    #[must_use]
    pub fn leader_address(&self) -> Option<Ipv4Addr> {
        self.client.leader().map(crate::settings::vm_address)
    }

    /// Returns the active jobs of which runs have failed, that of the newest failure first, with the time since then, or
    /// `None` if this daemon does not lead.
    #[must_use]
    pub fn failing_jobs(&self) -> Option<Vec<(JobId, JobFailures, Duration)>> {
        self.replica.as_ref()?.failing_jobs()
    }

    /// Returns what the workspaces of the active configuration use and wait for, by name, or `None` if this daemon does not
    /// lead.
    #[must_use]
    pub fn workspace_usage(&self) -> Option<Vec<WorkspaceUsage>> {
        self.replica.as_ref()?.workspace_usage()
    }

    /// Renders the metrics after updating the gauges.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        self.metrics.leader_contact_age(self.client.contact_age());
        if let Some(replica) = &self.replica {
            replica.record_state_metrics();
        }
        self.metrics.render()
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        self.client.set_seeds(seeds);
    }
}

/// Records that the process runs until the process ends.
async fn watch_for_stalls(stall_monitor: Rc<StallMonitor>, clock: SteadyClock) {
    loop {
        if let Some(length) = stall_monitor.tick(clock.now()) {
            info!("event=process_stalled length_ms={}", length.as_millis());
        }
        time::sleep(TICK_INTERVAL).await;
    }
}
