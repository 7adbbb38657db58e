//! Workers that can receive runs in a scheduling cycle.

use std::borrow::Cow;

use parsleywalk_units::{MilliCores, ResourceSize, WorkerId};

use crate::dispatcher::ratio;
use crate::interference::{CriticalLoad, INITIAL_COEFFICIENT, ImageIndex};
use crate::placement_request::{HealthLeniency, PlacementRequest};
use crate::worker_view::WorkerView;
use crate::{JobSubmission, RunNumber, RunPlacement, StepSpec, TaskKey, WorkerRecord};

/// A worker that can receive runs, with the capacity that is left in this scheduling cycle.
pub(crate) struct CandidateWorker<'a> {
    pub(crate) id: &'a WorkerId,
    pub(crate) view: &'a WorkerView,
    pub(crate) free: ResourceSize,
    /// The capacity that is free once all but the long-running tasks have ended.
    pub(crate) eventual_free: ResourceSize,
    /// The cores that best-effort tasks may still use, net of the best-effort tasks already placed.
    pub(crate) free_best_effort: MilliCores,
    /// The loads of the latency-critical tasks, including the predicted interference of best-effort tasks that no
    /// report covers yet.
    pub(crate) critical_loads: Cow<'a, [CriticalLoad]>,
    /// The distinct images of the latency-critical tasks placed on the worker.
    pub(crate) critical_images: Cow<'a, [ImageIndex]>,
    /// The number of best-effort images compatible with all of `critical_images`.
    pub(crate) compatible_images: u32,
    /// The number of runs that may be assigned in this cycle: at most one while the worker is on probation, and none
    /// while it is quarantined.
    pub(crate) probation_limit: usize,
    pub(crate) is_quarantined: bool,
    pub(crate) is_slow: bool,
    /// The number of runs that the worker can have besides those that it has.
    pub(crate) run_limit: usize,
    /// Whether the worker is reserved for a task that has waited long.
    pub(crate) reserved: bool,
    pub(crate) record: Option<&'a WorkerRecord>,
    /// The tasks assigned in this cycle.
    pub(crate) placed: Vec<TaskKey>,
}

