//! What a run is to do and how it fails.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use crate::SoakTotals;
use crate::world::World;

/// What a run does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// Decides everything that is drawn.
    pub seed: u64,
    /// The number of requests, jobs, operators' commands and faults.
    pub steps: u64,
    /// Whether there are faults.
    pub faults: bool,
    /// The simulated time within which everything has to end once the faults stop.
    pub settle: Duration,
}

impl Default for SoakPlan {
    fn default() -> Self {
        Self { seed: 1, steps: 10_000, faults: true, settle: Duration::from_mins(4) }
    }
}

/// The first violation of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakFailure {
    /// The seed of the run.
    pub seed: u64,
    /// The step at which it was noticed.
    pub step: u64,
    /// The simulated time since the start of the run.
    pub at: Duration,
    /// What was violated.
    pub what: String,
    /// The last events, oldest first.
    pub trace: Vec<String>,
}

impl Display for SoakFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { seed, step, at, what, trace } = self;
        writeln!(formatter, "seed {seed}, step {step}, simulated time {at:?}: {what}")?;
        trace.iter().try_for_each(|line| writeln!(formatter, "  {line}"))
    }
}

impl Error for SoakFailure {}

/// Runs a plan to its end.
///
/// # Errors
///
/// Returns the first violation; a panic of the code under test counts as one.
pub fn run(plan: &SoakPlan) -> Result<SoakTotals, SoakFailure> {
    let mut world = World::new(plan);
    let outcome = catch_unwind(AssertUnwindSafe(|| world.run(plan)));
    let panicked = outcome.err().map(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        format!("panic: {}", text.unwrap_or_default())
    });
    match panicked.or_else(|| world.oracle.violation.take()) {
        None => Ok(world.totals),
        Some(what) => Err(SoakFailure {
            seed: plan.seed,
            step: world.step,
            at: Duration::from_micros(world.now),
            what,
            trace: world.trace.into(),
        }),
    }
}
