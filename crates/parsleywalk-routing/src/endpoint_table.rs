//! The table of the zone's endpoints.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::{EndpointId, MonotonicTime};

use crate::endpoint_record::{EndpointHealth, EndpointRecord};
use crate::{DispatchResult, EndpointAddress, EndpointAnnouncement, RouterSettings};

/// The lowest HTTP status that counts as a failure of the endpoint.
const FAILURE_STATUS: u16 = 500;

/// An endpoint is ejected for failures only if its failure rate exceeds this multiple of the lower quartile of the
/// other endpoints' rates, plus [`OUTLIER_MARGIN`]. Compared with the mean, several failing endpoints would hide one
/// another.
const OUTLIER_FACTOR: f64 = 2.0;
/// The margin added to the threshold for outliers. Three consecutive failures give a rate of 0.18. Random differences
/// between endpoints that all fail at 25% reach 0.23.
const OUTLIER_MARGIN: f64 = 0.15;

/// Refers to a record of the table. After the record is removed, the handle refers to no record and is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointHandle {
    pub(crate) index: usize,
    pub(crate) serial: u64,
}

/// The capacity of a service's endpoints for this entry's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServiceCapacity {
    pub(crate) computed_at: MonotonicTime,
    /// The number of present endpoints, including ejected ones.
    pub(crate) endpoints: usize,
    /// The number of requests that may be in progress at the healthy endpoints.
    pub(crate) slots: u32,
}

/// The effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnnounceEffect {
    /// None: the announcement is outdated, or the table is full.
    Ignored,
    /// The endpoint was added or renewed.
    Present,
    /// The announcement is the first one to say that the endpoint is leaving.
    Leaving,
}

/// Holds the announced endpoints of all services.
///
/// Announcements of older incarnations are ignored, and an incarnation that has announced that it is leaving stays
/// leaving. To recognize late announcements, records of endpoints that left or expired are retained for a while.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) records: Vec<Option<EndpointRecord>>,
    free_indices: Vec<usize>,
    by_endpoint: HashMap<EndpointId, usize>,
    pub(crate) by_service: Vec<Vec<usize>>,
    /// The time at which the first endpoint of each service was announced.
    first_seen: Vec<Option<MonotonicTime>>,
    next_serial: u64,
}

impl EndpointTable {
    pub(crate) fn announce(
        &mut self,
        now: MonotonicTime,
        service: usize,
        announcement: &EndpointAnnouncement,
        settings: &RouterSettings,
    ) -> AnnounceEffect {
        let (shortest, longest) = settings.ttl_range;
        let expires = now + announcement.ttl.clamp(shortest, longest);
        if let Some(&index) = self.by_endpoint.get(&announcement.endpoint)
            && let Some(record) = &mut self.records[index]
        {
            if announcement.incarnation < record.incarnation {
                return AnnounceEffect::Ignored;
            }
            if announcement.incarnation == record.incarnation {
                let was_leaving = record.leaving;
                if record.service != service || (was_leaving && !announcement.leaving) {
                    return AnnounceEffect::Ignored;
                }
                record.renew(now, expires, announcement);
                return announce_effect(was_leaving, record.leaving);
            }
            self.remove(index);
        }
        if self.by_endpoint.len() >= settings.endpoint_limit && !self.drop_oldest_departed(now) {
            return AnnounceEffect::Ignored;
        }
        let mut record = EndpointRecord::new(now, self.next_serial, service, announcement);
        self.next_serial += 1;
        record.expires = expires;
        // Endpoints that are announced soon after the service's first one were found by an entry that has just started.
        // They are not new and need no slow start.
        if now.since(self.first_seen(now, service)) < settings.slow_start * 2 {
            record.skip_slow_start();
        }
        let leaving = record.leaving;
        self.insert(record);
        announce_effect(false, leaving)
    }

    /// Records the start of a dispatch to an endpoint.
    pub(crate) fn begin_dispatch(&mut self, now: MonotonicTime, handle: EndpointHandle) {
        if let Some(record) = self.get_mut(handle) {
            record.begin_dispatch(now);
        }
    }

    /// Records the result of a dispatch, unless the endpoint was replaced by a newer incarnation.
    pub(crate) fn finish_dispatch(
        &mut self,
        now: MonotonicTime,
        handle: EndpointHandle,
        started: MonotonicTime,
        result: &DispatchResult,
        settings: &RouterSettings,
    ) {
        let Some(record) = self.get_mut(handle) else { return };
        record.outstanding = record.outstanding.saturating_sub(1);
        let failed = match result {
            DispatchResult::Answered(response) => {
                record.record_response(now, response.load);
                response.status >= FAILURE_STATUS
            }
            DispatchResult::Refused { retry_after } => {
                record.record_refusal(now, *retry_after);
                return;
            }
            DispatchResult::NotSent { .. } | DispatchResult::Broken { .. } => true,
        };
        if !failed {
            record.record_success(now, started);
            return;
        }
        record.record_failure();
        let (health, consecutive_failures) = (record.health, record.consecutive_failures);
        let failed = match health {
            EndpointHealth::Healthy => {
                consecutive_failures >= settings.ejection_failures && self.is_outlier(now, handle)
            }
            // Results of dispatches that precede the probe must not count as its result.
            EndpointHealth::Ejected { probe_sent, .. } => probe_sent.is_some_and(|sent| started >= sent),
        };
        if failed {
            self.eject(now, handle, false, settings);
        }
    }

