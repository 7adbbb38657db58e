//! Placement of waiting tasks on workers.

use std::borrow::Cow;
use std::time::Duration;

use parsleywalk_units::{MilliCores, MonotonicTime, WorkerId};

use crate::candidate::CandidateWorker;
use crate::dispatcher::ratio;
use crate::headroom_rule::HeadroomRule;
use crate::interference::{ImageIndex, InterferenceModel};
use crate::overload_feed::CycleRecord;
use crate::placement_request::{HealthLeniency, PlacementRequest};
use crate::rack_cycle::RackCycle;
use crate::rack_placement::{PlacedStep, best_rack};
use crate::ranking::WorkerRanking;
use crate::ready_step::ReadyStep;
use crate::step_class::StepClass;
use crate::step_order::StepTurn;
use crate::task_shape::TaskShape;
use crate::urgency::{JobUrgency, has_ample_slack};
use crate::worker_rank::WorkerRank;
use crate::worker_view::{LongRunningTasks, WorkerView};
use crate::{BatchState, Dispatcher, JobRecord, JobSubmission, RunPlacement, StepSpec, TaskKey, WorkerRecord};

/// The maximum number of placements in one scheduling cycle, which keeps a cycle well below the leader's heartbeat
/// interval.
pub(crate) const MAX_PLACEMENTS_PER_CYCLE: usize = 400;

/// The percentage of the cores allocated to long-running tasks that best-effort tasks may use. Long-running tasks are
/// sized for peak load; if best-effort tasks get more than what is idle, they only run more slowly.
const LONG_RUNNING_IDLE_PERCENT: u32 = 60;
/// The interval at which the compatibility of images is looked at again. It changes with nearly every report, and
/// decides only which of several suitable workers is taken.
const COMPATIBILITY_INTERVAL: Duration = Duration::from_secs(1);
/// At most one worker per this many, plus one, is reserved, because a reserved worker takes no other tasks.
const WORKERS_PER_RESERVATION: usize = 60;
/// The maximum age of a job that a new leader derives from the wall clock.
const MAX_JOB_AGE: Duration = Duration::from_mins(1);
/// The period that the measurements in a report cover.
const REPORT_WINDOW: Duration = Duration::from_millis(600);
/// The headroom that must remain for latency-critical tasks when a best-effort task is placed.
pub(crate) const MIN_HEADROOM: f32 = 0.03;
/// The headroom that must remain when the best-effort task's job has slack: about as much as the own load of a
/// latency-critical task grows in the second or two that a best-effort task runs.
pub(crate) const SLACK_HEADROOM: f32 = 0.12;
/// Workers with more headroom than this are ranked as equal.
const SAFE_HEADROOM: f32 = 0.25;
/// The number of interference levels per unit of load.
const INTERFERENCE_LEVELS: f32 = 25.0;

