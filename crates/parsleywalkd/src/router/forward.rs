//! Requests forwarded to entries of other zones.

use std::sync::Arc;

use parsleywalk_routing::{DispatchResult, EndpointResponse};
use parsleywalk_units::{DispatchId, MonotonicTime, VmNumber, ZoneName};

use crate::message::ForwardedResponse;
use crate::settings::DaemonAddress;

/// The entries of one other zone.
#[derive(Debug)]
struct ZoneEntryList {
    zone: ZoneName,
    vms: Vec<VmNumber>,
    /// Counts the entries picked so far, for round-robin.
    next: usize,
}

/// The entries of the other zones, and the forwarded requests that wait for a reply.
#[derive(Debug)]
pub(crate) struct ForwardTable {
    zones: Vec<ZoneEntryList>,
    /// Each pending request and its deadline, sorted by request.
    pending: Vec<(DispatchId, MonotonicTime)>,
}

impl ForwardTable {
    pub(crate) fn new(own_zone: &ZoneName, daemons: &[DaemonAddress]) -> Self {
        let mut zones: Vec<ZoneEntryList> = Vec::new();
        for daemon in daemons.iter().filter(|daemon| daemon.zone != *own_zone) {
            match zones.binary_search_by(|entries| entries.zone.cmp(&daemon.zone)) {
                Ok(index) => zones[index].vms.push(daemon.vm),
                Err(index) => {
                    let entries = ZoneEntryList { zone: daemon.zone.clone(), vms: vec![daemon.vm], next: 0 };
                    zones.insert(index, entries);
                }
            }
        }
        Self { zones, pending: Vec::new() }
    }

    /// Returns the number of other zones.
    pub(crate) fn zone_count(&self) -> u32 {
        u32::try_from(self.zones.len()).unwrap_or(u32::MAX)
    }

    /// Picks the zone's next entry, in round-robin order.
    pub(crate) fn pick(&mut self, zone_index: u32) -> Option<VmNumber> {
        let entries = self.zones.get_mut(zone_index as usize)?;
        let vm = entries.vms[entries.next % entries.vms.len()];
        entries.next += 1;
        Some(vm)
    }

    /// Adds a request that was sent.
    pub(crate) fn insert(&mut self, dispatch: DispatchId, deadline: MonotonicTime) {
        let index = self.pending.partition_point(|(pending, _)| *pending < dispatch);
        self.pending.insert(index, (dispatch, deadline));
    }

    /// Removes a request. Returns false if it is not pending, in which case its reply came too late or twice.
    pub(crate) fn remove(&mut self, dispatch: DispatchId) -> bool {
        match self.pending.binary_search_by_key(&dispatch, |(pending, _)| *pending) {
            Ok(index) => {
                self.pending.remove(index);
                true
            }
            Err(_) => false,
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn remove_expired(&mut self, now: MonotonicTime) -> Vec<DispatchId> {
        let expired = self.pending.iter().filter(|(_, deadline)| *deadline <= now).map(|(dispatch, _)| *dispatch);
        let expired: Vec<DispatchId> = expired.collect();
        self.pending.retain(|(_, deadline)| *deadline > now);
        expired
    }
}

/// Converts another entry's reply to the result of a dispatch.
pub(crate) fn dispatch_result(response: ForwardedResponse) -> DispatchResult {
    match response {
        ForwardedResponse::Whole { status, headers, body } => {
            DispatchResult::Answered(Arc::new(EndpointResponse { status, headers, body, load: None }))
        }
        ForwardedResponse::NotRun { retry_after } => DispatchResult::Refused { retry_after },
        ForwardedResponse::Unknown { reason } => DispatchResult::Broken { reason },
    }
}
