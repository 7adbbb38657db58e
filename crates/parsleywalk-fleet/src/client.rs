//! Finding and calling the leader.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use parsleywalk_batch::SortedTable;
use parsleywalk_consensus::LogTerm;
use parsleywalk_peer::{CallClient, CallError, PeerSettings};
use parsleywalk_units::{MonotonicTime, VmNumber};
use tokio::time;

use crate::clock::FleetClock;
use crate::settings::{FleetSettings, vm_number};
use crate::{FleetMetrics, LeaderReply, LeaderRequest};

/// The longest wait for a replica's word about the leader.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest wait for one answer of a leader; beyond it, the call is tried at whoever leads then.
const TRY_TIMEOUT: Duration = Duration::from_millis(900);
/// The wait before the next search when nobody leads.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);
/// A request that was not passed on is refused when there has been no leader for this long; its caller is better off coming
/// back.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);
/// A request that was passed on is given up when there has been no leader for this long: an election is over by then.
const UNCERTAIN_LIMIT: Duration = Duration::from_millis(1300);

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No leader was reached, and nothing was done.
    NotSent,
    /// The request may have taken effect.
    Unknown,
}

/// Finds the leader among the replicas and calls it.
#[derive(Debug)]
pub(crate) struct LeaderClient {
    settings: Arc<PeerSettings>,
    fleet: FleetSettings,
    clock: FleetClock,
    seeds: RefCell<Vec<VmNumber>>,
    members: RefCell<Vec<VmNumber>>,
    links: RefCell<SortedTable<VmNumber, Rc<CallClient>>>,
    leader: Cell<Option<VmNumber>>,
    term: Cell<LogTerm>,
    /// Since when no leader is known, while none is.
    leaderless_since: Cell<MonotonicTime>,
    /// When a leader last answered.
    reached: Cell<MonotonicTime>,
    searching: tokio::sync::Mutex<()>,
    metrics: FleetMetrics,
}

impl LeaderClient {
    /// Prepares a client; nothing is sent before the first call.
    #[must_use]
    pub(crate) fn new(
        settings: Arc<PeerSettings>,
        fleet: FleetSettings,
        clock: FleetClock,
        metrics: FleetMetrics,
    ) -> Self {
        let seeds = fleet.seeds.iter().map(|seed| vm_number(*seed)).collect();
        Self {
            settings,
            fleet,
            clock,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            links: RefCell::default(),
            leader: Cell::new(None),
            term: Cell::new(LogTerm::ZERO),
            leaderless_since: Cell::new(MonotonicTime::ZERO),
            reached: Cell::new(MonotonicTime::ZERO),
            searching: tokio::sync::Mutex::new(()),
            metrics,
        }
    }

