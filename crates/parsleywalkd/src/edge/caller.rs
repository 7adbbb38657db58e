//! The server for callers, endpoints and workers.
//!
//! It is built on `hyper` in place of `rouille`, which spends a thread on each open connection and has no time-out for
//! a body: a few slow senders stop it for everybody.

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

use super::routes::{self, EdgeContext};
use crate::{DaemonError, Result};

/// Threads of the edge's runtime; they parse and hand over, and do no work of their own.
const EDGE_THREADS: usize = 2;

/// Connections that wait to be accepted. With the library's 1,024 a burst of idle connections made other callers wait
/// a second for the retransmission of their first packet.
const BACKLOG: u32 = 4096;

/// The wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The longest that a connection beyond the limit is kept for its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are discarded at a time.
const DISCARD_BUFFER: usize = 16 * 1024;

/// Refusals that may be under way; connections beyond these are closed at once, since each holds a socket.
const REFUSAL_LIMIT: usize = 256;

/// Sent to a connection beyond the limit. It is true: nothing of its request was read.
const FULL_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n\
Connection: close\r\nContent-Length: 73\r\n\r\n\
{\"outcome\":\"not_run\",\"reason\":\"too many open connections at this entry\"}\n";

/// The running server. It stops accepting and closes idle connections on [`CallerServer::stop`].
pub(crate) struct CallerServer {
    runtime: Option<Runtime>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    limit: usize,
}

impl CallerServer {
    pub(crate) fn start(address: SocketAddr, context: EdgeContext) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(EDGE_THREADS)
            .thread_name("callers")
            .enable_all()
            .build()
            .map_err(|cause| DaemonError::Thread { step: "start caller edge", cause })?;
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

    /// Refuses new connections, lets each open one finish its request, and waits for all to close.
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
    socket.listen(BACKLOG)
}

async fn accept(
    listener: TcpListener,
    context: Arc<EdgeContext>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let refusals = Arc::new(Semaphore::new(REFUSAL_LIMIT));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_signal(&mut stopped) => return,
        };
        let Ok((socket, peer)) = accepted else {
            warn!("event=caller_accept_failed");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            context.metrics.refusal("connections");
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

/// Completes once the server stops.
async fn stop_signal(stopped: &mut watch::Receiver<bool>) {
    drop(stopped.wait_for(|stop| *stop).await);
}

/// Refuses a connection and then discards what its caller sends for a while. Closing a socket with unread bytes resets
/// the connection, and a caller that is still sending would not get to read the refusal.
async fn refuse(mut socket: TcpStream) {
    let refusal = async {
        socket.write_all(FULL_ANSWER).await?;
        socket.shutdown().await?;
        let mut buffer = vec![0; DISCARD_BUFFER];
        while socket.read(&mut buffer).await? > 0 {}
        std::io::Result::Ok(())
    };
    // The caller may have left already, and one that sends on past the time is cut off.
    drop(tokio::time::timeout(REFUSAL_TIMEOUT, refusal).await);
}

async fn serve(socket: TcpStream, peer: SocketAddr, context: Arc<EdgeContext>, mut stopped: watch::Receiver<bool>) {
    drop(socket.set_nodelay(true));
    let head_timeout = context.limits.head_timeout.as_duration();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(routes::answer(&context, peer, request).await) }
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
