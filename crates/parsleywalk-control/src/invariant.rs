//! The invariants of the control state.

use parsleywalk_api::TaskPhase;
use parsleywalk_units::TaskClass;

use crate::derived::DerivedState;
use crate::error::Result;
use crate::{ControlError, ControlState, TaskOwner, TaskRecord};

/// Returns an error with the violated invariant and a detail unless `holds` is true.
fn ensure(holds: bool, invariant: &'static str, detail: impl FnOnce() -> String) -> Result<()> {
    if holds { Ok(()) } else { Err(ControlError::Broken { invariant, detail: detail() }) }
}

/// Queries.
impl ControlState {
    /// Checks every invariant by scanning the whole state.
    ///
    /// # Errors
    ///
    /// Fails with the first invariant that is violated.
    pub fn check_invariants(&self) -> Result<()> {
        for record in self.tasks.values() {
            self.check_task(record)?;
        }
        let Some(derived) = DerivedState::of(self) else {
            return ensure(false, "totals do not overflow", String::new);
        };
        self.check_workers(&derived)?;
        self.check_totals(&derived)?;
        self.check_instances()?;
        for (number, job) in self.jobs.iter() {
            let live = job.task_ids().filter(|task| self.tasks.contains_key(task)).count();
            ensure(live == job.live as usize, "a job counts its live tasks", || format!("{} has {live}", job.key))?;
            ensure((job.live == 0) == job.ended_at.is_some(), "a job ends with its last task", || number.to_string())?;
        }
        ensure(self.jobs.is_consistent(), "jobs match their indexes", String::new)?;
        ensure(self.claims.is_consistent(), "claims match their index", String::new)?;
        ensure(self.operations.is_consistent(), "operations match their order", String::new)
    }

    fn check_task(&self, record: &TaskRecord) -> Result<()> {
        let detail = || format!("{record:?}");
        let worker = record.worker.and_then(|number| self.workers.get(&number));
        ensure(record.holds_capacity() == worker.is_some(), "a placed task has a registered worker", detail)?;
        ensure(record.phase != TaskPhase::Queued || record.worker.is_none(), "a queued task has no worker", detail)?;
        ensure(record.declared.fits_within(&record.size), "a task is allocated at least its declared size", detail)?;
        ensure(record.entered <= self.revision, "a phase is not entered after the current revision", detail)?;
        ensure(record.id.get() <= self.next_task, "task ids are assigned in order", detail)?;
        ensure(
            (record.phase == TaskPhase::Stopping) == record.stop.is_some(),
            "a task has a stop reason exactly while it is stopping",
            detail,
        )?;
        if let Some(worker) = worker {
            let in_service = self.zone(&worker.zone).in_service;
            ensure(
                record.phase != TaskPhase::Starting || in_service,
                "no task starts in a zone out of service",
                detail,
            )?;
        }
        match record.owner {
            TaskOwner::Job(number) => {
                let job = self.jobs.get(number);
                ensure(
                    job.is_some_and(|job| job.ended_at.is_none()),
                    "a live task belongs to a job that has not ended",
                    detail,
                )?;
                let agrees = job.is_some_and(|job| job.service == record.service);
                ensure(agrees, "a task has the same service as its job", detail)?;
                let is_not_stopping = !matches!(record.phase, TaskPhase::Stopping);
                let cancelled = job.is_some_and(|job| job.cancelled);
                ensure(!(cancelled && is_not_stopping), "all live tasks of a cancelled job are stopping", detail)
            }
            TaskOwner::Service => Ok(()),
        }
    }

    fn check_workers(&self, derived: &DerivedState) -> Result<()> {
        ensure(self.numbers.len() == self.workers.len(), "each worker id has one registration", String::new)?;
        for (number, worker) in &self.workers {
            let detail = || format!("{worker:?}");
            let (used, tasks) = derived.workers.get(number).cloned().unwrap_or_default();
            ensure(used.fits_within(&worker.capacity), "allocations fit within a worker's capacity", detail)?;
            ensure(used == worker.used && tasks == worker.tasks, "a worker's allocations match its tasks", detail)?;
            ensure(self.numbers.get(&worker.id) == Some(number), "a worker id refers to its registration", detail)?;
        }
        Ok(())
    }

    fn check_totals(&self, derived: &DerivedState) -> Result<()> {
        for (zone, state) in &self.zones {
            let counted = derived.zones.get(zone).copied().unwrap_or_default();
            ensure(counted == (state.workers, state.tasks), "a zone's totals match its tasks and workers", || {
                format!("{zone} {state:?}")
            })?;
        }
        for (team, allocated) in &self.held {
            let counted = derived.team_allocations.get(team).copied().unwrap_or_default();
            ensure(counted == *allocated, "a team's usage matches its tasks", || {
                format!("{team} {allocated}, not {counted}")
            })?;
        }
        let all_counted = derived.team_allocations.keys().all(|team| self.held.contains_key(team));
        ensure(all_counted, "every team with allocated resources has a total", String::new)?;
        ensure(derived.counts == self.counts, "the totals by phase match the tasks", || format!("{:?}", self.counts))?;
        ensure(derived.instances == self.instances, "the instance table matches the tasks", || {
            format!("{:?}", self.instances)
        })
    }

    fn check_instances(&self) -> Result<()> {
        let services = self.configuration.iter().flat_map(|configuration| &configuration.catalog.services);
        for entry in services {
            let declared_count = if entry.class == TaskClass::LatencyCritical { entry.instances as usize } else { 0 };
            let active = self.instances.set(&entry.name).map_or(0, |set| set.active.len());
            ensure(active == declared_count, "a service has its declared number of instances", || {
                format!("{} {active}", entry.name)
            })?;
        }
        for task in self.successors.keys() {
            let is_replaceable = self.tasks.get(task).is_some_and(|record| {
                record.owner == TaskOwner::Service && matches!(record.phase, TaskPhase::Starting | TaskPhase::Running)
            });
            ensure(is_replaceable, "only a starting or running instance has a successor", || task.to_string())?;
        }
        for service in self.instances.services() {
            let is_known = self.service(service).is_some();
            let set = self.instances.set(service).cloned().unwrap_or_default();
            ensure(is_known || set.active.is_empty(), "a removed service has no active instance", || {
                service.to_string()
            })?;
            ensure(set.orphans().is_empty(), "the successor of an instance being replaced is active", || {
                format!("{set:?}")
            })?;
        }
        Ok(())
    }
}
