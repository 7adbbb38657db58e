//! Errors of opening a replica.

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
        /// The replica's own incarnation is zero.
        NoIncarnation {
            display("incarnation 0 is out of range: permitted is 1 or more")
        }
        /// The recovered entries are not consecutive, or do not reach back to the snapshot.
        Gap { found: LogIndex, expected: LogIndex } {
            display("recovered log has entry {} where entry {} is expected", found, expected)
        }
        /// A recovered term is older than the one before it, or newer than the hard state's.
        TermOrder { index: LogIndex } {
            display("recovered log has a term out of order at entry {}", index)
        }
        /// The hard state refers to entries that are missing.
        MissingEntries { commit: LogIndex, last: LogIndex } {
            display("recovered log ends at entry {}, before the committed entry {}", last, commit)
        }
    }
}
