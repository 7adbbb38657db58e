//! Which waiting task runs where.

use std::time::Duration;

use parsleywalk_units::{MilliCores, MonotonicTime, ResourceSize, ServiceName};

use crate::candidate::CandidateWorker;
use crate::dispatcher::share;
use crate::interference::ImageNumber;
use crate::urgency::{JobUrgency, has_ample_slack};
use crate::worker_view::{LastingRuns, WorkerView};
use crate::{
    BatchState, Dispatcher, JobId, JobRecord, JobSubmission, RunPlacement, SortedTable, StepSpec, TaskKey, WorkerRecord,
};

/// The most placements of one round; a round must stay well below the leader's heartbeat interval.
const ROUND_LIMIT: usize = 400;

/// The part of lasting tasks' committed processors that filling tasks may count on, in percent. Lasting tasks are sized for
/// their peaks; filling tasks beyond what is idle only work more slowly.
const LASTING_IDLE_PERCENT: u32 = 60;
/// A job that has had nothing running for this long gets a place for one task even where it would disturb others. Callers
/// take a job for stuck after about twice as long.
const STARVATION_LIMIT: Duration = Duration::from_millis(1500);
/// A lasting task that has waited for this long gets a worker kept free for it. Callers take it for stuck after about
/// three times as long.
const RESERVATION_AFTER: Duration = Duration::from_secs(2);
/// At most one worker in so many is kept free, since what is kept free serves nobody.
const RESERVED_SHARE: usize = 60;
/// The greatest age that a new leader believes of a job.
const AGE_LIMIT: Duration = Duration::from_mins(1);
/// The time that a report's figures cover.
const REPORT_WINDOW: Duration = Duration::from_millis(600);
/// Headroom of load that is left to serving tasks when a filling task is added.
const HARM_HEADROOM: f32 = 0.03;
/// The headroom that is left when the filling task's job is in no hurry: about what a serving task's own load grows by in
/// the second or two that a filling task works.
const GENTLE_HEADROOM: f32 = 0.12;
/// Above this headroom, workers are taken as equally harmless.
const CALM_HEADROOM: f32 = 0.25;
/// Levels of harm for each unit of load.
const HARM_LEVELS: f32 = 25.0;

/// A step of which tasks wait and may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    priority: u8,
    urgency: JobUrgency,
    sequence: u64,
    job: JobId,
    occurrence: u32,
    step: u16,
    /// The job is in no hurry.
    patient: bool,
}

/// What decides whether a task finds a place. Where one found none, an equal or larger one of the same image finds none.
#[derive(Debug, Clone, Copy)]
struct TaskShape<'a> {
    service: &'a ServiceName,
    image: &'a str,
    filling: bool,
    size: ResourceSize,
    /// No rule but size and image limits where the task may run.
    is_plain: bool,
    /// It takes gentle places only.
    patient: bool,
}

impl<'a> TaskShape<'a> {
    fn of(submission: &'a JobSubmission, spec: &'a StepSpec, patient: bool) -> Self {
        let is_plain = !spec.gang && spec.required_label.is_none() && spec.per_worker_limit.is_none();
        let StepSpec { image, filling, size, .. } = spec;
        Self { service: &submission.service, image, filling: *filling, size: *size, is_plain, patient }
    }

    fn is_harder_than(&self, known: &Self) -> bool {
        let same_kind = (self.service, self.filling, self.image) == (known.service, known.filling, known.image);
        same_kind && known.size.fits_within(&self.size) && self.patient >= known.patient
    }
}

