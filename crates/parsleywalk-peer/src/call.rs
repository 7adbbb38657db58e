//! Calls between daemons. A call is an `h2` stream with one request frame and one reply frame.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request, Response};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Mutex, oneshot};
use tokio::time;

use crate::call_window::{CallWindow, ClockReading, RemoteClock, WindowHeader};
use crate::frame::{self, FrameBuffer};
use crate::hello::{StreamHello, tokens_match};
use crate::{DaemonRelease, PeerError, PeerIdentity, PeerSettings, Result, keepalive, outbound};

/// The HTTP path of the streams that are used for calls.
pub(crate) const CALL_PATH: &str = "/call";

/// A call received from a peer or an entry daemon. Dropping it without a reply resets its stream.
#[derive(Debug)]
pub struct ReceivedCall {
    /// The calling daemon.
    pub from: PeerIdentity,
    /// The time in which the call may take effect, on this daemon's clock; `None` if the caller's release sends none.
    pub window: Option<CallWindow>,
    /// The encoded request; see [`ReceivedCall::decode`].
    body: Bytes,
    reply: oneshot::Sender<Bytes>,
}

impl ReceivedCall {
    /// Decodes the request.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the frame does not contain a request of type `Q`.
    pub fn decode<Q: DeserializeOwned>(&self) -> std::result::Result<Q, String> {
        frame::decode(&self.body)
    }

    /// Sends the reply. Has no effect if the caller has disconnected.
    pub fn reply<R: Serialize>(self, reply: &R) {
        match frame::encode(reply) {
            Ok(bytes) => drop(self.reply.send(bytes)),
            Err(reason) => log::error!("event=call_reply_not_encoded error={reason:?}"),
        }
    }
}

quick_error! {
    /// The reason for which a call failed, by whether the peer may have received the request.
    #[derive(Debug)]
    pub enum CallError {
        /// No byte of the request was passed to a connection.
        NotSent(cause: PeerError) {
            display("call not sent: {}", cause)
            source(cause)
        }
        /// The peer may have received and executed the request.
        Unknown(cause: PeerError) {
            display("call without a reply: {}", cause)
            source(cause)
        }
    }
}

/// A client for calls to one daemon. It connects on the first call, keeps the connection open, and reconnects on the
/// next call after a failure.
///
/// Calls must be made on a `LocalSet`, which also runs the connection's task.
#[derive(Debug)]
pub struct CallClient {
    settings: Arc<PeerSettings>,
    peer: SocketAddr,
    connection: Arc<Mutex<Option<CallConnection>>>,
    remote_clock: Cell<RemoteClock>,
}

/// An open connection.
#[derive(Debug, Clone)]
struct CallConnection {
    sender: SendRequest<Bytes>,
    /// The release in the last reply, or 0 before the first. Another release may run at the other end of the next
    /// connection.
    release: Arc<AtomicU16>,
}

impl CallClient {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(settings: Arc<PeerSettings>, peer: SocketAddr) -> Self {
        Self { settings, peer, connection: Arc::default(), remote_clock: Cell::default() }
    }

    /// Returns the address of the daemon.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns true if a reply of the daemon has arrived, so that a call's window can be sent if the daemon knows
    /// windows.
    #[must_use]
    pub fn has_reply(&self) -> bool {
        self.remote_clock.get() != RemoteClock::Unknown
    }

    /// Returns the release of the daemon, or `None` if no reply has arrived on the open connection.
    #[must_use]
    pub fn remote_release(&self) -> Option<DaemonRelease> {
        // Locked only while a connection is being opened.
        let connection = self.connection.try_lock().ok()?;
        let number = connection.as_ref()?.release.load(Ordering::Relaxed);
        (number > 0).then(|| DaemonRelease::new(number))
    }

