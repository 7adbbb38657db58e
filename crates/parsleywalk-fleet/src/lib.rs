//! Replicas of the batch state, and the entries that reach their leader.
//!
//! [`LeaderAccess::start`] makes a process part of the fleet: a replica where it has a data folder, otherwise an entry.
//! Every request goes to the leader as a [`LeaderRequest`]; nobody else decides. [`HttpServer`] serves callers, workers
//! and operators with bounds on connections, heads and bodies.
//!
//! Everything of one process runs on one `tokio` `LocalSet`, but for the thread that syncs the log: on the small VMs that
//! this is made for, a second thread costs wake-ups and gains nothing.

mod access;
mod admission;
mod client;
mod clock;
mod core;
mod error;
mod http;
mod members;
mod message;
mod metrics;
mod office;
mod replica;
mod settings;
mod waiter;

pub use access::LeaderAccess;
pub use client::CallFailure;
pub use error::{FleetError, Result};
pub use http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};
pub use message::{LeaderReply, LeaderRequest, LogMessage, QueueAction};
pub use metrics::FleetMetrics;
pub use settings::{FleetSettings, vm_address, vm_number};
