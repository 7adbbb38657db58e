//! Stored answers to operators' operations.

use std::collections::{BTreeMap, VecDeque};

use parsleywalk_units::{ConfigurationVersion, OperationId};
use serde::{Deserialize, Serialize};

use crate::OperationAnswer;
use crate::job::ContentDigest;

/// The maximum number of stored answers; the oldest is dropped first.
const MAX_STORED_ANSWERS: usize = 4096;

/// The answers to the last operations, and the operation that put each recent configuration version in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OperationLog {
    answers: BTreeMap<OperationId, (ContentDigest, OperationAnswer)>,
    order: VecDeque<OperationId>,
    versions: VecDeque<(ConfigurationVersion, OperationId)>,
}

impl OperationLog {
    pub(crate) fn store(&mut self, operation: OperationId, contents: ContentDigest, answer: OperationAnswer) {
        if self.order.len() == MAX_STORED_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        self.order.push_back(operation.clone());
        self.answers.insert(operation, (contents, answer));
    }

    pub(crate) fn record_version(&mut self, version: ConfigurationVersion, operation: OperationId) {
        if self.versions.len() == MAX_STORED_ANSWERS {
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

    /// Returns the operation that put a version in force, if it is still recorded.
    pub(crate) fn operation_for_version(&self, version: ConfigurationVersion) -> Option<&OperationId> {
        let index = self.versions.binary_search_by_key(&version, |(recorded, _)| *recorded).ok()?;
        Some(&self.versions[index].1)
    }

    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns true if the order lists exactly the stored answers and the limit is kept.
    pub(crate) fn is_consistent(&self) -> bool {
        self.answers.len() == self.order.len()
            && self.order.len() <= MAX_STORED_ANSWERS
            && self.order.iter().all(|operation| self.answers.contains_key(operation))
    }
}
