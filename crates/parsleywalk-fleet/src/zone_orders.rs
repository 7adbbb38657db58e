//! The order in which zone changes take effect.
//!
//! Copies of an operator's order can arrive long after it was given: held up by a partition, by a paused daemon, or
//! resent to a later leader. Meanwhile the operator may have given the opposite order and got its acknowledgement. A
//! change is therefore carried out only if it was received after the newest order for its zone had arrived here. Orders
//! of earlier leaders arrived before this leader's term.

use parsleywalk_batch::SortedMap;
use parsleywalk_units::{MonotonicTime, ZoneDirection, ZoneName};

/// The maximum number of zones that are remembered; a deployment has about a dozen.
const MAX_ZONES: usize = 256;

#[derive(Debug, Clone, Copy)]
struct ZoneOrder {
    direction: ZoneDirection,
    arrived: MonotonicTime,
}

/// The newest order for each zone in the term of a leader.
#[derive(Debug)]
pub(crate) struct ZoneOrders {
    newest: SortedMap<ZoneName, ZoneOrder>,
    /// Orders for other zones arrived before this time.
    since: MonotonicTime,
}

impl ZoneOrders {
    /// Creates the orders of a leader whose term began at `since`.
    pub(crate) fn new(since: MonotonicTime) -> Self {
        Self { newest: SortedMap::default(), since }
    }

    /// Returns true if an order that was received by a daemon at `received` may be carried out. `active` is the zone's
    /// current direction. An order that changes nothing is always carried out, so that a copy of the newest order is
    /// acknowledged.
    pub(crate) fn admit(
        &mut self,
        now: MonotonicTime,
        received: MonotonicTime,
        zone: &ZoneName,
        direction: ZoneDirection,
        active: ZoneDirection,
    ) -> bool {
        let newest = self.newest.get(zone).copied();
        if received < newest.map_or(self.since, |order| order.arrived) {
            return direction == newest.map_or(active, |order| order.direction);
        }
        self.newest.insert(zone.clone(), ZoneOrder { direction, arrived: now });
        if self.newest.len() > MAX_ZONES {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.newest.iter().min_by_key(|(_, order)| order.arrived);
        if let Some((zone, order)) = oldest.map(|(zone, order)| (zone.clone(), *order)) {
            self.newest.remove(&zone);
            self.since = self.since.max(order.arrived);
        }
    }
}

#[cfg(test)]
#[path = "zone_orders_tests.rs"]
mod tests;
