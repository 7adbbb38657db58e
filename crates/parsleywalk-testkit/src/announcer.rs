//! Announcements of the endpoint's stand-in.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use parsleywalk_api::{AnnounceReply, AnnounceRequest};

use crate::client;

/// Bounds one call to an entry, so that a silent entry does not use up the time to live at the others.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the renewal loop looks whether it is to end.
const POLL: Duration = Duration::from_millis(10);

/// Announces one endpoint to the entries that it knows.
#[derive(Debug)]
pub(crate) struct EndpointAnnouncer {
    request: AnnounceRequest,
    entries: Mutex<Vec<SocketAddr>>,
    leaving: AtomicBool,
    ended: AtomicBool,
}

impl EndpointAnnouncer {
    pub(crate) const fn new(request: AnnounceRequest, entries: Vec<SocketAddr>) -> Self {
        Self { request, entries: Mutex::new(entries), leaving: AtomicBool::new(false), ended: AtomicBool::new(false) }
    }

    /// Renews the announcement until it is told to end.
    pub(crate) fn run(&self) {
        let pause = self.request.ttl.as_duration() / 3;
        while !self.ended.load(Ordering::SeqCst) {
            self.announce();
            let next = Instant::now() + pause;
            while Instant::now() < next && !self.ended.load(Ordering::SeqCst) {
                std::thread::sleep(POLL);
            }
        }
    }

    /// Announces once to each known entry and returns how many accepted.
    pub(crate) fn announce(&self) -> usize {
        let request = AnnounceRequest { leaving: self.leaving.load(Ordering::SeqCst), ..self.request.clone() };
        let mut accepted = 0;
        for entry in self.known() {
            match client::post::<_, AnnounceReply>(entry, "/v1/endpoints", &request, CALL_TIMEOUT) {
                Ok(reply) => {
                    accepted += 1;
                    self.learn(reply.entries);
                }
                Err(error) => log::info!("event=announce_failed endpoint={} error={error:?}", request.endpoint),
            }
        }
        accepted
    }

    pub(crate) fn leave(&self) -> usize {
        self.leaving.store(true, Ordering::SeqCst);
        self.announce()
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    fn known(&self) -> Vec<SocketAddr> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn learn(&self, named: Vec<SocketAddr>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in named {
            if !entries.contains(&entry) {
                entries.push(entry);
            }
        }
    }
}
