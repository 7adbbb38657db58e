//! Outgoing connections.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flume::Receiver;
use h2::SendStream;
use h2::client::SendRequest;
use http::Request;
use log::{info, warn};
use tokio::net::TcpStream;
use tokio::time;

use crate::hello::StreamHello;
use crate::{PeerError, PeerSettings, Result, frame, keepalive};

/// The outgoing link to one peer. It connects, sends queued messages, and reconnects after a failure.
pub(crate) struct PeerLink {
    settings: Arc<PeerSettings>,
    peer: SocketAddr,
    control: Receiver<Bytes>,
    bulk: Receiver<Bytes>,
}

impl PeerLink {
    pub(crate) fn new(
        settings: Arc<PeerSettings>,
        peer: SocketAddr,
        control: Receiver<Bytes>,
        bulk: Receiver<Bytes>,
    ) -> Self {
        Self { settings, peer, control, bulk }
    }

    pub(crate) async fn run(self) {
        let mut failure_logged = false;
        loop {
            let Err(error) = self.connect_and_send(&mut failure_logged).await;
            if self.control.is_disconnected() {
                return;
            }
            if !failure_logged {
                warn!("event=peer_link_lost peer={} error={:?}", self.peer, error.to_string());
                failure_logged = true;
            }
            time::sleep(self.settings.reconnect_delay).await;
        }
    }

    async fn connect_and_send(&self, failure_logged: &mut bool) -> Result<std::convert::Infallible> {
        let peer = self.peer;
        let opened = time::timeout(self.settings.connect_timeout, connect(peer)).await;
        let (request, mut connection) = opened.map_err(|_| PeerError::Timeout { step: "connect", peer })??;
        // Messages queued while the link was down are stale, and their protocols repeat them. A restarted peer must not
        // take a heartbeat from before its start for the current state of the log.
        self.control.drain();
        self.bulk.drain();
        let ping_pong = connection.ping_pong().ok_or(PeerError::Closed { peer })?;
        let (interval, timeout) = (self.settings.keepalive_interval, self.settings.keepalive_timeout);
        let streams = async {
            let control = self.open_stream(request.clone(), "/control").await?;
            let bulk = self.open_stream(request, "/bulk").await?;
            info!("event=peer_link_up peer={peer}");
            *failure_logged = false;
            tokio::try_join!(send_all(control, &self.control, peer), send_all(bulk, &self.bulk, peer))
        };
        tokio::select! {
            ended = connection => Err(match ended {
                Ok(()) => PeerError::Closed { peer },
                Err(cause) => PeerError::Stream { step: "connection", peer, cause },
            }),
            error = keepalive::run(ping_pong, peer, interval, timeout) => Err(error),
            sent = streams => match sent {
                Err(error) => Err(error),
                Ok(_) => Err(PeerError::Closed { peer }),
            },
        }
    }

    async fn open_stream(&self, request: SendRequest<Bytes>, path: &str) -> Result<SendStream<Bytes>> {
        let stream_error = |cause| PeerError::Stream { step: "open stream", peer: self.peer, cause };
        let head = Request::post(format!("http://peer{path}")).body(()).expect("a valid request");
        let mut request = request.ready().await.map_err(stream_error)?;
        let (_, mut stream) = request.send_request(head, false).map_err(stream_error)?;
        let hello = StreamHello { identity: self.settings.identity(), token: self.settings.token.clone() };
        let bytes = frame::encode(&hello).map_err(|reason| PeerError::Frame { peer: self.peer, reason })?;
        send(&mut stream, bytes, self.peer).await?;
        Ok(stream)
    }
}

pub(crate) type Connection = h2::client::Connection<TcpStream, Bytes>;

pub(crate) async fn connect(peer: SocketAddr) -> Result<(SendRequest<Bytes>, Connection)> {
    let io_error = |cause| PeerError::Io { step: "connect", peer, cause };
    let socket = TcpStream::connect(peer).await.map_err(io_error)?;
    socket.set_nodelay(true).map_err(io_error)?;
    h2::client::handshake(socket).await.map_err(|cause| PeerError::Stream { step: "handshake", peer, cause })
}

async fn send_all(mut stream: SendStream<Bytes>, queue: &Receiver<Bytes>, peer: SocketAddr) -> Result<()> {
    while let Ok(bytes) = queue.recv_async().await {
        send(&mut stream, bytes, peer).await?;
    }
    Ok(())
}

/// Sends bytes as the stream's flow-control window permits.
async fn send(stream: &mut SendStream<Bytes>, mut bytes: Bytes, peer: SocketAddr) -> Result<()> {
    let stream_error = |cause| PeerError::Stream { step: "send", peer, cause };
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(Ok(granted)) => granted.min(bytes.len()),
            Some(Err(cause)) => return Err(stream_error(cause)),
            None => return Err(PeerError::Closed { peer }),
        };
        stream.send_data(bytes.split_to(granted), false).map_err(stream_error)?;
    }
    Ok(())
}
