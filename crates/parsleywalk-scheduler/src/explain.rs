//! What the policy tells of itself.

use parsleywalk_units::{ResourceSize, TaskId, TeamName, ZoneName};
use serde::Serialize;

use crate::WaitReason;
use crate::policy::SchedulerPolicy;
use crate::task::TaskPhase;

/// One zone as the policy sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneSummary {
    /// Its name.
    pub zone: ZoneName,
    /// Whether tasks may start there.
    pub in_service: bool,
    /// Whether it has just returned and takes starts gradually.
    pub ramping: bool,
    /// Its workers.
    pub workers: usize,
}

/// One team as the policy sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TeamSummary {
    /// Its name.
    pub team: TeamName,
    /// What its batch tasks hold, pending starts included.
    pub held: ResourceSize,
    /// What they may hold.
    pub quota: Option<ResourceSize>,
    /// Its dominant share over its weight.
    pub share: f64,
}

/// What the policy tells of itself.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyStatus {
    /// Tasks that wait.
    pub queued: usize,
    /// Tasks that hold capacity, pending starts included.
    pub placed: usize,
    /// Workers that fail everything.
    pub quarantined: usize,
    /// Workers on which a guard throttles something.
    pub guarded: usize,
    /// Workers held for one task.
    pub held: usize,
    /// Pairs of services with an interference estimate.
    pub pairs: usize,
    /// Evictions proposed so far, repetitions included.
    pub evictions: u64,
    /// The zones, in the order in which they became known.
    pub zones: Vec<ZoneSummary>,
    /// The teams, in the order in which they became known.
    pub teams: Vec<TeamSummary>,
}

impl SchedulerPolicy {
    /// Says why a task waits, or where it is.
    #[must_use]
    pub fn explain(&self, task: TaskId) -> WaitReason {
        let Some(record) = self.tasks.get(&task) else { return WaitReason::Unknown };
        let worker = || self.workers[record.worker as usize].id.clone();
        match record.phase {
            TaskPhase::Proposed { .. } => return WaitReason::Proposed { worker: worker() },
            TaskPhase::Placed => return WaitReason::Placed { worker: worker(), running: false },
            TaskPhase::Running { .. } => return WaitReason::Placed { worker: worker(), running: true },
            TaskPhase::Queued => {}
        }
        if let Some(workers) = self.quarantine.failed_healthy_workers(task, self.settings.failed_worker_limit) {
            return WaitReason::TooManyFailures { workers: workers.len() };
        }
        match self.queue.reason(record.group) {
            Some(reason) => reason.clone(),
            None => WaitReason::InQueue { ahead: self.queue.tasks_ahead(record.group, task) },
        }
    }

    /// Summarizes the policy's state.
    #[must_use]
    pub fn status(&self) -> PolicyStatus {
        let zones = (0u32..).zip(&self.zones).map(|(index, zone)| ZoneSummary {
            zone: self.names.zones.name(index).clone(),
            in_service: !zone.out_of_service,
            ramping: zone.ramp.is_ramping(),
            workers: zone.workers,
        });
        let teams = (0..u32::try_from(self.names.teams.len()).unwrap_or(u32::MAX)).map(|index| TeamSummary {
            team: self.names.teams.name(index).clone(),
            held: self.fair_share.held(index),
            quota: self.fair_share.quota(index),
            share: self.fair_share.share(index),
        });
        PolicyStatus {
            queued: self.queue.len(),
            placed: self.tasks.len() - self.queue.len().min(self.tasks.len()),
            quarantined: self.quarantine.len(),
            guarded: self.guards.active_count(),
            held: self.reservations.len(),
            pairs: self.interference.len(),
            evictions: self.evictions,
            zones: zones.collect(),
            teams: teams.collect(),
        }
    }
}
