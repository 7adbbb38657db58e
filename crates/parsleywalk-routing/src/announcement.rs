//! Announcements of endpoints.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use parsleywalk_units::{EndpointId, Incarnation, ServiceName, UnitError};
use serde::{Deserialize, Serialize};

/// Where an endpoint listens: an IP number and a port.
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

/// An endpoint's announcement, received from the endpoint itself or shared by another entry of the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint's identity, stable across restarts.
    pub endpoint: EndpointId,
    /// Grows with each restart; announcements of older incarnations are ignored.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: EndpointAddress,
    /// How many requests it serves at once.
    pub slots: u32,
    /// For how long the announcement holds.
    pub ttl: Duration,
    /// Whether it takes nothing new. An incarnation that said so once stays leaving.
    pub leaving: bool,
}
