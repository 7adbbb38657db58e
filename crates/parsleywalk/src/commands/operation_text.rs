//! Text output for replies to operators' commands.

use parsleywalk_api::{OperationOutcome, OperationReply};
use parsleywalk_units::VmNumber;

use crate::error::{ClientError, Result};
use crate::report::{CommandReport, ExitStatus};

/// Renders the reply to an operation.
///
/// # Errors
///
/// Returns an error if the operation was refused.
pub(crate) fn operation_report(reply: &OperationReply) -> Result<CommandReport> {
    if reply.outcome == OperationOutcome::Refused {
        return Err(ClientError::Refused { reason: reply.message.clone(), details: Vec::new() });
    }
    let mut lines = vec![format!("accepted: {}", reply.message)];
    lines.extend(reply.version.map(|version| format!("version in force: {version}")));
    for (heading, vms) in [("in force on", &reply.in_force), ("not confirmed by", &reply.not_heard)] {
        if !vms.is_empty() {
            lines.push(format!("{heading}: {}", vm_list(vms)));
        }
    }
    CommandReport::new(lines.join("\n"), reply, ExitStatus::Success)
}

fn vm_list(vms: &[VmNumber]) -> String {
    vms.iter().map(|vm| format!("vm{vm}")).collect::<Vec<_>>().join(", ")
}
