//! Replicas of the batch state, and the entry daemons that forward requests to their leader.
//!
//! [`LeaderAccess::start`] starts a replica if the process has a data folder, and otherwise an entry daemon. Every
//! request is sent to the leader as a [`LeaderRequest`], and only the leader makes decisions. [`HttpServer`] serves
//! callers, workers and operators with limits on connections, heads and bodies.
//!
//! All tasks of a process run on one `tokio` `LocalSet`, except for the thread that syncs the log. On the small VMs
//! that this is designed for, a second thread costs wake-ups and gains nothing.

mod access;
mod client;
mod clock;
mod core;
mod error;
mod held_reports;
mod http;
mod leader_state;
mod members;
mod message;
mod metrics;
mod pending_jobs;
mod plan_pacer;
mod queue_caller;
mod queue_decision;
mod replica;
mod report_relay;
mod report_replica;
mod settings;
mod stall_monitor;
mod submission_history;
mod waiter;
mod zone_orders;

pub use access::LeaderAccess;
pub use client::CallFailure;
pub use error::{FleetError, Result};
pub use http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};
pub use message::{LeaderReply, LeaderRequest, LogMessage, QueueAction, RelayedResponse};
pub use metrics::FleetMetrics;
pub use settings::{FleetSettings, vm_address, vm_number};
