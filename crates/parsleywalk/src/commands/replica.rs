//! `replica add VM` and `replica replace OLD NEW`: change the set of replicas.

use clap::{Args, Subcommand};
use parsleywalk_api::{ReplicaChange, ReplicaCommand};
use parsleywalk_units::VmNumber;

use super::operation_text::operation_report;
use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::CommandReport;

/// The arguments of `replica`.
#[derive(Debug, Args)]
pub(crate) struct ReplicaArguments {
    #[command(subcommand)]
    change: ReplicaSubcommand,
}

#[derive(Debug, Subcommand)]
enum ReplicaSubcommand {
    /// Make the learner on a VM a voting replica once it has caught up
    Add {
        /// The VM's number
        vm: VmNumber,
    },
    /// Replace the replica on a lost VM with the learner on another VM once it has caught up
    Replace {
        /// The number of the lost VM
        old: VmNumber,
        /// The number of the VM that replaces it
        new: VmNumber,
    },
}

pub(crate) fn run(arguments: &ReplicaArguments, connection: &ConnectionArguments) -> Result<CommandReport> {
    let change = match arguments.change {
        ReplicaSubcommand::Add { vm } => ReplicaChange::Add(vm),
        ReplicaSubcommand::Replace { old, new } => ReplicaChange::Replace { old, new },
    };
    // The command carries no operation id, so it is sent to the next daemon only if it did not reach the previous one.
    let client = DaemonClient::operator(connection)?;
    let reply = client.send_non_idempotent("/v1/replicas".to_owned(), &ReplicaCommand { change })?;
    operation_report(&reply)
}
