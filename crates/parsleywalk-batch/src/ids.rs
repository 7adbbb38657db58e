//! Identifiers of jobs, tasks and runs.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{UnitError, number_type};
use serde::{Deserialize, Serialize};

number_type! {
    /// Number of a run of a task, counted from 1.
    RunNumber(u32)
}
number_type! {
    /// Fencing token that grows with each leader. A worker ignores orders with a lower token than it has seen.
    FencingToken(u64)
}
number_type! {
    /// Number of a run end in a worker's list, counted from 1 in each incarnation of the worker.
    EndNumber(u64)
}

/// Job id chosen by the caller. Its text form is 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(u64);

/// Number of digits in the text form of a job id.
const JOB_DIGITS: usize = 16;

impl JobId {
    /// Creates an id from its numeric value.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns a number below 1000 that is spread evenly over ids, also over consecutive ones.
    pub(crate) const fn spread_permille(self) -> u32 {
        // The upper bits of the product with 2^64 divided by the golden ratio.
        let hash = self.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        ((hash * 1000) >> 32) as u32
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

/// Key of a task within a step of one occurrence of a job. Its text form is `<job>.<occurrence>.<step>.<index>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// The index of the step within the job.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
}

impl TaskKey {
    /// Returns the lowest and the highest key that a task of the job can have.
    #[must_use]
    pub const fn bounds(job: JobId) -> (Self, Self) {
        (
            Self { job, occurrence: 0, step: 0, index: 0 },
            Self { job, occurrence: u32::MAX, step: u16::MAX, index: u32::MAX },
        )
    }

    /// Returns true if both tasks belong to the same step of the same occurrence.
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
