//! Leader-side worker management: leases, orders, lost workers, stalled runs and pacing.

use std::cell::Cell;
use std::time::Duration;

use parsleywalk_units::{Incarnation, MonotonicTime, WorkerId};

use crate::admission::{LEADER_WARM_UP, ShortTaskDemand};
use crate::begun_jobs::BegunJobs;
use crate::failure_evidence::FailureEvidence;
use crate::interference::{BestEffortLoad, ImageIndex, InterferenceModel};
use crate::job_failures::FailingJobs;
use crate::job_outlook::JobOutlooks;
use crate::overload::OverloadGate;
use crate::place_waits::PlaceWaits;
use crate::refusal_audit::RefusalAudit;
use crate::restart_delays::RestartDelays;
use crate::settlement::GangRuns;
use crate::unordered_runs::UnorderedRuns;
use crate::work_model::WorkModel;
use crate::worker_view::WorkerView;
use crate::workspace_shares::WorkspaceShares;
use crate::{
    BatchCommand, BatchState, DispatchSettings, FencingToken, JobId, ReportResponse, RunNumber, RunOutcome, SortedMap,
    StartOrder, TaskKey, WorkerOrders, WorkerRecord, WorkerReport,
};

/// A long-running task that has not reached 100 percent this long after it was first reported counts as hung.
const LONG_RUNNING_START_TIMEOUT: Duration = Duration::from_secs(4);

/// A long-running task that has been at work for this long shows that its worker works, as a completed task does.
const LONG_RUNNING_PROOF_TIME: Duration = Duration::from_secs(3);

/// A best-effort run throttled below this rate, in percent of full speed, is eventually evicted because it makes too
/// little progress.
const MIN_USEFUL_RATE_PERCENT: u8 = 50;
/// How long a resumable run may stay throttled before it is evicted; about what the move costs it.
const RESUMABLE_EVICTION_DELAY: Duration = Duration::from_millis(800);

/// How long a run without checkpoints may stay throttled before it is evicted; longer, because it starts over.
const RESTART_EVICTION_DELAY: Duration = Duration::from_millis(2500);

/// A run without progress for less than one part in this many of its task's duration does not count as hung.
const STALLED_SHARE: u32 = 4;

/// The stall timeout of best-effort tasks as a multiple of that of other tasks, because they may wait for CPU time.
const BEST_EFFORT_STALL_FACTOR: u32 = 2;

/// A run with less work left than this completes before a draining worker exits; draining takes about two seconds.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1200);

/// The interval at which measurements of jobs that are final are forgotten; they do no harm.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// The action that a worker report requires.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportAction {
    /// Nothing: the report is older than one already handled, or from an older incarnation. The worker gets no orders.
    Stale,
    /// The commands, possibly none, must be committed before the report is answered.
    Commit(Vec<BatchCommand>),
}

/// The leader's volatile state. A new leader starts with an empty one.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    fence: FencingToken,
    /// When this replica became leader. Leases granted by earlier leaders are assumed to run from then.
    pub(crate) leader_since: MonotonicTime,
    pub(crate) workers: SortedMap<WorkerId, WorkerView>,
    /// The workers whose loss is being committed, with the lost incarnation. A new leader may declare a worker lost of which
    /// it has no view yet.
    pending_losses: SortedMap<WorkerId, Incarnation>,
    /// The worker on which each task last failed or stalled; the task is placed elsewhere if capacity permits.
    pub(crate) avoided: SortedMap<TaskKey, WorkerId>,
    pub(crate) interference: InterferenceModel,
    /// Since when each job with a runnable task has had nothing running.
    pub(crate) idle_since: SortedMap<JobId, MonotonicTime>,
    /// Since when each long-running step has had waiting tasks.
    pub(crate) waiting_since: SortedMap<(JobId, u16), MonotonicTime>,
    /// When each active job was accepted, on this leader's clock.
    pub(crate) accepted_times: SortedMap<JobId, MonotonicTime>,
    pub(crate) short_demand: ShortTaskDemand,
    pub(crate) work_model: WorkModel,
    pub(crate) outlooks: JobOutlooks,
    /// When the measurements of jobs that are final were last forgotten.
    pruned_at: MonotonicTime,
    pub(crate) begun_jobs: BegunJobs,
    pub(crate) gang_runs: GangRuns,
    pub(crate) unordered_runs: UnorderedRuns,
    pub(crate) evidence: FailureEvidence,
    pub(crate) restart_delays: RestartDelays,
    pub(crate) failing_jobs: FailingJobs,
    pub(crate) workspace_shares: WorkspaceShares,
    pub(crate) overload: OverloadGate,
    pub(crate) refusal_audit: RefusalAudit,
    pub(crate) place_waits: PlaceWaits,
    /// The outcomes listed since [`Dispatcher::take_listed_outcomes`] was last called.
    pub(crate) listed_outcomes: Vec<RunOutcome>,
    /// When the compatibility of images was last looked at, and its version then.
    pub(crate) compatibility_checked_at: MonotonicTime,
    pub(crate) compatibility_version: u64,
    /// How often a worker has been ranked for a step; a measure of the work of placement.
    pub(crate) ranked_workers: Cell<u64>,
}

