//! The control thread, which owns the coordinator, and the storage thread, which syncs its log writes.

mod event;
mod handle;
mod storage;
mod thread;

pub(crate) use event::ControlEvent;
pub(crate) use handle::ControlHandle;
pub(crate) use storage::start as start_storage;
pub(crate) use thread::{ControlContext, ControlThread, MAX_QUEUED_EVENTS, start};