    /// Sends a request and waits for the reply. The window, on this daemon's clock, is sent along once a reply of the
    /// daemon has arrived; see [`CallClient::has_reply`].
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the request certainly did not reach the peer, and [`CallError::Unknown`]
    /// otherwise, including when no reply arrives within `timeout`.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        request: &Q,
        window: Option<CallWindow>,
        timeout: Duration,
    ) -> std::result::Result<R, CallError> {
        let peer = self.peer;
        let deadline = time::Instant::now() + timeout;
        let opened = time::timeout_at(deadline, self.open_stream(request, window)).await;
        let (response, stream, connection) =
            opened.unwrap_or(Err(PeerError::Timeout { step: "connect", peer })).map_err(CallError::NotSent)?;
        // Held until the reply has arrived, because dropping it would reset the stream.
        let _stream = stream;
        let received = time::timeout_at(deadline, receive_reply(response, self.settings.frame_limit, peer)).await;
        let ReceivedReply { reading, release, bytes } = match received {
            Ok(received) => received.map_err(CallError::Unknown)?,
            Err(_) => return Err(CallError::Unknown(PeerError::Timeout { step: "call", peer })),
        };
        let mut remote_clock = self.remote_clock.get();
        remote_clock.record(reading, self.settings.clock.now());
        self.remote_clock.set(remote_clock);
        connection.release.store(release.get(), Ordering::Relaxed);
        frame::decode(&bytes).map_err(|reason| CallError::Unknown(PeerError::Frame { peer, reason }))
    }

    async fn open_stream<Q: Serialize>(
        &self,
        request: &Q,
        window: Option<CallWindow>,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>, CallConnection)> {
        let peer = self.peer;
        let frame_error = |reason| PeerError::Frame { peer, reason };
        let stream_error = |cause| PeerError::Stream { step: "open call", peer, cause };
        let hello = StreamHello { identity: self.settings.identity(), token: self.settings.token.clone() };
        let hello = frame::encode(&hello).map_err(frame_error)?;
        let body = frame::encode(request).map_err(frame_error)?;
        let connection = self.connection().await?;
        let mut head = Request::post(format!("http://peer{CALL_PATH}")).body(()).expect("a valid request");
        if let Some(header) = window.and_then(|window| self.remote_clock.get().window_header(window)) {
            header.add_to(head.headers_mut());
        }
        let mut sender = connection.sender.clone().ready().await.map_err(stream_error)?;
        let (response, mut stream) = sender.send_request(head, false).map_err(stream_error)?;
        // Both frames are queued together; the connection sends them as flow control permits.
        let mut bytes = Vec::with_capacity(hello.len() + body.len());
        bytes.extend_from_slice(&hello);
        bytes.extend_from_slice(&body);
        stream.send_data(Bytes::from(bytes), true).map_err(stream_error)?;
        Ok((response, stream, connection))
    }

    /// Returns the open connection, connecting if there is none.
    async fn connection(&self) -> Result<CallConnection> {
        let peer = self.peer;
        let mut connection = self.connection.lock().await;
        if let Some(open) = connection.as_ref() {
            return Ok(open.clone());
        }
        let opened = time::timeout(self.settings.connect_timeout, outbound::connect(peer)).await;
        let (sender, mut driver) = opened.map_err(|_| PeerError::Timeout { step: "connect", peer })??;
        let ping_pong = driver.ping_pong().ok_or(PeerError::Closed { peer })?;
        let (interval, timeout) = (self.settings.keepalive_interval, self.settings.keepalive_timeout);
        let shared = Arc::downgrade(&self.connection);
        tokio::task::spawn_local(async move {
            let error = tokio::select! {
                ended = driver => ended.err().map_or(PeerError::Closed { peer }, |cause| PeerError::Stream {
                    step: "connection",
                    peer,
                    cause,
                }),
                error = keepalive::run(ping_pong, peer, interval, timeout) => error,
            };
            log::info!("event=call_link_lost peer={peer} error={:?}", error.to_string());
            if let Some(shared) = shared.upgrade() {
                *shared.lock().await = None;
            }
        });
        let open = CallConnection { sender, release: Arc::default() };
        *connection = Some(open.clone());
        Ok(open)
    }
}

/// A reply with what its headers say of the daemon.
struct ReceivedReply {
    /// The reading of the daemon's clock, if its release sends one.
    reading: Option<ClockReading>,
    release: DaemonRelease,
    bytes: Bytes,
}

async fn receive_reply(response: h2::client::ResponseFuture, limit: usize, peer: SocketAddr) -> Result<ReceivedReply> {
    let response = response.await.map_err(|cause| PeerError::Stream { step: "call", peer, cause })?;
    let reading = ClockReading::from_headers(response.headers());
    let release = DaemonRelease::from_headers(response.headers());
    let bytes = receive_frame(&mut response.into_body(), &mut FrameBuffer::new(limit), peer).await?;
    Ok(ReceivedReply { reading, release, bytes })
}

async fn receive_frame(body: &mut RecvStream, buffer: &mut FrameBuffer, peer: SocketAddr) -> Result<Bytes> {
    let receive_error = |cause| PeerError::Stream { step: "receive", peer, cause };
    loop {
        if let Some(bytes) = buffer.next_frame().map_err(|reason| PeerError::Frame { peer, reason })? {
            return Ok(bytes);
        }
        let chunk = body.data().await.ok_or(PeerError::Closed { peer })?.map_err(receive_error)?;
        buffer.extend(&chunk);
        body.flow_control().release_capacity(chunk.len()).map_err(receive_error)?;
    }
}

/// Receives a call on its stream, passes it on through `calls`, and sends the reply.
pub(crate) async fn serve(
    settings: &PeerSettings,
    headers: &HeaderMap,
    mut body: RecvStream,
    mut response: SendResponse<Bytes>,
    peer: SocketAddr,
    calls: &flume::Sender<ReceivedCall>,
) -> Result<()> {
    let mut buffer = FrameBuffer::new(settings.frame_limit);
    let hello = time::timeout(settings.connect_timeout, receive_frame(&mut body, &mut buffer, peer)).await;
    let hello = hello.map_err(|_| PeerError::Timeout { step: "hello", peer })??;
    let hello: StreamHello = frame::decode(&hello).map_err(|reason| PeerError::Frame { peer, reason })?;
    if !tokens_match(&hello.token, &settings.token) {
        return Err(PeerError::Token { peer });
    }
    let request = time::timeout(settings.connect_timeout, receive_frame(&mut body, &mut buffer, peer)).await;
    let request = request.map_err(|_| PeerError::Timeout { step: "request", peer })??;
    let (reply, replied) = oneshot::channel();
    let window = WindowHeader::window_from(headers, settings.incarnation);
    let call = ReceivedCall { from: hello.identity, window, body: request, reply };
    if calls.send_async(call).await.is_err() {
        return Ok(());
    }
    let Ok(bytes) = replied.await else { return Ok(()) };
    let send_error = |cause| PeerError::Stream { step: "reply", peer, cause };
    let mut head = Response::new(());
    ClockReading { incarnation: settings.incarnation, time: settings.clock.now() }.add_to(head.headers_mut());
    settings.release.add_to(head.headers_mut());
    let mut stream = response.send_response(head, false).map_err(send_error)?;
    stream.send_data(bytes, true).map_err(send_error)
}
