//! Endpoint announcements.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName, UnitError};
use serde::{Deserialize, Serialize};

/// The IP address and port on which an endpoint listens.
///
/// ```
/// use parsleywalk_routing::EndpointAddress;
///
/// let address: EndpointAddress = "10.0.0.7:8080".parse()?;
/// assert_eq!(address.to_string(), "10.0.0.7:8080");
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointAddress(SocketAddr);

impl EndpointAddress {
    /// Wraps a socket address.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// Returns the socket address.
    #[must_use]
    pub const fn get(self) -> SocketAddr {
        self.0
    }
}

impl Display for EndpointAddress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}

impl FromStr for EndpointAddress {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_| UnitError::Invalid {
            unit: "endpoint address",
            text: text.chars().take(64).collect(),
            expected: "an IP number and a port",
        })
    }
}

/// Announces an endpoint and its capacity. Sent by the endpoint, or passed on by another entry of the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint's id, which is the same across restarts.
    pub endpoint: EndpointId,
    /// Increases with each restart of the endpoint; announcements of older incarnations are ignored.
    pub incarnation: Incarnation,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address on which the endpoint listens.
    pub address: EndpointAddress,
    /// The number of requests that the endpoint serves concurrently.
    pub slots: u32,
    /// The time for which the announcement is valid.
    pub ttl: Duration,
    /// Whether the endpoint is shutting down and accepts no new requests. An incarnation cannot take this back.
    pub leaving: bool,
}
