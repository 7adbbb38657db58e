//! Workers' reports at the leader: received, held and answered.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_batch::{ReportAction, ReportResponse, WorkerReport};
use parsleywalk_consensus::ReplicaRole;
use parsleywalk_units::{MonotonicTime, VmNumber, WorkerId, ZoneName};

use super::ReplicaCore;
use crate::leader_state::{LeaderState, log_orders};
use crate::waiter::{ReplySender, Waiter, WaitingReport};
use crate::{LeaderReply, report_replica};

/// How long a response is held beyond its deadline while placements are being committed; about the duration of a
/// commit. Under load there are always such placements, so this must be bounded.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(30);
/// Workers are sent only to followers heard from within this time: three heartbeats.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Read-only methods.
impl ReplicaCore {
    /// Returns how long responses are held beyond their deadline, because placements that are being committed may add
    /// orders to them.
    pub(super) fn placement_wait(&self) -> Duration {
        let pending = self.leader_state.as_ref().is_some_and(|leader_state| leader_state.placement_pending);
        if pending { MAX_PLACEMENT_WAIT } else { Duration::ZERO }
    }

    /// Returns true if there are so many workers that those of each zone are to report to a replica of their zone.
    fn is_gathering(&self, now: MonotonicTime) -> bool {
        self.leader_state.as_ref().is_some_and(|leader_state| leader_state.dispatcher.is_gathering(now, &self.state))
    }

    /// Returns the replica to which a worker is to report, as the leader sees it.
    pub(crate) fn report_replica(&self, now: MonotonicTime, worker: &WorkerId, zone: &ZoneName) -> VmNumber {
        let own = self.node.id().vm;
        if *zone == self.settings.zone || !self.is_gathering(now) {
            return own;
        }
        let peers = self.node.status().peers;
        let followers = peers.iter().filter(|peer| {
            peer.role == ReplicaRole::Follower && Duration::from_millis(peer.silent_ms) < FOLLOWER_TIMEOUT
        });
        let followers: Vec<VmNumber> = followers.map(|peer| peer.id.vm).collect();
        report_replica::choose(worker, zone, &followers, &self.zones).unwrap_or(own)
    }

    /// Returns the reply to a follower's relayed reports, with the responses that are ready. Responses from before the
    /// end of the leader's lease must not go out after it.
    pub(crate) fn take_relayed(&self, now: MonotonicTime, follower: VmNumber) -> LeaderReply {
        let leads = self.is_leader(now);
        let Some(leader_state) = self.leader_state.as_ref().filter(|_| leads) else {
            return LeaderReply::NotLeader { leader: self.other_leader() };
        };
        LeaderReply::Relayed {
            responses: leader_state.take_responses(follower),
            is_gathering: leader_state.dispatcher.is_gathering(now, &self.state),
        }
    }
}

/// Methods that change the state.
impl ReplicaCore {
    /// Handles the reports that a follower has relayed. The responses go to its outbox. Without the leader's lease the
    /// reports are left unanswered, and the follower sends them to the next leader.
    pub(crate) fn handle_relayed(&mut self, now: MonotonicTime, follower: VmNumber, reports: &[Arc<WorkerReport>]) {
        let leads = self.is_leader(now);
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| leads) else { return };
        let outbox = leader_state.outbox(follower);
        for report in reports {
            let (worker, sequence) = (report.worker.clone(), report.sequence);
            self.handle_report(now, report, ReplySender::Relay { outbox: Rc::clone(&outbox), worker, sequence });
        }
        self.advance(now);
    }

    /// Handles a worker's report. It is answered at once if it is stale, and otherwise once its commands are committed.
    pub(super) fn handle_report(&mut self, now: MonotonicTime, report: &WorkerReport, sender: ReplySender) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let (worker, sequence) = (report.worker.clone(), report.sequence);
        match leader_state.dispatcher.receive(now, &self.state, report) {
            ReportAction::Stale => {
                let response = ReportResponse { orders: None, next_report: Duration::from_millis(100) };
                sender.send(LeaderReply::Report(Box::new(response)));
            }
            ReportAction::Commit(commands) => {
                self.metrics.runs_ended(&leader_state.dispatcher.take_listed_outcomes());
                leader_state.plan_due = true;
                let hold_until = now + leader_state.dispatcher.max_hold(&self.state, &worker);
                let waiting = WaitingReport { worker, sequence, hold_until, sender };
                if commands.is_empty() {
                    self.hold(now, waiting);
                } else {
                    self.propose(commands, Waiter::Report(waiting));
                }
            }
        }
    }

    /// Holds a report until there are orders for the worker or its deadline has passed. A worker that has announced its exit
    /// gets no orders, and can list its last ends only once it has the response.
    pub(super) fn hold(&mut self, now: MonotonicTime, report: WaitingReport) {
        let is_answered = |leader_state: &LeaderState| {
            let dispatcher = &leader_state.dispatcher;
            dispatcher.has_pending_starts(&self.state, &report.worker) || dispatcher.has_departed(&report.worker)
        };
        if self.leader_state.as_ref().is_none_or(is_answered) {
            return self.respond(now, report);
        }
        if let Some(replaced) = self.held.insert(report) {
            self.respond(now, replaced);
        }
    }

    /// Answers the held reports of workers that have got runs, and those whose deadline has passed.
    pub(super) fn answer_held(&mut self, now: MonotonicTime) {
        let placed = std::mem::take(&mut self.placed_workers);
        let limit = now.saturating_sub(self.placement_wait());
        let mut due: Vec<WaitingReport> = placed.iter().filter_map(|worker| self.held.take(worker)).collect();
        due.extend(self.held.take_due(limit));
        for report in due {
            self.respond(now, report);
        }
    }

    /// Responds to a report. Only a leader with a valid lease gives orders.
    pub(super) fn respond(&mut self, now: MonotonicTime, report: WaitingReport) {
        let leads = self.is_leader(now);
        let reply = match self.leader_state.as_mut().filter(|_| leads) {
            Some(leader_state) => {
                let response = leader_state.dispatcher.build_response(&self.state, &report.worker, report.sequence);
                log_orders(&report.worker, &response);
                self.metrics.record_response(&response);
                LeaderReply::Report(Box::new(response))
            }
            None => LeaderReply::NotLeader { leader: self.other_leader() },
        };
        report.sender.send(reply);
    }
}
