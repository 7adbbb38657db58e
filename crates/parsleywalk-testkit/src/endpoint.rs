//! A stand-in for an endpoint.

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

/// How often the listener and silent requests look whether the endpoint has been stopped.
const POLL: Duration = Duration::from_millis(20);
/// The longest that a silent request keeps its thread.
const SILENCE_LIMIT: Duration = Duration::from_mins(2);

/// A request that an endpoint ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RanRequest {
    /// The id that the entry gave to the dispatch; empty where it gave none.
    pub id: String,
    /// The body.
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

/// A stand-in for an endpoint: serves requests on a loopback port and announces itself.
///
/// Dropping it stops it without leaving, as the loss of its VM would.
#[derive(Debug)]
pub struct FakeEndpoint {
    address: SocketAddr,
    core: Arc<EndpointCore>,
    announcer: Arc<EndpointAnnouncer>,
}

impl FakeEndpoint {
    /// Listens on a free loopback port and starts to announce the endpoint.
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
                server.poll_timeout(POLL);
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

    /// Changes how later requests are answered.
    pub fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        *lock(&self.core.behaviour) = behaviour;
    }

    /// Announces that the endpoint is leaving and returns how many entries accepted that. It serves what still arrives.
    #[must_use]
    pub fn leave(&self) -> usize {
        self.announcer.leave()
    }

    /// Stops listening and announcing, as the loss of its VM would.
    pub fn stop(&self) {
        self.announcer.end();
        self.core.stopped.store(true, Ordering::SeqCst);
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests that it has run, in order.
    #[must_use]
    pub fn ran(&self) -> Vec<RanRequest> {
        lock(&self.core.ran).clone()
    }

    /// How often it has run a request with this body.
    #[must_use]
    pub fn ran_count(&self, body: &[u8]) -> usize {
        lock(&self.core.ran).iter().filter(|request| request.body == body).count()
    }

    /// How many requests it is serving.
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
            return Response::text("the body did not arrive whole").with_status_code(400);
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
        let end = Instant::now() + SILENCE_LIMIT;
        while !self.stopped.load(Ordering::SeqCst) && Instant::now() < end {
            thread::sleep(POLL);
        }
    }
}

/// Fails each read, which makes the server drop the connection in the middle of a body.
struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
