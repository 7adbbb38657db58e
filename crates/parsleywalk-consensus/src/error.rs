//! Errors from opening a replica.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use quick_error::quick_error;

use crate::LogIndex;

/// The result of opening a replica.
pub type Result<T> = std::result::Result<T, ConsensusError>;

quick_error! {
    /// Why a replica cannot be opened.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConsensusError {
        /// A setting is out of range.
        Setting { setting: &'static str, range: &'static str } {
            display("consensus setting {} is out of range: permitted is {}", setting, range)
        }
        /// The incarnation of the replica is zero, which addresses any incarnation.
        NoIncarnation {
            display("incarnation 0 is out of range: permitted is 1 or more")
        }
        /// The recovered entries are not consecutive, or there is a gap between the snapshot and the first entry.
        Gap { found: LogIndex, expected: LogIndex } {
            display("recovered log has entry {} where entry {} is expected", found, expected)
        }
        /// A recovered entry has an older term than the entry before it, or a newer one than the hard state.
        TermOrder { index: LogIndex } {
            display("recovered log has an out-of-order term at entry {}", index)
        }
        /// Entries up to the commit index or the snapshot's index are missing.
        MissingEntries { commit: LogIndex, last: LogIndex } {
            display("recovered log ends at entry {}, before the committed entry {}", last, commit)
        }
    }
}
