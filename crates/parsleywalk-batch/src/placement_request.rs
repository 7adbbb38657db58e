//! A task for which a worker is to be chosen.

use parsleywalk_units::WorkerId;

use crate::interference::ImageIndex;
use crate::{JobSubmission, StepSpec, TaskKey};

/// A task for which a worker is to be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) submission: &'a JobSubmission,
    pub(crate) spec: &'a StepSpec,
    pub(crate) task: TaskKey,
    /// The rack chosen for the whole step.
    pub(crate) rack: Option<&'a str>,
    /// The image of a best-effort or latency-critical task.
    pub(crate) image: Option<ImageIndex>,
    /// The best-effort images that are incompatible with the image of a latency-critical task.
    pub(crate) incompatible: &'a [ImageIndex],
    /// The coefficients of the image of a best-effort task, by latency-critical image.
    pub(crate) coefficients: &'a [f32],
    /// The worker on which the task last failed or stalled.
    pub(crate) avoided: Option<&'a WorkerId>,
    /// The headroom that a best-effort task must leave to latency-critical ones.
    pub(crate) min_headroom: f32,
}
