//! The scheduling policy and its scheduling cycle.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use parsleywalk_shares::ShareLedger;
use parsleywalk_units::{
    AttemptNumber, MonotonicTime, RackName, ResourceSize, ServiceName, TaskId, TeamName, WorkerId, ZoneName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::event::ObjectiveWeights;
use crate::guard_table::GuardTable;
use crate::index::PlacementIndex;
use crate::interference::InterferenceModel;
use crate::name_table::NameTable;
use crate::quarantine::QuarantineList;
use crate::queue::{QueuePriority, TaskQueue};
use crate::ramp::ZoneRamp;
use crate::spread::{InstanceSpread, RackReserve};
use crate::task::{TaskPhase, TaskTable};
use crate::usage::UsageEstimate;
use crate::worker::WorkerRecord;
use crate::{PolicyDecision, PolicyEvent, PolicySettings};

/// Number of task groups that one scheduling cycle may try to place without success, for each priority. This bounds the
/// cost of a cycle when many groups wait; the next cycle tries the others.
const MAX_UNPLACED_GROUPS: usize = 64;

/// State of a zone.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneRecord {
    pub(crate) out_of_service: bool,
    pub(crate) ramp: ZoneRamp,
    /// Number of registered workers.
    pub(crate) workers: usize,
}

/// Configuration of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceRecord {
    pub(crate) instances: u32,
    pub(crate) run_time: Option<std::time::Duration>,
}

/// Tables that map names to indexes.
#[derive(Debug, Clone, Default)]
pub(crate) struct PolicyNames {
    pub(crate) services: NameTable<ServiceName>,
    pub(crate) teams: NameTable<TeamName>,
    pub(crate) zones: NameTable<ZoneName>,
    pub(crate) racks: NameTable<RackName>,
    pub(crate) workers: NameTable<WorkerId>,
}

/// Decides where tasks start and which tasks are throttled, evicted, replaced or ended.
///
/// The policy does no I/O: it learns of changes from [`observe`](Self::observe) and returns proposals from
/// [`decide`](Self::decide). Accepted proposals come back as events.
#[derive(Debug, Clone)]
pub struct SchedulerPolicy {
    pub(crate) settings: PolicySettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) weights: ObjectiveWeights,
    pub(crate) names: PolicyNames,
    pub(crate) services: Vec<ServiceRecord>,
    pub(crate) zones: Vec<ZoneRecord>,
    pub(crate) workers: Vec<WorkerRecord>,
    /// Number of workers in service in each rack.
    pub(crate) rack_workers: Vec<u32>,
    /// Number of racks with at least one worker in service.
    pub(crate) racks_in_service: usize,
    /// Number of workers in service of each shape; see `cluster::shape`.
    pub(crate) shapes: BTreeMap<ResourceSize, u32>,
    /// Total capacity of the workers in service.
    pub(crate) total_capacity: ResourceSize,
    pub(crate) tasks: TaskTable,
    pub(crate) queue: TaskQueue,
    pub(crate) index: PlacementIndex,
    pub(crate) team_shares: ShareLedger,
    pub(crate) usage: UsageEstimate,
    pub(crate) spread: InstanceSpread,
    pub(crate) rack_reserve: RackReserve,
    pub(crate) interference: InterferenceModel,
    pub(crate) guards: GuardTable,
    pub(crate) quarantine: QuarantineList,
    /// Proposed starts by deadline. The proposal timeout is constant, so appending keeps them sorted.
    pub(crate) proposed_starts: VecDeque<(MonotonicTime, TaskId, AttemptNumber)>,
    /// Tasks in zones out of service by the time of the next proposal, instances first.
    pub(crate) evacuations: BTreeSet<(MonotonicTime, bool, TaskId)>,
    /// Queued tasks that should end as failed, by the time of the next proposal.
    pub(crate) failing: BTreeSet<(MonotonicTime, TaskId)>,
    /// Tasks whose throttle level is proposed again, by time.
    pub(crate) throttle_renewals: BTreeSet<(MonotonicTime, TaskId)>,
    /// Index of the worker that is reserved for each task.
    pub(crate) reservations: HashMap<TaskId, u32>,
    /// Number of evictions proposed so far.
    pub(crate) evictions: u64,
    /// Candidate list that is reused across placement searches.
    pub(crate) candidate_buffer: Vec<u32>,
}

