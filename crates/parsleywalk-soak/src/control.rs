//! The control side of a daemon, wired as the daemon's control and storage threads are.

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
use crate::daemon::{CallSink, Daemon, place_of};
use crate::disk::ModelDisk;
use crate::event::{Event, Party, PeerMessage, earliest};
use crate::world::{Delivery, World};

/// The longest sleep of a daemon's threads.
const LONGEST_SLEEP: u64 = 100_000;
/// The longest wait for the leader's answer to a worker's report, as at the caller edge.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

pub(crate) type CallResult = Result<LeaderReply, CallFailure>;

/// Processes.
impl World {
    pub(crate) fn start_daemon(&mut self, daemon: usize) {
        let clock = DriftingClock::draw(self.now, &mut self.random);
        let number = self.draw_number();
        let accepted = self.oracle.accepted_version;
        self.oracle.raise_floor(daemon, accepted);
        self.daemons[daemon].start(self.now, daemon, clock, number);
        let id = self.daemons[daemon].id;
        self.note(format_args!("start {id}"));
        self.rearm(daemon);
    }

    /// Ends the process; a part of the writes that were not synced may be on the disk.
    pub(crate) fn kill_daemon(&mut self, daemon: usize) {
        let kept = self.random.random_range(0..=self.daemons[daemon].disk.unsynced());
        let killed = &mut self.daemons[daemon];
        killed.process = None;
        killed.life += 1;
        killed.frozen_until = 0;
        killed.disk.crash(kept);
        let id = killed.id;
        self.note(format_args!("kill {id}"));
    }

    /// Ends the process and empties the disk, which is initialised again under a new incarnation.
    pub(crate) fn lose_disk(&mut self, daemon: usize) {
        self.kill_daemon(daemon);
        let number = self.draw_number();
        let lost = &mut self.daemons[daemon];
        lost.disk = ModelDisk::new(RecoveredLog::default());
        lost.id = ReplicaId::new(lost.vm, Incarnation::new(number));
        let id = lost.id;
        self.note(format_args!("disk lost, now {id}"));
    }

    pub(crate) fn wake_daemon(&mut self, daemon: usize, life: u64) {
        let now = self.now;
        let woken = &mut self.daemons[daemon];
        if woken.life != life {
            return;
        }
        woken.next_wake = u64::MAX;
        let (local, at) = (woken.clock.read(now), woken.clock.stamp(now));
        let Some(process) = &mut woken.process else { return };
        if process.coordinator.next_deadline() <= local {
            let actions = process.coordinator.tick(local, at);
            self.carry_out(daemon, actions);
        }
        self.tick_router(daemon);
        self.rearm(daemon);
    }

    /// Schedules the next wake of the daemon's threads.
    pub(crate) fn rearm(&mut self, daemon: usize) {
        let armed = &mut self.daemons[daemon];
        let Some(process) = &armed.process else { return };
        let forwards = process.forwards.values().copied();
        let deadlines = [process.coordinator.next_deadline(), process.router.next_deadline()];
        let due = armed.clock.when(earliest(deadlines.into_iter().chain(forwards)));
        // A deadline that has passed is met at the next turn of the loop, not in an endless one.
        let at = due.clamp(self.now + 100, self.now + LONGEST_SLEEP);
        if at < armed.next_wake {
            armed.next_wake = at;
            let life = armed.life;
            self.schedule(at, Event::WakeDaemon { daemon, life });
        }
    }

    pub(crate) fn synced(&mut self, daemon: usize, life: u64, ticket: WriteTicket) {
        if self.daemons[daemon].life == life {
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
            message => self.receive_routed(from, daemon, message),
        }
    }
}

/// Calls to the leader.
impl World {
    pub(crate) fn call(&mut self, daemon: usize, body: LeaderCall, timeout: Duration, sink: CallSink) {
        let Some(process) = &mut self.daemons[daemon].process else { return };
        process.last_call += 1;
        let call = CallToken::new(process.last_call);
        process.calls.insert(call, sink);
        self.step(daemon, CoordinatorEvent::Call { call, body, timeout });
    }