impl Dispatcher {
    /// Chooses workers for waiting tasks. `unix_ms` is the time of day, for occurrences.
    #[must_use]
    pub fn plan(&mut self, now: MonotonicTime, unix_ms: u64, state: &BatchState) -> Vec<RunPlacement> {
        let mut ready = self.ready_steps(now, unix_ms, state);
        self.note_idle_jobs(now, state, &ready);
        self.sort_ready(now, &mut ready);
        if ready.is_empty() {
            return Vec::new();
        }
        for step in &ready {
            if let Some(step) = state.job(step.job).and_then(|job| job.step_spec(step.step)) {
                self.interference.number(&step.image);
            }
        }
        self.note_lasting_runs(state);
        let mut candidates = self.candidates(now, state);
        let mut placements = Vec::new();
        let mut hopeless: Vec<TaskShape> = Vec::new();
        let mut reserved = 0;
        for step in ready {
            if placements.len() >= ROUND_LIMIT || candidates.is_empty() {
                break;
            }
            let starved = self.is_starved(now, step.job);
            let Some(job) = state.job(step.job) else { continue };
            let Some(spec) = job.step_spec(step.step) else { continue };
            let shape = TaskShape::of(&job.submission, spec, step.patient);
            if !starved && hopeless.iter().any(|known| shape.is_harder_than(known)) {
                continue;
            }
            let before = placements.len();
            self.place_step(state, step, starved, &mut candidates, &mut placements);
            let first = TaskKey { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
            if spec.lasting && self.has_waited(now, &step) && reserved < candidates.len() / RESERVED_SHARE + 1 {
                let placed = placements[before..].len();
                let left = state.job(step.job).and_then(|job| job.step(&first)).map_or(0, |record| record.waiting);
                if let Some(job) = state.job(step.job).filter(|_| placed < left as usize) {
                    Self::reserve(spec, &job.submission, &first, &mut candidates);
                    reserved += 1;
                }
            }
            if placements.len() == before && shape.is_plain {
                hopeless.push(shape);
            }
        }
        placements
    }

    /// The steps of which tasks wait and may run, unsorted.
    fn ready_steps(&mut self, now: MonotonicTime, unix_ms: u64, state: &BatchState) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for (id, job) in state.active_jobs() {
            let since = *self.accepted.entry(id, || accepted_at(job, now, unix_ms));
            let mut judged = None;
            for (occurrence, record) in (0u32..).zip(&job.occurrences) {
                let schedule = job.submission.spec.schedule;
                if schedule.is_some_and(|schedule| schedule.due_unix_ms(occurrence) > unix_ms) {
                    break;
                }
                for (step, entry) in (0u16..).zip(&record.steps) {
                    if entry.waiting > 0 && job.is_unblocked(occurrence, step) {
                        let (urgency, patient) = *judged
                            .get_or_insert_with(|| (JobUrgency::of(job, since, now), has_ample_slack(job, since, now)));
                        let (priority, sequence) = (job.submission.priority, job.sequence);
                        ready.push(ReadyStep { priority, urgency, sequence, job: id, occurrence, step, patient });
                    }
                }
            }
        }
        ready
    }

    fn candidates<'a>(&'a self, now: MonotonicTime, state: &'a BatchState) -> Vec<CandidateWorker<'a>> {
        let mut candidates = Vec::with_capacity(self.workers.len());
        for (id, view) in self.workers.iter() {
            let silent = now.since(view.heard) >= self.settings.silence_limit;
            if silent || view.losing || view.draining || state.is_out(&view.zone) || view.suspicion.is_quarantined(now)
            {
                continue;
            }
            let mut candidate = CandidateWorker {
                id,
                view,
                free: view.capacity,
                reachable: view.capacity,
                free_filling: view.capacity.cores,
                serving: view.serving.clone(),
                serving_images: Vec::new(),
                welcome: 0,
                slots_left: u32::MAX,
                record: None,
                placed: Vec::new(),
            };
            if let Some(record) = state.worker(id) {
                // Runs of an earlier life are over, but the room counts only once that is recorded.
                if record.incarnation != view.incarnation && !record.runs.is_empty() {
                    continue;
                }
                candidate.free = view.capacity.saturating_sub(&record.committed);
                let idle = view.lasting_cores / 100 * LASTING_IDLE_PERCENT;
                let unused = MilliCores::new(candidate.free.cores.get().saturating_add(idle));
                candidate.free_filling = unused.saturating_sub(record.filling);
                candidate.record = Some(record);
                candidate.reachable = view.capacity.saturating_sub(&view.lasting.held);
                candidate.serving_images.clone_from(&view.lasting.images);
                candidate.welcome = self.interference.welcome(&candidate.serving_images);
                self.add_unreported(now, state, view, record, &mut candidate);
                if view.suspicion.is_on_probation() {
                    // Lasting tasks never end, so they don't count as the run whose end is waited for.
                    let ends = |task: &TaskKey| state.step_of(task).is_some_and(|(_, step)| !step.lasting);
                    candidate.slots_left = u32::from(!record.runs.iter().any(|(task, _)| ends(task)));
                }
            }
            if view.suspicion.is_on_probation() {
                candidate.slots_left = candidate.slots_left.min(1);
            }
            candidates.push(candidate);
        }
        candidates
    }

