//! Stateful fuzzing of several routers, checked by the oracle in `model`.
//!
//! Guards against lost, duplicate, partial or mixed up responses, requests wrongly reported as not run, a second run of
//! a request that is not repeatable, dispatches to endpoints that left, more dispatches to an endpoint than it has
//! slots, and requests that are dropped by a shutdown.

mod model;

use model::{Step, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Generates the steps. The reference state is empty, because the oracle is part of the [`World`].
struct StepMachine;

impl ReferenceStateMachine for StepMachine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        any::<(u32, u32, u32)>().prop_map(|(kind, pick, value)| Step::from_random(kind, pick, value)).boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct RouterTest;

impl StateMachineTest for RouterTest {
    type SystemUnderTest = World;
    type Reference = StepMachine;

    fn init_test((): &()) -> World {
        World::new(1)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    })]

    #[test]
    fn routers_keep_their_guarantees(sequential 50..250 => RouterTest);
}

/// Runs random steps in a world, then lets everything in progress complete.
fn run(seed: u64, steps: u32) -> World {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step(Step::from_random(random.random(), random.random(), random.random()));
    }
    world.settle();
    world
}

/// Guards against the same failures in longer runs, which are not shrunk. `ROUTING_SEEDS=FIRST..LAST` replaces the
/// fixed range of seeds, in which the last one is excluded.
#[rstest]
fn long_runs_keep_the_guarantees() {
    let seeds = std::env::var("ROUTING_SEEDS").ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    let mut response_counts = std::collections::BTreeMap::<&str, u32>::new();
    for seed in seeds.unwrap_or(1..25) {
        println!("seed {seed}");
        let world = run(seed, 3000);
        for (kind, count) in world.oracle.response_counts {
            *response_counts.entry(kind).or_default() += count;
        }
    }
    println!("{response_counts:?}");
    // Checks that the runs reach all outcomes often enough.
    assert!(
        response_counts["whole"] > 1000 && response_counts["not run"] > 100 && response_counts["unknown"] > 100,
        "{response_counts:?}"
    );
}
