//! The waiting steps of one account in a scheduling cycle.

use std::ops::Range;

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize};

use crate::JobId;
use crate::step_class::{STEP_CLASSES, StepClass};

/// How many steps of a class that could not start even beside the account's long-running tasks alone are examined in a
/// cycle. Such steps do not hold back those after them.
const MAX_OVERSIZED_LOOKS: usize = 32;

/// The waiting steps of one account in a scheduling cycle, and what its limit has done to them. The default is that of
/// an account without waiting steps.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountCycle {
    /// The rows of the open band that are left, by class.
    queues: [Range<usize>; STEP_CLASSES],
    /// The classes whose steps get nothing more in this cycle.
    held: [bool; STEP_CLASSES],
    /// The number of jobs with waiting steps, by the class of the first of them.
    waiting: [u32; STEP_CLASSES],
    /// The number of these whose first waiting step has been served.
    served: [u32; STEP_CLASSES],
    /// The jobs of the steps that could not start even beside the account's long-running tasks alone, by class.
    oversized: [Vec<JobId>; STEP_CLASSES],
    /// The number of steps that the limit has held back.
    limit_looks: u32,
    /// The jobs that the limit has not held back, sorted at the end of the cycle.
    served_jobs: Vec<JobId>,
    /// The index from which the tasks of the first row have not been tried.
    pub(crate) next_index: u32,
    /// The number of tasks of the first row that have been placed.
    pub(crate) placed: u32,
}

/// Read-only methods.
impl AccountCycle {
    /// Returns the first rows of the classes that may get capacity.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (StepClass, usize)> + '_ {
        let open = StepClass::ALL.into_iter().filter(|class| !self.is_held(*class));
        open.filter_map(|class| self.queues[class as usize].clone().next().map(|row| (class, row)))
    }

    /// Returns true if steps of the class get nothing more in the cycle.
    pub(crate) const fn is_held(&self, class: StepClass) -> bool {
        self.held[class as usize]
    }

    /// Returns true if steps of the class and job waited for the limit in the cycle that has ended.
    pub(crate) fn was_held(&self, class: StepClass, job: JobId) -> bool {
        let is_held = self.is_held(class) || self.oversized[class as usize].contains(&job);
        is_held && self.served_jobs.binary_search(&job).is_err()
    }

    /// Returns true if the limit has held back a step.
    pub(crate) const fn is_limited(&self) -> bool {
        self.limit_looks > 0
    }

    pub(crate) fn limit_looks(&self) -> u64 {
        u64::from(self.limit_looks)
    }

    pub(crate) fn waiting_jobs(&self) -> usize {
        self.waiting.iter().sum::<u32>() as usize
    }

    /// Returns how many jobs wait for the limit: those of held classes, and those that were examined.
    pub(crate) fn limited_jobs(&self) -> usize {
        let of_class = |class: StepClass| {
            let class = class as usize;
            if self.held[class] {
                self.waiting[class].saturating_sub(self.served[class])
            } else {
                u32::try_from(self.oversized[class].len()).unwrap_or(u32::MAX).min(self.waiting[class])
            }
        };
        StepClass::ALL.into_iter().map(of_class).sum::<u32>() as usize
    }
}

/// Methods that change the state.
impl AccountCycle {
    pub(crate) fn add_waiting(&mut self, class: StepClass) {
        self.waiting[class as usize] += 1;
    }

    /// Sets the rows of a band.
    pub(crate) fn open(&mut self, class: StepClass, rows: Range<usize>) {
        self.queues[class as usize] = rows;
    }

    /// Records that a job gets a turn.
    pub(crate) fn note_turn(&mut self, job: JobId) {
        if self.served_jobs.last() != Some(&job) {
            self.served_jobs.push(job);
        }
    }

    /// Removes the first row of a class, which is the first row of the account.
    pub(crate) fn advance(&mut self, class: StepClass, is_served: bool) {
        self.queues[class as usize].next();
        self.served[class as usize] += u32::from(is_served);
        (self.next_index, self.placed) = (0, 0);
    }

    /// Records that the limit does not permit the first row of a class although it will once other tasks have ended.
    /// Nothing that uses the same resources starts before it, because smaller steps would hold it back for ever.
    pub(crate) fn hold(&mut self, class: StepClass, only_accelerators: bool) {
        self.limit_looks += 1;
        self.held[class as usize] = true;
        for other in StepClass::ALL {
            self.held[other as usize] |= !only_accelerators || other.uses_accelerators();
        }
    }

    /// Skips the first row of a class, which could not start even beside the account's long-running tasks alone.
    pub(crate) fn skip_oversized(&mut self, class: StepClass, job: JobId) {
        self.limit_looks += 1;
        self.oversized[class as usize].push(job);
        self.held[class as usize] |= self.oversized[class as usize].len() >= MAX_OVERSIZED_LOOKS;
        self.advance(class, false);
    }

    /// Ends the cycle.
    pub(crate) fn end(&mut self) {
        self.served_jobs.sort_unstable();
    }
}

/// Returns a size multiplied by a number of tasks, or `None` if an amount is too large to represent.
pub(crate) fn total_size(size: &ResourceSize, count: u32) -> Option<ResourceSize> {
    let cores = size.cores.get().checked_mul(count)?;
    let memory = size.memory.get().checked_mul(u64::from(count))?;
    let accelerators = u32::from(size.accelerators.get()).checked_mul(count)?;
    Some(ResourceSize {
        cores: MilliCores::new(cores),
        memory: MemoryBytes::new(memory),
        accelerators: AcceleratorCount::new(u16::try_from(accelerators).ok()?),
    })
}
