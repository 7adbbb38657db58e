//! Cache of responses for resends.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, RequestKey};

use crate::{EndpointResponse, RequestDigest};

#[derive(Debug)]
struct CachedResponse {
    serial: u64,
    digest: RequestDigest,
    repeatable: bool,
    size: usize,
    response: Arc<EndpointResponse>,
}

/// Caches the responses to requests with a key, bounded by size, number and age. The oldest are dropped first.
#[derive(Debug)]
pub struct ResponseCache {
    responses: HashMap<RequestKey, CachedResponse>,
    insertion_order: VecDeque<(MonotonicTime, u64, RequestKey)>,
    bytes: usize,
    next_serial: u64,
    byte_limit: usize,
    entry_limit: usize,
    age_limit: Duration,
}

impl ResponseCache {
    /// Creates an empty cache with limits in bytes, responses and age.
    #[must_use]
    pub fn new(byte_limit: usize, entry_limit: usize, age_limit: Duration) -> Self {
        Self {
            responses: HashMap::new(),
            insertion_order: VecDeque::new(),
            bytes: 0,
            next_serial: 0,
            byte_limit,
            entry_limit,
            age_limit,
        }
    }

    /// Inserts a response, replacing an earlier one with the same key. A response larger than a quarter of the byte
    /// limit is not cached.
    pub fn insert(
        &mut self,
        now: MonotonicTime,
        key: RequestKey,
        digest: RequestDigest,
        repeatable: bool,
        response: Arc<EndpointResponse>,
    ) {
        // A single large response would otherwise evict all others.
        let size = response.size() + key.service.as_str().len() + 2 * key.key.as_str().len();
        if size > self.byte_limit / 4 {
            return;
        }
        self.remove(&key);
        let serial = self.next_serial;
        self.next_serial += 1;
        self.insertion_order.push_back((now, serial, key.clone()));
        self.bytes += size;
        self.responses.insert(key, CachedResponse { serial, digest, repeatable, size, response });
        while self.bytes > self.byte_limit || self.responses.len() > self.entry_limit {
            self.drop_oldest();
        }
        // Replaced responses leave their element in the insertion order behind, so that must be bounded too.
        while self.insertion_order.len() > 2 * self.entry_limit.max(16) {
            self.drop_oldest();
        }
    }

    /// Drops the responses that exceed the age limit.
    pub fn expire(&mut self, now: MonotonicTime) {
        while self.insertion_order.front().is_some_and(|(inserted_at, ..)| now.since(*inserted_at) > self.age_limit) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, serial, key)) = self.insertion_order.pop_front()
            && self.responses.get(&key).is_some_and(|cached| cached.serial == serial)
        {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(cached) = self.responses.remove(key) {
            self.bytes -= cached.size;
        }
    }
}

impl ResponseCache {
    /// Returns the response cached under a key, and whether it was inserted with the same digest and repeatability.
    #[must_use]
    pub fn get(
        &self,
        key: &RequestKey,
        digest: RequestDigest,
        repeatable: bool,
    ) -> Option<(&Arc<EndpointResponse>, bool)> {
        let cached = self.responses.get(key)?;
        Some((&cached.response, cached.digest == digest && cached.repeatable == repeatable))
    }

    /// Returns the total size of the cached responses in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of cached responses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.responses.len()
    }

    /// Returns true if no response is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.responses.is_empty()
    }
}
