//! Errors of the test doubles.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::net::SocketAddr;

use parsleywalk_units::TaskId;
use quick_error::quick_error;

/// The result of an operation of the testkit.
pub type Result<T> = std::result::Result<T, TestkitError>;

quick_error! {
    /// An operation of a test double that failed, or a violation that it detected.
    #[derive(Debug)]
    pub enum TestkitError {
        /// The loopback port could not be opened.
        Listen { reason: String } {
            display("failed to listen on loopback: {}", reason)
        }
        /// A daemon could not be reached or did not respond.
        Call { peer: SocketAddr, source: attohttpc::Error } {
            display("request to {} failed: {}", peer, source)
            source(source)
        }
        /// A request could not be serialized or a response could not be parsed.
        Message { peer: SocketAddr, source: serde_json::Error } {
            display("request to {}: invalid JSON: {}", peer, source)
            source(source)
        }
        /// A daemon responded with a status other than 200.
        Status { peer: SocketAddr, status: u16, body: String } {
            display("request to {} returned status {}, expected 200: {}", peer, status, body)
        }
        /// Two attempts of a task ran at the same time, or one attempt ran twice.
        RanTwice { task: TaskId, first: String, second: String } {
            display("task {} ran twice: {} and {}", task, first, second)
        }
    }
}
