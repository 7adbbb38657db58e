//! Handling of configuration, zone and worker events.

use parsleywalk_shares::{AccountIndex, ResourceLimit};
use parsleywalk_units::{AcceleratorCount, MemoryBytes, MonotonicTime, RackName, ResourceSize, WorkerId, ZoneName};

use crate::event::{ObjectiveWeights, ServiceSpec, TeamQuota};
use crate::policy::{SchedulerPolicy, ServiceRecord, ZoneRecord};
use crate::worker::WorkerRecord;

/// The memory of a shape in bytes is rounded down to a multiple of this, so that VMs of slightly different memory share
/// a shape.
const SHAPE_MEMORY_STEP_BYTES: u64 = 1_000_000_000;

/// Returns the shape of a worker: its capacity with rounded memory.
fn shape(capacity: &ResourceSize) -> ResourceSize {
    let memory = capacity.memory.get() / SHAPE_MEMORY_STEP_BYTES * SHAPE_MEMORY_STEP_BYTES;
    ResourceSize {
        memory: MemoryBytes::new(memory.max(capacity.memory.get().min(SHAPE_MEMORY_STEP_BYTES))),
        ..*capacity
    }
}

impl SchedulerPolicy {
    pub(crate) fn configure(&mut self, services: &[ServiceSpec], teams: &[TeamQuota], weights: ObjectiveWeights) {
        self.weights = weights;
        self.services.iter_mut().for_each(|service| *service = ServiceRecord::default());
        for spec in services {
            let index = self.names.services.intern(&spec.name) as usize;
            if self.services.len() <= index {
                self.services.resize(index + 1, ServiceRecord::default());
            }
            self.services[index] = ServiceRecord { instances: spec.instances, run_time: spec.run_time };
        }
        self.team_shares.reset();
        for team in teams {
            let index = self.names.teams.intern(&team.team);
            let limit = team.quota.map_or_else(ResourceLimit::default, ResourceLimit::of_size);
            self.team_shares.set_account(AccountIndex(index), team.weight, limit);
        }
    }

    pub(crate) fn zone_index(&mut self, zone: &ZoneName) -> u32 {
        let index = self.names.zones.intern(zone);
        if self.zones.len() <= index as usize {
            self.zones.resize(index as usize + 1, ZoneRecord::default());
        }
        index
    }

    pub(crate) fn change_zone(&mut self, now: MonotonicTime, zone: &ZoneName, in_service: bool) {
        let index = self.zone_index(zone);
        if self.zones[index as usize].out_of_service != in_service {
            return;
        }
        let zone_workers: Vec<u32> = (0u32..)
            .zip(&self.workers)
            .filter(|(_, worker)| worker.present && worker.zone == index)
            .map(|(worker, _)| worker)
            .collect();
        for worker in &zone_workers {
            self.update_totals(*worker, false);
        }
        self.zones[index as usize].out_of_service = !in_service;
        if in_service && self.settings.zone_ramp {
            self.zones[index as usize].ramp.begin(now);
        }
        for worker in &zone_workers {
            self.update_totals(*worker, true);
            self.refresh_worker(*worker);
            if !in_service {
                for task_index in 0..self.workers[*worker as usize].tasks.len() {
                    let task = self.workers[*worker as usize].tasks[task_index];
                    self.schedule_evacuation(now, task);
                }
            }
        }
        self.team_shares.set_total(self.total_capacity);
    }

    pub(crate) fn join_worker(&mut self, worker: &WorkerId, zone: &ZoneName, rack: &RackName, capacity: ResourceSize) {
        let zone = self.zone_index(zone);
        let rack = self.names.racks.intern(rack);
        let index = self.worker_index(worker);
        if self.workers[index as usize].present {
            self.update_totals(index, false);
            self.zones[self.workers[index as usize].zone as usize].workers -= 1;
        }
        self.quarantine.release(index);
        self.relocate_worker(index, zone, rack);
        let record = &mut self.workers[index as usize];
        record.present = true;
        record.capacity = capacity;
        self.zones[self.workers[index as usize].zone as usize].workers += 1;
        self.update_totals(index, true);
        self.refresh_worker(index);
        self.team_shares.set_total(self.total_capacity);
    }

