//! Seven coordinators in one thread.

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

/// Daemons, the first five of which are replicas.
const DAEMONS: usize = 7;
const REPLICAS: usize = 5;
/// The step of simulated time.
const STEP: Duration = Duration::from_millis(5);
/// The most tasks of one job.
const JOB_TASKS: u32 = 10_000;

/// What a daemon does.
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

/// What one daemon of a role spends, on average over the daemons of that role.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoleCost {
    pub(crate) core_percent: f64,
    pub(crate) log_out: f64,
    pub(crate) log_in: f64,
    pub(crate) call_out: f64,
    pub(crate) call_in: f64,
}

/// One daemon with what it has spent.
struct GroupMember {
    coordinator: DaemonCoordinator,
    spent: Duration,
    log_out: u64,
    log_in: u64,
    call_out: u64,
    call_in: u64,
    last_call: u64,
}

/// Seven daemons, their messages in flight, and the reports that wait for an answer.
pub(crate) struct DaemonGroup {
    members: Vec<GroupMember>,
    now: MonotonicTime,
    queue: VecDeque<(usize, CoordinatorEvent)>,
    reports: HashMap<(usize, CallToken), usize>,
    answers: Vec<(usize, Option<Vec<u8>>)>,
    batch: BTreeSet<TaskId>,
    submitted: u32,
    jobs: u32,
    owed: f64,
}

impl DaemonGroup {
    pub(crate) fn start() -> Self {
        let vms: Vec<VmNumber> = (1..=DAEMONS).map(|vm| VmNumber::new(vm as u32)).collect();
        let ids: Vec<ReplicaId> = vms.iter().map(|vm| ReplicaId::new(*vm, Incarnation::new(1))).collect();
        let founders = ReplicaSet::new(ids[..REPLICAS].to_vec());
        let members = ids.iter().enumerate().map(|(place, id)| {
            let contact_points = vms.iter().copied().filter(|vm| *vm != id.vm).collect::<Vec<_>>();
            let settings = ConsensusSettings { contact_points: contact_points.clone(), ..ConsensusSettings::default() };
            let node = if place < REPLICAS {
                let recovered = RecoveredLog::bootstrapped(founders.clone());
                ConsensusNode::open(settings, *id, recovered, place as u64, MonotonicTime::ZERO).expect("a new log")
            } else {
                ConsensusNode::observer(settings, *id, contact_points, place as u64, MonotonicTime::ZERO)
            };
            GroupMember {
                coordinator: DaemonCoordinator::new(node, vms.iter().copied(), place as u64),
                spent: Duration::ZERO,
                log_out: 0,
                log_in: 0,
                call_out: 0,
                call_in: 0,
                last_call: 0,
            }
        });
        let mut group = Self {
            members: members.collect(),
            now: MonotonicTime::ZERO,
            queue: VecDeque::new(),
            reports: HashMap::new(),
            answers: Vec::new(),
            batch: BTreeSet::new(),
            submitted: 0,
            jobs: 0,
            owed: 0.0,
        };
        while group.leader().is_none() {
            group.advance();
        }
        group
    }

    pub(crate) fn configure(&mut self, instances: u32) {
        let kinds = 44_u32;
        let mut text = "version: 1\nteams: [{ name: planning, weight: 1 }]\nservices:\n".to_owned();
        for kind in 0..kinds {
            let share = instances / kinds + u32::from(kind < instances % kinds);
            if share > 0 {
                writeln!(
                    text,
                    "  - {{ name: service-{kind}, class: latency-critical, team: planning, size: {{ cores: 1, memory: \
                     4GB }}, instances: {share}, slots: 8, deadline: 2s }}"
                )
                .expect("a string takes all text");
            }
        }
        text += "  - { name: batch, class: batch, team: planning, size: { cores: 0.8, memory: 3GB }, run_time: 6m }\n";
        let catalog = Catalog::parse(&text).expect("a valid text");
        let operation = "slopes".parse().expect("a name");
        let at = StateTime::default();
        let command = ControlCommand::ApplyConfiguration { at, operation, catalog, text };
        self.call(0, LeaderCall::Command(Box::new(command)));
    }

    pub(crate) fn submit(&mut self, tasks: u32) {
        let mut left = tasks;
        while left > 0 {
            let count = left.min(JOB_TASKS);
            left -= count;
            self.jobs += 1;
            self.submitted += count;
            let key = format!("planning/job-{}", self.jobs).parse().expect("a job key");
            let service = "batch".parse().expect("a name");
            let job = JobSpec { service, count, size: None, urgent: false, arguments: String::new() };
            let command = ControlCommand::SubmitJob { at: StateTime::default(), key, job };
            self.call(self.jobs as usize % DAEMONS, LeaderCall::Command(Box::new(command)));
        }
    }

    /// Runs for a span, ending and submitting `turnover` batch tasks a second.
    pub(crate) fn run(&mut self, fleet: &mut WorkerFleet, span: Duration, turnover: f64) {
        let end = self.now + span;
        fleet.reports = 0;
        while self.now < end {
            self.owed += turnover * STEP.as_secs_f64();
            if self.owed >= 20.0 {
                let count = self.owed as usize;
                self.owed -= count as f64;
                self.note_batch();
                fleet.complete(count, &self.batch);
                self.submit(count as u32);
            }
            for (place, body) in fleet.due(self.now) {
                self.report(place, &body);
            }
            self.advance();
            for (place, body) in std::mem::take(&mut self.answers) {
                fleet.answer(self.now, place, body.as_deref());
            }
        }
    }

