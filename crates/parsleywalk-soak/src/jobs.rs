//! Jobs that callers submit and cancel, and commands that the scheduling policy did not decide.

use std::time::Duration;

use parsleywalk_api::TaskPhase;
use parsleywalk_control::{ControlCommand, ControlReply, EvictionReason, JobSpec};
use parsleywalk_coordinator::{LeaderCall, LeaderReply};
use parsleywalk_units::{JobKey, MemoryBytes, MilliCores, ResourceSize, StateTime, TaskId};
use rand::RngExt;

use crate::control::CallResult;
use crate::daemon::ReplySink;
use crate::event::{Event, NetworkNode};
use crate::world::World;

/// How long an entry daemon waits for the leader's reply, as in the real daemon.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// A job.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact about the job")]
pub(crate) struct Job {
    pub(crate) key: JobKey,
    spec: JobSpec,
    /// Whether its submission was confirmed.
    pub(crate) accepted: bool,
    pub(crate) cancel_sent: bool,
    pub(crate) cancelled: bool,
    /// Whether its tasks are too large for any worker.
    pub(crate) is_unplaceable: bool,
}

/// Returns a size of `cores` cores and twice as many GB of memory.
pub(crate) fn resource_size(cores: u32) -> ResourceSize {
    ResourceSize::new(MilliCores::new(cores * 1000), MemoryBytes::new(u64::from(cores) * 2_000_000_000))
}

impl World {
    /// Submits a job, sometimes repeatedly to random entry daemons, and sometimes sends a cancel before the submission.
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

    /// Cancels many jobs at once, some of them before their submission.
    pub(crate) fn cancel_many_jobs(&mut self) {
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
        let is_unplaceable = self.random.random_ratio(1, 40);
        let cores = if is_unplaceable { 30 } else { self.random.random_range(1..=4) };
        let run = [200, 800, 2500, 8000][self.random.random_range(0..4)];
        let spec = JobSpec {
            service: "survey".parse().expect("a service's name"),
            count: self.random.random_range(1..=3),
            size: Some(resource_size(cores)),
            urgent: self.random.random_ratio(1, 6),
            arguments: format!("{run}"),
        };
        let key = format!("planning/job-{number}").parse().expect("a job's key");
        self.jobs.push(Job { key, spec, accepted: false, cancel_sent: false, cancelled: false, is_unplaceable });
        number
    }

    pub(crate) fn send_job(&mut self, job: usize, cancel: bool, wait: u64) {
        if cancel {
            self.totals.cancels += 1;
            self.jobs[job].cancel_sent = true;
        }
        let daemon = self.random_entry();
        let at = self.arrival() + wait;
        if !self.cuts.contains(&(NetworkNode::Client, NetworkNode::Daemon(daemon))) {
            self.schedule(at, Event::Job { daemon, job, cancel });
        }
    }

    pub(crate) fn on_job(&mut self, daemon: usize, job: usize, cancel: bool) {
        let (at, key) = (StateTime::default(), self.jobs[job].key.clone());
        let command = if cancel {
            ControlCommand::CancelJob { at, key }
        } else {
            ControlCommand::SubmitJob { at, key, job: self.jobs[job].spec.clone() }
        };
        self.call(daemon, LeaderCall::Command(Box::new(command)), JOB_TIMEOUT, ReplySink::Job { job, cancel });
    }

    pub(crate) fn on_job_result(&mut self, job: usize, cancel: bool, result: &CallResult) {
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

    /// Sends an eviction for every task that is starting in the state of `daemon`.
    pub(crate) fn evict_starting_tasks(&mut self, daemon: usize) {
        let Some(process) = &self.daemons[daemon].process else { return };
        let tasks = process.coordinator.state().tasks();
        let starting = tasks.filter(|task| task.phase() == TaskPhase::Starting);
        let starting: Vec<_> = starting.map(|task| (task.id(), task.attempt())).collect();
        for (task, attempt) in starting {
            let (at, reason) = (StateTime::default(), EvictionReason::Rebalance);
            let command = Box::new(ControlCommand::EvictTask { at, task, attempt, reason });
            self.totals.faulty_commands += 1;
            self.call(daemon, LeaderCall::Command(command), Duration::from_secs(2), ReplySink::Ignored);
        }
    }

    /// Sends a start or an eviction that the scheduling policy did not decide and that may be invalid: it may exceed
    /// the worker's capacity, or name a wrong attempt or a zone that is out of service.
    pub(crate) fn send_faulty_command(&mut self) {
        let daemon = self.random_entry();
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
        self.call(daemon, LeaderCall::Command(Box::new(command)), Duration::from_secs(2), ReplySink::Ignored);
    }
}
