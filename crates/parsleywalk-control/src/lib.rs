//! The replicated control state: configuration, zones, workers, jobs, tasks and claims.
//!
//! [`ControlState`] is the state machine that every replica runs. It changes only by [`ControlState::apply`], which
//! checks every [`ControlCommand`] in full, whoever proposed it, and refuses one that would violate an invariant.
//! [`plan_report`] turns a worker's report into commands to propose and orders for the response. [`LeaseTable`] tells
//! the leader which workers' leases have certainly expired, so that nothing runs on them any more.
//!
//! ```
//! use parsleywalk_control::{ControlCommand, ControlReply, ControlState};
//! use parsleywalk_units::{Incarnation, MemoryBytes, MilliCores, ResourceSize, StateTime};
//!
//! let mut state = ControlState::new();
//! let command = ControlCommand::RegisterWorker {
//!     at: StateTime::from_millis(1),
//!     worker: "w1".parse()?,
//!     incarnation: Incarnation::new(1),
//!     zone: "a".parse()?,
//!     rack: "r1".parse()?,
//!     capacity: ResourceSize::new(MilliCores::new(32_000), MemoryBytes::new(125_000_000_000)),
//! };
//! let applied = state.apply(&ControlCommand::decode(&command.encode())?);
//! assert!(matches!(applied.reply, ControlReply::Registered { .. }));
//! assert_eq!(state.zone(&"a".parse()?).workers, 1);
//! assert_eq!(ControlState::decode(&state.encode())?, state);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! - Commands: [`ControlCommand`], [`JobSpec`], [`AttemptChange`], [`EvictionReason`].
//! - Results: [`Applied`], [`ControlReply`], [`OperationAnswer`], [`CommandRefusal`], [`StateChange`].
//! - Records: [`AcceptedConfiguration`], [`ZoneState`], [`WorkerRecord`], [`JobRecord`], [`TaskRecord`],
//!   [`ClaimRecord`].
//! - On the leader only: [`plan_report`], [`ReportPlan`], [`LeaseTable`], [`LeaseSettings`].

// `quick_error!` recurses once for each token of `CommandRefusal`, which exceeds the default limit of 128.
#![recursion_limit = "512"]

mod attempt;
mod change;
mod claim;
mod command;
mod derived;
mod error;
mod instance;
mod invariant;
mod job;
mod job_table;
mod lease;
mod number;
mod operation;
mod operator;
mod plan;
mod query;
mod quota;
mod reconcile;
mod registration;
mod report;
mod snapshot;
mod state;
mod submission;
mod task;
mod transition;
mod worker;
mod zone;

pub use attempt::{AttemptChange, AttemptEnd};
pub use change::{Applied, AttemptOutcome, ControlReply, OperationAnswer, StateChange};
pub use claim::ClaimRecord;
pub use command::{ControlCommand, EvictionReason, JobSpec};
pub use error::{CommandRefusal, ControlError, JobField, Result};
pub use job::{JobRecord, TaskEnd};
pub use lease::{LeaseSettings, LeaseTable};
pub use number::{JobNumber, WorkerNumber};
pub use plan::{ReportPlan, plan_report};
pub use state::{AcceptedConfiguration, ControlState};
pub use task::{StopReason, TaskOwner, TaskRecord};
pub use worker::WorkerRecord;
pub use zone::ZoneState;
