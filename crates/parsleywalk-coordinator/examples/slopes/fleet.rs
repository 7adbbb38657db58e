//! Model workers that execute their orders.

use std::collections::BTreeSet;

use parsleywalk_api::{ReportedPhase, TaskReport, WorkerOrder, WorkerReply, WorkerReport};
use parsleywalk_units::{
    AcceleratorCount, AttemptNumber, Incarnation, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskId,
    TimeSpan,
};

/// The number of workers in one rack.
const WORKERS_PER_RACK: usize = 8;

/// A model worker, whose state is its next report.
#[derive(Debug)]
struct ModelWorker {
    report: WorkerReport,
    next_report: MonotonicTime,
}

/// All model workers, and the traffic that they cause.
#[derive(Debug)]
pub(crate) struct WorkerFleet {
    workers: Vec<ModelWorker>,
    /// The number of reports since the last measurement began.
    pub(crate) reports: u64,
    pub(crate) report_bytes: usize,
    pub(crate) response_bytes: usize,
    next_completion: usize,
}

impl WorkerFleet {
    pub(crate) fn new(count: usize) -> Self {
        let workers = (0..count).map(|index| ModelWorker {
            report: WorkerReport {
                worker: format!("worker-{index}").parse().expect("a name"),
                incarnation: Incarnation::new(1),
                zone: format!("zone-{}", index % 11).parse().expect("a name"),
                rack: format!("rack-{}", index / WORKERS_PER_RACK).parse().expect("a name"),
                capacity: ResourceSize::new(MilliCores::new(32_000), MemoryBytes::new(125_000_000_000))
                    .with_accelerators(AcceleratorCount::new(1)),
                sequence: 0,
                echo: 0,
                lag: TimeSpan::from_secs(2),
                tasks: Vec::new(),
            },
            next_report: MonotonicTime::from_millis(index as u64 * 4000 / count as u64),
        });
        Self { workers: workers.collect(), reports: 0, report_bytes: 0, response_bytes: 0, next_completion: 0 }
    }

    /// Returns the reports that are due, with the indexes of their workers.
    pub(crate) fn due(&mut self, now: MonotonicTime) -> Vec<(usize, Vec<u8>)> {
        let due = self.workers.iter_mut().enumerate().filter(|(_, worker)| worker.next_report <= now);
        let due: Vec<(usize, Vec<u8>)> = due
            .map(|(index, worker)| {
                worker.report.sequence += 1;
                worker.next_report = MonotonicTime::NEVER;
                (index, serde_json::to_vec(&worker.report).expect("a report"))
            })
            .collect();
        self.reports += due.len() as u64;
        if let Some((_, body)) = due.last() {
            self.report_bytes = body.len();
        }
        due
    }

    /// Handles the response to a report. Without one the worker reports again after a short delay.
    pub(crate) fn handle_response(&mut self, now: MonotonicTime, index: usize, body: Option<&[u8]>) {
        let worker = &mut self.workers[index];
        let reply = body.and_then(|body| serde_json::from_slice::<WorkerReply>(body).ok());
        let Some(reply) = reply else {
            worker.next_report = now + std::time::Duration::from_millis(500);
            return;
        };
        self.response_bytes = body.map_or(0, <[u8]>::len);
        worker.next_report = now + reply.report_every.as_duration();
        worker.report.echo = reply.revision;
        for order in reply.orders {
            execute_order(&mut worker.report.tasks, &order);
        }
    }

    /// Completes `count` running batch tasks, at most one on each worker, in round-robin order.
    pub(crate) fn complete(&mut self, count: usize, batch: &BTreeSet<TaskId>) {
        let mut remaining = count;
        for _ in 0..self.workers.len() {
            if remaining == 0 {
                return;
            }
            self.next_completion = (self.next_completion + 1) % self.workers.len();
            let tasks = &mut self.workers[self.next_completion].report.tasks;
            let running =
                tasks.iter_mut().find(|task| task.phase == ReportedPhase::Running && batch.contains(&task.task));
            if let Some(task) = running {
                task.phase = ReportedPhase::Done;
                remaining -= 1;
            }
        }
    }
}

fn execute_order(tasks: &mut Vec<TaskReport>, order: &WorkerOrder) {
    match *order {
        WorkerOrder::Start { task, attempt, .. } => {
            if !tasks.iter().any(|known| known.task == task && known.attempt == attempt) {
                tasks.push(report(task, attempt));
            }
        }
        WorkerOrder::Stop { task, attempt } => {
            let known = tasks.iter_mut().find(|known| known.task == task && known.attempt == attempt);
            if let Some(known) = known {
                known.phase = ReportedPhase::Stopped;
            }
        }
        WorkerOrder::Settled { task, attempt } => {
            tasks.retain(|known| known.task != task || known.attempt != attempt);
        }
        WorkerOrder::Throttle { .. } => {}
    }
}

fn report(task: TaskId, attempt: AttemptNumber) -> TaskReport {
    TaskReport {
        task,
        attempt,
        phase: ReportedPhase::Running,
        cores: MilliCores::new(700),
        memory: MemoryBytes::new(2_000_000_000),
        latency_us: None,
        since_checkpoint: TimeSpan::from_secs(30),
        checkpoint: None,
        text: String::new(),
    }
}
