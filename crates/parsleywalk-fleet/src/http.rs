//! An HTTP/1.1 server with limits on connections, heads and bodies.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time;

use crate::{FleetError, Result};

/// The number of connections that can wait to be accepted. A burst beyond this waits for TCP retransmissions, which
/// take seconds.
const LISTEN_BACKLOG: u32 = 1024;
/// The delay after a failed accept, for example one caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How often the connection is read before a request is handled that must not outlive it. The first reads may still
/// complete the body.
const END_CHECKS: usize = 3;

/// The media type of JSON bodies.
const JSON: &str = "application/json";
/// The media type of metrics.
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

/// The limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum time to read a request's head, which also limits how long a connection may be idle.
    pub head_timeout: Duration,
    /// The maximum time to read a request's body.
    pub body_timeout: Duration,
    /// The maximum size of a request's body in bytes.
    pub body_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 3000,
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(3),
            body_bytes: 1024 * 1024,
        }
    }
}

/// A completely received request. `Debug` hides the headers and the body, which may hold keys.
pub struct HttpRequest {
    /// The method, URI and headers.
    pub head: hyper::http::request::Parts,
    /// The complete body.
    pub body: Bytes,
}

impl Debug for HttpRequest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("HttpRequest");
        debug.field("method", &self.head.method).field("path", &self.path());
        debug.field("body_bytes", &self.body.len()).finish_non_exhaustive()
    }
}

impl HttpRequest {
    /// Returns the value of a header, or `None` if it is missing or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the path of the request's URI.
    #[must_use]
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }
}

/// A response to an HTTP request. `Debug` hides the body, which may hold keys.
#[derive(Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body; may be empty.
    pub body: Vec<u8>,
    /// The media type of the body.
    pub media_type: &'static str,
    /// The value of the `Retry-After` header, rounded up to seconds; `None` omits the header.
    pub retry_after: Option<Duration>,
}

impl Debug for HttpResponse {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("HttpResponse");
        debug.field("status", &self.status).field("body_bytes", &self.body.len());
        debug.field("media_type", &self.media_type).field("retry_after", &self.retry_after).finish()
    }
}

impl HttpResponse {
    /// Creates a response with an empty body.
    #[must_use]
    pub const fn status(status: u16) -> Self {
        Self { status, body: Vec::new(), media_type: JSON, retry_after: None }
    }

    /// Creates a response with status 200 and a JSON body.
    #[must_use]
    pub const fn json(body: Vec<u8>) -> Self {
        Self { status: 200, body, media_type: JSON, retry_after: None }
    }

    /// Creates a response with status 200 and a plain-text body.
    #[must_use]
    pub const fn text(body: Vec<u8>) -> Self {
        Self { status: 200, body, media_type: PLAIN_TEXT, retry_after: None }
    }

    /// Sets the `Retry-After` header of the response.
    #[must_use]
    pub const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.media_type));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Handler of HTTP requests.
pub trait HttpHandler: 'static {
    /// Returns the response to a request.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse>;

    /// Returns true if a request with this path is handled even if its connection has ended, so that nobody gets the
    /// response. Any other request is then dropped, because its caller has given up on it.
    fn outlives_connection(&self, _path: &str) -> bool {
        false
    }
}

/// An HTTP server whose tasks run on the caller's `LocalSet`.
pub struct HttpServer {
    slots: Rc<Semaphore>,
    connection_limit: usize,
    requests: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
    closing: watch::Sender<bool>,
    accepting: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start<H: HttpHandler>(address: SocketAddr, limits: HttpLimits, handler: Rc<H>) -> Result<Self> {
        let listener = listen(address).map_err(|cause| FleetError::Listen { address, cause })?;
        let (closing, closed) = watch::channel(false);
        let slots = Rc::new(Semaphore::new(limits.connections));
        let requests = Rc::new(Cell::new(0));
        let draining = Rc::new(Cell::new(false));
        let context = ConnectionContext {
            limits,
            handler,
            requests: Rc::clone(&requests),
            draining: Rc::clone(&draining),
            closed,
            slots: Rc::clone(&slots),
        };
        let accepting = tokio::task::spawn_local(accept(listener, Rc::new(context)));
        Ok(Self { slots, connection_limit: limits.connections, requests, draining, closing, accepting })
    }

