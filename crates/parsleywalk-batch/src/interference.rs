//! Model of how much each best-effort image interferes with each latency-critical image.
//!
//! A latency-critical task behaves like a queue: its tail latency grows as `base / (1 - load)`. The load derived from a
//! tail latency is therefore nearly linear in the CPU use of the tasks beside it, which makes a linear model of the
//! load sufficient.

use crate::SortedMap;

/// Initial coefficient of an image pair: the load added per share of the worker's cores in use. It lies between
/// harmless and harmful pairs, so that unknown pairs are tried where there is headroom.
pub(crate) const INITIAL_COEFFICIENT: f32 = 1.0;
/// The fraction of a prediction error applied to the coefficients.
const COEFFICIENT_LEARNING_RATE: f32 = 0.15;
/// The fraction of a prediction error attributed to a change of the task's own load.
const OWN_LOAD_LEARNING_RATE: f32 = 0.3;
/// Added to the squared norm in the update, so that small CPU shares do not absorb large errors.
const NORM_REGULARIZATION: f32 = 0.01;
/// The own load assumed for a latency-critical task before its first report.
const INITIAL_OWN_LOAD: f32 = 0.4;
/// Ratio of unloaded tail latency to objective that is assumed until a lower one is observed.
const INITIAL_BASE_RATIO: f32 = 0.25;
/// Loads above this cannot be distinguished by their tail latencies.
const SATURATED_LOAD: f32 = 0.95;

/// An image pair with a coefficient above this is incompatible and should not share a worker.
const INCOMPATIBLE_COEFFICIENT: f32 = 1.3;

/// The index of an image name in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ImageIndex(u16);

impl ImageIndex {
    /// Returns the position of the image in lists by image.
    pub(crate) fn position(self) -> usize {
        usize::from(self.0)
    }
}

/// The load of a latency-critical task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CriticalLoad {
    pub(crate) image: ImageIndex,
    /// The load derived from the task's tail latency.
    pub(crate) load: f32,
    /// The load at which the tail latency reaches its objective.
    pub(crate) limit: f32,
}

impl CriticalLoad {
    /// Returns the additional load that the task can take before it misses its objective.
    pub(crate) fn headroom(&self) -> f32 {
        self.limit - self.load
    }
}

/// The best-effort tasks of one image on a worker, with the share of the worker's cores that they use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BestEffortLoad {
    pub(crate) image: ImageIndex,
    pub(crate) share: f32,
}

/// A linear model of latency-critical loads, learned from worker reports by normalised least mean squares.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    indexes: SortedMap<String, ImageIndex>,
    /// The coefficients of the best-effort images that have run beside a latency-critical one, by the index of the
    /// latter.
    coefficients: Vec<SortedMap<ImageIndex, f32>>,
    /// The best-effort images in the order of their first report.
    best_effort: Vec<ImageIndex>,
    /// Incremented whenever the compatibility of a pair of images changes.
    compatibility_version: u64,
    /// The lowest observed ratio of tail latency to objective, by image.
    base_ratios: SortedMap<ImageIndex, f32>,
}

impl InterferenceModel {
    /// Returns the index of an image, assigning one on first use.
    pub(crate) fn image_index(&mut self, image: &str) -> ImageIndex {
        if let Some(image_index) = self.find_image(image) {
            return image_index;
        }
        let next = ImageIndex(u16::try_from(self.indexes.len()).unwrap_or(u16::MAX));
        self.indexes.insert(image.to_owned(), next);
        next
    }

    /// Returns the index of an image that has been used before.
    pub(crate) fn find_image(&self, image: &str) -> Option<ImageIndex> {
        self.indexes.find(|name| name.as_str().cmp(image)).copied()
    }

    /// Converts a ratio of tail latency to objective into a load.
    pub(crate) fn critical_load(&mut self, image: ImageIndex, ratio: f32) -> CriticalLoad {
        let base = self.base_ratios.entry(image, || INITIAL_BASE_RATIO);
        *base = base.min(ratio);
        CriticalLoad { image, load: 1.0 - *base / ratio, limit: 1.0 - *base }
    }

    /// Updates the model from a new measurement of a latency-critical task. `own_load` is the task's load without
    /// interference and is updated as well.
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
                self.compatibility_version += 1;
            }
            let row = critical.image.position();
            if self.coefficients.len() <= row {
                self.coefficients.resize_with(row + 1, SortedMap::default);
            }
            let coefficient = self.coefficients[row].entry(load.image, || INITIAL_COEFFICIENT);
            let was_incompatible = *coefficient > INCOMPATIBLE_COEFFICIENT;
            *coefficient = (*coefficient + COEFFICIENT_LEARNING_RATE * error * load.share / norm).max(0.0);
            self.compatibility_version += u64::from(was_incompatible != (*coefficient > INCOMPATIBLE_COEFFICIENT));
        }
    }

    /// Returns a number that changes whenever the compatibility of a pair of images does.
    pub(crate) fn compatibility_version(&self) -> u64 {
        self.compatibility_version
    }

    /// Returns the coefficients of a best-effort image, by the position of the latency-critical image. Images beyond
    /// the end have [`INITIAL_COEFFICIENT`].
    pub(crate) fn coefficients_of(&self, best_effort: ImageIndex) -> Vec<f32> {
        let coefficient = |row: &SortedMap<ImageIndex, f32>| row.get(&best_effort).copied();
        self.coefficients.iter().map(|row| coefficient(row).unwrap_or(INITIAL_COEFFICIENT)).collect()
    }

    /// Returns the best-effort images that are incompatible with a latency-critical one.
    pub(crate) fn incompatible_with(&self, critical: ImageIndex) -> Vec<ImageIndex> {
        self.best_effort.iter().copied().filter(|best_effort| self.is_incompatible(critical, *best_effort)).collect()
    }

    /// Returns how many of the best-effort images are compatible with all given latency-critical images.
    pub(crate) fn count_compatible_among(&self, best_effort: &[ImageIndex], critical: &[ImageIndex]) -> u32 {
        let is_compatible =
            |best_effort: &&ImageIndex| critical.iter().all(|image| !self.is_incompatible(*image, **best_effort));
        u32::try_from(best_effort.iter().filter(is_compatible).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of best-effort images that are compatible with all given latency-critical images.
    pub(crate) fn count_compatible(&self, critical: &[ImageIndex]) -> u32 {
        self.count_compatible_among(&self.best_effort, critical)
    }

    fn is_incompatible(&self, critical: ImageIndex, best_effort: ImageIndex) -> bool {
        self.coefficient(critical, best_effort) > INCOMPATIBLE_COEFFICIENT
    }

    /// Returns the load that a best-effort image adds to a latency-critical one, per share of the worker's cores in
    /// use.
    pub(crate) fn coefficient(&self, critical: ImageIndex, best_effort: ImageIndex) -> f32 {
        let row = self.coefficients.get(critical.position());
        row.and_then(|row| row.get(&best_effort)).copied().unwrap_or(INITIAL_COEFFICIENT)
    }
}