impl CandidateWorker<'_> {
    /// Returns true if the task fits in the free capacity of the worker.
    pub(crate) fn fits(&self, request: &PlacementRequest<'_>) -> bool {
        let &PlacementRequest { submission, spec, task, .. } = request;
        let fits = if spec.best_effort {
            self.free_best_effort >= spec.size.cores
        } else {
            spec.size.cores <= self.free.cores
        };
        fits && self.is_admitted(request.leniency) && self.fits_ignoring_cores(submission, spec, &task)
    }

    /// Returns how many tasks of the requested step the worker could take now.
    pub(crate) fn free_tasks(&self, request: &PlacementRequest<'_>) -> u32 {
        let spec = request.spec;
        if !self.fits(request) {
            return 0;
        }
        let cores = if spec.best_effort { self.free_best_effort } else { self.free.cores };
        let by_cores = cores.get() / spec.size.cores.get().max(1);
        let by_memory = self.free.memory.get() / spec.size.memory.get().max(1);
        let by_limit = spec.per_worker_limit.unwrap_or(u32::MAX);
        let count = by_cores.min(u32::try_from(by_memory).unwrap_or(u32::MAX)).min(by_limit);
        if spec.best_effort { count.min(self.tasks_within_headroom(request)) } else { count }
    }

    /// Returns how many of the requested best-effort tasks leave enough headroom together.
    fn tasks_within_headroom(&self, request: &PlacementRequest<'_>) -> u32 {
        let share = ratio(request.spec.size.cores.get(), self.view.capacity.cores.get().max(1));
        let counts = self.critical_loads.iter().map(|critical| {
            let coefficient = request.coefficients.get(critical.image.position()).copied();
            let load = coefficient.unwrap_or(INITIAL_COEFFICIENT) * share;
            let room = (critical.headroom() - request.min_headroom).max(0.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
            let count = (room / load.max(f32::MIN_POSITIVE)) as u32;
            count
        });
        counts.min().unwrap_or(u32::MAX)
    }

    /// Returns true if the task fits when neither its cores nor the worker's probation count.
    pub(crate) fn fits_ignoring_cores(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        let fits = ResourceSize { cores: MilliCores::default(), ..spec.size }.fits_within(&self.free);
        fits && self.allows(submission, spec, task)
    }

    /// Returns true if the task fits once all but the long-running tasks have ended.
    pub(crate) fn fits_eventually(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        let fits = spec.size.fits_within(&self.eventual_free);
        fits && self.admits_on_probation() && self.allows(submission, spec, task)
    }

    /// Returns true if the worker gets only one run at a time, to test whether it works again.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.probation_limit != usize::MAX
    }

    /// Returns true if the health of the worker admits a task with this leniency.
    pub(crate) fn is_admitted(&self, leniency: HealthLeniency) -> bool {
        match leniency {
            HealthLeniency::None => self.admits_on_probation(),
            HealthLeniency::Probation => !self.is_quarantined,
            HealthLeniency::Quarantine => true,
        }
    }

    /// Returns true unless the worker is quarantined, or on probation and has its run.
    pub(crate) fn admits_on_probation(&self) -> bool {
        self.placed.len() < self.probation_limit
    }

    /// Returns true if the worker can receive a task of the step once it has room for it.
    pub(crate) fn may_get_later(&self, request: &PlacementRequest<'_>) -> bool {
        self.admits_on_probation() && self.allows(request.submission, request.spec, &request.task)
    }

    /// Returns true if every placement constraint other than resource size and probation admits the task.
    fn allows(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        // The limit is checked last, because it counts runs.
        !self.reserved
            && self.placed.len() < self.run_limit
            && self.view.service == submission.service
            && spec.required_label.as_ref().is_none_or(|label| self.view.labels.contains(label))
            && spec.per_worker_limit.is_none_or(|limit| self.step_task_count(task) < limit as usize)
    }

    /// Returns the lowest headroom of the worker's latency-critical tasks after adding a best-effort task, given its
    /// coefficients by latency-critical image, or `None` if it has no such tasks.
    pub(crate) fn headroom_with(&self, coefficients: &[f32], cores: MilliCores) -> Option<f32> {
        let share = ratio(cores.get(), self.view.capacity.cores.get().max(1));
        let headroom = self.critical_loads.iter().map(|critical| {
            let coefficient = coefficients.get(critical.image.position()).copied().unwrap_or(INITIAL_COEFFICIENT);
            critical.headroom() - coefficient * share
        });
        headroom.min_by(f32::total_cmp)
    }

    pub(crate) fn add_image(&mut self, image: Option<ImageIndex>) {
        if let Some(image) = image
            && !self.critical_images.contains(&image)
        {
            self.critical_images.to_mut().push(image);
        }
    }

    /// Returns the cost of adding a latency-critical image: 0 if the worker has only this image, 1 if it has none, and
    /// more with each other image.
    pub(crate) fn image_mismatch(&self, image: Option<ImageIndex>) -> u32 {
        let others = self.critical_images.iter().filter(|known| Some(**known) != image).count();
        match (others, self.critical_images.is_empty()) {
            (0, false) => 0,
            (0, true) => 1,
            (others, _) => 1 + u32::try_from(others).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of the step's tasks placed on the worker, including those assigned in this cycle.
    pub(crate) fn step_task_count(&self, task: &TaskKey) -> usize {
        let first = TaskKey { index: 0, ..*task };
        let last = TaskKey { index: u32::MAX, ..*task };
        let recorded = self.record.map_or(0, |record| record.runs.range(&first, &last).count());
        recorded + self.placed.iter().filter(|placed| placed.same_step(task)).count()
    }

    pub(crate) fn assign(&mut self, spec: &StepSpec, task: TaskKey, run: RunNumber) -> RunPlacement {
        self.free_best_effort = self.free_best_effort.saturating_sub(spec.size.cores);
        if spec.best_effort {
            self.free = self.free.saturating_sub(&ResourceSize { cores: MilliCores::default(), ..spec.size });
        } else {
            self.free = self.free.saturating_sub(&spec.size);
        }
        if spec.long_running {
            self.eventual_free = self.eventual_free.saturating_sub(&spec.size);
        }
        self.placed.push(task);
        RunPlacement { task, run, worker: self.id.clone(), incarnation: self.view.incarnation }
    }

    /// Reverts [`CandidateWorker::assign`].
    pub(crate) fn unassign(&mut self, spec: &StepSpec, task: &TaskKey) {
        self.free_best_effort = self.free_best_effort.checked_add(spec.size.cores).unwrap_or(self.free_best_effort);
        let cores = if spec.best_effort { MilliCores::default() } else { spec.size.cores };
        self.free = self.free.checked_add(&ResourceSize { cores, ..spec.size }).unwrap_or(self.free);
        if spec.long_running {
            self.eventual_free = self.eventual_free.checked_add(&spec.size).unwrap_or(self.eventual_free);
        }
        if let Some(index) = self.placed.iter().rposition(|placed| placed.same_step(task)) {
            self.placed.remove(index);
        }
    }
}
