//! One way to the leader for every daemon.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_peer::PeerSettings;

use crate::client::{CallFailure, LeaderClient};
use crate::clock::FleetClock;
use crate::replica::{Replica, process_incarnation};
use crate::settings::FleetSettings;
use crate::{FleetMetrics, LeaderReply, LeaderRequest, Result};

/// How often an entry makes sure that the leader is there.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// An entry is ready while a leader has answered within this time.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Hands requests to the leader, which may be this daemon's own replica.
pub struct LeaderAccess {
    client: Rc<LeaderClient>,
    replica: Option<Rc<Replica>>,
    metrics: FleetMetrics,
}

impl LeaderAccess {
    /// Starts a daemon's part in the fleet on the caller's `LocalSet`: a replica where the settings name a data folder,
    /// otherwise only a client of the leader.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be opened or the peer port can't be bound.
    pub async fn start(settings: FleetSettings, metrics: FleetMetrics) -> Result<Self> {
        let clock = FleetClock::start();
        let peers = Arc::new(PeerSettings {
            vm: settings.vm(),
            incarnation: process_incarnation(),
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
        Ok(Self { client, replica, metrics })
    }

    /// Calls the leader.
    ///
    /// # Errors
    ///
    /// Says whether the request can have taken effect.
    pub async fn call(
        &self,
        request: LeaderRequest,
        timeout: Duration,
    ) -> std::result::Result<LeaderReply, CallFailure> {
        match &self.replica {
            Some(replica) => replica.call(request, timeout).await,
            None => self.client.call(&request, timeout).await,
        }
    }

    /// Tells whether a leader has answered lately.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.client.contact_age() < LEADER_CONTACT_TIMEOUT
    }

    /// The leader's address, as far as it is known.
    #[must_use]
    pub fn leader_address(&self) -> Option<Ipv4Addr> {
        self.client.leader().map(crate::settings::vm_address)
    }

    /// Renders the metrics, with the sizes and ages of this moment.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        self.metrics.leader_contact_age(self.client.contact_age());
        if let Some(replica) = &self.replica {
            replica.record_state_metrics();
        }
        self.metrics.render()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        self.client.set_seeds(seeds);
    }
}
