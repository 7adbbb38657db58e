//! The order of a scheduling cycle with workspaces.
//!
//! Demand fluctuates within seconds, so dividing capacity evenly at each moment would interleave the jobs of all
//! workspaces and make more of them late. Workspaces that have up to [`BURST_FACTOR`] times their part of the capacity in
//! use are therefore served by urgency, and only those with more by their shares.

use parsleywalk_shares::{AccountIndex, ResourceLimit, ShareLedger, ShareOrder, ShareTurn};
use parsleywalk_units::{MonotonicTime, ResourceSize};

use crate::account_cycle::{AccountCycle, total_size};
use crate::candidate::CandidateWorker;
use crate::ready_step::ReadyStep;
use crate::step_class::StepClass;
use crate::step_order::{StepOrder, StepTurn};
use crate::urgency::JobUrgency;
use crate::workspace_shares::{COMMON_ACCOUNT, WorkspaceShares};
use crate::{BatchState, Dispatcher, JobId, RunNumber, RunPlacement, StepRecord, StepSpec, TaskKey, TaskRecord};

/// A workspace may have this many times its part of the capacity in use before its share decides when it is served.
const BURST_FACTOR: f64 = 2.0;

/// The steps of a priority that are served before others of it, whatever the shares of their workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceBand {
    /// Long-running tasks that have run and have waited long: they only get back what their workspace had.
    Restart,
    /// Jobs that are useful to their callers.
    Useful,
    /// Jobs that are no longer useful.
    Overdue,
    /// Jobs beyond the rate of their workspace.
    OverRate,
}

/// A step with its place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderRow {
    priority: u8,
    band: ServiceBand,
    account: AccountIndex,
    class: StepClass,
    step: ReadyStep,
}

impl OrderRow {
    const fn band(&self) -> (u8, ServiceBand) {
        (self.priority, self.band)
    }
}

/// The turn in progress.
#[derive(Debug, Clone, Copy)]
struct OpenTurn {
    account: AccountIndex,
    class: StepClass,
    is_first_of_job: bool,
    size: ResourceSize,
    /// The number of tasks that may be placed.
    max_tasks: usize,
    /// The number of tasks that have been placed.
    placed: usize,
    /// The number of waiting tasks when the cycle began.
    waiting: u32,
}

/// The order of a cycle with workspaces.
pub(crate) struct SharedOrder<'a> {
    ledger: ShareLedger,
    rows: Vec<OrderRow>,
    /// The first row of the next band.
    next_band: usize,
    cycles: Vec<AccountCycle>,
    order: ShareOrder,
    /// The share up to which accounts are served by urgency.
    burst_share: f64,
    turn: Option<OpenTurn>,
    /// What the long-running tasks of each account have allocated; computed when a limit first holds back a step.
    long_running: Option<Vec<ResourceSize>>,
    shares: &'a WorkspaceShares,
}

