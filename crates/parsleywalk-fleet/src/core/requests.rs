//! Requests of callers and operators at the leader.

use std::time::Duration;

use log::info;
use parsleywalk_batch::{BatchCommand, Dispatcher, JobRefusal, JobSubmission};
use parsleywalk_peer::CallWindow;
use parsleywalk_units::{MonotonicTime, ZoneDirection};

use super::ReplicaCore;
use crate::queue_decision::{self, LeaderKnowledge, QueueDecision};
use crate::submission_history::PriorDecision;
use crate::waiter::{ReplySender, Waiter};
use crate::{LeaderReply, LeaderRequest};

/// The maximum number of tombstones; one takes less than 1 KB.
const MAX_TOMBSTONES: usize = 20_000;
/// The delay after which a cancel of an unknown job may be repeated when there are too many of them.
const TOMBSTONE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Methods that change the state.
impl ReplicaCore {
    /// Handles a request; the reply is sent now or once the command is committed. Only reports and numbered announcements
    /// have an effect outside their window.
    pub(crate) fn handle_request(
        &mut self,
        now: MonotonicTime,
        request: LeaderRequest,
        window: CallWindow,
        sender: ReplySender,
    ) {
        if matches!(request, LeaderRequest::Locate) {
            sender.send(self.locate_reply());
            return;
        }
        if !self.is_leader(now) {
            sender.send(LeaderReply::NotLeader { leader: self.other_leader() });
            return;
        }
        if window.is_expired(now) && !request.outlives_window() {
            self.drop_overtaken(now, &request, window, sender);
            return;
        }
        match request {
            // Answered before, and by `handle_relayed`.
            LeaderRequest::Locate | LeaderRequest::Relay { .. } => {}
            LeaderRequest::Report(report) => self.handle_report(now, &report, sender),
            LeaderRequest::Leave { worker, incarnation } => {
                info!("event=worker_leaving worker={worker} incarnation={incarnation:?}");
                let Some(leader_state) = &mut self.leader_state else { return };
                match leader_state.dispatcher.mark_departed(&self.state, &worker, incarnation) {
                    Some(command) => self.propose(vec![command], Waiter::Reply(sender)),
                    None => sender.send(LeaderReply::Done),
                }
            }
            LeaderRequest::ReadConfiguration => {
                let configuration = self.state.configuration();
                let reply = configuration.map_or(LeaderReply::NoConfiguration, |configuration| {
                    LeaderReply::Configuration { version: configuration.version, text: configuration.text.clone() }
                });
                sender.send(reply);
            }
            LeaderRequest::Configure(configuration) => {
                let active = self.state.configuration().map(|current| current.version);
                info!("event=configuration_received version={} held={active:?}", configuration.version);
                if active.is_some_and(|active| active >= configuration.version) {
                    sender.send(LeaderReply::Done);
                } else {
                    self.propose(vec![BatchCommand::Configure(configuration)], Waiter::Reply(sender));
                }
            }
            LeaderRequest::SetZone { ref zone, direction } => {
                let is_out = self.state.is_out_of_service(zone);
                let active = if is_out { ZoneDirection::Out } else { ZoneDirection::In };
                let Some(leader_state) = &mut self.leader_state else { return };
                if !leader_state.zone_orders.admit(now, window.received, zone, direction, active) {
                    return self.drop_overtaken(now, &request, window, sender);
                }
                let age_ms = now.since(window.received).as_millis();
                info!("event=zone_change zone={zone} direction={direction} age_ms={age_ms}");
                self.propose(vec![BatchCommand::SetZone { zone: zone.clone(), direction }], Waiter::Reply(sender));
            }
            LeaderRequest::Queue { host, path, action } => {
                let Some(leader_state) = &self.leader_state else { return };
                let (state, dispatcher) = (&self.state, &leader_state.dispatcher);
                let knowledge = LeaderKnowledge { state, dispatcher, now, unix_ms: crate::clock::unix_ms() };
                let decision = queue_decision::decide(knowledge, &host, &path, action);
                self.carry_out(now, window, decision, sender);
            }
        }
        self.advance(now);
    }

