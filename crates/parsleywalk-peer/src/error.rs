//! Errors of connections between daemons.

#![allow(missing_docs, reason = "quick_error does not accept doc comments on fields")]

use std::net::SocketAddr;

use quick_error::quick_error;

/// A result whose error is a [`PeerError`].
pub type Result<T> = std::result::Result<T, PeerError>;

quick_error! {
    /// An error on a connection to a peer, with the failed step.
    #[derive(Debug)]
    pub enum PeerError {
        /// A socket operation failed.
        Io { step: &'static str, peer: SocketAddr, cause: std::io::Error } {
            display("{} with peer {}: {}", step, peer, cause)
            source(cause)
        }
        /// An `h2` operation failed.
        Stream { step: &'static str, peer: SocketAddr, cause: h2::Error } {
            display("{} with peer {}: {}", step, peer, cause)
            source(cause)
        }
        /// The step did not finish in time.
        Timeout { step: &'static str, peer: SocketAddr } {
            display("{} with peer {}: timed out", step, peer)
        }
        /// A frame could not be encoded or decoded, or is larger than permitted.
        Frame { peer: SocketAddr, reason: String } {
            display("frame from peer {}: {}", peer, reason)
        }
        /// The peer sent a wrong token.
        Token { peer: SocketAddr } {
            display("hello from peer {}: wrong token", peer)
        }
        /// The connection was closed.
        Closed { peer: SocketAddr } {
            display("connection with peer {} was closed", peer)
        }
    }
}
