//! Client that finds the leader and calls it.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use parsleywalk_batch::SortedMap;
use parsleywalk_consensus::LogTerm;
use parsleywalk_peer::{CallClient, CallError, CallWindow, DaemonRelease, PeerError, PeerSettings, SteadyClock};
use parsleywalk_units::{MonotonicTime, VmNumber};
use tokio::time;

use crate::settings::{FleetSettings, vm_number};
use crate::{FleetMetrics, LeaderReply, LeaderRequest};

/// The maximum wait for a replica's reply to a location request.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum wait for one reply from a leader; afterwards the call is repeated to the leader of that moment.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// The delay before the next search when no leader was found.
const SEARCH_BACKOFF: Duration = Duration::from_millis(60);
/// A request that was not sent is refused after this time without a leader, because its caller does better to retry.
const UNSENT_LEADERLESS_LIMIT: Duration = Duration::from_millis(300);
/// A request that was sent is abandoned after this time without a leader, by which an election is normally over.
const SENT_LEADERLESS_LIMIT: Duration = Duration::from_millis(1300);

/// The reason why a request has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No leader was reached, and the request had no effect.
    NotSent,
    /// The request may have taken effect.
    Unknown,
}

/// Finds the leader among the replicas and calls it.
#[derive(Debug)]
pub(crate) struct LeaderClient {
    settings: Arc<PeerSettings>,
    fleet: FleetSettings,
    clock: SteadyClock,
    seeds: RefCell<Vec<VmNumber>>,
    members: RefCell<Vec<VmNumber>>,
    call_clients: RefCell<SortedMap<VmNumber, Rc<CallClient>>>,
    leader: Cell<Option<VmNumber>>,
    term: Cell<LogTerm>,
    /// Since when no leader has been known; meaningful only while none is.
    leaderless_since: Cell<MonotonicTime>,
    /// When a leader last replied.
    last_contact: Cell<MonotonicTime>,
    /// Locked during a search, so that only one runs at a time.
    searching: tokio::sync::Mutex<()>,
    /// When the last search began.
    last_search: Cell<MonotonicTime>,
    metrics: FleetMetrics,
}

impl LeaderClient {
    /// Creates a client; nothing is sent before the first call.
    #[must_use]
    pub(crate) fn new(
        settings: Arc<PeerSettings>,
        fleet: FleetSettings,
        clock: SteadyClock,
        metrics: FleetMetrics,
    ) -> Self {
        let seeds = fleet.seeds.iter().map(|seed| vm_number(*seed)).collect();
        Self {
            settings,
            fleet,
            clock,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            call_clients: RefCell::default(),
            leader: Cell::new(None),
            term: Cell::new(LogTerm::ZERO),
            leaderless_since: Cell::new(MonotonicTime::ZERO),
            last_contact: Cell::new(MonotonicTime::ZERO),
            searching: tokio::sync::Mutex::new(()),
            last_search: Cell::new(MonotonicTime::ZERO),
            metrics,
        }
    }

