//! A worker that may get runs.

use parsleywalk_units::{MilliCores, ResourceSize, WorkerId};

use crate::interference::{ImageNumber, ServingLoad};
use crate::worker_view::WorkerView;
use crate::{JobSubmission, RunNumber, RunPlacement, StepSpec, TaskKey, WorkerRecord};

/// A worker that may get runs, with the room that is left in this round.
pub(crate) struct CandidateWorker<'a> {
    pub(crate) id: &'a WorkerId,
    pub(crate) view: &'a WorkerView,
    pub(crate) free: ResourceSize,
    /// What the worker has beside its lasting tasks: the room once all others have ended.
    pub(crate) reachable: ResourceSize,
    /// The processors left when filling tasks count too.
    pub(crate) free_filling: MilliCores,
    /// The serving tasks, with what the filling tasks that are not reported yet will add.
    pub(crate) serving: Vec<ServingLoad>,
    /// The images of the serving tasks that are committed to the worker, each once.
    pub(crate) serving_images: Vec<ImageNumber>,
    /// The filling images that these bear.
    pub(crate) welcome: u32,
    /// Runs that may still be given in this round.
    pub(crate) slots_left: u32,
    pub(crate) record: Option<&'a WorkerRecord>,
    /// The tasks that were placed there in this round.
    pub(crate) placed: Vec<TaskKey>,
}

impl CandidateWorker<'_> {
    pub(crate) fn fits(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        let room = if spec.filling { self.free_filling >= spec.size.cores } else { spec.size.cores <= self.free.cores };
        room && self.fits_in_memory(submission, spec, task)
    }

    /// Tells whether the task could run there if processors did not matter.
    pub(crate) fn fits_in_memory(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        let room = ResourceSize { cores: MilliCores::default(), ..spec.size }.fits_within(&self.free);
        room && self.admits(submission, spec, task)
    }

    /// Tells whether the task fits there once everything but lasting tasks has ended.
    pub(crate) fn will_fit(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        spec.size.fits_within(&self.reachable) && self.admits(submission, spec, task)
    }

    /// Tells whether the worker may get the task, whatever its room.
    fn admits(&self, submission: &JobSubmission, spec: &StepSpec, task: &TaskKey) -> bool {
        let labelled = spec.required_label.as_ref().is_none_or(|label| self.view.labels.contains(label));
        let apart = spec.per_worker_limit.is_none_or(|limit| self.step_runs(task) < limit as usize);
        self.slots_left > 0 && self.view.service == submission.service && labelled && apart
    }

    pub(crate) fn add_image(&mut self, image: Option<ImageNumber>) {
        if let Some(image) = image
            && !self.serving_images.contains(&image)
        {
            self.serving_images.push(image);
        }
    }

    /// How badly a serving image fits: not at all where it is the only one, a little on a worker without any, and the
    /// more the more others there are.
    pub(crate) fn image_mismatch(&self, image: Option<ImageNumber>) -> u32 {
        let others = self.serving_images.iter().filter(|known| Some(**known) != image).count();
        match (others, self.serving_images.is_empty()) {
            (0, false) => 0,
            (0, true) => 1,
            (others, _) => 1 + u32::try_from(others).unwrap_or(u32::MAX),
        }
    }

    /// The number of the step's tasks that the worker has.
    pub(crate) fn step_runs(&self, task: &TaskKey) -> usize {
        let first = TaskKey { index: 0, ..*task };
        let last = TaskKey { index: u32::MAX, ..*task };
        let committed = self.record.map_or(0, |record| record.runs.range(&first, &last).count());
        committed + self.placed.iter().filter(|placed| placed.same_step(task)).count()
    }

    pub(crate) fn take(&mut self, spec: &StepSpec, task: TaskKey, run: RunNumber) -> RunPlacement {
        self.slots_left = self.slots_left.saturating_sub(1);
        self.free_filling = self.free_filling.saturating_sub(spec.size.cores);
        if spec.filling {
            self.free = self.free.saturating_sub(&ResourceSize { cores: MilliCores::default(), ..spec.size });
        } else {
            self.free = self.free.saturating_sub(&spec.size);
        }
        if spec.lasting {
            self.reachable = self.reachable.saturating_sub(&spec.size);
        }
        self.placed.push(task);
        RunPlacement { task, run, worker: self.id.clone(), incarnation: self.view.incarnation }
    }

    /// Undoes [`CandidateWorker::take`].
    pub(crate) fn give_back(&mut self, spec: &StepSpec, task: &TaskKey) {
        self.slots_left = self.slots_left.saturating_add(1);
        self.free_filling = self.free_filling.checked_add(spec.size.cores).unwrap_or(self.free_filling);
        let cores = if spec.filling { MilliCores::default() } else { spec.size.cores };
        self.free = self.free.checked_add(&ResourceSize { cores, ..spec.size }).unwrap_or(self.free);
        if spec.lasting {
            self.reachable = self.reachable.checked_add(&spec.size).unwrap_or(self.reachable);
        }
        if let Some(place) = self.placed.iter().rposition(|placed| placed.same_step(task)) {
            self.placed.remove(place);
        }
    }
}
