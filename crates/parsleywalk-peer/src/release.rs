//! Releases of daemons, by which they know what others can decode.
//!
//! Every reply to a call carries the replying daemon's release as an HTTP header, which a daemon of release 1 does not
//! send. The frames of a connection cannot carry it, because release 1 could not decode them.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use http::{HeaderMap, HeaderValue};
use parsleywalk_units::UnitError;

/// The header of a reply that carries a [`DaemonRelease`].
const RELEASE_HEADER: &str = "parsleywalk-release";

/// The release of a daemon; a higher one decodes everything that a lower one does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonRelease(u16);

impl DaemonRelease {
    /// The last release whose replies do not carry it.
    pub const FIRST: Self = Self(1);
    /// The first release with workspaces.
    pub const WORKSPACES: Self = Self(2);
    /// This release.
    pub const CURRENT: Self = Self(2);

    /// Creates a release from its number.
    pub(crate) const fn new(number: u16) -> Self {
        Self(number)
    }

    pub(crate) const fn get(self) -> u16 {
        self.0
    }

    /// Returns the release in a reply. A header that cannot be read promises nothing.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Self {
        let text = headers.get(RELEASE_HEADER).and_then(|header| header.to_str().ok());
        text.and_then(|text| text.parse().ok()).unwrap_or(Self::FIRST)
    }

    pub(crate) fn add_to(self, headers: &mut HeaderMap) {
        if self > Self::FIRST {
            headers.insert(RELEASE_HEADER, HeaderValue::from(self.0));
        }
    }
}

impl Default for DaemonRelease {
    fn default() -> Self {
        Self::CURRENT
    }
}

impl Display for DaemonRelease {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}

impl FromStr for DaemonRelease {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.parse().ok().filter(|number| *number > 0);
        number.map(Self).ok_or_else(|| UnitError::invalid("release", text, "a number from 1 to 65535"))
    }
}

#[cfg(test)]
#[path = "release_tests.rs"]
mod tests;
