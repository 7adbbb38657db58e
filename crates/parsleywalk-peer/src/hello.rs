//! The hello, which is the first frame of each stream.

use parsleywalk_units::{Incarnation, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

/// Identifies the daemon that opened a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The VM of the daemon.
    pub vm: VmNumber,
    /// The incarnation of the daemon, which distinguishes it from earlier processes on the same VM.
    pub incarnation: Incarnation,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
}

/// The first frame of a stream: the daemon's identity and the deployment's token.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StreamHello {
    pub(crate) identity: PeerIdentity,
    pub(crate) token: String,
}

/// Returns true if the tokens are equal.
///
/// The comparison takes a time that depends only on the lengths, so that it reveals nothing about the contents.
#[must_use]
pub fn tokens_match(left: &str, right: &str) -> bool {
    left.len() == right.len() && left.bytes().zip(right.bytes()).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
}
