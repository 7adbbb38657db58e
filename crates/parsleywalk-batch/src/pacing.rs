//! The speed of filling tasks beside serving ones.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::SortedTable;
use crate::interference::{FillingLoad, ImageNumber, InterferenceModel, ServingLoad};

/// Headroom of load below which filling tasks are slowed.
const SLOW_HEADROOM: f32 = 0.01;
/// Headroom of load above which they are sped up again.
const RELEASE_HEADROOM: f32 = 0.05;
/// The wait after a slowing before the next one; a report's figure covers half a second, and an order takes effect after
/// a tenth.
const SLOW_INTERVAL: Duration = Duration::from_millis(600);
/// The wait after a change before the next speeding up.
const RELEASE_INTERVAL: Duration = Duration::from_millis(600);
/// Rates below this are taken down to zero, in percent.
const LEAST_RATE: u8 = 20;
/// Added to a rate at each speeding up, in percent.
const RELEASE_STEP: u8 = 50;
/// Full speed, in percent.
const FULL_RATE: u8 = 100;

/// The rates of a worker's filling images. While a serving task is near its latency objective, the image that disturbs it
/// most is slowed; once all are well below, the image that disturbs least is sped up.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceController {
    slowed: SortedTable<ImageNumber, u8>,
    changed: MonotonicTime,
}

impl PaceController {
    /// Takes the worker's loads after a report.
    pub(crate) fn observe(
        &mut self,
        now: MonotonicTime,
        model: &InterferenceModel,
        serving: &[ServingLoad],
        filling: &[FillingLoad],
    ) {
        let worst = serving.iter().min_by(|left, right| left.headroom().total_cmp(&right.headroom()));
        let Some(worst) = worst.copied() else {
            self.slowed = SortedTable::default();
            return;
        };
        let since = now.since(self.changed);
        if worst.headroom() < SLOW_HEADROOM && since >= SLOW_INTERVAL {
            let effect = |load: &FillingLoad| model.coefficient(worst.image, load.image) * load.share;
            let running = filling.iter().filter(|load| load.share > 0.0 && self.rate(load.image) > 0);
            let culprit = running.max_by(|left, right| effect(left).total_cmp(&effect(right)));
            if let Some(culprit) = culprit {
                let halved = self.rate(culprit.image) / 2;
                self.slowed.insert(culprit.image, if halved < LEAST_RATE { 0 } else { halved });
                self.changed = now;
            }
        } else if worst.headroom() > RELEASE_HEADROOM && since >= RELEASE_INTERVAL {
            let harm = |image: ImageNumber| model.coefficient(worst.image, image);
            let gentlest = self.slowed.iter().map(|(image, rate)| (*image, *rate));
            let gentlest = gentlest.min_by(|left, right| harm(left.0).total_cmp(&harm(right.0)));
            if let Some((image, rate)) = gentlest {
                let raised = rate.saturating_add(RELEASE_STEP);
                if raised >= FULL_RATE {
                    self.slowed.remove(&image);
                } else {
                    self.slowed.insert(image, raised);
                }
                self.changed = now;
            }
        }
    }

    /// The rate for an image's filling tasks, in percent.
    pub(crate) fn rate(&self, image: ImageNumber) -> u8 {
        self.slowed.get(&image).copied().unwrap_or(FULL_RATE)
    }
}