    /// Brings the accounts of committed lasting tasks up to date, for the workers whose runs changed.
    fn note_lasting_runs(&mut self, state: &BatchState) {
        for (id, view) in self.workers.iter_mut() {
            let Some(record) = state.worker(id).filter(|record| view.lasting.version != Some(record.version)) else {
                continue;
            };
            let mut lasting = LastingRuns { version: Some(record.version), ..LastingRuns::default() };
            for (task, entry) in record.runs.iter().filter(|(_, entry)| !entry.filling) {
                let Some((_, step)) = state.step_of(task).filter(|(_, step)| step.lasting) else { continue };
                lasting.held = lasting.held.checked_add(&entry.size).unwrap_or(lasting.held);
                if !step.is_serving() {
                    continue;
                }
                let image = self.interference.number(&step.image);
                if !lasting.images.contains(&image) {
                    lasting.images.push(image);
                }
            }
            view.lasting = lasting;
        }
    }

    /// Adds the effect of the filling tasks that the worker's figures don't show yet.
    fn add_unreported(
        &self,
        now: MonotonicTime,
        state: &BatchState,
        view: &WorkerView,
        record: &WorkerRecord,
        candidate: &mut CandidateWorker<'_>,
    ) {
        for (task, entry) in record.runs.iter().filter(|(_, entry)| entry.filling) {
            let run = view.running.get(task);
            if run.is_some_and(|run| now.since(run.since) >= REPORT_WINDOW) {
                continue;
            }
            let known = run.and_then(|run| run.image);
            let image = known.or_else(|| {
                let (_, step) = state.step_of(task)?;
                self.interference.known_number(&step.image)
            });
            self.add_pressure(candidate, image, entry.size.cores);
        }
    }

    fn place_step(
        &self,
        state: &BatchState,
        ready: ReadyStep,
        starved: bool,
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) {
        let Some(job) = state.job(ready.job) else { return };
        let Some(spec) = job.step_spec(ready.step) else { return };
        let first = TaskKey { job: ready.job, occurrence: ready.occurrence, step: ready.step, index: 0 };
        let Some(record) = job.step(&first) else { return };
        if spec.gang {
            return self.place_gang(job, spec, first, candidates, placements);
        }
        let rack = spec.rack_local.then(|| best_rack(job, spec, record.waiting, candidates)).flatten();
        for (index, task) in (0u32..).zip(&record.tasks) {
            if task.done || task.live > 0 {
                continue;
            }
            let key = TaskKey { index, ..first };
            let kept = if ready.patient { GENTLE_HEADROOM } else { HARM_HEADROOM };
            let mut place = self.choose(&job.submission, spec, &key, rack.as_deref(), kept, candidates);
            if place.is_none() && starved && spec.filling && index == first_waiting(&record.tasks) {
                place = self.choose_least_harmful(&job.submission, spec, &key, candidates);
            }
            let Some(place) = place else { return };
            placements.push(candidates[place].take(spec, key, task.last_run.next()));
            let image = self.interference.known_number(&spec.image);
            if spec.filling {
                self.add_pressure(&mut candidates[place], image, spec.size.cores);
            } else if spec.is_serving() {
                candidates[place].add_image(image);
            }
            if placements.len() >= ROUND_LIMIT {
                return;
            }
        }
    }

    /// Keeps account of how long jobs have had nothing running although a task may run.
    fn note_idle_jobs(&mut self, now: MonotonicTime, state: &BatchState, ready: &[ReadyStep]) {
        let mut idle: SortedTable<JobId, MonotonicTime> = SortedTable::default();
        for step in ready {
            let runs = state.job(step.job).is_some_and(JobRecord::has_live_runs);
            if !runs {
                let since = self.idle_since.get(&step.job).copied().unwrap_or(now);
                idle.insert(step.job, since);
            }
        }
        self.idle_since = idle;
        let mut waiting: SortedTable<(JobId, u16), MonotonicTime> = SortedTable::default();
        for step in ready {
            let lasting = state.job(step.job).and_then(|job| job.step_spec(step.step)).is_some_and(|spec| spec.lasting);
            if lasting {
                let key = (step.job, step.step);
                waiting.insert(key, self.waiting_since.get(&key).copied().unwrap_or(now));
            }
        }
        self.waiting_since = waiting;
    }

