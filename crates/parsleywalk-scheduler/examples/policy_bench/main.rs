//! Compares the policy with baseline policies in a simulation. The true sizes, run times, load and interference are
//! hidden from the policies.
//!
//! Usage: `policy_bench -- [--seeds A..B] [--users senderos,vihmavari] [--policies ours,first-fit]`. The range of seeds
//! includes both ends. If `POLICY_BENCH_TRACE` is set, each run prints its state to standard error once per simulated
//! minute.

mod baseline;
mod ground_truth;
mod measure;
mod progress;
mod requests;
mod simulation;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use parsleywalk_scheduler::{PolicySettings, SchedulerPolicy};

use crate::baseline::{BenchPolicy, FirstFit};
use crate::ground_truth::BenchUser;
use crate::measure::RunMeasure;
use crate::simulation::{Simulation, SpareSettings};

/// Number of parallel runs. It is low, because the machine may be shared.
const MAX_PARALLEL_RUNS: usize = 4;
const NO_SPARES: SpareSettings = SpareSettings { spares: 0, cool_down: 0 };

/// A policy with its settings, in one row of the table.
#[derive(Debug, Clone)]
struct Contender {
    name: &'static str,
    policy: ContenderPolicy,
    spares: SpareSettings,
}

#[derive(Debug, Clone)]
enum ContenderPolicy {
    Alone,
    FirstFit(Option<f64>),
    Ours(PolicySettings),
}

fn contenders() -> Vec<Contender> {
    let contender = |name, policy| Contender { name, policy, spares: NO_SPARES };
    let ours = |name, change: fn(&mut PolicySettings)| {
        let mut settings = PolicySettings::default();
        change(&mut settings);
        contender(name, ContenderPolicy::Ours(settings))
    };
    let spare = |name, spares, cool_down| Contender {
        name,
        policy: ContenderPolicy::Ours(PolicySettings::default()),
        spares: SpareSettings { spares, cool_down },
    };
    vec![
        contender("alone", ContenderPolicy::Alone),
        contender("first-fit", ContenderPolicy::FirstFit(None)),
        contender("fixed-guard", ContenderPolicy::FirstFit(Some(1.2))),
        ours("ours", |_| {}),
        ours("no-guards", |settings| settings.guards = false),
        ours("no-tail-budget", |settings| settings.tail_budget = false),
        ours("no-guard-wait", |settings| settings.guard_waits_for_effect = false),
        ours("no-avoidance", |settings| settings.interference_avoidance = false),
        ours("no-exploration", |settings| settings.exploration_rate = 0.0),
        ours("no-sizes", |settings| settings.learned_sizes = false),
        ours("no-run-times", |settings| settings.learned_run_times = false),
        ours("no-backfill", |settings| settings.backfill = false),
        ours("no-fairness", |settings| settings.fairness = false),
        ours("no-spread", |settings| settings.spread = false),
        ours("no-together", |settings| settings.instance_packing = false),
        ours("no-reserve", |settings| settings.rack_reserve = false),
        ours("no-quarantine", |settings| settings.quarantine = false),
        ours("no-ramp", |settings| settings.zone_ramp = false),
        ours("no-least-loss", |settings| settings.least_loss_eviction = false),
        spare("spares-2-kept", 2, 0),
        spare("spares-2-cool", 2, 600),
    ]
}

#[derive(Debug, Clone, Copy)]
struct RunRequest {
    user: BenchUser,
    contender: usize,
    seed: u64,
}

fn run(contender: &Contender, request: RunRequest) -> RunMeasure {
    let batch = !matches!(contender.policy, ContenderPolicy::Alone);
    let policy = match &contender.policy {
        ContenderPolicy::Alone => {
            BenchPolicy::Ours(Box::new(SchedulerPolicy::new(PolicySettings::default(), request.seed)))
        }
        ContenderPolicy::FirstFit(threshold) => BenchPolicy::FirstFit(FirstFit::new(*threshold)),
        ContenderPolicy::Ours(settings) => {
            BenchPolicy::Ours(Box::new(SchedulerPolicy::new(settings.clone(), request.seed)))
        }
    };
    Simulation::new(request.user, request.seed, policy, batch, contender.spares).run()
}

struct BenchArguments {
    seeds: Vec<u64>,
    users: Vec<BenchUser>,
    policies: Option<Vec<String>>,
}

