//! Short seeded runs of the whole system under all faults.
//!
//! Guards against any violation of the guarantees that the oracle checks, and against runs that no longer meet what they
//! are meant to meet.

use parsleywalk_soak::{SoakPlan, SoakTotals, run};

#[test]
fn a_run_without_faults_ends() {
    let plan = SoakPlan { seed: 1, steps: 300, faults: false, ..SoakPlan::default() };
    let totals = run(&plan).unwrap_or_else(|failure| panic!("{failure}"));
    assert_eq!(totals.elections, 1);
    assert!(totals.whole > totals.requests / 2, "{totals}");
}

#[test]
fn runs_with_faults_hold_the_guarantees() {
    let mut sum = SoakTotals::default();
    for seed in 1..=4 {
        sum += run(&SoakPlan { seed, steps: 500, ..SoakPlan::default() }).unwrap_or_else(|failure| panic!("{failure}"));
    }
    assert!(sum.elections > 4 && sum.kills > 0 && sum.cuts > 0 && sum.evictions > 0, "{sum}");
}
