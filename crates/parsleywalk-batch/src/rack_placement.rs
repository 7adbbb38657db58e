//! Placement of steps that prefer a rack, and of rack-local steps.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::candidate::CandidateWorker;
use crate::place_wait::{PlaceDecision, PlaceWait};
use crate::placement::{MAX_PLACEMENTS_PER_CYCLE, last_placement};
use crate::placement_request::PlacementRequest;
use crate::rack_cycle::RackCycle;
use crate::rack_room::{RackRoom, TaskNeed};
use crate::ranking::WorkerRanking;
use crate::step_order::StepTurn;
use crate::urgency::slack;
use crate::{
    BatchState, Dispatcher, JobRecord, RunNumber, RunPlacement, SortedMap, StepRecord, StepSpec, TaskKey, TaskRecord,
};

/// The number of racks that a rack-local step looks at closely, those with the most capacity first.
const MAX_RACK_LOOKS: usize = 4;
/// The number of steps that look for a rack in one cycle. Those after them are the least urgent, and go on without one.
const MAX_RACK_SEARCHES: usize = 64;
/// A step that waits for a rack chooses another only if that one is sooner by this, about two cycles.
const MIN_RACK_ADVANTAGE: Duration = Duration::from_millis(100);

/// A step that gets capacity now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacedStep<'s> {
    pub(crate) now: MonotonicTime,
    pub(crate) state: &'s BatchState,
    pub(crate) turn: StepTurn,
    /// Whether the step has waited for so long that it gets a worker by all means.
    pub(crate) starved: bool,
    pub(crate) job: &'s JobRecord,
    pub(crate) spec: &'s StepSpec,
    pub(crate) record: &'s StepRecord,
    pub(crate) first: TaskKey,
    pub(crate) min_headroom: f32,
}

impl Dispatcher {
    /// Places as many tasks of a step on its rack as fit now, and decides whether the others wait. Returns what is left of
    /// the turn for other racks, or the whole turn if the step does not wait for a rack.
    pub(crate) fn place_on_rack<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        candidates: &mut [CandidateWorker<'a>],
        placements: &mut Vec<RunPlacement>,
    ) -> StepTurn {
        let &PlacedStep { turn, record, spec, ref first, .. } = step;
        let Some(position) = self.rack_of(step, racks, candidates) else {
            racks.waits.count(step.now, first, 0, 0);
            return turn;
        };
        let row = &racks.index.rows(candidates)[position];
        let (rack, workers) = (row.rack, row.workers.clone());
        let before = placements.len();
        let request = self.placement_request(&step.job.submission, spec, *first, Some(rack), step.min_headroom);
        let request = PlacementRequest { is_rack_only: true, ..request };
        let next_index = self.place_on_workers(step, &request, &workers, candidates, placements);
        let placed = u32::try_from(placements.len() - before).unwrap_or(u32::MAX);
        if spec.rack_local && placed > 0 {
            racks.waits.choose(first, rack);
        }
        let max_tasks = last_placement(&[], &turn).saturating_sub(placed as usize);
        let untried = record.task_count().saturating_sub(next_index);
        let left = record.waiting.saturating_sub(placed).min(untried);
        if left == 0 || max_tasks == 0 || placements.len() >= MAX_PLACEMENTS_PER_CYCLE {
            // What is left goes on in the next turn or cycle.
            racks.waits.count(step.now, first, placed, racks.waits.tasks(first).saturating_sub(placed));
            return StepTurn { max_tasks: 0, ..turn };
        }
        let waiting = self.wait_for_rack(step, racks, (position, rack), left, candidates);
        racks.waits.count(step.now, first, placed, waiting);
        let max_tasks = if waiting > 0 { 0 } else { max_tasks.min(left as usize) };
        StepTurn { first_index: next_index, max_tasks, ..turn }
    }

    /// Places a gang on a rack, or decides that it waits. Returns false if it may be placed elsewhere.
    pub(crate) fn place_gang_on_rack<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        candidates: &mut [CandidateWorker<'a>],
        placements: &mut Vec<RunPlacement>,
    ) -> bool {
        let &PlacedStep { job, spec, record, ref first, .. } = step;
        let has_runs = record.tasks.iter().any(|task| task.live > 0);
        let Some(position) = self.rack_of(step, racks, candidates).filter(|_| !has_runs) else {
            racks.waits.count(step.now, first, 0, 0);
            return false;
        };
        let row = &racks.index.rows(candidates)[position];
        let (rack, workers) = (row.rack, row.workers.clone());
        let before = placements.len();
        let request = self.placement_request(&job.submission, spec, *first, Some(rack), step.min_headroom);
        let request = PlacementRequest { is_rack_only: true, ..request };
        self.place_gang(step, &request, Some(&workers), candidates, placements);
        let placed = u32::try_from(placements.len() - before).unwrap_or(u32::MAX);
        let left = spec.count.saturating_sub(placed);
        let waiting = self.wait_for_rack(step, racks, (position, rack), left, candidates);
        racks.waits.count(step.now, first, placed, waiting);
        waiting == left
    }

