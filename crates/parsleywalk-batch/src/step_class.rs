//! Classes of steps by what their workspace's limit holds back together.

use crate::StepSpec;

/// The number of classes.
pub(crate) const STEP_CLASSES: usize = 4;

/// Whether the tasks of a step end by themselves and whether they use accelerators.
///
/// Steps without accelerators need not wait behind those that wait for them, and steps that end need not wait behind
/// long-running ones whose limit is in use for long. Separate queues make it unnecessary to look for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StepClass {
    Ending,
    EndingAccelerated,
    LongRunning,
    LongRunningAccelerated,
}

impl StepClass {
    pub(crate) const ALL: [Self; STEP_CLASSES] =
        [Self::Ending, Self::EndingAccelerated, Self::LongRunning, Self::LongRunningAccelerated];

    pub(crate) fn of(spec: &StepSpec) -> Self {
        match (spec.long_running, spec.size.accelerators.get() > 0) {
            (false, false) => Self::Ending,
            (false, true) => Self::EndingAccelerated,
            (true, false) => Self::LongRunning,
            (true, true) => Self::LongRunningAccelerated,
        }
    }

    pub(crate) const fn uses_accelerators(self) -> bool {
        matches!(self, Self::EndingAccelerated | Self::LongRunningAccelerated)
    }
}
