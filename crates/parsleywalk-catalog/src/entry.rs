//! The entries of a configuration.

use parsleywalk_units::{ResourceSize, ServiceName, TaskClass, TeamName, TimeSpan};
use serde::{Deserialize, Serialize};

/// How much each measure weighs; both are at least 0 and their sum is above 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveWeights {
    /// The weight of batch throughput and of work done across zone changes.
    pub batch_throughput: f64,
    /// The weight of service tail latency.
    pub service_latency: f64,
}

/// A team that owns services and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its share against other teams, from 1.
    pub weight: u32,
    /// The most that its batch tasks may hold at once; unlimited where absent.
    pub quota: Option<ResourceSize>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// What its tasks are judged by.
    pub class: TaskClass,
    /// The team that owns it.
    pub team: TeamName,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The number of instances to keep; 0 for batch.
    pub instances: u32,
    /// The requests that one endpoint serves at once.
    pub slots: u32,
    /// The connections that one endpoint takes.
    pub connections: u32,
    /// Whether requests that do not say may run more than once.
    pub repeatable: bool,
    /// How long a request that does not say may take.
    pub deadline: TimeSpan,
    /// The services that it calls, sorted.
    pub depends_on: Vec<ServiceName>,
    /// The declared run time of a batch task.
    pub run_time: Option<TimeSpan>,
    /// Whether its batch tasks start ahead of others.
    pub urgent: bool,
}
