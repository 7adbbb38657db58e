//! The leader's decisions about workers: leases, orders, lost workers, stalled runs and pacing.

use std::time::Duration;

use parsleywalk_units::{Incarnation, MonotonicTime, WorkerId};

use crate::admission::ShortDemand;
use crate::interference::{FillingLoad, ImageNumber, InterferenceModel};
use crate::worker_view::WorkerView;
use crate::{
    BatchCommand, BatchState, DispatchSettings, FencingToken, JobId, ReportResponse, RunNumber, RunOutcome,
    SortedTable, StartOrder, TaskKey, WorkerOrders, WorkerRecord, WorkerReport,
};

/// Lasting tasks that are not at work this long after their start are taken for stuck.
const LASTING_START_LIMIT: Duration = Duration::from_secs(4);

/// A filling run below this rate makes too little progress to be left where it is, in percent.
const SLOWED_RATE: u8 = 50;
/// A run that can resume elsewhere is moved once it has been slowed for this long: about what the move costs it.
const MOVE_AFTER: Duration = Duration::from_millis(800);

/// A run that would begin anew is moved only once it has been slowed for this long.
const RESTART_AFTER: Duration = Duration::from_millis(2500);

/// Filling tasks are taken for hung after this many times the time of others.
const FILLING_PATIENCE: u32 = 2;

/// A batch run with less work left than this ends before a draining worker exits, which serves on for about two seconds.
const DRAIN_LEFT: Duration = Duration::from_millis(1200);

/// What a report leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportStep {
    /// The report was overtaken by a newer one, or by a newer life of the worker: it gets no orders.
    Overtaken,
    /// The commands must be committed before the report is answered; there may be none.
    Commit(Vec<BatchCommand>),
}

/// The volatile part of the leader's knowledge. A new leader starts with an empty one.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    fence: FencingToken,
    /// When this leader took office: leases that its predecessor granted count from then.
    pub(crate) since: MonotonicTime,
    pub(crate) workers: SortedTable<WorkerId, WorkerView>,
    /// The worker on which a task last failed or stalled; the task is placed elsewhere if there is room.
    pub(crate) avoided: SortedTable<TaskKey, WorkerId>,
    pub(crate) interference: InterferenceModel,
    /// Since when a job with a task that may run has had nothing running.
    pub(crate) idle_since: SortedTable<JobId, MonotonicTime>,
    /// Since when a lasting step has had tasks that wait.
    pub(crate) waiting_since: SortedTable<(JobId, u16), MonotonicTime>,
    /// When each active job was accepted.
    pub(crate) accepted: SortedTable<JobId, MonotonicTime>,
    pub(crate) short_demand: ShortDemand,
}

impl Dispatcher {
    /// Starts with the leader's token.
    #[must_use]
    pub fn new(settings: DispatchSettings, fence: FencingToken, now: MonotonicTime) -> Self {
        Self {
            settings,
            fence,
            since: now,
            workers: SortedTable::default(),
            avoided: SortedTable::default(),
            interference: InterferenceModel::default(),
            idle_since: SortedTable::default(),
            waiting_since: SortedTable::default(),
            accepted: SortedTable::default(),
            short_demand: ShortDemand::default(),
        }
    }
}

