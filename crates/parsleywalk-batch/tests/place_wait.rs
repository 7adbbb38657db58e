//! Tests of waiting for a rack: the loads of `support/racks.rs` with and without it, and single steps under faults.

mod support;

use std::time::Duration;

use parsleywalk_batch::{PlaceWaitPolicy, PlaceWaitResults, StepSpec};
use rstest::rstest;
use support::racks::{RackLoad, play};
use support::{FakeFleet, step, submission};

/// The seeds over which outcomes are summed, since a single one is left to chance.
const SEEDS: u64 = 4;
/// The longest time for which waiting may keep a job idle.
const MAX_IDLE: Duration = Duration::from_millis(1500);

/// Guards against waiting that delays jobs: with it, they may take at most `max_percent` of the time without it on average,
/// and 105% in the slowest tenth, and no job may be idle for long beside free workers.
#[rstest]
#[case::cold_rack(RackLoad::ColdRack, 98)]
#[case::hot_rack(RackLoad::HotRack, 97)]
#[case::leaving_rack(RackLoad::LeavingRack, 90)]
#[case::wrong_estimates(RackLoad::WrongEstimates, 90)]
#[case::one_rack(RackLoad::OneRack, 100)]
#[case::mixed(RackLoad::Mixed, 90)]
fn jobs_end_sooner_with_waiting(#[case] load: RackLoad, #[case] max_percent: u32) {
    let [without, with] = [None, Some(PlaceWaitPolicy::Gain)].map(|policy| play(load, policy, SEEDS));
    let means = (with.mean(), without.mean());
    assert!(means.0 <= means.1 * f64::from(max_percent) / 100.0, "{means:?}");
    let slowest = (with.percentile(90), without.percentile(90));
    assert!(slowest.0 <= slowest.1 * 1.05, "{slowest:?}");
    // A job that has lost its runs is idle until the leader knows, with or without waiting.
    let max_idle = if load == RackLoad::LeavingRack { without.longest_idle.max(MAX_IDLE) } else { MAX_IDLE };
    assert!(with.longest_idle <= max_idle, "{:?}", with.longest_idle);
}

/// What happens while a step waits for a rack of which the runs are expected to end 700 ms later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    /// The runs make no more progress.
    Hanging,
    /// The workers of the rack announce that they exit.
    Leaving,
    /// The workers of the rack stop reporting.
    Silent,
    NewLeader,
}

/// Guards against a step that waits in vain, or for longer than it may, and against a group that is divided. The step comes
/// to a fleet of two racks, of which rack 0 is full, and must have started on the given rack in time. The tasks that waited
/// count as won or lost by the leader at the end.
#[rstest]
#[case::wins(Event::Nothing, StepSpec::default(), 1100, 0, (4, 0))]
#[case::gang(Event::Nothing, StepSpec { gang: true, ..StepSpec::default() }, 1100, 0, (4, 0))]
#[case::long_running(Event::Nothing, StepSpec { long_running: true, ..StepSpec::default() }, 300, 1, (0, 0))]
#[case::hanging(Event::Hanging, StepSpec::default(), 1500, 1, (0, 4))]
#[case::hanging_gang(Event::Hanging, StepSpec { gang: true, ..StepSpec::default() }, 1500, 1, (0, 4))]
#[case::leaving(Event::Leaving, StepSpec::default(), 600, 1, (0, 4))]
#[case::silent(Event::Silent, StepSpec::default(), 1500, 1, (0, 4))]
#[case::new_leader(Event::NewLeader, StepSpec::default(), 600, 1, (0, 0))]
fn a_step_waits_for_its_rack(
    #[case] event: Event,
    #[case] spec: StepSpec,
    #[case] max_ms: u64,
    #[case] expected_rack: u32,
    #[case] (won, lost): (u64, u64),
) {
    let mut fleet = FakeFleet::new(8, 1);
    fleet.settings.remote_factor = Some(3.0);
    fleet.change_leader();
    fleet.run_for(Duration::from_secs(3));
    fleet.submit(submission(1, 0, vec![StepSpec { preferred_rack: Some(rack(0)), ..step(4, 32, 2000) }]));
    fleet.run_for(Duration::from_millis(1300));
    let StepSpec { count, size, estimate, .. } = step(4, 8, 2000);
    let spec = StepSpec { count, size, estimate, preferred_rack: Some(rack(0)), ..spec };
    let job = fleet.submit(submission(2, 0, vec![spec]));
    fleet.run_for(Duration::from_millis(200));
    for worker in fleet.workers.iter_mut().filter(|worker| worker.rack == rack(0)) {
        worker.speed = if event == Event::Hanging { 0.0 } else { 1.0 };
        worker.draining = event == Event::Leaving;
        worker.partitioned = event == Event::Silent;
    }
    if event == Event::NewLeader {
        fleet.change_leader();
    }
    fleet.run_for(Duration::from_millis(max_ms - 200));
    let runs = fleet.workers.iter().flat_map(|worker| worker.runs.keys().map(|task| (task.job, worker.rack.clone())));
    let racks: Vec<String> = runs.filter(|(of, _)| *of == job).map(|(_, rack)| rack).collect();
    assert_eq!(racks, vec![rack(expected_rack); 4]);
    assert_eq!(fleet.dispatcher.take_place_wait_results(), PlaceWaitResults { won, lost });
}

