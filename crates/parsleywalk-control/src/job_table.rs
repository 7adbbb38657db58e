//! Live and recently ended jobs, and cancels that arrived before their job.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use parsleywalk_units::{JobKey, StateTime};
use serde::{Deserialize, Serialize};

use crate::{JobNumber, JobRecord, TaskEnd};

/// The retention of an ended job, during which a resubmission does not run it again.
const ENDED_JOB_RETENTION: Duration = Duration::from_hours(72);
/// The maximum number of ended jobs: four days of the projected 25,000 a day.
const MAX_ENDED_JOBS: usize = 100_000;
/// The maximum size of the results of ended jobs. The oldest results are dropped first; the job's phase is kept.
const MAX_RETAINED_RESULT_BYTES: u64 = 16 << 20;
/// The retention of a cancel whose job has not arrived.
const PENDING_CANCEL_RETENTION: Duration = Duration::from_hours(1);
/// The maximum number of pending cancels; further ones are refused.
pub(crate) const MAX_PENDING_CANCELS: usize = 100_000;
/// The maximum number of jobs, and of cancels, that one command removes, which bounds the time to apply a command.
const MAX_EXPIRED_PER_COMMAND: usize = 64;

/// All jobs and pending cancels, with indexes by key and by expiry time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobTable {
    next: u32,
    records: BTreeMap<JobNumber, Box<JobRecord>>,
    /// Ended jobs in the order in which they ended.
    ended: VecDeque<JobNumber>,
    /// The number of jobs at the front of `ended` whose results were dropped.
    trimmed: usize,
    result_bytes: u64,
    /// Pending cancels with their expiry times.
    cancels: BTreeMap<JobKey, StateTime>,
    #[serde(skip)]
    numbers: BTreeMap<JobKey, JobNumber>,
    #[serde(skip)]
    cancel_expiries: BTreeSet<(StateTime, JobKey)>,
}

/// Commands.
impl JobTable {
    pub(crate) fn insert(&mut self, record: JobRecord) -> JobNumber {
        let number = JobNumber::new(self.next);
        self.next += 1;
        self.numbers.insert(record.key.clone(), number);
        self.records.insert(number, Box::new(record));
        number
    }

    pub(crate) fn get_mut(&mut self, number: JobNumber) -> Option<&mut JobRecord> {
        self.records.get_mut(&number).map(AsMut::as_mut)
    }

    /// Marks a job as ended, because its last task has ended.
    pub(crate) fn end(&mut self, number: JobNumber, now: StateTime) {
        let record = self.records.get_mut(&number).expect("the caller holds a live job");
        record.ended_at = Some(now);
        record.arguments = Box::default();
        record.ends.sort_by_key(|end| end.task);
        record.ends.shrink_to_fit();
        self.result_bytes += record.ends.iter().map(TaskEnd::memory_bytes).sum::<u64>();
        self.ended.push_back(number);
        self.drop_oldest_results();
    }

    fn drop_oldest_results(&mut self) {
        while self.result_bytes > MAX_RETAINED_RESULT_BYTES
            && let Some(number) = self.ended.get(self.trimmed)
            && let Some(record) = self.records.get_mut(number)
        {
            self.trimmed += 1;
            record.trimmed = true;
            self.result_bytes -= record.ends.iter().map(TaskEnd::memory_bytes).sum::<u64>();
            record.ends = Vec::new();
        }
    }

    /// Keeps a cancel for a job that may still arrive. Returns false if the maximum number is reached.
    pub(crate) fn add_pending_cancel(&mut self, key: JobKey, now: StateTime) -> bool {
        if self.cancels.contains_key(&key) {
            return true;
        }
        if self.cancels.len() >= MAX_PENDING_CANCELS {
            return false;
        }
        let expires = now.saturating_add(PENDING_CANCEL_RETENTION);
        self.cancel_expiries.insert((expires, key.clone()));
        self.cancels.insert(key, expires);
        true
    }

    /// Removes the pending cancel of a job. Returns false if there is none or it has expired.
    pub(crate) fn take_pending_cancel(&mut self, key: &JobKey, now: StateTime) -> bool {
        let Some(expires) = self.cancels.remove(key) else { return false };
        self.cancel_expiries.remove(&(expires, key.clone()));
        expires > now
    }

    /// Removes ended jobs and pending cancels whose retention is over, and ended jobs beyond the maximum number.
    pub(crate) fn expire(&mut self, now: StateTime) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            let Some(record) = self.ended.front().and_then(|number| self.records.get(number)) else { break };
            let is_old = record.ended_at.is_some_and(|ended| now.since(ended) >= ENDED_JOB_RETENTION);
            if !is_old && self.ended.len() <= MAX_ENDED_JOBS {
                break;
            }
            self.remove_oldest_ended();
        }
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            match self.cancel_expiries.first() {
                Some((expires, _)) if *expires <= now => {}
                _ => break,
            }
            if let Some((_, key)) = self.cancel_expiries.pop_first() {
                self.cancels.remove(&key);
            }
        }
    }

    fn remove_oldest_ended(&mut self) {
        let Some(number) = self.ended.pop_front() else { return };
        self.trimmed = self.trimmed.saturating_sub(1);
        if let Some(record) = self.records.remove(&number) {
            self.result_bytes -= record.ends.iter().map(TaskEnd::memory_bytes).sum::<u64>();
            self.numbers.remove(&record.key);
        }
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut JobRecord> {
        self.records.values_mut().map(AsMut::as_mut)
    }

    /// Rebuilds the indexes, which a snapshot leaves out.
    pub(crate) fn rebuild(&mut self) {
        self.numbers = self.records.iter().map(|(number, record)| (record.key.clone(), *number)).collect();
        self.cancel_expiries = self.cancels.iter().map(|(key, expires)| (*expires, key.clone())).collect();
    }
}

/// Queries.
impl JobTable {
    pub(crate) fn number(&self, key: &JobKey) -> Option<JobNumber> {
        self.numbers.get(key).copied()
    }

    pub(crate) fn get(&self, number: JobNumber) -> Option<&JobRecord> {
        self.records.get(&number).map(AsRef::as_ref)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobNumber, &JobRecord)> {
        self.records.iter().map(|(number, record)| (*number, record.as_ref()))
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len() + self.cancels.len()
    }

    pub(crate) fn pending_cancels(&self) -> usize {
        self.cancels.len()
    }

    /// Returns true if the indexes and totals match the records and the limits are kept.
    pub(crate) fn is_consistent(&self) -> bool {
        let retained_bytes: u64 = self
            .ended
            .iter()
            .filter_map(|number| self.records.get(number))
            .flat_map(|record| record.ends.iter().map(TaskEnd::memory_bytes))
            .sum();
        self.records.len() == self.numbers.len()
            && self
                .numbers
                .iter()
                .all(|(key, number)| self.records.get(number).is_some_and(|record| record.key == *key))
            && retained_bytes == self.result_bytes
            && self.ended.len() == self.records.values().filter(|record| record.ended_at.is_some()).count()
            && self.cancels.len() == self.cancel_expiries.len()
            && self.cancels.len() <= MAX_PENDING_CANCELS
    }
}
