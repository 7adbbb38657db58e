//! Stored answers of operators' operations.

use std::collections::{BTreeMap, VecDeque};

use parsleywalk_units::{ConfigurationVersion, OperationId};
use serde::{Deserialize, Serialize};

use crate::OperationAnswer;
use crate::job::ContentDigest;

/// The number of answers that are kept.
const ANSWER_LIMIT: usize = 4096;

/// The answers of the last operations, and which of them took which version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OperationLog {
    answers: BTreeMap<OperationId, (ContentDigest, OperationAnswer)>,
    order: VecDeque<OperationId>,
    versions: VecDeque<(ConfigurationVersion, OperationId)>,
}

impl OperationLog {
    pub(crate) fn store(&mut self, operation: OperationId, contents: ContentDigest, answer: OperationAnswer) {
        if self.order.len() == ANSWER_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        self.order.push_back(operation.clone());
        self.answers.insert(operation, (contents, answer));
    }

    pub(crate) fn take_version(&mut self, version: ConfigurationVersion, operation: OperationId) {
        if self.versions.len() == ANSWER_LIMIT {
            self.versions.pop_front();
        }
        self.versions.push_back((version, operation));
    }
}

/// Queries.
impl OperationLog {
    pub(crate) fn answer(&self, operation: &OperationId) -> Option<&(ContentDigest, OperationAnswer)> {
        self.answers.get(operation)
    }

    /// Returns the operation that took a version, while it is remembered.
    pub(crate) fn holder(&self, version: ConfigurationVersion) -> Option<&OperationId> {
        let place = self.versions.binary_search_by_key(&version, |(taken, _)| *taken).ok()?;
        Some(&self.versions[place].1)
    }

    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(crate) fn is_consistent(&self) -> bool {
        self.answers.len() == self.order.len()
            && self.order.len() <= ANSWER_LIMIT
            && self.order.iter().all(|operation| self.answers.contains_key(operation))
    }
}
