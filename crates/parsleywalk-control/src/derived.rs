//! Totals and indexes that are derived from the records and left out of snapshots.

use std::collections::BTreeMap;

use parsleywalk_api::{TaskCounts, TaskPhase};
use parsleywalk_units::{ResourceSize, TaskId, TeamName, ZoneName};

use crate::instance::InstanceTable;
use crate::zone::phase_counter;
use crate::{ControlState, TaskOwner, TaskRecord, WorkerNumber};

/// Totals and indexes computed from the records alone.
#[derive(Debug, Default)]
pub(crate) struct DerivedState {
    pub(crate) workers: BTreeMap<WorkerNumber, (ResourceSize, Vec<TaskId>)>,
    pub(crate) zones: BTreeMap<ZoneName, (u32, TaskCounts)>,
    pub(crate) team_allocations: BTreeMap<TeamName, ResourceSize>,
    pub(crate) instances: InstanceTable,
    pub(crate) counts: TaskCounts,
}

impl DerivedState {
    /// Computes all totals and indexes; `None` if a total overflows or a placed task has no registered worker.
    pub(crate) fn of(state: &ControlState) -> Option<Self> {
        let mut derived = Self::default();
        for worker in state.workers.values() {
            derived.zones.entry(worker.zone.clone()).or_default().0 += 1;
        }
        for record in state.tasks.values() {
            derived.add(state, record)?;
        }
        Some(derived)
    }

    fn add(&mut self, state: &ControlState, record: &TaskRecord) -> Option<()> {
        *phase_counter(&mut self.counts, record.phase)? += 1;
        if record.owner == TaskOwner::Service {
            let set = self.instances.set_mut(&record.service);
            if let Some(successor) = state.successor(record.id) {
                set.outgoing.insert((successor, record.id));
            } else if record.phase != TaskPhase::Stopping {
                set.active.insert(record.id);
            } else {
                self.instances.prune(&record.service);
            }
        }
        if !record.holds_capacity() {
            return Some(());
        }
        let number = record.worker?;
        let (used, tasks) = self.workers.entry(number).or_default();
        *used = used.checked_add(&record.size)?;
        tasks.push(record.id);
        let zone = &state.workers.get(&number)?.zone;
        *phase_counter(&mut self.zones.entry(zone.clone()).or_default().1, record.phase)? += 1;
        if let Some(team) = state.charged_team(record) {
            let allocated = self.team_allocations.entry(team.clone()).or_default();
            *allocated = allocated.checked_add(&record.size)?;
        }
        Some(())
    }
}