impl Dispatcher {
    /// Runs a scheduling cycle: chooses workers for waiting tasks. `unix_ms` is the wall-clock time that decides which
    /// occurrences are due.
    #[must_use]
    pub fn plan(&mut self, now: MonotonicTime, unix_ms: u64, state: &BatchState) -> Vec<RunPlacement> {
        self.workspace_shares.refresh(now, state);
        self.place_waits.begin_cycle(state);
        let mut ready = self.ready_steps(now, unix_ms, state);
        if self.settings.relaxes_headroom {
            let shares = &self.workspace_shares;
            // Work that waits for the limit of its workspace takes no capacity from others.
            let waits = ready.iter().filter(|step| !shares.is_held(step));
            HeadroomRule::of(state, waits).relax(state, &mut ready);
        }
        self.track_waiting(now, state, &ready);
        self.sort_ready_steps(now, &mut ready);
        let mut cycle = CycleRecord::new(state, &ready);
        if ready.is_empty() {
            self.workspace_shares.end_cycle(now, state, Vec::new());
            if self.refusal_audit.is_due(now) {
                cycle.free_refusals = self.free_refusals(now, state, &self.candidates(now, state));
            }
            self.record_cycle(now, state, cycle, &[]);
            return Vec::new();
        }
        for step in &ready {
            if let Some(step) = state.job(step.job).and_then(|job| job.step_spec(step.step)) {
                self.interference.image_index(&step.image);
            }
        }
        self.refresh_long_running(now, state);
        let mut racks = self.begin_rack_cycle(now);
        let mut candidates = self.candidates(now, state);
        let mut placements = Vec::new();
        let mut unplaceable: Vec<TaskShape> = Vec::new();
        let mut reserved = 0;
        let mut order = self.step_order(now, state, ready, &candidates);
        while let Some(turn) = order.next_turn(state) {
            let step = turn.step;
            if placements.len() >= MAX_PLACEMENTS_PER_CYCLE || candidates.is_empty() {
                break;
            }
            let Some(job) = state.job(step.job) else { continue };
            let Some(spec) = job.step_spec(step.step) else { continue };
            let starved = turn.first_index == 0 && self.is_starved(now, job, spec, &step);
            let shape = TaskShape::of(&job.submission, spec, step.has_slack);
            if !starved && unplaceable.iter().any(|known| shape.is_at_least_as_hard_as(known)) {
                continue;
            }
            let before = placements.len();
            let step_waits = self.place_step(now, state, turn, starved, &mut racks, &mut candidates, &mut placements);
            order.record_placed(&placements[before..]);
            let first = TaskKey { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
            if spec.long_running
                && self.has_waited_long(now, &step)
                && reserved < candidates.len() / WORKERS_PER_RESERVATION + 1
            {
                let placed = placements[before..].len();
                let waiting = state.job(step.job).and_then(|job| job.step(&first)).map_or(0, |record| record.waiting);
                if let Some(job) = state.job(step.job).filter(|_| placed < turn.max_tasks.min(waiting as usize)) {
                    Self::reserve_worker(spec, &job.submission, &first, &mut candidates);
                    reserved += 1;
                }
            }
            if placements.len() == before && shape.is_unconstrained && !step_waits {
                unplaceable.push(shape);
                cycle.unplaced.extend((!step.has_slack).then_some((step.job, step.step)));
            }
        }
        let cycles = order.into_cycles();
        cycle.free_refusals = self.free_refusals(now, state, &candidates);
        self.place_waits = racks.waits;
        self.workspace_shares.end_cycle(now, state, cycles);
        self.gang_runs.record_placed(state, &placements);
        self.begun_jobs.record_placed(state, &placements);
        self.unordered_runs.record_placed(&placements);
        self.record_cycle(now, state, cycle, &placements);
        placements
    }

    /// Returns the steps with waiting tasks whose dependencies are done, unsorted.
    fn ready_steps(&mut self, now: MonotonicTime, unix_ms: u64, state: &BatchState) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for (id, job) in state.active_jobs() {
            let since = *self.accepted_times.entry(id, || accepted_at(job, now, unix_ms));
            let account = self.workspace_shares.account_of(job.workspace.as_ref());
            let limit = self.workspace_shares.limit(account);
            let mut evaluated = None;
            for (occurrence, record) in (0u32..).zip(&job.occurrences) {
                let schedule = job.submission.spec.schedule;
                if schedule.is_some_and(|schedule| schedule.due_unix_ms(occurrence) > unix_ms) {
                    break;
                }
                for (step, entry) in (0u16..).zip(&record.steps) {
                    let Some(spec) = job.step_spec(step) else { break };
                    if entry.waiting > 0
                        && job.is_unblocked(occurrence, step)
                        && !self.is_delayed(now, job, id, (occurrence, step), entry)
                    {
                        let is_first_of_job = evaluated.is_none();
                        let (urgency, has_slack) = *evaluated.get_or_insert_with(|| {
                            let outlook = self.outlooks.outlook(id, job, limit, &self.work_model, now);
                            (JobUrgency::of(job, &outlook, since, now), has_ample_slack(job, &outlook, since, now))
                        });
                        let (priority, sequence, class) = (job.submission.priority, job.sequence, StepClass::of(spec));
                        ready.push(ReadyStep {
                            priority,
                            urgency,
                            sequence,
                            job: id,
                            occurrence,
                            step,
                            has_slack,
                            account,
                            class,
                            is_first_of_job,
                        });
                    }
                }
            }
        }
        ready
    }

