//! Workers by zone and free processors.

use parsleywalk_units::ResourceSize;
use rand::{Rng, RngExt};

/// Levels of free processors, one core each; the last one holds all larger workers.
const LEVEL_COUNT: usize = 64;

fn level_of(size: &ResourceSize) -> usize {
    (size.cores.get() / 1000).min(63) as usize
}

#[derive(Debug, Clone)]
struct CapacityLevels {
    /// Bit n is set when level n holds a worker.
    occupied: u64,
    levels: Vec<Vec<u32>>,
    /// Where the next search starts.
    scan_cursor: usize,
    count: usize,
}

impl Default for CapacityLevels {
    fn default() -> Self {
        Self { occupied: 0, levels: vec![Vec::new(); LEVEL_COUNT], scan_cursor: 0, count: 0 }
    }
}

#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    group: u32,
    level: u8,
    position: u32,
}

/// Finds workers of a zone by their free capacity without passing over all of them.
///
/// Workers with accelerators form a group of their own, so that tasks that need none leave them free.
#[derive(Debug, Clone, Default)]
pub(crate) struct PlacementIndex {
    groups: Vec<CapacityLevels>,
    entries: Vec<Option<IndexEntry>>,
    free: Vec<ResourceSize>,
}

/// What one search looks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityQuery {
    pub(crate) zone: u32,
    pub(crate) accelerated: bool,
    pub(crate) size: ResourceSize,
    pub(crate) count: usize,
    pub(crate) scan_limit: usize,
}

fn group_of(zone: u32, accelerated: bool) -> u32 {
    zone * 2 + u32::from(accelerated)
}

impl PlacementIndex {
    /// Inserts a worker or moves it to its new free capacity.
    pub(crate) fn update(&mut self, worker: u32, zone: u32, accelerated: bool, free: ResourceSize) {
        let slot = worker as usize;
        if self.entries.len() <= slot {
            self.entries.resize(slot + 1, None);
            self.free.resize(slot + 1, ResourceSize::default());
        }
        self.free[slot] = free;
        let group = group_of(zone, accelerated);
        let level = level_of(&free);
        if self.entries[slot].is_some_and(|entry| entry.group == group && usize::from(entry.level) == level) {
            return;
        }
        self.remove(worker);
        if self.groups.len() <= group as usize {
            self.groups.resize(group as usize + 1, CapacityLevels::default());
        }
        let levels = &mut self.groups[group as usize];
        let list = &mut levels.levels[level];
        let position = u32::try_from(list.len()).unwrap_or(u32::MAX);
        list.push(worker);
        levels.occupied |= 1 << level;
        levels.count += 1;
        self.entries[slot] = Some(IndexEntry { group, level: u8::try_from(level).unwrap_or(u8::MAX), position });
    }

    pub(crate) fn remove(&mut self, worker: u32) {
        let Some(entry) = self.entries.get_mut(worker as usize).and_then(Option::take) else { return };
        let levels = &mut self.groups[entry.group as usize];
        let list = &mut levels.levels[usize::from(entry.level)];
        list.swap_remove(entry.position as usize);
        if let Some(&moved) = list.get(entry.position as usize)
            && let Some(other) = &mut self.entries[moved as usize]
        {
            other.position = entry.position;
        }
        if list.is_empty() {
            levels.occupied &= !(1 << entry.level);
        }
        levels.count -= 1;
    }

    /// Appends up to `count` workers on which the size fits: the tightest levels first, then others at random. Where
    /// the sample finds nothing, a search passes over `scan_limit` workers from where the last one stopped.
    pub(crate) fn sample(&mut self, query: &CapacityQuery, rng: &mut impl Rng, candidates: &mut Vec<u32>) {
        let Some(levels) = self.groups.get_mut(group_of(query.zone, query.accelerated) as usize) else { return };
        let lowest = level_of(&query.size);
        let mut candidate_levels = levels.occupied & (u64::MAX << lowest);
        let before = candidates.len();
        let free = &self.free;
        let fits = |worker: u32| query.size.fits_within(&free[worker as usize]);
        for _ in 0..query.count * 2 {
            if candidate_levels == 0 || candidates.len() - before >= query.count {
                break;
            }
            let best_fit = candidates.len() - before < query.count.div_ceil(2);
            let level = if best_fit {
                candidate_levels.trailing_zeros()
            } else {
                nth_bit(candidate_levels, rng.random_range(0..candidate_levels.count_ones()))
            };
            let list = &levels.levels[level as usize];
            let worker = list[rng.random_range(0..list.len())];
            if fits(worker) && !candidates[before..].contains(&worker) {
                candidates.push(worker);
            } else if best_fit {
                candidate_levels &= !(1 << level);
            }
        }
        if candidates.len() == before {
            scan(levels, query, lowest, fits, candidates);
        }
    }

    /// Appends up to `count` workers at random, whatever they have free.
    pub(crate) fn sample_any(
        &self,
        zone: u32,
        accelerated: bool,
        count: usize,
        rng: &mut impl Rng,
        candidates: &mut Vec<u32>,
    ) {
        let Some(levels) = self.groups.get(group_of(zone, accelerated) as usize) else { return };
        let before = candidates.len();
        for _ in 0..count * 2 {
            if levels.occupied == 0 || candidates.len() - before >= count.min(levels.count) {
                break;
            }
            let mut offset = rng.random_range(0..levels.count);
            for list in &levels.levels {
                if let Some(&worker) = list.get(offset) {
                    if !candidates[before..].contains(&worker) {
                        candidates.push(worker);
                    }
                    break;
                }
                offset -= list.len();
            }
        }
    }
}

/// Passes over a bounded number of workers of the levels from `lowest` up, starting where the last search stopped.
fn scan(
    levels: &mut CapacityLevels,
    query: &CapacityQuery,
    lowest: usize,
    fits: impl Fn(u32) -> bool,
    candidates: &mut Vec<u32>,
) {
    let total: usize = levels.levels[lowest..].iter().map(Vec::len).sum();
    let steps = query.scan_limit.min(total);
    let before = candidates.len();
    for _ in 0..steps {
        levels.scan_cursor = (levels.scan_cursor + 1) % total;
        let mut offset = levels.scan_cursor;
        for list in &levels.levels[lowest..] {
            if let Some(&worker) = list.get(offset) {
                if fits(worker) {
                    candidates.push(worker);
                }
                break;
            }
            offset -= list.len();
        }
        if candidates.len() - before >= query.count {
            return;
        }
    }
}

/// The position of the n-th set bit, counted from 0.
fn nth_bit(mut bits: u64, n: u32) -> u32 {
    for _ in 0..n {
        bits &= bits - 1;
    }
    bits.trailing_zeros()
}
