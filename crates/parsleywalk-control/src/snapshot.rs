//! Snapshots of the state.

use std::collections::BTreeMap;

use parsleywalk_units::{ServiceName, TaskId};

use crate::derived::DerivedState;
use crate::error::Result;
use crate::{ControlError, ControlState, TaskOwner};

/// The format that is written and read.
const FORMAT: u32 = 1;

/// The instances of each service; the tasks of jobs take their service from the job.
type InstanceNames = BTreeMap<ServiceName, Vec<TaskId>>;

/// Queries.
impl ControlState {
    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Never: no type of the state refuses to be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec((FORMAT, self, self.instance_names()), bincode::config::standard())
            .expect("the state can be encoded")
    }

    fn instance_names(&self) -> InstanceNames {
        let mut names = InstanceNames::new();
        for record in self.tasks.values().filter(|record| record.owner == TaskOwner::Service) {
            if let Some(tasks) = names.get_mut(&record.service) {
                tasks.push(record.id);
            } else {
                names.insert(record.service.clone(), vec![record.id]);
            }
        }
        names
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not exactly one snapshot of the known format, or when the state that they hold breaks an
    /// invariant.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let failed = |cause| ControlError::Decode { what: "snapshot", cause: Box::new(cause) };
        let config = bincode::config::standard();
        let (found, _): (u32, _) = bincode::serde::decode_from_slice(bytes, config).map_err(failed)?;
        if found != FORMAT {
            return Err(ControlError::Format { found, expected: FORMAT });
        }
        let ((_, mut state, names), length): ((u32, Self, InstanceNames), _) =
            bincode::serde::decode_from_slice(bytes, config).map_err(failed)?;
        if length != bytes.len() {
            return Err(ControlError::TrailingBytes { what: "snapshot", length: bytes.len() - length });
        }
        state.rebuild(names)?;
        state.check_invariants()?;
        Ok(state)
    }
}

/// Commands.
impl ControlState {
    /// Restores what a snapshot does not hold.
    fn rebuild(&mut self, names: InstanceNames) -> Result<()> {
        self.fill_names(names);
        self.jobs.rebuild();
        self.claims.rebuild();
        let Some(derived) = DerivedState::of(self) else {
            return Err(ControlError::Broken { invariant: "totals can be computed", detail: String::new() });
        };
        for (number, (used, tasks)) in derived.workers {
            if let Some(worker) = self.workers.get_mut(&number) {
                worker.used = used;
                worker.tasks = tasks;
            }
        }
        for (zone, (workers, tasks)) in derived.zones {
            let state = self.zones.entry(zone).or_default();
            state.workers = workers;
            state.tasks = tasks;
        }
        self.held = derived.held;
        self.instances = derived.instances;
        self.counts = derived.counts;
        Ok(())
    }

    /// Names the service of each task, and lets equal names share their text as in a state that grew by commands.
    fn fill_names(&mut self, names: InstanceNames) {
        let (mut services, mut teams) = (BTreeMap::new(), BTreeMap::new());
        for record in self.jobs.iter_mut() {
            share(&mut services, &mut record.service);
            share(&mut teams, &mut record.key.team);
        }
        for record in self.tasks.values_mut() {
            if let TaskOwner::Job(number) = record.owner
                && let Some(job) = self.jobs.get(number)
            {
                record.service = job.service.clone();
            }
        }
        for (service, tasks) in names {
            for task in tasks {
                if let Some(record) = self.tasks.get_mut(&task) {
                    record.service = service.clone();
                }
            }
        }
    }
}

fn share<T: Ord + Clone>(names: &mut BTreeMap<T, T>, name: &mut T) {
    if let Some(shared) = names.get(name) {
        *name = shared.clone();
    } else {
        names.insert(name.clone(), name.clone());
    }
}