    /// Replaces the seeds, which the settings may name anew at any time.
    pub(crate) fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        *self.seeds.borrow_mut() = seeds.iter().map(|seed| vm_number(*seed)).collect();
    }

    /// The leader that answered last, if any does.
    #[must_use]
    pub(crate) fn leader(&self) -> Option<VmNumber> {
        self.leader.get()
    }

    /// Takes the word of this daemon's own replica about the leader.
    pub(crate) fn set_leader(&self, leader: Option<VmNumber>) {
        if leader.is_some() {
            self.leader.set(leader);
        }
    }

    /// How long ago a leader answered.
    #[must_use]
    pub(crate) fn silence(&self) -> Duration {
        self.clock.now().since(self.reached.get())
    }

    /// The replicas that are known: seeds and members, sorted.
    #[must_use]
    pub(crate) fn contact_points(&self) -> Vec<VmNumber> {
        let mut contact_points = self.seeds.borrow().clone();
        contact_points.extend_from_slice(&self.members.borrow());
        contact_points.sort_unstable();
        contact_points.dedup();
        contact_points
    }

    /// Calls the leader, and tries again at its successor until the time is over. Refuses early when there has been no
    /// leader for a while, since callers are better off coming back.
    ///
    /// # Errors
    ///
    /// Says whether the request can have taken effect.
    pub(crate) async fn call(&self, request: &LeaderRequest, timeout: Duration) -> Result<LeaderReply, CallFailure> {
        let start = self.clock.now();
        let deadline = start + timeout;
        let mut sent = false;
        loop {
            let now = self.clock.now();
            let left = deadline.since(now);
            if left.is_zero() {
                return Err(if sent { CallFailure::Unknown } else { CallFailure::NotSent });
            }
            let Some(leader) = self.leader.get() else {
                if !self.search().await {
                    let alone = self.clock.now().since(self.leaderless_since.get().max(start));
                    match sent {
                        false if alone >= REFUSAL_LIMIT => return Err(CallFailure::NotSent),
                        true if alone >= UNCERTAIN_LIMIT => return Err(CallFailure::Unknown),
                        _ => {}
                    }
                    time::sleep(SEARCH_PAUSE).await;
                }
                continue;
            };
            match self.link(leader).call(request, left.min(TRY_TIMEOUT)).await {
                Ok(LeaderReply::NotLeader { leader: hint }) => {
                    if self.leader.get() == Some(leader) {
                        self.forget_leader();
                        self.leader.set(hint.filter(|hint| *hint != leader));
                    }
                    if hint.is_none_or(|hint| hint == leader) {
                        time::sleep(SEARCH_PAUSE).await;
                    }
                }
                Ok(LeaderReply::Uncertain) => sent = true,
                Ok(reply) => {
                    self.reached.set(self.clock.now());
                    return Ok(reply);
                }
                Err(error) => {
                    sent |= matches!(error, CallError::Unknown(_));
                    self.lose(leader, &error);
                }
            }
        }
    }

    fn forget_leader(&self) {
        self.leader.set(None);
        self.leaderless_since.set(self.clock.now());
    }

    fn lose(&self, leader: VmNumber, error: &CallError) {
        if self.leader.get() == Some(leader) {
            let peer = self.fleet.peer_address(leader);
            self.metrics.leader_lost();
            info!("event=leader_lost peer={peer} error={:?}", error.to_string());
            self.forget_leader();
            // A link that did not answer may be silent for good; the next call opens another.
            self.links.borrow_mut().remove(&leader);
        }
    }

    /// Asks all known replicas at once who leads. Returns whether a leader is known then.
    pub(crate) async fn search(&self) -> bool {
        let _one_at_a_time = self.searching.lock().await;
        if self.leader.get().is_some() {
            return true;
        }
        let (sender, replies) = flume::unbounded();
        for vm in self.contact_points() {
            let (link, sender) = (self.link(vm), sender.clone());
            tokio::task::spawn_local(async move {
                let reply = link.call(&LeaderRequest::Locate, LOCATE_TIMEOUT).await;
                drop(sender.send((vm, reply)));
            });
        }
        drop(sender);
        while let Ok((vm, reply)) = replies.recv_async().await {
            match reply {
                Ok(LeaderReply::Located { leader, term, members }) => self.note(leader, term, members),
                Ok(_) => {}
                Err(_) => {
                    self.links.borrow_mut().remove(&vm);
                }
            }
            if self.leader.get().is_some() {
                return true;
            }
        }
        false
    }

    fn note(&self, leader: Option<VmNumber>, term: LogTerm, members: Vec<VmNumber>) {
        if term < self.term.get() {
            return;
        }
        self.term.set(term);
        if !members.is_empty() {
            *self.members.borrow_mut() = members;
        }
        if let Some(leader) = leader {
            info!("event=leader_found peer={} term={term}", self.fleet.peer_address(leader));
            self.leader.set(Some(leader));
        }
    }

    /// Keeps the word about the leader fresh while callers are few.
    pub(crate) async fn probe(&self, interval: Duration) {
        loop {
            time::sleep(interval).await;
            if self.silence() >= interval {
                match self.leader.get() {
                    None => {
                        self.search().await;
                    }
                    Some(leader) => match self.link(leader).call(&LeaderRequest::Locate, TRY_TIMEOUT).await {
                        Ok(LeaderReply::Located { leader: named, term, members }) => {
                            if named == Some(leader) {
                                self.reached.set(self.clock.now());
                            } else if self.leader.get() == Some(leader) {
                                self.forget_leader();
                            }
                            if named == Some(leader) && term >= self.term.get() && !members.is_empty() {
                                self.term.set(term);
                                *self.members.borrow_mut() = members;
                            }
                        }
                        Ok(_) => {}
                        Err(error) => self.lose(leader, &error),
                    },
                }
            }
        }
    }

    fn link(&self, vm: VmNumber) -> Rc<CallClient> {
        let mut links = self.links.borrow_mut();
        let make = || Rc::new(CallClient::new(Arc::clone(&self.settings), self.fleet.peer_address(vm)));
        Rc::clone(links.entry(vm, make))
    }
}