/// Commands.
impl Dispatcher {
    /// Takes a report and returns what is to be committed before it is answered.
    pub fn observe(&mut self, now: MonotonicTime, state: &BatchState, report: &WorkerReport) -> ReportStep {
        let record = state.worker(&report.worker);
        if record.is_some_and(|record| record.incarnation > report.incarnation) {
            return ReportStep::Overtaken;
        }
        let bound = self.settings.lease_bound();
        let inherited = self.since + bound;
        let known = self.workers.get(&report.worker);
        if known.is_some_and(|view| view.incarnation > report.incarnation) {
            return ReportStep::Overtaken;
        }
        if known.is_none_or(|view| view.incarnation < report.incarnation) {
            let mut view = WorkerView::new(report, now);
            view.lease_until = inherited.max(now);
            self.workers.insert(report.worker.clone(), view);
        } else if known.is_some_and(|view| view.left || view.sequence >= report.sequence) {
            return ReportStep::Overtaken;
        }
        let mut commands = Vec::new();
        if let Some(record) = record.filter(|record| record.incarnation < report.incarnation) {
            commands.push(self.lose(&report.worker, record));
        }
        let settled = record
            .filter(|record| record.incarnation == report.incarnation)
            .map_or(crate::EndNumber::ZERO, |record| record.settled);
        let mut ends: Vec<_> = report.ended.iter().filter(|end| end.number > settled).cloned().collect();
        ends.sort_by_key(|end| end.number);
        let Some(view) = self.workers.get_mut(&report.worker) else { return ReportStep::Overtaken };
        view.update(report, now);
        let quarantine = self.settings.quarantine;
        for end in &ends {
            log_end(record, report, end);
            let Some((job, _)) = state.step_of(&end.task) else { continue };
            match end.outcome {
                RunOutcome::Done => view.suspicion.clear(),
                RunOutcome::Failed => {
                    // A task that has failed elsewhere too says little about this worker.
                    if job.task(&end.task).is_some_and(|task| task.failures == 0) {
                        view.suspicion.strike(now, quarantine);
                    }
                    self.avoided.insert(end.task, report.worker.clone());
                }
                _ => {}
            }
        }
        if !ends.is_empty() {
            let (worker, incarnation) = (report.worker.clone(), report.incarnation);
            commands.push(BatchCommand::Settle { worker, incarnation, ends });
        }
        self.watch_runs(now, state, &report.worker);
        if let Some(withdrawal) = self.withdrawal(state, &report.worker) {
            commands.push(withdrawal);
        }
        ReportStep::Commit(commands)
    }