    /// Returns the position of the rack that the step may wait for.
    fn rack_of<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        candidates: &[CandidateWorker<'a>],
    ) -> Option<usize> {
        let &PlacedStep { job, spec, record, ref first, .. } = step;
        racks.remote_factor.filter(|_| !spec.long_running && !step.starved)?;
        if let Some(rack) = &spec.preferred_rack {
            return racks.index.position(candidates, &job.submission.service, rack);
        }
        if !spec.rack_local {
            return None;
        }
        let known = racks.waits.steps.get(first);
        let known = known.and_then(|wait| racks.index.position(candidates, &job.submission.service, &wait.rack));
        // The racks of runs that an earlier leader has placed, or that were placed on several racks, are not known.
        let is_unplaced = record.waiting == record.task_count();
        if is_unplaced { self.soonest_rack(step, racks, candidates, known) } else { known }
    }

    /// Returns the rack on which all tasks of a step are expected to be soonest, if they may wait for so long. `known` is
    /// the one that they wait for.
    fn soonest_rack<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        candidates: &[CandidateWorker<'a>],
        known: Option<usize>,
    ) -> Option<usize> {
        racks.searches += 1;
        if racks.searches > MAX_RACK_SEARCHES {
            return None;
        }
        let wait = self.place_wait(step, racks)?;
        let service = &step.job.submission.service;
        let cores = u64::from(step.spec.size.cores.get()).saturating_mul(u64::from(step.record.waiting));
        let mut largest: Vec<(u64, usize)> = Vec::new();
        for position in 0..racks.index.rows(candidates).len() {
            racks.forecast(self, (step.now, step.state), position, candidates);
            let row = &racks.index.rows(candidates)[position];
            let is_large = known == Some(position) || row.potential_cores >= cores;
            largest.extend((row.service == service && is_large).then_some((row.potential_cores, position)));
        }
        largest.sort_unstable_by(|left, right| right.cmp(left));
        let need = TaskNeed::of(step.spec);
        let mut soonest: Option<(Duration, usize)> = None;
        for (_, position) in largest.into_iter().take(MAX_RACK_LOOKS) {
            let free = self.free_room(step, racks, position, candidates);
            let mut forecast = racks.forecast(self, (step.now, step.state), position, candidates).clone();
            let tasks = step.record.waiting;
            let wait = PlaceWait { lost_time: racks.waits.cost(racks.index.rows(candidates)[position].rack), ..wait };
            let advantage = if known == Some(position) { MIN_RACK_ADVANTAGE } else { Duration::ZERO };
            let last = wait.last_wait(tasks, &need, &free, &mut forecast);
            let last = last.map(|last| last.saturating_sub(advantage));
            if let Some(last) = last.filter(|last| soonest.is_none_or(|(known, _)| *last < known)) {
                soonest = Some((last, position));
            }
        }
        let (_, position) = soonest?;
        let row = &mut racks.index.rows(candidates)[position];
        row.potential_cores = row.potential_cores.saturating_sub(cores);
        Some(position)
    }

    /// Decides whether the tasks of a step wait for a rack, and records the decision. Returns the number of those that do.
    fn wait_for_rack<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        (position, rack): (usize, &str),
        tasks: u32,
        candidates: &[CandidateWorker<'a>],
    ) -> u32 {
        let Some(wait) = self.place_wait(step, racks).filter(|_| tasks > 0) else { return 0 };
        let wait = PlaceWait { lost_time: racks.waits.cost(rack), ..wait };
        let free = self.free_room(step, racks, position, candidates);
        let forecast = racks.forecast(self, (step.now, step.state), position, candidates);
        let decision = wait.decide(tasks, &TaskNeed::of(step.spec), &free, forecast);
        let PlaceDecision::Wait { longest, expected, gain } = decision else { return 0 };
        if racks.waits.record(&step.first, rack, (step.now, step.now + longest), tasks) {
            log::info!(
                "event=place_wait job={} step={} rack={rack} tasks={tasks} expected_wait_ms={} gain_ms={} \
                 longest_wait_ms={}",
                step.first.job,
                step.first.step,
                expected.as_millis(),
                gain.as_millis(),
                longest.as_millis()
            );
        }
        tasks
    }

