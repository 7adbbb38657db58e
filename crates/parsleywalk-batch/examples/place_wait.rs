//! Compares policies of waiting for a rack on simulated workers.
//!
//! Each row is one policy on one load of `tests/support/racks.rs`: the mean and the 90th percentile of the jobs' times to
//! completion in seconds, the share of runs away from their rack, the longest time for which a job had nothing running while
//! workers had room, and the tasks that waited by whether they were placed on the rack.
//!
//! ```console
//! $ cargo run --release -p parsleywalk-batch --example place_wait -- 8
//! ```

#[path = "../tests/support/mod.rs"]
mod support;

use parsleywalk_batch::PlaceWaitPolicy;
use support::racks::{RackLoad, play};

/// The seeds that are summed if their number is not given.
const SEEDS: u64 = 4;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    println!("| load | policy | mean s | p90 s | away % | longest idle s | won | lost |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in RackLoad::ALL {
        for policy in [None, Some(PlaceWaitPolicy::Fixed), Some(PlaceWaitPolicy::Slack), Some(PlaceWaitPolicy::Gain)] {
            let outcome = play(load, policy, seeds);
            let policy = policy.map_or_else(|| "None".to_owned(), |policy| format!("{policy:?}"));
            println!(
                "| {load:?} | {policy} | {:.3} | {:.3} | {} | {:.2} | {} | {} |",
                outcome.mean(),
                outcome.percentile(90),
                outcome.far_starts * 100 / outcome.starts,
                outcome.longest_idle.as_secs_f64(),
                outcome.results.won,
                outcome.results.lost
            );
        }
    }
}