impl SharedOrder<'_> {
    /// Returns the next step.
    pub(crate) fn next_turn(&mut self, state: &BatchState) -> Option<StepTurn> {
        self.end_turn();
        loop {
            let Some(turn) = self.urgent_turn().or_else(|| self.order.next_turn(&self.ledger)) else {
                if self.open_band() {
                    continue;
                }
                return None;
            };
            let heads = self.cycles[turn.account.0 as usize].heads();
            let Some((_, row)) = heads.min_by_key(|(_, row)| self.rows[*row].step) else {
                self.order.remove(turn.account);
                continue;
            };
            if let Some(turn) = self.examine(state, turn, self.rows[row]) {
                return Some(turn);
            }
        }
    }

    /// Returns the turn of the account with the most urgent step among those that are served by urgency.
    fn urgent_turn(&self) -> Option<ShareTurn> {
        let within = self.order.accounts().iter().filter(|account| self.ledger.share(**account) < self.burst_share);
        let first_steps = within.filter_map(|account| {
            let heads = self.cycles[account.0 as usize].heads();
            heads.map(|(_, row)| (self.rows[row].step, *account)).min()
        });
        let (_, account) = first_steps.min()?;
        Some(ShareTurn { account, share: self.burst_share })
    }

    /// Makes the steps of the next band available, or returns false if there are none.
    fn open_band(&mut self) -> bool {
        let Some(first) = self.rows.get(self.next_band) else { return false };
        let band = first.band();
        let mut accounts = Vec::new();
        while let Some(first) = self.rows.get(self.next_band).filter(|row| row.band() == band) {
            let (account, class) = (first.account, first.class);
            let same = |row: &OrderRow| row.band() == band && (row.account, row.class) == (account, class);
            let end = self.next_band + self.rows[self.next_band..].partition_point(same);
            self.cycles[account.0 as usize].open(class, self.next_band..end);
            if accounts.last() != Some(&account) {
                accounts.push(account);
            }
            self.next_band = end;
        }
        self.order = ShareOrder::new(accounts);
        true
    }

    /// Returns the turn of an account's first step, or `None` if the limit holds it back.
    fn examine(&mut self, state: &BatchState, turn: ShareTurn, row: OrderRow) -> Option<StepTurn> {
        let ShareTurn { account, share } = turn;
        let OrderRow { step, class, .. } = row;
        let first = TaskKey { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
        let job = state.job(step.job);
        let known = job.and_then(|job| Some((job.step_spec(step.step)?, job.step(&first)?)));
        let Some((spec, record)) = known else {
            self.cycles[account.0 as usize].advance(class, false);
            return None;
        };
        let needed = if spec.gang { spec.count } else { 1 };
        let permitted = self.ledger.permitted_count(account, &spec.size);
        if permitted < needed {
            self.hold_back(state, account, step.job, (spec, needed));
            return None;
        }
        // The tasks of a rack-local step choose their rack together.
        let is_divisible = !spec.gang && !spec.rack_local;
        let in_turn = if is_divisible { self.ledger.count_above(account, &spec.size, share) } else { u32::MAX };
        let max_tasks = permitted.min(in_turn) as usize;
        let cycle = &mut self.cycles[account.0 as usize];
        cycle.note_turn(step.job);
        let (size, waiting, is_first_of_job) = (spec.size, record.waiting, step.is_first_of_job);
        self.turn = Some(OpenTurn { account, class, is_first_of_job, size, max_tasks, placed: 0, waiting });
        Some(StepTurn { step, first_index: cycle.next_index, max_tasks })
    }

    /// Holds back a job's step, of which so many tasks are needed at a time.
    fn hold_back(&mut self, state: &BatchState, account: AccountIndex, job: JobId, (spec, needed): (&StepSpec, u32)) {
        let class = StepClass::of(spec);
        let limit = self.ledger.limit(account);
        let need = total_size(&spec.size, needed);
        let (shares, accounts) = (self.shares, self.cycles.len());
        let long_running = self.long_running.get_or_insert_with(|| long_running_sizes(state, shares, accounts));
        let long_running = long_running[account.0 as usize];
        let cycle = &mut self.cycles[account.0 as usize];
        let Some(need) = need.filter(|need| limit.permits(&long_running, need)) else {
            cycle.skip_oversized(class, job);
            return;
        };
        let without_accelerators = ResourceLimit { accelerators: None, ..limit };
        cycle.hold(class, without_accelerators.permits(&self.ledger.allocated(account), &need));
    }

    /// Records what has been placed in the last turn.
    pub(crate) fn record_placed(&mut self, placements: &[RunPlacement]) {
        let Some(turn) = &mut self.turn else { return };
        let cycle = &mut self.cycles[turn.account.0 as usize];
        for placement in placements {
            self.ledger.charge(turn.account, &turn.size);
            cycle.next_index = placement.task.index + 1;
            cycle.placed += 1;
        }
        turn.placed += placements.len();
    }

    /// Ends the turn in progress. Its step is served further if only the turn or the limit has ended it.
    fn end_turn(&mut self) {
        let Some(turn) = self.turn.take() else { return };
        let cycle = &mut self.cycles[turn.account.0 as usize];
        let is_cut = turn.placed == turn.max_tasks && cycle.placed < turn.waiting;
        if !is_cut {
            let is_served = turn.is_first_of_job && cycle.placed > 0;
            cycle.advance(turn.class, is_served);
        }
    }

    /// Ends the cycle and returns the results by account.
    pub(crate) fn into_cycles(mut self) -> Vec<AccountCycle> {
        self.end_turn();
        for cycle in &mut self.cycles {
            cycle.end();
        }
        self.cycles
    }
}

