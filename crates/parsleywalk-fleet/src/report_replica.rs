//! Choice of the replica to which a worker reports.
//!
//! With many workers, each reports to a follower of its zone, which relays the reports, so that the leader does not
//! serve a connection to each.

use parsleywalk_batch::SortedMap;
use parsleywalk_units::{VmNumber, WorkerId, ZoneName};

/// Returns one of the followers in the worker's zone, or any follower if the zone has none. Returns `None` without
/// followers. A worker keeps its follower while the followers stay the same.
pub(crate) fn choose(
    worker: &WorkerId,
    zone: &ZoneName,
    followers: &[VmNumber],
    zones: &SortedMap<VmNumber, ZoneName>,
) -> Option<VmNumber> {
    let in_zone = followers.iter().filter(|follower| zones.get(follower) == Some(zone)).copied();
    let in_zone: Vec<VmNumber> = in_zone.collect();
    let usable = if in_zone.is_empty() { followers } else { &in_zone };
    let hash = worker.as_str().bytes().fold(0_usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
    usable.get(hash % usable.len().max(1)).copied()
}

#[cfg(test)]
#[path = "report_replica_tests.rs"]
mod tests;
