//! Errors of starting a daemon.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::net::SocketAddr;
use std::path::PathBuf;

use parsleywalk_consensus::ConsensusError;
use parsleywalk_peer::PeerError;
use parsleywalk_storage::StorageError;
use quick_error::quick_error;

/// The result of starting a part of a daemon.
pub type Result<T> = std::result::Result<T, FleetError>;

quick_error! {
    /// An error that prevents a daemon from starting.
    #[derive(Debug)]
    pub enum FleetError {
        /// The peer connections cannot be started.
        Peer { cause: PeerError } {
            display("start peer links: {}", cause)
            source(cause)
        }
        /// The log on disk cannot be opened.
        Storage { step: &'static str, folder: PathBuf, cause: StorageError } {
            display("{} in {}: {}", step, folder.display(), cause)
            source(cause)
        }
        /// The recovered log is inconsistent.
        Log { cause: ConsensusError } {
            display("open log: {}", cause)
            source(cause)
        }
        /// The address cannot be bound.
        Listen { address: SocketAddr, cause: std::io::Error } {
            display("listen on {}: {}", address, cause)
            source(cause)
        }
        /// The operating system refused to start a thread.
        Thread { step: &'static str, cause: std::io::Error } {
            display("{}: {}", step, cause)
            source(cause)
        }
    }
}
