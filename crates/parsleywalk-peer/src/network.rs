//! The network of a daemon: its listener and its links to peers.

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

/// A message that can be sent to peers. Implemented for all types with the required traits.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> PeerMessage for M {}

/// The stream of a connection on which a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamKind {
    /// The control stream, for small messages that must not be delayed.
    Control,
    /// The bulk stream, for large messages such as snapshot chunks and forwarded bodies.
    Bulk,
}

/// A message received from a peer.
#[derive(Debug)]
pub struct ReceivedMessage<M> {
    /// The daemon that sent the message.
    pub from: PeerIdentity,
    /// The message.
    pub message: M,
}

/// The outgoing queues of one peer.
#[derive(Debug)]
struct PeerQueues {
    vm: VmNumber,
    control: Sender<Bytes>,
    bulk: Sender<Bytes>,
}

/// Sends messages to a daemon's peers and receives theirs. Dropping it closes the listener and the links.
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
    /// Listens for peers and opens a link to each, on a thread of its own. Received calls are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listening address cannot be bound or the thread cannot be started.
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
    /// Returns an error if the listening address cannot be bound.
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

    /// Opens a link to a peer. Has no effect if there is one already or the peer is this daemon.
    pub fn add_peer(&self, peer: &PeerAddress) {
        if peer.vm == self.settings.vm {
            return;
        }
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(index) = queues.binary_search_by_key(&peer.vm, |queue| queue.vm) else { return };
        let (control, control_queue) = flume::bounded(self.settings.queue_limit);
        let (bulk, bulk_queue) = flume::bounded(self.settings.queue_limit);
        queues.insert(index, PeerQueues { vm: peer.vm, control, bulk });
        let link = PeerLink::new(Arc::clone(&self.settings), peer.address, control_queue, bulk_queue);
        // The task that receives the links ends only with this network, so sending cannot fail.
        drop(self.links.send(link));
    }

    /// Queues a message for a peer.
    ///
    /// Returns false if the message was dropped, because the peer is unknown, its queue is full, or the message cannot
    /// be encoded. True does not imply that the message will arrive.
    pub fn send(&self, to: VmNumber, kind: StreamKind, message: &M) -> bool {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(index) = queues.binary_search_by_key(&to, |queue| queue.vm) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let Ok(bytes) = frame::encode(message) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let length = bytes.len() as u64;
        let queue = match kind {
            StreamKind::Control => &queues[index].control,
            StreamKind::Bulk => &queues[index].bulk,
        };
        let accepted = queue.try_send(bytes).is_ok();
        let (counter, amount) = if accepted { (&self.sent_bytes, length) } else { (&self.dropped, 1) };
        counter.fetch_add(amount, Ordering::Relaxed);
        accepted
    }
}

impl<M> PeerNetwork<M> {
    /// Returns the address on which this daemon listens for peers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of messages that [`send`](Self::send) dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes queued for peers since the start.
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

/// The receivers of messages from peers and of calls from peers and entry daemons.
#[derive(Debug)]
pub struct PeerReceivers<M> {
    /// Messages from peers.
    pub messages: Receiver<ReceivedMessage<M>>,
    /// Calls from peers and entry daemons. Each has to be replied to once.
    pub calls: Receiver<ReceivedCall>,
}

/// The tasks of a network: one that accepts connections, and one for each link.
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
