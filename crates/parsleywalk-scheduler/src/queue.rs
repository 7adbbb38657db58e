//! Queued tasks in groups of the same kind.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, TaskId};

use crate::WaitReason;
use crate::fair::FairShare;

/// Which tasks come first, whatever their team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum QueuePriority {
    Critical = 0,
    Urgent = 1,
    Batch = 2,
}

impl QueuePriority {
    pub(crate) const ALL: [Self; 3] = [Self::Critical, Self::Urgent, Self::Batch];
}

/// What makes queued tasks interchangeable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GroupKey {
    pub(crate) team: u32,
    pub(crate) service: u32,
    pub(crate) priority: QueuePriority,
    pub(crate) size: ResourceSize,
    pub(crate) run_time: Option<Duration>,
    /// A task that has failed before is a group of its own, since it avoids some workers.
    pub(crate) failed_before: Option<TaskId>,
}

#[derive(Debug, Clone)]
struct QueueGroup {
    key: GroupKey,
    tasks: BTreeSet<TaskId>,
    /// The end of the rest after a try that found no place.
    backoff_until: Option<MonotonicTime>,
    failed_searches: u32,
    reason: Option<WaitReason>,
}

/// Queued tasks. A group that cannot be placed rests, so that it blocks no other one.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskQueue {
    groups: Vec<Option<QueueGroup>>,
    free_indexes: Vec<u32>,
    indexes: HashMap<GroupKey, u32>,
    /// Groups to try, by priority and team, each with its first task.
    ready: [Vec<BTreeSet<(TaskId, u32)>>; 3],
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

    /// Adds a task and returns its group.
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

    /// The group to try next: the first of the team with the smallest share, or the oldest where `fair` is absent.
    pub(crate) fn next_group(&self, priority: QueuePriority, fair: Option<&FairShare>) -> Option<(u32, TaskId)> {
        let heads = self.ready[priority as usize]
            .iter()
            .enumerate()
            .filter_map(|(team, set)| Some((u32::try_from(team).unwrap_or(u32::MAX), *set.first()?)));
        let share = |team: u32| fair.map_or(0.0, |fair| fair.share(team));
        heads
            .min_by(|(one, first), (other, second)| share(*one).total_cmp(&share(*other)).then(first.cmp(second)))
            .map(|(_, (task, index))| (index, task))
    }

    /// Lets a group rest after a try that found no place; the rest doubles up to 16 times for plain batch work.
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

    /// Ends the rests that are over.
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

    /// Notes that a task of the group was placed.
    pub(crate) fn record_placement(&mut self, index: u32) {
        if let Some(group) = self.groups.get_mut(index as usize).and_then(Option::as_mut) {
            group.failed_searches = 0;
            group.reason = None;
        }
    }

    /// Why the group's last try found no place.
    pub(crate) fn reason(&self, index: u32) -> Option<&WaitReason> {
        self.group(index).and_then(|group| group.reason.as_ref())
    }

    /// The number of tasks of the group that come before `task`, counted up to 10,000.
    pub(crate) fn tasks_ahead(&self, index: u32, task: TaskId) -> usize {
        self.group(index).map_or(0, |group| group.tasks.range(..task).take(10_000).count())
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
