//! Requests as they arrive.

use std::fmt::{self, Debug, Formatter};

use parsleywalk_units::{CallerName, IdempotencyKey, MonotonicTime, RequestId, ServiceName};

/// A digest of a request's method, path and body, to which its key is bound.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Wraps the bytes of a cryptographic digest.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl Debug for RequestDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "BodyDigest({:02x}{:02x}{:02x}{:02x}..)", self.0[0], self.0[1], self.0[2], self.0[3])
    }
}

/// A request that a caller, or an entry of another zone, hands to this entry.
#[derive(Debug, Clone)]
pub struct RequestArrival {
    /// The request's identity at this entry, never used twice.
    pub request: RequestId,
    /// The service that it is for.
    pub service: ServiceName,
    /// The name under which its share is accounted.
    pub caller: CallerName,
    /// The caller's key, which makes resends recognizable.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its caller stops waiting.
    pub deadline: MonotonicTime,
    /// Whether an entry of another zone forwarded it. It is not forwarded again, and the forwarding entry holds the
    /// claim on its key.
    pub forwarded: bool,
    /// The digest to which the key is bound.
    pub digest: RequestDigest,
}
