//! Selection of the worker on which a queued task starts.

use parsleywalk_shares::AccountIndex;
use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};
use rand::RngExt;

use crate::WaitReason;
use crate::index::CapacityQuery;
use crate::policy::SchedulerPolicy;
use crate::queue::QueuePriority;
use crate::spread::WorkerLocation;
use crate::task::TaskRecord;

/// Weight of the expected and measured slowdown in the score of a service instance, relative to the spread penalty.
const INSTANCE_SLOWDOWN_WEIGHT: f64 = 40.0;
/// Weight of the worker's share left to batch work in the score of a service instance.
const PACKING_WEIGHT: f64 = 40.0;
/// Share of a service's instances that may run on one worker without a spread penalty. It is small, so that the loss of
/// a VM does not overload the other instances.
const UNPENALIZED_WORKER_SHARE: f64 = 0.1;
/// Weight of the free processors that a batch start leaves on the worker, relative to a slowdown of 1.
const LEFTOVER_WEIGHT: f64 = 0.05;

/// The reason for the rejection of a candidate. Of several reasons, the one latest in this order is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateRejection {
    Reserved,
    ZoneRamp,
    PreviousFailure,
    RackReserve,
    Interference,
}

type StrongestRejection = Option<CandidateRejection>;

fn reject(rejection: &mut StrongestRejection, reason: CandidateRejection) {
    *rejection = (*rejection).max(Some(reason));
}

/// Parameters of a search for a worker.
#[derive(Debug, Clone, Copy)]
struct PlacementRequest {
    task: TaskId,
    service: u32,
    priority: QueuePriority,
    size: ResourceSize,
    /// Expected run time from the start, if known.
    run_time: Option<std::time::Duration>,
    failed_before: bool,
    /// Whether the search ignores the interference estimate to collect new samples.
    is_exploring: bool,
}

impl SchedulerPolicy {
    /// Selects a worker and the size to allocate for a queued task, or returns why the task has to wait.
    pub(crate) fn select_worker(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        priority: QueuePriority,
    ) -> Result<(u32, ResourceSize), WaitReason> {
        let Some(record) = self.tasks.get(&task) else { return Err(WaitReason::Unknown) };
        let size = self.size_to_allocate(record)?;
        let declared = record.declared;
        let remaining = self.remaining_time(record);
        let request = PlacementRequest {
            task,
            service: record.service,
            priority,
            size,
            run_time: remaining,
            failed_before: self.quarantine.has_failed(task),
            is_exploring: self.rng.random_bool(self.settings.exploration_rate.clamp(0.0, 1.0)),
        };
        let reason = match self.search_workers(now, &request) {
            Ok(worker) => return Ok((worker, size)),
            Err(reason) => reason,
        };
        if size != declared && !self.any_worker_fits(&size) {
            // The learned size fits on no worker even when empty, so the declared size is used.
            return self
                .search_workers(now, &PlacementRequest { size: declared, ..request })
                .map(|worker| (worker, declared));
        }
        Err(reason)
    }

    /// Returns the size to allocate for a task, or the wait reason if the team's quota does not permit it.
    pub(crate) fn size_to_allocate(&self, record: &TaskRecord) -> Result<ResourceSize, WaitReason> {
        let declared = record.declared;
        let mut size = if self.settings.learned_sizes { self.usage.size(record.service, &declared) } else { declared };
        if !record.is_batch() {
            return Ok(size);
        }
        let account = AccountIndex(record.team);
        let limit = self.team_shares.limit(account);
        if let Some(quota) = limit.as_size() {
            // A task with a learned size above the whole quota could never start.
            size = declared.componentwise_max(&limit.clamp(&size));
            if !self.team_shares.permits(account, &size) {
                let team = self.names.teams.name(record.team).clone();
                return Err(WaitReason::Quota { team, allocated: self.team_shares.allocated(account), quota });
            }
        }
        Ok(size)
    }

    /// Returns how long a task is expected to run from its start, without the work covered by its last checkpoint.
    pub(crate) fn remaining_time(&self, record: &TaskRecord) -> Option<std::time::Duration> {
        let whole_run = if self.settings.learned_run_times {
            self.usage.run_time(record.service, record.run_time)
        } else {
            record.run_time
        };
        whole_run.map(|whole_run| whole_run.saturating_sub(record.saved))
    }

