//! The queue of one service.

use std::collections::{BTreeSet, HashMap, VecDeque};

use parsleywalk_units::{CallerName, RequestId};

/// The most callers without waiting requests whose finish is remembered.
const IDLE_LIMIT: usize = 4096;

/// A due time and a sequence number.
type LanePlace = (u64, u64);

/// The caller that waits; absent where callers are not told apart.
type LaneName = Option<CallerName>;

#[derive(Debug)]
struct CallerLane {
    /// The virtual time at which the first request is due, and the order among those due at the same time.
    place: LanePlace,
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
    lanes: HashMap<LaneName, CallerLane>,
    /// The lanes by due time.
    order: BTreeSet<(LanePlace, LaneName)>,
    /// When the next request of a caller that does not wait is due, where that is after the present.
    idle: HashMap<LaneName, u64>,
    /// The number of idle callers at which those that are due are forgotten.
    prune_at: usize,
    present: u64,
    sequence: u64,
    length: usize,
}

impl AdmissionQueue {
    /// Creates an empty queue, served fairly by caller or else in order of arrival.
    #[must_use]
    pub fn new(by_caller: bool) -> Self {
        Self {
            by_caller,
            lanes: HashMap::new(),
            order: BTreeSet::new(),
            idle: HashMap::new(),
            prune_at: 64,
            present: 0,
            sequence: 0,
            length: 0,
        }
    }

    /// Adds a request behind the caller's others.
    pub fn push_back(&mut self, caller: &CallerName, request: RequestId) {
        let name = self.lane_name(caller);
        self.length += 1;
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.requests.push_back(request);
            return;
        }
        let start = self.idle.remove(&name).unwrap_or(0).max(self.present);
        self.add_lane(name, start, request);
    }

    /// Adds a request that already had its turn before all others of its caller, due at once.
    pub fn push_front(&mut self, caller: &CallerName, request: RequestId) {
        let name = self.lane_name(caller);
        self.length += 1;
        let present = self.present;
        let Some(lane) = self.lanes.get_mut(&name) else {
            self.idle.remove(&name);
            return self.add_lane(name, present, request);
        };
        lane.requests.push_front(request);
        let place = lane.place;
        self.order.remove(&(place, name.clone()));
        self.place_lane(name, present);
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let ((start, _), name) = self.order.pop_first()?;
        self.present = self.present.max(start);
        let lane = self.lanes.get_mut(&name)?;
        let request = lane.requests.pop_front()?;
        self.length -= 1;
        if lane.requests.is_empty() {
            self.lanes.remove(&name);
            self.remember_idle(name, start + 1);
        } else {
            self.place_lane(name, start + 1);
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
        let (name, lane) = self.lanes.iter().max_by_key(|(name, lane)| (lane.requests.len(), *name))?;
        let newest = *lane.requests.back()?;
        let (name, length) = (name.clone(), lane.requests.len());
        (length > fewer_than && self.remove_from(&name, newest)).then_some(newest)
    }

    fn remove_from(&mut self, name: &LaneName, request: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(name) else { return false };
        let Some(place) = lane.requests.iter().position(|queued| *queued == request) else { return false };
        lane.requests.remove(place);
        self.length -= 1;
        if lane.requests.is_empty() {
            let place = lane.place;
            self.lanes.remove(name);
            self.order.remove(&(place, name.clone()));
            self.remember_idle(name.clone(), place.0);
        }
        true
    }

    fn add_lane(&mut self, name: LaneName, start: u64, request: RequestId) {
        self.lanes.insert(name.clone(), CallerLane { place: (start, 0), requests: VecDeque::from([request]) });
        self.place_lane(name, start);
    }

    /// Puts a lane behind all others that are due at the same time.
    fn place_lane(&mut self, name: LaneName, start: u64) {
        self.sequence += 1;
        let place = (start, self.sequence);
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.place = place;
            self.order.insert((place, name));
        }
    }

    fn remember_idle(&mut self, name: LaneName, due: u64) {
        if due > self.present {
            self.idle.insert(name, due);
        }
        // A caller that is due by now is served as one that was never seen.
        if self.idle.len() > self.prune_at {
            let present = self.present;
            self.idle.retain(|_, due| *due > present);
            if self.idle.len() > IDLE_LIMIT {
                self.idle.clear();
            }
            self.prune_at = 64 + 2 * self.idle.len();
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
        let (_, name) = self.order.first()?;
        self.lanes.get(name)?.requests.front().copied()
    }

    /// Returns the number of waiting requests of a caller, or of all where callers are not told apart.
    #[must_use]
    pub fn len_of(&self, caller: &CallerName) -> usize {
        self.lanes.get(&self.lane_name(caller)).map_or(0, |lane| lane.requests.len())
    }

    /// Returns the largest number of waiting requests of one caller.
    #[must_use]
    pub fn longest(&self) -> usize {
        self.lanes.values().map(|lane| lane.requests.len()).max().unwrap_or(0)
    }

    /// Returns the number of callers that wait.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.lanes.len()
    }

    /// Returns how many waiting requests are due before a new one of this caller.
    #[must_use]
    pub fn ahead_of(&self, caller: &CallerName) -> usize {
        let name = self.lane_name(caller);
        let own = self.lanes.get(&name);
        let due = match own {
            Some(lane) => lane.place.0 + count(lane.requests.len()),
            None => self.idle.get(&name).copied().unwrap_or(0).max(self.present),
        };
        let earlier = self.order.iter().take_while(|((start, _), _)| *start <= due).filter(|(_, other)| *other != name);
        let others: u64 =
            earlier.map(|((start, _), other)| count(self.lanes[other].requests.len()).min(due - start + 1)).sum();
        own.map_or(0, |lane| lane.requests.len()) + usize::try_from(others).unwrap_or(usize::MAX)
    }

    fn lane_name(&self, caller: &CallerName) -> LaneName {
        self.by_caller.then(|| caller.clone())
    }
}

fn count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
