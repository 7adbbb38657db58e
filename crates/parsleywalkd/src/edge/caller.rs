//! The server for callers, endpoints and workers.
//!
//! It uses `hyper`, not `rouille`: `rouille` occupies a thread for each open connection and has no timeout for reading a
//! body, so that a few slow senders block all other callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};

use super::routes::{self, CallerContext};
use crate::{DaemonError, Result};

/// Number of threads of the server's runtime. They only parse requests and pass them on to other threads.
const SERVER_THREADS: usize = 2;

/// Maximum number of connections waiting to be accepted. With the library's default of 1,024, a burst of idle connections
/// made other callers wait a second for the retransmission of their first packet.
const LISTEN_BACKLOG: u32 = 4096;

/// Backoff after a failed accept, for example when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time limit for refusing a connection beyond the connection limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of connections being refused at the same time, because each holds a socket. Further ones are closed
/// immediately.
const MAX_REFUSALS: usize = 256;

/// The response to a connection beyond the limit. "Not run" is correct, because the request is never read.
const CONNECTION_LIMIT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n\
Connection: close\r\nContent-Length: 73\r\n\r\n\
{\"outcome\":\"not_run\",\"reason\":\"too many open connections at this entry\"}\n";

/// The running server for callers, endpoints and workers.
pub(crate) struct CallerServer {
    runtime: Option<Runtime>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    limit: usize,
}

impl CallerServer {
    pub(crate) fn start(address: SocketAddr, context: CallerContext) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(SERVER_THREADS)
            .thread_name("callers")
            .enable_all()
            .build()
            .map_err(|cause| DaemonError::Thread { step: "start caller server", cause })?;
        let listen_error = |cause: std::io::Error| DaemonError::Listen {
            step: "listen for callers",
            address,
            reason: cause.to_string(),
        };
        let listener = {
            let _guard = runtime.enter();
            listen(address).map_err(listen_error)?
        };
        let address = listener.local_addr().map_err(listen_error)?;
        let (stop, stopped) = watch::channel(false);
        let limit = context.limits.connections;
        let connections = Arc::new(Semaphore::new(limit));
        runtime.spawn(accept(listener, Arc::new(context), Arc::clone(&connections), stopped));
        Ok(Self { runtime: Some(runtime), address, stop, connections, limit })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.limit - self.connections.available_permits()
    }

    /// Stops accepting connections, closes idle ones, and waits up to `timeout` until the others have finished their
    /// request.
    pub(crate) fn stop(&self, timeout: Duration) {
        self.stop.send_replace(true);
        let Some(runtime) = &self.runtime else { return };
        let all = u32::try_from(self.limit).unwrap_or(u32::MAX);
        let closed =
            runtime.block_on(async { tokio::time::timeout(timeout, self.connections.acquire_many(all)).await.is_ok() });
        info!("event=caller_edge_stopped all_closed={closed}");
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the server stops.
async fn accept(
    listener: TcpListener,
    context: Arc<CallerContext>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_signal(&mut stopped) => return,
        };
        let Ok((socket, peer)) = accepted else {
            warn!("event=caller_accept_failed");
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            context.metrics.record_refusal("connections");
            if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                tokio::spawn(async move {
                    refuse(socket).await;
                    drop(permit);
                });
            }
            continue;
        };
        let (context, stopped) = (Arc::clone(&context), stopped.clone());
        tokio::spawn(async move {
            serve(socket, peer, context, stopped).await;
            drop(permit);
        });
    }
}

/// Completes when the server stops.
async fn stop_signal(stopped: &mut watch::Receiver<bool>) {
    drop(stopped.wait_for(|stop| *stop).await);
}

/// Refuses a connection, then discards what the caller sends for a while.
///
/// Closing a socket with unread input resets the connection, so a caller that is still sending could not read the
/// refusal.
async fn refuse(mut socket: TcpStream) {
    let refusal = async {
        socket.write_all(CONNECTION_LIMIT_RESPONSE).await?;
        socket.shutdown().await?;
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        while socket.read(&mut buffer).await? > 0 {}
        std::io::Result::Ok(())
    };
    // An error means that the caller has left; a caller that keeps sending is cut off at the timeout.
    drop(tokio::time::timeout(REFUSAL_TIMEOUT, refusal).await);
}

/// Serves one connection until it closes or the server stops.
async fn serve(socket: TcpStream, peer: SocketAddr, context: Arc<CallerContext>, mut stopped: watch::Receiver<bool>) {
    drop(socket.set_nodelay(true));
    let head_timeout = context.limits.head_timeout.as_duration();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(routes::handle(&context, peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop_signal(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended peer={peer} error={:?}", error.to_string());
    }
}
