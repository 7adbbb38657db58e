//! The order in which accounts get capacity.

use crate::{AccountIndex, ShareLedger};

/// What an account's share may grow by in one turn even if another account then has less. After each turn the caller
/// searches for capacity anew, so finer turns cost more; a cycle that fills all capacity takes at most 200 turns for
/// this reason.
const MIN_TURN_SHARE: f64 = 0.005;

/// The turn of an account to get capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTurn {
    /// The account.
    pub account: AccountIndex,
    /// The turn ends once the account's share is above this; [`ShareLedger::count_above`] gives the number of tasks.
    pub share: f64,
}

/// The accounts with waiting work in one scheduling cycle, of which the one with the lowest share is next.
///
/// Capacity charged in the cycle counts, so the lowest shares grow together (progressive filling). Nothing else is
/// remembered: an account that was idle gets no compensation, and one that was busy pays nothing back.
#[derive(Debug, Clone, Default)]
pub struct ShareOrder {
    accounts: Vec<AccountIndex>,
}

impl ShareOrder {
    /// Creates the order of the accounts that have waiting work, which are served by their position if their shares are
    /// equal.
    #[must_use]
    pub fn new(accounts: Vec<AccountIndex>) -> Self {
        Self { accounts }
    }

    /// Returns the next turn, or `None` if no account has waiting work.
    #[must_use]
    pub fn next_turn(&self, ledger: &ShareLedger) -> Option<ShareTurn> {
        let mut lowest: Option<(AccountIndex, f64)> = None;
        let mut second = f64::INFINITY;
        for account in &self.accounts {
            let share = ledger.share(*account);
            match lowest {
                Some((_, known)) if share >= known => second = second.min(share),
                _ => {
                    second = lowest.map_or(f64::INFINITY, |(_, known)| known);
                    lowest = Some((*account, share));
                }
            }
        }
        lowest.map(|(account, share)| ShareTurn { account, share: second.max(share + MIN_TURN_SHARE) })
    }

    /// Returns the accounts that have waiting work, in the order of their positions.
    #[must_use]
    pub fn accounts(&self) -> &[AccountIndex] {
        &self.accounts
    }

    /// Removes an account that has no more work in this cycle.
    pub fn remove(&mut self, account: AccountIndex) {
        self.accounts.retain(|known| *known != account);
    }
}