    /// Keeps a worker free for a lasting task that has waited long: small tasks would take each piece that gets free, and
    /// the task would never find enough in one place. Room that other lasting tasks hold does not get free, so only a
    /// worker that can hold the task beside them is of use; of these, the one with the most room comes first.
    fn reserve(spec: &StepSpec, submission: &JobSubmission, task: &TaskKey, candidates: &mut [CandidateWorker<'_>]) {
        let usable = candidates.iter_mut().filter(|candidate| candidate.will_fit(submission, spec, task));
        if let Some(roomiest) = usable.max_by_key(|candidate| candidate.free.cores) {
            roomiest.slots_left = 0;
        }
    }

    fn has_waited(&self, now: MonotonicTime, step: &ReadyStep) -> bool {
        let since = self.waiting_since.get(&(step.job, step.step));
        since.is_some_and(|since| now.since(*since) >= RESERVATION_AFTER)
    }

    /// Sorts the steps, with lasting ones that have waited long at the front of their priority.
    fn sort_ready(&self, now: MonotonicTime, ready: &mut [ReadyStep]) {
        for step in ready.iter_mut().filter(|step| self.has_waited(now, step)) {
            step.urgency = JobUrgency::OnTime(Duration::ZERO);
        }
        ready.sort_unstable();
    }

    fn is_starved(&self, now: MonotonicTime, job: JobId) -> bool {
        self.idle_since.get(&job).is_some_and(|since| now.since(*since) >= STARVATION_LIMIT)
    }

    /// Returns the worker on which a filling task harms least, whether or not processors are left. Its pace is controlled
    /// there, so that a serving task is not harmed for long.
    fn choose_least_harmful(
        &self,
        submission: &JobSubmission,
        spec: &StepSpec,
        task: &TaskKey,
        candidates: &[CandidateWorker<'_>],
    ) -> Option<usize> {
        let image = self.interference.known_number(&spec.image);
        let fitting =
            candidates.iter().enumerate().filter(|(_, candidate)| candidate.fits_in_memory(submission, spec, task));
        let headroom = |candidate: &CandidateWorker<'_>| {
            self.headroom_with(candidate, image, spec.size.cores).unwrap_or(f32::INFINITY)
        };
        fitting.max_by(|left, right| headroom(left.1).total_cmp(&headroom(right.1))).map(|(place, _)| place)
    }

    /// Places all tasks of a gang or none.
    fn place_gang(
        &self,
        job: &JobRecord,
        spec: &StepSpec,
        first: TaskKey,
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) {
        let Some(record) = job.step(&first) else { return };
        if record.tasks.iter().any(|task| task.live > 0) {
            return;
        }
        let run = record.tasks.iter().map(|task| task.last_run).max().unwrap_or_default().next();
        let rack = spec.rack_local.then(|| best_rack(job, spec, record.waiting, candidates)).flatten();
        let mut chosen = Vec::with_capacity(record.tasks.len());
        for index in 0..spec.count {
            let key = TaskKey { index, ..first };
            let Some(place) = self.choose(&job.submission, spec, &key, rack.as_deref(), HARM_HEADROOM, candidates)
            else {
                for (place, _) in chosen {
                    let candidate: &mut CandidateWorker<'_> = &mut candidates[place];
                    candidate.give_back(spec, &first);
                }
                return;
            };
            chosen.push((place, candidates[place].take(spec, key, run)));
        }
        placements.extend(chosen.into_iter().map(|(_, placement)| placement));
    }

    /// Returns the position of the best worker for a task.
    fn choose(
        &self,
        submission: &JobSubmission,
        spec: &StepSpec,
        task: &TaskKey,
        rack: Option<&str>,
        kept_headroom: f32,
        candidates: &[CandidateWorker<'_>],
    ) -> Option<usize> {
        let avoided = self.avoided.get(task);
        let image = self.interference.known_number(&spec.image).filter(|_| spec.filling || spec.is_serving());
        let harm = |candidate: &CandidateWorker<'_>| {
            if spec.filling {
                harm_level(self.headroom_with(candidate, image, spec.size.cores), kept_headroom)
            } else {
                Some(0)
            }
        };
        let fitting = candidates.iter().enumerate().filter(|(_, candidate)| candidate.fits(submission, spec, task));
        let harmless = fitting.filter_map(|(place, candidate)| Some((place, candidate, harm(candidate)?)));
        let best = harmless.min_by_key(|(_, candidate, harm)| {
            let rack = rack.or(spec.preferred_rack.as_deref());
            let far = rack.is_some() && candidate.view.rack.as_deref() != rack;
            let suspect = (avoided == Some(candidate.id), candidate.view.suspicion.strikes());
            if spec.is_serving() {
                // Workers with one serving image each leave room beside it for the filling images that it bears.
                let lost = self.lost_images(candidate, image);
                return (far, suspect, lost, candidate.image_mismatch(image), candidate.free.cores.get());
            }
            // Workers that few images may use are used first, so that the others stay free for images with less choice.
            let welcome = if spec.filling { candidate.welcome } else { 0 };
            (far, suspect, welcome, *harm, u32::MAX - candidate.free_filling.get())
        });
        best.map(|(place, _, _)| place)
    }
}

impl Dispatcher {
    /// The number of filling images that the worker's serving tasks bear and one more of the given image would not.
    fn lost_images(&self, candidate: &CandidateWorker<'_>, image: Option<ImageNumber>) -> u32 {
        let Some(image) = image else { return 0 };
        let mut images = candidate.serving_images.clone();
        let before = self.interference.welcome(&images);
        images.push(image);
        before - self.interference.welcome(&images)
    }

