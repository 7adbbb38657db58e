//! The interface of the control thread to the rest of the daemon.

use std::time::Duration;

use flume::Sender;
use parsleywalk_coordinator::{CallFailure, LeaderCall, LeaderReply};

use super::event::{ControlEvent, LocalQuery, ReplyCallback};

/// Sends events to the control thread. Clones share its queue.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    events: Sender<ControlEvent>,
}

impl ControlHandle {
    pub(crate) fn new(events: Sender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Calls the leader, on whichever daemon it is, and calls `callback` exactly once with the result.
    pub(crate) fn call_with_callback(&self, call: LeaderCall, timeout: Duration, callback: ReplyCallback) {
        if let Err(flume::TrySendError::Full(ControlEvent::Call { callback, .. })) =
            self.events.try_send(ControlEvent::Call { call, timeout, callback })
        {
            callback(Err(CallFailure::NotSent("this entry's control queue is full".to_owned())));
        }
    }

    /// Calls the leader and waits for the result without blocking the thread.
    pub(crate) async fn call(&self, call: LeaderCall, timeout: Duration) -> Result<LeaderReply, CallFailure> {
        let (sender, result) = flume::bounded(1);
        self.call_with_callback(call, timeout, Box::new(move |result| drop(sender.send(result))));
        result.recv_async().await.unwrap_or_else(|_| Err(stopped()))
    }

    /// Calls the leader and blocks the thread until the result is there.
    pub(crate) fn call_blocking(&self, call: LeaderCall, timeout: Duration) -> Result<LeaderReply, CallFailure> {
        let (sender, result) = flume::bounded(1);
        self.call_with_callback(call, timeout, Box::new(move |result| drop(sender.send(result))));
        result.recv().unwrap_or_else(|_| Err(stopped()))
    }

    /// Runs `query` on the control thread and returns its result; `None` if the thread has stopped or doesn't respond.
    pub(crate) fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&super::thread::ControlThread) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, result) = flume::bounded(1);
        let query: LocalQuery = Box::new(move |thread| drop(sender.send(query(thread))));
        self.events.send(ControlEvent::Query(query)).ok()?;
        result.recv_timeout(Duration::from_secs(2)).ok()
    }

    /// Returns the event queue, for threads that send events themselves.
    pub(crate) fn events(&self) -> &Sender<ControlEvent> {
        &self.events
    }
}

fn stopped() -> CallFailure {
    CallFailure::Unknown("this entry is stopping".to_owned())
}
