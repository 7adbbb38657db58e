//! Operators, who race under equal version numbers and send commands again when an answer is lost.

use std::time::Duration;

use parsleywalk_api::OperationOutcome;
use parsleywalk_catalog::Catalog;
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_coordinator::{LeaderCall, LeaderReply};
use parsleywalk_units::{OperationId, StateTime, ZoneDirection, ZoneName};
use rand::RngExt;

use crate::control::CallResult;
use crate::daemon::{CallSink, ZONES, place_of};
use crate::event::{Event, Party};
use crate::world::{Delivery, World};

/// The longest wait for the leader's answer.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(8);
/// How long an operator waits before a command is sent again to another daemon.
const RESEND_AFTER: u64 = 3_000_000;

/// The quota in cores once the faults have stopped: as much as all workers have.
pub(crate) const SETTLED_QUOTA: u32 = 96;

/// What an operator wants.
#[derive(Debug, Clone)]
pub(crate) enum OperationKind {
    Configure { version: u64, text: String },
    Zone { zone: ZoneName, direction: ZoneDirection },
}

/// One command with its identity.
#[derive(Debug)]
pub(crate) struct Operation {
    pub(crate) id: OperationId,
    pub(crate) kind: OperationKind,
    pub(crate) attempts: u32,
    /// The outcome that an entry answered, whether or not the operator heard it.
    pub(crate) outcome: Option<OperationOutcome>,
    pub(crate) heard: bool,
}

impl World {
    /// Proposes the next configuration, now and then as two operators at once with different texts.
    pub(crate) fn propose_configuration(&mut self) {
        let daemon = self.any_entry();
        let version = self.daemons[daemon].process.as_ref().map_or(0, |it| it.coordinator.state().version().get()) + 1;
        let operators = if self.random.random_ratio(1, 3) { 2 } else { 1 };
        for _ in 0..operators {
            let text = self.configuration_text(version);
            self.begin_operation(OperationKind::Configure { version, text });
        }
    }

    fn configuration_text(&mut self, version: u64) -> String {
        let (web, lookup) = (self.random.random_range(1..=4), self.random.random_range(1..=3));
        // At the end operators lift the quota, so that a backlog which only the quota holds back is told from starvation.
        let quota = if self.settling { SETTLED_QUOTA } else { self.random.random_range(12..60) };
        let number = self.operations.len();
        format!(
            "version: {version} # {number}\n\
             teams:\n  - {{ name: planning, weight: 2, quota: {{ cores: {quota}, memory: 400GB }} }}\n\
             services:\n  - {{ name: web, class: latency-critical, team: planning, \
             size: {{ cores: 2, memory: 4GB }}, instances: {web}, slots: 8, deadline: 2s, depends_on: [lookup] }}\n  \
             - {{ name: lookup, class: latency-critical, team: planning, size: {{ cores: 1, memory: 2GB }}, \
             instances: {lookup}, slots: 8, deadline: 1s, repeatable: true }}\n  \
             - {{ name: survey, class: batch, team: planning, size: {{ cores: 1, memory: 2GB }}, run_time: 5s }}\n"
        )
    }

    pub(crate) fn change_zone(&mut self) {
        let zone = ZONES[self.random.random_range(0..ZONES.len())];
        let others_out = self.oracle.zones_out().filter(|name| name.as_str() != zone).count();
        let direction =
            if others_out > 1 || self.random.random_ratio(1, 2) { ZoneDirection::In } else { ZoneDirection::Out };
        self.begin_zone_change(zone, direction);
    }

    pub(crate) fn begin_zone_change(&mut self, zone: &str, direction: ZoneDirection) {
        self.begin_operation(OperationKind::Zone { zone: zone.parse().expect("a zone's name"), direction });
    }

