//! Identifiers of jobs, tasks and runs.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{UnitError, number_type};
use serde::{Deserialize, Serialize};

number_type! {
    /// Counts the starts of one task from 1.
    RunNumber(u32)
}
number_type! {
    /// Grows with each leader; workers ignore orders that carry a lower one than they have seen.
    FencingToken(u64)
}
number_type! {
    /// The position of an end in a worker's list, counted from 1 in each life of the worker.
    EndNumber(u64)
}

/// The id that a caller draws for its job. The text is 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(u64);

/// The digits of a job's id.
const JOB_DIGITS: usize = 16;

impl JobId {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl Display for JobId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.len() == JOB_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or_else(|| UnitError::invalid("job id", text, "16 lower-case hexadecimal digits"))
    }
}

/// One task of a step of an occurrence of a job. The text is `<job>.<occurrence>.<step>.<index>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Returns the first and the last key that a task of the job can have.
    #[must_use]
    pub const fn bounds(job: JobId) -> (Self, Self) {
        (
            Self { job, occurrence: 0, step: 0, index: 0 },
            Self { job, occurrence: u32::MAX, step: u16::MAX, index: u32::MAX },
        )
    }

    /// Tells whether both belong to the same step of the same occurrence.
    #[must_use]
    pub fn same_step(&self, other: &Self) -> bool {
        (self.job, self.occurrence, self.step) == (other.job, other.occurrence, other.step)
    }
}

impl Display for TaskKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let parse = || {
            let mut parts = text.split('.');
            let (job, occurrence, step, index) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
            parts.next().is_none().then_some(())?;
            Some(Self {
                job: job.parse().ok()?,
                occurrence: occurrence.parse().ok()?,
                step: step.parse().ok()?,
                index: index.parse().ok()?,
            })
        };
        parse().ok_or_else(|| UnitError::invalid("task", text, "<job>.<occurrence>.<step>.<index>"))
    }
}
