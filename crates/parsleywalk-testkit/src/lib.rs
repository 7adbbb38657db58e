//! Stand-ins for endpoints, workers and the network between daemons.
//!
//! They speak the HTTP interface towards the daemons and record what ran, so that a test can assert that nothing ran
//! twice. They run as threads of the test's process, on loopback, and take their time from the process's clock.
//!
//! ```no_run
//! use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, RunLog, WorkerSettings};
//!
//! let edge = "127.0.0.1:7300".parse()?;
//! let endpoint = FakeEndpoint::start(EndpointSettings {
//!     entries: vec![edge],
//!     ..EndpointSettings::new("planner-1".parse()?, "marker-planning".parse()?)
//! })?;
//! let log = RunLog::new();
//! let worker = FakeWorker::start(WorkerSettings {
//!     entries: vec![edge],
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
mod held_task;
mod run_log;
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
