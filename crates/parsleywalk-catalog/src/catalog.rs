//! A checked configuration.

use parsleywalk_units::{ConfigurationVersion, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{ObjectiveWeights, ServiceEntry, TeamEntry};

/// A configuration that has passed every check.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version that the text carries.
    pub version: ConfigurationVersion,
    /// The weights of the measures.
    pub objective: ObjectiveWeights,
    /// The teams, sorted by name.
    pub teams: Vec<TeamEntry>,
    /// The services, sorted by name.
    pub services: Vec<ServiceEntry>,
}

impl Catalog {
    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.binary_search_by(|entry| entry.name.cmp(name)).ok().map(|place| &self.services[place])
    }

    /// Finds a team by name.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.binary_search_by(|entry| entry.name.cmp(name)).ok().map(|place| &self.teams[place])
    }
}
