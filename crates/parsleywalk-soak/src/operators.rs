//! Operators, who may propose different configurations with the same version and resend commands without a response.

use std::time::Duration;

use parsleywalk_api::OperationOutcome;
use parsleywalk_catalog::Catalog;
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_coordinator::{LeaderCall, LeaderReply};
use parsleywalk_units::{OperationId, StateTime, ZoneDirection, ZoneName};
use rand::RngExt;

use crate::control::CallResult;
use crate::daemon::{ReplySink, ZONES, daemon_index};
use crate::event::{Event, NetworkNode};
use crate::world::{Delivery, World};

/// How long an entry daemon waits for the leader's reply.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(8);
/// How long an operator waits for a response before it resends a command to a random daemon.
const RESEND_DELAY_MICROS: u64 = 3_000_000;

/// The quota after the faults have stopped, which is the total capacity of all workers.
pub(crate) const FINAL_QUOTA_CORES: u32 = 96;

/// The kind and the parameters of a command.
#[derive(Debug, Clone)]
pub(crate) enum OperationKind {
    Configure { version: u64, text: String },
    Zone { zone: ZoneName, direction: ZoneDirection },
}

/// An operator's command.
#[derive(Debug)]
pub(crate) struct Operation {
    pub(crate) id: OperationId,
    pub(crate) kind: OperationKind,
    pub(crate) attempts: u32,
    /// The outcome that an entry daemon reported, whether or not its response reached the operator.
    pub(crate) outcome: Option<OperationOutcome>,
    pub(crate) has_response: bool,
}

impl World {
    /// Proposes the next configuration. Sometimes two operators propose different texts with the same version.
    pub(crate) fn propose_configuration(&mut self) {
        let daemon = self.random_entry();
        let version = self.daemons[daemon].process.as_ref().map_or(0, |it| it.coordinator.state().version().get()) + 1;
        let operators = if self.random.random_ratio(1, 3) { 2 } else { 1 };
        for _ in 0..operators {
            let text = self.configuration_text(version);
            self.begin_operation(OperationKind::Configure { version, text });
        }
    }

    fn configuration_text(&mut self, version: u64) -> String {
        let (web, lookup) = (self.random.random_range(1..=4), self.random.random_range(1..=3));
        // The final quota is not a limit, so that a backlog that remains at the end is not caused by the quota.
        let quota = if self.settling { FINAL_QUOTA_CORES } else { self.random.random_range(12..60) };
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
        let others_out = self.oracle.zones_out_of_service().filter(|name| name.as_str() != zone).count();
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
            self.push_trace(format_args!("operator: {id} zone {zone} {direction}"));
        }
        self.totals.operations += 1;
        self.operations.push(Operation { id, kind, attempts: 0, outcome: None, has_response: false });
        self.send_operation(operation);
    }

    fn send_operation(&mut self, operation: usize) {
        let daemon = self.random_entry();
        self.operations[operation].attempts += 1;
        let attempt = self.operations[operation].attempts;
        let event = Event::Operation { daemon, operation };
        self.send(NetworkNode::Client, NetworkNode::Daemon(daemon), Delivery::Unreliable, event);
        self.schedule(self.now + RESEND_DELAY_MICROS, Event::OperationTimeout { operation, attempt });
    }

    pub(crate) fn on_operation_timeout(&mut self, operation: usize, attempt: u32) {
        let waiting = &self.operations[operation];
        if waiting.attempts == attempt && !waiting.has_response {
            self.totals.operation_resends += 1;
            self.send_operation(operation);
        }
    }

    pub(crate) fn on_operation(&mut self, daemon: usize, operation: usize) {
        let Operation { id, kind, .. } = &self.operations[operation];
        let (at, id) = (StateTime::default(), id.clone());
        let command = match kind.clone() {
            OperationKind::Configure { text, .. } => {
                let catalog = Catalog::parse(&text).expect("the operators' text is valid");
                ControlCommand::ApplyConfiguration { at, operation: id, catalog, text }
            }
            OperationKind::Zone { zone, direction } => ControlCommand::SetZone { at, operation: id, zone, direction },
        };
        let sink = ReplySink::Operation { operation };
        self.call(daemon, LeaderCall::Operation(Box::new(command)), OPERATION_TIMEOUT, sink);
    }

    /// Handles a response at the operator, which sometimes resends the command nevertheless.
    pub(crate) fn on_operation_response(&mut self, operation: usize, result: &CallResult) {
        if result.is_err() {
            return;
        }
        self.operations[operation].has_response = true;
        if !self.settling && self.random.random_ratio(1, 6) {
            self.totals.operation_resends += 1;
            self.send_operation(operation);
        }
    }

    /// Checks P10 when an entry daemon sends a response: the operation is committed, every resend gets the same
    /// outcome, and an accepted configuration is in force where the response says so.
    pub(crate) fn check_operation(&mut self, operation: usize, result: &CallResult) {
        let Ok(LeaderReply::Operation { reply, in_force, .. }) = result else { return };
        let ControlReply::Operation(response) = reply else {
            return self.set_violation(format!("operation {operation} got the reply {reply:?}"));
        };
        let accepted = response.outcome == OperationOutcome::Accepted;
        let id = self.operations[operation].id.clone();
        self.push_trace(format_args!("operation {id} got the response {}, in force at {in_force:?}", response.message));
        if let Some(previous) = self.operations[operation].outcome.replace(response.outcome)
            && previous != response.outcome
        {
            self.set_violation(format!(
                "P10: operation {id} got the outcome {previous:?} and then {:?}: {}",
                response.outcome, response.message
            ));
        }
        if self.newest_state().is_some_and(|state| state.operation(&id).is_none()) {
            self.set_violation(format!("P10: operation {id} got a response and is not committed"));
        }
        let OperationKind::Configure { version, text } = &self.operations[operation].kind else { return };
        let (version, text) = (*version, text.clone());
        if !accepted {
            if self.oracle.configuration_texts.get(&version) == Some(&text) {
                self.set_violation(format!(
                    "P10: operation {id} is refused and its configuration is in force: {}",
                    response.message
                ));
            }
            return;
        }
        self.totals.configurations += 1;
        self.oracle.record_accepted(version, &text);
        for vm in in_force {
            let daemon = daemon_index(*vm);
            let ready = self.daemons[daemon].process.as_ref().filter(|process| process.coordinator.is_ready());
            if ready.is_some_and(|process| process.coordinator.state().version().get() < version) {
                self.set_violation(format!(
                    "P10: configuration version {version} is reported as in force at vm{vm}, which has an older one"
                ));
            }
        }
    }
}
