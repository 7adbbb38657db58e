//! A request to place the tasks of a step.

use crate::interference::ImageIndex;
use crate::{JobSubmission, StepSpec, TaskKey};

/// Which workers whose runs have failed may get a task that finds no other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthLeniency {
    /// Those on probation, one run at a time.
    None,
    /// Those on probation, without a limit.
    Probation,
    /// Quarantined ones as well.
    Quarantine,
}

/// What the tasks of a step need from a worker.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) submission: &'a JobSubmission,
    pub(crate) spec: &'a StepSpec,
    /// Any task of the step.
    pub(crate) task: TaskKey,
    /// The rack chosen for the whole step.
    pub(crate) rack: Option<&'a str>,
    /// The image of a best-effort or latency-critical step.
    pub(crate) image: Option<ImageIndex>,
    /// The best-effort images that are incompatible with the image of a latency-critical step.
    pub(crate) incompatible: Vec<ImageIndex>,
    /// The coefficients of the image of a best-effort step, by latency-critical image.
    pub(crate) coefficients: Vec<f32>,
    /// The headroom that a best-effort task must leave to latency-critical ones.
    pub(crate) min_headroom: f32,
    pub(crate) leniency: HealthLeniency,
    /// Whether only workers of the rack qualify that are not slow.
    pub(crate) is_rack_only: bool,
}
