//! The test oracle: invariants that are checked without relying on the code under test.
//!
//! Its shared state and the checks of the replicated state and of dispatches are here. The checks of requests are in
//! `callers`, those of attempts in `workers`, those of operators' responses in `operators`, and those of the final
//! state in `settle`.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use parsleywalk_consensus::LogIndex;
use parsleywalk_control::ControlState;
use parsleywalk_routing::EndpointAddress;
use parsleywalk_units::{AttemptNumber, TaskId, ZoneName};

use crate::world::World;

/// How long a task may still start in a zone after the commit that takes it out of service, in microseconds.
pub(crate) const EVACUATION_LIMIT_MICROS: u64 = 2_000_000;
/// The states of the daemons are compared at log indexes that are a multiple of this.
const COMPARISON_INTERVAL_ENTRIES: u64 = 16;

/// The observations with which the oracle compares later events.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) violation: Option<String>,
    /// The highest index that any daemon has applied.
    pub(crate) max_applied: LogIndex,
    /// The zones that are out of service in the newest applied state, and the time at which this was first observed.
    out_of_service_since: BTreeMap<ZoneName, u64>,
    /// The configuration text of each version that any daemon has applied or an operator was told is accepted.
    pub(crate) configuration_texts: BTreeMap<u64, String>,
    /// The highest configuration version that an operator was told is accepted.
    pub(crate) accepted_version: u64,
    /// The lowest configuration version that each daemon may have when it is ready.
    min_versions: BTreeMap<usize, u64>,
    /// The digest of the first state observed at each compared index.
    state_digests: BTreeMap<LogIndex, u64>,
    /// All attempts that a worker has started.
    pub(crate) started_attempts: BTreeSet<(TaskId, AttemptNumber)>,
    /// The work in each task's best checkpoint that is certainly recorded, in microseconds.
    pub(crate) recorded_checkpoints: BTreeMap<TaskId, u64>,
    /// The time from which a process of a daemon, given by its generation, must not dispatch to the address of an
    /// endpoint that has left.
    forbidden_addresses: BTreeMap<(usize, u64, EndpointAddress), u64>,
}

impl Oracle {
    pub(crate) fn zones_out_of_service(&self) -> impl Iterator<Item = &ZoneName> {
        self.out_of_service_since.keys()
    }

    pub(crate) fn out_of_service_since(&self, zone: &ZoneName) -> Option<u64> {
        self.out_of_service_since.get(zone).copied()
    }

    /// Requires that a daemon never has a lower configuration version than `version` when it is ready.
    pub(crate) fn raise_min_version(&mut self, daemon: usize, version: u64) {
        let min_version = self.min_versions.entry(daemon).or_default();
        *min_version = version.max(*min_version);
    }

    /// Records that an operator was told that a configuration is accepted, and checks that no version has two texts.
    pub(crate) fn record_accepted(&mut self, version: u64, text: &str) {
        self.accepted_version = self.accepted_version.max(version);
        if *self.configuration_texts.entry(version).or_insert_with(|| text.to_owned()) != text {
            self.violation.get_or_insert(format!("P10: configuration version {version} was accepted with two texts"));
        }
    }

    /// Forbids a process to dispatch to `address` from the given time on; an earlier recorded time stays.
    pub(crate) fn forbid_address(&mut self, daemon: usize, generation: u64, address: EndpointAddress, from: u64) {
        let known = self.forbidden_addresses.entry((daemon, generation, address)).or_insert(from);
        *known = from.min(*known);
    }

    /// Postpones the limits of a daemon that is frozen until `frozen_until`, since it handles pending announcements only after
    /// it. Limits that have passed stay.
    pub(crate) fn postpone_forbidden(&mut self, daemon: usize, now: u64, frozen_until: u64) {
        for ((entry, ..), from) in &mut self.forbidden_addresses {
            if *entry == daemon && *from > now {
                *from = frozen_until + 2_000_000;
            }
        }
    }
}

impl World {
    /// Checks a daemon's state after it may have changed: P10 (configuration versions and texts) and equal states at
    /// equal log indexes.
    pub(crate) fn check_state(&mut self, daemon: usize) {
        let Some(process) = &mut self.daemons[daemon].process else { return };
        let state = process.coordinator.state();
        let (applied, is_ready) = (process.coordinator.applied(), process.coordinator.is_ready());
        let oracle = &mut self.oracle;
        let version = state.version().get();
        let min_version = oracle.min_versions.get(&daemon).copied().unwrap_or_default();
        if is_ready && version < min_version {
            let violation =
                format!("P10: daemon {daemon} shows configuration version {version}, expected at least {min_version}");
            oracle.violation.get_or_insert(violation);
        }
        if is_ready && version > min_version {
            oracle.raise_min_version(daemon, version);
        }
        if applied == process.last_compared {
            return;
        }
        process.last_compared = applied;
        if let Some(configuration) = state.configuration() {
            let known = oracle.configuration_texts.entry(version).or_insert_with(|| configuration.text.clone());
            if *known != configuration.text {
                oracle.violation.get_or_insert(format!("P10: configuration version {version} has two texts"));
            }
        }
        if applied.get().is_multiple_of(COMPARISON_INTERVAL_ENTRIES) {
            let digest = state_digest(state);
            if *oracle.state_digests.entry(applied).or_insert(digest) != digest {
                let violation = format!("the states differ at index {applied} (daemon {daemon})");
                oracle.violation.get_or_insert(violation);
            }
        }
        if applied > oracle.max_applied {
            oracle.max_applied = applied;
            for (zone, _) in state.zones().filter(|(_, zone)| zone.in_service) {
                self.totals.zone_changes += u64::from(oracle.out_of_service_since.remove(zone).is_some());
            }
            for (zone, _) in state.zones().filter(|(_, zone)| !zone.in_service) {
                if !oracle.out_of_service_since.contains_key(zone) {
                    oracle.out_of_service_since.insert(zone.clone(), self.now);
                    self.totals.zone_changes += 1;
                }
            }
        }
    }

    /// Returns the newest state that any daemon has applied; `None` if no running daemon has it.
    pub(crate) fn newest_state(&self) -> Option<&ControlState> {
        let processes = self.daemons.iter().filter_map(|daemon| daemon.process.as_ref());
        let newest = processes.max_by_key(|process| process.coordinator.applied())?;
        (newest.coordinator.applied() >= self.oracle.max_applied).then(|| newest.coordinator.state())
    }

    /// Checks P8: an entry daemon dispatches no request to an endpoint that has left.
    pub(crate) fn check_dispatch(&mut self, daemon: usize, address: EndpointAddress) {
        let generation = self.daemons[daemon].generation;
        if self.oracle.forbidden_addresses.get(&(daemon, generation, address)).is_some_and(|from| self.now > *from) {
            self.set_violation(format!("P8: entry {daemon} sends a request to {address}, which has left"));
        }
    }
}

pub(crate) fn state_digest(state: &ControlState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.encode().hash(&mut hasher);
    hasher.finish()
}
