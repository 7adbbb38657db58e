//! Messages by which operators change the configuration, zones and replicas.

use parsleywalk_units::{ConfigurationVersion, OperationId, VmNumber, ZoneDirection};
use serde::{Deserialize, Serialize};

/// Puts a configuration text into force. The text's `version` must be the current version plus one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationApply {
    /// Generated once by the client and repeated in resends.
    pub operation: OperationId,
    /// The text of the configuration.
    pub text: String,
}

/// Takes an availability zone out of service or back in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneCommand {
    /// Generated once by the client and repeated in resends.
    pub operation: OperationId,
    /// Whether the zone is taken out of service or back in.
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
        /// The VM of the replica to remove.
        old: VmNumber,
        /// The VM of the learner that replaces it.
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

/// The outcome of an operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationOutcome {
    /// Committed; `in_force` and `not_heard` list the daemons on which it is in force and those that have not
    /// confirmed.
    Accepted,
    /// Refused; nothing changed.
    Refused,
}

/// The response to an operator's command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationReply {
    /// The outcome.
    pub outcome: OperationOutcome,
    /// What was done or why it was refused.
    pub message: String,
    /// The configuration version in force after the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigurationVersion>,
    /// The daemons on which it is in force.
    #[serde(default)]
    pub in_force: Vec<VmNumber>,
    /// The daemons that have not confirmed it: they are unreachable or their state has become stale.
    #[serde(default)]
    pub not_heard: Vec<VmNumber>,
}

/// The configuration in force on a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The operation that put it into force.
    pub operation: OperationId,
    /// The text of the configuration.
    pub text: String,
}
