//! Reconciliation of latency-critical services with their declared number of instances.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use parsleywalk_api::TaskPhase;
use parsleywalk_catalog::Catalog;
use parsleywalk_units::{ServiceName, TaskClass, TaskId};

use crate::state::{CommandEffects, CommandResult};
use crate::{CommandRefusal, ControlReply, ControlState, StopReason, TaskOwner};

/// Commands.
impl ControlState {
    /// Creates a replacement for an instance, such as one whose worker no longer reports.
    pub(crate) fn replace_instance(&mut self, task: TaskId, effects: &mut CommandEffects) -> CommandResult {
        let Some(record) = self.tasks.get(&task) else {
            return Err(CommandRefusal::UnknownTask { task });
        };
        if record.owner != TaskOwner::Service {
            return Err(CommandRefusal::WrongKind { task });
        }
        if let Some(successor) = self.successor(task) {
            return Err(CommandRefusal::AlreadyReplaced { task, successor });
        }
        if !matches!(record.phase, TaskPhase::Starting | TaskPhase::Running) {
            return Err(CommandRefusal::WrongPhase { task, phase: record.phase });
        }
        self.check_task_limit(1)?;
        let (service, declared) = (record.service.clone(), record.declared);
        let declared = self.service(&service).map_or(declared, |entry| entry.size);
        let successor = self.create_task(TaskOwner::Service, service.clone(), declared, effects);
        let set = self.instances.set_mut(&service);
        set.active.remove(&task);
        set.active.insert(successor);
        let mut replaced = set.predecessors(task);
        replaced.push(task);
        for instance in replaced {
            self.set_successor(instance, Some(successor));
        }
        effects.services.push(service);
        Ok(ControlReply::Replaced { successor })
    }

    /// Reconciles the services that a command affected.
    pub(crate) fn reconcile_affected(&mut self, effects: &mut CommandEffects) {
        let mut services = std::mem::take(&mut effects.services);
        let mut seen = BTreeSet::new();
        services.retain(|service| seen.insert(service.clone()));
        for service in services {
            self.reconcile(&service, effects);
        }
    }

    fn reconcile(&mut self, service: &ServiceName, effects: &mut CommandEffects) {
        let entry = self.service(service).filter(|entry| entry.class == TaskClass::LatencyCritical);
        let (declared_count, declared_size) =
            entry.map_or((0, None), |entry| (entry.instances as usize, Some(entry.size)));
        let active = self.instances.set(service).map_or(0, |set| set.active.len());
        let mut newest = None;
        for _ in active..declared_count {
            let size = declared_size.expect("only a declared service has instances to create");
            let task = self.create_task(TaskOwner::Service, service.clone(), size, effects);
            self.instances.set_mut(service).active.insert(task);
            newest = Some(task);
        }
        for task in self.surplus_instances(service, declared_count) {
            self.stop_task(task, StopReason::Retired, effects);
        }
        let orphans = self.instances.set(service).map(super::instance::InstanceSet::orphans).unwrap_or_default();
        for task in orphans {
            match newest {
                Some(_) => self.set_successor(task, newest),
                None => self.stop_task(task, StopReason::Retired, effects),
            }
        }
        effects.services.clear();
        self.instances.prune(service);
    }

    /// Returns the instances beyond the declared number: queued before starting before running ones, and among those of
    /// one phase the newest first.
    fn surplus_instances(&self, service: &ServiceName, declared_count: usize) -> Vec<TaskId> {
        let Some(set) = self.instances.set(service) else { return Vec::new() };
        let count = set.active.len().saturating_sub(declared_count);
        if count == 0 {
            return Vec::new();
        }
        let rank = |task: &TaskId| match self.tasks.get(task).map(|record| record.phase) {
            Some(TaskPhase::Queued) => 0,
            Some(TaskPhase::Starting) => 1,
            _ => 2,
        };
        let mut ranked: Vec<_> = set.active.iter().map(|task| (rank(task), Reverse(*task))).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, Reverse(task))| task).collect()
    }

    /// Stops the instances that this one replaces, once it runs.
    pub(crate) fn retire_predecessors(
        &mut self,
        successor: TaskId,
        service: &ServiceName,
        effects: &mut CommandEffects,
    ) {
        let Some(set) = self.instances.set(service) else { return };
        for instance in set.predecessors(successor) {
            self.stop_task(instance, StopReason::Retired, effects);
        }
    }

    /// Removes an instance that stops or has ended from the instance table.
    pub(crate) fn remove_instance(&mut self, task: TaskId, effects: &mut CommandEffects) {
        let Some(record) = self.tasks.get(&task).filter(|record| record.owner == TaskOwner::Service) else { return };
        let service = record.service.clone();
        self.set_successor(task, None);
        self.instances.set_mut(&service).active.remove(&task);
        effects.services.push(service);
    }

    fn set_successor(&mut self, task: TaskId, successor: Option<TaskId>) {
        let Some(record) = self.tasks.get(&task) else { return };
        let set = self.instances.set_mut(&record.service);
        let before = match successor {
            Some(successor) => self.successors.insert(task, successor),
            None => self.successors.remove(&task),
        };
        if let Some(before) = before {
            set.outgoing.remove(&(before, task));
        }
        if let Some(successor) = successor {
            set.outgoing.insert((successor, task));
        }
    }

    /// Gives queued instances the size that the new configuration declares.
    pub(crate) fn resize_queued_instances(&mut self, effects: &mut CommandEffects) {
        let Some(configuration) = &self.configuration else { return };
        let mut resized = Vec::new();
        for entry in &configuration.catalog.services {
            let Some(set) = self.instances.set(&entry.name) else { continue };
            for task in &set.active {
                if let Some(record) = self.tasks.get_mut(task)
                    && record.phase == TaskPhase::Queued
                    && record.declared != entry.size
                {
                    record.declared = entry.size;
                    record.size = entry.size;
                    resized.push(*task);
                }
            }
        }
        for task in resized {
            self.push_queued(task, effects);
        }
    }
}

/// Returns the services in topological order, each after those that it depends on.
pub(crate) fn dependency_order(catalog: &Catalog) -> Vec<ServiceName> {
    fn visit(catalog: &Catalog, name: &ServiceName, seen: &mut BTreeSet<ServiceName>, order: &mut Vec<ServiceName>) {
        // Marking the service before the descent terminates on a cycle, which a validated catalog does not have.
        if !seen.insert(name.clone()) {
            return;
        }
        let Some(entry) = catalog.service(name) else { return };
        for dependency in &entry.depends_on {
            visit(catalog, dependency, seen, order);
        }
        order.push(name.clone());
    }
    let (mut seen, mut order) = (BTreeSet::new(), Vec::new());
    for entry in &catalog.services {
        visit(catalog, &entry.name, &mut seen, &mut order);
    }
    order
}
