//! What must always hold, kept apart from the code under test.
//!
//! The checks of requests are in `callers`, those of attempts at the end of `workers`, those of operators' answers in
//! `operators`. What they share is here, with the checks of the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use parsleywalk_consensus::LogIndex;
use parsleywalk_control::ControlState;
use parsleywalk_routing::EndpointAddress;
use parsleywalk_units::{AttemptNumber, TaskId, ZoneName};

use crate::world::World;

/// How long after the commit of a zone out a task may still start there.
pub(crate) const ZONE_OUT_LIMIT: u64 = 2_000_000;
/// A state is compared with the other replicas' at indexes that are a multiple of this.
const COMPARED_INDEXES: u64 = 16;

/// The oracle's memory.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) violation: Option<String>,
    /// The highest index that any daemon has applied.
    pub(crate) frontier: LogIndex,
    /// The zones that are out at the frontier, and since when.
    out_since: BTreeMap<ZoneName, u64>,
    /// The text of each version that any daemon has shown.
    pub(crate) texts: BTreeMap<u64, String>,
    /// The highest version that an operator was told is accepted.
    pub(crate) accepted_version: u64,
    /// The versions below which a ready daemon must not be.
    floors: BTreeMap<usize, u64>,
    states: BTreeMap<LogIndex, u64>,
    pub(crate) attempts: BTreeSet<(TaskId, AttemptNumber)>,
    /// The work that the last checkpoint of a task holds whose recording was confirmed to its worker.
    pub(crate) checkpoints: BTreeMap<TaskId, u64>,
    /// From when on an entry's process must not use an address.
    forbidden: BTreeMap<(usize, u64, EndpointAddress), u64>,
}

impl Oracle {
    pub(crate) fn zones_out(&self) -> impl Iterator<Item = &ZoneName> {
        self.out_since.keys()
    }

    pub(crate) fn out_since(&self, zone: &ZoneName) -> Option<u64> {
        self.out_since.get(zone).copied()
    }

    pub(crate) fn raise_floor(&mut self, daemon: usize, version: u64) {
        let floor = self.floors.entry(daemon).or_default();
        *floor = version.max(*floor);
    }

    pub(crate) fn accept(&mut self, version: u64, text: &str) {
        self.accepted_version = self.accepted_version.max(version);
        if *self.texts.entry(version).or_insert_with(|| text.to_owned()) != text {
            self.violation.get_or_insert(format!("P10: version {version} is answered with two texts"));
        }
    }

    pub(crate) fn forbid(&mut self, daemon: usize, life: u64, address: EndpointAddress, from: u64) {
        let known = self.forbidden.entry((daemon, life, address)).or_insert(from);
        *known = from.min(*known);
    }

    /// A frozen entry is not reachable, so what it has not handled yet counts from its thaw.
    pub(crate) fn postpone(&mut self, daemon: usize, now: u64, thaw: u64) {
        for ((entry, ..), from) in &mut self.forbidden {
            if *entry == daemon && *from > now {
                *from = thaw + 2_000_000;
            }
        }
    }
}

impl World {
    /// Checks the state of a daemon after it may have changed.
    pub(crate) fn observe(&mut self, daemon: usize) {
        let Some(process) = &mut self.daemons[daemon].process else { return };
        let state = process.coordinator.state();
        let (applied, is_ready) = (process.coordinator.applied(), process.coordinator.is_ready());
        let oracle = &mut self.oracle;
        let version = state.version().get();
        let floor = oracle.floors.get(&daemon).copied().unwrap_or_default();
        if is_ready && version < floor {
            let what = format!("P10: daemon {daemon} shows version {version} after {floor}");
            oracle.violation.get_or_insert(what);
        }
        if is_ready && version > floor {
            oracle.raise_floor(daemon, version);
        }
        if applied == process.compared {
            return;
        }
        process.compared = applied;
        if let Some(configuration) = state.configuration() {
            let known = oracle.texts.entry(version).or_insert_with(|| configuration.text.clone());
            if *known != configuration.text {
                oracle.violation.get_or_insert(format!("P10: version {version} has two texts"));
            }
        }
        if applied.get().is_multiple_of(COMPARED_INDEXES) {
            let digest = state_digest(state);
            if *oracle.states.entry(applied).or_insert(digest) != digest {
                let what = format!("the states differ at index {applied} (daemon {daemon})");
                oracle.violation.get_or_insert(what);
            }
        }
        if applied > oracle.frontier {
            oracle.frontier = applied;
            for (zone, _) in state.zones().filter(|(_, zone)| zone.in_service) {
                self.totals.zone_changes += u64::from(oracle.out_since.remove(zone).is_some());
            }
            for (zone, _) in state.zones().filter(|(_, zone)| !zone.in_service) {
                if !oracle.out_since.contains_key(zone) {
                    oracle.out_since.insert(zone.clone(), self.now);
                    self.totals.zone_changes += 1;
                }
            }
        }
    }

    /// The state at the frontier, where the daemon that holds it still runs.
    pub(crate) fn newest_state(&self) -> Option<&ControlState> {
        let processes = self.daemons.iter().filter_map(|daemon| daemon.process.as_ref());
        let newest = processes.max_by_key(|process| process.coordinator.applied())?;
        (newest.coordinator.applied() >= self.oracle.frontier).then(|| newest.coordinator.state())
    }

    /// Checks P8 on a dispatch.
    pub(crate) fn check_dispatch(&mut self, daemon: usize, address: EndpointAddress) {
        let life = self.daemons[daemon].life;
        if self.oracle.forbidden.get(&(daemon, life, address)).is_some_and(|from| self.now > *from) {
            self.violate(format!("P8: entry {daemon} sends a request to {address}, which has left"));
        }
    }
}

pub(crate) fn state_digest(state: &ControlState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.encode().hash(&mut hasher);
    hasher.finish()
}
