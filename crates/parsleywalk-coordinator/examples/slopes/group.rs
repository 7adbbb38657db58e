//! A simulation of seven coordinators in one thread.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt::{self, Display, Formatter, Write};
use std::time::{Duration, Instant};

use parsleywalk_api::WorkerReport;
use parsleywalk_catalog::Catalog;
use parsleywalk_consensus::{ConsensusNode, ConsensusSettings, RecoveredLog, ReplicaId, ReplicaSet};
use parsleywalk_control::{ControlCommand, ControlState, JobSpec};
use parsleywalk_coordinator::{
    CallToken, CoordinatorAction, CoordinatorEvent, CoordinatorMessage, DaemonCoordinator, LeaderCall, LeaderReply,
};
use parsleywalk_units::{Incarnation, MonotonicTime, StateTime, TaskId, VmNumber};

use crate::fleet::WorkerFleet;

/// The number of daemons, of which the first [`REPLICAS`] are replicas and the others observers.
const DAEMONS: usize = 7;
const REPLICAS: usize = 5;
/// The step by which simulated time advances.
const TIME_STEP: Duration = Duration::from_millis(5);
/// The maximum number of tasks of one job.
const MAX_TASKS_PER_JOB: u32 = 10_000;

/// The role of a daemon in the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DaemonRole {
    Leader,
    Follower,
    Observer,
}

impl DaemonRole {
    pub(crate) const ALL: [Self; 3] = [Self::Leader, Self::Follower, Self::Observer];
}

impl Display for DaemonRole {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Leader => "leader",
            Self::Follower => "follower",
            Self::Observer => "observer",
        })
    }
}

/// The cost of one daemon, averaged over the daemons of its role: processor time in percent of a core, and bytes per
/// second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoleCost {
    pub(crate) core_percent: f64,
    pub(crate) log_bytes_out: f64,
    pub(crate) log_bytes_in: f64,
    pub(crate) call_bytes_out: f64,
    pub(crate) call_bytes_in: f64,
}

/// A daemon with its costs so far.
struct GroupMember {
    coordinator: DaemonCoordinator,
    processor_time: Duration,
    log_bytes_out: u64,
    log_bytes_in: u64,
    call_bytes_out: u64,
    call_bytes_in: u64,
    last_call: u64,
}

/// Seven daemons, their messages in flight, and the reports that wait for a response.
pub(crate) struct DaemonGroup {
    members: Vec<GroupMember>,
    now: MonotonicTime,
    queue: VecDeque<(usize, CoordinatorEvent)>,
    reports: HashMap<(usize, CallToken), usize>,
    responses: Vec<(usize, Option<Vec<u8>>)>,
    batch: BTreeSet<TaskId>,
    submitted: u32,
    jobs: u32,
    pending_turnover: f64,
}

impl DaemonGroup {
    pub(crate) fn start() -> Self {
        let vms: Vec<VmNumber> = (1..=DAEMONS).map(|vm| VmNumber::new(vm as u32)).collect();
        let ids: Vec<ReplicaId> = vms.iter().map(|vm| ReplicaId::new(*vm, Incarnation::new(1))).collect();
        let initial_replicas = ReplicaSet::new(ids[..REPLICAS].to_vec());
        let members = ids.iter().enumerate().map(|(index, id)| {
            let contact_points = vms.iter().copied().filter(|vm| *vm != id.vm).collect::<Vec<_>>();
            let settings = ConsensusSettings { contact_points: contact_points.clone(), ..ConsensusSettings::default() };
            let node = if index < REPLICAS {
                let recovered = RecoveredLog::bootstrapped(initial_replicas.clone());
                ConsensusNode::open(settings, *id, recovered, index as u64, MonotonicTime::ZERO).expect("a new log")
            } else {
                ConsensusNode::observer(settings, *id, contact_points, index as u64, MonotonicTime::ZERO)
            };
            GroupMember {
                coordinator: DaemonCoordinator::new(node, vms.iter().copied(), index as u64),
                processor_time: Duration::ZERO,
                log_bytes_out: 0,
                log_bytes_in: 0,
                call_bytes_out: 0,
                call_bytes_in: 0,
                last_call: 0,
            }
        });
        let mut group = Self {
            members: members.collect(),
            now: MonotonicTime::ZERO,
            queue: VecDeque::new(),
            reports: HashMap::new(),
            responses: Vec::new(),
            batch: BTreeSet::new(),
            submitted: 0,
            jobs: 0,
            pending_turnover: 0.0,
        };
        while group.leader().is_none() {
            group.advance();
        }
        group
    }

