//! The parsleywalk daemon: every process between callers and endpoints.
//!
//! A daemon always is an entry for callers, endpoints, workers and operators. Where its settings name a data folder, it
//! is a replica of the deployment's log as well. [`Daemon::start`] runs one inside any process; the binary
//! `parsleywalkd` does no more than read [`DaemonSettings`], start a [`Daemon`] and wait for a signal.
//!
//! Threads, joined by `flume` channels:
//!
//! - *control* owns the replicated log, the control state and, on the leader, the scheduling policy;
//! - *storage* syncs all waiting log writes at once;
//! - *peer* carries messages between daemons, *inbox* sorts them;
//! - *router* owns the request router, *dispatch* calls endpoints for it;
//! - *callers* is the HTTP server for callers, endpoints and workers; operators have a server of their own.

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
pub use settings::{DaemonAddress, DaemonSettings, EdgeLimits, LogSettings};
