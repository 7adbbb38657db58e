//! Errors of starting and running a daemon.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::path::PathBuf;

use quick_error::quick_error;

/// The result of starting or running a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

quick_error! {
    /// An error that prevents a daemon from starting or stops it, with the step that failed.
    #[derive(Debug)]
    pub enum DaemonError {
        /// A file could not be read or written.
        File { step: &'static str, path: PathBuf, cause: std::io::Error } {
            display("{} {}: {}", step, path.display(), cause)
            source(cause)
        }
        /// The settings are invalid; all errors found are listed.
        Settings { path: PathBuf, errors: Vec<String> } {
            display("settings {}: {}", path.display(), errors.join("; "))
        }
        /// A server could not start.
        Listen { step: &'static str, address: std::net::SocketAddr, reason: String } {
            display("{} on {}: {}", step, address, reason)
        }
        /// The log store failed.
        Storage { step: &'static str, cause: parsleywalk_storage::StorageError } {
            display("{}: {}", step, cause)
            source(cause)
        }
        /// The replicated log can't be opened.
        Log { cause: parsleywalk_consensus::ConsensusError } {
            display("open log: {}", cause)
            source(cause)
        }
        /// The peer links could not start.
        Peer { cause: parsleywalk_peer::PeerError } {
            display("start peer links: {}", cause)
            source(cause)
        }
        /// A thread or runtime could not start.
        Thread { step: &'static str, cause: std::io::Error } {
            display("{}: {}", step, cause)
            source(cause)
        }
    }
}
