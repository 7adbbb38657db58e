//! The HTTP servers of a daemon.

pub(crate) mod caller;
pub(crate) mod operator;
mod reply;
pub(crate) mod routes;
