//! Operation ids.

use std::fmt::Write;

use parsleywalk_units::OperationId;

use crate::error::{ClientError, Result};

/// Returns the given operation id, or a new one of 128 random bits.
pub(crate) fn operation_or_random(given: Option<OperationId>) -> Result<OperationId> {
    if let Some(operation) = given {
        return Ok(operation);
    }
    let mut bytes = [0_u8; 16];
    let random = |reason: String| ClientError::Random { reason };
    getrandom::fill(&mut bytes).map_err(|error| random(error.to_string()))?;
    let mut text = "op-".to_owned();
    for byte in bytes {
        write!(text, "{byte:02x}").map_err(|error| random(error.to_string()))?;
    }
    text.parse().map_err(|error: parsleywalk_units::UnitError| random(error.to_string()))
}

/// Adds a hint to send the operation again, if the error is one after which that may help.
pub(crate) fn with_resend_hint<T>(operation: &OperationId, result: Result<T>) -> Result<T> {
    result.map_err(|error| match error {
        ClientError::Unknown { .. } | ClientError::Unreachable { .. } => {
            ClientError::Resend { operation: operation.to_string(), source: Box::new(error) }
        }
        other => other,
    })
}
