//! Rate control of best-effort tasks that share a worker with latency-critical ones.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::SortedMap;
use crate::interference::{BestEffortLoad, CriticalLoad, ImageIndex, InterferenceModel};

/// Headroom below which best-effort tasks are throttled.
const THROTTLE_HEADROOM: f32 = 0.01;
/// Headroom above which throttled tasks are sped up again.
const RELEASE_HEADROOM: f32 = 0.05;
/// The minimum time between two reductions: a report's measurement covers half a second, and an order takes effect
/// after a tenth of a second.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(600);
/// The minimum time between a change and the next increase.
const RELEASE_INTERVAL: Duration = Duration::from_millis(600);
/// Rates below this, in percent of full speed, are reduced to zero.
const MIN_RATE_PERCENT: u8 = 20;
/// The increase of a rate per step, in percent of full speed.
const RELEASE_STEP_PERCENT: u8 = 50;
const FULL_RATE_PERCENT: u8 = 100;

/// Controls the rates of a worker's best-effort images.
///
/// While a latency-critical task is close to its objective, the image that interferes with it most is throttled; once
/// every task has enough headroom, the throttled image that interferes least is sped up.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceController {
    throttled: SortedMap<ImageIndex, u8>,
    changed_at: MonotonicTime,
}

impl PaceController {
    /// Adjusts the rates to the loads in the newest report.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        model: &InterferenceModel,
        critical: &[CriticalLoad],
        best_effort: &[BestEffortLoad],
    ) {
        let worst = critical.iter().min_by(|left, right| left.headroom().total_cmp(&right.headroom()));
        let Some(worst) = worst.copied() else {
            self.throttled = SortedMap::default();
            return;
        };
        let since = now.since(self.changed_at);
        if worst.headroom() < THROTTLE_HEADROOM && since >= THROTTLE_INTERVAL {
            let effect = |load: &BestEffortLoad| model.coefficient(worst.image, load.image) * load.share;
            let running = best_effort.iter().filter(|load| load.share > 0.0 && self.rate(load.image) > 0);
            let strongest = running.max_by(|left, right| effect(left).total_cmp(&effect(right)));
            if let Some(strongest) = strongest {
                let halved = self.rate(strongest.image) / 2;
                self.throttled.insert(strongest.image, if halved < MIN_RATE_PERCENT { 0 } else { halved });
                self.changed_at = now;
            }
        } else if worst.headroom() > RELEASE_HEADROOM && since >= RELEASE_INTERVAL {
            let coefficient = |image: ImageIndex| model.coefficient(worst.image, image);
            let weakest = self.throttled.iter().map(|(image, rate)| (*image, *rate));
            let weakest = weakest.min_by(|left, right| coefficient(left.0).total_cmp(&coefficient(right.0)));
            if let Some((image, rate)) = weakest {
                let raised = rate.saturating_add(RELEASE_STEP_PERCENT);
                if raised >= FULL_RATE_PERCENT {
                    self.throttled.remove(&image);
                } else {
                    self.throttled.insert(image, raised);
                }
                self.changed_at = now;
            }
        }
    }

    /// Returns the rate of an image's tasks in percent of full speed.
    pub(crate) fn rate(&self, image: ImageIndex) -> u8 {
        self.throttled.get(&image).copied().unwrap_or(FULL_RATE_PERCENT)
    }
}