    /// Ejects unresponsive endpoints and removes those whose retention has ended.
    pub(crate) fn sweep(
        &mut self,
        now: MonotonicTime,
        unresponsive_timeout: impl Fn(usize) -> Duration,
        settings: &RouterSettings,
    ) {
        for index in 0..self.records.len() {
            let Some(record) = &self.records[index] else { continue };
            let retained_until = record.expires + settings.departed_retention;
            if record.outstanding == 0 && now > retained_until {
                self.remove(index);
            } else if record.is_unresponsive(now, unresponsive_timeout(record.service)) {
                let handle = EndpointHandle { index, serial: record.serial };
                self.eject(now, handle, true, settings);
            }
        }
    }

    /// Returns true if an endpoint fails clearly more often than the other healthy ones of its service.
    ///
    /// If all fail alike, for example because of requests that fail everywhere, ejection would only reduce the
    /// capacity.
    fn is_outlier(&self, now: MonotonicTime, handle: EndpointHandle) -> bool {
        let Some(record) = self.get(handle) else { return false };
        let others =
            self.present(now, record.service).filter(|(index, other)| *index != handle.index && other.is_healthy());
        let mut rates: Vec<f64> = others.map(|(_, other)| other.failure_rate()).collect();
        rates.sort_by(f64::total_cmp);
        rates
            .get(rates.len() / 4)
            .is_some_and(|typical_rate| record.failure_rate() > OUTLIER_FACTOR * typical_rate + OUTLIER_MARGIN)
    }

    /// Ejects an endpoint, unless less than half of its service's endpoints would remain.
    fn eject(&mut self, now: MonotonicTime, handle: EndpointHandle, unresponsive: bool, settings: &RouterSettings) {
        let Some(record) = self.get(handle) else { return };
        let (healthy, ejected) = self.present_counts(now, record.service);
        let exceeds_half = record.is_healthy() && 2 * (ejected + 1) > healthy + ejected;
        if !settings.ejection || exceeds_half {
            return;
        }
        if let Some(record) = self.get_mut(handle) {
            record.eject(now, unresponsive, settings);
        }
    }

    /// Returns the time at which the first endpoint of a service was announced, recording `now` if there was none.
    fn first_seen(&mut self, now: MonotonicTime, service: usize) -> MonotonicTime {
        if self.first_seen.len() <= service {
            self.first_seen.resize(service + 1, None);
        }
        *self.first_seen[service].get_or_insert(now)
    }

    fn insert(&mut self, record: EndpointRecord) {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.records.push(None);
            self.records.len() - 1
        });
        if self.by_service.len() <= record.service {
            self.by_service.resize_with(record.service + 1, Vec::new);
        }
        self.by_endpoint.insert(record.endpoint.clone(), index);
        self.by_service[record.service].push(index);
        self.records[index] = Some(record);
    }

    fn remove(&mut self, index: usize) {
        if let Some(record) = self.records[index].take() {
            self.by_endpoint.remove(&record.endpoint);
            self.by_service[record.service].retain(|other| *other != index);
            self.free_indices.push(index);
        }
    }

    /// Removes the endpoint that left or expired first. Returns false if there is none.
    fn drop_oldest_departed(&mut self, now: MonotonicTime) -> bool {
        let departed = (0..self.records.len())
            .filter_map(|index| self.records[index].as_ref().map(|record| (index, record)))
            .filter(|(_, record)| !record.is_present(now) && record.outstanding == 0)
            .min_by_key(|(_, record)| record.expires)
            .map(|(index, _)| index);
        departed.map(|index| self.remove(index)).is_some()
    }

    fn get_mut(&mut self, handle: EndpointHandle) -> Option<&mut EndpointRecord> {
        self.records.get_mut(handle.index)?.as_mut().filter(|record| record.serial == handle.serial)
    }
}

impl EndpointTable {
    pub(crate) fn address(&self, handle: EndpointHandle) -> Option<EndpointAddress> {
        self.get(handle).map(|record| record.address)
    }

    /// Returns the numbers of healthy and of ejected endpoints of a service.
    pub(crate) fn present_counts(&self, now: MonotonicTime, service: usize) -> (usize, usize) {
        self.present(now, service).fold((0, 0), |(healthy, ejected), (_, record)| {
            if record.is_healthy() { (healthy + 1, ejected) } else { (healthy, ejected + 1) }
        })
    }

    /// Returns the capacity of a service's endpoints for this entry's requests.
    pub(crate) fn capacity(
        &self,
        now: MonotonicTime,
        service: usize,
        slots_limit: u32,
        settings: &RouterSettings,
    ) -> ServiceCapacity {
        let (healthy, ejected) = self.present_counts(now, service);
        let records = self.present(now, service).filter(|(_, record)| record.is_healthy());
        let slots = records.map(|(_, record)| record.concurrency_limit(now, slots_limit, settings)).sum();
        ServiceCapacity { computed_at: now, endpoints: healthy + ejected, slots }
    }

    pub(crate) fn records_of(&self, service: usize) -> impl Iterator<Item = &EndpointRecord> {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        indices.iter().filter_map(|&index| self.records[index].as_ref())
    }

    pub(crate) fn present(&self, now: MonotonicTime, service: usize) -> impl Iterator<Item = (usize, &EndpointRecord)> {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        indices
            .iter()
            .filter_map(|&index| self.records[index].as_ref().map(|record| (index, record)))
            .filter(move |(_, record)| record.is_present(now))
    }

    pub(crate) fn get(&self, handle: EndpointHandle) -> Option<&EndpointRecord> {
        self.records.get(handle.index)?.as_ref().filter(|record| record.serial == handle.serial)
    }
}

fn announce_effect(was_leaving: bool, leaving: bool) -> AnnounceEffect {
    if leaving && !was_leaving { AnnounceEffect::Leaving } else { AnnounceEffect::Present }
}
