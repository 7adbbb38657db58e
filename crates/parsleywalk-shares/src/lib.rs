//! Limits and fair shares of accounts.
//!
//! An account is whoever resources are charged to: a team of the operators' catalog, or a workspace on the users'
//! platform. [`ResourceLimit`] bounds what an account may have allocated, and [`ShareLedger`] keeps what it has, with its
//! weighted dominant share. Nothing here does I/O or reads a clock.

mod ledger;
mod limit;

pub use ledger::{AccountIndex, ShareLedger, dominant_share};
pub use limit::ResourceLimit;