    /// The least headroom of load that the worker's serving tasks would have beside one more filling task; `None` without
    /// serving tasks.
    fn headroom_with(
        &self,
        candidate: &CandidateWorker<'_>,
        image: Option<ImageNumber>,
        cores: MilliCores,
    ) -> Option<f32> {
        let share = share(cores.get(), candidate.view.capacity.cores.get().max(1));
        let headroom = candidate.serving.iter().map(|serving| {
            let coefficient = image.map_or(0.0, |image| self.interference.coefficient(serving.image, image));
            serving.headroom() - coefficient * share
        });
        headroom.min_by(f32::total_cmp)
    }

    /// Notes a filling task whose effect the worker's reports don't show yet.
    fn add_pressure(&self, candidate: &mut CandidateWorker<'_>, image: Option<ImageNumber>, cores: MilliCores) {
        let Some(image) = image else { return };
        let share = share(cores.get(), candidate.view.capacity.cores.get().max(1));
        for serving in &mut candidate.serving {
            serving.load += self.interference.coefficient(serving.image, image) * share;
        }
    }
}

/// Orders workers by the harm that a filling task would do there; `None` where it would leave less headroom than asked for.
fn harm_level(headroom: Option<f32>, kept_headroom: f32) -> Option<u32> {
    let Some(headroom) = headroom else { return Some(0) };
    if headroom < kept_headroom {
        return None;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number of levels")]
    Some(((CALM_HEADROOM - headroom).max(0.0) * HARM_LEVELS) as u32)
}

/// The index of the first task that waits.
fn first_waiting(tasks: &[crate::TaskRecord]) -> u32 {
    let first = (0u32..).zip(tasks).find(|(_, task)| !task.done && task.live == 0);
    first.map_or(u32::MAX, |(index, _)| index)
}

/// When a job was accepted, on the leader's clock. A new leader has only the time of day to go by, which may have jumped.
fn accepted_at(job: &JobRecord, now: MonotonicTime, unix_ms: u64) -> MonotonicTime {
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submission.accepted_unix_ms));
    now.saturating_sub(age.min(AGE_LIMIT))
}

/// The rack with the most room for the step's tasks.
fn best_rack(job: &JobRecord, spec: &StepSpec, waiting: u32, candidates: &[CandidateWorker<'_>]) -> Option<String> {
    let mut room: SortedTable<&str, u32> = SortedTable::default();
    for candidate in candidates.iter().filter(|candidate| candidate.view.service == job.submission.service) {
        let Some(rack) = candidate.view.rack.as_deref() else { continue };
        let cores = candidate.free_filling.get() / spec.size.cores.get().max(1);
        *room.entry(rack, || 0) += cores;
    }
    room.iter().max_by_key(|(_, cores)| (**cores).min(waiting)).map(|(rack, _)| (*rack).to_owned())
}
