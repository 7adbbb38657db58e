//! Snapshots of the state.

use std::collections::BTreeMap;

use crate::derived::DerivedState;
use crate::error::Result;
use crate::{ControlError, ControlState};

/// The format that is written and read.
const FORMAT: u32 = 1;

/// Queries.
impl ControlState {
    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Never: no type of the state refuses to be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec((FORMAT, self), bincode::config::standard()).expect("the state can be encoded")
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
        let ((_, mut state), length): ((u32, Self), _) =
            bincode::serde::decode_from_slice(bytes, config).map_err(failed)?;
        if length != bytes.len() {
            return Err(ControlError::TrailingBytes { what: "snapshot", length: bytes.len() - length });
        }
        state.rebuild()?;
        state.check_invariants()?;
        Ok(state)
    }
}

/// Commands.
impl ControlState {
    /// Restores what a snapshot does not hold.
    fn rebuild(&mut self) -> Result<()> {
        self.share_names();
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

    /// Lets equal names share their text again, as they do in a state that grew by commands.
    fn share_names(&mut self) {
        let (mut services, mut teams) = (BTreeMap::new(), BTreeMap::new());
        for record in self.tasks.values_mut() {
            share(&mut services, &mut record.service);
        }
        for record in self.jobs.iter_mut() {
            share(&mut services, &mut record.service);
            share(&mut teams, &mut record.key.team);
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