impl Dispatcher {
    /// Creates a dispatcher for a leader with the given fencing token.
    #[must_use]
    pub fn new(settings: DispatchSettings, fence: FencingToken, now: MonotonicTime) -> Self {
        let work_model = WorkModel::new(settings.measured_work);
        Self {
            settings,
            fence,
            leader_since: now,
            workers: SortedMap::default(),
            pending_losses: SortedMap::default(),
            avoided: SortedMap::default(),
            interference: InterferenceModel::default(),
            idle_since: SortedMap::default(),
            waiting_since: SortedMap::default(),
            accepted_times: SortedMap::default(),
            short_demand: ShortTaskDemand::default(),
            work_model,
            outlooks: JobOutlooks::default(),
            pruned_at: now,
            begun_jobs: BegunJobs::default(),
            gang_runs: GangRuns::default(),
            unordered_runs: UnorderedRuns::default(),
            evidence: FailureEvidence::default(),
            restart_delays: RestartDelays::default(),
            failing_jobs: FailingJobs::default(),
            workspace_shares: WorkspaceShares::default(),
            overload: OverloadGate::default(),
            refusal_audit: RefusalAudit::default(),
            place_waits: PlaceWaits::default(),
            listed_outcomes: Vec::new(),
            compatibility_checked_at: MonotonicTime::ZERO,
            compatibility_version: 0,
            ranked_workers: Cell::new(0),
        }
    }
}

/// Methods that change the state.
impl Dispatcher {
    /// Handles a worker's report and returns the commands to commit before the report is answered.
    pub fn receive(&mut self, now: MonotonicTime, state: &BatchState, report: &WorkerReport) -> ReportAction {
        let record = state.worker(&report.worker);
        if record.is_some_and(|record| record.incarnation > report.incarnation) {
            return ReportAction::Stale;
        }
        let max_lease = self.settings.max_lease();
        let inherited_until = self.leader_since + max_lease;
        let known = self.workers.get(&report.worker);
        if known.is_some_and(|view| view.incarnation > report.incarnation) {
            return ReportAction::Stale;
        }
        if known.is_none_or(|view| view.incarnation < report.incarnation) {
            let mut view = WorkerView::new(report, now);
            view.lease_until = inherited_until.max(now);
            view.loss_pending = self.pending_losses.get(&report.worker) == Some(&report.incarnation);
            // Without a notice, the worker's last life ended with a crash.
            if let Some(known) = known.filter(|known| !known.departed && !known.draining) {
                view.health = known.health.after_crash(now, self.settings.quarantine);
                log::info!(
                    "event=worker_crashed worker={} incarnation={} crashes_in_a_row={} quarantined={}",
                    report.worker,
                    report.incarnation,
                    view.health.crashes(),
                    view.health.is_quarantined(now, &self.evidence)
                );
            }
            self.workers.insert(report.worker.clone(), view);
        } else if known.is_some_and(|view| view.sequence >= report.sequence) {
            return ReportAction::Stale;
        } else if known.is_some_and(|view| view.departed) {
            return self.receive_after_departure(now, state, report);
        }
        let mut commands = Vec::new();
        if let Some(record) = record.filter(|record| record.incarnation < report.incarnation) {
            commands.push(self.loss_command(&report.worker, record));
        }
        let mut ends = report.unrecorded_ends(record.filter(|record| record.incarnation == report.incarnation));
        let Some(view) = self.workers.get_mut(&report.worker) else { return ReportAction::Stale };
        // Ends are recorded once the loss is committed, which ends the placed runs: applied after it, their commands would
        // acknowledge the ends and have no effect.
        view.loss_pending &= record.is_some_and(|record| !record.runs.is_empty());
        if view.loss_pending {
            ends.clear();
        }
        let lives: Vec<Duration> = ends.iter().map(|end| view.life(now, &end.task, end.run)).collect();
        view.update_measured(&mut self.work_model, now, state, report, &ends);
        self.read_outcomes(now, state, &report.worker, &ends, &lives);
        commands.extend(self.settle(now, state, report, ends));
        self.record_begun(now, report);
        self.check_runs(now, state, &report.worker);
        if let Some(withdrawal) = self.withdrawal(state, &report.worker) {
            commands.push(withdrawal);
        }
        ReportAction::Commit(commands)
    }

