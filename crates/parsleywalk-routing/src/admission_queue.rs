//! The fair queue of one service's requests.

use std::collections::{BTreeSet, HashMap, VecDeque};

use parsleywalk_units::{CallerName, RequestId};

/// The largest number of idle callers whose start tags are kept; if there are more, all of them are dropped.
const MAX_IDLE_CALLERS: usize = 4096;

/// A start tag, and a sequence number that orders equal start tags.
type QueuePosition = (u64, u64);

/// The caller of a [`CallerQueue`]; `None` if the queue does not distinguish callers.
type CallerKey = Option<CallerName>;

#[derive(Debug)]
struct CallerQueue {
    /// The start tag of the first request, with its sequence number.
    position: QueuePosition,
    requests: VecDeque<RequestId>,
}

/// Queues the requests of a service fairly by caller, and in order of arrival for each caller.
///
/// This is start-time fair queueing with equal weights. The start tag of a request is one unit of virtual time after
/// that of the caller's previous request, or the current virtual time if that is later. The request with the lowest
/// start tag is served first, and virtual time advances to its start tag. A caller that exceeds its share therefore
/// waits behind its own requests, even if its queue was empty in between, while a caller below its share is served
/// ahead of it.
#[derive(Debug)]
pub struct AdmissionQueue {
    by_caller: bool,
    caller_queues: HashMap<CallerKey, CallerQueue>,
    /// The caller queues in order of their start tags.
    order: BTreeSet<(QueuePosition, CallerKey)>,
    /// The next start tag of each caller without queued requests, if it is later than the current virtual time.
    idle_start_tags: HashMap<CallerKey, u64>,
    /// The number of idle callers above which outdated start tags are pruned.
    idle_prune_threshold: usize,
    virtual_time: u64,
    sequence: u64,
    length: usize,
}

impl AdmissionQueue {
    /// Creates an empty queue: fair by caller if `by_caller` is set, first in, first out otherwise.
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

    /// Adds a request behind the caller's other requests.
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

    /// Adds a request that was already popped once, such as a retry, ahead of the caller's other requests. Its start
    /// tag is the current virtual time.
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

    /// Removes and returns the next request.
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

    /// Removes a request. Returns true if it was queued.
    pub fn remove(&mut self, caller: &CallerName, request: RequestId) -> bool {
        let key = self.caller_key(caller);
        self.remove_from(&key, request)
    }

    /// Removes and returns the newest request of the caller with the most requests, if that caller has more than
    /// `threshold`.
    pub fn displace(&mut self, threshold: usize) -> Option<RequestId> {
        let (key, caller_queue) =
            self.caller_queues.iter().max_by_key(|(key, caller_queue)| (caller_queue.requests.len(), *key))?;
        let newest = *caller_queue.requests.back()?;
        let (key, length) = (key.clone(), caller_queue.requests.len());
        (length > threshold && self.remove_from(&key, newest)).then_some(newest)
    }

    fn remove_from(&mut self, key: &CallerKey, request: RequestId) -> bool {
        let Some(caller_queue) = self.caller_queues.get_mut(key) else { return false };
        let Some(index) = caller_queue.requests.iter().position(|queued| *queued == request) else { return false };
        caller_queue.requests.remove(index);
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

    /// Assigns a start tag to a caller queue and orders it behind all others with the same one.
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
        // A start tag that virtual time has reached has no effect, so it need not be kept.
        if self.idle_start_tags.len() > self.idle_prune_threshold {
            let virtual_time = self.virtual_time;
            self.idle_start_tags.retain(|_, next_start_tag| *next_start_tag > virtual_time);
            if self.idle_start_tags.len() > MAX_IDLE_CALLERS {
                self.idle_start_tags.clear();
            }
            self.idle_prune_threshold = 64 + 2 * self.idle_start_tags.len();
        }
    }
}

impl AdmissionQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns true if no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the next request without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<RequestId> {
        let (_, key) = self.order.first()?;
        self.caller_queues.get(key)?.requests.front().copied()
    }

    /// Returns the number of queued requests of a caller, or of all callers if the queue does not distinguish them.
    #[must_use]
    pub fn len_for(&self, caller: &CallerName) -> usize {
        self.caller_queues.get(&self.caller_key(caller)).map_or(0, |caller_queue| caller_queue.requests.len())
    }

    /// Returns the largest number of queued requests of one caller.
    #[must_use]
    pub fn longest_caller_queue(&self) -> usize {
        self.caller_queues.values().map(|caller_queue| caller_queue.requests.len()).max().unwrap_or(0)
    }

    /// Returns the number of callers with queued requests.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.caller_queues.len()
    }

    /// Returns how many queued requests would be served before a new one of this caller.
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
