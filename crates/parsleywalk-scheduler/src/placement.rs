//! Where a queued task starts.

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};
use rand::RngExt;

use crate::WaitReason;
use crate::fair::min_each;
use crate::index::CapacityQuery;
use crate::policy::SchedulerPolicy;
use crate::queue::QueuePriority;
use crate::spread::WorkerSite;
use crate::task::TaskRecord;

/// Weights of a service instance's score beside its crowding: for each unit of slow-down expected or measured.
const INSTANCE_SLOWDOWN: f64 = 40.0;
/// Weight of the share of the worker that is left to batch.
const TOGETHER: f64 = 40.0;
/// The share of a service's instances that may be on one worker, so that the loss of a VM overloads no other instance.
const WORKER_SHARE: f64 = 0.1;
/// Weight of the free processors that a batch start leaves over, against a slow-down of 1.
const LEFTOVER: f64 = 0.05;

/// Why a candidate was passed over; of several reasons the largest one is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateRefusal {
    Held,
    Ramp,
    Failed,
    Reserve,
    Interference,
}

type Refusal = Option<CandidateRefusal>;

fn refuse(refusal: &mut Refusal, reason: CandidateRefusal) {
    *refusal = (*refusal).max(Some(reason));
}

/// What a search needs to know of its task.
#[derive(Debug, Clone, Copy)]
struct PlacementRequest {
    task: TaskId,
    service: u32,
    priority: QueuePriority,
    size: ResourceSize,
    run_time: Option<std::time::Duration>,
    failed_before: bool,
    explores: bool,
}

impl SchedulerPolicy {
    /// Chooses a worker for a queued task, or says why there is none.
    pub(crate) fn find_place(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        priority: QueuePriority,
    ) -> Result<(u32, ResourceSize), WaitReason> {
        let Some(record) = self.tasks.get(&task) else { return Err(WaitReason::Unknown) };
        let size = self.needed_size(record)?;
        let declared = record.declared;
        let remaining = self.remaining_time(record);
        let request = PlacementRequest {
            task,
            service: record.service,
            priority,
            size,
            run_time: remaining,
            failed_before: self.quarantine.has_failed(task),
            explores: self.rng.random_bool(self.settings.exploration.clamp(0.0, 1.0)),
        };
        let reason = match self.search(now, &request) {
            Ok(worker) => return Ok((worker, size)),
            Err(reason) => reason,
        };
        if size != declared && !self.some_worker_has(&size) {
            // No worker could ever take the learned size, so the declared one has to do.
            return self.search(now, &PlacementRequest { size: declared, ..request }).map(|worker| (worker, declared));
        }
        Err(reason)
    }

    /// The size to commit for a task, or why its team may not hold it.
    pub(crate) fn needed_size(&self, record: &TaskRecord) -> Result<ResourceSize, WaitReason> {
        let declared = record.declared;
        let mut size = if self.settings.learned_sizes { self.usage.size(record.service, &declared) } else { declared };
        if !record.is_batch() {
            return Ok(size);
        }
        if let Some(quota) = self.fair.quota(record.team) {
            // A learned size beyond the whole quota could never start.
            size = declared.componentwise_max(&min_each(&size, &quota));
            if !self.fair.permits(record.team, &size) {
                let team = self.names.teams.name(record.team).clone();
                return Err(WaitReason::Quota { team, held: self.fair.held(record.team), quota });
            }
        }
        Ok(size)
    }

    /// How long a task is expected to run from its start.
    pub(crate) fn remaining_time(&self, record: &TaskRecord) -> Option<std::time::Duration> {
        let whole = if self.settings.learned_run_times {
            self.usage.run_time(record.service, record.run_time)
        } else {
            record.run_time
        };
        whole.map(|whole| whole.saturating_sub(record.saved))
    }

