//! The links of one daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use bytes::Bytes;
use flume::{Receiver, Sender};
use parsleywalk_units::VmNumber;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::inbound::PeerInbox;
use crate::outbound::PeerLink;
use crate::{PeerAddress, PeerError, PeerIdentity, PeerSettings, ReceivedCall, Result, frame, inbound};

/// What peers exchange.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> PeerMessage for M {}

/// Which stream of a connection carries a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamKind {
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
    settings: Arc<PeerSettings>,
    queues: Mutex<Vec<PeerQueues>>,
    links: Sender<PeerLink>,
    address: SocketAddr,
    dropped: AtomicU64,
    sent_bytes: AtomicU64,
    stop: watch::Sender<bool>,
    message: std::marker::PhantomData<fn(M)>,
}

impl<M: PeerMessage> PeerNetwork<M> {
    /// Listens for peers and opens a link to each, on a thread of its own. Calls are not served.
    ///
    /// # Errors
    ///
    /// Returns an error when the listening address can't be bound.
    pub fn start(settings: PeerSettings) -> Result<(Self, Receiver<ReceivedMessage<M>>)> {
        let listen = settings.listen;
        let bind_error = |cause| PeerError::Io { step: "bind", peer: listen, cause };
        let runtime = Builder::new_current_thread().enable_all().build().map_err(bind_error)?;
        let listener = runtime.block_on(TcpListener::bind(listen)).map_err(bind_error)?;
        let (network, receivers, tasks) = Self::prepare(settings, listener)?;
        thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || {
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, tasks.run());
            })
            .map_err(bind_error)?;
        Ok((network, receivers.messages))
    }

    /// Listens for peers and opens a link to each, on the caller's `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error when the listening address can't be bound.
    pub async fn start_local(settings: PeerSettings) -> Result<(Self, PeerReceivers<M>)> {
        let listen = settings.listen;
        let bound = TcpListener::bind(listen).await;
        let listener = bound.map_err(|cause| PeerError::Io { step: "bind", peer: listen, cause })?;
        let (network, receivers, tasks) = Self::prepare(settings, listener)?;
        tokio::task::spawn_local(tasks.run());
        Ok((network, receivers))
    }

    fn prepare(settings: PeerSettings, listener: TcpListener) -> Result<(Self, PeerReceivers<M>, PeerTasks<M>)> {
        let bind_error = |cause| PeerError::Io { step: "bind", peer: settings.listen, cause };
        let address = listener.local_addr().map_err(bind_error)?;
        let (message_sender, messages) = flume::bounded(settings.inbox_limit);
        let (call_sender, calls) = flume::bounded(settings.inbox_limit);
        let (stop, stopped) = watch::channel(false);
        let (links, new_links) = flume::unbounded();
        let settings = Arc::new(settings);
        let network = Self {
            settings: Arc::clone(&settings),
            queues: Mutex::default(),
            links,
            address,
            dropped: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            stop,
            message: std::marker::PhantomData,
        };
        for peer in &settings.peers {
            network.add_peer(peer);
        }
        let inbox = PeerInbox { messages: message_sender, calls: call_sender };
        let tasks = PeerTasks { settings, listener, new_links, inbox, stopped };
        Ok((network, PeerReceivers { messages, calls }, tasks))
    }

    /// Opens a link to a peer, unless there is one or the peer is this daemon.
    pub fn add_peer(&self, peer: &PeerAddress) {
        if peer.vm == self.settings.vm {
            return;
        }
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(place) = queues.binary_search_by_key(&peer.vm, |queue| queue.vm) else { return };
        let (control, control_queue) = flume::bounded(self.settings.queue_limit);
        let (bulk, bulk_queue) = flume::bounded(self.settings.queue_limit);
        queues.insert(place, PeerQueues { vm: peer.vm, control, bulk });
        let link = PeerLink::new(Arc::clone(&self.settings), peer.address, control_queue, bulk_queue);
        // The tasks end only with the network, so the link is always taken.
        drop(self.links.send(link));
    }

    /// Queues a message for a peer. Returns `false` when it was dropped, because the peer is unknown or its queue is
    /// full; `true` does not say that it will arrive.
    pub fn send(&self, to: VmNumber, lane: StreamKind, message: &M) -> bool {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(place) = queues.binary_search_by_key(&to, |queue| queue.vm) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let Ok(bytes) = frame::encode(message) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let length = bytes.len() as u64;
        let queue = match lane {
            StreamKind::Control => &queues[place].control,
            StreamKind::Bulk => &queues[place].bulk,
        };
        let accepted = queue.try_send(bytes).is_ok();
        let (counter, amount) = if accepted { (&self.sent_bytes, length) } else { (&self.dropped, 1) };
        counter.fetch_add(amount, Ordering::Relaxed);
        accepted
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

/// What peers and entries sent.
#[derive(Debug)]
pub struct PeerReceivers<M> {
    /// Messages of peers.
    pub messages: Receiver<ReceivedMessage<M>>,
    /// Calls, each to be answered once.
    pub calls: Receiver<ReceivedCall>,
}

/// The tasks of a network: accepting, and one for each link.
struct PeerTasks<M> {
    settings: Arc<PeerSettings>,
    listener: TcpListener,
    new_links: Receiver<PeerLink>,
    inbox: PeerInbox<M>,
    stopped: watch::Receiver<bool>,
}

impl<M: PeerMessage> PeerTasks<M> {
    async fn run(mut self) {
        let accept = inbound::accept(self.settings, self.listener, self.inbox);
        let accept = tokio::task::spawn_local(accept);
        let new_links = self.new_links;
        let open = tokio::task::spawn_local(async move {
            let mut links = tokio::task::JoinSet::new();
            while let Ok(link) = new_links.recv_async().await {
                links.spawn_local(link.run());
            }
        });
        drop(self.stopped.wait_for(|stop| *stop).await);
        accept.abort();
        open.abort();
    }
}
