//! The HTTP servers of a daemon: one for callers, endpoints and workers, and one for operators.

pub(crate) mod caller;
pub(crate) mod operator;
mod response;
pub(crate) mod routes;