    /// Returns the workers that can receive runs, with their free capacity.
    fn candidates<'a>(&'a self, now: MonotonicTime, state: &'a BatchState) -> Vec<CandidateWorker<'a>> {
        let mut candidates = Vec::with_capacity(self.workers.len());
        for (id, view, record) in with_records(self.workers.iter(), state) {
            if !self.is_usable(now, state, view) {
                continue;
            }
            let is_on_probation = view.health.is_on_probation(&self.evidence);
            let mut candidate = CandidateWorker {
                id,
                view,
                free: view.capacity,
                eventual_free: view.capacity,
                free_best_effort: view.capacity.cores,
                critical_loads: Cow::Borrowed(&view.critical_loads),
                critical_images: Cow::default(),
                compatible_images: 0,
                probation_limit: usize::MAX,
                is_quarantined: false,
                is_slow: view.speed.is_slow(now),
                run_limit: self.settings.worker_runs.saturating_sub(record.map_or(0, |record| record.runs.len())),
                reserved: false,
                record: None,
                placed: Vec::new(),
            };
            if let Some(record) = record {
                // Runs of an earlier incarnation are over, but their capacity is free only once the loss is committed.
                if record.incarnation != view.incarnation && !record.runs.is_empty() {
                    continue;
                }
                candidate.free = view.capacity.saturating_sub(&record.allocated);
                let idle = view.long_running_cores / 100 * LONG_RUNNING_IDLE_PERCENT;
                let unused = MilliCores::new(candidate.free.cores.get().saturating_add(idle));
                candidate.free_best_effort = unused.saturating_sub(record.best_effort_cores);
                candidate.record = Some(record);
                candidate.eventual_free = view.capacity.saturating_sub(&view.long_running.allocated);
                candidate.critical_images = Cow::Borrowed(&view.long_running.images);
                candidate.compatible_images = view.long_running.compatible_images;
                self.add_unreported_load(now, state, view, record, &mut candidate);
                if is_on_probation {
                    // Long-running tasks never end, so they do not block the probation run.
                    let ends = |task: &TaskKey| state.step_of(task).is_some_and(|(_, step)| !step.long_running);
                    candidate.probation_limit = usize::from(!record.runs.iter().any(|(task, _)| ends(task)));
                }
            }
            candidate.is_quarantined = view.health.is_quarantined(now, &self.evidence);
            if candidate.is_quarantined {
                candidate.probation_limit = 0;
            } else if is_on_probation {
                candidate.probation_limit = candidate.probation_limit.min(1);
            }
            candidates.push(candidate);
        }
        candidates
    }

    /// Returns true if the worker responds and is to remain in service.
    pub(crate) fn is_usable(&self, now: MonotonicTime, state: &BatchState, view: &WorkerView) -> bool {
        let is_unresponsive = now.since(view.reported_at) >= self.settings.worker_timeout;
        let is_leaving = view.loss_pending || view.draining || view.departed || state.is_out_of_service(&view.zone);
        !is_unresponsive && !is_leaving
    }

