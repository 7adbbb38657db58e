//! Partially parsed entries.

use parsleywalk_units::{ResourceSize, ServiceName, TaskClass, TeamName, TimeSpan};

use crate::node::TextNode;
use crate::{ServiceEntry, TeamEntry};

/// A team whose invalid fields are `None`, so that one error does not hide others.
pub(crate) struct TeamDraft {
    pub(crate) name: Option<TeamName>,
    pub(crate) weight: Option<u32>,
    pub(crate) quota: Option<ResourceSize>,
}

impl TeamDraft {
    /// Converts the draft to an entry. Returns `None` if a required field is invalid.
    pub(crate) fn into_entry(self) -> Option<TeamEntry> {
        Some(TeamEntry { name: self.name?, weight: self.weight?, quota: self.quota })
    }
}

/// A service whose invalid fields are `None`, so that one error does not hide others.
pub(crate) struct ServiceDraft<'a> {
    /// The node from which it was parsed, for the lines of errors.
    pub(crate) node: &'a TextNode,
    /// The path of the entry in error messages.
    pub(crate) path: String,
    pub(crate) name: Option<ServiceName>,
    pub(crate) class: Option<TaskClass>,
    pub(crate) team: Option<TeamName>,
    pub(crate) size: Option<ResourceSize>,
    pub(crate) instances: Option<u32>,
    pub(crate) slots: Option<u32>,
    pub(crate) connections: Option<u32>,
    pub(crate) repeatable: Option<bool>,
    pub(crate) deadline: Option<TimeSpan>,
    /// The valid names, with their lines.
    pub(crate) depends_on: Vec<(ServiceName, u64)>,
    pub(crate) run_time: Option<TimeSpan>,
    pub(crate) urgent: Option<bool>,
}

impl ServiceDraft<'_> {
    /// Returns the path of a field for error messages.
    pub(crate) fn field(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Converts the draft to an entry. Returns `None` if a required field is invalid.
    pub(crate) fn into_entry(self) -> Option<ServiceEntry> {
        let mut depends_on: Vec<ServiceName> = self.depends_on.into_iter().map(|(name, _)| name).collect();
        depends_on.sort();
        Some(ServiceEntry {
            name: self.name?,
            class: self.class?,
            team: self.team?,
            size: self.size?,
            instances: self.instances?,
            slots: self.slots?,
            connections: self.connections?,
            repeatable: self.repeatable?,
            deadline: self.deadline?,
            depends_on,
            run_time: self.run_time,
            urgent: self.urgent?,
        })
    }
}
