//! The thread that owns the replicated log, the control state and the scheduling policy.

mod call;
pub(crate) mod dump;
mod event;
mod feed;
mod forwarded;
mod handle;
mod leader;
mod progress;
mod proposals;
mod report;
mod storage;
mod thread;
mod view;

pub(crate) use call::{CallFailure, LeaderCall, LeaderReply};
pub(crate) use event::ControlEvent;
pub(crate) use handle::ControlHandle;
pub(crate) use storage::start as start_storage;
pub(crate) use thread::{ControlLinks, EVENT_LIMIT, start};
