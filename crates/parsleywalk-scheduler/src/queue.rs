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
    resting: Option<MonotonicTime>,
    misses: u32,
    reason: Option<WaitReason>,
}

/// Queued tasks. A group that cannot be placed rests, so that it blocks no other one.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskQueue {
    groups: Vec<Option<QueueGroup>>,
    unused: Vec<u32>,
    numbers: HashMap<GroupKey, u32>,
    /// Groups to try, by priority and team, each with its first task.
    ready: [Vec<BTreeSet<(TaskId, u32)>>; 3],
    resting: BTreeSet<(MonotonicTime, u32)>,
    count: usize,
}

impl TaskQueue {
    fn group(&self, number: u32) -> Option<&QueueGroup> {
        self.groups.get(number as usize).and_then(Option::as_ref)
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
        let number = match self.numbers.get(&key) {
            Some(&number) => number,
            None => self.open_group(key),
        };
        let Some(group) = self.groups[number as usize].as_mut() else { return number };
        let first = group.tasks.first().copied();
        if !group.tasks.insert(task) {
            return number;
        }
        self.count += 1;
        if group.resting.is_none() && first.is_none_or(|first| task < first) {
            let (priority, team) = (group.key.priority, group.key.team);
            let set = self.ready_set(priority, team);
            if let Some(first) = first {
                set.remove(&(first, number));
            }
            set.insert((task, number));
        }
        number
    }

    fn open_group(&mut self, key: GroupKey) -> u32 {
        let group = QueueGroup { key: key.clone(), tasks: BTreeSet::new(), resting: None, misses: 0, reason: None };
        let number = if let Some(number) = self.unused.pop() {
            self.groups[number as usize] = Some(group);
            number
        } else {
            self.groups.push(Some(group));
            u32::try_from(self.groups.len() - 1).unwrap_or(u32::MAX)
        };
        self.numbers.insert(key, number);
        number
    }

    pub(crate) fn remove(&mut self, number: u32, task: TaskId) {
        let Some(group) = self.groups.get_mut(number as usize).and_then(Option::as_mut) else { return };
        let first = group.tasks.first().copied();
        if !group.tasks.remove(&task) {
            return;
        }
        self.count -= 1;
        let next = group.tasks.first().copied();
        let (priority, team, resting) = (group.key.priority, group.key.team, group.resting);
        if first == Some(task) && resting.is_none() {
            let set = self.ready_set(priority, team);
            set.remove(&(task, number));
            if let Some(next) = next {
                set.insert((next, number));
            }
        }
        if next.is_none() {
            if let Some(until) = resting {
                self.resting.remove(&(until, number));
            }
            if let Some(group) = self.groups[number as usize].take() {
                self.numbers.remove(&group.key);
            }
            self.unused.push(number);
        }
    }

    /// The group to try next: the first of the team with the smallest share, or the oldest where `fair` is absent.
    pub(crate) fn pick(&self, priority: QueuePriority, fair: Option<&FairShare>) -> Option<(u32, TaskId)> {
        let heads = self.ready[priority as usize]
            .iter()
            .enumerate()
            .filter_map(|(team, set)| Some((u32::try_from(team).unwrap_or(u32::MAX), *set.first()?)));
        let share = |team: u32| fair.map_or(0.0, |fair| fair.share(team));
        heads
            .min_by(|(one, first), (other, second)| share(*one).total_cmp(&share(*other)).then(first.cmp(second)))
            .map(|(_, (task, number))| (number, task))
    }

    /// Lets a group rest after a try that found no place; the rest doubles up to 16 times for plain batch work.
    pub(crate) fn rest(&mut self, number: u32, now: MonotonicTime, retry: Duration, reason: WaitReason) {
        let Some(group) = self.groups.get_mut(number as usize).and_then(Option::as_mut) else { return };
        let longest = if group.key.priority == QueuePriority::Batch { 4 } else { 1 };
        let until = now + retry * (1 << group.misses.min(longest));
        group.misses += 1;
        group.reason = Some(reason);
        group.resting = Some(until);
        let (priority, team, first) = (group.key.priority, group.key.team, group.tasks.first().copied());
        if let Some(first) = first {
            self.ready_set(priority, team).remove(&(first, number));
        }
        self.resting.insert((until, number));
    }

    /// Ends the rests that are over.
    pub(crate) fn wake(&mut self, now: MonotonicTime) {
        while let Some(&(until, number)) = self.resting.first() {
            if until > now {
                return;
            }
            self.resting.pop_first();
            let Some(group) = self.groups.get_mut(number as usize).and_then(Option::as_mut) else { continue };
            group.resting = None;
            let (priority, team, first) = (group.key.priority, group.key.team, group.tasks.first().copied());
            if let Some(first) = first {
                self.ready_set(priority, team).insert((first, number));
            }
        }
    }

    /// Notes that a task of the group was placed.
    pub(crate) fn placed(&mut self, number: u32) {
        if let Some(group) = self.groups.get_mut(number as usize).and_then(Option::as_mut) {
            group.misses = 0;
            group.reason = None;
        }
    }

    /// Why the group's last try found no place.
    pub(crate) fn reason(&self, number: u32) -> Option<&WaitReason> {
        self.group(number).and_then(|group| group.reason.as_ref())
    }

    /// The number of tasks of the group that come before `task`, counted up to 10,000.
    pub(crate) fn ahead(&self, number: u32, task: TaskId) -> usize {
        self.group(number).map_or(0, |group| group.tasks.range(..task).take(10_000).count())
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
