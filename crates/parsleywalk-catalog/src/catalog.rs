//! A checked configuration.

use parsleywalk_units::{ConfigurationVersion, ServiceName, TaskClass, TeamName};
use serde::{Deserialize, Serialize};

use crate::check::check_entries;
use crate::draft::{ServiceDraft, TeamDraft};
use crate::error::ErrorList;
use crate::graph::DependencyGraph;
use crate::node::TextNode;
use crate::parse::read_text;
use crate::{CatalogError, CatalogErrors, ObjectiveWeights, Result, ServiceEntry, TeamEntry};

/// The longest text in bytes. The text is part of the replicated state and travels in one log entry.
const TEXT_LIMIT: usize = 1024 * 1024;

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
    /// Reads the operators' text.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, each with its line and field. Text that is not YAML or is longer than 1 MiB has
    /// one error only.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > TEXT_LIMIT {
            let message = format!("the text has {} bytes: permitted is up to {TEXT_LIMIT}", text.len());
            return Err(CatalogErrors::new(vec![CatalogError::Text { line: 1, message }]));
        }
        let root = TextNode::parse(text).map_err(|error| CatalogErrors::new(vec![error]))?;
        let mut errors = ErrorList::default();
        let parsed = read_text(&root, &mut errors);
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

    /// The services with the dependencies of each before it.
    #[must_use]
    pub fn start_order(&self) -> Vec<&ServiceEntry> {
        self.graph().order().order.into_iter().map(|place| &self.services[place]).collect()
    }

    /// The class by which a service's requests are treated; `None` for an unknown service.
    ///
    /// Whatever a latency-critical service depends on, directly or not, counts as latency-critical.
    #[must_use]
    pub fn effective_class(&self, name: &ServiceName) -> Option<TaskClass> {
        let place = self.services.binary_search_by(|entry| entry.name.cmp(name)).ok()?;
        Some(self.effective_classes()[place])
    }

    /// The effective class of each service, in the order of `services`.
    #[must_use]
    pub fn effective_classes(&self) -> Vec<TaskClass> {
        let mut marked: Vec<bool> =
            self.services.iter().map(|entry| entry.class == TaskClass::LatencyCritical).collect();
        self.graph().mark_dependencies(&mut marked);
        marked.into_iter().map(|marked| if marked { TaskClass::LatencyCritical } else { TaskClass::Batch }).collect()
    }

    fn graph(&self) -> DependencyGraph {
        DependencyGraph::of(&self.services, |entry| &entry.name, |entry| entry.depends_on.iter().collect())
    }
}