    /// Returns what the decision for a step depends on, besides the forecast of its rack, or `None` if it must not wait.
    fn place_wait(&self, step: &PlacedStep<'_>, racks: &RackCycle<'_>) -> Option<PlaceWait> {
        let &PlacedStep { now, job, record, ref first, .. } = step;
        let outlook = self.outlooks.get(first.job)?;
        let since = self.accepted_times.get(&first.job).copied().unwrap_or(now);
        // A placed run does not count until a worker lists it.
        let idle = self.idle_since.get(&first.job);
        // A job that has lost its runs had been idle for some time before the leader knew.
        let is_lost = |task: &TaskRecord| !task.done && task.live == 0 && task.last_run > RunNumber::ZERO;
        if idle.is_some() && record.tasks.iter().any(is_lost) {
            return None;
        }
        Some(PlaceWait {
            policy: self.settings.place_wait_policy,
            duration: self.work_model.predict(&job.submission, first.step),
            remote_factor: racks.remote_factor?,
            slack: slack(job, outlook, since, now),
            idle: idle.map(|since| now.since(*since)),
            max_wait: self.settings.max_place_wait,
            stated: racks.waits.stated(now, first),
            lost_time: Duration::ZERO,
        })
    }

    /// Returns what each worker of a rack has free for tasks of a step, or `None` for workers that do not get one now for
    /// other reasons than their capacity.
    fn free_room<'a>(
        &self,
        step: &PlacedStep<'_>,
        racks: &mut RackCycle<'a>,
        position: usize,
        candidates: &[CandidateWorker<'a>],
    ) -> Vec<Option<RackRoom>> {
        let &PlacedStep { job, spec, ref first, .. } = step;
        let request = self.placement_request(&job.submission, spec, *first, None, step.min_headroom);
        let row = &racks.index.rows(candidates)[position];
        let room = |worker: &usize| {
            let candidate = &candidates[*worker];
            let may_get = !candidate.is_slow && candidate.may_get_later(&request);
            let is_blocked = || candidate.fits(&request) && self.rank_worker(&request, None, candidate).is_none();
            let room = RackRoom { size: candidate.free, best_effort: candidate.free_best_effort };
            (may_get && !is_blocked()).then_some(room)
        };
        row.workers.iter().map(room).collect()
    }

    /// Places the waiting tasks of a step on some workers until one finds none or the turn ends. Returns the index of the
    /// first task that has not been tried.
    fn place_on_workers(
        &self,
        step: &PlacedStep<'_>,
        request: &PlacementRequest<'_>,
        workers: &[usize],
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) -> u32 {
        let &PlacedStep { now, turn, record, first, .. } = step;
        let rank = |candidate: &CandidateWorker<'_>| self.rank_worker(request, None, candidate);
        let mut ranking = WorkerRanking::of(workers, candidates, rank);
        let end = last_placement(placements, &turn);
        for (index, task) in (0u32..).zip(&record.tasks).skip(turn.first_index as usize) {
            let key = TaskKey { index, ..first };
            if task.done || task.live > 0 || self.restart_delays.is_delayed(now, &key) {
                continue;
            }
            if placements.len() >= end {
                return index;
            }
            let Some(worker_index) = self.choose_worker(request, &key, &mut ranking, candidates) else { return index };
            let placement = candidates[worker_index].assign(step.spec, key, task.last_run.next());
            placements.push(placement);
            self.record_assigned(request, worker_index, &mut ranking, candidates);
        }
        record.task_count()
    }
}

/// Returns the rack that can hold the most of the step's waiting tasks.
pub(crate) fn best_rack(
    job: &JobRecord,
    spec: &StepSpec,
    waiting: u32,
    candidates: &[CandidateWorker<'_>],
) -> Option<String> {
    let mut free_slots: SortedMap<&str, u32> = SortedMap::default();
    let usable = candidates.iter().filter(|candidate| candidate.admits_on_probation());
    for candidate in usable.filter(|candidate| candidate.view.service == job.submission.service) {
        let Some(rack) = candidate.view.rack.as_deref() else { continue };
        let slots = candidate.free_best_effort.get() / spec.size.cores.get().max(1);
        *free_slots.entry(rack, || 0) += slots;
    }
    free_slots.iter().max_by_key(|(_, slots)| (**slots).min(waiting)).map(|(rack, _)| (*rack).to_owned())
}
