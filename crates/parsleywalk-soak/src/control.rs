//! The coordinator of a daemon and its disk, connected as in the daemon's control and storage threads.

use std::time::Duration;

use parsleywalk_consensus::{RecoveredLog, ReplicaId, WriteTicket};
use parsleywalk_control::ControlReply;
use parsleywalk_coordinator::{
    CallFailure, CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorRecord, LeaderCall, LeaderReply,
};
use parsleywalk_routing::{ClaimDecision, ClaimState, ServiceRoute};
use parsleywalk_units::{ClaimOutcome, Incarnation};
use rand::RngExt;

use crate::clock::DriftingClock;
use crate::daemon::{Daemon, ReplySink, daemon_index};
use crate::disk::SimulatedDisk;
use crate::event::{Event, NetworkNode, PeerMessage, earliest};
use crate::world::{Delivery, World};

/// The longest time between two wake-ups of a daemon.
const MAX_SLEEP_MICROS: u64 = 100_000;
/// How long an entry daemon waits for the leader's reply to a worker's report, as in the real daemon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

pub(crate) type CallResult = Result<LeaderReply, CallFailure>;

/// Process lifecycle.
impl World {
    pub(crate) fn start_daemon(&mut self, daemon: usize) {
        let clock = DriftingClock::random(self.now, &mut self.random);
        let number = self.next_process_number();
        let accepted = self.oracle.accepted_version;
        self.oracle.raise_min_version(daemon, accepted);
        self.daemons[daemon].start(self.now, daemon, clock, number);
        let id = self.daemons[daemon].id;
        self.push_trace(format_args!("start daemon {daemon} as {id}"));
        self.schedule_wake(daemon);
    }

    /// Kills the process; a random prefix of the unsynced writes survives on the disk.
    pub(crate) fn kill_daemon(&mut self, daemon: usize) {
        let kept = self.random.random_range(0..=self.daemons[daemon].disk.unsynced());
        let killed = &mut self.daemons[daemon];
        killed.process = None;
        killed.generation += 1;
        killed.frozen_until = 0;
        killed.disk.crash(kept);
        let id = killed.id;
        self.push_trace(format_args!("kill daemon {daemon}, {id}"));
    }

    /// Kills the process and replaces the disk by an empty one with a new incarnation.
    pub(crate) fn lose_disk(&mut self, daemon: usize) {
        self.kill_daemon(daemon);
        let number = self.next_process_number();
        let lost = &mut self.daemons[daemon];
        lost.disk = SimulatedDisk::new(RecoveredLog::default());
        lost.id = ReplicaId::new(lost.vm, Incarnation::new(number));
        let id = lost.id;
        self.push_trace(format_args!("disk of daemon {daemon} replaced, new id {id}"));
    }

    pub(crate) fn wake_daemon(&mut self, daemon: usize, generation: u64) {
        let now = self.now;
        let woken = &mut self.daemons[daemon];
        if woken.generation != generation {
            return;
        }
        woken.next_wake = u64::MAX;
        let (local, at) = (woken.clock.read(now), woken.clock.wall_time(now));
        let Some(process) = &mut woken.process else { return };
        if process.coordinator.next_deadline() <= local {
            let actions = process.coordinator.tick(local, at);
            self.apply_actions(daemon, actions);
        }
        self.tick_router(daemon);
        self.schedule_wake(daemon);
    }

    /// Schedules the daemon's next wake-up, unless an earlier one is scheduled.
    pub(crate) fn schedule_wake(&mut self, daemon: usize) {
        let armed = &mut self.daemons[daemon];
        let Some(process) = &armed.process else { return };
        let forwards = process.forwards.values().copied();
        let deadlines = [process.coordinator.next_deadline(), process.router.next_deadline()];
        let due = armed.clock.real_time_at(earliest(deadlines.into_iter().chain(forwards)));
        // A passed deadline is handled after 100 us, so that simulated time advances and the event loop ends.
        let at = due.clamp(self.now + 100, self.now + MAX_SLEEP_MICROS);
        if at < armed.next_wake {
            armed.next_wake = at;
            let generation = armed.generation;
            self.schedule(at, Event::WakeDaemon { daemon, generation });
        }
    }

    pub(crate) fn on_sync(&mut self, daemon: usize, generation: u64, ticket: WriteTicket) {
        if self.daemons[daemon].generation == generation {
            self.daemons[daemon].disk.sync(ticket);
            self.step(daemon, CoordinatorEvent::Persisted { ticket });
        }
    }

    pub(crate) fn receive(&mut self, from: usize, daemon: usize, message: PeerMessage) {
        match message {
            PeerMessage::Coordinator(message) => {
                let from = self.daemons[from].vm;
                self.step(daemon, CoordinatorEvent::Receive { from, message });
            }
            message => self.receive_router_message(from, daemon, message),
        }
    }
}

/// Calls to the leader.
impl World {
    pub(crate) fn call(&mut self, daemon: usize, body: LeaderCall, timeout: Duration, sink: ReplySink) {
        let Some(process) = &mut self.daemons[daemon].process else { return };
        process.last_call += 1;
        let call = CallToken::new(process.last_call);
        process.calls.insert(call, sink);
        self.step(daemon, CoordinatorEvent::Call { call, body, timeout });
    }

