//! The queue of one service.

use std::collections::{HashMap, VecDeque};

use parsleywalk_units::{CallerName, RequestId};

/// The caller whose turn it is; absent where callers are not told apart.
type LaneName = Option<CallerName>;

/// Requests waiting for a slot, served by caller in turn, each caller's in order.
///
/// A caller that has more requests than its share waits behind its own.
#[derive(Debug)]
pub struct AdmissionQueue {
    by_caller: bool,
    lanes: HashMap<LaneName, VecDeque<RequestId>>,
    turns: VecDeque<LaneName>,
    length: usize,
}

impl AdmissionQueue {
    /// Creates an empty queue, served by caller in turn or else in order of arrival.
    #[must_use]
    pub fn new(by_caller: bool) -> Self {
        Self { by_caller, lanes: HashMap::new(), turns: VecDeque::new(), length: 0 }
    }

    /// Adds a request behind the caller's others.
    pub fn push_back(&mut self, caller: &CallerName, request: RequestId) {
        let name = self.lane_name(caller);
        self.lane(name).push_back(request);
        self.length += 1;
    }

    /// Adds a request that already had its turn before all others of its caller, and makes it the caller's turn.
    pub fn push_front(&mut self, caller: &CallerName, request: RequestId) {
        let name = self.lane_name(caller);
        self.lane(name.clone()).push_front(request);
        self.length += 1;
        if let Some(place) = self.turns.iter().position(|waiting| *waiting == name) {
            self.turns.remove(place);
            self.turns.push_front(name);
        }
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let name = self.turns.pop_front()?;
        let lane = self.lanes.get_mut(&name)?;
        let request = lane.pop_front()?;
        self.length -= 1;
        if lane.is_empty() {
            self.lanes.remove(&name);
        } else {
            self.turns.push_back(name);
        }
        Some(request)
    }

    /// Takes a given request out and returns whether it was there.
    pub fn remove(&mut self, caller: &CallerName, request: RequestId) -> bool {
        let name = self.lane_name(caller);
        self.remove_from(&name, request)
    }

    /// Takes out the newest request of the caller with the most, if that caller has more than `fewer_than`.
    pub fn displace(&mut self, fewer_than: usize) -> Option<RequestId> {
        let (name, lane) = self.lanes.iter().max_by_key(|(name, lane)| (lane.len(), *name))?;
        let newest = *lane.back()?;
        let name = name.clone();
        (lane.len() > fewer_than && self.remove_from(&name, newest)).then_some(newest)
    }

    fn remove_from(&mut self, name: &LaneName, request: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(name) else { return false };
        let Some(place) = lane.iter().position(|queued| *queued == request) else { return false };
        lane.remove(place);
        self.length -= 1;
        if lane.is_empty() {
            self.lanes.remove(name);
            self.turns.retain(|waiting| waiting != name);
        }
        true
    }

    fn lane(&mut self, name: LaneName) -> &mut VecDeque<RequestId> {
        if !self.lanes.contains_key(&name) {
            self.turns.push_back(name.clone());
        }
        self.lanes.entry(name).or_default()
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
        self.lanes.get(self.turns.front()?)?.front().copied()
    }

    /// Returns the number of waiting requests of a caller, or of all where callers are not told apart.
    #[must_use]
    pub fn len_of(&self, caller: &CallerName) -> usize {
        self.lanes.get(&self.lane_name(caller)).map_or(0, VecDeque::len)
    }

    /// Returns the largest number of waiting requests of one caller.
    #[must_use]
    pub fn longest(&self) -> usize {
        self.lanes.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of callers that wait.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.turns.len()
    }

    /// Returns how many requests at most are served before a new one of this caller.
    #[must_use]
    pub fn ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.len_of(caller);
        let others = self.turns.len() - usize::from(own > 0);
        self.length.min(own + others * (own + 1))
    }

    fn lane_name(&self, caller: &CallerName) -> LaneName {
        self.by_caller.then(|| caller.clone())
    }
}