    fn search_workers(&mut self, now: MonotonicTime, request: &PlacementRequest) -> Result<u32, WaitReason> {
        let mut rejection = None;
        if let Some(&worker) = self.reservations.get(&request.task)
            && self.is_available(worker, &mut rejection)
            && request.size.fits_within(&self.workers[worker as usize].free())
        {
            return Ok(worker);
        }
        if request.priority == QueuePriority::Batch
            && !request.failed_before
            && let Some(worker) = self.select_probe_worker(now, request)
        {
            return Ok(worker);
        }
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        let best = self.search_index(now, request, &mut candidates, &mut rejection);
        self.candidate_buffer = candidates;
        if let Some(worker) = best {
            return Ok(worker);
        }
        // Urgent tasks, service instances and tasks that failed before become probes only as a last resort, because a
        // failed probe costs them more.
        if let Some(worker) = self.select_probe_worker(now, request) {
            return Ok(worker);
        }
        Err(self.wait_reason(request, rejection))
    }

    fn search_index(
        &mut self,
        now: MonotonicTime,
        request: &PlacementRequest,
        candidates: &mut Vec<u32>,
        rejection: &mut StrongestRejection,
    ) -> Option<u32> {
        let critical = request.priority == QueuePriority::Critical;
        let count = if critical { self.settings.candidates_per_zone * 2 } else { self.settings.candidates_per_zone };
        let needs_accelerator = request.size.accelerators.get() > 0;
        // Workers with accelerators are used for other tasks only if no other worker has enough free capacity.
        let passes: &[bool] = if needs_accelerator { &[true] } else { &[false, true] };
        for accelerated in passes {
            candidates.clear();
            for zone in 0..u32::try_from(self.zones.len()).unwrap_or(u32::MAX) {
                let record = &self.zones[zone as usize];
                if record.out_of_service {
                    continue;
                }
                if !record.ramp.has_token() {
                    reject(rejection, CandidateRejection::ZoneRamp);
                    continue;
                }
                let query = CapacityQuery {
                    zone,
                    accelerated: *accelerated,
                    size: request.size,
                    count,
                    scan_limit: self.settings.scan_limit,
                };
                self.index.sample(&query, &mut self.rng, candidates);
            }
            let best = self.best_candidate(now, request, candidates, rejection);
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn best_candidate(
        &self,
        now: MonotonicTime,
        request: &PlacementRequest,
        candidates: &[u32],
        rejection: &mut StrongestRejection,
    ) -> Option<u32> {
        let mut best: Option<(f64, u32)> = None;
        for &worker in candidates {
            if let Some(score) = self.score(now, request, worker, rejection)
                && best.is_none_or(|(least, _)| score < least)
            {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns the score of a candidate with enough free capacity, where lower is better, or `None` if it is rejected.
    fn score(
        &self,
        now: MonotonicTime,
        request: &PlacementRequest,
        worker: u32,
        rejection: &mut StrongestRejection,
    ) -> Option<f64> {
        let record = &self.workers[worker as usize];
        if request.failed_before && self.quarantine.avoids(now, request.task, worker) {
            reject(rejection, CandidateRejection::PreviousFailure);
            return None;
        }
        if !record.reservation_permits(request.task, &request.size, now, request.run_time) {
            reject(rejection, CandidateRejection::Reserved);
            return None;
        }
        let left = record.free().saturating_sub(&request.size);
        let leftover = f64::from(left.cores.get()) / f64::from(record.capacity.cores.get().max(1));
        if request.priority == QueuePriority::Critical {
            let location = WorkerLocation { zone: record.zone, rack: record.rack, worker };
            let spread_penalty =
                if self.settings.spread { self.spread_penalty(request.service, location) } else { 0.0 };
            let slowdown = if self.settings.interference_avoidance {
                self.instance_slowdown(now, request.service, worker) + record.smoothed_slowdown.max(0.0)
            } else {
                0.0
            };
            let packing_penalty =
                if self.settings.instance_packing { PACKING_WEIGHT * self.batch_share(worker) } else { 0.0 };
            return Some(spread_penalty + INSTANCE_SLOWDOWN_WEIGHT * slowdown + packing_penalty + leftover);
        }
        if self.settings.rack_reserve
            && self.racks_in_service >= 3
            && !self.rack_reserve.leaves_reserve(worker, &left, self.weights.latency_share())
        {
            reject(rejection, CandidateRejection::RackReserve);
            return None;
        }
        let mut slowdown = 0.0;
        if self.settings.interference_avoidance && !request.is_exploring {
            let cores = f64::from(request.size.cores.get()) / 1000.0;
            slowdown = self.batch_slowdown(now, request.service, cores, worker);
            if slowdown > self.placement_slowdown_limit() && request.priority == QueuePriority::Batch {
                reject(rejection, CandidateRejection::Interference);
                return None;
            }
        }
        Some(slowdown + LEFTOVER_WEIGHT * leftover)
    }

    /// Returns the spread penalty of a service at a location; see
    /// [`InstanceSpread::spread_penalty`](crate::spread::InstanceSpread::spread_penalty).
    pub(crate) fn spread_penalty(&self, service: u32, location: WorkerLocation) -> f64 {
        let instances = self.services.get(service as usize).map_or(0, |service| service.instances);
        let share = if self.settings.instance_packing { UNPENALIZED_WORKER_SHARE } else { 0.0 };
        self.spread.spread_penalty(service, location, (f64::from(instances) * share).floor())
    }

    /// Returns the share of a worker's processors that is not allocated to service instances.
    fn batch_share(&self, worker: u32) -> f64 {
        let record = &self.workers[worker as usize];
        let critical: u32 =
            record.allocations.iter().filter(|allocation| allocation.critical).map(|allocation| allocation.cores).sum();
        1.0 - f64::from(critical) / f64::from(record.capacity.cores.get().max(1))
    }

    /// Returns the expected slowdown of an instance of `service` by the batch tasks of a worker.
    fn instance_slowdown(&self, now: MonotonicTime, service: u32, worker: u32) -> f64 {
        let allocations = self.workers[worker as usize].allocations.iter().filter(|allocation| !allocation.critical);
        allocations
            .map(|allocation| {
                self.interference.slope(now, service, allocation.service) * f64::from(allocation.cores) / 1000.0
            })
            .sum()
    }

    /// Returns the largest expected slowdown of a worker's instances if a batch service used `cores` more there, or 0
    /// if the batch service slows none of the instances.
    fn batch_slowdown(&self, now: MonotonicTime, service: u32, cores: f64, worker: u32) -> f64 {
        let mut largest = 0.0_f64;
        for allocation in self.workers[worker as usize].allocations.iter().filter(|allocation| allocation.critical) {
            let added = self.interference.slope(now, allocation.service, service) * cores;
            if added > 0.0 {
                largest = largest.max(added + self.instance_slowdown(now, allocation.service, worker));
            }
        }
        largest
    }

    /// Selects a quarantined worker that is due for a probe and has enough free capacity, and makes the task its probe.
    fn select_probe_worker(&mut self, now: MonotonicTime, request: &PlacementRequest) -> Option<u32> {
        let worker = self.quarantine.due_for_probe(now).find(|worker| {
            let record = &self.workers[*worker as usize];
            self.accepts_starts(*worker)
                && request.size.fits_within(&record.free())
                && record.reservation_permits(request.task, &request.size, now, request.run_time)
        })?;
        self.quarantine.begin_probe(worker, request.task);
        Some(worker)
    }

    /// Returns true if the worker can take a start now, regardless of its free capacity.
    fn is_available(&self, worker: u32, rejection: &mut StrongestRejection) -> bool {
        let zone = self.workers[worker as usize].zone;
        let ramping = !self.zones[zone as usize].ramp.has_token();
        if ramping {
            reject(rejection, CandidateRejection::ZoneRamp);
        }
        self.accepts_starts(worker) && !ramping && !self.quarantine.is_quarantined(worker)
    }

    fn wait_reason(&self, request: &PlacementRequest, rejection: StrongestRejection) -> WaitReason {
        let size = request.size;
        if self.shapes.is_empty() {
            WaitReason::NoZone
        } else if !self.any_worker_fits(&size) {
            WaitReason::TooLarge { size }
        } else if let Some(worker) = self.reservations.get(&request.task) {
            WaitReason::Reserved { worker: self.workers[*worker as usize].id.clone() }
        } else {
            match rejection {
                Some(CandidateRejection::Interference) => WaitReason::Interference,
                Some(CandidateRejection::RackReserve) => {
                    WaitReason::RackReserve { reserve: self.rack_reserve.slot_size() }
                }
                Some(CandidateRejection::PreviousFailure) => WaitReason::Quarantine,
                Some(CandidateRejection::ZoneRamp) => WaitReason::ZoneRamp,
                Some(CandidateRejection::Reserved) | None => {
                    WaitReason::NoCapacity { size, quarantined: self.quarantine.len() }
                }
            }
        }
    }
}
