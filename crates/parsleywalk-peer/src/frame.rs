//! Length-prefixed frames on a byte stream.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The size of a frame's length prefix.
const LENGTH_BYTES: usize = 4;

/// The most memory that decoding may allocate for lengths read from a frame. A wrong length would otherwise be
/// allocated before its bytes are found missing, which aborts the process.
const DECODE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Encodes a message as a frame, including its length prefix.
pub(crate) fn encode<M: Serialize>(message: &M) -> std::result::Result<Bytes, String> {
    let body =
        bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(|cause| cause.to_string())?;
    let length = u32::try_from(body.len())
        .map_err(|_| format!("message of {} bytes, at most 4294967295 are permitted", body.len()))?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(length);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes a message from the body of a frame.
pub(crate) fn decode<M: DeserializeOwned>(body: &[u8]) -> std::result::Result<M, String> {
    let limited = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(body, limited).map_err(|cause| cause.to_string())?;
    if used == body.len() {
        Ok(message)
    } else {
        Err(format!("{} trailing bytes after the message", body.len() - used))
    }
}

/// Buffers received bytes and splits them into frames.
#[derive(Debug)]
pub(crate) struct FrameBuffer {
    bytes: BytesMut,
    limit: usize,
}

impl FrameBuffer {
    pub(crate) fn new(limit: usize) -> Self {
        Self { bytes: BytesMut::new(), limit }
    }

    pub(crate) fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the body of the next frame; `None` if it has not arrived completely.
    pub(crate) fn next_frame(&mut self) -> std::result::Result<Option<Bytes>, String> {
        let Some(prefix) = self.bytes.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = u32::from_be_bytes(prefix.try_into().expect("four bytes")) as usize;
        if length > self.limit {
            return Err(format!("{length} bytes, at most {} are permitted", self.limit));
        }
        if self.bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.bytes.advance(LENGTH_BYTES);
        Ok(Some(self.bytes.split_to(length).freeze()))
    }
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
