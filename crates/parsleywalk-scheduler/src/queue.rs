//! Queue of tasks, in groups of interchangeable tasks.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parsleywalk_shares::{AccountIndex, ShareLedger};
use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};

use crate::WaitReason;

/// Priority of queued tasks, independent of their team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum QueuePriority {
    Critical = 0,
    Urgent = 1,
    Batch = 2,
}

impl QueuePriority {
    pub(crate) const ALL: [Self; 3] = [Self::Critical, Self::Urgent, Self::Batch];
}

/// Properties that tasks of one group share, so that a search that fails for one fails for all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GroupKey {
    pub(crate) team: u32,
    pub(crate) service: u32,
    pub(crate) priority: QueuePriority,
    pub(crate) size: ResourceSize,
    pub(crate) run_time: Option<Duration>,
    /// The task itself if it failed before: it forms a separate group, because it avoids some workers.
    pub(crate) failed_before: Option<TaskId>,
}

/// Queued tasks with the same key.
#[derive(Debug, Clone)]
struct QueueGroup {
    key: GroupKey,
    tasks: BTreeSet<TaskId>,
    /// End of the backoff after a failed search.
    backoff_until: Option<MonotonicTime>,
    /// Failed searches since the group last placed a task.
    failed_searches: u32,
    /// Result of the last failed search.
    reason: Option<WaitReason>,
}

/// Queued tasks. A group that cannot be placed backs off, so that it blocks no other group.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskQueue {
    groups: Vec<Option<QueueGroup>>,
    /// Unused indexes of `groups`.
    free_indexes: Vec<u32>,
    indexes: HashMap<GroupKey, u32>,
    /// Groups that are not backing off, by priority and team, ordered by their first task.
    ready: [Vec<BTreeSet<(TaskId, u32)>>; 3],
    /// Groups that are backing off, by the end of their backoff.
    backoffs: BTreeSet<(MonotonicTime, u32)>,
    count: usize,
}

impl TaskQueue {
    fn group(&self, index: u32) -> Option<&QueueGroup> {
        self.groups.get(index as usize).and_then(Option::as_ref)
    }

    fn ready_set(&mut self, priority: QueuePriority, team: u32) -> &mut BTreeSet<(TaskId, u32)> {
        let teams = &mut self.ready[priority as usize];
        if teams.len() <= team as usize {
            teams.resize(team as usize + 1, BTreeSet::new());
        }
        &mut teams[team as usize]
    }

    /// Adds a task and returns the index of its group.
    pub(crate) fn push(&mut self, task: TaskId, key: GroupKey) -> u32 {
        let index = match self.indexes.get(&key) {
            Some(&index) => index,
            None => self.open_group(key),
        };
        let Some(group) = self.groups[index as usize].as_mut() else { return index };
        let first = group.tasks.first().copied();
        if !group.tasks.insert(task) {
            return index;
        }
        self.count += 1;
        if group.backoff_until.is_none() && first.is_none_or(|first| task < first) {
            let (priority, team) = (group.key.priority, group.key.team);
            let set = self.ready_set(priority, team);
            if let Some(first) = first {
                set.remove(&(first, index));
            }
            set.insert((task, index));
        }
        index
    }

    fn open_group(&mut self, key: GroupKey) -> u32 {
        let group = QueueGroup {
            key: key.clone(),
            tasks: BTreeSet::new(),
            backoff_until: None,
            failed_searches: 0,
            reason: None,
        };
        let index = if let Some(index) = self.free_indexes.pop() {
            self.groups[index as usize] = Some(group);
            index
        } else {
            self.groups.push(Some(group));
            u32::try_from(self.groups.len() - 1).unwrap_or(u32::MAX)
        };
        self.indexes.insert(key, index);
        index
    }

    pub(crate) fn remove(&mut self, index: u32, task: TaskId) {
        let Some(group) = self.groups.get_mut(index as usize).and_then(Option::as_mut) else { return };
        let first = group.tasks.first().copied();
        if !group.tasks.remove(&task) {
            return;
        }
        self.count -= 1;
        let next = group.tasks.first().copied();
        let (priority, team, backoff_until) = (group.key.priority, group.key.team, group.backoff_until);
        if first == Some(task) && backoff_until.is_none() {
            let set = self.ready_set(priority, team);
            set.remove(&(task, index));
            if let Some(next) = next {
                set.insert((next, index));
            }
        }
        if next.is_none() {
            if let Some(until) = backoff_until {
                self.backoffs.remove(&(until, index));
            }
            if let Some(group) = self.groups[index as usize].take() {
                self.indexes.remove(&group.key);
            }
            self.free_indexes.push(index);
        }
    }

    /// Returns the group to try next and its first task: the first group of the team with the smallest share, or the
    /// group with the oldest task if `fair` is `None`.
    pub(crate) fn next_group(&self, priority: QueuePriority, fair: Option<&ShareLedger>) -> Option<(u32, TaskId)> {
        let heads = self.ready[priority as usize]
            .iter()
            .enumerate()
            .filter_map(|(team, set)| Some((u32::try_from(team).unwrap_or(u32::MAX), *set.first()?)));
        let share = |team: u32| fair.map_or(0.0, |fair| fair.share(AccountIndex(team)));
        heads
            .min_by(|(one, first), (other, second)| share(*one).total_cmp(&share(*other)).then(first.cmp(second)))
            .map(|(_, (task, index))| (index, task))
    }

    /// Lets a group back off after a failed search. The backoff doubles with each failed search, up to 16 times `retry`
    /// for plain batch work and up to twice `retry` otherwise.
    pub(crate) fn back_off(&mut self, index: u32, now: MonotonicTime, retry: Duration, reason: WaitReason) {
        let Some(group) = self.groups.get_mut(index as usize).and_then(Option::as_mut) else { return };
        let max_doublings = if group.key.priority == QueuePriority::Batch { 4 } else { 1 };
        let until = now + retry * (1 << group.failed_searches.min(max_doublings));
        group.failed_searches += 1;
        group.reason = Some(reason);
        group.backoff_until = Some(until);
        let (priority, team, first) = (group.key.priority, group.key.team, group.tasks.first().copied());
        if let Some(first) = first {
            self.ready_set(priority, team).remove(&(first, index));
        }
        self.backoffs.insert((until, index));
    }

    /// Makes groups ready whose backoff has ended.
    pub(crate) fn end_backoffs(&mut self, now: MonotonicTime) {
        while let Some(&(until, index)) = self.backoffs.first() {
            if until > now {
                return;
            }
            self.backoffs.pop_first();
            let Some(group) = self.groups.get_mut(index as usize).and_then(Option::as_mut) else { continue };
            group.backoff_until = None;
            let (priority, team, first) = (group.key.priority, group.key.team, group.tasks.first().copied());
            if let Some(first) = first {
                self.ready_set(priority, team).insert((first, index));
            }
        }
    }

    /// Records that a task of the group was placed.
    pub(crate) fn record_placement(&mut self, index: u32) {
        if let Some(group) = self.groups.get_mut(index as usize).and_then(Option::as_mut) {
            group.failed_searches = 0;
            group.reason = None;
        }
    }

    /// Returns the result of the group's last search if it failed.
    pub(crate) fn reason(&self, index: u32) -> Option<&WaitReason> {
        self.group(index).and_then(|group| group.reason.as_ref())
    }

    /// Returns the number of tasks of the group before `task`, counted up to 10,000.
    pub(crate) fn tasks_ahead(&self, index: u32, task: TaskId) -> usize {
        self.group(index).map_or(0, |group| group.tasks.range(..task).take(10_000).count())
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
