//! The thread that owns the coordinator, and the thread that syncs its log writes.

mod event;
mod handle;
mod storage;
mod thread;

pub(crate) use event::ControlEvent;
pub(crate) use handle::ControlHandle;
pub(crate) use storage::start as start_storage;
pub(crate) use thread::{ControlLinks, ControlThread, EVENT_LIMIT, start};
