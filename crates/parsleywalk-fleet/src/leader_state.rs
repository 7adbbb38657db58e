//! The volatile state of a leader.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use parsleywalk_batch::{
    BatchCommand, BatchState, DispatchSettings, Dispatcher, FencingToken, JobId, ReportResponse, SortedMap,
};
use parsleywalk_units::{MonotonicTime, VmNumber, WorkerId};

use crate::message::RelayedResponse;
use crate::pending_jobs::PendingJobs;
use crate::plan_pacer::PlanPacer;
use crate::report_relay::MAX_EXCHANGE_BYTES;
use crate::submission_history::SubmissionHistory;
use crate::waiter::{RelayOutbox, Waiter};
use crate::zone_orders::ZoneOrders;

/// The maximum number of ended jobs removed by one command.
const MAX_FORGOTTEN_JOBS: usize = 500;

/// The state that a replica keeps only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) dispatcher: Dispatcher,
    /// Whether placements are being committed.
    pub(crate) placement_pending: bool,
    /// Whether a scheduling cycle is due.
    pub(crate) plan_due: bool,
    /// When the next scheduling cycle becomes due without another trigger.
    pub(crate) next_plan: MonotonicTime,
    /// Decides when the next scheduling cycle may run.
    pub(crate) pacer: PlanPacer,
    /// When leases and members are checked next.
    pub(crate) next_check: MonotonicTime,
    /// Whether commands of the last check are being committed.
    pub(crate) maintenance_pending: bool,
    /// When each ended job was first seen as ended.
    pub(crate) ended_since: SortedMap<JobId, MonotonicTime>,
    /// The responses to relayed reports, by the follower that fetches them. They end with the leadership, so that a
    /// replica that leads again gives out none of its earlier term.
    outboxes: SortedMap<VmNumber, RelayOutbox>,
    pub(crate) zone_orders: ZoneOrders,
    pub(crate) submission_history: SubmissionHistory,
    pub(crate) pending_jobs: PendingJobs,
    /// The number of requests with configurations that are being committed.
    pub(crate) pending_configurations: usize,
    /// The number of tombstones, including those that are being committed.
    pub(crate) tombstones: usize,
}

impl LeaderState {
    pub(crate) fn new(settings: DispatchSettings, fence: FencingToken, now: MonotonicTime) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings, fence, now),
            placement_pending: false,
            plan_due: true,
            next_plan: now,
            pacer: PlanPacer::default(),
            next_check: now,
            maintenance_pending: false,
            ended_since: SortedMap::default(),
            outboxes: SortedMap::default(),
            zone_orders: ZoneOrders::new(now),
            submission_history: SubmissionHistory::new(now),
            pending_jobs: PendingJobs::default(),
            pending_configurations: 0,
            tombstones: 0,
        }
    }

    /// Records that the commands of a request are being committed.
    pub(crate) fn begin_request(&mut self, waiter: &Waiter) {
        match waiter {
            Waiter::Submit(request) | Waiter::Cancel(request) => {
                self.pending_jobs.begin(request.job, request.owner.as_ref());
            }
            Waiter::Configure(..) => self.pending_configurations += 1,
            Waiter::Reply(_) | Waiter::Report(_) | Waiter::Plan | Waiter::Maintenance => {}
        }
    }

    /// Records that the commands of a request are applied or were not committed.
    pub(crate) fn end_request(&mut self, waiter: &Waiter) {
        match waiter {
            Waiter::Submit(request) | Waiter::Cancel(request) => self.pending_jobs.end(request.job),
            Waiter::Configure(..) => self.pending_configurations -= 1,
            Waiter::Reply(_) | Waiter::Report(_) | Waiter::Plan | Waiter::Maintenance => {}
        }
    }

    /// Returns the outbox of a follower.
    pub(crate) fn outbox(&mut self, follower: VmNumber) -> RelayOutbox {
        Rc::clone(self.outboxes.entry(follower, RelayOutbox::default))
    }

    /// Returns the responses that a follower has not fetched yet, as many as fit into an exchange, and removes them.
    pub(crate) fn take_responses(&self, follower: VmNumber) -> Vec<RelayedResponse> {
        let Some(outbox) = self.outboxes.get(&follower) else { return Vec::new() };
        let mut responses = outbox.take();
        let mut bytes = 0;
        let fitting = responses.iter().take_while(|relayed| {
            let is_first = bytes == 0;
            bytes += relayed.response.size_hint();
            is_first || bytes <= MAX_EXCHANGE_BYTES
        });
        let rest = responses.split_off(fitting.count());
        outbox.replace(rest);
        responses
    }

    /// Returns a command that removes the jobs whose retention period is over, and updates what is known of other jobs.
    pub(crate) fn forget_command(
        &mut self,
        state: &BatchState,
        now: MonotonicTime,
        retention: Duration,
    ) -> Option<BatchCommand> {
        self.submission_history.prune(now, |job| state.job(job).is_some());
        let mut jobs = Vec::new();
        self.tombstones = 0;
        for (job, record) in state.ended_jobs() {
            self.tombstones += usize::from(record.is_tombstone());
            let since = *self.ended_since.entry(job, || now);
            if now >= since + retention && jobs.len() < MAX_FORGOTTEN_JOBS {
                jobs.push(job);
            }
        }
        self.ended_since.retain(|job, _| state.job(*job).is_some());
        (!jobs.is_empty()).then_some(BatchCommand::Forget { jobs })
    }
}

/// Logs the orders in a response to a worker.
pub(crate) fn log_orders(worker: &WorkerId, response: &ReportResponse) {
    let Some(orders) = &response.orders else { return };
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
