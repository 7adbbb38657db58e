//! Encoding of checksummed records.

use bincode::serde::Compat;
use bincode::{Decode, Encode, decode_from_slice, encode_to_vec};
use parsleywalk_units::{Incarnation, VmNumber};

/// The version of the file format. Files of other versions are refused.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// The format name in the header, which distinguishes the file from other databases.
pub(crate) const FORMAT_NAME: &str = "parsleywalk-log";

/// The header record: the format name and version, the VM, its incarnation and the bootstrap VMs.
pub(crate) type Header = (String, u32, VmNumber, Incarnation, Vec<VmNumber>);

/// Encodes a value as a record, which is a checksum followed by the encoded bytes.
///
/// The checksum also covers the record's kind and number, so that a record stored under another key is detected.
pub(crate) fn encode_record<T>(kind: &str, number: u64, value: &T) -> Vec<u8>
where
    for<'a> Compat<&'a T>: Encode,
{
    let body =
        encode_to_vec(Compat(value), bincode::config::standard()).expect("records hold nothing that cannot be encoded");
    add_checksum(kind, number, &body)
}

/// Prepends a checksum over the kind, the number and the bytes.
pub(crate) fn add_checksum(kind: &str, number: u64, body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(body.len() + 4);
    record.extend_from_slice(&checksum(kind, number, body).to_le_bytes());
    record.extend_from_slice(body);
    record
}

/// Decodes the value of a record, or returns a description of the damage.
pub(crate) fn decode_record<T>(kind: &str, number: u64, record: &[u8]) -> Result<T, String>
where
    Compat<T>: Decode<()>,
{
    let body = verify_checksum(kind, number, record)?;
    let (Compat(value), used) = decode_from_slice(body, bincode::config::standard())
        .map_err(|error| format!("record {kind} {number} cannot be decoded: {error}"))?;
    if used == body.len() { Ok(value) } else { Err(format!("record {kind} {number} has trailing bytes")) }
}

/// Returns the encoded bytes of a record, or a description of the damage.
pub(crate) fn verify_checksum<'a>(kind: &str, number: u64, record: &'a [u8]) -> Result<&'a [u8], String> {
    let (stored, body) = record.split_first_chunk().ok_or_else(|| format!("record {kind} {number} is too short"))?;
    if u32::from_le_bytes(*stored) == checksum(kind, number, body) {
        Ok(body)
    } else {
        Err(format!("record {kind} {number} does not match its checksum"))
    }
}

fn checksum(kind: &str, number: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(kind.as_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
