//! Weighted dominant-resource fairness and quotas of teams.

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize};

/// Quota and usage of one team.
#[derive(Debug, Clone)]
struct TeamAccount {
    weight: f64,
    quota: Option<ResourceSize>,
    /// Size allocated to batch tasks.
    allocated: ResourceSize,
    /// Weighted dominant share.
    share: f64,
}

impl Default for TeamAccount {
    fn default() -> Self {
        Self { weight: 1.0, quota: None, allocated: ResourceSize::default(), share: 0.0 }
    }
}

/// Sizes allocated to the batch tasks of each team, including proposed starts.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairShare {
    accounts: Vec<TeamAccount>,
    /// Total capacity of the workers in service.
    total: ResourceSize,
}

impl FairShare {
    fn account(&mut self, team: u32) -> &mut TeamAccount {
        let index = team as usize;
        if self.accounts.len() <= index {
            self.accounts.resize(index + 1, TeamAccount::default());
        }
        &mut self.accounts[index]
    }

    /// Resets all weights and quotas before those of a new configuration are set.
    pub(crate) fn reset(&mut self) {
        for account in &mut self.accounts {
            account.weight = 1.0;
            account.quota = None;
        }
    }

    pub(crate) fn set_team(&mut self, team: u32, weight: u32, quota: Option<ResourceSize>) {
        let account = self.account(team);
        account.weight = f64::from(weight.max(1));
        account.quota = quota;
        self.update_share(team);
    }

    pub(crate) fn set_total(&mut self, total: ResourceSize) {
        self.total = total;
        for team in 0..self.accounts.len() {
            self.update_share(u32::try_from(team).unwrap_or(u32::MAX));
        }
    }

    pub(crate) fn charge(&mut self, team: u32, size: &ResourceSize) {
        let account = self.account(team);
        account.allocated = account.allocated.checked_add(size).unwrap_or(account.allocated);
        self.update_share(team);
    }

    pub(crate) fn refund(&mut self, team: u32, size: &ResourceSize) {
        let account = self.account(team);
        account.allocated = account.allocated.saturating_sub(size);
        self.update_share(team);
    }

    fn update_share(&mut self, team: u32) {
        let total = self.total;
        let account = self.account(team);
        account.share = dominant_share(&account.allocated, &total) / account.weight;
    }

    /// Returns the weighted dominant share: the largest fraction of any resource, divided by the team's weight.
    pub(crate) fn share(&self, team: u32) -> f64 {
        self.accounts.get(team as usize).map_or(0.0, |account| account.share)
    }

    pub(crate) fn allocated(&self, team: u32) -> ResourceSize {
        self.accounts.get(team as usize).map_or_else(ResourceSize::default, |account| account.allocated)
    }

    pub(crate) fn quota(&self, team: u32) -> Option<ResourceSize> {
        self.accounts.get(team as usize).and_then(|account| account.quota)
    }

    /// Returns true if the team's quota permits allocating `size` in addition.
    pub(crate) fn permits(&self, team: u32, size: &ResourceSize) -> bool {
        self.quota(team)
            .is_none_or(|quota| self.allocated(team).checked_add(size).is_some_and(|sum| sum.fits_within(&quota)))
    }
}

/// Returns the dominant share of `part` in `total`: the largest fraction of any resource.
#[expect(clippy::cast_precision_loss, reason = "a ratio needs no more precision")]
pub(crate) fn dominant_share(part: &ResourceSize, total: &ResourceSize) -> f64 {
    let ratio = |part: u64, total: u64| if total == 0 { 0.0 } else { part as f64 / total as f64 };
    ratio(u64::from(part.cores.get()), u64::from(total.cores.get()))
        .max(ratio(part.memory.get(), total.memory.get()))
        .max(ratio(u64::from(part.accelerators.get()), u64::from(total.accelerators.get())))
}

/// Returns the component-wise minimum of two sizes.
pub(crate) fn componentwise_min(one: &ResourceSize, other: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cores: MilliCores::new(one.cores.get().min(other.cores.get())),
        memory: MemoryBytes::new(one.memory.get().min(other.memory.get())),
        accelerators: AcceleratorCount::new(one.accelerators.get().min(other.accelerators.get())),
    }
}
