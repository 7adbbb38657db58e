//! Settings of the peer network.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use parsleywalk_units::{Incarnation, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{DaemonRelease, PeerIdentity, SteadyClock};

/// A peer and the address on which it listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// The peer's VM.
    pub vm: VmNumber,
    /// The IP address and port on which the peer listens.
    pub address: SocketAddr,
}

/// Settings of a [`PeerNetwork`](crate::PeerNetwork) and of [`CallClient`](crate::CallClient)s.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// This daemon's VM.
    pub vm: VmNumber,
    /// This daemon's incarnation, which distinguishes it from earlier processes on the same VM.
    pub incarnation: Incarnation,
    /// This daemon's clock, on which the windows of calls count.
    pub clock: SteadyClock,
    /// The release that this daemon's replies name. Tests set an earlier one.
    pub release: DaemonRelease,
    /// This daemon's availability zone.
    pub zone: ZoneName,
    /// The address on which to listen for peers.
    pub listen: SocketAddr,
    /// The peers to which links are opened at the start.
    pub peers: Vec<PeerAddress>,
    /// The token shared by all daemons of a deployment.
    pub token: String,
    /// The interval between keepalive pings on a connection.
    pub keepalive_interval: Duration,
    /// The time after which a ping without an acknowledgement ends the connection.
    pub keepalive_timeout: Duration,
    /// The longest time for connecting, for a handshake, for the hello of a stream, and for the request of a call.
    pub connect_timeout: Duration,
    /// The delay before a broken connection is opened again.
    pub reconnect_delay: Duration,
    /// The largest number of messages queued for each peer and kind of stream.
    pub queue_limit: usize,
    /// The largest permitted length of a received frame, without its prefix, in bytes.
    pub frame_limit: usize,
    /// The largest numbers of received messages and of received calls that wait for the daemon.
    pub inbox_limit: usize,
}

impl PeerSettings {
    /// Returns the identity that this daemon sends on each stream.
    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity { vm: self.vm, incarnation: self.incarnation, zone: self.zone.clone() }
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            vm: VmNumber::new(1),
            incarnation: Incarnation::new(0),
            clock: SteadyClock::start(),
            release: DaemonRelease::CURRENT,
            zone: "local".parse().expect("a valid name"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peers: Vec::new(),
            token: String::new(),
            keepalive_interval: Duration::from_millis(500),
            keepalive_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_secs(1),
            reconnect_delay: Duration::from_millis(100),
            queue_limit: 1024,
            frame_limit: 16 * 1024 * 1024,
            inbox_limit: 4096,
        }
    }
}
