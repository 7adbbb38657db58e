//! The short work of one kind that is ahead of a job.

use std::time::Duration;

use parsleywalk_shares::{AccountIndex, ResourceLimit};
use parsleywalk_units::ResourceSize;

use crate::urgency::JobUrgency;

/// How often the time to work off the backlogs of accounts at their limits is corrected.
const MAX_CORRECTIONS: usize = 16;
/// The correction from which on it is exact enough.
const CORRECTION_SHARE: f64 = 0.01;

/// The work of an active job, with its place in the order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BacklogRow {
    pub(crate) account: AccountIndex,
    pub(crate) priority: u8,
    pub(crate) urgency: JobUrgency,
    /// The remaining work in core-seconds, and the part of it that is running.
    pub(crate) work: f64,
    pub(crate) running: f64,
}

/// What decides how much of the cores an account gets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AccountTerms {
    pub(crate) weight: u32,
    pub(crate) limit: ResourceLimit,
    /// What the account has allocated to work that comes before this kind.
    pub(crate) held: ResourceSize,
}

/// The place of a job that has not been accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BacklogPlace {
    pub(crate) account: AccountIndex,
    pub(crate) priority: u8,
    pub(crate) urgency: JobUrgency,
}

/// The work of one account.
#[derive(Debug, Clone)]
struct AccountBacklog {
    weight: f64,
    /// The cores that the account's limit leaves to the work.
    room: f64,
    /// The places of the jobs in order.
    places: Vec<(u8, JobUrgency)>,
    /// The sums of work and of what is running of it, up to each place.
    sums: Vec<(f64, f64)>,
    /// The work accepted since the places were looked at.
    accepted: f64,
}

impl AccountBacklog {
    fn new(terms: &AccountTerms) -> Self {
        let left = |limit: parsleywalk_units::MilliCores| limit.saturating_sub(terms.held.cores).get().max(1);
        let room = terms.limit.cores.map_or(f64::INFINITY, |limit| f64::from(left(limit)) / 1000.0);
        let weight = f64::from(terms.weight.max(1));
        Self { weight, room, places: Vec::new(), sums: Vec::new(), accepted: 0.0 }
    }

    /// Returns the work up to a place, and what is running behind it.
    fn work_until(&self, priority: u8, urgency: JobUrgency) -> (f64, f64) {
        let count = self.places.partition_point(|place| *place <= (priority, urgency));
        let (work, running) = count.checked_sub(1).map_or((0.0, 0.0), |last| self.sums[last]);
        let all_running = self.sums.last().map_or(0.0, |(_, running)| *running);
        (work + self.accepted, all_running - running)
    }
}

/// The work of one kind of a service, by account.
#[derive(Debug, Clone)]
pub(crate) struct WorkBacklog {
    accounts: Vec<AccountBacklog>,
}

impl WorkBacklog {
    /// Creates the backlog of the given jobs. `terms` are those of the accounts in the order of their indexes.
    pub(crate) fn new(terms: &[AccountTerms], mut rows: Vec<BacklogRow>) -> Self {
        rows.sort_unstable_by_key(|row| (row.account, row.priority, row.urgency));
        let mut accounts: Vec<AccountBacklog> = terms.iter().map(AccountBacklog::new).collect();
        for row in rows {
            let Some(account) = accounts.get_mut(row.account.0 as usize) else { continue };
            let (work, running) = account.sums.last().copied().unwrap_or_default();
            account.places.push((row.priority, row.urgency));
            account.sums.push((work + row.work, running + row.running));
        }
        Self { accounts }
    }

    /// Adds the work of a job that has been accepted and is not in the state yet.
    pub(crate) fn add_accepted(&mut self, account: AccountIndex, work: f64) {
        if let Some(account) = self.accounts.get_mut(account.0 as usize) {
            account.accepted += work;
        }
    }

    /// Returns the cores that a job's account may use of those that the work of this kind gets.
    pub(crate) fn room(&self, account: AccountIndex, drain: f64) -> f64 {
        self.accounts.get(account.0 as usize).map_or(drain, |account| account.room.min(drain))
    }

    /// Returns after how many seconds a place is reached, given the cores that the work gets. Tasks that run keep their
    /// cores, whatever their place. The other accounts get their shares until then, and no more than their limits.
    pub(crate) fn seconds_before(&self, place: &BacklogPlace, drain: f64) -> f64 {
        let Some(own) = self.accounts.get(place.account.0 as usize) else { return 0.0 };
        let (work, running_behind) = own.work_until(place.priority, place.urgency);
        let own_work = work + running_behind;
        let turns = own_work / own.weight;
        let others = self.accounts.iter().zip(0u32..).filter(|(_, index)| AccountIndex(*index) != place.account);
        let others: Vec<(f64, f64)> = others
            .map(|(other, _)| {
                let (useful, _) = other.work_until(place.priority, JobUrgency::Late(Duration::MAX));
                (useful.min(other.weight * turns), other.room)
            })
            .collect();
        drain_seconds(own_work, &others, drain).max(own_work / own.room)
    }
}

/// Returns how long it takes to get through an account's work beside that of others, which are given with the cores that
/// their limits leave to them.
fn drain_seconds(own_work: f64, others: &[(f64, f64)], drain: f64) -> f64 {
    let total = |seconds: f64| others.iter().map(|(work, room)| work.min(room * seconds)).sum::<f64>() + own_work;
    let mut seconds = total(f64::MAX) / drain;
    for _ in 0..MAX_CORRECTIONS {
        let corrected = total(seconds) / drain;
        if seconds - corrected <= seconds * CORRECTION_SHARE {
            return corrected;
        }
        seconds = corrected;
    }
    seconds
}

#[cfg(test)]
#[path = "work_backlog_tests.rs"]
mod tests;
