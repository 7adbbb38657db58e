//! The speed of filling tasks beside serving ones.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::SortedMap;
use crate::interference::{BestEffortLoad, CriticalLoad, ImageId, InterferenceModel};

/// Headroom of load below which filling tasks are slowed.
const THROTTLE_HEADROOM: f32 = 0.01;
/// Headroom of load above which they are sped up again.
const RELEASE_HEADROOM: f32 = 0.05;
/// The wait after a slowing before the next one; a report's figure covers half a second, and an order takes effect after
/// a tenth.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(600);
/// The wait after a change before the next speeding up.
const RELEASE_INTERVAL: Duration = Duration::from_millis(600);
/// Rates below this are taken down to zero, in percent.
const MIN_RATE_PERCENT: u8 = 20;
/// Added to a rate at each speeding up, in percent.
const RELEASE_STEP_PERCENT: u8 = 50;
/// Full speed, in percent.
const FULL_RATE_PERCENT: u8 = 100;

/// The rates of a worker's filling images. While a serving task is near its latency objective, the image that disturbs it
/// most is slowed; once all are well below, the image that disturbs least is sped up.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceController {
    throttled: SortedMap<ImageId, u8>,
    changed_at: MonotonicTime,
}

impl PaceController {
    /// Takes the worker's loads after a report.
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
            let coefficient = |image: ImageId| model.coefficient(worst.image, image);
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

    /// The rate for an image's filling tasks, in percent.
    pub(crate) fn rate(&self, image: ImageId) -> u8 {
        self.throttled.get(&image).copied().unwrap_or(FULL_RATE_PERCENT)
    }
}
