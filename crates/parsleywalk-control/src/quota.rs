//! Quotas of teams.

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{ResourceSize, TaskId, TeamName};

use crate::{CommandRefusal, ControlState, TaskOwner, TaskRecord};

/// Commands.
impl ControlState {
    pub(crate) fn check_quota(&self, record: &TaskRecord, size: ResourceSize) -> Result<(), CommandRefusal> {
        let Some(team) = self.charged_team(record) else { return Ok(()) };
        let allocated = self.team_allocation(team);
        let quota = self.team(team).and_then(|entry| entry.quota);
        // A team without a quota is limited by what the counters can represent.
        let limit = quota.map_or_else(ResourceLimit::default, ResourceLimit::of_size);
        if limit.permits(&allocated, &size) {
            return Ok(());
        }
        let quota = quota.unwrap_or(allocated);
        Err(CommandRefusal::QuotaExceeded { team: team.clone(), size, held: allocated, quota })
    }

    pub(crate) fn allocate_quota(&mut self, task: TaskId, size: ResourceSize) {
        let Some(team) = self.charged_team(&self.tasks[&task]).cloned() else { return };
        let allocated = self.held.entry(team).or_default();
        *allocated = allocated.checked_add(&size).expect("the size was checked against the quota");
    }

    pub(crate) fn release_quota(&mut self, task: TaskId, size: ResourceSize) {
        let Some(team) = self.charged_team(&self.tasks[&task]).cloned() else { return };
        let allocated = self.team_allocation(&team);
        assert!(size.fits_within(&allocated), "team {team} releases {size} of {allocated}");
        let remaining = allocated.saturating_sub(&size);
        if remaining.is_zero() {
            self.held.remove(&team);
        } else {
            self.held.insert(team, remaining);
        }
    }
}

/// Queries.
impl ControlState {
    /// Returns the resources allocated for a team's batch tasks.
    #[must_use]
    pub fn team_allocation(&self, team: &TeamName) -> ResourceSize {
        self.held.get(team).copied().unwrap_or_default()
    }

    /// Returns the team whose quota a task counts against; service instances count against no quota.
    pub(crate) fn charged_team(&self, record: &TaskRecord) -> Option<&TeamName> {
        match record.owner {
            TaskOwner::Job(number) => self.jobs.get(number).map(|job| &job.key.team),
            TaskOwner::Service => None,
        }
    }
}
