//! Jobs of callers.

use std::time::Duration;

use parsleywalk_api::TaskPhase;
use parsleywalk_control::{ControlCommand, ControlReply, EvictionReason, JobSpec};
use parsleywalk_coordinator::{LeaderCall, LeaderReply};
use parsleywalk_units::{JobKey, MemoryBytes, MilliCores, ResourceSize, StateTime, TaskId};
use rand::RngExt;

use crate::control::CallResult;
use crate::daemon::CallSink;
use crate::event::{Event, Party};
use crate::world::World;

/// The longest wait for the leader's answer, as at the caller edge.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// One job.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each notes another event of the job's life")]
pub(crate) struct Job {
    pub(crate) key: JobKey,
    spec: JobSpec,
    /// Whether its submission was answered with success.
    pub(crate) accepted: bool,
    pub(crate) cancel_sent: bool,
    pub(crate) cancelled: bool,
    /// Whether no worker is large enough for it.
    pub(crate) impossible: bool,
}

/// A size of `cores` cores and twice as many GB of memory.
pub(crate) fn size(cores: u32) -> ResourceSize {
    ResourceSize::new(MilliCores::new(cores * 1000), MemoryBytes::new(u64::from(cores) * 2_000_000_000))
}

impl World {
    /// Submits a job, now and then several times at several entries, or cancels it before it is submitted.
    pub(crate) fn submit_job(&mut self) {
        let job = self.new_job();
        if self.random.random_ratio(1, 15) {
            self.send_job(job, true, 0);
        }
        let wait = self.random.random_range(0..300_000);
        self.send_job(job, false, wait);
        while self.random.random_ratio(1, 4) {
            let wait = self.random.random_range(0..2_000_000);
            self.send_job(job, false, wait);
        }
    }

    pub(crate) fn cancel_job(&mut self) {
        if !self.jobs.is_empty() {
            let recent = self.jobs.len().saturating_sub(20);
            let job = self.random.random_range(recent..self.jobs.len());
            self.send_job(job, true, 0);
        }
    }

    /// Cancels many jobs at once, some of them before they are submitted.
    pub(crate) fn flood_cancels(&mut self) {
        let recent = self.jobs.len().saturating_sub(15);
        let mut jobs: Vec<usize> = (recent..self.jobs.len()).collect();
        for _ in 0..10 {
            jobs.push(self.new_job());
        }
        for job in jobs {
            let wait = self.random.random_range(0..200_000);
            self.send_job(job, true, wait);
            if self.random.random_ratio(1, 2) {
                self.send_job(job, false, wait * 3);
            }
        }
    }

    pub(crate) fn new_job(&mut self) -> usize {
        let number = self.jobs.len();
        let impossible = self.random.random_ratio(1, 40);
        let cores = if impossible { 30 } else { self.random.random_range(1..=4) };
        let run = [200, 800, 2500, 8000][self.random.random_range(0..4)];
        let spec = JobSpec {
            service: "survey".parse().expect("a service's name"),
            count: self.random.random_range(1..=3),
            size: Some(size(cores)),
            urgent: self.random.random_ratio(1, 6),
            arguments: format!("{run}"),
        };
        let key = format!("planning/job-{number}").parse().expect("a job's key");
        self.jobs.push(Job { key, spec, accepted: false, cancel_sent: false, cancelled: false, impossible });
        number
    }

    pub(crate) fn send_job(&mut self, job: usize, cancel: bool, wait: u64) {
        if cancel {
            self.totals.cancels += 1;
            self.jobs[job].cancel_sent = true;
        }
        let daemon = self.any_entry();
        let at = self.arrival() + wait;
        if !self.cuts.contains(&(Party::Client, Party::Daemon(daemon))) {
            self.schedule(at, Event::Job { daemon, job, cancel });
        }
    }

    pub(crate) fn call_job(&mut self, daemon: usize, job: usize, cancel: bool) {
        let (at, key) = (StateTime::default(), self.jobs[job].key.clone());
        let command = if cancel {
            ControlCommand::CancelJob { at, key }
        } else {
            ControlCommand::SubmitJob { at, key, job: self.jobs[job].spec.clone() }
        };
        self.call(daemon, LeaderCall::Command(Box::new(command)), JOB_TIMEOUT, CallSink::Job { job, cancel });
    }

    pub(crate) fn job_answered(&mut self, job: usize, cancel: bool, result: &CallResult) {
        match result {
            Ok(LeaderReply::Applied(ControlReply::Job { .. })) => {
                self.totals.jobs += u64::from(!self.jobs[job].accepted);
                self.jobs[job].accepted = true;
            }
            Ok(LeaderReply::Applied(ControlReply::Cancelled { .. })) => self.jobs[job].cancelled = true,
            _ if self.random.random_ratio(1, 2) => self.send_job(job, cancel, 500_000),
            _ => {}
        }
    }

    /// Evicts every task that a daemon knows as placed and not started.
    pub(crate) fn evict_starting(&mut self, daemon: usize) {
        let Some(process) = &self.daemons[daemon].process else { return };
        let tasks = process.coordinator.state().tasks();
        let starting = tasks.filter(|task| task.phase() == TaskPhase::Starting);
        let starting: Vec<_> = starting.map(|task| (task.id(), task.attempt())).collect();
        for (task, attempt) in starting {
            let (at, reason) = (StateTime::default(), EvictionReason::Rebalance);
            let command = Box::new(ControlCommand::EvictTask { at, task, attempt, reason });
            self.totals.faulty_commands += 1;
            self.call(daemon, LeaderCall::Command(command), Duration::from_secs(2), CallSink::Dropped);
        }
    }

    /// Sends a start or an eviction that the policy never decided: an overcommitment, a wrong attempt or zone.
    pub(crate) fn send_faulty_command(&mut self) {
        let daemon = self.any_entry();
        let Some(process) = &self.daemons[daemon].process else { return };
        let state = process.coordinator.state();
        let tasks: Vec<(TaskId, _, _)> =
            state.tasks().map(|task| (task.id(), task.attempt(), task.declared())).collect();
        let workers: Vec<_> = state.workers().map(parsleywalk_control::WorkerRecord::number).collect();
        if tasks.is_empty() || workers.is_empty() {
            return;
        }
        let (task, last, declared) = tasks[self.random.random_range(0..tasks.len())];
        let worker = workers[self.random.random_range(0..workers.len())];
        let at = StateTime::default();
        let command = if self.random.random_ratio(1, 2) {
            let attempt = if self.random.random_ratio(3, 4) { last.next() } else { last };
            ControlCommand::StartTask { at, task, attempt, worker, size: declared }
        } else {
            ControlCommand::EvictTask { at, task, attempt: last, reason: EvictionReason::Rebalance }
        };
        self.totals.faulty_commands += 1;
        self.call(daemon, LeaderCall::Command(Box::new(command)), Duration::from_secs(2), CallSink::Dropped);
    }
}