fn rack(number: u32) -> String {
    format!("rack-{number}")
}

/// Guards against a rack-local step that spreads over racks, or goes to one that can take only a part of it soon.
#[test]
fn a_rack_local_step_goes_to_the_rack_that_takes_all_of_it() {
    let mut fleet = FakeFleet::new(12, 1);
    fleet.settings.remote_factor = Some(3.0);
    fleet.change_leader();
    fleet.run_for(Duration::from_secs(3));
    // Rack 0 is half free; the others are full, and rack 2 is free sooner.
    for (number, cores, milliseconds) in [(0, 16, 5000), (1, 32, 1800), (2, 32, 1500)] {
        let spec = StepSpec { preferred_rack: Some(rack(number)), ..step(4, cores, milliseconds) };
        fleet.submit(submission(u64::from(number) + 1, 0, vec![spec]));
    }
    fleet.run_for(Duration::from_secs(1));
    let job = fleet.submit(submission(9, 0, vec![StepSpec { rack_local: true, ..step(8, 16, 3000) }]));
    fleet.run_for(Duration::from_millis(1200));
    let racks = fleet.workers.iter().map(|worker| worker.runs.keys().filter(|task| task.job == job).count());
    assert_eq!(racks.collect::<Vec<_>>(), [0, 0, 0, 0, 0, 0, 0, 0, 2, 2, 2, 2]);
}

/// Guards against waiting steps that cost a look at every worker in each cycle, and against any cost for steps that name no
/// rack.
#[rstest]
#[case::without_a_rack(None, 0)]
#[case::with_a_rack(Some(rack(0)), 4)]
fn a_waiting_step_costs_a_look_at_its_rack(#[case] preferred_rack: Option<String>, #[case] most_looks: u64) {
    let looks = [None, Some(3.0)].map(|remote_factor| {
        let mut fleet = FakeFleet::new(200, 1);
        fleet.settings.remote_factor = remote_factor;
        fleet.change_leader();
        fleet.run_for(Duration::from_secs(3));
        fleet.submit(submission(1, 0, vec![StepSpec { preferred_rack: Some(rack(0)), ..step(4, 32, 1500) }]));
        fleet.run_for(Duration::from_secs(1));
        let before = fleet.dispatcher.ranked_workers();
        for id in 2..=5 {
            let spec = StepSpec { preferred_rack: preferred_rack.clone(), ..step(1, 8, 3000) };
            fleet.submit(submission(id, 0, vec![spec]));
        }
        fleet.run_for(Duration::from_millis(400));
        fleet.dispatcher.ranked_workers() - before
    });
    // Four steps in eight cycles, of which each looks twice at the rack's workers.
    let most = if most_looks == 0 { looks[0] } else { 4 * 8 * 2 * most_looks };
    assert!(looks[1] <= most, "{looks:?}");
}
