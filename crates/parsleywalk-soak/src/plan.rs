//! The parameters of a run and its failure report.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use crate::SoakTotals;
use crate::world::World;

/// The parameters of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed of the random generator that makes all choices of the run.
    pub seed: u64,
    /// The number of steps; each issues at most one request, job or operator's command and may inject faults.
    pub steps: u64,
    /// Whether faults are injected.
    pub faults: bool,
    /// The simulated time within which all work has to finish after the faults stop.
    pub settle_limit: Duration,
}

impl Default for SoakPlan {
    fn default() -> Self {
        Self { seed: 1, steps: 10_000, faults: true, settle_limit: Duration::from_mins(4) }
    }
}

/// The first violation that the oracle detected in a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakFailure {
    /// The seed of the run.
    pub seed: u64,
    /// The step in which it was detected.
    pub step: u64,
    /// The simulated time since the start of the run.
    pub at: Duration,
    /// The guarantee that was violated, and how.
    pub violation: String,
    /// The last events, oldest first.
    pub trace: Vec<String>,
}

impl Display for SoakFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { seed, step, at, violation, trace } = self;
        writeln!(formatter, "seed {seed}, step {step}, simulated time {at:?}: {violation}")?;
        trace.iter().try_for_each(|line| writeln!(formatter, "  {line}"))
    }
}

impl Error for SoakFailure {}

/// Runs a simulation and returns its totals.
///
/// # Errors
///
/// Returns the first violation. A panic of the code under test counts as one.
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
        Some(violation) => Err(SoakFailure {
            seed: plan.seed,
            step: world.step,
            at: Duration::from_micros(world.now),
            violation,
            trace: world.trace.into(),
        }),
    }
}
