//! Measures placement decisions per second on one core and bytes per running task, and prints the slopes.
//!
//! `placement_bench -- [workers ...]`; each size runs about 32 tasks on each worker.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parsleywalk_scheduler::{
    ObjectiveWeights, PolicyDecision, PolicyEvent, PolicySettings, SchedulerPolicy, ServiceSpec, TaskOutcome,
    TaskUsage, TeamQuota,
};
use parsleywalk_units::{AttemptNumber, MonotonicTime, ResourceSize, TaskClass, TaskId, WorkerId};

const TASKS_PER_WORKER: usize = 32;
const TEAMS: u64 = 45;
const SERVICES: u64 = 200;
/// Batch tasks that end and are replaced in each measured round.
const ROUND: usize = 340;
const ROUNDS: usize = 200;

/// What one size measured.
#[derive(Debug, Clone, Copy)]
struct SizeResult {
    workers: f64,
    tasks: f64,
    bytes: f64,
    /// Nanoseconds for each start: `decide` only, and with the events around it.
    decide: f64,
    whole: f64,
    report: f64,
}

struct Fleet {
    policy: SchedulerPolicy,
    now: MonotonicTime,
    next: u64,
    running: VecDeque<TaskId>,
}

fn resident_bytes() -> f64 {
    // The second field is the resident size in pages of 4 KiB.
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4096.0
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid value")
}

impl Fleet {
    fn new(workers: usize) -> Self {
        let policy = SchedulerPolicy::new(PolicySettings::default(), 1);
        let mut fleet = Self { policy, now: MonotonicTime::from_millis(1), next: 1, running: VecDeque::new() };
        let services = (0..SERVICES)
            .map(|number| ServiceSpec {
                name: parse(&format!("s{number}")),
                class: if number < 20 { TaskClass::LatencyCritical } else { TaskClass::Batch },
                instances: if number < 20 { 1100 } else { 0 },
                run_time: None,
            })
            .collect();
        let teams = (0..TEAMS).map(|team| TeamQuota { team: parse(&format!("t{team}")), weight: 1, quota: None });
        let teams = teams.collect();
        fleet.observe(PolicyEvent::ConfigurationChanged { services, teams, weights: ObjectiveWeights::default() });
        for worker in 0..workers {
            let accelerators = if worker % 8 == 0 { 8 } else { 0 };
            fleet.observe(PolicyEvent::WorkerJoined {
                worker: parse(&format!("w{worker}")),
                zone: parse(&format!("z{}", worker / 8 % 11)),
                rack: parse(&format!("r{}", worker / 8)),
                capacity: parse::<ResourceSize>(&format!("64c/256GB/{accelerators}a")),
            });
        }
        fleet
    }

    fn observe(&mut self, event: PolicyEvent) {
        self.policy.observe(self.now, event);
    }

    fn queue(&mut self, critical: bool) {
        let number = self.next;
        self.next += 1;
        let service = if critical { number % 20 } else { 20 + number % (SERVICES - 20) };
        let cores = [1, 1, 2, 2, 3][usize::try_from(number % 5).expect("below 5")];
        self.observe(PolicyEvent::TaskQueued {
            task: TaskId::new(number),
            attempt: AttemptNumber::new(1),
            service: parse(&format!("s{service}")),
            team: parse(&format!("t{}", number % TEAMS)),
            class: if critical { TaskClass::LatencyCritical } else { TaskClass::Batch },
            size: parse::<ResourceSize>(&format!("{cores}c/{}GB/0a", cores * 3)),
            urgent: false,
            run_time: Some(Duration::from_mins(10)),
            saved: Duration::ZERO,
        });
    }

    /// Decides once and confirms what starts; returns the number of starts and the time in `decide`.
    fn decide(&mut self, limit: usize) -> (usize, Duration) {
        self.now = self.now + Duration::from_millis(500);
        let begun = Instant::now();
        let decisions = self.policy.decide(self.now, limit);
        let spent = begun.elapsed();
        let mut starts = 0;
        for decision in decisions {
            let PolicyDecision::Start { task, attempt, worker, size } = decision else { continue };
            starts += 1;
            self.observe(PolicyEvent::TaskPlaced { task, attempt, worker, size });
            self.observe(PolicyEvent::TaskRunning { task, attempt });
            self.running.push_back(task);
        }
        (starts, spent)
    }

