//! An HTTP/1.1 server whose connections, heads and bodies are bounded.

use std::cell::Cell;
use std::convert::Infallible;
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

/// Connections that wait to be accepted; a burst beyond them waits for retransmissions of seconds.
const BACKLOG: u32 = 1024;
/// The wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The media type of most bodies.
const JSON: &str = "application/json";
/// The media type of metrics.
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Open connections.
    pub connections: usize,
    /// The time for a request's head, which also bounds how long a connection may be idle.
    pub head_timeout: Duration,
    /// The time for a request's body.
    pub body_timeout: Duration,
    /// The bytes of a request's body.
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

/// A request that was read in full.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method, path and headers.
    pub head: hyper::http::request::Parts,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// A header's text, if it is there and readable.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The path.
    #[must_use]
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }
}

/// A response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body; may be empty.
    pub body: Vec<u8>,
    /// What the body is.
    pub media_type: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl HttpResponse {
    /// A response with a status only.
    #[must_use]
    pub const fn status(status: u16) -> Self {
        Self { status, body: Vec::new(), media_type: JSON, retry_after: None }
    }

    /// A 200 with a JSON body.
    #[must_use]
    pub const fn json(body: Vec<u8>) -> Self {
        Self { status: 200, body, media_type: JSON, retry_after: None }
    }

    /// A 200 with a body of plain text.
    #[must_use]
    pub const fn text(body: Vec<u8>) -> Self {
        Self { status: 200, body, media_type: PLAIN_TEXT, retry_after: None }
    }

    /// The response with a time to come back.
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

/// Answers requests.
pub trait HttpHandler: 'static {
    /// Answers one request.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse>;
}

/// A server that runs on the caller's `LocalSet`.
pub struct HttpServer {
    connections: Rc<Semaphore>,
    limit: usize,
    requests: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
    closing: watch::Sender<bool>,
    accepting: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Listens and serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub fn start<H: HttpHandler>(address: SocketAddr, limits: HttpLimits, handler: Rc<H>) -> Result<Self> {
        let listener = listen(address).map_err(|cause| FleetError::Listen { address, cause })?;
        let (closing, closed) = watch::channel(false);
        let connections = Rc::new(Semaphore::new(limits.connections));
        let requests = Rc::new(Cell::new(0));
        let draining = Rc::new(Cell::new(false));
        let context = ConnectionContext {
            limits,
            handler,
            requests: Rc::clone(&requests),
            draining: Rc::clone(&draining),
            closed,
            slots: Rc::clone(&connections),
        };
        let accepting = tokio::task::spawn_local(accept(listener, Rc::new(context)));
        Ok(Self { connections, limit: limits.connections, requests, draining, closing, accepting })
    }

    /// Asks each caller to close its connection after the next answer. Connections are still accepted.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Accepts no further connections, and closes each open one once the request that it serves is answered.
    pub fn close(&self) {
        self.accepting.abort();
        self.closing.send_replace(true);
    }

    /// Waits until every connection is closed.
    pub async fn wait_closed(&self) {
        let all = u32::try_from(self.limit).unwrap_or(u32::MAX);
        drop(self.connections.acquire_many(all).await);
    }

    /// The requests in progress.
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
    socket.listen(BACKLOG)
}

async fn accept<H: HttpHandler>(listener: TcpListener, context: Rc<ConnectionContext<H>>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // Beyond the limit, further connections wait in the backlog.
                if context.slots.available_permits() == 0 {
                    warn!("event=connection_limit_reached limit={}", context.limits.connections);
                    drop(socket);
                    continue;
                }
                tokio::task::spawn_local(serve(socket, Rc::clone(&context)));
            }
            Err(error) => {
                warn!("event=accept_failed error={:?}", error.to_string());
                time::sleep(ACCEPT_PAUSE).await;
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
        async move { Ok::<_, Infallible>(answer(request, &context).await) }
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

async fn answer<H: HttpHandler>(request: Request<Incoming>, context: &ConnectionContext<H>) -> Response<Full<Bytes>> {
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
    let requests = &context.requests;
    requests.set(requests.get() + 1);
    let answer = context.handler.handle(HttpRequest { head, body }).await;
    requests.set(requests.get() - 1);
    let mut response = answer.into_response();
    if context.draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