    /// Hands a report to an entry, which checks it as the caller edge does.
    fn report(&mut self, place: usize, body: &[u8]) {
        let entry = place % DAEMONS;
        let start = Instant::now();
        let parsed: WorkerReport = serde_json::from_slice(body).expect("a report");
        let report = Box::new(parsed.into());
        self.members[entry].spent += start.elapsed();
        let call = self.call(entry, LeaderCall::Report { report, entries: Vec::new() });
        self.reports.insert((entry, call), place);
    }

    fn call(&mut self, place: usize, body: LeaderCall) -> CallToken {
        let member = &mut self.members[place];
        member.last_call += 1;
        let call = CallToken::new(member.last_call);
        self.queue.push_back((place, CoordinatorEvent::Call { call, body, timeout: Duration::from_secs(5) }));
        call
    }

    /// Advances simulated time by one step and handles everything that is in flight.
    fn advance(&mut self) {
        self.now = self.now + STEP;
        let at = StateTime::from_millis(self.now.as_micros() / 1000);
        for place in 0..DAEMONS {
            if self.members[place].coordinator.next_deadline() <= self.now {
                let member = &mut self.members[place];
                let start = Instant::now();
                let actions = member.coordinator.tick(self.now, at);
                member.spent += start.elapsed();
                self.carry_out(place, actions);
            }
        }
        while let Some((place, event)) = self.queue.pop_front() {
            let member = &mut self.members[place];
            let start = Instant::now();
            let actions = member.coordinator.step(self.now, at, event);
            member.spent += start.elapsed();
            self.carry_out(place, actions);
        }
    }

    fn carry_out(&mut self, place: usize, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => self.send(place, to.get() as usize - 1, &message),
                CoordinatorAction::Persist { ticket, .. } => {
                    self.queue.push_back((place, CoordinatorEvent::Persisted { ticket }));
                }
                CoordinatorAction::Finish { call, result } => {
                    if let Some(worker) = self.reports.remove(&(place, call)) {
                        let body = if let Ok(LeaderReply::Json(body)) = result { Some(body) } else { None };
                        self.answers.push((worker, body));
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
        self.members[from].spent += start.elapsed();
        let start = Instant::now();
        let (message, _): (CoordinatorMessage, usize) =
            bincode::serde::decode_from_slice(&bytes, bincode::config::standard()).expect("a message");
        self.members[to].spent += start.elapsed();
        let length = bytes.len() as u64;
        if matches!(message, CoordinatorMessage::Log { .. } | CoordinatorMessage::Progress { .. }) {
            self.members[from].log_out += length;
            self.members[to].log_in += length;
        } else {
            self.members[from].call_out += length;
            self.members[to].call_in += length;
        }
        let from = VmNumber::new(from as u32 + 1);
        self.queue.push_back((to, CoordinatorEvent::Receive { from, message }));
    }

    fn note_batch(&mut self) {
        let batch: BTreeSet<TaskId> = self
            .state()
            .tasks()
            .filter(|task| task.service().as_str() == "batch")
            .map(parsleywalk_control::TaskRecord::id)
            .collect();
        self.batch = batch;
    }

    fn leader(&self) -> Option<usize> {
        self.members.iter().position(|member| member.coordinator.leads(self.now))
    }

    pub(crate) fn state(&self) -> &ControlState {
        self.members[self.leader().unwrap_or(0)].coordinator.state()
    }

    pub(crate) fn running(&self) -> u32 {
        self.state().task_counts().running
    }

    /// Batch tasks that have left the queue.
    pub(crate) fn starts(&self) -> u64 {
        u64::from(self.submitted - self.state().task_counts().queued.min(self.submitted))
    }

    pub(crate) fn reset_costs(&mut self) {
        for member in &mut self.members {
            member.spent = Duration::ZERO;
            (member.log_out, member.log_in, member.call_out, member.call_in) = (0, 0, 0, 0);
        }
    }

    /// What each role spent for a measurement of so many simulated seconds.
    pub(crate) fn costs(&self, seconds: u64) -> Vec<(DaemonRole, RoleCost)> {
        let leader = self.leader();
        let role = |place: usize| match () {
            () if Some(place) == leader => DaemonRole::Leader,
            () if place < REPLICAS => DaemonRole::Follower,
            () => DaemonRole::Observer,
        };
        let cost = |wanted: DaemonRole| {
            let members: Vec<&GroupMember> =
                self.members.iter().enumerate().filter(|(place, _)| role(*place) == wanted).map(|(_, m)| m).collect();
            let mean = |value: &dyn Fn(&GroupMember) -> f64| {
                members.iter().map(|member| value(member)).sum::<f64>() / (members.len() as f64 * seconds as f64)
            };
            RoleCost {
                core_percent: mean(&|member| member.spent.as_secs_f64()) * 100.0,
                log_out: mean(&|member| member.log_out as f64),
                log_in: mean(&|member| member.log_in as f64),
                call_out: mean(&|member| member.call_out as f64),
                call_in: mean(&|member| member.call_in as f64),
            }
        };
        DaemonRole::ALL.iter().map(|role| (*role, cost(*role))).collect()
    }
}