    /// Notes that a worker exits. Without its life, the word counts only for a worker that is draining: it may come from an
    /// earlier life.
    pub fn leave(&mut self, worker: &WorkerId, incarnation: Option<Incarnation>) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.left |= incarnation.map_or(view.draining, |life| life == view.incarnation);
        }
    }

    /// Builds the answer to the newest report of a worker. The caller holds the leader's lease and has committed what
    /// [`Dispatcher::observe`] asked for.
    pub fn answer(&mut self, state: &BatchState, worker: &WorkerId, sequence: u64) -> ReportResponse {
        let next_report = self.settings.report_interval;
        let silent = ReportResponse { orders: None, next_report };
        let (lease, bound) = (self.settings.lease, self.settings.lease_bound());
        let Some(view) = self.workers.get_mut(worker).filter(|view| view.sequence == sequence) else { return silent };
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation);
        view.losing &= record.is_some_and(|record| !record.runs.is_empty());
        if view.losing {
            return silent;
        }
        view.lease_until = view.lease_until.max(view.heard + bound);
        let may_start = !view.draining && !state.is_out(&view.zone);
        let mut orders = WorkerOrders {
            settled: record.map_or(crate::EndNumber::ZERO, |record| record.settled),
            fence: self.fence,
            lease,
            ..WorkerOrders::default()
        };
        if let Some(record) = record.filter(|_| may_start) {
            orders.starts = start_orders(state, view, record);
        }
        let clock = view.clock;
        for order in &orders.starts {
            view.ordered.insert(order.task, clock);
        }
        for (task, run) in view.running.iter() {
            let committed = record.and_then(|record| record.runs.get(task)).is_some_and(|entry| entry.run == run.run);
            if !committed || !state.is_wanted(task) || view.unwanted.get(task) == Some(&run.run) {
                orders.stops.push((*task, run.run));
            }
        }
        let rates: Vec<(TaskKey, RunNumber, u8)> =
            view.running.iter().filter_map(|(task, run)| Some((*task, run.run, view.pace.rate(run.image?)))).collect();
        for (task, run, rate) in rates {
            if let Some(known) = view.running.get_mut(&task).filter(|known| known.rate != rate) {
                known.rate = rate;
                orders.rates.push((task, run, rate));
            }
        }
        ReportResponse { orders: Some(orders), next_report }
    }

    /// Returns the commands for workers whose leases have ended.
    pub fn expire(&mut self, now: MonotonicTime, state: &BatchState) -> Vec<BatchCommand> {
        let inherited = self.since + self.settings.lease_bound();
        // A worker that reports tells itself what its lease has cost it, and what ended before.
        let silence = self.settings.silence_limit;
        let ended = |worker: &WorkerId| {
            let view = self.workers.get(worker);
            view.map_or(inherited, |view| view.lease_until.max(view.heard + silence)) <= now
        };
        let lost = state.workers().filter(|(worker, record)| !record.runs.is_empty() && ended(worker));
        let commands: Vec<BatchCommand> = lost.map(|(worker, record)| self.lose(worker, record)).collect();
        for command in &commands {
            if let BatchCommand::Lose { worker, incarnation, .. } = command {
                let (silent_ms, sequence) =
                    self.workers.get(worker).map_or((0, 0), |view| (now.since(view.heard).as_millis(), view.sequence));
                if let Some(view) = self.workers.get_mut(worker) {
                    view.losing = true;
                }
                log::info!(
                    "event=lease_expired worker={worker} incarnation={incarnation} silent_ms={silent_ms} sequence={sequence}"
                );
            }
        }
        let forgotten = self.settings.lease_bound() * 4;
        self.workers.retain(|_, view| now < view.heard + forgotten);
        self.avoided.retain(|task, _| state.is_wanted(task));
        self.accepted.retain(|job, _| state.job(*job).is_some_and(|job| !job.status.is_final()));
        commands
    }

    fn lose(&self, worker: &WorkerId, record: &WorkerRecord) -> BatchCommand {
        let view = self.workers.get(worker).filter(|view| view.incarnation == record.incarnation);
        let saved = view.map_or_else(Vec::new, |view| {
            let kept = view.running.iter().filter(|(task, run)| {
                !run.saved.is_empty() && record.runs.get(task).is_some_and(|entry| entry.run == run.run)
            });
            kept.map(|(task, run)| (*task, run.saved.clone())).collect()
        });
        BatchCommand::Lose { worker: worker.clone(), incarnation: record.incarnation, saved }
    }

    /// Notes stalled runs, paces filling ones and moves those that stay slowed.
    fn watch_runs(&mut self, now: MonotonicTime, state: &BatchState, worker: &WorkerId) {
        let Some(view) = self.workers.get_mut(worker) else { return };
        let mut filling: SortedTable<ImageNumber, f32> = SortedTable::default();
        let mut stalled = Vec::new();
        let capacity = view.capacity.cores.get().max(1);
        view.lasting_cores = 0;
        for (task, run) in view.running.iter_mut() {
            let Some((_, step)) = state.step_of(task) else { continue };
            if step.filling {
                let image = self.interference.number(&step.image);
                run.image = Some(image);
                *filling.entry(image, || 0.0) += share(run.figure.min(step.size.cores.get()), capacity);
            }
            if step.lasting && !step.filling {
                view.lasting_cores += step.size.cores.get();
            }
            if run.rate < SLOWED_RATE {
                run.slowed.get_or_insert(now);
            } else {
                run.slowed = None;
            }
            let idle = now.since(run.progressed);
            let hung = if step.lasting {
                run.percent < 100 && now.since(run.since) >= LASTING_START_LIMIT
            } else {
                // A filling task may also wait for processor time for a while.
                let patience = if step.filling { FILLING_PATIENCE } else { 1 };
                run.rate == 100 && idle >= self.settings.stall_limit.max(step.estimate / 4) * patience
            };
            if hung && !view.unwanted.contains(task) {
                stalled.push((*task, run.run));
            }
        }
        let filling: Vec<FillingLoad> =
            filling.iter().map(|(image, share)| FillingLoad { image: *image, share: *share }).collect();
        let mut serving = Vec::new();
        for (task, run) in view.running.iter_mut() {
            let Some((_, step)) = state.step_of(task) else { continue };
            let Some(target) = step.tail_objective.filter(|_| step.lasting && run.percent == 100 && run.figure > 0)
            else {
                continue;
            };
            let target = u32::try_from(target.as_millis()).unwrap_or(u32::MAX).max(1);
            let image = self.interference.number(&step.image);
            let load = self.interference.load(image, share(run.figure, target));
            if run.fresh {
                self.interference.observe(load, &mut run.level, &filling);
            }
            serving.push(load);
        }
        view.pace.observe(now, &self.interference, &serving, &filling);
        view.serving = serving;
        for (task, run) in stalled {
            view.unwanted.insert(task, run);
            view.suspicion.strike(now, self.settings.quarantine);
            self.avoided.insert(task, worker.clone());
        }
        let draining = view.draining;
        let crowded = view.running.iter().filter(|(task, run)| {
            let Some((_, step)) = state.step_of(task) else { return false };
            if draining && outlasts_drain(step, run.percent) {
                return true;
            }
            let resumes = step.checkpointable;
            let patience = if resumes { MOVE_AFTER } else { RESTART_AFTER };
            run.slowed.is_some_and(|since| now.since(since) >= patience)
        });
        let crowded: Vec<(TaskKey, RunNumber)> = crowded.map(|(task, run)| (*task, run.run)).collect();
        for (task, run) in crowded {
            view.unwanted.insert(task, run);
            self.avoided.insert(task, worker.clone());
        }
    }

    /// Takes back the placements whose orders were sent, or may have been sent by an earlier leader, and did not reach
    /// the worker, where they are no longer to be sent.
    fn withdrawal(&mut self, state: &BatchState, worker: &WorkerId) -> Option<BatchCommand> {
        let expiry = self.settings.order_expiry;
        let view = self.workers.get_mut(worker)?;
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation)?;
        let may_start = !view.draining && !state.is_out(&view.zone);
        let mut runs = Vec::new();
        for (task, entry) in record.runs.iter() {
            if view.lists(task, entry.run) || (may_start && state.is_wanted(task)) {
                continue;
            }
            let clock = view.clock;
            // Without a record of an order, the report that is being handled counts as the last that carried it.
            let sent = *view.ordered.entry(*task, || clock);
            if clock >= sent + expiry {
                runs.push((*task, entry.run));
            }
        }
        view.withdrawing = SortedTable::default();
        for (task, run) in &runs {
            view.withdrawing.insert(*task, *run);
        }
        let incarnation = view.incarnation;
        (!runs.is_empty()).then(|| BatchCommand::Withdraw { worker: worker.clone(), incarnation, runs })
    }
}

