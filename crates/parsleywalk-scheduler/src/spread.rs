//! Where service instances are, and the room kept for the loss of a rack.

use std::collections::{BTreeMap, HashMap};

use parsleywalk_units::ResourceSize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SpreadDomain {
    Zone(u32),
    Rack(u32),
    Worker(u32),
}

/// Where a worker is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerSite {
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) worker: u32,
}

/// Counts the instances of each service in each zone, rack and worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct SpreadCount {
    counts: HashMap<(u32, SpreadDomain), u32>,
}

impl SpreadCount {
    fn domains(site: WorkerSite) -> [SpreadDomain; 3] {
        [SpreadDomain::Zone(site.zone), SpreadDomain::Rack(site.rack), SpreadDomain::Worker(site.worker)]
    }

    pub(crate) fn add(&mut self, service: u32, site: WorkerSite) {
        for domain in Self::domains(site) {
            *self.counts.entry((service, domain)).or_default() += 1;
        }
    }

    pub(crate) fn remove(&mut self, service: u32, site: WorkerSite) {
        for domain in Self::domains(site) {
            if let Some(count) = self.counts.get_mut(&(service, domain)) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&(service, domain));
                }
            }
        }
    }

    /// How crowded the service is at the site: the zone weighs most, then the rack, then the worker, on which the first
    /// `free_on_worker` instances are not counted.
    pub(crate) fn crowding(&self, service: u32, site: WorkerSite, free_on_worker: f64) -> f64 {
        let [zone, rack, worker] = Self::domains(site)
            .map(|domain| f64::from(self.counts.get(&(service, domain)).copied().unwrap_or_default()));
        // A worker counts only beyond its share: beside other instances a new one meets less batch.
        zone * 10_000.0 + rack * 100.0 + (worker - free_on_worker).max(0.0) * 50.0
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RackRoom {
    instances: u32,
    slots: u32,
}

/// Keeps room for the service instances of whichever rack may be lost.
///
/// Free capacity is counted in slots of the largest instance size, so that scattered remainders are not taken for room.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackReserve {
    unit: ResourceSize,
    racks: Vec<RackRoom>,
    worker_slots: Vec<u32>,
    total: u32,
    /// How many racks have each sum of instances and slots; the largest sum is what has to stay free in total.
    demand: BTreeMap<u32, u32>,
}

/// The number of units that fit.
pub(crate) fn slots(free: &ResourceSize, unit: &ResourceSize) -> u32 {
    if unit.is_zero() {
        return 0;
    }
    let ratio = |free: u64, unit: u64| free.checked_div(unit).unwrap_or(u64::MAX);
    let fit = ratio(u64::from(free.cores.get()), u64::from(unit.cores.get()))
        .min(ratio(free.memory.get(), unit.memory.get()))
        .min(ratio(u64::from(free.accelerators.get()), u64::from(unit.accelerators.get())));
    u32::try_from(fit).unwrap_or(u32::MAX)
}

impl RackReserve {
    pub(crate) fn unit(&self) -> ResourceSize {
        self.unit
    }

    /// Grows the unit to an instance's size; returns whether it changed, upon which every worker is set again.
    pub(crate) fn grow_unit(&mut self, size: &ResourceSize) -> bool {
        // Accelerators are left out: instances that need them are few and their workers take no other batch.
        let plain = ResourceSize::new(size.cores, size.memory);
        let unit = self.unit.componentwise_max(&plain);
        std::mem::replace(&mut self.unit, unit) != unit
    }

    fn change(&mut self, rack: u32, change: impl FnOnce(&mut RackRoom)) {
        let place = rack as usize;
        if self.racks.len() <= place {
            self.racks.resize(place + 1, RackRoom::default());
        }
        let room = &mut self.racks[place];
        let before = room.instances + room.slots;
        change(room);
        let after = room.instances + room.slots;
        if before == after {
            return;
        }
        if let Some(count) = self.demand.get_mut(&before) {
            *count -= 1;
            if *count == 0 {
                self.demand.remove(&before);
            }
        }
        if after > 0 {
            *self.demand.entry(after).or_default() += 1;
        }
    }

    /// Sets a worker's free capacity; zero for one that takes no starts.
    pub(crate) fn set_free(&mut self, worker: u32, rack: u32, free: &ResourceSize) {
        let place = worker as usize;
        if self.worker_slots.len() <= place {
            self.worker_slots.resize(place + 1, 0);
        }
        let after = slots(free, &self.unit);
        let before = std::mem::replace(&mut self.worker_slots[place], after);
        if before != after {
            self.total = self.total - before + after;
            self.change(rack, |room| room.slots = room.slots - before + after);
        }
    }

    pub(crate) fn add_instance(&mut self, rack: u32) {
        self.change(rack, |room| room.instances += 1);
    }

    pub(crate) fn remove_instance(&mut self, rack: u32) {
        self.change(rack, |room| room.instances = room.instances.saturating_sub(1));
    }

    /// Tells whether room for a share of any one rack's instances remains once a worker's free capacity shrinks to
    /// `after`.
    pub(crate) fn permits(&self, worker: u32, after: &ResourceSize, share: f64) -> bool {
        let before = self.worker_slots.get(worker as usize).copied().unwrap_or_default();
        let lost = before.saturating_sub(slots(after, &self.unit));
        lost == 0
            || self
                .demand
                .last_key_value()
                .is_none_or(|(demand, _)| f64::from(self.total) >= f64::from(*demand) * share + f64::from(lost))
    }
}
