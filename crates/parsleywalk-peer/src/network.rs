//! The links of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bytes::Bytes;
use flume::{Receiver, Sender};
use parsleywalk_units::VmNumber;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::outbound::PeerLink;
use crate::{PeerError, PeerIdentity, PeerSettings, Result, frame, inbound};

/// What peers exchange.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> PeerMessage for M {}

/// Which stream of a connection carries a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerLane {
    /// Small messages that must not wait.
    Control,
    /// Large messages: snapshot chunks and forwarded bodies.
    Bulk,
}

/// A message with its sender.
#[derive(Debug)]
pub struct ReceivedMessage<M> {
    /// Who sent it.
    pub from: PeerIdentity,
    /// The message.
    pub message: M,
}

/// The queues towards one peer.
#[derive(Debug)]
struct PeerQueues {
    vm: VmNumber,
    control: Sender<Bytes>,
    bulk: Sender<Bytes>,
}

/// A daemon's links to all its peers. The links close when it is dropped.
#[derive(Debug)]
pub struct PeerNetwork<M> {
    queues: Vec<PeerQueues>,
    address: SocketAddr,
    dropped: AtomicU64,
    sent_bytes: AtomicU64,
    stop: watch::Sender<bool>,
    message: std::marker::PhantomData<fn(M)>,
}

impl<M: PeerMessage> PeerNetwork<M> {
    /// Listens for peers and opens a link to each, on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the listening address can't be bound.
    pub fn start(settings: PeerSettings) -> Result<(Self, Receiver<ReceivedMessage<M>>)> {
        let listen = settings.listen;
        let bind_error = |cause| PeerError::Io { step: "bind", peer: listen, cause };
        let runtime = Builder::new_current_thread().enable_all().build().map_err(bind_error)?;
        let listener = runtime.block_on(TcpListener::bind(listen)).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (inbox_sender, inbox) = flume::bounded(settings.inbox_limit);
        let (stop, stopped) = watch::channel(false);
        let settings = Arc::new(settings);
        let mut queues = Vec::with_capacity(settings.peers.len());
        let mut links = Vec::with_capacity(settings.peers.len());
        for peer in settings.peers.iter().filter(|peer| peer.vm != settings.vm) {
            let (control, control_queue) = flume::bounded(settings.queue_limit);
            let (bulk, bulk_queue) = flume::bounded(settings.queue_limit);
            queues.push(PeerQueues { vm: peer.vm, control, bulk });
            links.push(PeerLink::new(Arc::clone(&settings), peer.address, control_queue, bulk_queue));
        }
        queues.sort_by_key(|queue| queue.vm);
        thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || runtime.block_on(run(settings, listener, links, inbox_sender, stopped)))
            .map_err(bind_error)?;
        let network = Self {
            queues,
            address,
            dropped: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            stop,
            message: std::marker::PhantomData,
        };
        Ok((network, inbox))
    }

    /// Queues a message for a peer. Returns `false` when it was dropped, because the peer is unknown or its queue is
    /// full; `true` does not say that it will arrive.
    pub fn send(&self, to: VmNumber, lane: PeerLane, message: &M) -> bool {
        let Ok(place) = self.queues.binary_search_by_key(&to, |queue| queue.vm) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let Ok(bytes) = frame::encode(message) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let length = bytes.len() as u64;
        let queue = match lane {
            PeerLane::Control => &self.queues[place].control,
            PeerLane::Bulk => &self.queues[place].bulk,
        };
        let queued = queue.try_send(bytes).is_ok();
        let (counter, amount) = if queued { (&self.sent_bytes, length) } else { (&self.dropped, 1) };
        counter.fetch_add(amount, Ordering::Relaxed);
        queued
    }
}

impl<M> PeerNetwork<M> {
    /// The address on which this daemon listens for peers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The messages dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// The bytes queued for peers since the start.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

impl<M> Drop for PeerNetwork<M> {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

async fn run<M: PeerMessage>(
    settings: Arc<PeerSettings>,
    listener: TcpListener,
    links: Vec<PeerLink>,
    inbox: Sender<ReceivedMessage<M>>,
    mut stopped: watch::Receiver<bool>,
) {
    let local = tokio::task::LocalSet::new();
    for link in links {
        local.spawn_local(link.run());
    }
    local.spawn_local(inbound::accept(settings, listener, inbox));
    local.run_until(async { drop(stopped.wait_for(|stop| *stop).await) }).await;
}
