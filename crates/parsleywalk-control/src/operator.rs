//! Operators' commands, which change the configuration and the zones.

use parsleywalk_api::{OperationOutcome, TaskPhase};
use parsleywalk_catalog::Catalog;
use parsleywalk_units::{OperationId, TaskClass, TaskId, ZoneDirection, ZoneName};
use sha2::{Digest, Sha256};

use crate::job::ContentDigest;
use crate::reconcile::dependency_order;
use crate::registration::MAX_ZONES;
use crate::state::{CommandEffects, MAX_TASKS};
use crate::{
    AcceptedConfiguration, CommandRefusal, ControlReply, ControlState, OperationAnswer, StateChange, StopReason,
};

/// Commands.
impl ControlState {
    pub(crate) fn apply_configuration(
        &mut self,
        operation: &OperationId,
        catalog: &Catalog,
        text: &str,
        effects: &mut CommandEffects,
    ) -> ControlReply {
        let contents = ContentDigest::of(&("configuration", text));
        if let Some(reply) = self.stored_answer(operation, contents) {
            return reply;
        }
        let decision = self.check_configuration(catalog);
        if decision.is_ok() {
            self.accept_configuration(operation, catalog, text, effects);
        }
        let message = decision.map(|()| format!("version {} is in force", catalog.version));
        self.store_answer(operation, contents, message)
    }

    fn accept_configuration(
        &mut self,
        operation: &OperationId,
        catalog: &Catalog,
        text: &str,
        effects: &mut CommandEffects,
    ) {
        self.configuration = Some(AcceptedConfiguration {
            version: catalog.version,
            digest: hex_digest(text),
            operation: operation.clone(),
            text: text.to_owned(),
            catalog: catalog.clone(),
        });
        self.operations.record_version(catalog.version, operation.clone());
        effects.changes.push(StateChange::ConfigurationChanged { version: catalog.version });
        effects.services = dependency_order(catalog);
        effects.services.extend(self.instances.services().cloned());
        self.resize_queued_instances(effects);
    }

    fn check_configuration(&self, catalog: &Catalog) -> Result<(), CommandRefusal> {
        let current = self.version();
        if catalog.version != current.next() {
            return Err(match self.operations.operation_for_version(catalog.version) {
                Some(operation) => {
                    CommandRefusal::VersionTaken { version: catalog.version, operation: operation.clone(), current }
                }
                None => CommandRefusal::WrongVersion { version: catalog.version, expected: current.next() },
            });
        }
        let instances: u64 = catalog
            .services
            .iter()
            .filter(|entry| entry.class == TaskClass::LatencyCritical)
            .map(|entry| u64::from(entry.instances))
            .sum();
        if instances > MAX_TASKS / 2 {
            return Err(CommandRefusal::TooManyTasks { asked: instances, limit: MAX_TASKS / 2 });
        }
        Ok(())
    }

    pub(crate) fn set_zone(
        &mut self,
        operation: &OperationId,
        zone: &ZoneName,
        direction: ZoneDirection,
        effects: &mut CommandEffects,
    ) -> ControlReply {
        let contents = ContentDigest::of(&("zone", zone, direction));
        if let Some(reply) = self.stored_answer(operation, contents) {
            return reply;
        }
        let decision = self.change_zone(zone, direction, effects);
        let message = decision.map(|()| format!("zone {zone} is {direction}"));
        self.store_answer(operation, contents, message)
    }

    fn change_zone(
        &mut self,
        zone: &ZoneName,
        direction: ZoneDirection,
        effects: &mut CommandEffects,
    ) -> Result<(), CommandRefusal> {
        let in_service = direction == ZoneDirection::In;
        // A zone may be taken out of service before its first worker registers. Daemons refuse names that are neither
        // in their settings nor in the state; this limit guards against a faulty daemon.
        if !self.zones.contains_key(zone) && self.zones.len() >= MAX_ZONES {
            return Err(CommandRefusal::TooManyZones { zone: zone.clone(), limit: MAX_ZONES });
        }
        let state = self.zones.entry(zone.clone()).or_default();
        if state.in_service == in_service {
            return Ok(());
        }
        state.in_service = in_service;
        effects.changes.push(StateChange::ZoneChanged { zone: zone.clone(), in_service });
        if !in_service {
            for task in self.starting_tasks_in(zone) {
                self.stop_task(task, StopReason::ZoneOut, effects);
            }
        }
        Ok(())
    }

    fn starting_tasks_in(&self, zone: &ZoneName) -> Vec<TaskId> {
        self.workers
            .values()
            .filter(|worker| worker.zone == *zone)
            .flat_map(|worker| &worker.tasks)
            .filter(|task| self.tasks.get(task).is_some_and(|record| record.phase == TaskPhase::Starting))
            .copied()
            .collect()
    }

    fn stored_answer(&self, operation: &OperationId, contents: ContentDigest) -> Option<ControlReply> {
        let (stored, answer) = self.operations.answer(operation)?;
        Some(if *stored == contents {
            ControlReply::Operation(answer.clone())
        } else {
            ControlReply::Refused(CommandRefusal::OperationReused { operation: operation.clone() })
        })
    }

    fn store_answer(
        &mut self,
        operation: &OperationId,
        contents: ContentDigest,
        decision: Result<String, CommandRefusal>,
    ) -> ControlReply {
        let (outcome, message, refusal) = match decision {
            Ok(message) => (OperationOutcome::Accepted, message, None),
            Err(refusal) => (OperationOutcome::Refused, refusal.to_string(), Some(refusal)),
        };
        let version = self.configuration.as_ref().map(|configuration| configuration.version);
        let answer = OperationAnswer { outcome, message, refusal, version, revision: self.revision };
        self.operations.store(operation.clone(), contents, answer.clone());
        ControlReply::Operation(answer)
    }
}

fn hex_digest(text: &str) -> String {
    let mut digits = String::with_capacity(64);
    for byte in Sha256::digest(text.as_bytes()) {
        for digit in [byte >> 4, byte & 15] {
            digits.extend(char::from_digit(u32::from(digit), 16));
        }
    }
    digits
}
