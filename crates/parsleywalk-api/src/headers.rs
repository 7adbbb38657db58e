//! Names of the HTTP headers that parsleywalk reads and writes.

/// A caller's key that makes resends of one request recognizable.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// `true` or `false`: whether the request may run more than once; the service's default holds otherwise.
pub const REPEATABLE: &str = "Parsleywalk-Repeatable";
/// The milliseconds that the caller waits; the service's deadline holds otherwise.
pub const DEADLINE: &str = "Parsleywalk-Deadline-Ms";
/// The name under which the caller's share is accounted; the caller's IP number holds otherwise.
pub const CALLER: &str = "Parsleywalk-Caller";
/// The id of a dispatch, sent to the endpoint, which echoes it.
pub const REQUEST_ID: &str = "Parsleywalk-Request-Id";
/// Set to `not_run` by an endpoint that refuses a request before running it.
pub const OUTCOME: &str = "Parsleywalk-Outcome";
/// The number of requests that the endpoint is serving, reported in its answers.
pub const LOAD: &str = "Parsleywalk-Load";
/// The token of an operator: `Bearer <token>`.
pub const AUTHORIZATION: &str = "Authorization";
