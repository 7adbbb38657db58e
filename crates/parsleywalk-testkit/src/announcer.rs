//! Announcements of the fake endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use parsleywalk_api::{AnnounceReply, AnnounceRequest};

use crate::client;

/// The timeout of one announcement, so that an unresponsive entry daemon does not let the announcement expire at the
/// others.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the renewal loop checks whether it has been stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Announces one endpoint to all entry daemons that it knows.
#[derive(Debug)]
pub(crate) struct EndpointAnnouncer {
    request: AnnounceRequest,
    entries: Mutex<Vec<SocketAddr>>,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

impl EndpointAnnouncer {
    pub(crate) const fn new(request: AnnounceRequest, entries: Vec<SocketAddr>) -> Self {
        Self { request, entries: Mutex::new(entries), leaving: AtomicBool::new(false), stopped: AtomicBool::new(false) }
    }

    /// Renews the announcement until [`EndpointAnnouncer::stop`] is called.
    pub(crate) fn run(&self) {
        let pause = self.request.ttl.as_duration() / 3;
        while !self.stopped.load(Ordering::SeqCst) {
            self.announce();
            let next = Instant::now() + pause;
            while Instant::now() < next && !self.stopped.load(Ordering::SeqCst) {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Announces the endpoint once to each known entry daemon and returns how many accepted.
    pub(crate) fn announce(&self) -> usize {
        let request = AnnounceRequest { leaving: self.leaving.load(Ordering::SeqCst), ..self.request.clone() };
        let mut accepted = 0;
        for entry in self.known_entries() {
            match client::post::<_, AnnounceReply>(entry, "/v1/endpoints", &request, CALL_TIMEOUT) {
                Ok(reply) => {
                    accepted += 1;
                    self.add_entries(reply.entries);
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

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn known_entries(&self) -> Vec<SocketAddr> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add_entries(&self, new_entries: Vec<SocketAddr>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in new_entries {
            if !entries.contains(&entry) {
                entries.push(entry);
            }
        }
    }
}
