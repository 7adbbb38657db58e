//! Measures placement decisions per second on one core and resident bytes per running task, and prints how they grow
//! with the cluster.
//!
//! Usage: `placement_bench -- [workers ...]`. Each argument is a number of workers; about 32 tasks run on each worker.

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
/// Number of batch tasks that end and are replaced in each measured round.
const TASKS_PER_ROUND: usize = 340;
const ROUNDS: usize = 200;

/// Measurements at one cluster size.
#[derive(Debug, Clone, Copy)]
struct SizeResult {
    workers: f64,
    tasks: f64,
    resident_bytes: f64,
    /// Nanoseconds in `decide` for each start.
    decide_nanos: f64,
    /// Nanoseconds in `decide` and `observe` for each start.
    total_nanos: f64,
    /// Nanoseconds for each usage report of a worker.
    report_nanos: f64,
}

/// A policy with its cluster, in which every proposal is accepted at once.
struct BenchCluster {
    policy: SchedulerPolicy,
    now: MonotonicTime,
    next_task: u64,
    running: VecDeque<TaskId>,
}

fn read_resident_bytes() -> f64 {
    // The second field is the resident size in pages of 4 KiB.
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4096.0
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid value")
}

impl BenchCluster {
    fn new(workers: usize) -> Self {
        let policy = SchedulerPolicy::new(PolicySettings::default(), 1);
        let mut cluster = Self { policy, now: MonotonicTime::from_millis(1), next_task: 1, running: VecDeque::new() };
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
        cluster.observe(PolicyEvent::ConfigurationChanged { services, teams, weights: ObjectiveWeights::default() });
        for worker in 0..workers {
            let accelerators = if worker % 8 == 0 { 8 } else { 0 };
            cluster.observe(PolicyEvent::WorkerJoined {
                worker: parse(&format!("w{worker}")),
                zone: parse(&format!("z{}", worker / 8 % 11)),
                rack: parse(&format!("r{}", worker / 8)),
                capacity: parse::<ResourceSize>(&format!("64c/256GB/{accelerators}a")),
            });
        }
        cluster
    }

    fn observe(&mut self, event: PolicyEvent) {
        self.policy.observe(self.now, event);
    }

    fn queue_task(&mut self, critical: bool) {
        let number = self.next_task;
        self.next_task += 1;
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

    /// Runs a scheduling cycle and confirms its starts. Returns the number of starts and the time in `decide`.
    fn decide(&mut self, limit: usize) -> (usize, Duration) {
        self.now = self.now + Duration::from_millis(500);
        let started_at = Instant::now();
        let decisions = self.policy.decide(self.now, limit);
        let elapsed_time = started_at.elapsed();
        let mut starts = 0;
        for decision in decisions {
            let PolicyDecision::Start { task, attempt, worker, size } = decision else { continue };
            starts += 1;
            self.observe(PolicyEvent::TaskPlaced { task, attempt, worker, size });
            self.observe(PolicyEvent::TaskRunning { task, attempt });
            self.running.push_back(task);
        }
        (starts, elapsed_time)
    }

    fn fill(&mut self, tasks: usize) {
        let critical = tasks * 22 / 142;
        for number in 0..tasks {
            self.queue_task(number < critical);
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

    /// Returns the nanoseconds for each usage report of a worker.
    fn report_nanos(&mut self, workers: usize) -> f64 {
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
        let started_at = Instant::now();
        for worker in names {
            self.observe(PolicyEvent::UsageReported { worker, measured_at: self.now, tasks: tasks.clone() });
        }
        nanos(started_at.elapsed(), count)
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn nanos(elapsed_time: Duration, count: usize) -> f64 {
    elapsed_time.as_nanos() as f64 / count.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn measure(workers: usize, retained_clusters: &mut Vec<BenchCluster>) -> SizeResult {
    let before = read_resident_bytes();
    let mut cluster = BenchCluster::new(workers);
    cluster.fill(workers * TASKS_PER_WORKER);
    let resident_bytes = read_resident_bytes() - before;
    let tasks = cluster.running.len();
    let (mut starts, mut decide_time) = (0, Duration::ZERO);
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        // Ends tasks all over the cluster. The oldest tasks are service instances, which keep running.
        for _ in 0..TASKS_PER_ROUND {
            cluster.running.rotate_left(7);
            if let Some(task) = cluster.running.pop_front() {
                let outcome = TaskOutcome::Done;
                cluster.observe(PolicyEvent::TaskEnded { task, attempt: AttemptNumber::new(1), outcome });
            }
            cluster.queue_task(false);
        }
        let (started, elapsed_time) = cluster.decide(TASKS_PER_ROUND * 2);
        starts += started;
        decide_time += elapsed_time;
    }
    let total_nanos = nanos(started_at.elapsed(), starts);
    let report_nanos = cluster.report_nanos(workers);
    // The cluster is kept until the end, because freed memory would hide the memory that the next size requires.
    retained_clusters.push(cluster);
    SizeResult {
        workers: workers as f64,
        tasks: tasks as f64,
        resident_bytes,
        decide_nanos: nanos(decide_time, starts),
        total_nanos,
        report_nanos,
    }
}

/// Returns the slope of a least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    covariance / points.iter().map(|point| (point.0 - x).powi(2)).sum::<f64>()
}

fn main() {
    let requested_sizes: Vec<usize> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let sizes = if requested_sizes.is_empty() { vec![550, 1100, 2200, 4400] } else { requested_sizes };
    println!(
        "{:>8} {:>8} {:>9} {:>11} {:>12} {:>12} {:>12} {:>10}",
        "workers", "tasks", "MB", "bytes/task", "decide/s", "with events", "ns/decision", "ns/report"
    );
    let (mut results, mut retained_clusters) = (Vec::new(), Vec::new());
    for workers in sizes {
        let result = measure(workers, &mut retained_clusters);
        println!(
            "{:>8} {:>8} {:>9.1} {:>11.0} {:>12.0} {:>12.0} {:>12.0} {:>10.0}",
            result.workers,
            result.tasks,
            result.resident_bytes / 1e6,
            result.resident_bytes / result.tasks,
            1e9 / result.decide_nanos,
            1e9 / result.total_nanos,
            result.decide_nanos,
            result.report_nanos
        );
        results.push(result);
    }
    let points = |value: fn(&SizeResult) -> (f64, f64)| results.iter().map(value).collect::<Vec<_>>();
    println!("slope: {:.0} bytes per task", slope(&points(|result| (result.tasks, result.resident_bytes))));
    println!("slope: {:.3} ns per decision and worker", slope(&points(|result| (result.workers, result.decide_nanos))));
}
