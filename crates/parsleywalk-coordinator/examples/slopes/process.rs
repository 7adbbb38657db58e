//! Measurements of this process.

use std::fs;

/// Returns the resident memory of the process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    pages * 4096
}
