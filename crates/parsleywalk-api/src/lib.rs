//! JSON messages of parsleywalk's HTTP interface.
//!
//! The daemon, the operators' command line client, workers and endpoints share these types. Unknown fields are refused
//! in messages to the daemon, so that a misspelt field is reported rather than ignored.
//!
//! ```
//! use parsleywalk_api::{Refusal, RefusalOutcome};
//!
//! let refusal = Refusal::not_run("no endpoint of this service is available");
//! let text = serde_json::to_string(&refusal)?;
//! assert_eq!(text, r#"{"outcome":"not_run","reason":"no endpoint of this service is available"}"#);
//! assert_eq!(serde_json::from_str::<Refusal>(&text)?.outcome, RefusalOutcome::NotRun);
//! # Ok::<(), serde_json::Error>(())
//! ```
//!
//! - Callers: [`JobSubmission`], [`JobStatus`], [`JobResult`], [`Refusal`] and the header names in [`headers`].
//! - Endpoints: [`AnnounceRequest`], [`AnnounceReply`].
//! - Workers: [`WorkerReport`], [`WorkerReply`], [`WorkerOrder`].
//! - Operators: [`ConfigurationApply`], [`ZoneCommand`], [`ReplicaCommand`], [`OperationReply`], [`ConfigurationView`],
//!   [`SystemStatus`], [`JobExplanation`], [`FailingJobs`], [`WorkspaceList`].

mod endpoint;
pub mod headers;
mod job;
mod operator;
mod refusal;
mod status;
mod worker;

pub use endpoint::{AnnounceReply, AnnounceRequest};
pub use job::{JobPhase, JobResult, JobStatus, JobSubmission, TaskPhase, TaskResult, TaskStatus};
pub use operator::{
    ConfigurationApply, ConfigurationView, OperationOutcome, OperationReply, ReplicaChange, ReplicaCommand, ZoneCommand,
};
pub use refusal::{Refusal, RefusalOutcome};
pub use status::{
    FailingJob, FailingJobs, JobExplanation, ReplicaView, SystemStatus, TaskCounts, TaskExplanation, WorkspaceList,
    WorkspaceView, ZoneView,
};
pub use worker::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
