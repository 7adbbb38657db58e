//! The control plane of one daemon, as a deterministic state machine without I/O.
//!
//! A [`DaemonCoordinator`] combines the replicated log, the control state and, while its replica is the leader, the
//! scheduling policy and the worker leases. It takes the time, messages and completed writes as arguments and returns
//! the actions that the daemon has to execute, so that the same code runs in the daemon and in seeded simulations of
//! many coordinators in one process.
//!
//! ```
//! use std::time::Duration;
//!
//! use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, RecoveredLog, ReplicaId, ReplicaSet};
//! use parsleywalk_coordinator::{
//!     CallToken, CoordinatorAction, CoordinatorEvent, DaemonCoordinator, LeaderCall, LeaderReply,
//! };
//! use parsleywalk_units::{Incarnation, MonotonicTime, StateTime, VmNumber};
//!
//! let vm = VmNumber::new(1);
//! let id = ReplicaId::new(vm, Incarnation::new(1));
//! let recovered = RecoveredLog::bootstrapped(ReplicaSet::new(vec![id]));
//! let node = ConsensusNode::open(ConsensusSettings::default(), id, recovered, 7, MonotonicTime::ZERO)?;
//! let mut coordinator = DaemonCoordinator::new(node, [vm].into_iter(), 7);
//!
//! let body = LeaderCall::JobStatus("planning/unknown".parse()?);
//! let call = CoordinatorEvent::Call { call: CallToken::new(1), body, timeout: Duration::from_secs(5) };
//! let (mut now, at) = (MonotonicTime::ZERO, StateTime::from_millis(1));
//! let mut actions = coordinator.step(now, at, call);
//! let mut reply = None;
//! while reply.is_none() {
//!     for action in std::mem::take(&mut actions) {
//!         match action {
//!             CoordinatorAction::Persist { ticket, .. } => {
//!                 actions.extend(coordinator.step(now, at, CoordinatorEvent::Persisted { ticket }));
//!             }
//!             CoordinatorAction::Finish { result, .. } => reply = Some(result),
//!             _ => {}
//!         }
//!     }
//!     now = now + Duration::from_millis(10);
//!     actions.extend(coordinator.tick(now, at));
//! }
//! assert_eq!(reply, Some(Ok(LeaderReply::NotFound)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod call;
mod call_table;
mod compact_report;
mod conversion;
mod coordinator;
mod dump;
mod event;
mod leader_state;
mod message;
mod progress;
mod proposals;
mod report;
mod settings;
mod view;

pub use call::{CallFailure, LeaderCall, LeaderReply};
pub use compact_report::CompactReport;
pub use coordinator::DaemonCoordinator;
pub use event::{CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorRecord};
pub use message::CoordinatorMessage;
pub use settings::CoordinatorSettings;