    fn search(&mut self, now: MonotonicTime, request: &PlacementRequest) -> Result<u32, WaitReason> {
        let mut refusal = None;
        if let Some(&worker) = self.holds.get(&request.task)
            && self.is_open(worker, &mut refusal)
            && request.size.fits_within(&self.workers[worker as usize].free())
        {
            return Ok(worker);
        }
        if request.priority == QueuePriority::Batch
            && !request.failed_before
            && let Some(worker) = self.find_probe(now, request)
        {
            return Ok(worker);
        }
        let mut found = std::mem::take(&mut self.found);
        let best = self.search_index(now, request, &mut found, &mut refusal);
        self.found = found;
        if let Some(worker) = best {
            return Ok(worker);
        }
        // Other tasks are probes only where nothing else has room: a probe of theirs that fails costs more.
        if let Some(worker) = self.find_probe(now, request) {
            return Ok(worker);
        }
        Err(self.wait_reason(request, refusal))
    }

    fn search_index(
        &mut self,
        now: MonotonicTime,
        request: &PlacementRequest,
        found: &mut Vec<u32>,
        refusal: &mut Refusal,
    ) -> Option<u32> {
        let critical = request.priority == QueuePriority::Critical;
        let count = if critical { self.settings.candidates * 2 } else { self.settings.candidates };
        let needs_accelerator = request.size.accelerators.get() > 0;
        // Workers with accelerators take tasks that need none only where no other worker has room.
        let passes: &[bool] = if needs_accelerator { &[true] } else { &[false, true] };
        for accelerated in passes {
            found.clear();
            for zone in 0..u32::try_from(self.zones.len()).unwrap_or(u32::MAX) {
                let record = &self.zones[zone as usize];
                if record.out {
                    continue;
                }
                if !record.ramp.is_open() {
                    refuse(refusal, CandidateRefusal::Ramp);
                    continue;
                }
                let query = CapacityQuery {
                    zone,
                    accelerated: *accelerated,
                    size: request.size,
                    count,
                    walk: self.settings.walk,
                };
                self.index.sample(&query, &mut self.rng, found);
            }
            let best = self.best_candidate(now, request, found, refusal);
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
        found: &[u32],
        refusal: &mut Refusal,
    ) -> Option<u32> {
        let mut best: Option<(f64, u32)> = None;
        for &worker in found {
            if let Some(score) = self.score(now, request, worker, refusal)
                && best.is_none_or(|(least, _)| score < least)
            {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// The score of a candidate with room, less being better, or `None` where it must not be used.
    fn score(&self, now: MonotonicTime, request: &PlacementRequest, worker: u32, refusal: &mut Refusal) -> Option<f64> {
        let record = &self.workers[worker as usize];
        if request.failed_before && self.quarantine.avoids(now, request.task, worker) {
            refuse(refusal, CandidateRefusal::Failed);
            return None;
        }
        if !record.hold_permits(request.task, &request.size, now, request.run_time) {
            refuse(refusal, CandidateRefusal::Held);
            return None;
        }
        let left = record.free().saturating_sub(&request.size);
        let leftover = f64::from(left.cores.get()) / f64::from(record.capacity.cores.get().max(1));
        if request.priority == QueuePriority::Critical {
            let site = WorkerSite { zone: record.zone, rack: record.rack, worker };
            let crowding = if self.settings.spread { self.crowding(request.service, site) } else { 0.0 };
            let slowdown = if self.settings.interference_placement {
                self.instance_slowdown(now, request.service, worker) + record.strain.max(0.0)
            } else {
                0.0
            };
            let together = if self.settings.together { TOGETHER * self.batch_share(worker) } else { 0.0 };
            return Some(crowding + INSTANCE_SLOWDOWN * slowdown + together + leftover);
        }
        if self.settings.rack_reserve
            && self.open_racks >= 3
            && !self.reserve.permits(worker, &left, self.weights.latency_share())
        {
            refuse(refusal, CandidateRefusal::Reserve);
            return None;
        }
        let mut slowdown = 0.0;
        if self.settings.interference_placement && !request.explores {
            let cores = f64::from(request.size.cores.get()) / 1000.0;
            slowdown = self.batch_slowdown(now, request.service, cores, worker);
            if slowdown > self.slowdown_allowance() && request.priority == QueuePriority::Batch {
                refuse(refusal, CandidateRefusal::Interference);
                return None;
            }
        }
        Some(slowdown + LEFTOVER * leftover)
    }

    /// How crowded a service is at a site; see [`SpreadCount::crowding`](crate::spread::SpreadCount::crowding).
    pub(crate) fn crowding(&self, service: u32, site: WorkerSite) -> f64 {
        let instances = self.plans.get(service as usize).map_or(0, |plan| plan.instances);
        let share = if self.settings.together { WORKER_SHARE } else { 0.0 };
        self.spread.crowding(service, site, (f64::from(instances) * share).floor())
    }

    /// The share of a worker's processors that is left to batch, taken or free.
    fn batch_share(&self, worker: u32) -> f64 {
        let record = &self.workers[worker as usize];
        let critical: u32 = record.mix.iter().filter(|mix| mix.critical).map(|mix| mix.cores).sum();
        1.0 - f64::from(critical) / f64::from(record.capacity.cores.get().max(1))
    }

    /// The expected slow-down of an instance beside a worker's batch tasks.
    fn instance_slowdown(&self, now: MonotonicTime, service: u32, worker: u32) -> f64 {
        let mix = self.workers[worker as usize].mix.iter().filter(|mix| !mix.critical);
        mix.map(|mix| self.model.slope(now, service, mix.service) * f64::from(mix.cores) / 1000.0).sum()
    }

    /// The largest expected slow-down of a worker's instances once `cores` more of a batch service run there; 0 where
    /// the batch service adds nothing to it.
    fn batch_slowdown(&self, now: MonotonicTime, service: u32, cores: f64, worker: u32) -> f64 {
        let mut largest = 0.0_f64;
        for mix in self.workers[worker as usize].mix.iter().filter(|mix| mix.critical) {
            let added = self.model.slope(now, mix.service, service) * cores;
            if added > 0.0 {
                largest = largest.max(added + self.instance_slowdown(now, mix.service, worker));
            }
        }
        largest
    }

    /// A quarantined worker that is due for its next probe and fits.
    fn find_probe(&mut self, now: MonotonicTime, request: &PlacementRequest) -> Option<u32> {
        let worker = self.quarantine.due(now).find(|worker| {
            let record = &self.workers[*worker as usize];
            self.takes_starts(*worker)
                && request.size.fits_within(&record.free())
                && record.hold_permits(request.task, &request.size, now, request.run_time)
        })?;
        self.quarantine.begin_probe(worker, request.task);
        Some(worker)
    }

    fn is_open(&self, worker: u32, refusal: &mut Refusal) -> bool {
        let zone = self.workers[worker as usize].zone;
        let ramping = !self.zones[zone as usize].ramp.is_open();
        if ramping {
            refuse(refusal, CandidateRefusal::Ramp);
        }
        self.takes_starts(worker) && !ramping && !self.quarantine.is_quarantined(worker)
    }

    fn wait_reason(&self, request: &PlacementRequest, refusal: Refusal) -> WaitReason {
        let size = request.size;
        if self.shapes.is_empty() {
            WaitReason::NoZone
        } else if !self.some_worker_has(&size) {
            WaitReason::TooLarge { size }
        } else if let Some(worker) = self.holds.get(&request.task) {
            WaitReason::Held { worker: self.workers[*worker as usize].id.clone() }
        } else {
            match refusal {
                Some(CandidateRefusal::Interference) => WaitReason::Interference,
                Some(CandidateRefusal::Reserve) => WaitReason::RackReserve { reserve: self.reserve.unit() },
                Some(CandidateRefusal::Failed) => WaitReason::Quarantine,
                Some(CandidateRefusal::Ramp) => WaitReason::ZoneRamp,
                Some(CandidateRefusal::Held) | None => WaitReason::NoRoom { size, quarantined: self.quarantine.len() },
            }
        }
    }
}