    pub(crate) fn configure(&mut self, instances: u32) {
        let service_count = 44_u32;
        let mut text = "version: 1\nteams: [{ name: planning, weight: 1 }]\nservices:\n".to_owned();
        for service in 0..service_count {
            let share = instances / service_count + u32::from(service < instances % service_count);
            if share > 0 {
                writeln!(
                    text,
                    "  - {{ name: service-{service}, class: latency-critical, team: planning, size: {{ cores: 1, memory: \
                     4GB }}, instances: {share}, slots: 8, deadline: 2s }}"
                )
                .expect("writing to a string cannot fail");
            }
        }
        text += "  - { name: batch, class: batch, team: planning, size: { cores: 0.8, memory: 3GB }, run_time: 6m }\n";
        let catalog = Catalog::parse(&text).expect("a valid configuration");
        let operation = "slopes".parse().expect("a name");
        let at = StateTime::default();
        let command = ControlCommand::ApplyConfiguration { at, operation, catalog, text };
        self.call(0, LeaderCall::Command(Box::new(command)));
    }

    pub(crate) fn submit(&mut self, tasks: u32) {
        let mut remaining = tasks;
        while remaining > 0 {
            let count = remaining.min(MAX_TASKS_PER_JOB);
            remaining -= count;
            self.jobs += 1;
            self.submitted += count;
            let key = format!("planning/job-{}", self.jobs).parse().expect("a job key");
            let service = "batch".parse().expect("a name");
            let job = JobSpec { service, count, size: None, urgent: false, arguments: String::new() };
            let command = ControlCommand::SubmitJob { at: StateTime::default(), key, job };
            self.call(self.jobs as usize % DAEMONS, LeaderCall::Command(Box::new(command)));
        }
    }

    /// Runs for a time span, completing and submitting `turnover` batch tasks per second.
    pub(crate) fn run(&mut self, fleet: &mut WorkerFleet, span: Duration, turnover: f64) {
        let end = self.now + span;
        fleet.reports = 0;
        while self.now < end {
            self.pending_turnover += turnover * TIME_STEP.as_secs_f64();
            if self.pending_turnover >= 20.0 {
                let count = self.pending_turnover as usize;
                self.pending_turnover -= count as f64;
                self.refresh_batch_tasks();
                fleet.complete(count, &self.batch);
                self.submit(count as u32);
            }
            for (index, body) in fleet.due(self.now) {
                self.report(index, &body);
            }
            self.advance();
            for (index, body) in std::mem::take(&mut self.responses) {
                fleet.handle_response(self.now, index, body.as_deref());
            }
        }
    }

    /// Delivers a report to an entry daemon, including the cost of decoding its JSON there.
    fn report(&mut self, index: usize, body: &[u8]) {
        let entry = index % DAEMONS;
        let start = Instant::now();
        let parsed: WorkerReport = serde_json::from_slice(body).expect("a report");
        let report = Box::new(parsed.into());
        self.members[entry].processor_time += start.elapsed();
        let call = self.call(entry, LeaderCall::Report { report, entries: Vec::new() });
        self.reports.insert((entry, call), index);
    }

    fn call(&mut self, index: usize, body: LeaderCall) -> CallToken {
        let member = &mut self.members[index];
        member.last_call += 1;
        let call = CallToken::new(member.last_call);
        self.queue.push_back((index, CoordinatorEvent::Call { call, body, timeout: Duration::from_secs(5) }));
        call
    }

