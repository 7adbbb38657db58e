//! What the leader knows of workspaces beyond the replicated state.
//!
//! Limits, weights and allocations are in the replicated state. The leader's own knowledge is which jobs were submitted
//! beyond their workspace's rate, and which workspaces wait for their limit. A new leader takes every job for within its
//! rate, gives each workspace its full bucket, and finds those that wait in its first scheduling cycle.

use std::time::Duration;

use parsleywalk_shares::{AccountIndex, JobRate, ResourceLimit, TokenBucket, dominant_share};
use parsleywalk_units::{ConfigurationVersion, MonotonicTime, ResourceSize, WorkspaceName};

use crate::account_cycle::AccountCycle;
use crate::ready_step::ReadyStep;
use crate::step_class::StepClass;
use crate::{BatchState, Dispatcher, JobId, JobRefusal, JobSubmission, SortedMap, Workspace, WorkspaceUsage};

/// The account of the jobs that no configured workspace owns. It has the largest weight of a workspace and no limit.
pub(crate) const COMMON_ACCOUNT: AccountIndex = AccountIndex(0);

/// How long the commit of a submission may take; until then, an unknown job may still become active.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(10);

/// A workspace no longer waits for its limit once nothing of it has done so for this long. Under constant load, tasks that
/// end and start would otherwise change it with every cycle.
const UNLIMITED_DELAY: Duration = Duration::from_secs(1);

/// A workspace of the active configuration.
#[derive(Debug)]
struct WorkspaceAccount {
    name: WorkspaceName,
    weight: u32,
    limit: ResourceLimit,
    bucket: TokenBucket,
    /// The result of the last scheduling cycle.
    cycle: AccountCycle,
    /// When steps last waited for the limit, unless that is long ago.
    limited_at: Option<MonotonicTime>,
}

/// The leader's knowledge of the workspaces of the active configuration.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceShares {
    version: Option<ConfigurationVersion>,
    /// The workspaces in the order of the configuration, that is, by name.
    accounts: Vec<WorkspaceAccount>,
    /// The jobs that were submitted beyond the rate of their workspaces, and when.
    over_rate: SortedMap<JobId, MonotonicTime>,
    /// How often a step has been examined and held back by a limit.
    limit_looks: u64,
}

/// Read-only methods.
impl WorkspaceShares {
    /// Returns the account of a job by the workspace that owns it.
    pub(crate) fn account_of(&self, workspace: Option<&WorkspaceName>) -> AccountIndex {
        let position = workspace.and_then(|name| self.position(name));
        position.map_or(COMMON_ACCOUNT, |position| AccountIndex(u32::try_from(position).map_or(0, |index| index + 1)))
    }

    fn position(&self, name: &WorkspaceName) -> Option<usize> {
        self.accounts.binary_search_by(|account| account.name.cmp(name)).ok()
    }

    fn account(&self, account: AccountIndex) -> Option<&WorkspaceAccount> {
        self.accounts.get((account.0 as usize).checked_sub(1)?)
    }

    /// Returns true if the active configuration has workspaces.
    pub(crate) const fn is_active(&self) -> bool {
        self.version.is_some()
    }

    /// Returns the accounts with their weights, limits and allocations. The common account has what is allocated to the
    /// runs that no configured workspace owns.
    pub(crate) fn accounts(
        &self,
        state: &BatchState,
    ) -> impl Iterator<Item = (AccountIndex, u32, ResourceLimit, ResourceSize)> {
        let of_workspaces = self.accounts.iter().map(|account| state.workspace_allocation(&account.name));
        let unowned = of_workspaces.fold(total_allocation(state), |rest, size| rest.saturating_sub(&size));
        let weight = self.accounts.iter().map(|account| account.weight).max().unwrap_or(1);
        let common = (COMMON_ACCOUNT, weight, ResourceLimit::default(), unowned);
        let owned = (1u32..).zip(&self.accounts).map(|(index, account)| {
            (AccountIndex(index), account.weight, account.limit, state.workspace_allocation(&account.name))
        });
        std::iter::once(common).chain(owned)
    }

    /// Returns the limit of an account, or `None` if it has none.
    pub(crate) fn limit(&self, account: AccountIndex) -> Option<&ResourceLimit> {
        self.account(account).map(|known| &known.limit).filter(|limit| !limit.is_unlimited())
    }

    /// Returns true if the step waited for the limit of its account in the last cycle.
    pub(crate) fn is_held(&self, step: &ReadyStep) -> bool {
        self.account(step.account).is_some_and(|account| account.cycle.was_held(step.class, step.job))
    }

    /// Returns true if the limit of an account held back steps of a class in the last cycle.
    pub(crate) fn is_class_held(&self, account: AccountIndex, class: StepClass) -> bool {
        self.account(account).is_some_and(|account| account.cycle.is_held(class))
    }

    /// Returns true if a job that is submitted now is beyond the rate of its workspace.
    pub(crate) fn exceeds_rate(&self, now: MonotonicTime, account: AccountIndex) -> bool {
        let Some(account) = self.account(account) else { return false };
        let mut bucket = account.bucket;
        !bucket.try_take(now, rate(account.weight))
    }

    /// Returns true if the job was submitted beyond the rate of its workspace.
    pub(crate) fn is_over_rate(&self, job: JobId) -> bool {
        self.over_rate.contains(&job)
    }
}

