//! Records of availability zones.

use parsleywalk_api::{TaskCounts, TaskPhase};
use serde::{Deserialize, Serialize};

/// The service state and the totals of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Whether tasks may start in the zone.
    pub in_service: bool,
    /// The number of registered workers.
    #[serde(skip)]
    pub workers: u32,
    /// The number of tasks placed in the zone, by phase; `queued` is always 0.
    #[serde(skip)]
    pub tasks: TaskCounts,
}

impl Default for ZoneState {
    fn default() -> Self {
        Self { in_service: true, workers: 0, tasks: TaskCounts::default() }
    }
}

/// Returns the counter of a phase; `None` for phases of ended tasks, which are not counted.
pub(crate) fn phase_counter(counts: &mut TaskCounts, phase: TaskPhase) -> Option<&mut u32> {
    match phase {
        TaskPhase::Queued => Some(&mut counts.queued),
        TaskPhase::Starting => Some(&mut counts.starting),
        TaskPhase::Running => Some(&mut counts.running),
        TaskPhase::Stopping => Some(&mut counts.stopping),
        TaskPhase::Done | TaskPhase::Failed | TaskPhase::Cancelled => None,
    }
}
