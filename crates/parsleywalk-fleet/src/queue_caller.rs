//! Callers of queues, as their keys identify them.

use parsleywalk_batch::{ApiKey, BatchState, Workspace};
use parsleywalk_units::WorkspaceName;

use crate::LeaderReply;

/// Whom a request to a queue acts for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QueueCaller<'a> {
    /// The deployment has no workspaces, so every request is permitted.
    Any,
    /// A request to a public queue without a valid key.
    Anonymous,
    /// A request with a key of the workspace.
    Workspace(&'a Workspace),
}

impl<'a> QueueCaller<'a> {
    /// Returns the caller of a request to the queue at a position of the active configuration.
    ///
    /// # Errors
    ///
    /// Returns the reply if the queue is not public and the key is missing or unknown.
    pub(crate) fn identify(
        state: &'a BatchState,
        queue_position: usize,
        key: Option<&ApiKey>,
    ) -> std::result::Result<Self, LeaderReply> {
        let Some(configuration) = state.workspaces() else { return Ok(Self::Any) };
        match key.and_then(|key| configuration.owner(key)) {
            Some(workspace) => Ok(Self::Workspace(workspace)),
            None if configuration.is_public(queue_position) => Ok(Self::Anonymous),
            None => Err(LeaderReply::Unauthorized),
        }
    }

    /// Returns the workspace that owns what the caller stores.
    pub(crate) const fn workspace(self) -> Option<&'a Workspace> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Any | Self::Anonymous => None,
        }
    }

    /// Returns true if the caller may see and cancel a job with this owner.
    pub(crate) fn may_use(self, owner: Option<&WorkspaceName>) -> bool {
        match self {
            Self::Any => true,
            Self::Anonymous => owner.is_none(),
            Self::Workspace(workspace) => owner.is_none_or(|owner| *owner == workspace.name),
        }
    }
}
