//! When capacity on a rack becomes free.
//!
//! A forecast starts from what is free now and from the predicted ends of the runs on the rack's workers. The tasks that
//! wait for the rack reserve their part of it in the order of placement, so that each one counts those ahead of it.

use std::time::Duration;

use crate::rack_room::{RackRoom, TaskNeed};

/// Capacity that becomes free when a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RoomRelease {
    /// The time from now to the predicted end.
    pub(crate) after: Duration,
    pub(crate) room: RackRoom,
}

/// The forecast of one worker.
#[derive(Debug, Clone, Default)]
struct WorkerForecast {
    /// What waiting tasks have reserved of the capacity that is free now.
    reserved: RackRoom,
    /// The ends of runs by time, without what waiting tasks have reserved.
    releases: Vec<RoomRelease>,
}

impl WorkerForecast {
    /// Returns when a task can start, given what is free now.
    fn earliest(&self, free: &RackRoom, need: &TaskNeed) -> Option<Duration> {
        let mut room = free.saturating_sub(&self.reserved);
        if room.holds(need) {
            return Some(Duration::ZERO);
        }
        self.releases.iter().find_map(|release| {
            room.add(&release.room);
            room.holds(need).then_some(release.after)
        })
    }

    /// Reserves capacity for a task that starts at `after` and ends at `end`.
    fn reserve(&mut self, free: &RackRoom, need: &TaskNeed, after: Duration, end: Duration) {
        let mut available = free.saturating_sub(&self.reserved);
        let mut left = available.take(&need.room);
        self.reserved.add(&need.room.saturating_sub(&left));
        for release in self.releases.iter_mut().take_while(|release| release.after <= after) {
            left = release.room.take(&left);
        }
        let index = self.releases.partition_point(|release| release.after <= end);
        self.releases.insert(index, RoomRelease { after: end, room: need.room });
    }
}

/// The forecast of the workers of a rack.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackForecast {
    workers: Vec<WorkerForecast>,
}

impl RackForecast {
    /// Creates a forecast from the ends of runs by worker, each sorted by time.
    pub(crate) fn new(releases: impl Iterator<Item = Vec<RoomRelease>>) -> Self {
        let worker = |releases| WorkerForecast { reserved: RackRoom::default(), releases };
        Self { workers: releases.map(worker).collect() }
    }

    /// Reserves capacity for equal tasks of a duration, and returns the time until the last one can start; `None`, with
    /// nothing reserved, if that is longer than `longest`. `free` is what the workers have now, or `None` for workers that
    /// the tasks must not use.
    pub(crate) fn reserve(
        &mut self,
        tasks: u32,
        (need, duration): (&TaskNeed, Duration),
        free: &[Option<RackRoom>],
        longest: Duration,
    ) -> Option<Duration> {
        let earliest = |worker: &WorkerForecast, free: &Option<RackRoom>| worker.earliest(free.as_ref()?, need);
        let mut starts: Vec<Option<Duration>> =
            self.workers.iter().zip(free).map(|(worker, free)| earliest(worker, free)).collect();
        let mut before = None;
        let mut last = Duration::ZERO;
        for _ in 0..tasks {
            let next = starts.iter().enumerate().filter_map(|(index, start)| Some(((*start)?, index))).min();
            let Some((start, index)) = next.filter(|(start, _)| *start <= longest) else {
                self.workers = before.unwrap_or_else(|| std::mem::take(&mut self.workers));
                return None;
            };
            before.get_or_insert_with(|| self.workers.clone());
            if let Some(room) = &free[index] {
                self.workers[index].reserve(room, need, start, start.saturating_add(duration));
            }
            starts[index] = earliest(&self.workers[index], &free[index]);
            last = last.max(start);
        }
        Some(last)
    }

    /// Returns the cores that become free.
    pub(crate) fn released_cores(&self) -> u64 {
        let releases = self.workers.iter().flat_map(|worker| &worker.releases);
        releases.map(|release| u64::from(release.room.best_effort.get())).sum()
    }
}
