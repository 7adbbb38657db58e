//! Incoming connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flume::Sender;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::frame::FrameBuffer;
use crate::hello::{StreamHello, tokens_match};
use crate::{
    PeerError, PeerIdentity, PeerMessage, PeerSettings, ReceivedCall, ReceivedMessage, Result, call, frame, keepalive,
};

/// The flow-control window of a stream, and half that of a connection. A snapshot chunk fits into it.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// The keepalive interval of an accepted connection as a multiple of the setting. The peer that opened the connection
/// detects its failure; here, keepalive only frees the memory of dead connections, of which a leader has hundreds.
const INBOUND_KEEPALIVE_FACTOR: u32 = 8;

/// The delay after a failed accept, for example when no file descriptor is available, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// The queues for received messages and calls.
#[derive(Debug)]
pub(crate) struct PeerInbox<M> {
    pub(crate) messages: Sender<ReceivedMessage<M>>,
    pub(crate) calls: Sender<ReceivedCall>,
}

impl<M> Clone for PeerInbox<M> {
    fn clone(&self) -> Self {
        Self { messages: self.messages.clone(), calls: self.calls.clone() }
    }
}

/// Accepts connections until the task is dropped.
pub(crate) async fn accept<M: PeerMessage>(settings: Arc<PeerSettings>, listener: TcpListener, inbox: PeerInbox<M>) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                tokio::task::spawn_local(serve_connection(Arc::clone(&settings), socket, peer, inbox.clone()));
            }
            Err(error) => {
                warn!("event=peer_accept_failed error={:?}", error.to_string());
                time::sleep(time::Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection<M: PeerMessage>(
    settings: Arc<PeerSettings>,
    socket: TcpStream,
    peer: SocketAddr,
    inbox: PeerInbox<M>,
) {
    if let Err(error) = accept_streams(&settings, socket, peer, &inbox).await {
        warn!("event=peer_connection_ended peer={peer} error={:?}", error.to_string());
    }
}

async fn accept_streams<M: PeerMessage>(
    settings: &Arc<PeerSettings>,
    socket: TcpStream,
    peer: SocketAddr,
    inbox: &PeerInbox<M>,
) -> Result<()> {
    let stream_error = |cause| PeerError::Stream { step: "accept", peer, cause };
    socket.set_nodelay(true).map_err(|cause| PeerError::Io { step: "accept", peer, cause })?;
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(STREAM_WINDOW_BYTES).initial_connection_window_size(2 * STREAM_WINDOW_BYTES);
    let handshake = time::timeout(settings.connect_timeout, builder.handshake::<_, Bytes>(socket)).await;
    let mut connection =
        handshake.map_err(|_| PeerError::Timeout { step: "handshake", peer })?.map_err(stream_error)?;
    let ping_pong = connection.ping_pong().ok_or(PeerError::Closed { peer })?;
    let interval = settings.keepalive_interval * INBOUND_KEEPALIVE_FACTOR;
    let mut keepalive = std::pin::pin!(keepalive::run(ping_pong, peer, interval, settings.keepalive_timeout));
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            error = &mut keepalive => return Err(error),
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, response) = accepted.map_err(stream_error)?;
        tokio::task::spawn_local(serve_stream(Arc::clone(settings), request, response, peer, inbox.clone()));
    }
}

async fn serve_stream<M: PeerMessage>(
    settings: Arc<PeerSettings>,
    request: Request<RecvStream>,
    response: SendResponse<Bytes>,
    peer: SocketAddr,
    inbox: PeerInbox<M>,
) {
    let (head, body) = request.into_parts();
    let is_call = head.uri.path() == call::CALL_PATH;
    let received = if is_call {
        call::serve(&settings, &head.headers, body, response, peer, &inbox.calls).await
    } else {
        // Held until the stream ends, because dropping it would reset the stream.
        let _response = response;
        receive_messages(&settings, body, peer, &inbox.messages).await
    };
    if let Err(error) = received {
        warn!("event=peer_stream_ended peer={peer} error={:?}", error.to_string());
    }
}

async fn receive_messages<M: PeerMessage>(
    settings: &PeerSettings,
    mut body: RecvStream,
    peer: SocketAddr,
    inbox: &Sender<ReceivedMessage<M>>,
) -> Result<()> {
    let mut buffer = FrameBuffer::new(settings.frame_limit);
    let mut identity: Option<PeerIdentity> = None;
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|cause| PeerError::Stream { step: "receive", peer, cause })?;
        buffer.extend(&chunk);
        while let Some(bytes) = buffer.next_frame().map_err(|reason| PeerError::Frame { peer, reason })? {
            let Some(from) = &identity else {
                identity = Some(check_hello(settings, &bytes, peer)?);
                continue;
            };
            let message = frame::decode(&bytes).map_err(|reason| PeerError::Frame { peer, reason })?;
            let received = ReceivedMessage { from: from.clone(), message };
            if inbox.send_async(received).await.is_err() {
                return Ok(());
            }
        }
        // The window is released only after the inbox accepted the messages, which applies back-pressure to the sender.
        let release = body.flow_control().release_capacity(chunk.len());
        release.map_err(|cause| PeerError::Stream { step: "receive", peer, cause })?;
    }
    Ok(())
}

fn check_hello(settings: &PeerSettings, bytes: &[u8], peer: SocketAddr) -> Result<PeerIdentity> {
    let hello: StreamHello = frame::decode(bytes).map_err(|reason| PeerError::Frame { peer, reason })?;
    if tokens_match(&hello.token, &settings.token) { Ok(hello.identity) } else { Err(PeerError::Token { peer }) }
}
