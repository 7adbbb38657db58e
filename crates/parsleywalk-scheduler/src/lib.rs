//! The scheduling policy: placement, fair sharing, interference guards and quarantine of failing workers.
//!
//! [`SchedulerPolicy`] does no I/O. It observes changes as [`PolicyEvent`]s and proposes [`PolicyDecision`]s. The
//! caller passes the time to both calls, and all randomness comes from the seed. An accepted proposal comes back as an
//! event; a proposal that is refused or lost is repeated after [`PolicySettings::proposal_timeout`].
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
//! The policy consists of:
//!
//! - an index of workers by free capacity, from which placement samples its candidates,
//! - a queue of task groups; a group that cannot be placed backs off and blocks no other group,
//! - weighted dominant-resource fairness with quotas for teams,
//! - estimates of the resource usage and run times of each service,
//! - an estimate of the interference between each pair of services, and guards that throttle and evict batch tasks,
//! - a quarantine that attributes failures to workers or to tasks,
//! - a limit on the start rate in zones that are back in service.

mod cluster;
mod decision;
mod evacuation;
mod event;
mod explain;
mod guard_decisions;
mod guard_table;
mod index;
mod interference;
mod lifecycle;
mod name_table;
mod placement;
mod policy;
mod preemption;
mod quarantine;
mod queue;
mod ramp;
mod reason;
mod settings;
mod spread;
mod task;
mod usage;
mod usage_report;
mod worker;

pub use decision::{EvictionCause, PolicyDecision};
pub use event::{ObjectiveWeights, PolicyEvent, ServiceSpec, TaskOutcome, TaskUsage, TeamQuota};
pub use explain::{PolicyStatus, TeamSummary, ZoneSummary};
pub use policy::SchedulerPolicy;
pub use reason::WaitReason;
pub use settings::PolicySettings;
