//! The router thread, which owns the request router, and the dispatch thread, which sends requests to endpoints.

mod dispatch;
mod forward;
mod handle;
mod requests;
mod routes;
mod thread;

pub(crate) use handle::{RequestCall, RouterHandle, body_digest};
pub(crate) use requests::ResponseSink;
pub(crate) use routes::service_routes;
pub(crate) use thread::{MAX_QUEUED_EVENTS, RouterContext, start};
