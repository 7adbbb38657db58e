//! `check FILE`: checks a configuration without calling a daemon.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Args;
use parsleywalk_catalog::Catalog;
use serde_json::json;

use crate::error::{ClientError, Result};
use crate::report::{CommandReport, ExitStatus};

/// The arguments of `check`.
#[derive(Debug, Args)]
pub(crate) struct CheckArguments {
    /// The configuration file
    file: PathBuf,
}

pub(crate) fn run(arguments: &CheckArguments) -> Result<CommandReport> {
    let (_, catalog) = read_catalog(&arguments.file)?;
    let order: Vec<&str> = catalog.start_order().iter().map(|service| service.name.as_str()).collect();
    let text = format!(
        "{} is valid: version {}, teams {}, services {}\nstart order: {}",
        arguments.file.display(),
        catalog.version,
        catalog.teams.len(),
        catalog.services.len(),
        order.join(", ")
    );
    let message = json!({ "version": catalog.version, "teams": catalog.teams.len(), "start_order": order });
    CommandReport::new(text, &message, ExitStatus::Success)
}

/// Reads and checks a configuration file. All errors in it are listed in the details of the refusal.
pub(crate) fn read_catalog(path: &Path) -> Result<(String, Catalog)> {
    let text = fs::read_to_string(path).map_err(|source| ClientError::ReadFile { path: path.to_owned(), source })?;
    match Catalog::parse(&text) {
        Ok(catalog) => Ok((text, catalog)),
        Err(errors) => {
            let details: Vec<String> = errors.to_string().lines().map(str::to_owned).collect();
            let count = errors.errors().len() + errors.omitted();
            let reason = format!("{} has {count} error{}", path.display(), if count == 1 { "" } else { "s" });
            Err(ClientError::Refused { reason, details })
        }
    }
}
