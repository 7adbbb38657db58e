//! Weighted dominant-resource shares of accounts.

use parsleywalk_units::ResourceSize;

use crate::ResourceLimit;

/// The position of an account in a [`ShareLedger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountIndex(pub u32);

/// Limit and usage of one account.
#[derive(Debug, Clone)]
struct ShareAccount {
    weight: f64,
    limit: ResourceLimit,
    allocated: ResourceSize,
    /// Weighted dominant share.
    share: f64,
}

impl Default for ShareAccount {
    fn default() -> Self {
        Self { weight: 1.0, limit: ResourceLimit::default(), allocated: ResourceSize::default(), share: 0.0 }
    }
}

/// The resources allocated to each account, including those of proposed starts.
#[derive(Debug, Clone, Default)]
pub struct ShareLedger {
    accounts: Vec<ShareAccount>,
    /// Total capacity of the workers in service.
    total: ResourceSize,
}

/// Methods that change the state.
impl ShareLedger {
    fn account(&mut self, account: AccountIndex) -> &mut ShareAccount {
        let index = account.0 as usize;
        if self.accounts.len() <= index {
            self.accounts.resize(index + 1, ShareAccount::default());
        }
        &mut self.accounts[index]
    }

    /// Resets all weights and limits before those of a new configuration are set. Allocations stay.
    pub fn reset(&mut self) {
        for account in &mut self.accounts {
            account.weight = 1.0;
            account.limit = ResourceLimit::default();
        }
    }

    /// Sets the weight, at least 1, and the limit of an account.
    pub fn set_account(&mut self, account: AccountIndex, weight: u32, limit: ResourceLimit) {
        let entry = self.account(account);
        entry.weight = f64::from(weight.max(1));
        entry.limit = limit;
        self.update_share(account);
    }

    /// Sets the capacity that shares are fractions of.
    pub fn set_total(&mut self, total: ResourceSize) {
        self.total = total;
        for index in 0..self.accounts.len() {
            self.update_share(AccountIndex(u32::try_from(index).unwrap_or(u32::MAX)));
        }
    }

    /// Adds an allocation.
    pub fn charge(&mut self, account: AccountIndex, size: &ResourceSize) {
        let entry = self.account(account);
        entry.allocated = entry.allocated.checked_add(size).unwrap_or(entry.allocated);
        self.update_share(account);
    }

    /// Removes an allocation.
    pub fn refund(&mut self, account: AccountIndex, size: &ResourceSize) {
        let entry = self.account(account);
        entry.allocated = entry.allocated.saturating_sub(size);
        self.update_share(account);
    }

    fn update_share(&mut self, account: AccountIndex) {
        let total = self.total;
        let entry = self.account(account);
        entry.share = dominant_share(&entry.allocated, &total) / entry.weight;
    }
}

/// Read-only methods.
impl ShareLedger {
    /// Returns the weighted dominant share: the largest fraction of any resource, divided by the account's weight.
    #[must_use]
    pub fn share(&self, account: AccountIndex) -> f64 {
        self.accounts.get(account.0 as usize).map_or(0.0, |entry| entry.share)
    }

    /// Returns the weighted dominant share that each account with an allocation would have if the capacity in use were
    /// divided among them by weight.
    #[must_use]
    pub fn even_share(&self) -> f64 {
        let users = || self.accounts.iter().filter(|entry| !entry.allocated.is_zero());
        let weights: f64 = users().map(|entry| entry.weight).sum();
        let used = users().fold(ResourceSize::default(), |sum, entry| sum.checked_add(&entry.allocated).unwrap_or(sum));
        if weights > 0.0 { dominant_share(&used, &self.total) / weights } else { 0.0 }
    }

    /// Returns what is allocated to the account.
    #[must_use]
    pub fn allocated(&self, account: AccountIndex) -> ResourceSize {
        self.accounts.get(account.0 as usize).map_or_else(ResourceSize::default, |entry| entry.allocated)
    }

    /// Returns the account's limit.
    #[must_use]
    pub fn limit(&self, account: AccountIndex) -> ResourceLimit {
        self.accounts.get(account.0 as usize).map_or_else(ResourceLimit::default, |entry| entry.limit)
    }

    /// Returns true if the account's limit permits allocating `size` in addition.
    #[must_use]
    pub fn permits(&self, account: AccountIndex, size: &ResourceSize) -> bool {
        self.limit(account).permits(&self.allocated(account), size)
    }

    /// Returns how many tasks of `size` the account's limit permits in addition.
    #[must_use]
    pub fn permitted_count(&self, account: AccountIndex, size: &ResourceSize) -> u32 {
        self.limit(account).permitted_count(&self.allocated(account), size)
    }

    /// Returns how many tasks of `size` bring the account's share above `share`: at least one, and `u32::MAX` if no
    /// number does.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a ratio needs no more precision")]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast of a float saturates")]
    pub fn count_above(&self, account: AccountIndex, size: &ResourceSize, share: f64) -> u32 {
        let weight = self.accounts.get(account.0 as usize).map_or(1.0, |entry| entry.weight);
        let allocated = self.allocated(account);
        let count = |allocated: u64, size: u64, total: u64| {
            if size == 0 || total == 0 {
                return u32::MAX;
            }
            let free = (share * weight).mul_add(total as f64, -(allocated as f64));
            ((free / size as f64).max(0.0) as u32).saturating_add(1)
        };
        let [allocated, size, total] = [&allocated, size, &self.total].map(components);
        count(allocated[0], size[0], total[0]).min(count(allocated[1], size[1], total[1])).min(count(
            allocated[2],
            size[2],
            total[2],
        ))
    }
}

/// Returns the amounts of a size.
fn components(size: &ResourceSize) -> [u64; 3] {
    [u64::from(size.cores.get()), size.memory.get(), u64::from(size.accelerators.get())]
}

/// Returns the dominant share of `part` in `total`: the largest fraction of any resource.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "a ratio needs no more precision")]
pub fn dominant_share(part: &ResourceSize, total: &ResourceSize) -> f64 {
    let ratio = |part: u64, total: u64| if total == 0 { 0.0 } else { part as f64 / total as f64 };
    let (part, total) = (components(part), components(total));
    ratio(part[0], total[0]).max(ratio(part[1], total[1])).max(ratio(part[2], total[2]))
}
