//! Errors of the batch state.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use quick_error::quick_error;

/// The result of decoding commands or a snapshot.
pub type Result<T> = std::result::Result<T, BatchError>;

quick_error! {
    /// A log entry or a snapshot that can't be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BatchError {
        /// The bytes don't hold what they should.
        Decode { step: &'static str, reason: String } {
            display("decode {}: {}", step, reason)
        }
    }
}

/// Encodes a value for the log.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("plain data always encodes")
}

/// Decodes a value of the log.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (value, used) = decoded.map_err(|cause| BatchError::Decode { step, reason: cause.to_string() })?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(BatchError::Decode { step, reason: format!("{} surplus bytes", bytes.len() - used) })
    }
}
