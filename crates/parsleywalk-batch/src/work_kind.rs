//! Kinds of short work by the cores that it runs on.

use crate::{JobSpec, StepSpec};

/// The number of kinds.
pub(crate) const WORK_KINDS: usize = 2;

/// Whether short work has cores allocated or uses those that others leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WorkKind {
    Allocated,
    BestEffort,
}

impl WorkKind {
    /// Returns the kind of a step's tasks, or `None` if they are long-running.
    pub(crate) fn of_step(spec: &StepSpec) -> Option<Self> {
        let kind = if spec.best_effort { Self::BestEffort } else { Self::Allocated };
        (!spec.long_running).then_some(kind)
    }

    /// Returns the kind that decides whether a job is served in time, or `None` if it has a schedule or long-running tasks.
    /// A job with tasks of both kinds counts by those with allocated cores.
    pub(crate) fn of_job(spec: &JobSpec) -> Option<Self> {
        let kinds: Option<Vec<Self>> = spec.steps.iter().map(Self::of_step).collect();
        kinds.filter(|_| spec.schedule.is_none())?.into_iter().min()
    }
}
