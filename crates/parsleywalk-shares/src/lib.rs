//! Limits and fair shares of accounts.
//!
//! An account is whoever resources are charged to: a team of the operators' catalog, or a workspace on the users'
//! platform. [`ResourceLimit`] bounds what an account may have allocated, and [`ShareLedger`] keeps what it has, with its
//! weighted dominant share. [`ShareOrder`] decides who gets capacity next, and [`TokenBucket`] who submits faster than
//! agreed. Nothing here does I/O or reads a clock.
//!
//! Two accounts, of which one has twice the weight and the other a limit, share 32 cores:
//!
//! ```
//! use parsleywalk_shares::{AccountIndex, ResourceLimit, ShareLedger, ShareOrder};
//!
//! let (large, small) = (AccountIndex(0), AccountIndex(1));
//! let mut ledger = ShareLedger::default();
//! ledger.set_total("32c/128GB/0a".parse()?);
//! ledger.set_account(large, 2, ResourceLimit::default());
//! ledger.set_account(small, 1, "8c/-/-".parse()?);
//!
//! let task = "1c/1GB/0a".parse()?;
//! let mut order = ShareOrder::new(vec![large, small]);
//! let mut started = 0;
//! while let Some(turn) = order.next_turn(&ledger).filter(|_| started < 32) {
//!     let permitted = ledger.permitted_count(turn.account, &task);
//!     if permitted == 0 {
//!         order.remove(turn.account);
//!         continue;
//!     }
//!     for _ in 0..permitted.min(ledger.count_above(turn.account, &task, turn.share)).min(32 - started) {
//!         ledger.charge(turn.account, &task);
//!         started += 1;
//!     }
//! }
//! assert_eq!(ledger.allocated(large).cores.to_string(), "24");
//! assert_eq!(ledger.allocated(small).cores.to_string(), "8");
//! # Ok::<(), parsleywalk_units::UnitError>(())
//! ```

mod ledger;
mod limit;
mod order;
mod rate;

pub use ledger::{AccountIndex, ShareLedger, dominant_share};
pub use limit::ResourceLimit;
pub use order::{ShareOrder, ShareTurn};
pub use rate::{JobRate, TokenBucket};