fn arguments() -> Result<BenchArguments, String> {
    let mut parsed = BenchArguments { seeds: (1..=5).collect(), users: BenchUser::ALL.to_vec(), policies: None };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        let value = words.next().ok_or_else(|| format!("{word} needs a value"))?;
        match word.as_str() {
            "--seeds" => {
                let (from, to) = value.split_once("..").unwrap_or((&value, &value));
                let number = |text: &str| text.parse::<u64>().map_err(|error| format!("seed {text:?}: {error}"));
                parsed.seeds = (number(from)?..=number(to)?).collect();
            }
            "--users" => {
                let find = |name: &str| {
                    let user = BenchUser::ALL.into_iter().find(|user| user.name() == name);
                    user.ok_or_else(|| format!("user {name:?}: expected senderos or vihmavari"))
                };
                parsed.users = value.split(',').map(find).collect::<Result<_, _>>()?;
            }
            "--policies" => parsed.policies = Some(value.split(',').map(Into::into).collect()),
            _ => return Err(format!("unknown option {word:?}")),
        }
    }
    Ok(parsed)
}

fn main() -> Result<(), String> {
    let arguments = arguments()?;
    let is_selected =
        |name: &str| arguments.policies.as_ref().is_none_or(|list| list.iter().any(|known| known == name));
    let contenders: Vec<Contender> = contenders()
        .into_iter()
        .filter(|contender| matches!(contender.policy, ContenderPolicy::Alone) || is_selected(contender.name))
        .collect();
    let mut requests = Vec::new();
    for user in &arguments.users {
        for contender in 0..contenders.len() {
            requests.extend(arguments.seeds.iter().map(|seed| RunRequest { user: *user, contender, seed: *seed }));
        }
    }
    let results = run_all(&contenders, &requests);
    for user in &arguments.users {
        print_table(*user, &contenders, &requests, &results, &arguments.seeds);
    }
    Ok(())
}

fn run_all(contenders: &[Contender], requests: &[RunRequest]) -> Vec<RunMeasure> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<RunMeasure>>> = Mutex::new(vec![None; requests.len()]);
    thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(request) = requests.get(index) else { return };
                    let measure = run(&contenders[request.contender], *request);
                    results.lock().expect("no run panics while it holds the lock")[index] = Some(measure);
                }
            });
        }
    });
    results.into_inner().expect("every run has ended").into_iter().flatten().collect()
}

fn print_table(
    user: BenchUser,
    contenders: &[Contender],
    requests: &[RunRequest],
    results: &[RunMeasure],
    seeds: &[u64],
) {
    let (batch, latency) = user.weights();
    println!("{} (batch_throughput {batch}, service_latency {latency}), mean over seeds {seeds:?}", user.name());
    println!(
        "{:<15} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7}",
        "policy",
        "p50ms",
        "p99ms",
        "p999ms",
        "p99/al",
        "batch",
        "ff%",
        "ung%",
        "absent%",
        "evict",
        "lost%",
        "fails",
        "oom",
        "urgent",
        "scratch"
    );
    let measures_of = |contender: usize| -> Vec<&RunMeasure> {
        let matches = |request: &RunRequest| request.user == user && request.contender == contender;
        requests.iter().zip(results).filter(|(request, _)| matches(request)).map(|(_, result)| result).collect()
    };
    let mean = |list: &[&RunMeasure], value: &dyn Fn(&RunMeasure) -> f64| {
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let count = list.len().max(1) as f64;
        list.iter().map(|measure| value(measure)).sum::<f64>() / count
    };
    let alone = mean(&measures_of(0), &|measure| measure.quantile(0.99));
    let throughput = |name: &str| {
        let index = contenders.iter().position(|contender| contender.name == name);
        index.map_or(f64::NAN, |index| mean(&measures_of(index), &RunMeasure::throughput))
    };
    let (first_fit, no_guards) = (throughput("first-fit"), throughput("no-guards"));
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    for (index, contender) in contenders.iter().enumerate() {
        let list = measures_of(index);
        println!(
            "{:<15} {:>7.1} {:>7.1} {:>7.1} {:>7.3} {:>7.1} {:>6.1} {:>6.1} {:>7.1} {:>7.1} {:>6.2} {:>6.0} {:>6.0} {:>7.1} {:>7.1}",
            contender.name,
            mean(&list, &|measure| measure.quantile(0.5)),
            mean(&list, &|measure| measure.quantile(0.99)),
            mean(&list, &|measure| measure.quantile(0.999)),
            mean(&list, &|measure| measure.quantile(0.99)) / alone,
            mean(&list, &RunMeasure::throughput),
            100.0 * mean(&list, &RunMeasure::throughput) / first_fit,
            100.0 * mean(&list, &RunMeasure::throughput) / no_guards,
            100.0 * mean(&list, &RunMeasure::outage_utilization),
            mean(&list, &|measure| measure.evictions() as f64),
            100.0 * mean(&list, &|measure| measure.lost_work / measure.completed_work.max(1.0)),
            mean(&list, &|measure| measure.failures as f64),
            mean(&list, &|measure| measure.oom_kills as f64),
            mean(&list, &|measure| measure.urgent_p99 as f64),
            mean(&list, &|measure| measure.lost_checkpoints as f64),
        );
    }
    println!();
}