    /// Records that a worker exits, and returns the command to commit before the notice is answered. Without an
    /// incarnation, the notice counts only for a draining worker, since it may come from an earlier incarnation.
    pub fn mark_departed(
        &mut self,
        state: &BatchState,
        worker: &WorkerId,
        incarnation: Option<Incarnation>,
    ) -> Option<BatchCommand> {
        let view = self.workers.get_mut(worker)?;
        view.departed |= incarnation.map_or(view.draining, |incarnation| incarnation == view.incarnation);
        let has_runs = state.worker(worker).is_some_and(|record| !record.runs.is_empty());
        if view.departed && !has_runs { departure_command(worker, view) } else { None }
    }

    /// Builds the response to a worker's newest report. The caller must hold the leader lease and must have committed
    /// the commands returned by [`Dispatcher::receive`].
    pub fn build_response(&mut self, state: &BatchState, worker: &WorkerId, sequence: u64) -> ReportResponse {
        let next_report = self.settings.report_interval;
        let empty = ReportResponse { orders: None, next_report };
        let (lease, max_lease) = (self.settings.lease, self.settings.max_lease());
        let Some(view) = self.workers.get_mut(worker).filter(|view| view.sequence == sequence) else { return empty };
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation);
        view.loss_pending &= record.is_some_and(|record| !record.runs.is_empty());
        if view.loss_pending || view.departed {
            return empty;
        }
        view.lease_until = view.lease_until.max(view.reported_at + max_lease);
        let may_start = !view.draining && !state.is_out_of_service(&view.zone);
        let mut orders = WorkerOrders {
            settled: record.map_or(crate::EndNumber::ZERO, |record| record.settled),
            fence: self.fence,
            lease,
            ..WorkerOrders::default()
        };
        if let Some(record) = record.filter(|_| may_start) {
            orders.starts = start_orders(state, view, record, self.settings.start_bytes);
        }
        let clock = view.clock;
        for order in &orders.starts {
            view.ordered_at.insert(order.task, clock);
            self.unordered_runs.record_ordered(&order.task);
        }
        for (task, run) in view.running.iter() {
            let committed = record.and_then(|record| record.runs.get(task)).is_some_and(|entry| entry.run == run.run);
            if !committed || !state.is_unfinished(task) || view.evicting.get(task) == Some(&run.run) {
                orders.stops.push((*task, run.run));
            }
        }
        let rates: Vec<(TaskKey, RunNumber, u8)> = view
            .running
            .iter()
            .filter_map(|(task, run)| Some((*task, run.run, view.pacing.rate(run.image?))))
            .collect();
        for (task, run, rate) in rates {
            if let Some(known) = view.running.get_mut(&task).filter(|known| known.rate != rate) {
                known.rate = rate;
                orders.rates.push((task, run, rate));
            }
        }
        ReportResponse { orders: Some(orders), next_report }
    }

    /// Returns the commands that record the loss of workers whose leases have expired, and the departure of those that
    /// have announced it.
    pub fn expire_leases(&mut self, now: MonotonicTime, state: &BatchState) -> Vec<BatchCommand> {
        let inherited_until = self.leader_since + self.settings.max_lease();
        // A worker that still reports lists the runs that its expired lease ended, so only unresponsive workers are
        // declared lost.
        let worker_timeout = self.settings.worker_timeout;
        let is_expired = |worker: &WorkerId| {
            let view = self.workers.get(worker);
            view.map_or(inherited_until, |view| view.lease_until.max(view.reported_at + worker_timeout)) <= now
        };
        let lost = state.workers().filter(|(worker, record)| !record.runs.is_empty() && is_expired(worker));
        let mut commands: Vec<BatchCommand> = lost.map(|(worker, record)| self.loss_command(worker, record)).collect();
        let departed = commands.iter().filter_map(|command| {
            let BatchCommand::Lose { worker, .. } = command else { return None };
            let view = self.workers.get(worker).filter(|view| view.departed)?;
            departure_command(worker, view)
        });
        let departed: Vec<BatchCommand> = departed.collect();
        self.pending_losses = SortedMap::default();
        for command in &commands {
            if let BatchCommand::Lose { worker, incarnation, .. } = command {
                let (silent_ms, sequence) = self
                    .workers
                    .get(worker)
                    .map_or((0, 0), |view| (now.since(view.reported_at).as_millis(), view.sequence));
                self.pending_losses.insert(worker.clone(), *incarnation);
                if let Some(view) = self.workers.get_mut(worker) {
                    view.loss_pending = true;
                }
                log::info!(
                    "event=lease_expired worker={worker} incarnation={incarnation} silent_ms={silent_ms} sequence={sequence}"
                );
            }
        }
        let view_retention = self.settings.max_lease() * 4;
        commands.extend(departed);
        self.workers.retain(|_, view| now < view.reported_at + view_retention);
        self.avoided.retain(|task, _| state.is_unfinished(task));
        self.begun_jobs.prune(state);
        self.gang_runs.prune(state);
        self.unordered_runs.prune(state);
        for (_, view) in self.workers.iter_mut() {
            view.health.prune(state, &self.evidence);
        }
        self.evidence.prune(state);
        self.restart_delays.prune(state);
        self.failing_jobs.prune(state);
        self.workspace_shares.prune(now, state);
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.work_model.prune(state);
            self.outlooks.prune(state);
            self.place_waits.prune(&self.workers);
        }
        self.accepted_times.retain(|job, _| state.job(*job).is_some_and(|job| !job.status.is_final()));
        commands
    }

    /// Forgets the losses that were being committed, after their commands were refused.
    pub fn withdraw_losses(&mut self) {
        self.pending_losses = SortedMap::default();
        for (_, view) in self.workers.iter_mut() {
            view.loss_pending = false;
        }
    }

    fn loss_command(&self, worker: &WorkerId, record: &WorkerRecord) -> BatchCommand {
        let view = self.workers.get(worker).filter(|view| view.incarnation == record.incarnation);
        let saved = view.map_or_else(Vec::new, |view| {
            let checkpointed = view.running.iter().filter(|(task, run)| {
                !run.saved.is_empty() && record.runs.get(task).is_some_and(|entry| entry.run == run.run)
            });
            checkpointed.map(|(task, run)| (*task, run.saved.clone())).collect()
        });
        BatchCommand::Lose { worker: worker.clone(), incarnation: record.incarnation, saved }
    }

    /// Adjusts the rates of best-effort tasks, and evicts runs that hang, stay throttled or would outlast a draining
    /// worker.
    fn check_runs(&mut self, now: MonotonicTime, state: &BatchState, worker: &WorkerId) {
        let Some(view) = self.workers.get_mut(worker) else { return };
        let mut shares: SortedMap<ImageIndex, f32> = SortedMap::default();
        let mut hung_runs = Vec::new();
        let capacity = view.capacity.cores.get().max(1);
        view.long_running_cores = 0;
        for (task, run) in view.running.iter_mut() {
            run.resolve(task, state);
            let Some(submission) = run.submission.clone() else { continue };
            let Some(step) = submission.spec.steps.get(usize::from(task.step)) else { continue };
            if step.best_effort {
                let image = *run.image.get_or_insert_with(|| self.interference.image_index(&step.image));
                *shares.entry(image, || 0.0) += ratio(run.figure.min(step.size.cores.get()), capacity);
            }
            if step.long_running && !step.best_effort {
                view.long_running_cores = view.long_running_cores.saturating_add(step.size.cores.get());
            }
            if run.rate < MIN_USEFUL_RATE_PERCENT {
                run.throttled_since.get_or_insert(now);
            } else {
                run.throttled_since = None;
            }
            let idle = now.since(run.progressed_at);
            if step.long_running && run.percent == 100 && !run.proven && idle >= LONG_RUNNING_PROOF_TIME {
                run.proven = true;
                view.health.record_success();
            }
            let hung = if step.long_running {
                run.percent < 100 && now.since(run.first_seen) >= LONG_RUNNING_START_TIMEOUT
            } else {
                // A best-effort task may also wait for CPU time.
                let stall_factor = if step.best_effort { BEST_EFFORT_STALL_FACTOR } else { 1 };
                let stall_timeout = self.settings.stall_timeout * stall_factor;
                let longest = || run.task_duration(self.work_model.predict(&submission, task.step)) * stall_factor;
                run.rate == 100 && idle >= stall_timeout && idle >= longest() / STALLED_SHARE
            };
            let life = now.since(run.first_seen);
            if hung && !view.evicting.contains(task) {
                hung_runs.push((*task, run.run, life));
            } else if !hung && self.evidence.is_survivor(task, life) {
                self.evidence.record_success(task, worker);
                view.health.record_survivor(&self.evidence);
            }
        }
        let best_effort: Vec<BestEffortLoad> =
            shares.iter().map(|(image, share)| BestEffortLoad { image: *image, share: *share }).collect();
        let mut critical_loads = Vec::new();
        for (task, run) in view.running.iter_mut() {
            let Some(step) = run.step(task) else { continue };
            let Some(objective) =
                step.tail_objective.filter(|_| step.long_running && run.percent == 100 && run.figure > 0)
            else {
                continue;
            };
            let objective = u32::try_from(objective.as_millis()).unwrap_or(u32::MAX).max(1);
            let image = self.interference.image_index(&step.image);
            let load = self.interference.critical_load(image, ratio(run.figure, objective));
            if run.figure_changed {
                self.interference.learn(load, &mut run.own_load, &best_effort);
            }
            critical_loads.push(load);
        }
        view.pacing.update(now, &self.interference, &critical_loads, &best_effort);
        view.critical_loads = critical_loads;
        for (task, run, _) in &hung_runs {
            view.evicting.insert(*task, *run);
        }
        let draining = view.draining;
        let evictions = view.running.iter().filter(|(task, run)| {
            let (Some(submission), Some(step)) = (&run.submission, run.step(task)) else { return false };
            let remaining = || run.remaining_duration(self.work_model.predict(submission, task.step));
            if draining && outlasts_drain(step, remaining) {
                return true;
            }
            let resumable = step.checkpointable;
            let eviction_delay = if resumable { RESUMABLE_EVICTION_DELAY } else { RESTART_EVICTION_DELAY };
            run.throttled_since.is_some_and(|since| now.since(since) >= eviction_delay)
        });
        let evictions: Vec<(TaskKey, RunNumber)> = evictions.map(|(task, run)| (*task, run.run)).collect();
        for (task, run) in evictions {
            view.evicting.insert(task, run);
            self.avoided.insert(task, worker.clone());
        }
        for (task, run, life) in hung_runs {
            self.record_hung_run(now, task, run, worker, life);
        }
    }

    /// Returns a command that withdraws placements which the worker never received and which must not be sent again.
    /// Their start orders may also have been sent by an earlier leader, so a placement is withdrawn only once such an
    /// order has expired.
    fn withdrawal(&mut self, state: &BatchState, worker: &WorkerId) -> Option<BatchCommand> {
        let expiry = self.settings.order_expiry;
        let view = self.workers.get_mut(worker)?;
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation)?;
        let may_start = !view.draining && !state.is_out_of_service(&view.zone);
        let mut runs = Vec::new();
        // The command of an earlier withdrawal may still be on its way to the state, and the reason for it may be gone. The
        // run would be withdrawn although it has been ordered.
        let mut known = std::mem::take(&mut view.withdrawing);
        for (task, entry) in record.runs.iter() {
            let is_withdrawn = known.remove(task) == Some(entry.run);
            if view.lists(task, entry.run) || (may_start && state.is_unfinished(task) && !is_withdrawn) {
                continue;
            }
            let clock = view.clock;
            // If no order is recorded, an earlier leader may have sent one; it is taken to have been sent with the
            // response to the current report.
            let sent = *view.ordered_at.entry(*task, || clock);
            let has_expired = clock >= sent + expiry;
            if has_expired {
                runs.push((*task, entry.run));
            }
            if is_withdrawn || has_expired {
                view.withdrawing.insert(*task, entry.run);
            }
        }
        // The placement of a run that is not on record may still be on its way to the state.
        known.retain(|task, run| {
            self.unordered_runs.get(state, task).is_some_and(|known| known.run == *run && known.worker == *worker)
        });
        for (task, run) in known.iter() {
            view.withdrawing.insert(*task, *run);
        }
        let incarnation = view.incarnation;
        (!runs.is_empty()).then(|| BatchCommand::Withdraw { worker: worker.clone(), incarnation, runs })
    }
}