/// Returns what the long-running tasks of each account have allocated.
fn long_running_sizes(state: &BatchState, shares: &WorkspaceShares, accounts: usize) -> Vec<ResourceSize> {
    let mut sizes = vec![ResourceSize::default(); accounts];
    for (_, job) in state.active_jobs() {
        let specs = job.submission.spec.steps.iter().zip(0u16..).filter(|(spec, _)| spec.long_running);
        for (spec, step) in specs {
            let records = job.occurrences.iter().filter_map(|occurrence| occurrence.steps.get(usize::from(step)));
            let live = records.map(StepRecord::live_count).sum();
            let Some(size) = sizes.get_mut(shares.account_of(job.workspace.as_ref()).0 as usize) else { continue };
            *size = total_size(&spec.size, live).and_then(|live| size.checked_add(&live)).unwrap_or(*size);
        }
    }
    sizes
}

impl Dispatcher {
    /// Returns the order in which a cycle serves the steps, which are sorted by priority and urgency.
    pub(crate) fn step_order(
        &self,
        now: MonotonicTime,
        state: &BatchState,
        ready: Vec<ReadyStep>,
        candidates: &[CandidateWorker<'_>],
    ) -> StepOrder<'_> {
        let shares = &self.workspace_shares;
        if !shares.is_active() {
            return StepOrder::Plain(ready.into_iter());
        }
        let capacities = candidates.iter().map(|candidate| candidate.view.capacity);
        let mut ledger = ShareLedger::default();
        ledger.set_total(capacities.fold(ResourceSize::default(), |sum, size| sum.checked_add(&size).unwrap_or(sum)));
        let mut cycles = Vec::new();
        let unowned_long_running = long_running_sizes(state, shares, 1)[0];
        for (account, weight, limit, allocated) in shares.accounts(state) {
            // Unowned long-running tasks would hold back all others that nobody owns for as long as they run.
            let is_common = account == COMMON_ACCOUNT;
            let charged = if is_common { allocated.saturating_sub(&unowned_long_running) } else { allocated };
            ledger.set_account(account, weight, limit);
            ledger.charge(account, &charged);
            cycles.push(AccountCycle::default());
        }
        for step in ready.iter().filter(|step| step.is_first_of_job) {
            cycles[step.account.0 as usize].add_waiting(step.class);
        }
        let mut rows: Vec<OrderRow> = ready.into_iter().map(|step| self.order_row(now, state, step)).collect();
        rows.sort_unstable();
        let (order, turn, long_running) = (ShareOrder::default(), None, None);
        let burst_share = BURST_FACTOR * ledger.even_share();
        StepOrder::Shared(Box::new(SharedOrder {
            ledger,
            rows,
            next_band: 0,
            cycles,
            order,
            burst_share,
            turn,
            long_running,
            shares,
        }))
    }

    fn order_row(&self, now: MonotonicTime, state: &BatchState, step: ReadyStep) -> OrderRow {
        let ReadyStep { priority, account, class, .. } = step;
        let band = if self.has_waited_long(now, &step) && has_run(state, &step) {
            ServiceBand::Restart
        } else if self.workspace_shares.is_over_rate(step.job) {
            ServiceBand::OverRate
        } else if step.urgency == JobUrgency::Overdue {
            ServiceBand::Overdue
        } else {
            ServiceBand::Useful
        };
        OrderRow { priority, band, account, class, step }
    }
}

/// Returns true if a waiting task of the step has had a run.
fn has_run(state: &BatchState, step: &ReadyStep) -> bool {
    let first = TaskKey { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
    let record = state.job(step.job).and_then(|job| job.step(&first));
    let is_restart = |task: &TaskRecord| !task.done && task.live == 0 && task.last_run > RunNumber::ZERO;
    record.is_some_and(|record| record.tasks.iter().any(is_restart))
}