    /// Recomputes the placed long-running tasks of each worker whose runs have changed.
    fn refresh_long_running(&mut self, now: MonotonicTime, state: &BatchState) {
        if now.since(self.compatibility_checked_at) >= COMPATIBILITY_INTERVAL {
            self.compatibility_checked_at = now;
            self.compatibility_version = self.interference.compatibility_version();
        }
        let compatibility_version = Some(self.compatibility_version);
        for (_, view, record) in with_records(self.workers.iter_mut(), state) {
            let Some(record) = record else { continue };
            let known = &mut view.long_running;
            if known.version != Some(record.version) {
                *known = long_running_tasks(&mut self.interference, state, record);
            }
            if known.compatibility_version != compatibility_version {
                known.compatible_images = self.interference.count_compatible(&known.images);
                known.compatibility_version = compatibility_version;
            }
        }
    }

    /// Adds the predicted interference of best-effort tasks that the worker's measurements do not cover yet.
    fn add_unreported_load(
        &self,
        now: MonotonicTime,
        state: &BatchState,
        view: &WorkerView,
        record: &WorkerRecord,
        candidate: &mut CandidateWorker<'_>,
    ) {
        for (task, entry) in record.runs.iter().filter(|(_, entry)| entry.best_effort) {
            let run = view.running.get(task);
            if run.is_some_and(|run| now.since(run.first_seen) >= REPORT_WINDOW) {
                continue;
            }
            let known = run.and_then(|run| run.image);
            let image = known.or_else(|| {
                let (_, step) = state.step_of(task)?;
                self.interference.find_image(&step.image)
            });
            self.add_interference(candidate, image, entry.size.cores);
        }
    }

    /// Places the waiting tasks of a step until one finds no worker or the limit of the turn or the cycle is reached.
    /// Returns true if the others wait for their rack.
    #[allow(clippy::too_many_arguments, reason = "the state of the cycle")]
    fn place_step<'a>(
        &self,
        now: MonotonicTime,
        state: &BatchState,
        turn: StepTurn,
        starved: bool,
        racks: &mut RackCycle<'a>,
        candidates: &mut [CandidateWorker<'a>],
        placements: &mut Vec<RunPlacement>,
    ) -> bool {
        let ready = turn.step;
        let Some(job) = state.job(ready.job) else { return false };
        let Some(spec) = job.step_spec(ready.step) else { return false };
        let first = TaskKey { job: ready.job, occurrence: ready.occurrence, step: ready.step, index: 0 };
        let Some(record) = job.step(&first) else { return false };
        let min_headroom = if ready.has_slack && !spec.gang { SLACK_HEADROOM } else { MIN_HEADROOM };
        let step = PlacedStep { now, state, turn, starved, job, spec, record, first, min_headroom };
        if spec.gang {
            if self.place_gang_on_rack(&step, racks, candidates, placements) {
                return true;
            }
            let before = placements.len();
            self.place_gang_anywhere(&step, HealthLeniency::None, candidates, placements);
            if starved && placements.len() == before && candidates.iter().any(CandidateWorker::is_on_probation) {
                let leniency = leniency_of_starved(&job.submission, spec, candidates);
                self.place_gang_anywhere(&step, leniency, candidates, placements);
            }
            return false;
        }
        let turn = self.place_on_rack(&step, racks, candidates, placements);
        if turn.max_tasks == 0 {
            return true;
        }
        let rack = spec.rack_local.then(|| best_rack(job, spec, record.waiting, candidates)).flatten();
        let request = self.placement_request(&job.submission, spec, first, rack.as_deref(), min_headroom);
        let mut ranking = WorkerRanking::new(candidates, |candidate| self.rank_worker(&request, None, candidate));
        let mut is_first = true;
        let end = last_placement(placements, &turn);
        for (index, task) in (0u32..).zip(&record.tasks).skip(turn.first_index as usize) {
            let key = TaskKey { index, ..first };
            if task.done || task.live > 0 || self.restart_delays.is_delayed(now, &key) {
                continue;
            }
            let mut worker_index = self.choose_worker(&request, &key, &mut ranking, candidates);
            if worker_index.is_none() && starved && is_first {
                let leniency = leniency_of_starved(&job.submission, spec, candidates);
                let lenient = PlacementRequest { leniency, ..request.clone() };
                worker_index = if spec.best_effort {
                    self.choose_least_interfering(&lenient, &key, candidates)
                } else {
                    self.choose_on_probation(&lenient, &key, candidates)
                };
            }
            is_first = false;
            let Some(worker_index) = worker_index else { return false };
            placements.push(candidates[worker_index].assign(spec, key, task.last_run.next()));
            self.record_assigned(&request, worker_index, &mut ranking, candidates);
            if placements.len() >= end {
                return false;
            }
        }
        false
    }

