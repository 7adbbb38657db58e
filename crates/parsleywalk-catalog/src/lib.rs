//! The operators' configuration text: parsing and checks.

mod catalog;
mod entry;

pub use catalog::Catalog;
pub use entry::{ObjectiveWeights, ServiceEntry, TeamEntry};
