//! Registry of the keys of requests in progress and of undecided claims.

use std::collections::{HashMap, VecDeque};

use parsleywalk_units::{ClaimId, RequestId, RequestKey};

/// Maps keys to the requests in progress, and remembers claims that were sent but never decided.
///
/// An undecided claim may have been committed. Its id is used again for the next request with the same key; with a new
/// id, that request would find the key claimed and could never run.
#[derive(Debug)]
pub struct KeyRegistry {
    in_progress: HashMap<RequestKey, RequestId>,
    undecided: HashMap<RequestKey, ClaimId>,
    order: VecDeque<(RequestKey, ClaimId)>,
    limit: usize,
}

impl KeyRegistry {
    /// Creates an empty registry that remembers at most `limit` undecided claims.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { in_progress: HashMap::new(), undecided: HashMap::new(), order: VecDeque::new(), limit }
    }

    /// Registers a request in progress under its key.
    pub fn begin(&mut self, key: RequestKey, request: RequestId) {
        self.in_progress.insert(key, request);
    }

    /// Removes the request in progress under a key.
    pub fn end(&mut self, key: &RequestKey) {
        self.in_progress.remove(key);
    }

    /// Remembers an undecided claim. Beyond the limit, the oldest one is forgotten.
    pub fn remember_undecided(&mut self, key: RequestKey, claim: ClaimId) {
        self.order.push_back((key.clone(), claim));
        self.undecided.insert(key, claim);
        while self.order.len() > self.limit {
            if let Some((oldest, claim)) = self.order.pop_front()
                && self.undecided.get(&oldest) == Some(&claim)
            {
                self.undecided.remove(&oldest);
            }
        }
    }

    /// Removes and returns the undecided claim of a key.
    pub fn take_undecided(&mut self, key: &RequestKey) -> Option<ClaimId> {
        self.undecided.remove(key)
    }
}

impl KeyRegistry {
    /// Returns the request in progress under a key.
    #[must_use]
    pub fn holder(&self, key: &RequestKey) -> Option<RequestId> {
        self.in_progress.get(key).copied()
    }

    /// Returns the numbers of requests in progress and of undecided claims.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.in_progress.len(), self.undecided.len())
    }
}
