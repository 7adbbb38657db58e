//! Registration and loss of workers.

use std::collections::btree_map::Entry;

use parsleywalk_units::{Incarnation, RackName, ResourceSize, WorkerId, ZoneName};

use crate::state::{CommandEffects, CommandResult};
use crate::{
    AttemptOutcome, CommandRefusal, ControlReply, ControlState, StateChange, WorkerNumber, WorkerRecord, ZoneState,
};

/// The maximum number of zones; the projected number is 11.
pub(crate) const MAX_ZONES: usize = 64;

/// Commands.
impl ControlState {
    pub(crate) fn register_worker(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        zone: &ZoneName,
        rack: &RackName,
        capacity: ResourceSize,
        effects: &mut CommandEffects,
    ) -> CommandResult {
        if let Some(record) = self.worker(worker) {
            let registered = record.incarnation;
            if incarnation < registered {
                return Err(CommandRefusal::WrongIncarnation { worker: worker.clone(), incarnation, registered });
            }
            if incarnation == registered {
                return if record.zone == *zone && record.rack == *rack && record.capacity == capacity {
                    Ok(ControlReply::Registered { worker: record.number })
                } else {
                    Err(CommandRefusal::WorkerChanged { worker: worker.clone(), incarnation })
                };
            }
        }
        if !self.zones.contains_key(zone) && self.zones.len() >= MAX_ZONES {
            return Err(CommandRefusal::TooManyZones { zone: zone.clone(), limit: MAX_ZONES });
        }
        // A newer incarnation proves that no attempt of the older one runs any more.
        if let Some(number) = self.numbers.get(worker).copied() {
            self.end_registration(number, effects);
        }
        let number = self.add_registration(worker, incarnation, zone, rack, capacity);
        effects.changes.push(StateChange::WorkerJoined {
            worker: worker.clone(),
            number,
            zone: zone.clone(),
            rack: rack.clone(),
            capacity,
        });
        Ok(ControlReply::Registered { worker: number })
    }

    fn add_registration(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        zone: &ZoneName,
        rack: &RackName,
        capacity: ResourceSize,
    ) -> WorkerNumber {
        self.next_worker += 1;
        let number = WorkerNumber::new(self.next_worker);
        // All workers of a zone share the text of the zone's name, to save memory.
        let zone = match self.zones.entry(zone.clone()) {
            Entry::Vacant(entry) => entry.insert_entry(ZoneState::default()),
            Entry::Occupied(entry) => entry,
        };
        let name = zone.key().clone();
        zone.into_mut().workers += 1;
        self.numbers.insert(worker.clone(), number);
        let record = WorkerRecord {
            number,
            id: worker.clone(),
            incarnation,
            zone: name,
            rack: rack.clone(),
            capacity,
            sequence: None,
            used: ResourceSize::default(),
            tasks: Vec::new(),
        };
        self.workers.insert(number, record);
        number
    }

    pub(crate) fn lose_worker(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        effects: &mut CommandEffects,
    ) -> CommandResult {
        let Some(record) = self.worker(worker) else {
            return Err(CommandRefusal::UnknownWorker { worker: worker.clone() });
        };
        let (number, registered) = (record.number, record.incarnation);
        if registered != incarnation {
            return Err(CommandRefusal::WrongIncarnation { worker: worker.clone(), incarnation, registered });
        }
        self.end_registration(number, effects);
        Ok(ControlReply::Accepted)
    }

    /// Ends a registration together with every attempt on it.
    fn end_registration(&mut self, number: WorkerNumber, effects: &mut CommandEffects) {
        let record = &self.workers[&number];
        let (worker, zone, tasks) = (record.id.clone(), record.zone.clone(), record.tasks.clone());
        effects.changes.push(StateChange::WorkerLost { worker: worker.clone(), number });
        for task in tasks {
            self.end_attempt(task, AttemptOutcome::Lost, "", effects);
        }
        let record = self.workers.remove(&number).expect("the registration is current");
        assert!(
            record.used.is_zero() && record.tasks.is_empty(),
            "lost worker {worker} still has {} allocated",
            record.used
        );
        self.numbers.remove(&worker);
        if let Some(state) = self.zones.get_mut(&zone) {
            state.workers -= 1;
        }
    }
}
