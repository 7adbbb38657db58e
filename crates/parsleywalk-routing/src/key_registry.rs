//! Keys of requests in progress and claims without a decision.

use std::collections::{HashMap, VecDeque};

use parsleywalk_units::{ClaimId, RequestId, RequestKey};

/// Knows which request in progress holds a key, and which claims were sent and never decided.
///
/// A claim whose decision never came may still be committed. Its identity is kept and used again for the next request
/// under the key, so that the key is not lost to a claim that nobody answers for.
#[derive(Debug)]
pub struct KeyRegistry {
    in_progress: HashMap<RequestKey, RequestId>,
    undecided: HashMap<RequestKey, ClaimId>,
    order: VecDeque<(RequestKey, ClaimId)>,
    limit: usize,
}

impl KeyRegistry {
    /// Creates an empty register that remembers at most `limit` undecided claims.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { in_progress: HashMap::new(), undecided: HashMap::new(), order: VecDeque::new(), limit }
    }

    /// Binds a key to a request in progress.
    pub fn begin(&mut self, key: RequestKey, request: RequestId) {
        self.in_progress.insert(key, request);
    }

    /// Frees a key when its request has ended.
    pub fn end(&mut self, key: &RequestKey) {
        self.in_progress.remove(key);
    }

    /// Remembers a claim that was not decided.
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

    /// Takes the claim that was sent for this key and not decided.
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

    /// Returns the number of keys in progress and of undecided claims.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.in_progress.len(), self.undecided.len())
    }
}
