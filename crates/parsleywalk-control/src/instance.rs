//! The instances of latency-critical services.

use std::collections::{BTreeMap, BTreeSet};

use parsleywalk_units::{ServiceName, TaskId};

/// For each service, the instances that count towards the declared number and those being replaced.
///
/// A snapshot leaves the table out; it is rebuilt from the task records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct InstanceTable {
    sets: BTreeMap<ServiceName, InstanceSet>,
}

/// The instances of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct InstanceSet {
    /// The queued, starting and running instances that count towards the declared number.
    pub(crate) active: BTreeSet<TaskId>,
    /// Starting and running instances that stop once their successor runs, as (successor, instance).
    pub(crate) outgoing: BTreeSet<(TaskId, TaskId)>,
}

impl InstanceTable {
    pub(crate) fn set_mut(&mut self, service: &ServiceName) -> &mut InstanceSet {
        if !self.sets.contains_key(service) {
            self.sets.insert(service.clone(), InstanceSet::default());
        }
        self.sets.get_mut(service).expect("the set was just inserted")
    }

    pub(crate) fn set(&self, service: &ServiceName) -> Option<&InstanceSet> {
        self.sets.get(service)
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.sets.keys()
    }

    /// Removes the set of a service that has no instances.
    pub(crate) fn prune(&mut self, service: &ServiceName) {
        if self.sets.get(service).is_some_and(|set| set.active.is_empty() && set.outgoing.is_empty()) {
            self.sets.remove(service);
        }
    }
}

impl InstanceSet {
    /// Returns the instances that stop once `successor` runs.
    pub(crate) fn predecessors(&self, successor: TaskId) -> Vec<TaskId> {
        self.outgoing
            .range((successor, TaskId::new(0))..=(successor, TaskId::new(u64::MAX)))
            .map(|(_, instance)| *instance)
            .collect()
    }

    /// Returns the instances being replaced whose successor is no longer active.
    pub(crate) fn orphans(&self) -> Vec<TaskId> {
        self.outgoing
            .iter()
            .filter(|(successor, _)| !self.active.contains(successor))
            .map(|(_, instance)| *instance)
            .collect()
    }
}