    /// Replaces the seeds, which a configuration reload can change at any time.
    pub(crate) fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        *self.seeds.borrow_mut() = seeds.iter().map(|seed| vm_number(*seed)).collect();
    }

    /// Returns the leader that is currently assumed, if any.
    #[must_use]
    pub(crate) fn leader(&self) -> Option<VmNumber> {
        self.leader.get()
    }

    /// Sets the leader that this daemon's own replica knows; `None` changes nothing.
    pub(crate) fn set_leader(&self, leader: Option<VmNumber>) {
        if leader.is_some() {
            self.leader.set(leader);
        }
    }

    /// Returns the time since a leader last replied.
    #[must_use]
    pub(crate) fn contact_age(&self) -> Duration {
        self.clock.now().since(self.last_contact.get())
    }

    /// Returns the known replicas, which are the seeds and the members, sorted and without duplicates.
    #[must_use]
    pub(crate) fn contact_points(&self) -> Vec<VmNumber> {
        let mut contact_points = self.seeds.borrow().clone();
        contact_points.extend_from_slice(&self.members.borrow());
        contact_points.sort_unstable();
        contact_points.dedup();
        contact_points
    }

    /// Calls the leader and repeats the call to its successors until the window ends. Fails early if there is no leader
    /// for a while, because callers do better to retry.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader replied; it says whether the request may have taken effect.
    pub(crate) async fn call(&self, request: &LeaderRequest, window: CallWindow) -> Result<LeaderReply, CallFailure> {
        self.call_any(request, window).await.map(|(_, reply)| reply)
    }

    /// Does the same as [`LeaderClient::call`] and also returns which leader replied.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader replied; it says whether the request may have taken effect.
    pub(crate) async fn call_any(
        &self,
        request: &LeaderRequest,
        window: CallWindow,
    ) -> Result<(VmNumber, LeaderReply), CallFailure> {
        let start = self.clock.now();
        let mut sent = false;
        loop {
            let now = self.clock.now();
            let remaining = window.expires.since(now);
            if remaining.is_zero() {
                return Err(if sent { CallFailure::Unknown } else { CallFailure::NotSent });
            }
            let Some(leader) = self.leader.get() else {
                if !self.search().await {
                    let leaderless = self.clock.now().since(self.leaderless_since.get().max(start));
                    match sent {
                        false if leaderless >= UNSENT_LEADERLESS_LIMIT => return Err(CallFailure::NotSent),
                        true if leaderless >= SENT_LEADERLESS_LIMIT => return Err(CallFailure::Unknown),
                        _ => {}
                    }
                    time::sleep(SEARCH_BACKOFF).await;
                }
                continue;
            };
            let call_client = self.call_client(leader);
            // The window can be sent only after a reply with a reading of the leader's clock, and a request that not every
            // release can decode only after a reply with the leader's release.
            let release = call_client.remote_release();
            let is_plain = request.release() == DaemonRelease::FIRST;
            if !call_client.has_reply() || (release.is_none() && !is_plain) {
                let located = call_client.call(&LeaderRequest::Locate, None, remaining.min(LOCATE_TIMEOUT)).await;
                if let Err(error) = located.map(|_: LeaderReply| ()) {
                    self.handle_failure(leader, now, &error).await;
                }
                continue;
            }
            let is_undecodable = release.is_some_and(|release| release < request.release());
            let plain_request = if is_undecodable { request.without_key() } else { None };
            if is_undecodable && plain_request.is_none() {
                debug!("event=leader_not_ready peer={} request={request}", self.fleet.peer_address(leader));
                return Ok((leader, LeaderReply::NotReady));
            }
            let sent_request = plain_request.as_ref().unwrap_or(request);
            match call_client.call(sent_request, Some(window), remaining.min(ATTEMPT_TIMEOUT)).await {
                Ok(LeaderReply::NotLeader { leader: hint }) => {
                    if self.leader.get() == Some(leader) {
                        self.forget_leader();
                        self.leader.set(hint.filter(|hint| *hint != leader));
                    }
                    if hint.is_none_or(|hint| hint == leader) {
                        time::sleep(SEARCH_BACKOFF).await;
                    }
                }
                Ok(LeaderReply::Uncertain) => sent = true,
                Ok(reply) => {
                    self.last_contact.set(self.clock.now());
                    return Ok((leader, reply));
                }
                Err(error) => {
                    sent |= matches!(error, CallError::Unknown(_));
                    self.handle_failure(leader, now, &error).await;
                }
            }
        }
    }

    /// Handles a failed call that began at `since`, and asks whether the leader still leads if it has not replied in
    /// time.
    async fn handle_failure(&self, leader: VmNumber, since: MonotonicTime, error: &CallError) {
        self.handle_call_error(leader, since, error);
        if is_timeout(error) {
            self.verify_leader(leader, since).await;
        }
    }

    fn forget_leader(&self) {
        self.leader.set(None);
        self.leaderless_since.set(self.clock.now());
    }

    /// Forgets the leader after a failed call that began at `since`. A call that only timed out says little about a
    /// busy leader, so the leader stays, and so does the connection if it has carried a reply since.
    fn handle_call_error(&self, leader: VmNumber, since: MonotonicTime, error: &CallError) {
        if is_timeout(error) {
            if self.last_contact.get() < since {
                self.call_clients.borrow_mut().remove(&leader);
            }
        } else if self.leader.get() == Some(leader) {
            let peer = self.fleet.peer_address(leader);
            self.metrics.leader_lost();
            info!("event=leader_lost peer={peer} error={:?}", error.to_string());
            self.forget_leader();
            // The connection may be dead; the next call opens another one.
            self.call_clients.borrow_mut().remove(&leader);
        }
    }

    /// Asks all known replicas concurrently who leads. Returns true if a leader is known afterwards.
    pub(crate) async fn search(&self) -> bool {
        let _guard = self.searching.lock().await;
        if self.leader.get().is_some() {
            return true;
        }
        self.ask_replicas(None).await;
        self.leader.get().is_some()
    }

    /// Asks the other replicas whether a leader that has not replied in time still leads, unless a search has begun
    /// since `since`.
    async fn verify_leader(&self, leader: VmNumber, since: MonotonicTime) {
        let _guard = self.searching.lock().await;
        if self.leader.get() == Some(leader) && self.last_search.get() <= since {
            self.ask_replicas(Some(leader)).await;
        }
    }

    /// Asks all known replicas but one concurrently who leads, until one of them names a leader.
    async fn ask_replicas(&self, except: Option<VmNumber>) {
        self.last_search.set(self.clock.now());
        let (sender, replies) = flume::unbounded();
        for vm in self.contact_points().into_iter().filter(|vm| Some(*vm) != except) {
            let (call_client, sender) = (self.call_client(vm), sender.clone());
            tokio::task::spawn_local(async move {
                let reply = call_client.call(&LeaderRequest::Locate, None, LOCATE_TIMEOUT).await;
                drop(sender.send((vm, reply)));
            });
        }
        drop(sender);
        while let Ok((vm, reply)) = replies.recv_async().await {
            match reply {
                Ok(LeaderReply::Located { leader, term, members }) => {
                    self.record_location(leader, term, members);
                    if leader.is_some() && self.leader.get().is_some() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(_) => {
                    self.call_clients.borrow_mut().remove(&vm);
                }
            }
        }
    }

    fn record_location(&self, leader: Option<VmNumber>, term: LogTerm, members: Vec<VmNumber>) {
        if term < self.term.get() {
            return;
        }
        self.term.set(term);
        if !members.is_empty() {
            *self.members.borrow_mut() = members;
        }
        if let Some(leader) = leader
            && self.leader.replace(Some(leader)) != Some(leader)
        {
            info!("event=leader_found peer={} term={term}", self.fleet.peer_address(leader));
        }
    }

    /// Probes the leader whenever it has not replied for `interval`, so that a leader is known while there are few
    /// calls.
    pub(crate) async fn probe(&self, interval: Duration) {
        loop {
            time::sleep(interval).await;
            let now = self.clock.now();
            if self.contact_age() >= interval {
                match self.leader.get() {
                    None => {
                        self.search().await;
                    }
                    Some(leader) => {
                        match self.call_client(leader).call(&LeaderRequest::Locate, None, ATTEMPT_TIMEOUT).await {
                            Ok(LeaderReply::Located { leader: located, term, members }) => {
                                if located == Some(leader) {
                                    self.last_contact.set(self.clock.now());
                                } else if self.leader.get() == Some(leader) {
                                    self.forget_leader();
                                }
                                if located == Some(leader) && term >= self.term.get() && !members.is_empty() {
                                    self.term.set(term);
                                    *self.members.borrow_mut() = members;
                                }
                            }
                            Ok(_) => {}
                            Err(error) => {
                                self.handle_call_error(leader, now, &error);
                                self.verify_leader(leader, now).await;
                            }
                        }
                    }
                }
            }
        }
    }

    /// Returns the release of a replica, or `None` if it is unknown.
    pub(crate) fn release(&self, vm: VmNumber) -> Option<DaemonRelease> {
        self.call_clients.borrow().get(&vm)?.remote_release()
    }

    /// Asks the replicas whose releases are unknown for a reply, which names them.
    pub(crate) async fn query_releases(&self, replicas: &[VmNumber]) {
        let (sender, replies) = flume::unbounded();
        for vm in replicas.iter().copied().filter(|vm| self.release(*vm).is_none()) {
            let (call_client, sender) = (self.call_client(vm), sender.clone());
            tokio::task::spawn_local(async move {
                let reply = call_client.call(&LeaderRequest::Locate, None, LOCATE_TIMEOUT).await;
                drop(sender.send((vm, call_client, reply.map(|_: LeaderReply| ()))));
            });
        }
        drop(sender);
        while let Ok((vm, call_client, reply)) = replies.recv_async().await {
            match reply {
                Ok(()) => {
                    let release = call_client.remote_release();
                    let release = release.map_or_else(|| "unknown".to_owned(), |release| release.to_string());
                    info!("event=replica_release peer={} release={release}", self.fleet.peer_address(vm));
                }
                Err(error) => {
                    let peer = self.fleet.peer_address(vm);
                    debug!("event=replica_release_unknown peer={peer} error={:?}", error.to_string());
                    // The connection may be dead; the next query opens another one.
                    self.call_clients.borrow_mut().remove(&vm);
                }
            }
        }
    }

    fn call_client(&self, vm: VmNumber) -> Rc<CallClient> {
        let mut call_clients = self.call_clients.borrow_mut();
        let make = || Rc::new(CallClient::new(Arc::clone(&self.settings), self.fleet.peer_address(vm)));
        Rc::clone(call_clients.entry(vm, make))
    }
}

/// Returns true if the connection was open and no reply arrived in time.
fn is_timeout(error: &CallError) -> bool {
    matches!(error, CallError::Unknown(PeerError::Timeout { .. }))
}