/// Read-only methods.
impl Dispatcher {
    /// Returns true if the worker runs nothing, reports no run ends, is not draining and has no placed runs.
    fn is_idle(&self, state: &BatchState, worker: &WorkerId) -> bool {
        let idle = |view: &WorkerView| view.running.is_empty() && view.ended.is_empty() && !view.draining;
        self.workers.get(worker).is_some_and(idle) && state.worker(worker).is_none_or(|record| record.runs.is_empty())
    }

    /// Returns true if a run placed on the worker still needs its start order.
    #[must_use]
    pub fn has_pending_starts(&self, state: &BatchState, worker: &WorkerId) -> bool {
        let Some(view) = self.workers.get(worker) else { return false };
        let record = state.worker(worker).filter(|record| record.incarnation == view.incarnation);
        record.is_some_and(|record| record.runs.iter().any(|(task, entry)| !view.lists(task, entry.run)))
    }

    /// Returns true if the worker has announced its exit.
    #[must_use]
    pub fn has_departed(&self, worker: &WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|view| view.departed)
    }

    /// Returns how often a worker has been ranked for a step since the start, as a measure of the work of placement.
    #[must_use]
    pub fn ranked_workers(&self) -> u64 {
        self.ranked_workers.get()
    }

    /// Returns true if there are more workers than the leader serves directly. A new leader, which has heard of few,
    /// goes by the workers in the replicated state.
    #[must_use]
    pub fn is_gathering(&self, now: MonotonicTime, state: &BatchState) -> bool {
        let is_new = now.since(self.leader_since) < LEADER_WARM_UP;
        let known = if is_new { state.worker_count() } else { 0 };
        known.max(self.workers.len()) > self.settings.direct_workers
    }

    /// Returns how long the response to a worker's report may be held until there is work for the worker. A draining worker
    /// gets none, and may exit as soon as its last run has ended: it can list that end only once it has the response.
    #[must_use]
    pub fn max_hold(&self, state: &BatchState, worker: &WorkerId) -> Duration {
        if self.workers.get(worker).is_some_and(|view| view.draining) {
            return Duration::ZERO;
        }
        if self.is_idle(state, worker) { self.settings.idle_hold } else { self.settings.busy_hold(self.workers.len()) }
    }
}