/// Methods that change the state.
impl WorkspaceShares {
    /// Takes over the active configuration. What is known of a workspace stays if its name does.
    pub(crate) fn refresh(&mut self, now: MonotonicTime, state: &BatchState) {
        let configuration = state.workspaces();
        let version = configuration.map(|configuration| configuration.version);
        if self.version == version {
            return;
        }
        self.version = version;
        let mut known = std::mem::take(&mut self.accounts);
        let Some(configuration) = configuration else { return };
        let accounts = configuration.workspaces.iter().map(|Workspace { name, weight, limit, .. }| {
            let position = known.binary_search_by(|account| account.name.cmp(name));
            let (name, weight, limit) = (name.clone(), *weight, *limit);
            if let Ok(position) = position {
                return WorkspaceAccount { weight, limit, ..known.remove(position) };
            }
            let bucket = TokenBucket::new(now, rate(weight));
            WorkspaceAccount { name, weight, limit, bucket, cycle: AccountCycle::default(), limited_at: None }
        });
        self.accounts = accounts.collect();
    }

    /// Counts a submission against the rate of its workspace.
    fn count_submission(&mut self, now: MonotonicTime, workspace: &WorkspaceName, job: JobId) {
        let Some(position) = self.position(workspace) else { return };
        let account = &mut self.accounts[position];
        if !account.bucket.try_take(now, rate(account.weight)) {
            self.over_rate.insert(job, now);
        }
    }

    /// Forgets the jobs that are final.
    pub(crate) fn prune(&mut self, now: MonotonicTime, state: &BatchState) {
        self.over_rate.retain(|job, since| state.is_active(*job) || now.since(*since) < SUBMISSION_TIMEOUT);
    }

    /// Records the results of a scheduling cycle by account; an account without a result had nothing waiting.
    pub(crate) fn end_cycle(&mut self, now: MonotonicTime, state: &BatchState, cycles: Vec<AccountCycle>) {
        let mut cycles = cycles.into_iter().skip(1);
        for account in &mut self.accounts {
            account.cycle = cycles.next().unwrap_or_default();
            self.limit_looks += account.cycle.limit_looks();
            account.note_limit(now, state);
        }
    }
}

impl WorkspaceAccount {
    /// Logs when the workspace starts and stops waiting for its limit.
    fn note_limit(&mut self, now: MonotonicTime, state: &BatchState) {
        let Self { name, limit, .. } = self;
        if self.cycle.is_limited() {
            if self.limited_at.is_none() {
                let cores = state.workspace_allocation(name).cores;
                log::info!("event=workspace_limited workspace={name} cores={cores} limit={limit}");
            }
            self.limited_at = Some(now);
        } else if self.limited_at.is_some_and(|since| now.since(since) >= UNLIMITED_DELAY) {
            let cores = state.workspace_allocation(name).cores;
            log::info!("event=workspace_unlimited workspace={name} cores={cores} limit={limit}");
            self.limited_at = None;
        }
    }
}

impl Dispatcher {
    /// Decides on the job of a workspace as [`Dispatcher::admit`] does. An accepted job counts against the workspace's
    /// rate, which decides when it is served and never refuses it.
    pub fn admit_owned(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        submission: &JobSubmission,
        workspace: &WorkspaceName,
    ) -> Option<JobRefusal> {
        let refusal = self.decide_admission(now, state, submission, Some(workspace));
        if refusal.is_none() {
            self.workspace_shares.refresh(now, state);
            self.workspace_shares.count_submission(now, workspace, submission.job);
        }
        refusal
    }

    /// Returns what the configured workspaces use, and what they wait for as of the last scheduling cycle. The cost is that
    /// of the number of workspaces and workers.
    #[must_use]
    pub fn workspace_usage(&self, state: &BatchState) -> Vec<WorkspaceUsage> {
        let in_service = self.workers.iter().map(|(_, view)| view).filter(|view| {
            !(view.loss_pending || view.draining || view.departed || state.is_out_of_service(&view.zone))
        });
        let total =
            in_service.fold(ResourceSize::default(), |sum, view| sum.checked_add(&view.capacity).unwrap_or(sum));
        let usage = self.workspace_shares.accounts.iter().map(|account| {
            let allocated = state.workspace_allocation(&account.name);
            WorkspaceUsage {
                workspace: account.name.clone(),
                allocated,
                limit: account.limit,
                share: dominant_share(&allocated, &total) / f64::from(account.weight.max(1)),
                waiting_jobs: account.cycle.waiting_jobs(),
                limited_jobs: account.cycle.limited_jobs(),
            }
        });
        usage.collect()
    }

    /// Returns how often a step has been examined and held back by the limit of its workspace since the start, as a
    /// measure of the work that workspaces at their limits cost.
    #[must_use]
    pub fn limit_looks(&self) -> u64 {
        self.workspace_shares.limit_looks
    }
}

/// Returns what is allocated to all runs. Best-effort runs count with their cores.
fn total_allocation(state: &BatchState) -> ResourceSize {
    state.workers().fold(ResourceSize::default(), |sum, (_, worker)| {
        let best_effort = ResourceSize { cores: worker.best_effort_cores, ..ResourceSize::default() };
        let of_worker = worker.allocated.checked_add(&best_effort);
        of_worker.and_then(|size| sum.checked_add(&size)).unwrap_or(sum)
    })
}

fn rate(weight: u32) -> JobRate {
    JobRate::new(weight.max(1))
}
