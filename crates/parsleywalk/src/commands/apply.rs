//! `apply FILE`: puts a configuration in force.

use std::path::PathBuf;

use clap::Args;
use parsleywalk_api::ConfigurationApply;
use parsleywalk_units::OperationId;

use super::check::read_catalog;
use super::operation_text::operation_report;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::operation::{operation_or_random, with_resend_hint};
use crate::report::CommandReport;

/// The arguments of `apply`.
#[derive(Debug, Args)]
pub(crate) struct ApplyArguments {
    /// The configuration file
    file: PathBuf,
    /// The operation id of an earlier attempt whose outcome is unknown
    #[arg(long, value_name = "ID")]
    operation: Option<OperationId>,
}

pub(crate) fn run(arguments: ApplyArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let (text, _) = read_catalog(&arguments.file)?;
    let client = DaemonClient::operator(connection)?;
    let operation = operation_or_random(arguments.operation)?;
    let message = ConfigurationApply { operation: operation.clone(), text };
    let reply = with_resend_hint(&operation, client.send("/v1/configuration".to_owned(), &message))?;
    operation_report(&reply)
}
