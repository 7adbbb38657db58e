//! Explanations and status summaries for operators.

use parsleywalk_shares::AccountIndex;
use parsleywalk_units::{ResourceSize, TaskId, TeamName, ZoneName};
use serde::Serialize;

use crate::WaitReason;
use crate::policy::SchedulerPolicy;
use crate::task::TaskPhase;

/// Summary of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneSummary {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Whether tasks may start in the zone.
    pub in_service: bool,
    /// Whether the zone is back in service and its start rate is still limited.
    pub ramping: bool,
    /// Number of registered workers.
    pub workers: usize,
}

/// Summary of one team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: TeamName,
    /// Size allocated to its batch tasks, including proposed starts.
    pub held: ResourceSize,
    /// Quota of the team, if any.
    pub quota: Option<ResourceSize>,
    /// Dominant share of the team divided by its weight.
    pub share: f64,
}

/// Summary of the policy's state.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyStatus {
    /// Number of queued tasks.
    pub queued: usize,
    /// Number of tasks with an allocation, including proposed starts.
    pub placed: usize,
    /// Number of quarantined workers.
    pub quarantined: usize,
    /// Number of workers on which a guard throttles batch tasks.
    pub guarded: usize,
    /// Number of workers reserved for a task.
    pub held: usize,
    /// Number of service pairs with an interference estimate.
    pub pairs: usize,
    /// Number of evictions proposed so far, including repeated proposals.
    pub evictions: u64,
    /// All zones, in the order in which they were first seen.
    pub zones: Vec<ZoneSummary>,
    /// All teams, in the order in which they were first seen.
    pub teams: Vec<TeamSummary>,
}

impl SchedulerPolicy {
    /// Returns why a task waits, or the worker to which it is assigned.
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

    /// Returns a summary of the policy's state.
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
            held: self.team_shares.allocated(AccountIndex(index)),
            quota: self.team_shares.limit(AccountIndex(index)).as_size(),
            share: self.team_shares.share(AccountIndex(index)),
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
