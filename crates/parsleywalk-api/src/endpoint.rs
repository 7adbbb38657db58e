//! Announcements of endpoints.

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
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it serves at once.
    pub slots: u32,
    /// For how long the announcement holds.
    pub ttl: TimeSpan,
    /// Whether it finishes what it has and takes nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// The answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// For how long the announcement holds at this entry.
    pub ttl: TimeSpan,
    /// The caller edges of all entries of the zone, each of which wants the announcement.
    pub entries: Vec<SocketAddr>,
}