    pub(crate) fn on_report(
        &mut self,
        daemon: usize,
        worker: usize,
        generation: u64,
        report: &parsleywalk_api::WorkerReport,
    ) {
        let body = LeaderCall::Report { report: Box::new(report.clone().into()), entries: Vec::new() };
        self.call(daemon, body, REPORT_TIMEOUT, ReplySink::Report { worker, generation });
    }

    fn step(&mut self, daemon: usize, event: CoordinatorEvent) {
        let now = self.now;
        let stepped = &mut self.daemons[daemon];
        let (local, at) = (stepped.clock.read(now), stepped.clock.wall_time(now));
        let Some(process) = &mut stepped.process else { return };
        let actions = process.coordinator.step(local, at, event);
        self.apply_actions(daemon, actions);
        self.schedule_wake(daemon);
    }

    fn apply_actions(&mut self, daemon: usize, actions: Vec<CoordinatorAction>) {
        self.check_state(daemon);
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => {
                    let to = daemon_index(to);
                    let message = Box::new(PeerMessage::Coordinator(message));
                    let event = Event::Peer { from: daemon, daemon: to, message, sent_at: self.now };
                    self.send(NetworkNode::Daemon(daemon), NetworkNode::Daemon(to), Delivery::Unreliable, event);
                }
                CoordinatorAction::Persist { ticket, write } => {
                    let wait = 300 + self.random.random_range(0..self.max_sync);
                    let writer: &mut Daemon = &mut self.daemons[daemon];
                    writer.disk.write(ticket, write);
                    writer.last_sync = writer.last_sync.max(self.now + wait);
                    let (at, generation) = (writer.last_sync, writer.generation);
                    self.schedule(at, Event::Synced { daemon, generation, ticket });
                }
                CoordinatorAction::Finish { call, result } => self.finish_call(daemon, call, result),
                CoordinatorAction::Configure => self.configure_router(daemon),
                CoordinatorAction::Record(record) => self.record(daemon, &record),
                CoordinatorAction::Fail { reason } => self.set_violation(format!("daemon {daemon} failed: {reason}")),
            }
        }
    }

    fn finish_call(&mut self, daemon: usize, call: CallToken, result: CallResult) {
        let sink = self.daemons[daemon].process.as_mut().and_then(|process| process.calls.remove(&call));
        match sink {
            Some(ReplySink::Claim { request }) => self.claim_decided(daemon, request, claim_decision(&result)),
            Some(ReplySink::Report { worker, generation }) => {
                if let Ok(LeaderReply::Json(body)) = result {
                    let reply = Box::new(serde_json::from_slice(&body).expect("the leader's reply is valid JSON"));
                    let event = Event::ReportResponse { worker, generation, reply };
                    self.send(NetworkNode::Daemon(daemon), NetworkNode::Worker(worker), Delivery::Unreliable, event);
                }
            }
            Some(ReplySink::Operation { operation }) => {
                self.check_operation(operation, &result);
                let event = Event::OperationResponse { operation, result: Box::new(result) };
                self.send(NetworkNode::Daemon(daemon), NetworkNode::Client, Delivery::AtMostOnce, event);
            }
            Some(ReplySink::Job { job, cancel }) => self.on_job_result(job, cancel, &result),
            Some(ReplySink::Ignored) => {}
            None => self.set_violation(format!(
                "daemon {daemon} finished call {}, which is unknown or already finished",
                call.get()
            )),
        }
    }

    fn configure_router(&mut self, daemon: usize) {
        let Some(process) = &mut self.daemons[daemon].process else { return };
        let Some(configuration) = process.coordinator.state().configuration() else { return };
        let catalog = &configuration.catalog;
        let routes = catalog.services.iter().map(|service| ServiceRoute {
            service: service.name.clone(),
            class: catalog.effective_class(&service.name).unwrap_or(service.class),
            repeatable: service.repeatable,
            deadline: service.deadline.as_duration(),
            depends_on: service.depends_on.clone(),
            slots_limit: service.slots.min(service.connections),
        });
        process.routes = routes.collect();
        self.route(daemon, |router, local, routes| router.configure(local, routes.clone()));
    }

    fn record(&mut self, daemon: usize, record: &CoordinatorRecord) {
        match record {
            CoordinatorRecord::LeaderReady { .. } => self.totals.elections += 1,
            CoordinatorRecord::WorkerLost { .. } if self.leader() == Some(daemon) => self.totals.expired_workers += 1,
            CoordinatorRecord::SnapshotInstalled { .. } => self.totals.snapshots += 1,
            CoordinatorRecord::CommandApplied { .. } | CoordinatorRecord::ReportAnswered => return,
            _ => {}
        }
        let id = self.daemons[daemon].id;
        self.push_trace(format_args!("{id} {record}"));
    }
}

fn claim_decision(result: &CallResult) -> ClaimDecision {
    match result {
        Ok(LeaderReply::Applied(ControlReply::ClaimGranted)) => ClaimDecision::Granted,
        Ok(LeaderReply::Applied(ControlReply::ClaimHeld { entry, outcome, .. })) => {
            ClaimDecision::HeldBy { entry: *entry, state: claim_state(*outcome) }
        }
        _ => ClaimDecision::Unavailable,
    }
}

const fn claim_state(outcome: Option<ClaimOutcome>) -> ClaimState {
    match outcome {
        None => ClaimState::InProgress,
        Some(ClaimOutcome::Done) => ClaimState::Done,
        Some(ClaimOutcome::NotRun | ClaimOutcome::Unknown) => ClaimState::Unknown,
    }
}
