//! Where service instances are, and the room kept for the loss of a rack.

use std::collections::{BTreeMap, HashMap};

use parsleywalk_units::ResourceSize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum FailureDomain {
    Zone(u32),
    Rack(u32),
    Worker(u32),
}

/// Where a worker is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerLocation {
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) worker: u32,
}

/// Counts the instances of each service in each zone, rack and worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct InstanceSpread {
    counts: HashMap<(u32, FailureDomain), u32>,
}

impl InstanceSpread {
    fn domains(location: WorkerLocation) -> [FailureDomain; 3] {
        [FailureDomain::Zone(location.zone), FailureDomain::Rack(location.rack), FailureDomain::Worker(location.worker)]
    }

    pub(crate) fn add(&mut self, service: u32, location: WorkerLocation) {
        for domain in Self::domains(location) {
            *self.counts.entry((service, domain)).or_default() += 1;
        }
    }

    pub(crate) fn remove(&mut self, service: u32, location: WorkerLocation) {
        for domain in Self::domains(location) {
            if let Some(count) = self.counts.get_mut(&(service, domain)) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&(service, domain));
                }
            }
        }
    }

    /// How crowded the service is at the site: the zone weighs most, then the rack, then the worker, on which the first
    /// `uncounted_on_worker` instances are not counted.
    pub(crate) fn spread_penalty(&self, service: u32, location: WorkerLocation, uncounted_on_worker: f64) -> f64 {
        let [zone, rack, worker] = Self::domains(location)
            .map(|domain| f64::from(self.counts.get(&(service, domain)).copied().unwrap_or_default()));
        // A worker counts only beyond its share: beside other instances a new one meets less batch.
        zone * 10_000.0 + rack * 100.0 + (worker - uncounted_on_worker).max(0.0) * 50.0
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RackUsage {
    instances: u32,
    slot_count: u32,
}

/// Keeps room for the service instances of whichever rack may be lost.
///
/// Free capacity is counted in slots of the largest instance size, so that scattered remainders are not taken for room.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackReserve {
    slot_size: ResourceSize,
    racks: Vec<RackUsage>,
    worker_slots: Vec<u32>,
    total: u32,
    /// How many racks have each sum of instances and slots; the largest sum is what has to stay free in total.
    demand: BTreeMap<u32, u32>,
}

/// The number of units that fit.
pub(crate) fn slot_count(free: &ResourceSize, slot_size: &ResourceSize) -> u32 {
    if slot_size.is_zero() {
        return 0;
    }
    let ratio = |free: u64, slot_size: u64| free.checked_div(slot_size).unwrap_or(u64::MAX);
    let fit = ratio(u64::from(free.cores.get()), u64::from(slot_size.cores.get()))
        .min(ratio(free.memory.get(), slot_size.memory.get()))
        .min(ratio(u64::from(free.accelerators.get()), u64::from(slot_size.accelerators.get())));
    u32::try_from(fit).unwrap_or(u32::MAX)
}

impl RackReserve {
    pub(crate) fn slot_size(&self) -> ResourceSize {
        self.slot_size
    }

    /// Grows the unit to an instance's size; returns whether it changed, upon which every worker is set again.
    pub(crate) fn grow_slot_size(&mut self, size: &ResourceSize) -> bool {
        // Accelerators are left out: instances that need them are few and their workers take no other batch.
        let plain = ResourceSize::new(size.cores, size.memory);
        let slot_size = self.slot_size.max_each(&plain);
        std::mem::replace(&mut self.slot_size, slot_size) != slot_size
    }

    fn update_rack(&mut self, rack: u32, update: impl FnOnce(&mut RackUsage)) {
        let index = rack as usize;
        if self.racks.len() <= index {
            self.racks.resize(index + 1, RackUsage::default());
        }
        let usage = &mut self.racks[index];
        let before = usage.instances + usage.slot_count;
        update(usage);
        let after = usage.instances + usage.slot_count;
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
        let index = worker as usize;
        if self.worker_slots.len() <= index {
            self.worker_slots.resize(index + 1, 0);
        }
        let after = slot_count(free, &self.slot_size);
        let before = std::mem::replace(&mut self.worker_slots[index], after);
        if before != after {
            self.total = self.total - before + after;
            self.update_rack(rack, |usage| usage.slot_count = usage.slot_count - before + after);
        }
    }

    pub(crate) fn add_instance(&mut self, rack: u32) {
        self.update_rack(rack, |usage| usage.instances += 1);
    }

    pub(crate) fn remove_instance(&mut self, rack: u32) {
        self.update_rack(rack, |usage| usage.instances = usage.instances.saturating_sub(1));
    }

    /// Tells whether room for a share of any one rack's instances remains once a worker's free capacity shrinks to
    /// `after`.
    pub(crate) fn leaves_reserve(&self, worker: u32, after: &ResourceSize, share: f64) -> bool {
        let before = self.worker_slots.get(worker as usize).copied().unwrap_or_default();
        let lost = before.saturating_sub(slot_count(after, &self.slot_size));
        lost == 0
            || self
                .demand
                .last_key_value()
                .is_none_or(|(demand, _)| f64::from(self.total) >= f64::from(*demand) * share + f64::from(lost))
    }
}
