//! Requests of callers and operators at the leader.

use std::time::Duration;

use log::info;
use parsleywalk_batch::{BatchCommand, JobRefusal, QueueConfiguration, WorkspaceConfiguration};
use parsleywalk_peer::{CallWindow, DaemonRelease};
use parsleywalk_units::{MonotonicTime, VmNumber, ZoneDirection};

use super::ReplicaCore;
use crate::leader_state::LeaderState;
use crate::queue_decision::{self, LeaderKnowledge, OwnedSubmission, QueueDecision, QueueRequest};
use crate::submission_history::PriorDecision;
use crate::waiter::{JobRequest, ReplySender, Waiter};
use crate::{LeaderReply, LeaderRequest};

/// The maximum number of tombstones; one takes less than 1 KB.
const MAX_TOMBSTONES: usize = 20_000;
/// The delay after which a submission that an earlier leader may have refused can be sent again.
const NEW_LEADER_RETRY_AFTER: Duration = Duration::from_secs(1);
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
                // Only with this response can the worker send a last report.
                if let Some(report) = self.held.take(&worker) {
                    self.respond(now, report);
                }
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
            LeaderRequest::Configure(configuration) => self.configure(configuration, None, sender),
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
            LeaderRequest::ConfigureWorkspaces { configuration, workspaces } => {
                self.configure(configuration, Some(workspaces), sender);
            }
            LeaderRequest::Queue { host, path, action } => {
                self.handle_queue(now, window, QueueRequest { host, path, action, key: None }, sender);
            }
            LeaderRequest::KeyedQueue { host, path, action, key } => {
                self.handle_queue(now, window, QueueRequest { host, path, action, key: Some(key) }, sender);
            }
        }
        self.advance(now);
    }

    /// Proposes a configuration, with its workspaces if it has any, unless a newer one is active.
    fn configure(
        &mut self,
        configuration: Box<QueueConfiguration>,
        workspaces: Option<Box<WorkspaceConfiguration>>,
        sender: ReplySender,
    ) {
        let version = configuration.version;
        let active = self.state.configuration().map(|current| current.version);
        info!("event=configuration_received version={version} held={active:?} workspaces={}", workspaces.is_some());
        if active.is_some_and(|active| active >= version) {
            return sender.send(LeaderReply::Done);
        }
        let Some(workspaces) = workspaces else {
            let commands = vec![BatchCommand::Configure(configuration)];
            return self.propose(commands, Waiter::Configure(sender, version));
        };
        if workspaces.version != version {
            let reason = format!("the workspaces are those of version {}, not {version}", workspaces.version);
            return sender.send(LeaderReply::Invalid(reason));
        }
        if let Some((vm, release)) = self.unready_replica() {
            let release = release.map_or_else(|| "unknown".to_owned(), |release| release.to_string());
            let peer = self.settings.peer_address(vm);
            info!("event=configuration_not_ready version={version} peer={peer} release={release}");
            return sender.send(LeaderReply::NotReady);
        }
        let Some(leader_state) = &self.leader_state else { return };
        // Without effect if another configuration of the version is committed first. The workspaces alone would then take
        // effect with that one's queues.
        let commands = if leader_state.pending_configurations > 0 {
            Vec::new()
        } else {
            vec![BatchCommand::Configure(configuration), BatchCommand::ConfigureWorkspaces(workspaces)]
        };
        self.propose(commands, Waiter::Configure(sender, version));
    }

    /// Returns a replica that is not known to support the commands about workspaces, with its release. One that has
    /// applied such a command is known to support them.
    fn unready_replica(&self) -> Option<(VmNumber, Option<DaemonRelease>)> {
        if self.state.has_workspaces() {
            return None;
        }
        let mut replicas = self.other_replicas().into_iter().map(|vm| (vm, self.releases.get(&vm).copied()));
        replicas.find(|(_, release)| release.is_none_or(|release| release < DaemonRelease::WORKSPACES))
    }

    fn handle_queue(&mut self, now: MonotonicTime, window: CallWindow, request: QueueRequest, sender: ReplySender) {
        let Some(leader_state) = &self.leader_state else { return };
        let LeaderState { dispatcher, pending_jobs, .. } = leader_state;
        let unix_ms = crate::clock::unix_ms();
        let knowledge = LeaderKnowledge { state: &self.state, dispatcher, pending_jobs, now, unix_ms };
        let decision = queue_decision::decide(knowledge, request);
        self.carry_out(now, window, decision, sender);
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
            QueueDecision::SubmitCancelled(OwnedSubmission { submission, owner }) => {
                info!("event=job_cancelled_before_arrival job={} queue={}", submission.job, submission.queue);
                let request = JobRequest { job: submission.job, owner: owner.clone(), sender };
                self.propose(submission.into_cancelled(owner), Waiter::Submit(request));
            }
            QueueDecision::Cancel(job) => {
                let request = JobRequest { job, owner: None, sender };
                self.propose(vec![BatchCommand::Cancel { job }], Waiter::Cancel(request));
            }
            QueueDecision::CancelUnknown(OwnedSubmission { submission: tombstone, owner }) => {
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
                let commands = vec![tombstone.into_command(owner.clone()), BatchCommand::Cancel { job }];
                self.propose(commands, Waiter::Cancel(JobRequest { job, owner, sender }));
            }
        }
    }

    /// Proposes a job, unless admission control refuses it or may have refused a copy of it.
    fn submit(&mut self, now: MonotonicTime, window: CallWindow, job: OwnedSubmission, sender: ReplySender) {
        let OwnedSubmission { submission, owner } = job;
        let Some(leader_state) = &mut self.leader_state else { return };
        let job = submission.job;
        let history = &mut leader_state.submission_history;
        let prior = history.prior(job, window.received);
        let refusal = match &prior {
            PriorDecision::Accepted => None,
            PriorDecision::Refused(refusal) => Some(refusal.clone()),
            PriorDecision::Unknown if leader_state.dispatcher.may_refuse(&submission) => {
                info!("event=call_overtaken request=submit job={job} expired=false");
                self.metrics.call_overtaken();
                // No copy has been stored, or the job would be known. The caller can send it again; copies from before this
                // reply must not be stored after it.
                let refusal = JobRefusal { retry_after: NEW_LEADER_RETRY_AFTER, reason: "the leader has changed" };
                history.record_refused(now, job, refusal);
                return sender.send(LeaderReply::NotReady);
            }
            PriorDecision::Unknown | PriorDecision::None => {
                let dispatcher = &mut leader_state.dispatcher;
                let refusal = match &owner {
                    Some(workspace) => dispatcher.admit_owned(now, &self.state, &submission, workspace),
                    None => dispatcher.admit(now, &self.state, &submission),
                };
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
            let retry_ms = retry_after.as_millis();
            info!("event=job_refused job={job} queue={queue} reason={reason:?} retry_after_ms={retry_ms}");
            return sender.send(LeaderReply::Refused { retry_after, reason: reason.to_owned() });
        }
        if prior != PriorDecision::Accepted {
            let workspace = owner.as_ref().map(|workspace| format!(" workspace={workspace}")).unwrap_or_default();
            info!("event=job_accepted job={job} queue={queue} steps={steps}{workspace}");
            self.metrics.job_accepted();
        }
        let request = JobRequest { job, owner: owner.clone(), sender };
        self.propose(vec![submission.into_command(owner)], Waiter::Submit(request));
    }
}
