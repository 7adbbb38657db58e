//! Checksummed records.

use bincode::serde::Compat;
use bincode::{Decode, Encode, decode_from_slice, encode_to_vec};
use parsleywalk_units::{Incarnation, VmNumber};

/// The format of the file. A file of another version is refused.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// The name in the header, which tells the file from other databases.
pub(crate) const FORMAT_NAME: &str = "parsleywalk-log";

/// The first record: the format's name and version, the VM, its incarnation and the founding VMs.
pub(crate) type Header = (String, u32, VmNumber, Incarnation, Vec<VmNumber>);

/// Encodes a record behind a checksum over its place and its bytes.
///
/// The place is part of the checksum, so that a record that turns up under another key is noticed.
pub(crate) fn seal<T>(place: &str, number: u64, value: &T) -> Vec<u8>
where
    for<'a> Compat<&'a T>: Encode,
{
    let body =
        encode_to_vec(Compat(value), bincode::config::standard()).expect("records hold nothing that cannot be encoded");
    seal_bytes(place, number, &body)
}

/// Puts bytes behind a checksum over their place and themselves.
pub(crate) fn seal_bytes(place: &str, number: u64, body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(body.len() + 4);
    record.extend_from_slice(&checksum(place, number, body).to_le_bytes());
    record.extend_from_slice(body);
    record
}

/// Decodes a record, or returns what is wrong with it.
pub(crate) fn unseal<T>(place: &str, number: u64, record: &[u8]) -> Result<T, String>
where
    Compat<T>: Decode<()>,
{
    let body = unseal_bytes(place, number, record)?;
    let (Compat(value), used) = decode_from_slice(body, bincode::config::standard())
        .map_err(|error| format!("record {place} {number} cannot be decoded: {error}"))?;
    if used == body.len() { Ok(value) } else { Err(format!("record {place} {number} has trailing bytes")) }
}

/// Returns the bytes behind the checksum, or what is wrong with them.
pub(crate) fn unseal_bytes<'a>(place: &str, number: u64, record: &'a [u8]) -> Result<&'a [u8], String> {
    let (sum, body) = record.split_first_chunk().ok_or_else(|| format!("record {place} {number} is too short"))?;
    if u32::from_le_bytes(*sum) == checksum(place, number, body) {
        Ok(body)
    } else {
        Err(format!("record {place} {number} does not match its checksum"))
    }
}

fn checksum(place: &str, number: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(place.as_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
