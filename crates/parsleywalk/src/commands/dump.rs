//! `dump`: prints the state of one daemon as JSON.

use serde_json::Value;

use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};

pub(crate) fn run(connection: &ConnectionArguments) -> Result<CommandReport> {
    let dump: Value = DaemonClient::operator(connection)?.query("/v1/dump".to_owned())?;
    CommandReport::new(format!("{dump:#}"), &dump, ExitStatus::Success)
}
