//! Helpers that the tests of the control state share.
#![allow(dead_code, reason = "each test uses some of the helpers")]

pub(crate) mod commands;
pub(crate) mod model_worker;
pub(crate) mod oracle;

use parsleywalk_api::{ReportedPhase, TaskPhase, WorkerReport};
use parsleywalk_catalog::{Catalog, ObjectiveWeights, ServiceEntry, TeamEntry};
use parsleywalk_control::{
    ControlCommand, ControlReply, ControlState, EvictionReason, JobSpec, ReportPlan, TaskRecord, plan_report,
};
use parsleywalk_units::{
    AcceleratorCount, AttemptNumber, ConfigurationVersion, Incarnation, JobKey, MemoryBytes, MilliCores, OperationId,
    ResourceSize, StateTime, TaskClass, TaskId, TimeSpan, WorkerId, ZoneDirection, ZoneName,
};

/// Parses a value of any unit type.
pub(crate) fn unit<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text is a valid unit")
}

/// Returns a size of `cores` cores, 2 GB of memory per core and no accelerators.
pub(crate) fn size(cores: u32) -> ResourceSize {
    ResourceSize::new(MilliCores::new(cores * 1000), MemoryBytes::new(u64::from(cores) * 2_000_000_000))
}

/// Returns a worker's capacity of `cores` cores, 2 GB of memory per core and 2 accelerators.
pub(crate) fn capacity(cores: u32) -> ResourceSize {
    size(cores).with_accelerators(AcceleratorCount::new(2))
}

/// Returns a service of team `t`.
pub(crate) fn service(name: &str, class: TaskClass, cores: u32, instances: u32, depends_on: &[&str]) -> ServiceEntry {
    ServiceEntry {
        name: unit(name),
        class,
        team: unit("t"),
        size: size(cores),
        instances,
        slots: 8,
        connections: 64,
        repeatable: false,
        deadline: TimeSpan::from_secs(2),
        depends_on: depends_on.iter().map(|name| unit(name)).collect(),
        run_time: None,
        urgent: false,
    }
}

/// Returns a configuration with the team `t`.
pub(crate) fn catalog(version: u64, quota: Option<ResourceSize>, mut services: Vec<ServiceEntry>) -> Catalog {
    services.sort_by(|left, right| left.name.cmp(&right.name));
    Catalog {
        version: ConfigurationVersion::new(version),
        objective: ObjectiveWeights { batch_throughput: 0.5, service_latency: 0.5 },
        teams: vec![TeamEntry { name: unit("t"), weight: 1, quota }],
        services,
    }
}

/// Returns the configuration of the fuzz tests: the batch service `batch` and the latency-critical service `web`.
pub(crate) fn fuzz_catalog(version: u64, quota: u32, instances: u32, cores: u32) -> Catalog {
    let web = service("web", TaskClass::LatencyCritical, cores, instances, &[]);
    let quota = size(quota).with_accelerators(AcceleratorCount::new(2));
    catalog(version, Some(quota), vec![service("batch", TaskClass::Batch, 1, 0, &[]), web])
}

pub(crate) fn configure(at: u64, operation: &str, catalog: Catalog) -> ControlCommand {
    let text = format!("{catalog:?}");
    ControlCommand::ApplyConfiguration {
        at: StateTime::from_millis(at),
        operation: unit::<OperationId>(operation),
        catalog,
        text,
    }
}

pub(crate) fn register(at: u64, worker: &str, incarnation: u64, zone: &str, cores: u32) -> ControlCommand {
    ControlCommand::RegisterWorker {
        at: StateTime::from_millis(at),
        worker: unit::<WorkerId>(worker),
        incarnation: Incarnation::new(incarnation),
        zone: unit::<ZoneName>(zone),
        rack: unit("r"),
        capacity: capacity(cores),
    }
}

pub(crate) fn submit(at: u64, key: &str, count: u32, size: Option<ResourceSize>) -> ControlCommand {
    ControlCommand::SubmitJob { at: StateTime::from_millis(at), key: job_key(key), job: spec(count, size) }
}