impl SchedulerPolicy {
    /// Creates an empty policy. Equal seeds and equal calls produce equal decisions.
    #[must_use]
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            interference: InterferenceModel::new(settings.interference_half_life),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            weights: ObjectiveWeights::default(),
            names: PolicyNames::default(),
            services: Vec::new(),
            zones: Vec::new(),
            workers: Vec::new(),
            rack_workers: Vec::new(),
            racks_in_service: 0,
            shapes: BTreeMap::new(),
            total_capacity: ResourceSize::default(),
            tasks: TaskTable::new(),
            queue: TaskQueue::default(),
            index: PlacementIndex::default(),
            team_shares: ShareLedger::default(),
            usage: UsageEstimate::default(),
            spread: InstanceSpread::default(),
            rack_reserve: RackReserve::default(),
            guards: GuardTable::default(),
            quarantine: QuarantineList::default(),
            proposed_starts: VecDeque::new(),
            evacuations: BTreeSet::new(),
            failing: BTreeSet::new(),
            throttle_renewals: BTreeSet::new(),
            reservations: HashMap::new(),
            evictions: 0,
            candidate_buffer: Vec::new(),
        }
    }

    /// Records a change. Events of unknown tasks, and of attempts other than the current one, are ignored.
    pub fn observe(&mut self, now: MonotonicTime, event: PolicyEvent) {
        match event {
            PolicyEvent::ConfigurationChanged { services, teams, weights } => {
                self.configure(&services, &teams, weights);
            }
            PolicyEvent::ZoneChanged { zone, in_service } => self.change_zone(now, &zone, in_service),
            PolicyEvent::WorkerJoined { worker, zone, rack, capacity } => {
                self.join_worker(&worker, &zone, &rack, capacity);
            }
            PolicyEvent::WorkerLost { worker } => self.lose_worker(&worker),
            PolicyEvent::TaskQueued { .. } => self.queue_task(now, event),
            PolicyEvent::TaskPlaced { task, attempt, worker, size } => {
                self.place_task(now, task, attempt, &worker, size);
            }
            PolicyEvent::TaskRunning { task, attempt } => self.confirm_start(now, task, attempt),
            PolicyEvent::TaskEnded { task, attempt, outcome } => self.end_task(now, task, attempt, outcome),
            PolicyEvent::UsageReported { worker, measured_at, tasks } => {
                self.record_usage_report(now, &worker, measured_at, &tasks);
            }
        }
    }

    /// Runs a scheduling cycle and returns about `limit` proposals. The limit may be exceeded because the evictions and
    /// throttles of one worker are not split. Tasks to be ended as failed come first, then zone evacuations, guard
    /// steps and starts. A proposed start counts as allocated until it is placed or the proposal times out.
    pub fn decide(&mut self, now: MonotonicTime, limit: usize) -> Vec<PolicyDecision> {
        let mut decisions = Vec::new();
        self.expire_proposed_starts(now);
        self.queue.end_backoffs(now);
        let ramp = self.settings.ramp;
        for zone in &mut self.zones {
            zone.ramp.refill(now, ramp, zone.workers);
        }
        self.decide_failures(now, limit, &mut decisions);
        self.decide_evacuations(now, limit, &mut decisions);
        self.decide_guards(now, limit, &mut decisions);
        for priority in QueuePriority::ALL {
            self.decide_starts(now, limit, priority, &mut decisions);
        }
        decisions
    }

    /// Queues tasks again whose proposed start was not placed before its deadline.
    fn expire_proposed_starts(&mut self, now: MonotonicTime) {
        while let Some(&(deadline, task, attempt)) = self.proposed_starts.front() {
            if deadline > now {
                return;
            }
            self.proposed_starts.pop_front();
            let expired = self
                .tasks
                .get(&task)
                .is_some_and(|record| record.attempt == attempt && record.phase == TaskPhase::Proposed { deadline });
            if expired {
                self.release_capacity(task);
                self.enqueue(task);
            }
        }
    }

    fn decide_failures(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        while decisions.len() < limit
            && let Some(&(due, task)) = self.failing.first()
            && due <= now
        {
            self.failing.pop_first();
            let Some(workers) = self.quarantine.failed_healthy_workers(task, 1) else { continue };
            if !self.tasks.contains_key(&task) {
                continue;
            }
            let mut reason = format!("failed on {} healthy workers:", workers.len());
            for worker in workers.iter().take(8) {
                reason.push(' ');
                reason.push_str(self.workers[*worker as usize].id.as_str());
            }
            decisions.push(PolicyDecision::Fail { task, reason });
            self.failing.insert((now + self.settings.proposal_timeout, task));
        }
    }

    fn decide_starts(
        &mut self,
        now: MonotonicTime,
        limit: usize,
        priority: QueuePriority,
        decisions: &mut Vec<PolicyDecision>,
    ) {
        let mut unplaced_groups = 0;
        while decisions.len() < limit && unplaced_groups < MAX_UNPLACED_GROUPS {
            let fair = self.settings.fairness.then_some(&self.team_shares);
            let Some((group, task)) = self.queue.next_group(priority, fair) else { return };
            match self.select_worker(now, task, priority) {
                Ok((worker, size)) => decisions.push(self.propose_start(now, task, worker, size)),
                Err(reason) => {
                    let reason = self.preempt_or_reserve(now, task, priority, reason, decisions);
                    self.queue.back_off(group, now, self.settings.retry_backoff, reason);
                    unplaced_groups += 1;
                }
            }
        }
    }

    fn propose_start(&mut self, now: MonotonicTime, task: TaskId, worker: u32, size: ResourceSize) -> PolicyDecision {
        let deadline = now + self.settings.proposal_timeout;
        let mut attempt = AttemptNumber::default();
        if let Some(record) = self.tasks.get(&task) {
            attempt = record.attempt;
            self.queue.record_placement(record.group);
            self.queue.remove(record.group, task);
        }
        self.allocate_capacity(task, worker, size, TaskPhase::Proposed { deadline });
        self.proposed_starts.push_back((deadline, task, attempt));
        let zone = self.workers[worker as usize].zone;
        self.zones[zone as usize].ramp.consume_token();
        PolicyDecision::Start { task, attempt, worker: self.workers[worker as usize].id.clone(), size }
    }
}
