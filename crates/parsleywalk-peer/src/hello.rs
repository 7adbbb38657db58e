//! The first frame of each stream.

use parsleywalk_units::{Incarnation, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

/// Who is speaking on a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The speaker's VM.
    pub vm: VmNumber,
    /// Distinguishes the speaker's process from earlier ones on the same VM.
    pub incarnation: Incarnation,
    /// The speaker's availability zone.
    pub zone: ZoneName,
}

/// The first frame: the speaker and the deployment's token.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StreamHello {
    pub(crate) identity: PeerIdentity,
    pub(crate) token: String,
}

/// Compares tokens in time that depends only on their lengths.
#[must_use]
pub fn tokens_match(left: &str, right: &str) -> bool {
    left.len() == right.len() && left.bytes().zip(right.bytes()).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
}
