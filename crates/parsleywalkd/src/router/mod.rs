//! The thread that owns the request router, and the thread that calls endpoints for it.

mod dispatch;
mod forward;
mod handle;
mod requests;
mod routes;
mod thread;

pub(crate) use handle::{RequestCall, RouterHandle, body_digest};
pub(crate) use requests::AnswerSink;
pub(crate) use routes::service_routes;
pub(crate) use thread::{EVENT_LIMIT, RouterLinks, start};
