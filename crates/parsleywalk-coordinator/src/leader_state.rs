//! The leader's volatile state: policy, leases, throttles and operations that wait until they are in force.

use std::time::Duration;

use parsleywalk_consensus::{LogIndex, LogTerm};
use parsleywalk_control::{ControlCommand, ControlReply, ControlState, EvictionReason, LeaseTable, StateChange};
use parsleywalk_scheduler::{EvictionCause, PolicyDecision, SchedulerPolicy};
use parsleywalk_units::{AttemptNumber, MonotonicTime, StateTime, TaskId, ThrottleLevel, WorkerId};

use crate::call_table::ReplyTo;
use crate::{CoordinatorSettings, conversion};

/// The interval between scheduling cycles.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between checks of the leases. A check scans all workers, and a lease lasts minutes.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of decisions of one scheduling cycle, which keeps a cycle well below the leader's heartbeat
/// interval.
const MAX_DECISIONS_PER_CYCLE: usize = 256;

/// The number of open proposals above which the policy pauses, so that client requests still find space in the
/// log's queue.
pub(crate) const MAX_OPEN_PROPOSALS: usize = 2048;

/// The longest time that the reply to an operator waits for responsive daemons to confirm the command.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);

/// The reply to an operator, held back until the command is in force.
#[derive(Debug)]
pub(crate) struct PendingOperation {
    pub(crate) index: LogIndex,
    pub(crate) reply_to: ReplyTo,
    pub(crate) reply: ControlReply,
    pub(crate) deadline: MonotonicTime,
}

impl PendingOperation {
    pub(crate) fn new(now: MonotonicTime, index: LogIndex, reply_to: ReplyTo, reply: ControlReply) -> Self {
        Self { index, reply_to, reply, deadline: now + CONFIRMATION_TIMEOUT }
    }
}

/// The throttle of one attempt.
#[derive(Debug, Clone, Copy)]
struct TaskThrottle {
    task: TaskId,
    attempt: AttemptNumber,
    level: ThrottleLevel,
}

/// The leader's volatile state. A new leader starts with an empty one.
pub(crate) struct LeaderState {
    pub(crate) term: LogTerm,
    /// Set once an entry of the leader's own term is applied. The control state then holds everything that was
    /// committed before the term.
    pub(crate) ready: bool,
    pub(crate) policy: SchedulerPolicy,
    pub(crate) leases: LeaseTable,
    pub(crate) operations: Vec<PendingOperation>,
    pub(crate) next_decision: MonotonicTime,
    next_lease_check: MonotonicTime,
    throttles: Vec<TaskThrottle>,
}

impl LeaderState {
    pub(crate) fn new(settings: &CoordinatorSettings, term: LogTerm, seed: u64) -> Self {
        Self {
            term,
            ready: false,
            policy: SchedulerPolicy::new(settings.policy.clone(), seed),
            leases: LeaseTable::new(settings.lease),
            operations: Vec::new(),
            next_decision: MonotonicTime::ZERO,
            next_lease_check: MonotonicTime::ZERO,
            throttles: Vec::new(),
        }
    }

    /// Begins the term: passes the whole control state to the policy, and counts every worker's lease from now.
    pub(crate) fn begin_term(&mut self, now: MonotonicTime, state: &ControlState) {
        self.ready = true;
        for change in state.replay_changes() {
            self.observe(now, state, &change);
        }
        self.leases.begin_term(now, state.workers().map(|worker| worker.id().clone()));
    }

    /// Updates throttles, leases and policy after a state change.
    pub(crate) fn observe(&mut self, now: MonotonicTime, state: &ControlState, change: &StateChange) {
        match change {
            StateChange::TaskEnded { task, .. } => self.throttles.retain(|throttle| throttle.task != *task),
            StateChange::WorkerLost { worker, .. } => self.leases.remove(worker),
            // A worker that has just registered has no lease yet. Counting one from now keeps it from being declared
            // lost before its first renewal.
            StateChange::WorkerJoined { worker, .. } => {
                self.leases.remove(worker);
                self.leases.renew(now, worker);
            }
            _ => {}
        }
        if let Some(event) = conversion::policy_event(state, change) {
            self.policy.observe(now, event);
        }
    }

    /// Runs a scheduling cycle if one is due, and returns the commands to propose.
    pub(crate) fn decide(&mut self, now: MonotonicTime, at: StateTime, state: &ControlState) -> Vec<ControlCommand> {
        if now < self.next_decision {
            return Vec::new();
        }
        self.next_decision = now + DECISION_INTERVAL;
        let decisions = self.policy.decide(now, MAX_DECISIONS_PER_CYCLE);
        let mut commands: Vec<ControlCommand> =
            decisions.into_iter().filter_map(|decision| self.command(at, state, decision)).collect();
        if now >= self.next_lease_check {
            self.next_lease_check = now + LEASE_CHECK_INTERVAL;
            commands.extend(self.worker_losses(now, at, state));
        }
        commands
    }

    /// Returns the throttles of the attempts on a worker.
    pub(crate) fn throttles<'a>(
        &'a self,
        state: &'a ControlState,
        worker: &'a WorkerId,
    ) -> impl Iterator<Item = (TaskId, AttemptNumber, ThrottleLevel)> + 'a {
        let on_worker = state.tasks_on(worker).filter_map(|task| {
            let index = self.throttles.binary_search_by_key(&task.id(), |throttle| throttle.task).ok()?;
            Some(&self.throttles[index])
        });
        on_worker.map(|throttle| (throttle.task, throttle.attempt, throttle.level))
    }

    fn command(&mut self, at: StateTime, state: &ControlState, decision: PolicyDecision) -> Option<ControlCommand> {
        Some(match decision {
            PolicyDecision::Start { task, attempt, worker, size } => {
                ControlCommand::StartTask { at, task, attempt, worker: state.worker(&worker)?.number(), size }
            }
            PolicyDecision::Evict { task, attempt, reason } => {
                ControlCommand::EvictTask { at, task, attempt, reason: eviction_reason(reason) }
            }
            PolicyDecision::Replace { task, .. } => ControlCommand::ReplaceInstance { at, task },
            PolicyDecision::Fail { task, reason } => ControlCommand::FailTask { at, task, reason },
            PolicyDecision::Throttle { task, attempt, level } => {
                self.throttle(TaskThrottle { task, attempt, level });
                return None;
            }
        })
    }

    fn throttle(&mut self, throttle: TaskThrottle) {
        match self.throttles.binary_search_by_key(&throttle.task, |known| known.task) {
            Ok(index) => self.throttles[index] = throttle,
            Err(index) => self.throttles.insert(index, throttle),
        }
    }

    fn worker_losses(&mut self, now: MonotonicTime, at: StateTime, state: &ControlState) -> Vec<ControlCommand> {
        let expired = self.leases.expired_workers(now).into_iter();
        expired
            .filter_map(|worker| {
                let incarnation = state.worker(&worker)?.incarnation();
                Some(ControlCommand::LoseWorker { at, worker, incarnation })
            })
            .collect()
    }
}

fn eviction_reason(cause: EvictionCause) -> EvictionReason {
    match cause {
        EvictionCause::UrgentWork | EvictionCause::ServiceInstance => EvictionReason::Urgent,
        EvictionCause::Interference => EvictionReason::Interference,
        EvictionCause::ZoneOut => EvictionReason::ZoneOut,
    }
}
