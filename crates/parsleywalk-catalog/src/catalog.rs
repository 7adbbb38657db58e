//! A valid configuration.

use parsleywalk_units::{ConfigurationVersion, ServiceName, TaskClass, TeamName};
use serde::{Deserialize, Serialize};

use crate::check::check_entries;
use crate::draft::{ServiceDraft, TeamDraft};
use crate::error::ErrorList;
use crate::graph::DependencyGraph;
use crate::node::TextNode;
use crate::parse::parse_root;
use crate::{CatalogError, CatalogErrors, ObjectiveWeights, Result, ServiceEntry, TeamEntry};

/// The longest text in bytes. The text is part of the replicated state and has to fit into one log entry.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// A configuration that has passed all checks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version stated in the text.
    pub version: ConfigurationVersion,
    /// The weights of the objectives.
    pub objective: ObjectiveWeights,
    /// The teams, sorted by name.
    pub teams: Vec<TeamEntry>,
    /// The services, sorted by name.
    pub services: Vec<ServiceEntry>,
}

impl Catalog {
    /// Parses and validates a configuration text.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, each with its line and field. If the text is not YAML or is longer than 1 MiB,
    /// that is the only error.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("the text has {} bytes: permitted is up to {MAX_TEXT_BYTES}", text.len());
            return Err(CatalogErrors::new(vec![CatalogError::Text { line: 1, message }]));
        }
        let root = TextNode::parse(text).map_err(|error| CatalogErrors::new(vec![error]))?;
        let mut errors = ErrorList::default();
        let parsed = parse_root(&root, &mut errors);
        check_entries(&parsed, &mut errors);
        let (Some(version), Some(objective), true) = (parsed.version, parsed.objective, errors.is_empty()) else {
            return Err(errors.into_errors());
        };
        let mut teams: Vec<TeamEntry> = parsed.teams.into_iter().filter_map(TeamDraft::into_entry).collect();
        teams.sort_by(|first, second| first.name.cmp(&second.name));
        let mut services: Vec<ServiceEntry> =
            parsed.services.into_iter().filter_map(ServiceDraft::into_entry).collect();
        services.sort_by(|first, second| first.name.cmp(&second.name));
        Ok(Self { version, objective, teams, services })
    }
}

impl Catalog {
    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.binary_search_by(|entry| entry.name.cmp(name)).ok().map(|index| &self.services[index])
    }

    /// Returns the team with a name.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.binary_search_by(|entry| entry.name.cmp(name)).ok().map(|index| &self.teams[index])
    }

    /// Returns the services in an order in which each one comes after its dependencies.
    #[must_use]
    pub fn start_order(&self) -> Vec<&ServiceEntry> {
        self.graph().order().order.into_iter().map(|index| &self.services[index]).collect()
    }

    /// Returns the class by which a service's requests are prioritized, or `None` for an unknown service.
    ///
    /// A service on which a latency-critical service depends, directly or transitively, is latency-critical too.
    #[must_use]
    pub fn effective_class(&self, name: &ServiceName) -> Option<TaskClass> {
        let index = self.services.binary_search_by(|entry| entry.name.cmp(name)).ok()?;
        Some(self.effective_classes()[index])
    }

    /// Returns the effective class of each service, in the order of `services`.
    #[must_use]
    pub fn effective_classes(&self) -> Vec<TaskClass> {
        let mut is_latency_critical: Vec<bool> =
            self.services.iter().map(|entry| entry.class == TaskClass::LatencyCritical).collect();
        self.graph().mark_dependencies(&mut is_latency_critical);
        is_latency_critical
            .into_iter()
            .map(|critical| if critical { TaskClass::LatencyCritical } else { TaskClass::Batch })
            .collect()
    }

    fn graph(&self) -> DependencyGraph {
        DependencyGraph::new(&self.services, |entry| &entry.name, |entry| entry.depends_on.iter().collect())
    }
}
