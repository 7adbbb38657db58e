//! How the rest of the daemon reaches the control thread.

use std::time::Duration;

use flume::Sender;
use parsleywalk_coordinator::{CallFailure, LeaderCall, LeaderReply};

use super::event::{CallDone, ControlEvent, LocalQuery};

/// Sends events to the control thread. Cloning shares the queue.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    events: Sender<ControlEvent>,
}

impl ControlHandle {
    pub(crate) fn new(events: Sender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Makes a call to the leader, wherever it is, and hands the result to `done` exactly once.
    pub(crate) fn call_then(&self, call: LeaderCall, timeout: Duration, done: CallDone) {
        if let Err(flume::TrySendError::Full(ControlEvent::Call { done, .. })) =
            self.events.try_send(ControlEvent::Call { call, timeout, done })
        {
            done(Err(CallFailure::NotSent("this entry's control queue is full".to_owned())));
        }
    }

    /// Makes a call to the leader and waits for the result without blocking the thread.
    pub(crate) async fn call(&self, call: LeaderCall, timeout: Duration) -> Result<LeaderReply, CallFailure> {
        let (sender, result) = flume::bounded(1);
        self.call_then(call, timeout, Box::new(move |result| drop(sender.send(result))));
        result.recv_async().await.unwrap_or_else(|_| Err(stopped()))
    }

    /// Makes a call to the leader and blocks the thread until there is a result.
    pub(crate) fn call_blocking(&self, call: LeaderCall, timeout: Duration) -> Result<LeaderReply, CallFailure> {
        let (sender, result) = flume::bounded(1);
        self.call_then(call, timeout, Box::new(move |result| drop(sender.send(result))));
        result.recv().unwrap_or_else(|_| Err(stopped()))
    }

    /// Asks this daemon's own state; `None` when the thread has stopped or is stuck.
    pub(crate) fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&super::thread::ControlThread) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, result) = flume::bounded(1);
        let query: LocalQuery = Box::new(move |thread| drop(sender.send(query(thread))));
        self.events.send(ControlEvent::Query(query)).ok()?;
        result.recv_timeout(Duration::from_secs(2)).ok()
    }

    /// The queue of events, for threads that report to the control thread.
    pub(crate) fn events(&self) -> &Sender<ControlEvent> {
        &self.events
    }
}

fn stopped() -> CallFailure {
    CallFailure::Unknown("this entry is stopping".to_owned())
}
