//! `zone out NAME` and `zone in NAME`: take an availability zone out of service or back in.

use clap::{Args, Subcommand};
use parsleywalk_api::ZoneCommand;
use parsleywalk_units::{OperationId, ZoneDirection, ZoneName};

use super::operation_text::operation_report;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::operation::{operation_or_random, with_resend_hint};
use crate::report::CommandReport;

/// The arguments of `zone`.
#[derive(Debug, Args)]
pub(crate) struct ZoneArguments {
    #[command(subcommand)]
    change: ZoneChange,
}

#[derive(Debug, Subcommand)]
enum ZoneChange {
    /// Take a zone out of service: no task starts there, and running tasks stop
    Out(ZoneTarget),
    /// Put a zone back in service
    In(ZoneTarget),
}

#[derive(Debug, Args)]
struct ZoneTarget {
    /// The availability zone
    name: ZoneName,
    /// The operation id of an earlier attempt whose outcome is unknown
    #[arg(long, value_name = "ID")]
    operation: Option<OperationId>,
}

pub(crate) fn run(arguments: ZoneArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let (direction, target) = match arguments.change {
        ZoneChange::Out(target) => (ZoneDirection::Out, target),
        ZoneChange::In(target) => (ZoneDirection::In, target),
    };
    let client = DaemonClient::operator(connection)?;
    let operation = operation_or_random(target.operation)?;
    let message = ZoneCommand { operation: operation.clone(), direction };
    let reply = with_resend_hint(&operation, client.send(format!("/v1/zones/{}", target.name), &message))?;
    operation_report(&reply)
}
