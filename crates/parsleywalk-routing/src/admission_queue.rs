//! The queue of one service.

use std::collections::{BTreeSet, HashMap, VecDeque};

use parsleywalk_units::{CallerName, RequestId};

/// The most callers without waiting requests whose finish is remembered.
const IDLE_CALLER_LIMIT: usize = 4096;

/// A due time and a sequence number.
type QueuePosition = (u64, u64);

/// The caller that waits; absent where callers are not told apart.
type CallerKey = Option<CallerName>;

#[derive(Debug)]
struct CallerQueue {
    /// The virtual time at which the first request is due, and the order among those due at the same time.
    position: QueuePosition,
    requests: VecDeque<RequestId>,
}

/// Requests waiting for a slot, served fairly by caller, each caller's in order.
///
/// Start-time fair queueing: a request is due one unit of virtual time after the caller's previous one, or at once when
/// the caller has been idle, and the request that is due first is served first. Virtual time moves on to the due time of
/// each request served. A caller that sends more than its share therefore waits behind its own requests, also when its
/// lane was empty in between, and a caller below its share is served before it.
#[derive(Debug)]
pub struct AdmissionQueue {
    by_caller: bool,
    caller_queues: HashMap<CallerKey, CallerQueue>,
    /// The lanes by due time.
    order: BTreeSet<(QueuePosition, CallerKey)>,
    /// When the next request of a caller that does not wait is due, where that is after the present.
    idle_start_tags: HashMap<CallerKey, u64>,
    /// The number of idle callers at which those that are due are forgotten.
    idle_prune_threshold: usize,
    virtual_time: u64,
    sequence: u64,
    length: usize,
}

impl AdmissionQueue {
    /// Creates an empty queue, served fairly by caller or else in order of arrival.
    #[must_use]
    pub fn new(by_caller: bool) -> Self {
        Self {
            by_caller,
            caller_queues: HashMap::new(),
            order: BTreeSet::new(),
            idle_start_tags: HashMap::new(),
            idle_prune_threshold: 64,
            virtual_time: 0,
            sequence: 0,
            length: 0,
        }
    }

    /// Adds a request behind the caller's others.
    pub fn push_back(&mut self, caller: &CallerName, request: RequestId) {
        let key = self.caller_key(caller);
        self.length += 1;
        if let Some(caller_queue) = self.caller_queues.get_mut(&key) {
            caller_queue.requests.push_back(request);
            return;
        }
        let start_tag = self.idle_start_tags.remove(&key).unwrap_or(0).max(self.virtual_time);
        self.add_caller_queue(key, start_tag, request);
    }

    /// Adds a request that already had its turn before all others of its caller, due at once.
    pub fn push_front(&mut self, caller: &CallerName, request: RequestId) {
        let key = self.caller_key(caller);
        self.length += 1;
        let virtual_time = self.virtual_time;
        let Some(caller_queue) = self.caller_queues.get_mut(&key) else {
            self.idle_start_tags.remove(&key);
            return self.add_caller_queue(key, virtual_time, request);
        };
        caller_queue.requests.push_front(request);
        let position = caller_queue.position;
        self.order.remove(&(position, key.clone()));
        self.reorder_caller_queue(key, virtual_time);
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let ((start_tag, _), key) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(start_tag);
        let caller_queue = self.caller_queues.get_mut(&key)?;
        let request = caller_queue.requests.pop_front()?;
        self.length -= 1;
        if caller_queue.requests.is_empty() {
            self.caller_queues.remove(&key);
            self.record_idle_caller(key, start_tag + 1);
        } else {
            self.reorder_caller_queue(key, start_tag + 1);
        }
        Some(request)
    }

    /// Takes a given request out and returns whether it was there.
    pub fn remove(&mut self, caller: &CallerName, request: RequestId) -> bool {
        let key = self.caller_key(caller);
        self.remove_from(&key, request)
    }

    /// Takes out the newest request of the caller with the most, if that caller has more than `threshold`.
    pub fn displace(&mut self, threshold: usize) -> Option<RequestId> {
        let (key, caller_queue) =
            self.caller_queues.iter().max_by_key(|(key, caller_queue)| (caller_queue.requests.len(), *key))?;
        let newest = *caller_queue.requests.back()?;
        let (key, length) = (key.clone(), caller_queue.requests.len());
        (length > threshold && self.remove_from(&key, newest)).then_some(newest)
    }

