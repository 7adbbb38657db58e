//! The entries of a configuration.

use parsleywalk_units::{ResourceSize, ServiceName, TaskClass, TeamName, TimeSpan};
use serde::{Deserialize, Serialize};

/// The weights of the objectives. Both are at least 0, and their sum is above 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveWeights {
    /// The weight of batch throughput and of the work completed across zone changes.
    pub batch_throughput: f64,
    /// The weight of the services' tail latency.
    pub service_latency: f64,
}

/// A team that owns services and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its share relative to other teams; at least 1.
    pub weight: u32,
    /// The most capacity that may be allocated to its batch tasks at a time; unlimited if absent.
    pub quota: Option<ResourceSize>,
}

/// A service, whose tasks are equal in class and size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// The class of its tasks.
    pub class: TaskClass,
    /// The team that owns it.
    pub team: TeamName,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The number of instances to keep running; 0 for a batch service.
    pub instances: u32,
    /// The number of requests that one endpoint serves concurrently.
    pub slots: u32,
    /// The number of connections that one endpoint accepts.
    pub connections: u32,
    /// Whether requests may run more than once, unless they state it themselves.
    pub repeatable: bool,
    /// How long a request may take, unless it states a deadline itself.
    pub deadline: TimeSpan,
    /// The services that it calls, sorted by name.
    pub depends_on: Vec<ServiceName>,
    /// The declared run time of a batch task.
    pub run_time: Option<TimeSpan>,
    /// Whether its tasks start ahead of other batch tasks.
    pub urgent: bool,
}