    fn begin_operation(&mut self, kind: OperationKind) {
        let operation = self.operations.len();
        let id = format!("op-{operation}").parse().expect("an operation's id");
        if let OperationKind::Zone { zone, direction } = &kind {
            self.note(format_args!("operator: {id} zone {zone} {direction}"));
        }
        self.totals.operations += 1;
        self.operations.push(Operation { id, kind, attempts: 0, outcome: None, heard: false });
        self.send_operation(operation);
    }

    fn send_operation(&mut self, operation: usize) {
        let daemon = self.any_entry();
        self.operations[operation].attempts += 1;
        let attempt = self.operations[operation].attempts;
        let event = Event::Operate { daemon, operation };
        self.send(Party::Client, Party::Daemon(daemon), Delivery::Any, event);
        self.schedule(self.now + RESEND_AFTER, Event::OperationOverdue { operation, attempt });
    }

    pub(crate) fn operation_overdue(&mut self, operation: usize, attempt: u32) {
        let waiting = &self.operations[operation];
        if waiting.attempts == attempt && !waiting.heard {
            self.totals.operation_resends += 1;
            self.send_operation(operation);
        }
    }

    pub(crate) fn call_operation(&mut self, daemon: usize, operation: usize) {
        let Operation { id, kind, .. } = &self.operations[operation];
        let (at, id) = (StateTime::default(), id.clone());
        let command = match kind.clone() {
            OperationKind::Configure { text, .. } => {
                let catalog = Catalog::parse(&text).expect("the operators' text is sound");
                ControlCommand::ApplyConfiguration { at, operation: id, catalog, text }
            }
            OperationKind::Zone { zone, direction } => ControlCommand::SetZone { at, operation: id, zone, direction },
        };
        let sink = CallSink::Operation { operation };
        self.call(daemon, LeaderCall::Operation(Box::new(command)), OPERATION_TIMEOUT, sink);
    }

    /// The operator hears an answer; now and then it asks again all the same.
    pub(crate) fn operation_answered(&mut self, operation: usize, result: &CallResult) {
        if result.is_err() {
            return;
        }
        self.operations[operation].heard = true;
        if !self.settling && self.random.random_ratio(1, 6) {
            self.totals.operation_resends += 1;
            self.send_operation(operation);
        }
    }

    /// Checks an answer at the moment at which an entry gives it: committed, the same for every resend, in force.
    pub(crate) fn check_operation(&mut self, operation: usize, result: &CallResult) {
        let Ok(LeaderReply::Operation { reply, in_force, .. }) = result else { return };
        let ControlReply::Operation(answer) = reply else {
            return self.violate(format!("operation {operation} is answered with {reply:?}"));
        };
        let accepted = answer.outcome == OperationOutcome::Accepted;
        let id = self.operations[operation].id.clone();
        self.note(format_args!("operation {id} answered: {} in force at {in_force:?}", answer.message));
        if let Some(before) = self.operations[operation].outcome.replace(answer.outcome)
            && before != answer.outcome
        {
            self.violate(format!(
                "P10: {id} was answered {before:?} and then {:?}: {}",
                answer.outcome, answer.message
            ));
        }
        if self.newest_state().is_some_and(|state| state.operation(&id).is_none()) {
            self.violate(format!("P10: {id} is answered and not committed"));
        }
        let OperationKind::Configure { version, text } = &self.operations[operation].kind else { return };
        let (version, text) = (*version, text.clone());
        if !accepted {
            if self.oracle.texts.get(&version) == Some(&text) {
                self.violate(format!("P10: {id} is refused and in force: {}", answer.message));
            }
            return;
        }
        self.totals.configurations += 1;
        self.oracle.accept(version, &text);
        for vm in in_force {
            let daemon = place_of(*vm);
            let shown = self.daemons[daemon].process.as_ref().filter(|process| process.coordinator.is_ready());
            if shown.is_some_and(|process| process.coordinator.state().version().get() < version) {
                self.violate(format!("P10: version {version} is answered as in force at vm{vm}, which has it not"));
            }
        }
    }
}