    /// Answers a request that must not take effect any more.
    fn drop_overtaken(&self, now: MonotonicTime, request: &LeaderRequest, window: CallWindow, sender: ReplySender) {
        self.metrics.call_overtaken();
        let age_ms = now.since(window.received).as_millis();
        let expired = window.is_expired(now);
        info!("event=call_overtaken request={request} age_ms={age_ms} expired={expired}");
        sender.send(LeaderReply::Overtaken);
    }

    /// Answers a caller's request or proposes its commands.
    fn carry_out(&mut self, now: MonotonicTime, window: CallWindow, decision: QueueDecision, sender: ReplySender) {
        match decision {
            QueueDecision::Reply(reply) => sender.send(reply),
            QueueDecision::Submit(submission) => self.submit(now, window, submission, sender),
            QueueDecision::SubmitCancelled(submission) => {
                info!("event=job_cancelled_before_arrival job={} queue={}", submission.job, submission.queue);
                self.propose(submission.into_cancelled(), Waiter::Reply(sender));
            }
            QueueDecision::Cancel(job) => {
                self.propose(vec![BatchCommand::Cancel { job }], Waiter::Cancel(sender, job));
            }
            QueueDecision::CancelUnknown(tombstone) => {
                let Some(leader_state) = &mut self.leader_state else { return };
                if leader_state.tombstones >= MAX_TOMBSTONES {
                    let reason = "too many jobs were cancelled before they arrived";
                    self.metrics.refused(reason);
                    info!("event=cancel_refused job={} reason={reason:?}", tombstone.job);
                    let reason = reason.to_owned();
                    return sender.send(LeaderReply::Refused { retry_after: TOMBSTONE_RETRY_AFTER, reason });
                }
                leader_state.tombstones += 1;
                let job = tombstone.job;
                // A copy of the job that is committed first stays, and is cancelled.
                let commands = vec![BatchCommand::Submit(tombstone), BatchCommand::Cancel { job }];
                self.propose(commands, Waiter::Cancel(sender, job));
            }
        }
    }

    /// Proposes a job, unless admission control refuses it or may have refused a copy of it.
    fn submit(&mut self, now: MonotonicTime, window: CallWindow, submission: Box<JobSubmission>, sender: ReplySender) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let job = submission.job;
        let history = &mut leader_state.submission_history;
        let prior = history.prior(job, window.received);
        let refusal = match &prior {
            PriorDecision::Accepted => None,
            PriorDecision::Refused(refusal) => Some(refusal.clone()),
            PriorDecision::Unknown if Dispatcher::may_refuse(&submission) => {
                info!("event=call_overtaken request=submit job={job} expired=false");
                self.metrics.call_overtaken();
                return sender.send(LeaderReply::Overtaken);
            }
            PriorDecision::Unknown | PriorDecision::None => {
                let refusal = leader_state.dispatcher.admit(now, &self.state, &submission);
                match refusal.clone() {
                    Some(refusal) => history.record_refused(now, job, refusal),
                    None => history.record_accepted(job),
                }
                refusal
            }
        };
        let (queue, steps) = (&submission.queue, submission.spec.steps.len());
        if let Some(JobRefusal { retry_after, reason }) = refusal {
            self.metrics.refused(reason);
            info!("event=job_refused job={job} queue={queue} reason={reason:?}");
            return sender.send(LeaderReply::Refused { retry_after, reason: reason.to_owned() });
        }
        if prior != PriorDecision::Accepted {
            info!("event=job_accepted job={job} queue={queue} steps={steps}");
            self.metrics.job_accepted();
        }
        self.propose(vec![BatchCommand::Submit(submission)], Waiter::Reply(sender));
    }
}