    /// Advances simulated time by one step and handles all events in flight.
    fn advance(&mut self) {
        self.now = self.now + TIME_STEP;
        let at = StateTime::from_millis(self.now.as_micros() / 1000);
        for index in 0..DAEMONS {
            if self.members[index].coordinator.next_deadline() <= self.now {
                let member = &mut self.members[index];
                let start = Instant::now();
                let actions = member.coordinator.tick(self.now, at);
                member.processor_time += start.elapsed();
                self.execute(index, actions);
            }
        }
        while let Some((index, event)) = self.queue.pop_front() {
            let member = &mut self.members[index];
            let start = Instant::now();
            let actions = member.coordinator.step(self.now, at, event);
            member.processor_time += start.elapsed();
            self.execute(index, actions);
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => self.send(index, to.get() as usize - 1, &message),
                CoordinatorAction::Persist { ticket, .. } => {
                    self.queue.push_back((index, CoordinatorEvent::Persisted { ticket }));
                }
                CoordinatorAction::Finish { call, result } => {
                    if let Some(worker) = self.reports.remove(&(index, call)) {
                        let body = if let Ok(LeaderReply::Json(body)) = result { Some(body) } else { None };
                        self.responses.push((worker, body));
                    }
                }
                CoordinatorAction::Record(_) | CoordinatorAction::Configure => {}
                CoordinatorAction::Fail { reason } => panic!("{reason}"),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &CoordinatorMessage) {
        let start = Instant::now();
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("a message");
        self.members[from].processor_time += start.elapsed();
        let start = Instant::now();
        let (message, _): (CoordinatorMessage, usize) =
            bincode::serde::decode_from_slice(&bytes, bincode::config::standard()).expect("a message");
        self.members[to].processor_time += start.elapsed();
        let length = bytes.len() as u64;
        if matches!(message, CoordinatorMessage::Log { .. } | CoordinatorMessage::Progress { .. }) {
            self.members[from].log_bytes_out += length;
            self.members[to].log_bytes_in += length;
        } else {
            self.members[from].call_bytes_out += length;
            self.members[to].call_bytes_in += length;
        }
        let from = VmNumber::new(from as u32 + 1);
        self.queue.push_back((to, CoordinatorEvent::Receive { from, message }));
    }

    fn refresh_batch_tasks(&mut self) {
        let batch: BTreeSet<TaskId> = self
            .state()
            .tasks()
            .filter(|task| task.service().as_str() == "batch")
            .map(parsleywalk_control::TaskRecord::id)
            .collect();
        self.batch = batch;
    }

    fn leader(&self) -> Option<usize> {
        self.members.iter().position(|member| member.coordinator.is_active_leader(self.now))
    }

    pub(crate) fn state(&self) -> &ControlState {
        self.members[self.leader().unwrap_or(0)].coordinator.state()
    }

    pub(crate) fn running(&self) -> u32 {
        self.state().task_counts().running
    }

    /// Returns the number of submitted batch tasks that are no longer queued.
    pub(crate) fn starts(&self) -> u64 {
        u64::from(self.submitted - self.state().task_counts().queued.min(self.submitted))
    }

    pub(crate) fn reset_costs(&mut self) {
        for member in &mut self.members {
            member.processor_time = Duration::ZERO;
            (member.log_bytes_out, member.log_bytes_in, member.call_bytes_out, member.call_bytes_in) = (0, 0, 0, 0);
        }
    }

    /// Returns the cost of each role over a measurement of the given number of simulated seconds.
    pub(crate) fn costs(&self, seconds: u64) -> Vec<(DaemonRole, RoleCost)> {
        let leader = self.leader();
        let role = |index: usize| match () {
            () if Some(index) == leader => DaemonRole::Leader,
            () if index < REPLICAS => DaemonRole::Follower,
            () => DaemonRole::Observer,
        };
        let cost = |wanted: DaemonRole| {
            let members: Vec<&GroupMember> = self
                .members
                .iter()
                .enumerate()
                .filter(|(index, _)| role(*index) == wanted)
                .map(|(_, member)| member)
                .collect();
            let mean = |value: &dyn Fn(&GroupMember) -> f64| {
                members.iter().map(|member| value(member)).sum::<f64>() / (members.len() as f64 * seconds as f64)
            };
            RoleCost {
                core_percent: mean(&|member| member.processor_time.as_secs_f64()) * 100.0,
                log_bytes_out: mean(&|member| member.log_bytes_out as f64),
                log_bytes_in: mean(&|member| member.log_bytes_in as f64),
                call_bytes_out: mean(&|member| member.call_bytes_out as f64),
                call_bytes_in: mean(&|member| member.call_bytes_in as f64),
            }
        };
        DaemonRole::ALL.iter().map(|role| (*role, cost(*role))).collect()
    }
}
