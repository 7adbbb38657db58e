//! Changes of the configuration, of zones and of workers.

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MonotonicTime, RackName, ResourceSize, WorkerId, ZoneName};

use crate::event::{ObjectiveWeights, ServiceSpec, TeamQuota};
use crate::policy::{SchedulerPolicy, ServiceRecord, ZoneRecord};
use crate::worker::WorkerRecord;

/// Memory of a shape is rounded down to this, so that slightly different VMs share one shape.
const SHAPE_GRAIN: u64 = 1_000_000_000;

fn shape(capacity: &ResourceSize) -> ResourceSize {
    let memory = capacity.memory.get() / SHAPE_GRAIN * SHAPE_GRAIN;
    ResourceSize { memory: MemoryBytes::new(memory.max(capacity.memory.get().min(SHAPE_GRAIN))), ..*capacity }
}

impl SchedulerPolicy {
    pub(crate) fn configure(&mut self, services: &[ServiceSpec], teams: &[TeamQuota], weights: ObjectiveWeights) {
        self.weights = weights;
        self.plans.iter_mut().for_each(|plan| *plan = ServiceRecord::default());
        for plan in services {
            let number = self.names.services.intern(&plan.name) as usize;
            if self.plans.len() <= number {
                self.plans.resize(number + 1, ServiceRecord::default());
            }
            self.plans[number] = ServiceRecord { instances: plan.instances, run_time: plan.run_time };
        }
        self.fair.reset();
        for team in teams {
            let number = self.names.teams.intern(&team.team);
            self.fair.set(number, team.weight, team.quota);
        }
    }

    pub(crate) fn zone_number(&mut self, zone: &ZoneName) -> u32 {
        let number = self.names.zones.intern(zone);
        if self.zones.len() <= number as usize {
            self.zones.resize(number as usize + 1, ZoneRecord::default());
        }
        number
    }

    pub(crate) fn change_zone(&mut self, now: MonotonicTime, zone: &ZoneName, in_service: bool) {
        let number = self.zone_number(zone);
        if self.zones[number as usize].out != in_service {
            return;
        }
        let members: Vec<u32> = (0u32..)
            .zip(&self.workers)
            .filter(|(_, worker)| worker.present && worker.zone == number)
            .map(|(place, _)| place)
            .collect();
        for worker in &members {
            self.count_worker(*worker, false);
        }
        self.zones[number as usize].out = !in_service;
        if in_service && self.settings.zone_ramp {
            self.zones[number as usize].ramp.begin(now);
        }
        for worker in &members {
            self.count_worker(*worker, true);
            self.refresh_worker(*worker);
            if !in_service {
                for place in 0..self.workers[*worker as usize].tasks.len() {
                    let task = self.workers[*worker as usize].tasks[place];
                    self.plan_move(now, task);
                }
            }
        }
        self.fair.set_total(self.total);
    }

    pub(crate) fn join_worker(&mut self, worker: &WorkerId, zone: &ZoneName, rack: &RackName, capacity: ResourceSize) {
        let zone = self.zone_number(zone);
        let rack = self.names.racks.intern(rack);
        let number = self.worker_number(worker);
        if self.workers[number as usize].present {
            self.count_worker(number, false);
            self.zones[self.workers[number as usize].zone as usize].workers -= 1;
        }
        self.quarantine.release(number);
        self.move_worker(number, zone, rack);
        let record = &mut self.workers[number as usize];
        record.present = true;
        record.capacity = capacity;
        self.zones[self.workers[number as usize].zone as usize].workers += 1;
        self.count_worker(number, true);
        self.refresh_worker(number);
        self.fair.set_total(self.total);
    }

    /// Sets a worker's zone and rack, together with the instances that it holds.
    fn move_worker(&mut self, number: u32, zone: u32, rack: u32) {
        let before = self.site(number);
        if (before.zone, before.rack) == (zone, rack) {
            return;
        }
        self.reserve.set_free(number, before.rack, &ResourceSize::default());
        let record = &mut self.workers[number as usize];
        record.zone = zone;
        record.rack = rack;
        let after = self.site(number);
        for mix in self.workers[number as usize].mix.iter().filter(|mix| mix.critical) {
            for _ in 0..mix.count {
                self.spread.remove(mix.service, before);
                self.spread.add(mix.service, after);
                self.reserve.remove_instance(before.rack);
                self.reserve.add_instance(after.rack);
            }
        }
    }

    pub(crate) fn lose_worker(&mut self, worker: &WorkerId) {
        let Some(number) = self.names.workers.find(worker) else { return };
        if !self.workers[number as usize].present {
            return;
        }
        self.count_worker(number, false);
        self.workers[number as usize].present = false;
        self.zones[self.workers[number as usize].zone as usize].workers -= 1;
        self.quarantine.release(number);
        self.guards.remove(number);
        self.refresh_worker(number);
        self.fair.set_total(self.total);
    }

    pub(crate) fn worker_number(&mut self, worker: &WorkerId) -> u32 {
        let number = self.names.workers.intern(worker);
        if self.workers.len() <= number as usize {
            self.workers.push(WorkerRecord::new(worker.clone()));
        }
        number
    }

    /// Adds a worker to the totals, or removes it, where its zone is in service.
    fn count_worker(&mut self, number: u32, add: bool) {
        let worker = &self.workers[number as usize];
        if !worker.present || self.zones[worker.zone as usize].out {
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
            self.total = self.total.checked_add(&worker.capacity).unwrap_or(self.total);
            self.rack_workers[rack] += 1;
            self.open_racks += usize::from(self.rack_workers[rack] == 1);
        } else {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape);
            }
            self.total = self.total.saturating_sub(&worker.capacity);
            self.rack_workers[rack] -= 1;
            self.open_racks -= usize::from(self.rack_workers[rack] == 0);
        }
    }

    /// Tells whether tasks may start on a worker, whatever it has free.
    pub(crate) fn takes_starts(&self, number: u32) -> bool {
        let worker = &self.workers[number as usize];
        worker.present && !self.zones[worker.zone as usize].out
    }

    /// Brings the index and the reserve up to date with a worker.
    pub(crate) fn refresh_worker(&mut self, number: u32) {
        let open = self.takes_starts(number) && !self.quarantine.is_quarantined(number);
        let worker = &self.workers[number as usize];
        let free = if open { worker.free() } else { ResourceSize::default() };
        if open {
            let accelerated = worker.capacity.accelerators > AcceleratorCount::new(0);
            self.index.update(number, worker.zone, accelerated, free);
        } else {
            self.index.remove(number);
        }
        self.reserve.set_free(number, worker.rack, &free);
    }

    /// Tells whether some worker in service could take the size when empty.
    pub(crate) fn some_worker_has(&self, size: &ResourceSize) -> bool {
        self.shapes.keys().any(|shape| size.fits_within(shape))
    }

    /// Grows the unit of the rack reserve to an instance's size.
    pub(crate) fn grow_reserve_unit(&mut self, size: &ResourceSize) {
        if self.reserve.grow_unit(size) {
            for number in 0..self.workers.len() {
                self.refresh_worker(u32::try_from(number).unwrap_or(u32::MAX));
            }
        }
    }
}
