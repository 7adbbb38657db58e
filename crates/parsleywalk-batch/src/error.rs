//! Errors and encoding of the batch state.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use quick_error::quick_error;

/// The result of decoding commands or a snapshot.
pub type Result<T> = std::result::Result<T, BatchError>;

quick_error! {
    /// An error in reading a log entry or a snapshot.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BatchError {
        /// The bytes cannot be decoded as the expected type.
        Decode { step: &'static str, reason: String } {
            display("decode {}: {}", step, reason)
        }
    }
}

/// The most memory that decoding may allocate for lengths read from the input. A damaged length would otherwise be
/// allocated before its bytes are found missing, which aborts the process.
const DECODE_LIMIT_BYTES: usize = 512 * 1024 * 1024;

/// Encodes a value for the log or a snapshot.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("plain data always encodes")
}

/// Decodes a value from the log or a snapshot and rejects trailing bytes.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T> {
    let (value, used) = decode_prefix(step, bytes)?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(BatchError::Decode { step, reason: format!("{} trailing bytes", bytes.len() - used) })
    }
}

/// Decodes a value at the start of the bytes, and returns how many of them it takes.
pub(crate) fn decode_prefix<T: serde::de::DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<(T, usize)> {
    let limited = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, limited);
    decoded.map_err(|cause| BatchError::Decode { step, reason: cause.to_string() })
}
