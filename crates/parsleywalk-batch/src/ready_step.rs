//! Steps that a scheduling cycle may serve.

use parsleywalk_shares::AccountIndex;

use crate::JobId;
use crate::step_class::StepClass;
use crate::urgency::JobUrgency;

/// A step with waiting tasks whose dependencies are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyStep {
    pub(crate) priority: u8,
    pub(crate) urgency: JobUrgency,
    pub(crate) sequence: u64,
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
    /// Whether the job has ample slack that its best-effort tasks use to wait for a worker with more headroom.
    pub(crate) has_slack: bool,
    pub(crate) account: AccountIndex,
    pub(crate) class: StepClass,
    /// Whether no earlier step of the job is ready.
    pub(crate) is_first_of_job: bool,
}
