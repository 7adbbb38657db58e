//! Planning of the leader's response to a worker's report.

use std::cmp::Ordering;

use parsleywalk_api::{ReportedPhase, TaskPhase, TaskReport, WorkerOrder, WorkerReport};
use parsleywalk_units::StateTime;

use crate::report::proves_absence;
use crate::task::{MAX_RESULT_BYTES, truncate};
use crate::{AttemptChange, AttemptEnd, ControlCommand, ControlState, TaskOwner, TaskRecord, WorkerRecord};

/// The response to a worker's report: the commands to propose and the orders to send.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportPlan {
    /// The commands to propose.
    pub commands: Vec<ControlCommand>,
    /// The orders for the response, which follow from committed entries only.
    pub orders: Vec<WorkerOrder>,
    /// Whether the response may renew leases: the report comes from the registered incarnation, is not older than the
    /// recorded one, and echoes no revision that this state has not reached.
    pub renews: bool,
    /// The revision of the state that the plan is based on, which the response contains.
    pub revision: u64,
}

/// Plans the response to a worker's report.
///
/// The orders may be sent only under the leader lease, with the plan's revision, and only in a response that renews the
/// worker's leases, since an attempt that an order starts runs under the lease that the same response grants. Where
/// [`LeaseTable::renew`] refuses, the response contains neither lease nor orders.
///
/// A report without a change to replicate causes no command. The plan is empty if the worker has seen a later revision
/// than this state's, or if a newer incarnation or report is recorded.
///
/// [`LeaseTable::renew`]: crate::LeaseTable::renew
///
/// ```
/// use parsleywalk_api::WorkerReport;
/// use parsleywalk_control::{ControlCommand, ControlState, plan_report};
/// use parsleywalk_units::{Incarnation, StateTime, TimeSpan};
///
/// let report = WorkerReport {
///     worker: "w1".parse()?,
///     incarnation: Incarnation::new(1),
///     zone: "a".parse()?,
///     rack: "r1".parse()?,
///     capacity: "32c/125GB/0a".parse()?,
///     sequence: 1,
///     echo: 0,
///     lag: TimeSpan::default(),
///     tasks: Vec::new(),
/// };
/// let plan = plan_report(&ControlState::new(), StateTime::from_millis(5), &report);
/// assert!(matches!(plan.commands[..], [ControlCommand::RegisterWorker { .. }]));
/// assert!(plan.orders.is_empty() && !plan.renews);
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[must_use]
pub fn plan_report(state: &ControlState, at: StateTime, report: &WorkerReport) -> ReportPlan {
    let empty_plan = ReportPlan { revision: state.revision(), ..ReportPlan::default() };
    if report.echo > state.revision() {
        return empty_plan;
    }
    let Some(worker) = state.worker(&report.worker) else {
        return ReportPlan { commands: vec![registration(at, report)], ..empty_plan };
    };
    match report.incarnation.cmp(&worker.incarnation()) {
        Ordering::Less => empty_plan,
        Ordering::Greater => ReportPlan { commands: vec![registration(at, report)], ..empty_plan },
        Ordering::Equal if worker.sequence().is_some_and(|recorded| report.sequence < recorded) => empty_plan,
        Ordering::Equal => ReportPlanner::new(state, worker, report).plan(at),
    }
}

fn registration(at: StateTime, report: &WorkerReport) -> ControlCommand {
    ControlCommand::RegisterWorker {
        at,
        worker: report.worker.clone(),
        incarnation: report.incarnation,
        zone: report.zone.clone(),
        rack: report.rack.clone(),
        capacity: report.capacity,
    }
}

struct ReportPlanner<'a> {
    state: &'a ControlState,
    worker: &'a WorkerRecord,
    report: &'a WorkerReport,
    changes: Vec<AttemptChange>,
    orders: Vec<WorkerOrder>,
}

impl<'a> ReportPlanner<'a> {
    const fn new(state: &'a ControlState, worker: &'a WorkerRecord, report: &'a WorkerReport) -> Self {
        Self { state, worker, report, changes: Vec::new(), orders: Vec::new() }
    }

    fn plan(mut self, at: StateTime) -> ReportPlan {
        for task_report in &self.report.tasks {
            self.plan_listed(task_report);
        }
        // Start orders come last, since the stop orders before them free resources.
        let listed_attempts = self.listed_attempts();
        for task in self.worker.tasks() {
            if let Some(record) = self.state.task(*task)
                && listed_attempts.binary_search(&(record.id(), record.attempt())).is_err()
            {
                self.plan_unlisted(record);
            }
        }
        let mut commands = Vec::new();
        if !self.changes.is_empty() {
            commands.push(ControlCommand::RecordReport {
                at,
                worker: self.worker.number(),
                sequence: self.report.sequence,
                changes: self.changes,
            });
        }
        ReportPlan { commands, orders: self.orders, renews: true, revision: self.state.revision() }
    }