/// Returns the command after which every replica, and so the next leader, takes reports of the worker's incarnation for
/// late ones: the worker's record moves on to the next incarnation. The worker must have no placed runs. Incarnations
/// without a number cannot be told apart.
pub(crate) fn departure_command(worker: &WorkerId, view: &WorkerView) -> Option<BatchCommand> {
    let incarnation = view.incarnation.next();
    let is_numbered = view.incarnation != Incarnation::ZERO;
    is_numbered.then(|| BatchCommand::Settle { worker: worker.clone(), incarnation, ends: Vec::new() })
}

/// Returns true if a run on a draining worker should be evicted now, since it would not end before the worker exits.
fn outlasts_drain(step: &crate::StepSpec, remaining: impl Fn() -> Duration) -> bool {
    step.long_running || (step.checkpointable && remaining() > MIN_DRAIN_TIME)
}

/// Divides two small integers.
#[allow(clippy::cast_precision_loss, reason = "figures of a report are far below the precision of a float")]
pub(crate) fn ratio(part: u32, whole: u32) -> f32 {
    part as f32 / whole as f32
}

/// Returns the start orders for the runs that the worker does not list, up to `limit` bytes. Those that have not been
/// ordered come first, and then those whose last order is oldest, so that none is held up by others.
fn start_orders(state: &BatchState, view: &WorkerView, record: &WorkerRecord, limit: usize) -> Vec<StartOrder> {
    let pending = record.runs.iter().filter(|(task, entry)| {
        let withdrawn = view.withdrawing.get(task) == Some(&entry.run);
        !withdrawn && !view.lists(task, entry.run) && state.is_unfinished(task)
    });
    let mut pending: Vec<(&TaskKey, RunNumber)> = pending.map(|(task, entry)| (task, entry.run)).collect();
    pending.sort_by_key(|(task, _)| view.ordered_at.get(task));
    let mut orders = Vec::new();
    let mut bytes = 0;
    for (task, run) in pending {
        let Some((job, _)) = state.step_of(task) else { continue };
        let Some(saved) = job.task(task).map(|record| record.saved.clone()) else { continue };
        let payload = job.submission.spec.payload.clone();
        let order = StartOrder { task: *task, run, payload, saved, ticket: None };
        bytes += order.size_hint();
        if bytes > limit && !orders.is_empty() {
            break;
        }
        orders.push(order);
    }
    orders
}
