//! Short seeded simulations of the whole system.
//!
//! They guard against violations of the guarantees that the oracle checks, and against simulations that no longer cause
//! the elections, kills, cuts and evictions under which the guarantees are to be tested.

use parsleywalk_soak::{SoakPlan, SoakTotals, run};
use rstest::rstest;

/// Guards against a second election or failing requests in a run without faults.
#[test]
fn run_without_faults_ends() {
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

/// Guards against the return of defects that these seeds have found.
#[rstest]
#[case::keyed_request_refused_by_an_entry_without_a_configuration(3)]
#[case::learner_ready_by_a_snapshot_alone(36)]
#[case::response_to_an_earlier_process_accepted(8)]
fn seeds_that_found_a_fault_pass(#[case] seed: u64) {
    run(&SoakPlan { seed, steps: 1000, ..SoakPlan::default() }).unwrap_or_else(|failure| panic!("{failure}"));
}
