//! All jobs that are kept, and cancels that arrived before their job.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use parsleywalk_units::{JobKey, StateTime};
use serde::{Deserialize, Serialize};

use crate::{JobNumber, JobRecord, TaskEnd};

/// How long an ended job is kept, so that a resend of it starts nothing.
const ENDED_KEPT: Duration = Duration::from_hours(72);
/// The ended jobs that are kept at most: four days of the projected 25,000 a day.
const ENDED_LIMIT: usize = 100_000;
/// The results of ended jobs that are kept at most, in bytes; the oldest are dropped first, the job's phase stays.
const RESULT_LIMIT: u64 = 16 << 20;
/// How long a cancel waits for its job.
const CANCEL_KEPT: Duration = Duration::from_hours(1);
/// The waiting cancels that are kept at most.
pub(crate) const CANCEL_LIMIT: usize = 100_000;
/// The jobs or cancels that one command drops at most, so that no single command takes long.
const DROPPED_PER_COMMAND: usize = 64;

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobTable {
    next: u32,
    records: BTreeMap<JobNumber, Box<JobRecord>>,
    /// Ended jobs in the order of their end.
    ended: VecDeque<JobNumber>,
    /// The number of jobs at the front of `ended` whose results were dropped.
    trimmed: usize,
    result_bytes: u64,
    /// Cancels that wait for their job, with the time at which they are dropped.
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

    /// Records that the last task of a job has ended.
    pub(crate) fn end(&mut self, number: JobNumber, now: StateTime) {
        let record = self.records.get_mut(&number).expect("the caller holds a live job");
        record.ended_at = Some(now);
        record.arguments = Box::default();
        record.ends.sort_by_key(|end| end.task);
        record.ends.shrink_to_fit();
        self.result_bytes += record.ends.iter().map(TaskEnd::weight).sum::<u64>();
        self.ended.push_back(number);
        self.trim_results();
    }

    fn trim_results(&mut self) {
        while self.result_bytes > RESULT_LIMIT
            && let Some(number) = self.ended.get(self.trimmed)
            && let Some(record) = self.records.get_mut(number)
        {
            self.trimmed += 1;
            record.trimmed = true;
            self.result_bytes -= record.ends.iter().map(TaskEnd::weight).sum::<u64>();
            record.ends = Vec::new();
        }
    }

    /// Keeps a cancel for a job that may still arrive; `false` when there is no room.
    pub(crate) fn await_job(&mut self, key: JobKey, now: StateTime) -> bool {
        if self.cancels.contains_key(&key) {
            return true;
        }
        if self.cancels.len() >= CANCEL_LIMIT {
            return false;
        }
        let expires = now.saturating_add(CANCEL_KEPT);
        self.cancel_expiries.insert((expires, key.clone()));
        self.cancels.insert(key, expires);
        true
    }

    /// Takes the waiting cancel of a job; `false` when there is none.
    pub(crate) fn take_cancel(&mut self, key: &JobKey, now: StateTime) -> bool {
        let Some(expires) = self.cancels.remove(key) else { return false };
        self.cancel_expiries.remove(&(expires, key.clone()));
        expires > now
    }

    /// Drops what has been kept for its time.
    pub(crate) fn expire(&mut self, now: StateTime) {
        for _ in 0..DROPPED_PER_COMMAND {
            let Some(record) = self.ended.front().and_then(|number| self.records.get(number)) else { break };
            let is_old = record.ended_at.is_some_and(|ended| now.since(ended) >= ENDED_KEPT);
            if !is_old && self.ended.len() <= ENDED_LIMIT {
                break;
            }
            self.drop_oldest();
        }
        for _ in 0..DROPPED_PER_COMMAND {
            match self.cancel_expiries.first() {
                Some((expires, _)) if *expires <= now => {}
                _ => break,
            }
            if let Some((_, key)) = self.cancel_expiries.pop_first() {
                self.cancels.remove(&key);
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some(number) = self.ended.pop_front() else { return };
        self.trimmed = self.trimmed.saturating_sub(1);
        if let Some(record) = self.records.remove(&number) {
            self.result_bytes -= record.ends.iter().map(TaskEnd::weight).sum::<u64>();
            self.numbers.remove(&record.key);
        }
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut JobRecord> {
        self.records.values_mut().map(AsMut::as_mut)
    }

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

    pub(crate) fn waiting_cancels(&self) -> usize {
        self.cancels.len()
    }

    pub(crate) fn is_consistent(&self) -> bool {
        let kept: u64 = self
            .ended
            .iter()
            .filter_map(|number| self.records.get(number))
            .flat_map(|record| record.ends.iter().map(TaskEnd::weight))
            .sum();
        self.records.len() == self.numbers.len()
            && self.numbers.iter().all(|(key, number)| self.records.get(number).is_some_and(|it| it.key == *key))
            && kept == self.result_bytes
            && self.ended.len() == self.records.values().filter(|record| record.ended_at.is_some()).count()
            && self.cancels.len() == self.cancel_expiries.len()
            && self.cancels.len() <= CANCEL_LIMIT
    }
}