    /// Sets a worker's zone and rack, and updates the spread and rack reserve for its instances.
    fn relocate_worker(&mut self, index: u32, zone: u32, rack: u32) {
        let before = self.location(index);
        if (before.zone, before.rack) == (zone, rack) {
            return;
        }
        self.rack_reserve.set_free(index, before.rack, &ResourceSize::default());
        let record = &mut self.workers[index as usize];
        record.zone = zone;
        record.rack = rack;
        let after = self.location(index);
        for allocation in self.workers[index as usize].allocations.iter().filter(|allocation| allocation.critical) {
            for _ in 0..allocation.count {
                self.spread.remove(allocation.service, before);
                self.spread.add(allocation.service, after);
                self.rack_reserve.remove_instance(before.rack);
                self.rack_reserve.add_instance(after.rack);
            }
        }
    }

    pub(crate) fn lose_worker(&mut self, worker: &WorkerId) {
        let Some(index) = self.names.workers.find(worker) else { return };
        if !self.workers[index as usize].present {
            return;
        }
        self.update_totals(index, false);
        self.workers[index as usize].present = false;
        self.zones[self.workers[index as usize].zone as usize].workers -= 1;
        self.quarantine.release(index);
        self.guards.remove(index);
        self.refresh_worker(index);
        self.team_shares.set_total(self.total_capacity);
    }

    pub(crate) fn worker_index(&mut self, worker: &WorkerId) -> u32 {
        let index = self.names.workers.intern(worker);
        if self.workers.len() <= index as usize {
            self.workers.push(WorkerRecord::new(worker.clone()));
        }
        index
    }

    /// Adds a worker to the totals of the workers in service, or removes it. Does nothing while its zone is out of
    /// service.
    fn update_totals(&mut self, index: u32, add: bool) {
        let worker = &self.workers[index as usize];
        if !worker.present || self.zones[worker.zone as usize].out_of_service {
            return;
        }
        let rack = worker.rack as usize;
        if self.rack_workers.len() <= rack {
            self.rack_workers.resize(rack + 1, 0);
        }
        let shape = shape(&worker.capacity);
        let count = self.shapes.entry(shape).or_default();
        if add {
            *count += 1;
            self.total_capacity = self.total_capacity.checked_add(&worker.capacity).unwrap_or(self.total_capacity);
            self.rack_workers[rack] += 1;
            self.racks_in_service += usize::from(self.rack_workers[rack] == 1);
        } else {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape);
            }
            self.total_capacity = self.total_capacity.saturating_sub(&worker.capacity);
            self.rack_workers[rack] -= 1;
            self.racks_in_service -= usize::from(self.rack_workers[rack] == 0);
        }
    }

    /// Returns true if the worker is registered and its zone is in service, regardless of its free capacity.
    pub(crate) fn accepts_starts(&self, index: u32) -> bool {
        let worker = &self.workers[index as usize];
        worker.present && !self.zones[worker.zone as usize].out_of_service
    }

    /// Updates the placement index and the rack reserve after a change of a worker.
    pub(crate) fn refresh_worker(&mut self, index: u32) {
        let available = self.accepts_starts(index) && !self.quarantine.is_quarantined(index);
        let worker = &self.workers[index as usize];
        let free = if available { worker.free() } else { ResourceSize::default() };
        if available {
            let accelerated = worker.capacity.accelerators > AcceleratorCount::new(0);
            self.index.update(index, worker.zone, accelerated, free);
        } else {
            self.index.remove(index);
        }
        self.rack_reserve.set_free(index, worker.rack, &free);
    }

    /// Returns true if the size fits on some worker in service when that worker is empty.
    pub(crate) fn any_worker_fits(&self, size: &ResourceSize) -> bool {
        self.shapes.keys().any(|shape| size.fits_within(shape))
    }

    /// Grows the slot size of the rack reserve to at least the size of an instance.
    pub(crate) fn grow_reserve_slot(&mut self, size: &ResourceSize) {
        if self.rack_reserve.grow_slot_size(size) {
            for index in 0..self.workers.len() {
                self.refresh_worker(u32::try_from(index).unwrap_or(u32::MAX));
            }
        }
    }
}
