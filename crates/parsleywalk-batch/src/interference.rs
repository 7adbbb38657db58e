//! How much each kind of filling task disturbs each kind of serving task.
//!
//! A serving task behaves like a queue: its tail latency grows as `base / (1 - load)`. The load that a tail latency
//! stands for is therefore nearly linear in what works beside the task, and is what the model predicts.

use crate::SortedTable;

/// The load that a filling image adds for each share of its worker's processors that it uses, before anything is known.
/// Between that of harmless and of harmful pairs, so that unknown pairs are tried where there is room.
const UNKNOWN_COEFFICIENT: f32 = 1.0;
/// The part of a prediction's error that a report corrects.
const LEARNING_RATE: f32 = 0.15;
/// The part of a prediction's error that is taken for a change of the task's own load.
const LEVEL_RATE: f32 = 0.3;
/// Keeps tiny shares from being taken for the cause of large errors.
const SHARE_FLOOR: f32 = 0.01;
/// The load of a serving task before its first report.
const UNKNOWN_LEVEL: f32 = 0.4;
/// Tail latency without load over the target, before lower values are seen.
const BASE_RATIO: f32 = 0.25;
/// Loads above this can't be told apart by their tail latencies.
const FULL_LOAD: f32 = 0.95;

/// Pairs with a coefficient above this disturb each other so much that they don't belong on one worker.
const HARMFUL_COEFFICIENT: f32 = 1.3;

/// The position of an image's name in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ImageNumber(u16);

/// A serving task of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServingLoad {
    pub(crate) image: ImageNumber,
    /// The load that its tail latency stands for.
    pub(crate) load: f32,
    /// The load at which its tail latency meets its target.
    pub(crate) limit: f32,
}

impl ServingLoad {
    /// How much more load the task bears before it misses its target.
    pub(crate) fn headroom(&self) -> f32 {
        self.limit - self.load
    }
}

/// The filling tasks of one image on a worker: the share of its processors that they use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct FillingLoad {
    pub(crate) image: ImageNumber,
    pub(crate) share: f32,
}

/// A linear estimate of serving tasks' loads, learned from workers' reports by normalised least mean squares.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    names: SortedTable<String, ImageNumber>,
    coefficients: SortedTable<(ImageNumber, ImageNumber), f32>,
    /// The filling images, in the order of their first report.
    filling: Vec<ImageNumber>,
    /// The lowest tail latency over target that was seen of each image.
    bases: SortedTable<ImageNumber, f32>,
}

impl InterferenceModel {
    /// Returns the number of an image, which is assigned at its first use.
    pub(crate) fn number(&mut self, image: &str) -> ImageNumber {
        if let Some(number) = self.known_number(image) {
            return number;
        }
        let next = ImageNumber(u16::try_from(self.names.len()).unwrap_or(u16::MAX));
        self.names.insert(image.to_owned(), next);
        next
    }

    /// Returns the number of an image that was used before.
    pub(crate) fn known_number(&self, image: &str) -> Option<ImageNumber> {
        self.names.find(|name| name.as_str().cmp(image)).copied()
    }

    /// Turns a tail latency over its target into the load that it stands for.
    pub(crate) fn load(&mut self, image: ImageNumber, ratio: f32) -> ServingLoad {
        let base = self.bases.entry(image, || BASE_RATIO);
        *base = base.min(ratio);
        ServingLoad { image, load: 1.0 - *base / ratio, limit: 1.0 - *base }
    }

    /// Learns from a new figure of a serving task. `level` is the task's own load, without what works beside it, and is
    /// corrected too.
    pub(crate) fn observe(&mut self, serving: ServingLoad, level: &mut Option<f32>, filling: &[FillingLoad]) {
        let added: f32 = filling.iter().map(|load| self.coefficient(serving.image, load.image) * load.share).sum();
        let before = level.unwrap_or(UNKNOWN_LEVEL);
        let predicted = before + added;
        let error =
            if predicted > FULL_LOAD && serving.load > FULL_LOAD { 0.0 } else { serving.load - predicted.min(1.0) };
        *level = Some((before + LEVEL_RATE * error).clamp(0.0, FULL_LOAD));
        let norm: f32 = filling.iter().map(|load| load.share * load.share).sum::<f32>() + SHARE_FLOOR;
        for load in filling {
            if !self.filling.contains(&load.image) {
                self.filling.push(load.image);
            }
            let coefficient = self.coefficients.entry((serving.image, load.image), || UNKNOWN_COEFFICIENT);
            *coefficient = (*coefficient + LEARNING_RATE * error * load.share / norm).max(0.0);
        }
    }

    /// The number of filling images that disturb none of the serving images.
    pub(crate) fn welcome(&self, serving: &[ImageNumber]) -> u32 {
        let welcome = |filling: &&ImageNumber| serving.iter().all(|image| !self.is_harmful(*image, **filling));
        u32::try_from(self.filling.iter().filter(welcome).count()).unwrap_or(u32::MAX)
    }

    fn is_harmful(&self, serving: ImageNumber, filling: ImageNumber) -> bool {
        self.coefficient(serving, filling) > HARMFUL_COEFFICIENT
    }

    /// The load that a filling image adds to a serving one, for each share of the worker's processors that it uses.
    pub(crate) fn coefficient(&self, serving: ImageNumber, filling: ImageNumber) -> f32 {
        self.coefficients.get(&(serving, filling)).copied().unwrap_or(UNKNOWN_COEFFICIENT)
    }
}
