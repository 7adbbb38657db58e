//! Answers kept for resends.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, RequestKey};

use crate::{EndpointResponse, RequestDigest};

#[derive(Debug)]
struct KeptAnswer {
    serial: u64,
    digest: RequestDigest,
    repeatable: bool,
    size: usize,
    answer: Arc<EndpointResponse>,
}

/// Answers of keyed requests, bounded by bytes, number and age; the oldest are dropped first.
#[derive(Debug)]
pub struct AnswerCache {
    answers: HashMap<RequestKey, KeptAnswer>,
    order: VecDeque<(MonotonicTime, u64, RequestKey)>,
    bytes: usize,
    next_serial: u64,
    byte_limit: usize,
    entry_limit: usize,
    age_limit: Duration,
}

impl AnswerCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(byte_limit: usize, entry_limit: usize, age_limit: Duration) -> Self {
        Self {
            answers: HashMap::new(),
            order: VecDeque::new(),
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
        answer: Arc<EndpointResponse>,
    ) {
        // One huge answer would otherwise drop all the others.
        let size = answer.size() + key.service.as_str().len() + 2 * key.key.as_str().len();
        if size > self.byte_limit / 4 {
            return;
        }
        self.remove(&key);
        let serial = self.next_serial;
        self.next_serial += 1;
        self.order.push_back((now, serial, key.clone()));
        self.bytes += size;
        self.answers.insert(key, KeptAnswer { serial, digest, repeatable, size, answer });
        while self.bytes > self.byte_limit || self.answers.len() > self.entry_limit {
            self.drop_oldest();
        }
        // Replaced answers leave their place in the order behind; it is bounded as well.
        while self.order.len() > 2 * self.entry_limit.max(16) {
            self.drop_oldest();
        }
    }

    /// Drops the answers that are too old.
    pub fn expire(&mut self, now: MonotonicTime) {
        while self.order.front().is_some_and(|(kept_at, ..)| now.since(*kept_at) > self.age_limit) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, serial, key)) = self.order.pop_front()
            && self.answers.get(&key).is_some_and(|kept| kept.serial == serial)
        {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(kept) = self.answers.remove(key) {
            self.bytes -= kept.size;
        }
    }
}

impl AnswerCache {
    /// Returns the kept answer, and whether the digest and the repeatability are those that it was kept under.
    #[must_use]
    pub fn get(
        &self,
        key: &RequestKey,
        digest: RequestDigest,
        repeatable: bool,
    ) -> Option<(&Arc<EndpointResponse>, bool)> {
        let kept = self.answers.get(key)?;
        Some((&kept.answer, kept.digest == digest && kept.repeatable == repeatable))
    }

    /// Returns the bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of answers held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns whether no answer is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }
}
