//! Answers kept for resends.

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

/// Answers of keyed requests, bounded by bytes, number and age; the oldest are dropped first.
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
    /// Creates an empty cache.
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

    /// Keeps an answer, in place of an older one under the same key. An answer over a quarter of the limit is not kept.
    pub fn insert(
        &mut self,
        now: MonotonicTime,
        key: RequestKey,
        digest: RequestDigest,
        repeatable: bool,
        response: Arc<EndpointResponse>,
    ) {
        // One huge answer would otherwise drop all the others.
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
        // Replaced answers leave their place in the order behind; it is bounded as well.
        while self.insertion_order.len() > 2 * self.entry_limit.max(16) {
            self.drop_oldest();
        }
    }

    /// Drops the answers that are too old.
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
    /// Returns the kept answer, and whether the digest and the repeatability are those that it was kept under.
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

    /// Returns the bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of answers held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.responses.len()
    }

    /// Returns whether no answer is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.responses.is_empty()
    }
}
