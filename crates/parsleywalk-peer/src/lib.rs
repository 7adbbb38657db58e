//! Streams of messages between daemons.
//!
//! [`PeerNetwork::start`] listens for peers and keeps one connection to each configured peer. A connection carries two
//! `h2` request streams, one for control messages and one for bulk, so that bulk does not delay heartbeats. Each stream
//! is a sequence of length-prefixed `bincode` frames; the first frame of each says who is speaking.
//!
//! Sending never blocks. What does not fit into a peer's bounded queue, or is queued when its connection breaks, is
//! dropped and counted: every message is either repeated by its protocol or has a time-out at its sender.
//!
//! A [`CallClient`] makes calls with one reply each over a connection of its own; daemons without a replica use it to reach
//! the leader.
//!
//! ```no_run
//! use parsleywalk_peer::{StreamKind, PeerNetwork, PeerSettings};
//!
//! let settings = PeerSettings { token: "secret".to_owned(), ..PeerSettings::default() };
//! let (network, inbox) = PeerNetwork::<String>::start(settings)?;
//! network.send(parsleywalk_units::VmNumber::new(2), StreamKind::Control, &"hello".to_owned());
//! let received = inbox.recv();
//! # drop(received);
//! # Ok::<(), parsleywalk_peer::PeerError>(())
//! ```

mod call;
mod error;
mod frame;
mod hello;
mod inbound;
mod keepalive;
mod network;
mod outbound;
mod settings;

pub use call::{CallClient, CallError, ReceivedCall};
pub use error::{PeerError, Result};
pub use hello::{PeerIdentity, tokens_match};
pub use network::{PeerMessage, PeerNetwork, PeerReceivers, ReceivedMessage, StreamKind};
pub use settings::{PeerAddress, PeerSettings};
