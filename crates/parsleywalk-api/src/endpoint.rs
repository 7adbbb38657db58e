//! Messages by which endpoints announce themselves to entry daemons.

use std::net::SocketAddr;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};

/// Announces an endpoint, renews its announcement, or says that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// The endpoint's identity, stable across restarts.
    pub endpoint: EndpointId,
    /// Grows with each restart of the endpoint.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// How long the announcement is valid.
    pub ttl: TimeSpan,
    /// Whether it finishes its requests and accepts no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// The response to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// How long the announcement is valid at this entry daemon.
    pub ttl: TimeSpan,
    /// The caller addresses of all entry daemons of the zone; the endpoint announces itself to each of them.
    pub entries: Vec<SocketAddr>,
}
