//! Durable storage of the replicated log.
//!
//! One file holds the hard state, the entries, the snapshot and a header with the format version, the VM and its
//! incarnation. Every record has a checksum over its key and its bytes. Opening a file that is damaged, truncated,
//! empty or not a log returns an error; such a file is never read as an empty log.
//!
//! ```
//! use parsleywalk_consensus::{EntryPayload, LogEntry, LogIndex, LogTerm, LogWrite};
//! use parsleywalk_storage::LogStore;
//! use parsleywalk_units::VmNumber;
//!
//! let folder = tempfile::tempdir()?;
//! let vm = VmNumber::new(1);
//! let id = LogStore::init(folder.path(), vm, &[vm])?;
//! let (mut store, recovered) = LogStore::open(folder.path())?;
//! assert_eq!(store.id(), id);
//! let index = recovered.entries.last().map_or(LogIndex::new(1), |entry| entry.index.next());
//! let entry = LogEntry { index, term: LogTerm::new(1), payload: EntryPayload::Command(vec![7]) };
//! store.write(&[LogWrite { entries: vec![entry.clone()], ..LogWrite::default() }])?;
//! drop(store);
//! let (_, recovered) = LogStore::open(folder.path())?;
//! assert_eq!(recovered.entries.last(), Some(&entry));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod read;
mod record;
mod store;

pub use error::{Result, StorageError};
pub use store::LogStore;