    pub(crate) fn call_report(
        &mut self,
        daemon: usize,
        worker: usize,
        life: u64,
        report: &parsleywalk_api::WorkerReport,
    ) {
        let body = LeaderCall::Report { report: Box::new(report.clone().into()), entries: Vec::new() };
        self.call(daemon, body, REPORT_TIMEOUT, CallSink::Report { worker, life });
    }

    fn step(&mut self, daemon: usize, event: CoordinatorEvent) {
        let now = self.now;
        let stepped = &mut self.daemons[daemon];
        let (local, at) = (stepped.clock.read(now), stepped.clock.stamp(now));
        let Some(process) = &mut stepped.process else { return };
        let actions = process.coordinator.step(local, at, event);
        self.carry_out(daemon, actions);
        self.rearm(daemon);
    }

    fn carry_out(&mut self, daemon: usize, actions: Vec<CoordinatorAction>) {
        self.observe(daemon);
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => {
                    let to = place_of(to);
                    let message = Box::new(PeerMessage::Coordinator(message));
                    let event = Event::Peer { from: daemon, daemon: to, message, sent: self.now };
                    self.send(Party::Daemon(daemon), Party::Daemon(to), Delivery::Any, event);
                }
                CoordinatorAction::Persist { ticket, write } => {
                    let wait = 300 + self.random.random_range(0..self.sync);
                    let writer: &mut Daemon = &mut self.daemons[daemon];
                    writer.disk.write(ticket, write);
                    writer.last_sync = writer.last_sync.max(self.now + wait);
                    let (at, life) = (writer.last_sync, writer.life);
                    self.schedule(at, Event::Synced { daemon, life, ticket });
                }
                CoordinatorAction::Finish { call, result } => self.finish_call(daemon, call, result),
                CoordinatorAction::Configure => self.configure_router(daemon),
                CoordinatorAction::Record(record) => self.record(daemon, &record),
                CoordinatorAction::Fail { reason } => self.violate(format!("daemon {daemon} failed: {reason}")),
            }
        }
    }

    fn finish_call(&mut self, daemon: usize, call: CallToken, result: CallResult) {
        let sink = self.daemons[daemon].process.as_mut().and_then(|process| process.calls.remove(&call));
        match sink {
            Some(CallSink::Claim { request }) => self.claim_decided(daemon, request, claim_decision(&result)),
            Some(CallSink::Report { worker, life }) => {
                if let Ok(LeaderReply::Json(body)) = result {
                    let reply = Box::new(serde_json::from_slice(&body).expect("the leader's reply is whole"));
                    let event = Event::ReportAnswered { worker, life, reply };
                    self.send(Party::Daemon(daemon), Party::Worker(worker), Delivery::Any, event);
                }
            }
            Some(CallSink::Operation { operation }) => {
                self.check_operation(operation, &result);
                let event = Event::OperationAnswered { operation, result: Box::new(result) };
                self.send(Party::Daemon(daemon), Party::Client, Delivery::AtMostOnce, event);
            }
            Some(CallSink::Job { job, cancel }) => self.job_answered(job, cancel, &result),
            Some(CallSink::Dropped) => {}
            None => self.violate(format!("daemon {daemon} finished call {} twice", call.get())),
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
            CoordinatorRecord::WorkerLost { .. } if self.leader() == Some(daemon) => self.totals.lease_ends += 1,
            CoordinatorRecord::SnapshotInstalled { .. } => self.totals.snapshots += 1,
            CoordinatorRecord::CommandApplied { .. } | CoordinatorRecord::ReportAnswered => return,
            _ => {}
        }
        let id = self.daemons[daemon].id;
        self.note(format_args!("{id} {record}"));
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