pub(crate) fn spec(count: u32, size: Option<ResourceSize>) -> JobSpec {
    JobSpec { service: unit("batch"), count, size, urgent: false, arguments: String::new() }
}

pub(crate) fn job_key(key: &str) -> JobKey {
    JobKey { team: unit("t"), key: unit(key) }
}

/// Returns a state with the services `batch` and `web` (two instances), and with the workers `w0` and `w2` in zone `a`
/// and `w1` in zone `b`, of 6 cores each.
pub(crate) fn ready_state() -> ControlState {
    let mut state = ControlState::new();
    state.apply(&configure(1, "first", fuzz_catalog(1, 9, 2, 1)));
    for (worker, zone) in [("w0", "a"), ("w1", "b"), ("w2", "a")] {
        state.apply(&register(1, worker, 1, zone, 6));
    }
    state
}

pub(crate) fn zone(at: u64, operation: &str, zone: &str, direction: ZoneDirection) -> ControlCommand {
    ControlCommand::SetZone { at: time(at), operation: unit(operation), zone: unit(zone), direction }
}

pub(crate) fn cancel(at: u64, key: &str) -> ControlCommand {
    ControlCommand::CancelJob { at: time(at), key: job_key(key) }
}

pub(crate) fn time(millis: u64) -> StateTime {
    StateTime::from_millis(millis)
}

/// Starts the next attempt of a task on a worker.
pub(crate) fn start(state: &mut ControlState, task: u64, worker: &str) -> ControlReply {
    let task = TaskId::new(task);
    let record = state.task(task).expect("a live task");
    let (at, attempt, size) = (state.now(), record.attempt().next(), record.declared());
    let worker = state.worker(&unit(worker)).expect("a registered worker").number();
    state.apply(&ControlCommand::StartTask { at, task, attempt, worker, size }).reply
}

pub(crate) fn evict(state: &mut ControlState, task: u64) -> ControlReply {
    let task = TaskId::new(task);
    let attempt = state.task(task).expect("a live task").attempt();
    let (at, reason) = (state.now(), EvictionReason::Urgent);
    state.apply(&ControlCommand::EvictTask { at, task, attempt, reason }).reply
}

/// Plans a worker's report and applies the commands of the plan, which is returned.
pub(crate) fn report(state: &mut ControlState, report: &WorkerReport) -> ReportPlan {
    let plan = plan_report(state, state.now(), report);
    for command in &plan.commands {
        state.apply(command);
    }
    plan
}

/// Returns a report of a worker of [`ready_state`] that echoes `echo` and lists attempts with their phases.
pub(crate) fn worker_report(
    worker: &str,
    sequence: u64,
    echo: u64,
    tasks: &[(u64, u32, ReportedPhase)],
) -> WorkerReport {
    let task_report = |(task, attempt, phase): &(u64, u32, ReportedPhase)| {
        model_worker::task_report((TaskId::new(*task), AttemptNumber::new(*attempt)), *phase, None)
    };
    WorkerReport {
        worker: unit(worker),
        incarnation: Incarnation::new(1),
        zone: unit(if worker == "w1" { "b" } else { "a" }),
        rack: unit("r"),
        capacity: capacity(6),
        sequence,
        echo,
        lag: TimeSpan::default(),
        tasks: tasks.iter().map(task_report).collect(),
    }
}

/// Starts a task and has its worker report that it runs.
pub(crate) fn start_running(state: &mut ControlState, task: u64, worker: &str) {
    assert_eq!(start(state, task, worker), ControlReply::Accepted);
    let attempt = state.task(TaskId::new(task)).expect("a live task").attempt().get();
    report(state, &worker_report(worker, state.revision(), 0, &[(task, attempt, ReportedPhase::Running)]));
    assert_eq!(phase(state, task), Some(TaskPhase::Running));
}

pub(crate) fn phase(state: &ControlState, task: u64) -> Option<TaskPhase> {
    state.task(TaskId::new(task)).map(TaskRecord::phase)
}