    fn remove_from(&mut self, key: &CallerKey, request: RequestId) -> bool {
        let Some(caller_queue) = self.caller_queues.get_mut(key) else { return false };
        let Some(position) = caller_queue.requests.iter().position(|queued| *queued == request) else { return false };
        caller_queue.requests.remove(position);
        self.length -= 1;
        if caller_queue.requests.is_empty() {
            let position = caller_queue.position;
            self.caller_queues.remove(key);
            self.order.remove(&(position, key.clone()));
            self.record_idle_caller(key.clone(), position.0);
        }
        true
    }

    fn add_caller_queue(&mut self, key: CallerKey, start_tag: u64, request: RequestId) {
        self.caller_queues
            .insert(key.clone(), CallerQueue { position: (start_tag, 0), requests: VecDeque::from([request]) });
        self.reorder_caller_queue(key, start_tag);
    }

    /// Puts a lane behind all others that are due at the same time.
    fn reorder_caller_queue(&mut self, key: CallerKey, start_tag: u64) {
        self.sequence += 1;
        let position = (start_tag, self.sequence);
        if let Some(caller_queue) = self.caller_queues.get_mut(&key) {
            caller_queue.position = position;
            self.order.insert((position, key));
        }
    }

    fn record_idle_caller(&mut self, key: CallerKey, next_start_tag: u64) {
        if next_start_tag > self.virtual_time {
            self.idle_start_tags.insert(key, next_start_tag);
        }
        // A caller that is due by now is served as one that was never seen.
        if self.idle_start_tags.len() > self.idle_prune_threshold {
            let virtual_time = self.virtual_time;
            self.idle_start_tags.retain(|_, next_start_tag| *next_start_tag > virtual_time);
            if self.idle_start_tags.len() > IDLE_CALLER_LIMIT {
                self.idle_start_tags.clear();
            }
            self.idle_prune_threshold = 64 + 2 * self.idle_start_tags.len();
        }
    }
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the next request.
    #[must_use]
    pub fn peek(&self) -> Option<RequestId> {
        let (_, key) = self.order.first()?;
        self.caller_queues.get(key)?.requests.front().copied()
    }

    /// Returns the number of waiting requests of a caller, or of all where callers are not told apart.
    #[must_use]
    pub fn len_for(&self, caller: &CallerName) -> usize {
        self.caller_queues.get(&self.caller_key(caller)).map_or(0, |caller_queue| caller_queue.requests.len())
    }

    /// Returns the largest number of waiting requests of one caller.
    #[must_use]
    pub fn longest_caller_queue(&self) -> usize {
        self.caller_queues.values().map(|caller_queue| caller_queue.requests.len()).max().unwrap_or(0)
    }

    /// Returns the number of callers that wait.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.caller_queues.len()
    }

    /// Returns how many waiting requests are due before a new one of this caller.
    #[must_use]
    pub fn ahead_of(&self, caller: &CallerName) -> usize {
        let key = self.caller_key(caller);
        let own = self.caller_queues.get(&key);
        let next_start_tag = match own {
            Some(caller_queue) => caller_queue.position.0 + count(caller_queue.requests.len()),
            None => self.idle_start_tags.get(&key).copied().unwrap_or(0).max(self.virtual_time),
        };
        let earlier = self
            .order
            .iter()
            .take_while(|((start_tag, _), _)| *start_tag <= next_start_tag)
            .filter(|(_, other)| *other != key);
        let others: u64 = earlier
            .map(|((start_tag, _), other)| {
                count(self.caller_queues[other].requests.len()).min(next_start_tag - start_tag + 1)
            })
            .sum();
        own.map_or(0, |caller_queue| caller_queue.requests.len()) + usize::try_from(others).unwrap_or(usize::MAX)
    }

    fn caller_key(&self, caller: &CallerName) -> CallerKey {
        self.by_caller.then(|| caller.clone())
    }
}

fn count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
