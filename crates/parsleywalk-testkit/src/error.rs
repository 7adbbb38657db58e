//! Errors of the stand-ins.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::net::SocketAddr;

use parsleywalk_units::TaskId;
use quick_error::quick_error;

/// The result of a stand-in's step.
pub type Result<T> = std::result::Result<T, TestkitError>;

quick_error! {
    /// What a stand-in could not do, or a fault that it found.
    #[derive(Debug)]
    pub enum TestkitError {
        /// The stand-in could not listen.
        Listen { reason: String } {
            display("listen on loopback: {}", reason)
        }
        /// A daemon could not be reached or did not answer.
        Call { peer: SocketAddr, source: attohttpc::Error } {
            display("call {}: {}", peer, source)
            source(source)
        }
        /// A message could not be written or an answer could not be read.
        Message { peer: SocketAddr, source: serde_json::Error } {
            display("message of {}: {}", peer, source)
            source(source)
        }
        /// A daemon answered with another status than 200.
        Status { peer: SocketAddr, status: u16, body: String } {
            display("call {}: status {}: {}", peer, status, body)
        }
        /// Two attempts of a task ran at the same time, or one attempt ran twice.
        RanTwice { task: TaskId, first: String, second: String } {
            display("task {} ran twice: {} and {}", task, first, second)
        }
    }
}
