//! Routing of requests to endpoints: admission, claims, load balancing and retries.
//!
//! [`RequestRouter`] manages the requests of one entry from arrival to response. It does no I/O and has no clock: the
//! daemon calls a command with the current time, executes the returned [`RouteAction`]s, and calls
//! [`RequestRouter::tick`] no later than [`RequestRouter::next_deadline`].
//!
//! ```
//! use std::time::Duration;
//!
//! use parsleywalk_routing::{
//!     DispatchResult, EndpointAnnouncement, EndpointResponse, RequestArrival, RequestDigest, RequestRouter, RouteAction,
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
//! let response = EndpointResponse { status: 200, headers: Vec::new(), body: b"12 EUR".to_vec(), load: Some(0) };
//! let actions = router.finish(MonotonicTime::from_millis(20), dispatch, DispatchResult::Answered(response.into()));
//! assert!(matches!(&actions[..], [RouteAction::Answer { answer: RouteResponse::Whole(_), .. }]));
//! # Ok::<(), parsleywalk_units::UnitError>(())
//! ```
//!
//! - A request waits in the [`AdmissionQueue`] of its service, which is fair by caller, until an endpoint has a free
//!   slot.
//! - The key of a request that is not repeatable is claimed before dispatch. [`KeyRegistry`] finds the execution that a
//!   resend joins, and [`ResponseCache`] keeps responses for later resends.
//! - [`RetryBudget`] limits retries.
//! - [`RouteResponse::NotRun`] is only returned if the request certainly has not run and will not run.

mod action;
mod admission;
mod admission_queue;
mod announcement;
mod arrival;
mod completion;
mod dispatching;
mod endpoint_record;
mod endpoint_selection;
mod endpoint_table;
mod key_registry;
mod request_execution;
mod request_router;
mod response;
mod response_cache;
mod retry_budget;
mod router_status;
mod service_health;
mod service_route;
mod service_state;
mod settings;
mod timer_queue;
mod zone_selector;

pub use action::{ClaimDecision, DispatchResult, RouteAction};
pub use admission_queue::AdmissionQueue;
pub use announcement::{EndpointAddress, EndpointAnnouncement};
pub use arrival::{RequestArrival, RequestDigest};
pub use key_registry::KeyRegistry;
pub use request_router::RequestRouter;
pub use response::{ClaimState, EndpointResponse, RouteReason, RouteResponse};
pub use response_cache::ResponseCache;
pub use retry_budget::RetryBudget;
pub use router_status::{EndpointStatus, RouterCounters, RouterStatus, ServiceStatus};
pub use service_route::ServiceRoute;
pub use settings::{BalanceMethod, RouterSettings};
