//! One long seeded run of the whole system in one process and simulated time, under faults drawn from the seed.
//!
//! Five replicas and two observers over three zones, each a `DaemonCoordinator` with a `RequestRouter` wired to it as
//! the daemon's threads do, meet model workers, endpoints, callers and operators over a model network and model disks.
//! An oracle checks the guarantees after every event; the first violation ends the run with its seed, step, time and
//! the last events.
//!
//! ```
//! use parsleywalk_soak::{SoakPlan, run};
//!
//! let totals = run(&SoakPlan { seed: 1, steps: 20, ..SoakPlan::default() })?;
//! assert!(totals.elections > 0);
//! # Ok::<(), parsleywalk_soak::SoakFailure>(())
//! ```
//!
//! A step is one request, job, operator's command or fault, followed by up to 50 ms of simulated time. After the last
//! step the faults stop, and everything has to end within [`SoakPlan::settle`].

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
