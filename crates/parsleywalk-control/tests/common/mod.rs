//! What the tests of the control state share.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod commands;
pub(crate) mod model_worker;
pub(crate) mod oracle;

use parsleywalk_catalog::{Catalog, ObjectiveWeights, ServiceEntry, TeamEntry};
use parsleywalk_control::{ControlCommand, JobSpec};
use parsleywalk_units::{
    AcceleratorCount, ConfigurationVersion, Incarnation, JobKey, MemoryBytes, MilliCores, OperationId, ResourceSize,
    StateTime, TaskClass, TimeSpan, WorkerId, ZoneName,
};

/// Parses any unit of a test.
pub(crate) fn unit<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the test names a valid unit")
}

/// A size of `cores` cores, twice as many GB of memory and no accelerators.
pub(crate) fn size(cores: u32) -> ResourceSize {
    ResourceSize::new(MilliCores::new(cores * 1000), MemoryBytes::new(u64::from(cores) * 2_000_000_000))
}

/// A worker's capacity with 2 accelerators.
pub(crate) fn capacity(cores: u32) -> ResourceSize {
    size(cores).with_accelerators(AcceleratorCount::new(2))
}

/// A service of team `t`.
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

/// A configuration with team `t`.
pub(crate) fn catalog(version: u64, quota: Option<ResourceSize>, mut services: Vec<ServiceEntry>) -> Catalog {
    services.sort_by(|left, right| left.name.cmp(&right.name));
    Catalog {
        version: ConfigurationVersion::new(version),
        objective: ObjectiveWeights { batch_throughput: 0.5, service_latency: 0.5 },
        teams: vec![TeamEntry { name: unit("t"), weight: 1, quota }],
        services,
    }
}

/// The fuzz tests' configuration: the batch service `batch` and the latency-critical service `web`.
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
