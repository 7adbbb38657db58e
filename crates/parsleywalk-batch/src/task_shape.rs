//! What a cycle remembers of tasks that it could not place.

use parsleywalk_units::{ResourceSize, ServiceName};

use crate::{JobSubmission, StepSpec};

/// The properties that decide whether a task can be placed. Where one task cannot be placed, an equal or larger one of
/// the same image cannot either.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskShape<'a> {
    service: &'a ServiceName,
    image: &'a str,
    best_effort: bool,
    size: ResourceSize,
    /// Whether only size and image restrict where the task can run.
    pub(crate) is_unconstrained: bool,
    /// Whether the task accepts only workers with ample headroom.
    has_slack: bool,
}

impl<'a> TaskShape<'a> {
    pub(crate) fn of(submission: &'a JobSubmission, spec: &'a StepSpec, has_slack: bool) -> Self {
        let is_unconstrained = !spec.gang && spec.required_label.is_none() && spec.per_worker_limit.is_none();
        let StepSpec { image, best_effort, size, .. } = spec;
        Self {
            service: &submission.service,
            image,
            best_effort: *best_effort,
            size: *size,
            is_unconstrained,
            has_slack,
        }
    }

    /// Returns true if the task cannot be placed where `known` cannot.
    pub(crate) fn is_at_least_as_hard_as(&self, known: &Self) -> bool {
        let same_kind = (self.service, self.best_effort, self.image) == (known.service, known.best_effort, known.image);
        same_kind && known.size.fits_within(&self.size) && self.has_slack >= known.has_slack
    }
}