    /// Updates what the rank of a worker depends on after a task has been assigned to it, and ranks it again.
    pub(crate) fn record_assigned(
        &self,
        request: &PlacementRequest<'_>,
        worker_index: usize,
        ranking: &mut WorkerRanking,
        candidates: &mut [CandidateWorker<'_>],
    ) {
        let candidate = &mut candidates[worker_index];
        if request.spec.best_effort {
            self.add_interference(candidate, request.image, request.spec.size.cores);
        } else if request.spec.is_latency_critical() {
            candidate.add_image(request.image);
        }
        ranking.update(worker_index, self.rank_worker(request, None, candidate));
    }

    pub(crate) fn placement_request<'a>(
        &self,
        submission: &'a JobSubmission,
        spec: &'a StepSpec,
        task: TaskKey,
        rack: Option<&'a str>,
        min_headroom: f32,
    ) -> PlacementRequest<'a> {
        let critical = spec.is_latency_critical();
        let image = self.interference.find_image(&spec.image).filter(|_| spec.best_effort || critical);
        let incompatible = image.filter(|_| critical).map(|image| self.interference.incompatible_with(image));
        PlacementRequest {
            submission,
            spec,
            task,
            rack,
            image,
            incompatible: incompatible.unwrap_or_default(),
            coefficients: self.coefficients_of(spec),
            min_headroom,
            leniency: HealthLeniency::None,
            is_rack_only: false,
        }
    }

    /// Returns the coefficients of a best-effort step by latency-critical image.
    fn coefficients_of(&self, spec: &StepSpec) -> Vec<f32> {
        let image = self.interference.find_image(&spec.image).filter(|_| spec.best_effort);
        image.map_or_else(Vec::new, |image| self.interference.coefficients_of(image))
    }

    /// Reserves a worker for a long-running task that has waited long. Without a reservation, small tasks take each
    /// core that becomes free, and a large task never finds enough capacity on one worker. Capacity allocated
    /// to other long-running tasks does not become free, so only a worker on which the task fits beside them qualifies;
    /// of these, the one with the most free cores is reserved.
    fn reserve_worker(
        spec: &StepSpec,
        submission: &JobSubmission,
        task: &TaskKey,
        candidates: &mut [CandidateWorker<'_>],
    ) {
        let usable = candidates.iter_mut().filter(|candidate| candidate.fits_eventually(submission, spec, task));
        if let Some(largest) = usable.max_by_key(|candidate| candidate.free.cores) {
            largest.reserved = true;
        }
    }

    /// Returns the index of the worker on which a best-effort task interferes least, regardless of free cores. The
    /// pacing of the task bounds how long a latency-critical task misses its objective.
    fn choose_least_interfering(
        &self,
        request: &PlacementRequest<'_>,
        task: &TaskKey,
        candidates: &[CandidateWorker<'_>],
    ) -> Option<usize> {
        let &PlacementRequest { submission, spec, leniency, .. } = request;
        let coefficients = self.coefficients_of(spec);
        let fitting = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.is_admitted(leniency))
            .filter(|(_, candidate)| candidate.fits_ignoring_cores(submission, spec, task));
        let headroom = |candidate: &CandidateWorker<'_>| {
            candidate.headroom_with(&coefficients, spec.size.cores).unwrap_or(f32::INFINITY)
        };
        let compare = |left: &CandidateWorker<'_>, right: &CandidateWorker<'_>| {
            let admits = left.admits_on_probation().cmp(&right.admits_on_probation());
            admits.then_with(|| headroom(left).total_cmp(&headroom(right)))
        };
        fitting.max_by(|left, right| compare(left.1, right.1)).map(|(worker_index, _)| worker_index)
    }

    /// Returns the index of the best worker for a task among those whose runs have failed.
    fn choose_on_probation(
        &self,
        lenient: &PlacementRequest<'_>,
        task: &TaskKey,
        candidates: &[CandidateWorker<'_>],
    ) -> Option<usize> {
        let mut ranking = WorkerRanking::new(candidates, |candidate| {
            // The others have been ranked before.
            if candidate.is_on_probation() { self.rank_worker(lenient, None, candidate) } else { None }
        });
        self.choose_worker(lenient, task, &mut ranking, candidates)
    }

    /// Returns the rank of a worker for a step, or `None` if it cannot receive a task of it. `avoided` is the worker on
    /// which the task last failed or stalled.
    pub(crate) fn rank_worker(
        &self,
        request: &PlacementRequest<'_>,
        avoided: Option<&WorkerId>,
        candidate: &CandidateWorker<'_>,
    ) -> Option<WorkerRank> {
        self.ranked_workers.set(self.ranked_workers.get() + 1);
        let &PlacementRequest { spec, rack, image, min_headroom, .. } = request;
        if !candidate.fits(request) {
            return None;
        }
        let rack = rack.or(spec.preferred_rack.as_deref());
        let off_rack = rack.is_some() && candidate.view.rack.as_deref() != rack;
        if request.is_rack_only && (off_rack || candidate.is_slow) {
            return None;
        }
        let base = WorkerRank {
            over_probation: !candidate.admits_on_probation(),
            is_slow: candidate.is_slow,
            off_rack,
            avoided: avoided == Some(candidate.id),
            failures: candidate.view.health.failures(),
            compatibility: 0,
            interference: 0,
            cores: u32::MAX - candidate.free_best_effort.get(),
        };
        if spec.is_latency_critical() {
            // Workers with a single latency-critical image keep capacity for the best-effort images compatible with it.
            let compatibility = self.lost_compatibility(candidate, request);
            let (interference, cores) = (candidate.image_mismatch(image), candidate.free.cores.get());
            return Some(WorkerRank { compatibility, interference, cores, ..base });
        }
        if !spec.best_effort {
            return Some(base);
        }
        let headroom = candidate.headroom_with(&request.coefficients, spec.size.cores);
        let interference = interference_level(headroom, min_headroom)?;
        Some(WorkerRank { compatibility: candidate.compatible_images, interference, ..base })
    }

    /// Returns the index of the best worker for a task of the requested step. `ranking` ranks the workers for those
    /// tasks that avoid no worker.
    pub(crate) fn choose_worker(
        &self,
        request: &PlacementRequest<'_>,
        task: &TaskKey,
        ranking: &mut WorkerRanking,
        candidates: &[CandidateWorker<'_>],
    ) -> Option<usize> {
        let Some(avoided) = self.avoided.get(task) else {
            return ranking.best(candidates, |candidate| self.rank_worker(request, None, candidate));
        };
        let rank = |candidate: &CandidateWorker<'_>| self.rank_worker(request, Some(avoided), candidate);
        WorkerRanking::new(candidates, rank).best(candidates, rank)
    }
}

impl Dispatcher {
    /// Returns how many compatible best-effort images the worker would lose by running the requested latency-critical
    /// task.
    fn lost_compatibility(&self, candidate: &CandidateWorker<'_>, request: &PlacementRequest<'_>) -> u32 {
        self.interference.count_compatible_among(&request.incompatible, &candidate.critical_images)
    }

    /// Adds the predicted interference of a best-effort task that no report covers yet.
    fn add_interference(&self, candidate: &mut CandidateWorker<'_>, image: Option<ImageIndex>, cores: MilliCores) {
        let Some(image) = image else { return };
        let share = ratio(cores.get(), candidate.view.capacity.cores.get().max(1));
        for critical in candidate.critical_loads.to_mut() {
            critical.load += self.interference.coefficient(critical.image, image) * share;
        }
    }
}

/// Returns which workers a starved step may use. While half of its service's cores are in use, jobs wait for them, and a
/// faulty worker that is always free would fail one after the other. Failures of long-running tasks cost no attempts.
fn leniency_of_starved(
    submission: &JobSubmission,
    spec: &StepSpec,
    candidates: &[CandidateWorker<'_>],
) -> HealthLeniency {
    let of_service = || candidates.iter().filter(|candidate| candidate.view.service == submission.service);
    let capacity: u64 = of_service().map(|candidate| u64::from(candidate.view.capacity.cores.get())).sum();
    let free: u64 = of_service().map(|candidate| u64::from(candidate.free.cores.get())).sum();
    if spec.long_running || free > capacity / 2 { HealthLeniency::Quarantine } else { HealthLeniency::Probation }
}

/// Returns the long-running tasks placed on a worker, without the number of compatible images.
fn long_running_tasks(
    interference: &mut InterferenceModel,
    state: &BatchState,
    record: &WorkerRecord,
) -> LongRunningTasks {
    let mut tasks = LongRunningTasks { version: Some(record.version), ..LongRunningTasks::default() };
    for (task, entry) in record.runs.iter().filter(|(_, entry)| !entry.best_effort) {
        let Some((_, step)) = state.step_of(task).filter(|(_, step)| step.long_running) else { continue };
        tasks.allocated = tasks.allocated.checked_add(&entry.size).unwrap_or(tasks.allocated);
        if !step.is_latency_critical() {
            continue;
        }
        let image = interference.image_index(&step.image);
        if !tasks.images.contains(&image) {
            tasks.images.push(image);
        }
    }
    tasks
}

/// Joins views of workers, in the order of their ids, with the workers' records. Searching for each record instead
/// would compare ids a dozen times for each worker in every cycle.
pub(crate) fn with_records<'s, 'v, V>(
    views: impl Iterator<Item = (&'v WorkerId, V)>,
    state: &'s BatchState,
) -> impl Iterator<Item = (&'v WorkerId, V, Option<&'s WorkerRecord>)> {
    let mut records = state.workers().peekable();
    views.map(move |(id, view)| {
        while records.next_if(|(known, _)| *known < id).is_some() {}
        let record = records.next_if(|(known, _)| *known == id).map(|(_, record)| record);
        (id, view, record)
    })
}

/// Returns the interference level by which workers are ranked, or `None` if less than `min_headroom` would remain.
fn interference_level(headroom: Option<f32>, min_headroom: f32) -> Option<u32> {
    let Some(headroom) = headroom else { return Some(0) };
    if headroom < min_headroom {
        return None;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number of levels")]
    Some(((SAFE_HEADROOM - headroom).max(0.0) * INTERFERENCE_LEVELS) as u32)
}

/// Returns when a job was accepted, on the leader's clock. A new leader knows only the wall-clock time of acceptance,
/// which may have jumped, so the age is limited to [`MAX_JOB_AGE`].
fn accepted_at(job: &JobRecord, now: MonotonicTime, unix_ms: u64) -> MonotonicTime {
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submission.accepted_unix_ms));
    now.saturating_sub(age.min(MAX_JOB_AGE))
}

/// Returns the number of placements at which the turn or the cycle ends.
pub(crate) fn last_placement(placements: &[RunPlacement], turn: &StepTurn) -> usize {
    placements.len().saturating_add(turn.max_tasks).min(MAX_PLACEMENTS_PER_CYCLE)
}
