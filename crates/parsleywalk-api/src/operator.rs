//! Operators' commands.

use parsleywalk_units::{ConfigurationVersion, OperationId, VmNumber, ZoneDirection};
use serde::{Deserialize, Serialize};

/// Puts a configuration text in force. The text's `version` must be the current one plus one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationApply {
    /// Drawn by the client once and repeated on resends.
    pub operation: OperationId,
    /// The operators' text.
    pub text: String,
}

/// Takes an availability zone out of service or back in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneCommand {
    /// Drawn by the client once and repeated on resends.
    pub operation: OperationId,
    /// Which way.
    pub direction: ZoneDirection,
}

/// A change of the set of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaChange {
    /// Adds the learner on this VM as a voting replica once it has caught up.
    Add(VmNumber),
    /// Replaces the replica on `old` by the learner on `new` once it has caught up.
    Replace {
        /// The VM that is gone.
        old: VmNumber,
        /// The VM that takes its place.
        new: VmNumber,
    },
}

/// Changes the set of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaCommand {
    /// The change.
    pub change: ReplicaChange,
}

/// How an operator's command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationOutcome {
    /// Committed; `in_force` and `not_heard` say where it holds.
    Accepted,
    /// Refused; nothing changed.
    Refused,
}

/// The answer to an operator's command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationReply {
    /// How it ended.
    pub outcome: OperationOutcome,
    /// What was done or why it was refused.
    pub message: String,
    /// The configuration version in force after the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigurationVersion>,
    /// The daemons on which it is in force.
    #[serde(default)]
    pub in_force: Vec<VmNumber>,
    /// The daemons that have not confirmed; their freshness has run out or they are unreachable.
    #[serde(default)]
    pub not_heard: Vec<VmNumber>,
}

/// The configuration in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The operation that put it in force.
    pub operation: OperationId,
    /// The operators' text.
    pub text: String,
}
