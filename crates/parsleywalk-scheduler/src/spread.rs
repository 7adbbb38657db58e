//! Spread of service instances over failure domains, and the capacity reserved for the loss of a rack.

use std::collections::{BTreeMap, HashMap};

use parsleywalk_units::ResourceSize;

/// A part of the cluster that fails as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum FailureDomain {
    Zone(u32),
    Rack(u32),
    Worker(u32),
}

/// The failure domains of a worker.
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

    /// Returns the penalty of another instance of the service at the location. Instances in the same zone weigh most,
    /// then those in the same rack, then those on the same worker beyond the first `uncounted_on_worker`.
    pub(crate) fn spread_penalty(&self, service: u32, location: WorkerLocation, uncounted_on_worker: f64) -> f64 {
        let [zone, rack, worker] = Self::domains(location)
            .map(|domain| f64::from(self.counts.get(&(service, domain)).copied().unwrap_or_default()));
        // Some instances on the worker are not counted, because less batch work runs beside packed instances.
        zone * 10_000.0 + rack * 100.0 + (worker - uncounted_on_worker).max(0.0) * 50.0
    }
}

/// Service instances and free slots in one rack.
#[derive(Debug, Clone, Copy, Default)]
struct RackSlots {
    instances: u32,
    free_slots: u32,
}

/// Keeps enough capacity free to restart the service instances of any one lost rack.
///
/// Free capacity is counted in slots of the largest instance size, because fragments smaller than an instance are of no
/// use.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackReserve {
    slot_size: ResourceSize,
    racks: Vec<RackSlots>,
    worker_free_slots: Vec<u32>,
    total_free_slots: u32,
    /// Number of racks for each sum of instances and free slots. The loss of a rack removes its free slots and requires
    /// as many slots elsewhere as it had instances, so the largest sum has to stay free in total.
    required_slots: BTreeMap<u32, u32>,
}

/// Returns the number of slots that fit in the free capacity.
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

    /// Grows the slot size to at least an instance's size. Returns true if it changed, in which case the caller sets
    /// the free capacity of every worker again.
    pub(crate) fn grow_slot_size(&mut self, size: &ResourceSize) -> bool {
        // Accelerators are ignored: few instances need them, and their workers take no other batch work.
        let plain = ResourceSize::new(size.cores, size.memory);
        let slot_size = self.slot_size.componentwise_max(&plain);
        std::mem::replace(&mut self.slot_size, slot_size) != slot_size
    }

    fn update_rack(&mut self, rack: u32, update: impl FnOnce(&mut RackSlots)) {
        let index = rack as usize;
        if self.racks.len() <= index {
            self.racks.resize(index + 1, RackSlots::default());
        }
        let slots = &mut self.racks[index];
        let before = slots.instances + slots.free_slots;
        update(slots);
        let after = slots.instances + slots.free_slots;
        if before == after {
            return;
        }
        if let Some(count) = self.required_slots.get_mut(&before) {
            *count -= 1;
            if *count == 0 {
                self.required_slots.remove(&before);
            }
        }
        if after > 0 {
            *self.required_slots.entry(after).or_default() += 1;
        }
    }

    /// Sets a worker's free capacity, which is zero if it accepts no starts.
    pub(crate) fn set_free(&mut self, worker: u32, rack: u32, free: &ResourceSize) {
        let index = worker as usize;
        if self.worker_free_slots.len() <= index {
            self.worker_free_slots.resize(index + 1, 0);
        }
        let after = slot_count(free, &self.slot_size);
        let before = std::mem::replace(&mut self.worker_free_slots[index], after);
        if before != after {
            self.total_free_slots = self.total_free_slots - before + after;
            self.update_rack(rack, |slots| slots.free_slots = slots.free_slots - before + after);
        }
    }

    pub(crate) fn add_instance(&mut self, rack: u32) {
        self.update_rack(rack, |slots| slots.instances += 1);
    }

    pub(crate) fn remove_instance(&mut self, rack: u32) {
        self.update_rack(rack, |slots| slots.instances = slots.instances.saturating_sub(1));
    }

    /// Returns true if enough slots for `share` of the required slots stay free when a worker's free capacity shrinks
    /// to `after`.
    pub(crate) fn leaves_reserve(&self, worker: u32, after: &ResourceSize, share: f64) -> bool {
        let before = self.worker_free_slots.get(worker as usize).copied().unwrap_or_default();
        let lost = before.saturating_sub(slot_count(after, &self.slot_size));
        lost == 0
            || self.required_slots.last_key_value().is_none_or(|(required_slots, _)| {
                f64::from(self.total_free_slots) >= f64::from(*required_slots) * share + f64::from(lost)
            })
    }
}
