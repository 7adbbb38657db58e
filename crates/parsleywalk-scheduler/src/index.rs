//! Index of workers by zone and free processors.

use parsleywalk_units::ResourceSize;
use rand::{Rng, RngExt};

/// Number of levels of free processors, one core each. The last level holds all workers with more free cores.
const LEVEL_COUNT: usize = 64;

fn level_of(size: &ResourceSize) -> usize {
    (size.cores.get() / 1000).min(63) as usize
}

/// Workers of one group by level.
#[derive(Debug, Clone)]
struct CapacityLevels {
    /// Bit n is set if level n has a worker.
    occupied: u64,
    levels: Vec<Vec<u32>>,
    /// Offset at which the last scan stopped.
    scan_cursor: usize,
    count: usize,
}

impl Default for CapacityLevels {
    fn default() -> Self {
        Self { occupied: 0, levels: vec![Vec::new(); LEVEL_COUNT], scan_cursor: 0, count: 0 }
    }
}

/// Entry of a worker in the index.
#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    group: u32,
    level: u8,
    list_index: u32,
}

/// Finds workers of a zone by their free capacity without visiting all of them.
///
/// Workers with accelerators form a separate group, so that searches for tasks without accelerators can avoid them.
#[derive(Debug, Clone, Default)]
pub(crate) struct PlacementIndex {
    groups: Vec<CapacityLevels>,
    entries: Vec<Option<IndexEntry>>,
    /// Free capacity of each worker.
    free: Vec<ResourceSize>,
}

/// A search for workers with free capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityQuery {
    pub(crate) zone: u32,
    pub(crate) accelerated: bool,
    pub(crate) size: ResourceSize,
    /// Largest number of workers to return.
    pub(crate) count: usize,
    /// Largest number of workers to scan if the sample has no worker that fits.
    pub(crate) scan_limit: usize,
}

fn group_of(zone: u32, accelerated: bool) -> u32 {
    zone * 2 + u32::from(accelerated)
}

impl PlacementIndex {
    /// Inserts a worker, or updates its zone and free capacity.
    pub(crate) fn update(&mut self, worker: u32, zone: u32, accelerated: bool, free: ResourceSize) {
        let index = worker as usize;
        if self.entries.len() <= index {
            self.entries.resize(index + 1, None);
            self.free.resize(index + 1, ResourceSize::default());
        }
        self.free[index] = free;
        let group = group_of(zone, accelerated);
        let level = level_of(&free);
        if self.entries[index].is_some_and(|entry| entry.group == group && usize::from(entry.level) == level) {
            return;
        }
        self.remove(worker);
        if self.groups.len() <= group as usize {
            self.groups.resize(group as usize + 1, CapacityLevels::default());
        }
        let levels = &mut self.groups[group as usize];
        let list = &mut levels.levels[level];
        let list_index = u32::try_from(list.len()).unwrap_or(u32::MAX);
        list.push(worker);
        levels.occupied |= 1 << level;
        levels.count += 1;
        self.entries[index] = Some(IndexEntry { group, level: u8::try_from(level).unwrap_or(u8::MAX), list_index });
    }

    pub(crate) fn remove(&mut self, worker: u32) {
        let Some(entry) = self.entries.get_mut(worker as usize).and_then(Option::take) else { return };
        let levels = &mut self.groups[entry.group as usize];
        let list = &mut levels.levels[usize::from(entry.level)];
        list.swap_remove(entry.list_index as usize);
        if let Some(&moved) = list.get(entry.list_index as usize)
            && let Some(other) = &mut self.entries[moved as usize]
        {
            other.list_index = entry.list_index;
        }
        if list.is_empty() {
            levels.occupied &= !(1 << entry.level);
        }
        levels.count -= 1;
    }

    /// Appends up to `count` workers on which the size fits: half of them from the lowest levels that fit, the others
    /// from random levels. If the sample is empty, scans up to `scan_limit` workers from where the last scan stopped.
    pub(crate) fn sample(&mut self, query: &CapacityQuery, rng: &mut impl Rng, candidates: &mut Vec<u32>) {
        let Some(levels) = self.groups.get_mut(group_of(query.zone, query.accelerated) as usize) else { return };
        let lowest_level = level_of(&query.size);
        let mut candidate_levels = levels.occupied & (u64::MAX << lowest_level);
        let first_new = candidates.len();
        let free = &self.free;
        let fits = |worker: u32| query.size.fits_within(&free[worker as usize]);
        for _ in 0..query.count * 2 {
            if candidate_levels == 0 || candidates.len() - first_new >= query.count {
                break;
            }
            let best_fit = candidates.len() - first_new < query.count.div_ceil(2);
            let level = if best_fit {
                candidate_levels.trailing_zeros()
            } else {
                nth_bit(candidate_levels, rng.random_range(0..candidate_levels.count_ones()))
            };
            let list = &levels.levels[level as usize];
            let worker = list[rng.random_range(0..list.len())];
            if fits(worker) && !candidates[first_new..].contains(&worker) {
                candidates.push(worker);
            } else if best_fit {
                candidate_levels &= !(1 << level);
            }
        }
        if candidates.len() == first_new {
            scan(levels, query, lowest_level, fits, candidates);
        }
    }

    /// Appends up to `count` random workers, regardless of their free capacity.
    pub(crate) fn sample_any(
        &self,
        zone: u32,
        accelerated: bool,
        count: usize,
        rng: &mut impl Rng,
        candidates: &mut Vec<u32>,
    ) {
        let Some(levels) = self.groups.get(group_of(zone, accelerated) as usize) else { return };
        let first_new = candidates.len();
        for _ in 0..count * 2 {
            if levels.occupied == 0 || candidates.len() - first_new >= count.min(levels.count) {
                break;
            }
            let mut offset = rng.random_range(0..levels.count);
            for list in &levels.levels {
                if let Some(&worker) = list.get(offset) {
                    if !candidates[first_new..].contains(&worker) {
                        candidates.push(worker);
                    }
                    break;
                }
                offset -= list.len();
            }
        }
    }
}

/// Scans a bounded number of workers in the levels from `lowest_level` up, starting where the last scan stopped.
fn scan(
    levels: &mut CapacityLevels,
    query: &CapacityQuery,
    lowest_level: usize,
    fits: impl Fn(u32) -> bool,
    candidates: &mut Vec<u32>,
) {
    let total: usize = levels.levels[lowest_level..].iter().map(Vec::len).sum();
    let steps = query.scan_limit.min(total);
    let first_new = candidates.len();
    for _ in 0..steps {
        levels.scan_cursor = (levels.scan_cursor + 1) % total;
        let mut offset = levels.scan_cursor;
        for list in &levels.levels[lowest_level..] {
            if let Some(&worker) = list.get(offset) {
                if fits(worker) {
                    candidates.push(worker);
                }
                break;
            }
            offset -= list.len();
        }
        if candidates.len() - first_new >= query.count {
            return;
        }
    }
}

/// Returns the index of the n-th set bit, counted from 0.
fn nth_bit(mut bits: u64, n: u32) -> u32 {
    for _ in 0..n {
        bits &= bits - 1;
    }
    bits.trailing_zeros()
}
