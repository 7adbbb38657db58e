//! How much each kind of filling task disturbs each kind of serving task.
//!
//! A serving task behaves like a queue: its tail latency grows as `base / (1 - load)`. The load that a tail latency
//! stands for is therefore nearly linear in what works beside the task, and is what the model predicts.

use crate::SortedMap;

/// The load that a filling image adds for each share of its worker's processors that it uses, before anything is known.
/// Between that of harmless and of harmful pairs, so that unknown pairs are tried where there is room.
const INITIAL_COEFFICIENT: f32 = 1.0;
/// The part of a prediction's error that a report corrects.
const COEFFICIENT_LEARNING_RATE: f32 = 0.15;
/// The part of a prediction's error that is taken for a change of the task's own load.
const OWN_LOAD_LEARNING_RATE: f32 = 0.3;
/// Keeps tiny shares from being taken for the cause of large errors.
const NORM_REGULARIZATION: f32 = 0.01;
/// The load of a serving task before its first report.
const INITIAL_OWN_LOAD: f32 = 0.4;
/// Tail latency without load over the target, before lower values are seen.
const INITIAL_BASE_RATIO: f32 = 0.25;
/// Loads above this can't be told apart by their tail latencies.
const SATURATED_LOAD: f32 = 0.95;

/// Pairs with a coefficient above this disturb each other so much that they don't belong on one worker.
const INCOMPATIBLE_COEFFICIENT: f32 = 1.3;

/// The position of an image's name in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ImageId(u16);

/// A serving task of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CriticalLoad {
    pub(crate) image: ImageId,
    /// The load that its tail latency stands for.
    pub(crate) load: f32,
    /// The load at which its tail latency meets its target.
    pub(crate) limit: f32,
}

impl CriticalLoad {
    /// How much more load the task bears before it misses its target.
    pub(crate) fn headroom(&self) -> f32 {
        self.limit - self.load
    }
}

/// The filling tasks of one image on a worker: the share of its processors that they use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BestEffortLoad {
    pub(crate) image: ImageId,
    pub(crate) share: f32,
}

/// A linear estimate of serving tasks' loads, learned from workers' reports by normalised least mean squares.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    ids: SortedMap<String, ImageId>,
    coefficients: SortedMap<(ImageId, ImageId), f32>,
    /// The filling images, in the order of their first report.
    best_effort: Vec<ImageId>,
    /// The lowest tail latency over target that was seen of each image.
    base_ratios: SortedMap<ImageId, f32>,
}

impl InterferenceModel {
    /// Returns the number of an image, which is assigned at its first use.
    pub(crate) fn image_id(&mut self, image: &str) -> ImageId {
        if let Some(image_id) = self.find_image(image) {
            return image_id;
        }
        let next = ImageId(u16::try_from(self.ids.len()).unwrap_or(u16::MAX));
        self.ids.insert(image.to_owned(), next);
        next
    }

    /// Returns the number of an image that was used before.
    pub(crate) fn find_image(&self, image: &str) -> Option<ImageId> {
        self.ids.find(|name| name.as_str().cmp(image)).copied()
    }

    /// Turns a tail latency over its target into the load that it stands for.
    pub(crate) fn critical_load(&mut self, image: ImageId, ratio: f32) -> CriticalLoad {
        let base = self.base_ratios.entry(image, || INITIAL_BASE_RATIO);
        *base = base.min(ratio);
        CriticalLoad { image, load: 1.0 - *base / ratio, limit: 1.0 - *base }
    }

    /// Learns from a new figure of a serving task. `own_load` is the task's own load, without what works beside it, and is
    /// corrected too.
    pub(crate) fn learn(&mut self, critical: CriticalLoad, own_load: &mut Option<f32>, best_effort: &[BestEffortLoad]) {
        let added: f32 = best_effort.iter().map(|load| self.coefficient(critical.image, load.image) * load.share).sum();
        let previous = own_load.unwrap_or(INITIAL_OWN_LOAD);
        let predicted = previous + added;
        let error = if predicted > SATURATED_LOAD && critical.load > SATURATED_LOAD {
            0.0
        } else {
            critical.load - predicted.min(1.0)
        };
        *own_load = Some((previous + OWN_LOAD_LEARNING_RATE * error).clamp(0.0, SATURATED_LOAD));
        let norm: f32 = best_effort.iter().map(|load| load.share * load.share).sum::<f32>() + NORM_REGULARIZATION;
        for load in best_effort {
            if !self.best_effort.contains(&load.image) {
                self.best_effort.push(load.image);
            }
            let coefficient = self.coefficients.entry((critical.image, load.image), || INITIAL_COEFFICIENT);
            *coefficient = (*coefficient + COEFFICIENT_LEARNING_RATE * error * load.share / norm).max(0.0);
        }
    }

    /// The number of filling images that disturb none of the serving images.
    pub(crate) fn count_compatible(&self, critical: &[ImageId]) -> u32 {
        let is_compatible =
            |best_effort: &&ImageId| critical.iter().all(|image| !self.is_incompatible(*image, **best_effort));
        u32::try_from(self.best_effort.iter().filter(is_compatible).count()).unwrap_or(u32::MAX)
    }

    fn is_incompatible(&self, critical: ImageId, best_effort: ImageId) -> bool {
        self.coefficient(critical, best_effort) > INCOMPATIBLE_COEFFICIENT
    }

    /// The load that a filling image adds to a serving one, for each share of the worker's processors that it uses.
    pub(crate) fn coefficient(&self, critical: ImageId, best_effort: ImageId) -> f32 {
        self.coefficients.get(&(critical, best_effort)).copied().unwrap_or(INITIAL_COEFFICIENT)
    }
}
