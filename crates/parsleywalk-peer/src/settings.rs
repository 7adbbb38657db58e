//! Settings of the links.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use parsleywalk_units::{Incarnation, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

use crate::PeerIdentity;

/// Where a peer listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// The peer's VM.
    pub vm: VmNumber,
    /// Its address by IP number.
    pub address: SocketAddr,
}

/// Settings of a daemon's links.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// This daemon's VM.
    pub vm: VmNumber,
    /// Distinguishes this process from earlier ones on the same VM.
    pub incarnation: Incarnation,
    /// This daemon's availability zone.
    pub zone: ZoneName,
    /// Where to listen for peers.
    pub listen: SocketAddr,
    /// The other daemons.
    pub peers: Vec<PeerAddress>,
    /// Shared by all daemons of a deployment.
    pub token: String,
    /// The wait between pings on a connection.
    pub ping_interval: Duration,
    /// A ping unanswered for this long ends the connection.
    pub ping_timeout: Duration,
    /// The longest wait for a connection and its handshake.
    pub connect_timeout: Duration,
    /// The wait before a broken connection is opened again.
    pub reconnect_pause: Duration,
    /// Messages that wait for each peer and lane.
    pub queue_limit: usize,
    /// The largest frame in bytes.
    pub frame_limit: usize,
    /// Received messages that wait for the daemon.
    pub inbox_limit: usize,
}

impl PeerSettings {
    /// What this daemon says of itself on each stream.
    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity { vm: self.vm, incarnation: self.incarnation, zone: self.zone.clone() }
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            vm: VmNumber::new(1),
            incarnation: Incarnation::new(0),
            zone: "local".parse().expect("a valid name"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peers: Vec::new(),
            token: String::new(),
            ping_interval: Duration::from_millis(500),
            ping_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_secs(1),
            reconnect_pause: Duration::from_millis(100),
            queue_limit: 1024,
            frame_limit: 16 * 1024 * 1024,
            inbox_limit: 4096,
        }
    }
}
