//! Messages and calls between daemons.
//!
//! [`PeerNetwork::start`] listens for peers and keeps one connection to each configured peer. A connection carries two
//! `h2` streams, the control stream and the bulk stream, so that large messages do not delay heartbeats. Each stream is
//! a sequence of length-prefixed `bincode` frames. The first frame identifies the sending daemon.
//!
//! Sending never blocks. A message that does not fit into the peer's bounded queue is dropped and counted. Messages
//! that are queued when the connection is opened again are discarded. Every message is either repeated by its protocol
//! or has a time-out at its sender.
//!
//! A [`CallClient`] makes calls with one reply each over a connection of its own. Daemons without a replica use it to
//! reach the leader. A call carries the time in which it may take effect as a [`CallWindow`], and its reply the
//! [`DaemonRelease`] of the daemon that sends it.
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
mod call_window;
mod clock;
mod error;
mod frame;
mod hello;
mod inbound;
mod keepalive;
mod network;
mod outbound;
mod release;
mod settings;

pub use call::{CallClient, CallError, ReceivedCall};
pub use call_window::CallWindow;
pub use clock::SteadyClock;
pub use error::{PeerError, Result};
pub use hello::{PeerIdentity, tokens_match};
pub use network::{PeerMessage, PeerNetwork, PeerReceivers, ReceivedMessage, StreamKind};
pub use release::DaemonRelease;
pub use settings::{PeerAddress, PeerSettings};
