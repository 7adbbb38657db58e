//! Names of the HTTP headers that parsleywalk reads and writes.

/// A caller's idempotency key, under which resends of a request are recognized.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Whether the request may run more than once: `true` or `false`. The service's default applies if absent.
pub const REPEATABLE: &str = "Parsleywalk-Repeatable";
/// How long the caller waits, in milliseconds. The service's deadline applies if absent.
pub const DEADLINE: &str = "Parsleywalk-Deadline-Ms";
/// The name under which the caller's share is accounted. The caller's IP address is used if absent.
pub const CALLER: &str = "Parsleywalk-Caller";
/// The id of a dispatch. It is sent to the endpoint, which returns it in its response.
pub const REQUEST_ID: &str = "Parsleywalk-Request-Id";
/// Set to `not_run` by an endpoint that refuses a request without having run it.
pub const OUTCOME: &str = "Parsleywalk-Outcome";
/// The number of requests that the endpoint is serving, reported in its responses.
pub const LOAD: &str = "Parsleywalk-Load";
/// An operator's token: `Bearer <token>`.
pub const AUTHORIZATION: &str = "Authorization";
