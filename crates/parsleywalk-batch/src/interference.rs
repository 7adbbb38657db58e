//! How much each kind of filling task disturbs each kind of serving task.

use crate::SortedTable;

/// The growth of a serving task's logarithmic tail latency for each share of its worker's processors that a filling
/// image uses, before anything is known. Low, so that unknown pairs are tried.
const UNKNOWN_COEFFICIENT: f32 = 1.5;
/// The part of a prediction's error that a report corrects.
const LEARNING_RATE: f32 = 0.05;
/// The part of a prediction's error that goes to the image's own level.
const LEVEL_RATE: f32 = 0.01;
/// Keeps tiny shares from being taken for the cause of large errors.
const SHARE_FLOOR: f32 = 0.02;
/// The level of a serving image before its first report: a third of the target.
const UNKNOWN_LEVEL: f32 = -1.1;

/// The position of an image's name in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ImageNumber(u16);

/// A serving task of a worker: its image and the logarithm of its tail latency over its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServingLoad {
    pub(crate) image: ImageNumber,
    pub(crate) excess: f32,
}

/// The filling tasks of one image on a worker: the share of its processors that they use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct FillingLoad {
    pub(crate) image: ImageNumber,
    pub(crate) share: f32,
}

/// A linear estimate of the logarithmic tail latency, learned from workers' reports by normalised least mean squares.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    names: SortedTable<String, ImageNumber>,
    coefficients: SortedTable<(ImageNumber, ImageNumber), f32>,
    levels: SortedTable<ImageNumber, f32>,
}

impl InterferenceModel {
    /// Returns the number of an image, which is assigned at its first use.
    pub(crate) fn number(&mut self, image: &str) -> ImageNumber {
        let next = ImageNumber(u16::try_from(self.names.len()).unwrap_or(u16::MAX));
        *self.names.entry(image.to_owned(), || next)
    }

    /// Returns the number of an image that was used before.
    pub(crate) fn known_number(&self, image: &str) -> Option<ImageNumber> {
        self.names.get(&image.to_owned()).copied()
    }

    /// Learns from one report.
    pub(crate) fn observe(&mut self, serving: ServingLoad, filling: &[FillingLoad]) {
        let level = *self.levels.entry(serving.image, || UNKNOWN_LEVEL);
        let predicted: f32 =
            filling.iter().map(|load| self.coefficient(serving.image, load.image) * load.share).sum();
        let error = serving.excess - level - predicted;
        self.levels.insert(serving.image, level + LEVEL_RATE * error);
        let norm: f32 = filling.iter().map(|load| load.share * load.share).sum::<f32>() + SHARE_FLOOR;
        for load in filling {
            let coefficient = self.coefficients.entry((serving.image, load.image), || UNKNOWN_COEFFICIENT);
            *coefficient = (*coefficient + LEARNING_RATE * error * load.share / norm).max(0.0);
        }
    }

    /// How much a filling image disturbs a serving one.
    pub(crate) fn coefficient(&self, serving: ImageNumber, filling: ImageNumber) -> f32 {
        self.coefficients.get(&(serving, filling)).copied().unwrap_or(UNKNOWN_COEFFICIENT)
    }
}
