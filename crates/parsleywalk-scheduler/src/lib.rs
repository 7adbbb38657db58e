//! The scheduling policy: placement, fairness, guards and quarantine.
//!
//! [`SchedulerPolicy`] does no I/O. It is told of changes as [`PolicyEvent`]s and proposes [`PolicyDecision`]s; both
//! carry the time as an argument, and randomness comes from the seed. What becomes of a proposal comes back as an event.
//! A proposal that is refused or lost is made again after [`PolicySettings::pending`].
//!
//! ```
//! use std::time::Duration;
//!
//! use parsleywalk_scheduler::{PolicyDecision, PolicyEvent, PolicySettings, SchedulerPolicy};
//! use parsleywalk_units::{AttemptNumber, MonotonicTime, TaskClass, TaskId};
//!
//! let mut policy = SchedulerPolicy::new(PolicySettings::default(), 1);
//! let now = MonotonicTime::from_millis(0);
//! policy.observe(now, PolicyEvent::WorkerJoined {
//!     worker: "w1".parse()?,
//!     zone: "z1".parse()?,
//!     rack: "r1".parse()?,
//!     capacity: "32c/125GB/0a".parse()?,
//! });
//! policy.observe(now, PolicyEvent::TaskQueued {
//!     task: TaskId::new(1),
//!     attempt: AttemptNumber::new(1),
//!     service: "resurvey".parse()?,
//!     team: "planning".parse()?,
//!     class: TaskClass::Batch,
//!     size: "8c/24GB/0a".parse()?,
//!     urgent: false,
//!     run_time: Some(Duration::from_secs(1800)),
//!     saved: Duration::ZERO,
//! });
//! let decisions = policy.decide(now, 10);
//! assert!(matches!(&decisions[..], [PolicyDecision::Start { worker, .. }] if worker.as_str() == "w1"));
//! assert_eq!(policy.explain(TaskId::new(1)).to_string(), "its start on w1 is being committed");
//! # Ok::<(), parsleywalk_units::UnitError>(())
//! ```
//!
//! Parts: an index of workers by free capacity with sampled candidates; queued tasks in groups of the same kind, so that
//! a kind that cannot run rests and blocks no other; weighted dominant-resource fairness with quotas; learned sizes and
//! run times; a pairwise interference estimate between services; guards that throttle and evict by that estimate; a
//! quarantine that splits the blame for failures between workers and jobs; and a ramp for zones that return.

mod decision;
mod event;
mod explain;
mod fair;
mod fleet;
mod guard;
mod guarding;
mod index;
mod interference;
mod lifecycle;
mod moving;
mod names;
mod placement;
mod policy;
mod quarantine;
mod queue;
mod ramp;
mod reason;
mod reports;
mod room;
mod settings;
mod spread;
mod task;
mod usage;
mod worker;

pub use decision::{EvictionCause, PolicyDecision};
pub use event::{ObjectiveWeights, PolicyEvent, ServiceSpec, TaskOutcome, TaskUsage, TeamQuota};
pub use explain::{PolicyStatus, TeamSummary, ZoneSummary};
pub use policy::SchedulerPolicy;
pub use reason::WaitReason;
pub use settings::PolicySettings;
