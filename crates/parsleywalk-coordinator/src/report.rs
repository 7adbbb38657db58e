//! Handling of a worker's report by the leader.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_api::{TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_control::{ControlCommand, ControlState, plan_report};
use parsleywalk_scheduler::{PolicyEvent, TaskUsage};
use parsleywalk_units::{MonotonicTime, StateTime, TimeSpan};

use crate::leader_state::LeaderState;

/// The time after sending its report within which a worker may execute a start order. Together with the leader lease
/// it bounds how long a task can still start in a zone after the zone was taken out of service.
const START_DEADLINE: TimeSpan = TimeSpan::from_secs(1);

/// The shortest interval between reports of one worker.
const MIN_REPORT_INTERVAL_MS: u64 = 500;

/// The longest interval between reports, which bounds the delay until urgent work reaches its worker.
const MAX_REPORT_INTERVAL_MS: u64 = 4000;

/// The rate of reports above which workers are asked to report less often.
const MAX_REPORTS_PER_SECOND: u64 = 1000;

/// The response to a report and the commands to propose.
pub(crate) struct ReportOutcome {
    pub(crate) commands: Vec<ControlCommand>,
    pub(crate) reply: WorkerReply,
}

/// Handles a report. The orders follow from entries committed before it; the commands lead to orders for later reports.
pub(crate) fn handle(
    now: MonotonicTime,
    at: StateTime,
    state: &ControlState,
    leader_state: &mut LeaderState,
    report: &WorkerReport,
    entries: Vec<SocketAddr>,
    lease: Duration,
) -> ReportOutcome {
    let plan = plan_report(state, at, report);
    let mut orders = Vec::new();
    // Renewed before the response is written, so that the lease counted here never expires before the worker's.
    let renewed = plan.renews && leader_state.leases.renew(now, &report.worker);
    // A response that renews no lease contains no orders either: a `LoseWorker` may have been proposed already, and an
    // attempt started by such an order would run at the same time as the next one.
    if renewed {
        orders = plan.orders;
        leader_state.policy.observe(now, usage_event(now, report));
        orders.extend(
            leader_state.throttles(state, &report.worker).map(|(task, attempt, level)| WorkerOrder::Throttle {
                task,
                attempt,
                level,
            }),
        );
    }
    let reply = WorkerReply {
        sequence: report.sequence,
        revision: plan.revision,
        lease: renewed.then(|| TimeSpan::saturating_from(lease)),
        start_within: START_DEADLINE,
        report_every: report_interval(state.workers().len()),
        orders,
        entries,
    };
    ReportOutcome { commands: plan.commands, reply }
}

fn usage_event(now: MonotonicTime, report: &WorkerReport) -> PolicyEvent {
    PolicyEvent::UsageReported {
        worker: report.worker.clone(),
        measured_at: now.saturating_sub(report.lag.as_duration()),
        tasks: report.tasks.iter().map(task_usage).collect(),
    }
}

fn task_usage(task: &TaskReport) -> TaskUsage {
    TaskUsage {
        task: task.task,
        cores: task.cores,
        memory: task.memory,
        latency: task.latency_us.map(Duration::from_micros),
        since_checkpoint: task.since_checkpoint.as_duration(),
    }
}

fn report_interval(workers: usize) -> TimeSpan {
    let millis = workers as u64 * 1000 / MAX_REPORTS_PER_SECOND;
    TimeSpan::from_millis(millis.clamp(MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS))
}
