//! Random jobs.

use parsleywalk_batch::StepSpec;

use super::{TestRng, step};

/// A generator of random job steps.
pub(crate) struct RandomSteps;

impl RandomSteps {
    pub(crate) fn random(rng: &mut TestRng) -> Vec<StepSpec> {
        let steps = 1 + rng.next_below(3);
        (0..steps)
            .map(|number| {
                let number = u16::try_from(number).expect("small");
                let count = 1 + u32::try_from(rng.next_below(6)).expect("small");
                let mut spec =
                    step(count, 1 + u32::try_from(rng.next_below(6)).expect("small"), 200 + rng.next_below(1500));
                if number > 0 && rng.chance(60) {
                    spec.depends_on = vec![number - 1];
                }
                spec.best_effort = rng.chance(20);
                spec.gang = !spec.best_effort && rng.chance(10);
                spec.checkpointable = rng.chance(50);
                if rng.chance(20) {
                    spec.per_worker_limit = Some(2);
                }
                if rng.chance(20) {
                    spec.preferred_rack = Some("rack-1".to_owned());
                }
                spec
            })
            .collect()
    }
}
