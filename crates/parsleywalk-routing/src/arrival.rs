//! Requests to admit.

use std::fmt::{self, Debug, Formatter};

use parsleywalk_units::{CallerName, IdempotencyKey, MonotonicTime, RequestId, ServiceName};

/// A digest of a request's method, path and body. A key that is used again must come with the same digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Creates a digest from the output of a cryptographic hash function.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl Debug for RequestDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestDigest({:02x}{:02x}{:02x}{:02x}..)", self.0[0], self.0[1], self.0[2], self.0[3])
    }
}

/// A request that this entry received from a caller or from an entry of another zone.
#[derive(Debug, Clone)]
pub struct RequestArrival {
    /// The request's id, unique at this entry.
    pub request: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// The caller to whose share of the service the request counts.
    pub caller: CallerName,
    /// The caller's idempotency key, by which resends are recognized.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The time at which the caller stops waiting.
    pub deadline: MonotonicTime,
    /// Whether an entry of another zone forwarded the request. If so, it is not forwarded again, and the forwarding
    /// entry is the one to claim its key.
    pub forwarded: bool,
    /// The digest of the request, compared with that of earlier requests with the same key.
    pub digest: RequestDigest,
}
