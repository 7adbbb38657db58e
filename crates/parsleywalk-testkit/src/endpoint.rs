//! A fake endpoint.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use parsleywalk_api::{AnnounceRequest, headers};
use rouille::{Request, Response, ResponseBody};

use crate::announcer::EndpointAnnouncer;
use crate::{EndpointBehaviour, EndpointSettings, Result, TestkitError};

/// How often the listener and unanswered requests check whether the endpoint has been stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time for which an unanswered request blocks its thread.
const MAX_SILENCE: Duration = Duration::from_mins(2);

/// A request that a fake endpoint has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RanRequest {
    /// The id that the entry daemon assigned to the dispatch; empty if it sent none.
    pub id: String,
    /// The request body.
    pub body: Vec<u8>,
}

#[derive(Debug)]
struct EndpointCore {
    slots: u32,
    service_time: Duration,
    behaviour: Mutex<EndpointBehaviour>,
    serving: AtomicU32,
    ran: Mutex<Vec<RanRequest>>,
    stopped: AtomicBool,
}

/// A fake endpoint, which serves requests on a loopback port and announces itself to entry daemons.
///
/// Dropping it has the effect of [`FakeEndpoint::stop`].
#[derive(Debug)]
pub struct FakeEndpoint {
    address: SocketAddr,
    core: Arc<EndpointCore>,
    announcer: Arc<EndpointAnnouncer>,
}

impl FakeEndpoint {
    /// Starts an endpoint on a free loopback port and begins to announce it.
    ///
    /// # Errors
    ///
    /// Fails when no port can be opened.
    pub fn start(settings: EndpointSettings) -> Result<Self> {
        let core = Arc::new(EndpointCore {
            slots: settings.slots,
            service_time: settings.service_time,
            behaviour: Mutex::new(settings.behaviour),
            serving: AtomicU32::new(0),
            ran: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        });
        let handler = Arc::clone(&core);
        let server = rouille::Server::new("127.0.0.1:0", move |request| handler.serve(request))
            .map_err(|error| TestkitError::Listen { reason: error.to_string() })?;
        let address = server.server_addr();
        let listener = Arc::clone(&core);
        thread::spawn(move || {
            while !listener.stopped.load(Ordering::SeqCst) {
                server.poll_timeout(POLL_INTERVAL);
            }
        });
        let announcement = AnnounceRequest {
            endpoint: settings.endpoint,
            incarnation: settings.incarnation,
            service: settings.service,
            address,
            slots: settings.slots,
            ttl: settings.ttl,
            leaving: false,
        };
        let announcer = Arc::new(EndpointAnnouncer::new(announcement, settings.entries));
        let renewal = Arc::clone(&announcer);
        thread::spawn(move || renewal.run());
        Ok(Self { address, core, announcer })
    }

    /// Sets the behaviour for further requests.
    pub fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        *lock(&self.core.behaviour) = behaviour;
    }

    /// Announces that the endpoint is leaving and returns how many entry daemons accepted that. Requests that still
    /// arrive are served.
    #[must_use]
    pub fn leave(&self) -> usize {
        self.announcer.leave()
    }

    /// Stops listening and announcing without leaving, as the loss of its VM would.
    pub fn stop(&self) {
        self.announcer.stop();
        self.core.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns the address on which the endpoint listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that it has run, in the order in which they started.
    #[must_use]
    pub fn ran(&self) -> Vec<RanRequest> {
        lock(&self.core.ran).clone()
    }

    /// Returns how many times it has run a request with this body.
    #[must_use]
    pub fn ran_count(&self, body: &[u8]) -> usize {
        lock(&self.core.ran).iter().filter(|request| request.body == body).count()
    }

    /// Returns how many requests it is serving now.
    #[must_use]
    pub fn serving(&self) -> u32 {
        self.core.serving.load(Ordering::SeqCst)
    }
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.stop();
    }
}

impl EndpointCore {
    fn serve(&self, request: &Request) -> Response {
        let id = request.header(headers::REQUEST_ID).unwrap_or_default().to_owned();
        if self.stopped.load(Ordering::SeqCst) {
            return Response::text("the endpoint has been stopped").with_status_code(500);
        }
        let load = self.serving.fetch_add(1, Ordering::SeqCst) + 1;
        let behaviour = *lock(&self.behaviour);
        let response = if load > self.slots || behaviour == EndpointBehaviour::Refuse {
            Response::text("refused").with_status_code(503).with_unique_header(headers::OUTCOME, "not_run")
        } else {
            self.run(request, behaviour, &id)
        };
        let load = self.serving.fetch_sub(1, Ordering::SeqCst) - 1;
        let id = if behaviour == EndpointBehaviour::WrongId { format!("{id}0") } else { id };
        response.with_unique_header(headers::REQUEST_ID, id).with_unique_header(headers::LOAD, load.to_string())
    }

    fn run(&self, request: &Request, behaviour: EndpointBehaviour, id: &str) -> Response {
        let mut body = Vec::new();
        if request.data().is_none_or(|mut data| data.read_to_end(&mut body).is_err()) {
            return Response::text("the request body is incomplete").with_status_code(400);
        }
        lock(&self.ran).push(RanRequest { id: id.to_owned(), body: body.clone() });
        thread::sleep(self.service_time);
        match behaviour {
            EndpointBehaviour::Delay(delay) => thread::sleep(delay),
            EndpointBehaviour::Silent => self.wait_for_stop(),
            _ => {}
        }
        let mut response = Response::from_data("application/octet-stream", body.clone());
        if behaviour == EndpointBehaviour::TruncatedBody {
            let length = body.len() + 64;
            response.data = ResponseBody::from_reader_and_size(io::Cursor::new(body).chain(FailingReader), length);
        }
        response
    }

    fn wait_for_stop(&self) {
        let end = Instant::now() + MAX_SILENCE;
        while !self.stopped.load(Ordering::SeqCst) && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Fails each read, which makes the server close the connection in the middle of a body.
struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