    fn fill(&mut self, tasks: usize) {
        let critical = tasks * 22 / 142;
        for number in 0..tasks {
            self.queue(number < critical);
            if number % 10_000 == 9999 {
                self.decide(20_000);
            }
        }
        for _ in 0..50 {
            if self.decide(200_000).0 == 0 {
                break;
            }
        }
    }

    /// Nanoseconds for each report of a worker with its tasks.
    fn reports(&mut self, workers: usize) -> f64 {
        let count = workers.min(2000);
        let tasks: Vec<TaskUsage> = self
            .running
            .iter()
            .take(TASKS_PER_WORKER)
            .map(|task| TaskUsage {
                task: *task,
                cores: parse("1"),
                memory: parse("1GB"),
                latency: None,
                since_checkpoint: Duration::ZERO,
            })
            .collect();
        let names: Vec<WorkerId> = (0..count).map(|worker| parse(&format!("w{worker}"))).collect();
        let begun = Instant::now();
        for worker in names {
            self.observe(PolicyEvent::UsageReported { worker, measured_at: self.now, tasks: tasks.clone() });
        }
        nanos(begun.elapsed(), count)
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn nanos(spent: Duration, count: usize) -> f64 {
    spent.as_nanos() as f64 / count.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn measure(workers: usize, kept: &mut Vec<Fleet>) -> SizeResult {
    let before = resident_bytes();
    let mut fleet = Fleet::new(workers);
    fleet.fill(workers * TASKS_PER_WORKER);
    let bytes = resident_bytes() - before;
    let tasks = fleet.running.len();
    let (mut starts, mut deciding) = (0, Duration::ZERO);
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        // Ends tasks all over the fleet; the oldest ones are the instances, which keep running.
        for _ in 0..ROUND {
            fleet.running.rotate_left(7);
            if let Some(task) = fleet.running.pop_front() {
                let outcome = TaskOutcome::Done;
                fleet.observe(PolicyEvent::TaskEnded { task, attempt: AttemptNumber::new(1), outcome });
            }
            fleet.queue(false);
        }
        let (started, spent) = fleet.decide(ROUND * 2);
        starts += started;
        deciding += spent;
    }
    let whole = nanos(begun.elapsed(), starts);
    let report = fleet.reports(workers);
    // Kept until the end, since freed memory would hide what the next size takes.
    kept.push(fleet);
    SizeResult { workers: workers as f64, tasks: tasks as f64, bytes, decide: nanos(deciding, starts), whole, report }
}

/// The slope of a least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    covariance / points.iter().map(|point| (point.0 - x).powi(2)).sum::<f64>()
}

fn main() {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if given.is_empty() { vec![550, 1100, 2200, 4400] } else { given };
    println!(
        "{:>8} {:>8} {:>9} {:>11} {:>12} {:>12} {:>12} {:>10}",
        "workers", "tasks", "MB", "bytes/task", "decide/s", "with events", "ns/decision", "ns/report"
    );
    let (mut results, mut kept) = (Vec::new(), Vec::new());
    for workers in sizes {
        let result = measure(workers, &mut kept);
        println!(
            "{:>8} {:>8} {:>9.1} {:>11.0} {:>12.0} {:>12.0} {:>12.0} {:>10.0}",
            result.workers,
            result.tasks,
            result.bytes / 1e6,
            result.bytes / result.tasks,
            1e9 / result.decide,
            1e9 / result.whole,
            result.decide,
            result.report
        );
        results.push(result);
    }
    let points = |value: fn(&SizeResult) -> (f64, f64)| results.iter().map(value).collect::<Vec<_>>();
    println!("slope: {:.0} bytes per task", slope(&points(|result| (result.tasks, result.bytes))));
    println!("slope: {:.3} ns per decision and worker", slope(&points(|result| (result.workers, result.decide))));
}
