//! The parsleywalk daemon, which routes requests from callers to endpoints and schedules batch work on workers.
//!
//! Every daemon is an entry for callers, endpoints, workers and operators. If its settings name a data folder, it is also
//! a replica of the deployment's log. [`Daemon::start`] runs a daemon inside any process; the binary `parsleywalkd` only
//! reads [`DaemonSettings`], starts a [`Daemon`] and waits for a signal.
//!
//! These threads communicate over `flume` channels:
//!
//! - *control* owns the replicated log, the control state and, on the leader, the scheduling policy;
//! - *storage* syncs all queued log writes together;
//! - *peer* carries messages between daemons, and *inbox* passes received ones to the other threads;
//! - *router* owns the request router, and *dispatch* sends its requests to endpoints;
//! - *callers* is the HTTP server for callers, endpoints and workers; operators have a separate server.

mod clock;
mod control;
mod daemon;
mod edge;
mod error;
mod logging;
mod message;
mod metrics;
mod router;
mod settings;

pub use daemon::{Daemon, initialise};
pub use error::{DaemonError, Result};
pub use logging::{start_logging, start_queued_logging};
pub use settings::{CallerLimits, DaemonAddress, DaemonSettings, LogSettings};
