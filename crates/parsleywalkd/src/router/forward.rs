//! Requests that were forwarded to entries of other zones.

use std::sync::Arc;

use parsleywalk_routing::{DispatchResult, EndpointResponse};
use parsleywalk_units::{DispatchId, MonotonicTime, VmNumber, ZoneName};

use crate::message::ForwardedAnswer;
use crate::settings::DaemonAddress;

/// The entries of one other zone.
#[derive(Debug)]
struct ZoneEntries {
    zone: ZoneName,
    vms: Vec<VmNumber>,
    next: usize,
}

/// The other zones' entries and the requests that wait for an answer of one.
#[derive(Debug)]
pub(crate) struct ForwardTable {
    zones: Vec<ZoneEntries>,
    waiting: Vec<(DispatchId, MonotonicTime)>,
}

impl ForwardTable {
    pub(crate) fn new(own_zone: &ZoneName, daemons: &[DaemonAddress]) -> Self {
        let mut zones: Vec<ZoneEntries> = Vec::new();
        for daemon in daemons.iter().filter(|daemon| daemon.zone != *own_zone) {
            match zones.binary_search_by(|entries| entries.zone.cmp(&daemon.zone)) {
                Ok(place) => zones[place].vms.push(daemon.vm),
                Err(place) => {
                    let entries = ZoneEntries { zone: daemon.zone.clone(), vms: vec![daemon.vm], next: 0 };
                    zones.insert(place, entries);
                }
            }
        }
        Self { zones, waiting: Vec::new() }
    }

    /// The number of other zones.
    pub(crate) fn zone_count(&self) -> u32 {
        u32::try_from(self.zones.len()).unwrap_or(u32::MAX)
    }

    /// Picks the zone's next entry in turn.
    pub(crate) fn pick(&mut self, zone_index: u32) -> Option<VmNumber> {
        let entries = self.zones.get_mut(zone_index as usize)?;
        let vm = entries.vms[entries.next % entries.vms.len()];
        entries.next += 1;
        Some(vm)
    }

    /// Notes a request that was sent.
    pub(crate) fn wait(&mut self, dispatch: DispatchId, deadline: MonotonicTime) {
        let place = self.waiting.partition_point(|(waiting, _)| *waiting < dispatch);
        self.waiting.insert(place, (dispatch, deadline));
    }

    /// Takes a request off the list; `false` when it is not on it, so that a late answer is not handed over twice.
    pub(crate) fn finish(&mut self, dispatch: DispatchId) -> bool {
        match self.waiting.binary_search_by_key(&dispatch, |(waiting, _)| *waiting) {
            Ok(place) => {
                self.waiting.remove(place);
                true
            }
            Err(_) => false,
        }
    }

    /// Takes the requests off the list whose answer is overdue.
    pub(crate) fn overdue(&mut self, now: MonotonicTime) -> Vec<DispatchId> {
        let overdue = self.waiting.iter().filter(|(_, deadline)| *deadline <= now).map(|(dispatch, _)| *dispatch);
        let overdue: Vec<DispatchId> = overdue.collect();
        self.waiting.retain(|(_, deadline)| *deadline > now);
        overdue
    }
}

/// What another entry's answer means to the router.
pub(crate) fn dispatch_result(answer: ForwardedAnswer) -> DispatchResult {
    match answer {
        ForwardedAnswer::Whole { status, headers, body } => {
            DispatchResult::Answered(Arc::new(EndpointResponse { status, headers, body, load: None }))
        }
        ForwardedAnswer::NotRun { retry_after } => DispatchResult::Refused { retry_after },
        ForwardedAnswer::Unknown { reason } => DispatchResult::Broken { reason },
    }
}
