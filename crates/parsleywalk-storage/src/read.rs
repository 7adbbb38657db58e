//! Reading and validating a log file.

use std::path::Path;
use std::sync::Arc;

use bincode::Decode;
use bincode::serde::Compat;
use parsleywalk_consensus::{LogEntry, LogIndex, LogSnapshot, RecoveredLog, ReplicaId};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable};

use crate::record::{FORMAT_NAME, FORMAT_VERSION, Header, decode_record, verify_checksum};
use crate::store::{Bounds, ENTRIES, META, SNAPSHOT_CHUNKS, SnapshotHeader, database_builder};
use crate::{Result, StorageError};

/// Converts an error of the database, separating damaged files and other file formats from failed operations.
pub(crate) fn file_error(step: &'static str, file: &Path, cause: impl Into<redb::Error>) -> StorageError {
    match cause.into() {
        redb::Error::Corrupted(detail) => StorageError::Damaged { file: file.to_owned(), detail },
        redb::Error::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
            StorageError::UnknownFormat { file: file.to_owned(), detail: error.to_string() }
        }
        cause => StorageError::Database { step, file: file.to_owned(), cause: Box::new(cause) },
    }
}

/// Opens the file and reads the whole log.
pub(crate) fn read_log(file: &Path) -> Result<(Database, ReplicaId, Bounds, RecoveredLog)> {
    let mut database = database_builder().open(file).map_err(|cause| file_error("open", file, cause))?;
    // After a clean shutdown, opening the database verifies nothing.
    if !database.check_integrity().map_err(|cause| file_error("check", file, cause))? {
        return Err(StorageError::Damaged { file: file.to_owned(), detail: "the integrity check failed".to_owned() });
    }
    let reader =
        LogReader { file, transaction: database.begin_read().map_err(|cause| file_error("read", file, cause))? };
    let (id, bootstrap_vms) = reader.header()?;
    let bounds: Bounds = reader.meta("bounds")?;
    let recovered = RecoveredLog {
        hard_state: reader.meta("hard_state")?,
        snapshot: reader.snapshot()?,
        entries: reader.entries(bounds)?,
        bootstrap_vms,
    };
    reader.check_snapshot(bounds, recovered.snapshot.as_ref())?;
    drop(reader);
    Ok((database, id, bounds, recovered))
}

struct LogReader<'a> {
    file: &'a Path,
    transaction: ReadTransaction,
}

impl LogReader<'_> {
    fn damaged(&self, detail: impl Into<String>) -> StorageError {
        StorageError::Damaged { file: self.file.to_owned(), detail: detail.into() }
    }

    fn failed(&self, cause: impl Into<redb::Error>) -> StorageError {
        file_error("read", self.file, cause)
    }

    fn header(&self) -> Result<(ReplicaId, Vec<parsleywalk_units::VmNumber>)> {
        let unknown_format =
            |detail: &str| StorageError::UnknownFormat { file: self.file.to_owned(), detail: detail.to_owned() };
        let table = match self.transaction.open_table(META) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Err(unknown_format("the header is missing")),
            table => table.map_err(|cause| self.failed(cause))?,
        };
        let record = table
            .get("header")
            .map_err(|cause| self.failed(cause))?
            .ok_or_else(|| unknown_format("the header is missing"))?;
        let body = verify_checksum("header", 0, record.value()).map_err(|detail| self.damaged(detail))?;
        // Only the name and the version are decoded first, since other versions may change the rest of the header.
        let ((name, version), _): ((String, u32), usize) =
            bincode::serde::decode_from_slice(body, bincode::config::standard())
                .map_err(|error| self.damaged(format!("the header cannot be decoded: {error}")))?;
        if name != FORMAT_NAME {
            return Err(unknown_format("the header has another format name"));
        }
        if version != FORMAT_VERSION {
            return Err(StorageError::Version { file: self.file.to_owned(), found: version, expected: FORMAT_VERSION });
        }
        let (_, _, vm, incarnation, bootstrap_vms): Header =
            decode_record("header", 0, record.value()).map_err(|detail| self.damaged(detail))?;
        Ok((ReplicaId::new(vm, incarnation), bootstrap_vms))
    }

    fn meta<T>(&self, key: &str) -> Result<T>
    where
        Compat<T>: Decode<()>,
    {
        self.optional_meta(key)?.ok_or_else(|| self.damaged(format!("record {key} is missing")))
    }

    fn optional_meta<T>(&self, key: &str) -> Result<Option<T>>
    where
        Compat<T>: Decode<()>,
    {
        let table = self.transaction.open_table(META).map_err(|cause| self.failed(cause))?;
        let Some(record) = table.get(key).map_err(|cause| self.failed(cause))? else { return Ok(None) };
        decode_record(key, 0, record.value()).map(Some).map_err(|detail| self.damaged(detail))
    }

    fn snapshot(&self) -> Result<Option<LogSnapshot>> {
        let Some((index, term, members, length)) = self.optional_meta::<SnapshotHeader>("snapshot")? else {
            return Ok(None);
        };
        let table = self.transaction.open_table(SNAPSHOT_CHUNKS).map_err(|cause| self.failed(cause))?;
        let mut payload = Vec::new();
        let kind = format!("part {index}");
        for (row, expected) in table.iter().map_err(|cause| self.failed(cause))?.zip(0u64..) {
            let (number, record) = row.map_err(|cause| self.failed(cause))?;
            if number.value() != expected {
                return Err(self.damaged(format!("chunk {expected} of the snapshot is missing")));
            }
            let part = verify_checksum(&kind, expected, record.value()).map_err(|detail| self.damaged(detail))?;
            payload.extend_from_slice(part);
        }
        if payload.len() as u64 != length {
            return Err(self.damaged(format!("the snapshot has {} bytes, expected {length}", payload.len())));
        }
        Ok(Some(LogSnapshot { index, term, members, payload: Arc::new(payload) }))
    }

    fn entries(&self, bounds: Bounds) -> Result<Vec<LogEntry>> {
        let table = self.transaction.open_table(ENTRIES).map_err(|cause| self.failed(cause))?;
        let mut entries = Vec::new();
        let mut expected = bounds.0;
        for row in table.iter().map_err(|cause| self.failed(cause))? {
            let (index, record) = row.map_err(|cause| self.failed(cause))?;
            if index.value() != expected.get() {
                return Err(self.damaged(format!("entry {expected} is missing, found entry {}", index.value())));
            }
            let entry: LogEntry =
                decode_record("entry", index.value(), record.value()).map_err(|detail| self.damaged(detail))?;
            entries.push(entry);
            expected = expected.next();
        }
        if expected != bounds.1.next() {
            return Err(self.damaged(format!("entries {expected} to {} are missing", bounds.1)));
        }
        Ok(entries)
    }

    /// Checks that no entries are missing between the snapshot and the first entry.
    fn check_snapshot(&self, bounds: Bounds, snapshot: Option<&LogSnapshot>) -> Result<()> {
        let covered = snapshot.map_or(LogIndex::ZERO, |snapshot| snapshot.index);
        if bounds.0 > covered.next() {
            return Err(self.damaged(format!("entries {} to {} are missing", covered.next(), bounds.0.previous())));
        }
        Ok(())
    }
}
