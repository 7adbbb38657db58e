//! Snapshots of the control state.

use std::collections::BTreeMap;

use parsleywalk_units::{ServiceName, TaskId};

use crate::derived::DerivedState;
use crate::error::Result;
use crate::{ControlError, ControlState, TaskOwner};

/// The version of the snapshot format that this build writes and reads.
const SNAPSHOT_FORMAT: u32 = 1;

/// The most memory that decoding may allocate for lengths read from the input. A damaged length would otherwise be
/// allocated before its bytes are found missing, which aborts the process.
pub(crate) const DECODE_LIMIT_BYTES: usize = 512 * 1024 * 1024;

/// The instances of each service. The service of a job's tasks is restored from the job.
type InstancesByService = BTreeMap<ServiceName, Vec<TaskId>>;

/// Queries.
impl ControlState {
    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Never panics: every type in the state can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec((SNAPSHOT_FORMAT, self, self.instances_by_service()), bincode::config::standard())
            .expect("the state can be encoded")
    }

    fn instances_by_service(&self) -> InstancesByService {
        let mut instances = InstancesByService::new();
        for record in self.tasks.values().filter(|record| record.owner == TaskOwner::Service) {
            if let Some(tasks) = instances.get_mut(&record.service) {
                tasks.push(record.id);
            } else {
                instances.insert(record.service.clone(), vec![record.id]);
            }
        }
        instances
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not exactly one snapshot in the known format, or if the decoded state violates an
    /// invariant.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let failed = |cause| ControlError::Decode { what: "snapshot", cause: Box::new(cause) };
        let config = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();
        let (found, _): (u32, _) = bincode::serde::decode_from_slice(bytes, config).map_err(failed)?;
        if found != SNAPSHOT_FORMAT {
            return Err(ControlError::Format { found, expected: SNAPSHOT_FORMAT });
        }
        let ((_, mut state, instances), length): ((u32, Self, InstancesByService), _) =
            bincode::serde::decode_from_slice(bytes, config).map_err(failed)?;
        if length != bytes.len() {
            return Err(ControlError::TrailingBytes { what: "snapshot", length: bytes.len() - length });
        }
        state.rebuild(instances)?;
        state.check_invariants()?;
        Ok(state)
    }
}

/// Commands.
impl ControlState {
    /// Restores the fields that a snapshot leaves out.
    fn rebuild(&mut self, instances: InstancesByService) -> Result<()> {
        self.restore_service_names(instances);
        self.jobs.rebuild();
        self.claims.rebuild();
        let Some(derived) = DerivedState::of(self) else {
            return Err(ControlError::Broken { invariant: "totals do not overflow", detail: String::new() });
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
        self.held = derived.team_allocations;
        self.instances = derived.instances;
        self.counts = derived.counts;
        Ok(())
    }

    /// Restores the service of each task, and lets equal names share their text as they do after commands.
    fn restore_service_names(&mut self, instances: InstancesByService) {
        let (mut services, mut teams) = (BTreeMap::new(), BTreeMap::new());
        for record in self.jobs.iter_mut() {
            intern(&mut services, &mut record.service);
            intern(&mut teams, &mut record.key.team);
        }
        for record in self.tasks.values_mut() {
            if let TaskOwner::Job(number) = record.owner
                && let Some(job) = self.jobs.get(number)
            {
                record.service = job.service.clone();
            }
        }
        for (service, tasks) in instances {
            for task in tasks {
                if let Some(record) = self.tasks.get_mut(&task) {
                    record.service = service.clone();
                }
            }
        }
    }
}

fn intern<T: Ord + Clone>(interned: &mut BTreeMap<T, T>, name: &mut T) {
    if let Some(shared) = interned.get(name) {
        *name = shared.clone();
    } else {
        interned.insert(name.clone(), name.clone());
    }
}
