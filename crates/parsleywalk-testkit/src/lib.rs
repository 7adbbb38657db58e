//! Test doubles for endpoints, workers and the network between daemons.
//!
//! They use the daemons' HTTP interface and record every execution, so that a test can assert that nothing ran twice.
//! They run as threads of the test process, listen on loopback and use the system's monotonic clock.
//!
//! ```no_run
//! use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, RunLog, WorkerSettings};
//!
//! let entry = "127.0.0.1:7300".parse()?;
//! let endpoint = FakeEndpoint::start(EndpointSettings {
//!     entries: vec![entry],
//!     ..EndpointSettings::new("planner-1".parse()?, "marker-planning".parse()?)
//! })?;
//! let log = RunLog::new();
//! let worker = FakeWorker::start(WorkerSettings {
//!     entries: vec![entry],
//!     ..WorkerSettings::new("worker-1".parse()?, "zone-a".parse()?, "rack-1".parse()?)
//! }, log.clone());
//! assert_eq!(endpoint.ran_count(b"a request"), 0);
//! worker.kill();
//! log.check()?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod announcer;
mod client;
mod endpoint;
mod endpoint_settings;
mod error;
mod faulty_link;
mod run_log;
mod tracked_task;
mod worker;
mod worker_agent;
mod worker_settings;

pub use endpoint::{FakeEndpoint, RanRequest};
pub use endpoint_settings::{EndpointBehaviour, EndpointSettings};
pub use error::{Result, TestkitError};
pub use faulty_link::{FaultyLink, LinkCut};
pub use run_log::{RunLog, RunRecord};
pub use worker::FakeWorker;
pub use worker_settings::WorkerSettings;
