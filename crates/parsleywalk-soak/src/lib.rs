//! A deterministic simulation of the whole system in one process, with simulated time and faults chosen by a seed.
//!
//! Five replicas and two observers in three zones run the real `DaemonCoordinator` and `RequestRouter`, connected as
//! the daemon's threads connect them. Workers, endpoints, callers, operators, the network and the disks are simulated.
//! An oracle checks the guarantees as events are handled; the first violation ends the run and is reported with the
//! seed, the step, the simulated time and the last events.
//!
//! ```
//! use parsleywalk_soak::{SoakPlan, run};
//!
//! let totals = run(&SoakPlan { seed: 1, steps: 20, ..SoakPlan::default() })?;
//! assert!(totals.elections > 0);
//! # Ok::<(), parsleywalk_soak::SoakFailure>(())
//! ```
//!
//! A step is at most one request, job or operator's command, with or without faults, followed by up to 50 ms of
//! simulated time. After the last step the faults stop, and all work has to finish within [`SoakPlan::settle_limit`].

mod callers;
mod clock;
mod control;
mod daemon;
mod disk;
mod endpoints;
mod event;
mod faults;
mod jobs;
mod operators;
mod oracle;
mod plan;
mod router;
mod settle;
mod totals;
mod workers;
mod world;

pub use plan::{SoakFailure, SoakPlan, run};
pub use totals::SoakTotals;
