//! Routing of requests to endpoints: admission, retries and claims.
//!
//! [`RequestRouter`] holds the life of every request of one entry. It does no I/O and has no clock: the daemon calls a
//! command with the current time, carries out the [`RouteAction`]s that it returns, and calls [`RequestRouter::tick`]
//! no later than [`RequestRouter::next_deadline`].
//!
//! ```
//! use std::time::Duration;
//!
//! use parsleywalk_routing::{
//!     RequestDigest, DispatchResult, EndpointAnnouncement, EndpointResponse, RequestArrival, RequestRouter, RouteAction,
//!     RouteResponse, RouterSettings, ServiceRoute,
//! };
//! use parsleywalk_units::{Incarnation, MonotonicTime, RequestId, TaskClass};
//!
//! let mut router = RequestRouter::new(RouterSettings::default(), 1);
//! let now = MonotonicTime::from_millis(1);
//! router.configure(now, vec![ServiceRoute {
//!     service: "quotes".parse()?,
//!     class: TaskClass::LatencyCritical,
//!     repeatable: true,
//!     deadline: Duration::from_secs(2),
//!     depends_on: Vec::new(),
//!     slots_limit: 8,
//! }]);
//! router.announce(now, EndpointAnnouncement {
//!     endpoint: "quotes-1".parse()?,
//!     incarnation: Incarnation::new(1),
//!     service: "quotes".parse()?,
//!     address: "10.0.0.7:8080".parse()?,
//!     slots: 8,
//!     ttl: Duration::from_secs(10),
//!     leaving: false,
//! });
//! let actions = router.admit(now, RequestArrival {
//!     request: RequestId::new(1),
//!     service: "quotes".parse()?,
//!     caller: "desk-3".parse()?,
//!     key: None,
//!     repeatable: true,
//!     deadline: MonotonicTime::from_millis(500),
//!     forwarded: false,
//!     digest: RequestDigest::new([0; 32]),
//! });
//! let [RouteAction::Dispatch { dispatch, .. }] = actions[..] else { panic!("{actions:?}") };
//! let answer = EndpointResponse { status: 200, headers: Vec::new(), body: b"12 EUR".to_vec(), load: Some(0) };
//! let actions = router.finish(MonotonicTime::from_millis(20), dispatch, DispatchResult::Answered(answer.into()));
//! assert!(matches!(&actions[..], [RouteAction::Answer { answer: RouteResponse::Whole(_), .. }]));
//! # Ok::<(), parsleywalk_units::UnitError>(())
//! ```
//!
//! - A request waits in the [`AdmissionQueue`] of its service, served fairly by caller, until an endpoint has room.
//! - A request with a key that is not repeatable is claimed before it is dispatched; [`ClaimRegister`] finds resends.
//! - [`RetryBudget`] limits what is sent again; [`AnswerCache`] keeps answers for resends.
//! - [`RouteResponse::NotRun`] is given only where it is proved that nothing ran and nothing will run.

mod action;
mod admission;
mod admission_queue;
mod announcement;
mod answer;
mod answer_cache;
mod arrival;
mod claim_register;
mod dispatching;
mod ending;
mod endpoint_choice;
mod endpoint_record;
mod endpoint_table;
mod flight;
mod request_router;
mod retry_budget;
mod router_status;
mod service_health;
mod service_route;
mod service_state;
mod settings;
mod timer_queue;
mod zone_choice;

pub use action::{ClaimDecision, DispatchResult, RouteAction};
pub use admission_queue::AdmissionQueue;
pub use announcement::{EndpointAddress, EndpointAnnouncement};
pub use answer::{ClaimState, EndpointResponse, RouteReason, RouteResponse};
pub use answer_cache::AnswerCache;
pub use arrival::{RequestArrival, RequestDigest};
pub use claim_register::ClaimRegister;
pub use request_router::RequestRouter;
pub use retry_budget::RetryBudget;
pub use router_status::{EndpointStatus, RouterCounters, RouterStatus, ServiceStatus};
pub use service_route::ServiceRoute;
pub use settings::{BalanceMethod, RouterSettings};
