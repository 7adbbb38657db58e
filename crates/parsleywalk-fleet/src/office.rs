//! What a replica keeps only while it leads.

use std::time::Duration;

use log::info;
use parsleywalk_batch::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, FencingToken, JobId, ReportResponse, SortedTable,
};
use parsleywalk_units::{MonotonicTime, WorkerId};

/// The most ended jobs that are forgotten by one command.
const FORGET_LIMIT: usize = 500;

/// The leader's volatile part.
#[derive(Debug)]
pub(crate) struct LeaderOffice {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) planning: bool,
    pub(crate) plan_due: bool,
    pub(crate) next_plan: MonotonicTime,
    pub(crate) planned: MonotonicTime,
    pub(crate) next_upkeep: MonotonicTime,
    pub(crate) expiring: bool,
    /// When each ended job was first seen as ended.
    pub(crate) ended: SortedTable<JobId, MonotonicTime>,
}

impl LeaderOffice {
    pub(crate) fn new(settings: DispatchSettings, fence: FencingToken, now: MonotonicTime) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings, fence, now),
            planning: false,
            plan_due: true,
            next_plan: now,
            planned: MonotonicTime::ZERO,
            next_upkeep: now,
            expiring: false,
            ended: SortedTable::default(),
        }
    }

    /// Returns a command that removes the jobs which ended longer ago than the retention period.
    pub(crate) fn forget(
        &mut self,
        state: &BatchState,
        now: MonotonicTime,
        retention: Duration,
    ) -> Option<BatchCommand> {
        let mut jobs = Vec::new();
        for (job, _) in state.ended_jobs() {
            let since = *self.ended.entry(job, || now);
            if now >= since + retention && jobs.len() < FORGET_LIMIT {
                jobs.push(job);
            }
        }
        self.ended.retain(|job, _| state.job(*job).is_some());
        (!jobs.is_empty()).then_some(BatchCommand::Forget { jobs })
    }
}

/// Logs the orders that go to a worker.
pub(crate) fn log_orders(worker: &WorkerId, answer: &ReportResponse) {
    let Some(orders) = &answer.orders else { return };
    for start in &orders.starts {
        info!(
            "event=start_ordered job={} task={} run={} worker={worker} fence={}",
            start.task.job, start.task, start.run, orders.fence
        );
    }
    for (task, run) in &orders.stops {
        info!("event=stop_ordered job={} task={task} run={run} worker={worker} fence={}", task.job, orders.fence);
    }
}