    /// Adds `Connection: close` to all further responses. Connections are still accepted.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Stops accepting connections and closes each open one once its current request is answered.
    pub fn close(&self) {
        self.accepting.abort();
        self.closing.send_replace(true);
    }

    /// Waits until every connection is closed.
    pub async fn wait_closed(&self) {
        let all = u32::try_from(self.connection_limit).unwrap_or(u32::MAX);
        drop(self.slots.acquire_many(all).await);
    }

    /// Returns the number of requests being handled.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.requests.get()
    }
}

struct ConnectionContext<H> {
    limits: HttpLimits,
    handler: Rc<H>,
    requests: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
    closed: watch::Receiver<bool>,
    slots: Rc<Semaphore>,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept<H: HttpHandler>(listener: TcpListener, context: Rc<ConnectionContext<H>>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // A connection beyond the limit is closed at once.
                if context.slots.available_permits() == 0 {
                    warn!("event=connection_limit_reached limit={}", context.limits.connections);
                    drop(socket);
                    continue;
                }
                tokio::task::spawn_local(serve(socket, Rc::clone(&context)));
            }
            Err(error) => {
                warn!("event=accept_failed error={:?}", error.to_string());
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve<H: HttpHandler>(socket: TcpStream, context: Rc<ConnectionContext<H>>) {
    let Ok(_slot) = context.slots.try_acquire() else { return };
    if let Err(error) = socket.set_nodelay(true) {
        info!("event=connection_lost error={:?}", error.to_string());
        return;
    }
    let shared = Rc::clone(&context);
    let service = service_fn(move |request: Request<Incoming>| {
        let context = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(request, context).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(context.limits.head_timeout);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(socket), service));
    let mut closed = context.closed.clone();
    let served = tokio::select! {
        served = connection.as_mut() => served,
        _ = closed.wait_for(|closed| *closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("event=connection_ended error={:?}", error.to_string());
    }
}

async fn respond<H: HttpHandler>(
    request: Request<Incoming>,
    context: Rc<ConnectionContext<H>>,
) -> Response<Full<Bytes>> {
    // Hyper drops this future at the end of the connection, but not the task.
    let handled = if context.handler.outlives_connection(request.uri().path()) {
        let task = tokio::task::spawn_local(async move { receive_and_handle(request, &context, 0).await });
        task.await
    } else {
        Ok(receive_and_handle(request, &context, END_CHECKS).await)
    };
    handled.unwrap_or_else(|error| {
        warn!("event=request_failed error={:?}", error.to_string());
        HttpResponse::status(500).into_response()
    })
}

/// Reads the body of a request, reads the connection `end_checks` times more and handles the request.
async fn receive_and_handle<H: HttpHandler>(
    request: Request<Incoming>,
    context: &ConnectionContext<H>,
    end_checks: usize,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let limits = &context.limits;
    let collected = time::timeout(limits.body_timeout, Limited::new(body, limits.body_bytes).collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            info!("event=body_refused error={:?}", error.to_string());
            return HttpResponse::status(413).into_response();
        }
        Err(_) => return HttpResponse::status(408).into_response(),
    };
    // The bytes of a caller that has given up can arrive late, with the end of its connection right behind them. Hyper
    // reads the connection each time before it polls this future, and drops the future at the end of the connection.
    for _ in 0..end_checks {
        tokio::task::yield_now().await;
    }
    let requests = &context.requests;
    requests.set(requests.get() + 1);
    let response = context.handler.handle(HttpRequest { head, body }).await;
    requests.set(requests.get() - 1);
    let mut response = response.into_response();
    if context.draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
