//! A model of a worker that follows the rules of the API, with its running attempts open to inspection.

use std::collections::BTreeMap;

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{AttemptNumber, Incarnation, MilliCores, ResourceSize, TaskId, TimeSpan, WorkerId, ZoneName};

use super::{capacity, unit};

pub(crate) type AttemptKey = (TaskId, AttemptNumber);

#[derive(Debug, Clone)]
pub(crate) struct RunningAttempt {
    /// The expiry time of the lease, in milliseconds on the worker's clock.
    pub(crate) lease_expires: u64,
    pub(crate) size: ResourceSize,
    pub(crate) checkpoint: Option<String>,
}

/// An event at a worker that a test checks.
#[derive(Debug, Clone)]
pub(crate) enum WorkerEvent {
    Started { key: AttemptKey, checkpoint: Option<String> },
    Settled { report: TaskReport },
}

#[derive(Debug, Clone)]
pub(crate) struct ModelWorker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: u64,
    /// The rate of the worker's clock, in percent of real time.
    pub(crate) rate: u64,
    pub(crate) sequence: u64,
    pub(crate) echo: u64,
    pub(crate) running: BTreeMap<AttemptKey, RunningAttempt>,
    pub(crate) ended: BTreeMap<AttemptKey, TaskReport>,
    sent_at: BTreeMap<u64, u64>,
}

impl ModelWorker {
    pub(crate) fn new(number: usize, rate: u64) -> Self {
        Self {
            id: unit(&format!("w{number}")),
            zone: unit(["a", "b"][number % 2]),
            incarnation: 1,
            rate,
            sequence: 0,
            echo: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            sent_at: BTreeMap::new(),
        }
    }

    fn local_time(&self, now: u64) -> u64 {
        now * self.rate / 100
    }

    pub(crate) fn capacity() -> ResourceSize {
        capacity(3)
    }

    /// Sends a report, after which responses to earlier ones are ignored.
    pub(crate) fn report(&mut self, now: u64) -> WorkerReport {
        self.sequence += 1;
        self.sent_at.insert(self.sequence, self.local_time(now));
        let running = self
            .running
            .iter()
            .map(|(key, attempt)| task_report(*key, ReportedPhase::Running, attempt.checkpoint.clone()));
        WorkerReport {
            worker: self.id.clone(),
            incarnation: Incarnation::new(self.incarnation),
            zone: self.zone.clone(),
            rack: unit("r"),
            capacity: Self::capacity(),
            sequence: self.sequence,
            echo: self.echo,
            lag: unit("0ms"),
            tasks: running.chain(self.ended.values().cloned()).collect(),
        }
    }

    pub(crate) fn receive(&mut self, now: u64, reply: &WorkerReply) -> Vec<WorkerEvent> {
        // Only the response to the newest report is handled.
        if reply.sequence != self.sequence {
            return Vec::new();
        }
        let Some(sent_at) = self.sent_at.remove(&reply.sequence) else { return Vec::new() };
        self.echo = reply.revision;
        let lease_expires = sent_at + reply.lease.map_or(0, TimeSpan::as_millis);
        for attempt in self.running.values_mut() {
            attempt.lease_expires = attempt.lease_expires.max(lease_expires);
        }
        let may_start = self.local_time(now) < sent_at + reply.start_within.as_millis();
        reply.orders.iter().filter_map(|order| self.execute(order, may_start, lease_expires)).collect()
    }

    fn execute(&mut self, order: &WorkerOrder, may_start: bool, lease_expires: u64) -> Option<WorkerEvent> {
        match order {
            WorkerOrder::Start { task, attempt, size, checkpoint, .. } => {
                let key = (*task, *attempt);
                if self.running.contains_key(&key) || self.ended.contains_key(&key) {
                    return None;
                }
                if !may_start {
                    self.ended.insert(key, task_report(key, ReportedPhase::NotStarted, None));
                    return None;
                }
                let checkpoint = checkpoint.clone();
                self.running.insert(key, RunningAttempt { lease_expires, size: *size, checkpoint: checkpoint.clone() });
                Some(WorkerEvent::Started { key, checkpoint })
            }
            WorkerOrder::Stop { task, attempt } => {
                self.end((*task, *attempt), ReportedPhase::Stopped);
                None
            }
            WorkerOrder::Settled { task, attempt } => {
                let report = self.ended.remove(&(*task, *attempt))?;
                Some(WorkerEvent::Settled { report })
            }
            WorkerOrder::Throttle { .. } => None,
        }
    }

    /// Ends a running attempt, which writes a last checkpoint if it is stopped.
    pub(crate) fn end(&mut self, key: AttemptKey, phase: ReportedPhase) {
        if let Some(mut attempt) = self.running.remove(&key) {
            if phase == ReportedPhase::Stopped {
                attempt.checkpoint = Some(next_checkpoint(attempt.checkpoint.as_deref()));
            }
            self.ended.insert(key, task_report(key, phase, attempt.checkpoint));
        }
    }

    pub(crate) fn take_checkpoint(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.running.get_mut(&key) {
            attempt.checkpoint = Some(next_checkpoint(attempt.checkpoint.as_deref()));
        }
    }

    /// Stops the attempts whose leases have expired.
    pub(crate) fn tick(&mut self, now: u64) {
        let local_time = self.local_time(now);
        let expired: Vec<_> = self
            .running
            .iter()
            .filter(|(_, attempt)| attempt.lease_expires <= local_time)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.end(key, ReportedPhase::Stopped);
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        (self.sequence, self.echo) = (0, 0);
        self.running.clear();
        self.ended.clear();
        self.sent_at.clear();
    }

    pub(crate) fn used_cores(&self) -> MilliCores {
        self.running.values().fold(MilliCores::new(0), |sum, attempt| sum.checked_add(attempt.size.cores).unwrap())
    }
}

/// Returns the number of a checkpoint, 0 for none. Later checkpoints of a task have larger numbers.
pub(crate) fn checkpoint_number(reference: Option<&str>) -> u64 {
    reference.map_or(0, |text| text[1..].parse().expect("a checkpoint reference is `c` and a number"))
}

fn next_checkpoint(reference: Option<&str>) -> String {
    format!("c{}", checkpoint_number(reference) + 1)
}

pub(crate) fn task_report((task, attempt): AttemptKey, phase: ReportedPhase, checkpoint: Option<String>) -> TaskReport {
    TaskReport {
        task,
        attempt,
        phase,
        cores: MilliCores::default(),
        memory: unit("0B"),
        latency_us: None,
        since_checkpoint: unit("0ms"),
        checkpoint,
        text: String::new(),
    }
}