/// Queries.
impl Dispatcher {
    /// Tells whether the worker has nothing to do and nothing to be told.
    fn is_idle(&self, state: &BatchState, worker: &WorkerId) -> bool {
        let idle = |view: &WorkerView| view.running.is_empty() && view.ended.is_empty() && !view.draining;
        self.workers.get(worker).is_some_and(idle) && state.worker(worker).is_none_or(|record| record.runs.is_empty())
    }

    /// Tells whether a committed run waits for its start order to that worker.
    #[must_use]
    pub fn has_orders(&self, state: &BatchState, worker: &WorkerId) -> bool {
        let Some(view) = self.workers.get(worker) else { return false };
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation);
        record.is_some_and(|record| record.runs.iter().any(|(task, entry)| !view.lists(task, entry.run)))
    }

    /// How long the answer to a worker's report may wait for work.
    #[must_use]
    pub fn hold(&self, state: &BatchState, worker: &WorkerId) -> Duration {
        if self.is_idle(state, worker) { self.settings.idle_hold } else { self.settings.busy_hold(self.workers.len()) }
    }
}

/// Tells whether a run on a worker that drains is better moved now than lost when the worker exits.
fn outlasts_drain(step: &crate::StepSpec, percent: u8) -> bool {
    let left = step.estimate * u32::from(100 - percent.min(100)) / 100;
    step.lasting || (step.checkpointable && left > DRAIN_LEFT)
}

/// A ratio of small numbers.
#[allow(clippy::cast_precision_loss, reason = "figures of a report are far below the precision of a float")]
pub(crate) fn share(part: u32, whole: u32) -> f32 {
    part as f32 / whole as f32
}

fn log_end(record: Option<&WorkerRecord>, report: &WorkerReport, end: &crate::RunEnd) {
    let committed = record.and_then(|record| record.runs.get(&end.task)).is_some_and(|entry| entry.run == end.run);
    log::info!(
        "event=run_ended job={} task={} run={} worker={} number={} outcome={:?} committed={committed} sequence={}",
        end.task.job,
        end.task,
        end.run,
        report.worker,
        end.number,
        end.outcome,
        report.sequence
    );
}

fn start_orders(state: &BatchState, view: &WorkerView, record: &WorkerRecord) -> Vec<StartOrder> {
    let missing = record.runs.iter().filter(|(task, entry)| {
        let withdrawn = view.withdrawing.get(task) == Some(&entry.run);
        !withdrawn && !view.lists(task, entry.run) && state.is_wanted(task)
    });
    let orders = missing.filter_map(|(task, entry)| {
        let (job, _) = state.step_of(task)?;
        let saved = job.task(task)?.saved.clone();
        let payload = job.submission.spec.payload.clone();
        Some(StartOrder { task: *task, run: entry.run, payload, saved, ticket: None })
    });
    orders.collect()
}