    fn listed_attempts(&self) -> Vec<(parsleywalk_units::TaskId, parsleywalk_units::AttemptNumber)> {
        let mut listed_attempts: Vec<_> =
            self.report.tasks.iter().map(|task_report| (task_report.task, task_report.attempt)).collect();
        listed_attempts.sort_unstable();
        listed_attempts
    }

    fn plan_listed(&mut self, task_report: &TaskReport) {
        let (task, attempt) = (task_report.task, task_report.attempt);
        let current = self.state.task(task).filter(|record| {
            record.attempt() == attempt && record.worker() == Some(self.worker.number()) && record.holds_capacity()
        });
        let end = match task_report.phase {
            ReportedPhase::Running => None,
            ReportedPhase::Done => Some(AttemptEnd::Done),
            ReportedPhase::Failed => Some(AttemptEnd::Failed),
            ReportedPhase::Stopped => Some(AttemptEnd::Stopped),
            ReportedPhase::NotStarted => Some(AttemptEnd::NotStarted),
        };
        match (current, end) {
            (Some(record), None) => self.plan_running(record, task_report),
            (Some(record), Some(end)) => self.changes.push(ended(record, task_report, end)),
            // The state no longer places this attempt on the worker: its end is committed or it was declared lost.
            (None, None) => self.orders.push(WorkerOrder::Stop { task, attempt }),
            (None, Some(end)) => match self.late_change(task_report, end) {
                Some(change) => self.changes.push(change),
                None => self.orders.push(WorkerOrder::Settled { task, attempt }),
            },
        }
    }

    /// Keeps the result or the last checkpoint of an attempt that was declared lost, as long as its task is queued.
    ///
    /// A partitioned worker stops its attempts when their leases expire, and reports them only after the state has
    /// ended them.
    fn late_change(&self, task_report: &TaskReport, end: AttemptEnd) -> Option<AttemptChange> {
        let record = self.state.task(task_report.task)?;
        if record.phase() != TaskPhase::Queued || record.attempt() != task_report.attempt {
            return None;
        }
        match (end, &task_report.checkpoint) {
            (AttemptEnd::Done, _) if record.owner() != TaskOwner::Service => Some(ended(record, task_report, end)),
            (AttemptEnd::Stopped | AttemptEnd::Failed, Some(reference)) if record.accepts_checkpoint(reference) => {
                Some(checkpoint(task_report, reference))
            }
            _ => None,
        }
    }

    fn plan_running(&mut self, record: &TaskRecord, task_report: &TaskReport) {
        let (task, attempt) = (task_report.task, task_report.attempt);
        match record.phase() {
            TaskPhase::Starting => self.changes.push(AttemptChange::Running { task, attempt }),
            TaskPhase::Stopping => self.orders.push(WorkerOrder::Stop { task, attempt }),
            _ => {}
        }
        if let Some(reference) = &task_report.checkpoint
            && record.accepts_checkpoint(reference)
        {
            self.changes.push(checkpoint(task_report, reference));
        }
    }

    fn plan_unlisted(&mut self, record: &TaskRecord) {
        let (task, attempt) = (record.id(), record.attempt());
        if record.phase() == TaskPhase::Starting {
            self.orders.push(self.start_order(record));
        } else if proves_absence(record, self.report.echo) {
            self.changes.push(AttemptChange::Absent { task, attempt, echo: self.report.echo });
        }
    }

    fn start_order(&self, record: &TaskRecord) -> WorkerOrder {
        let arguments = match record.owner() {
            TaskOwner::Job(number) => self.state.job_by_number(number).map_or("", |job| job.arguments()).to_owned(),
            TaskOwner::Service => String::new(),
        };
        WorkerOrder::Start {
            task: record.id(),
            attempt: record.attempt(),
            service: record.service().clone(),
            size: record.size(),
            arguments,
            checkpoint: record.checkpoint().map(str::to_owned),
        }
    }
}

fn ended(record: &TaskRecord, task_report: &TaskReport, end: AttemptEnd) -> AttemptChange {
    AttemptChange::Ended {
        task: task_report.task,
        attempt: task_report.attempt,
        end,
        checkpoint: task_report.checkpoint.clone().filter(|reference| record.accepts_checkpoint(reference)),
        since: task_report.since_checkpoint,
        text: truncate(&task_report.text, MAX_RESULT_BYTES).to_owned(),
    }
}

fn checkpoint(task_report: &TaskReport, reference: &str) -> AttemptChange {
    let (task, attempt, since) = (task_report.task, task_report.attempt, task_report.since_checkpoint);
    AttemptChange::Checkpoint { task, attempt, reference: reference.to_owned(), since }
}
