//! The log store.

use std::fs::{self, File};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use bincode::Encode;
use bincode::serde::Compat;
use parsleywalk_consensus::{LogIndex, LogSnapshot, LogWrite, RecoveredLog, ReplicaId, ReplicaSet};
use parsleywalk_units::{Incarnation, VmNumber};
use redb::{Builder, Database, TableDefinition, WriteTransaction};

use crate::read::{file_error, read_log};
use crate::record::{FORMAT_NAME, FORMAT_VERSION, Header, add_checksum, encode_record};
use crate::{Result, StorageError};

pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");
pub(crate) const ENTRIES: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("entries");
pub(crate) const SNAPSHOT_CHUNKS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("snapshot");

/// The name of the log file in the data folder.
const FILE_NAME: &str = "log.redb";
/// The name of the log file until it is initialised. It is renamed when complete, so a crash leaves no incomplete log.
const NEW_FILE_NAME: &str = "log.redb.new";
/// The size of a snapshot chunk. Larger values would need large contiguous regions of the file.
const CHUNK_BYTES: usize = 1024 * 1024;
/// The size of the database cache. The log is read only once, when it is opened, and the default of 1 GiB exceeds a
/// daemon's memory budget.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// Returns a builder with the settings of the log's database.
pub(crate) fn database_builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// The first and the last index of the stored entries. If there are none, the last index is the one before the first.
pub(crate) type Bounds = (LogIndex, LogIndex);
/// The index, term, members and payload length in bytes of the snapshot.
pub(crate) type SnapshotHeader = (LogIndex, parsleywalk_consensus::LogTerm, ReplicaSet, u64);

/// The durable log of a replica.
///
/// After an error of [`write`](Self::write) the store refuses further writes, since the content of the disk is unknown.
#[derive(Debug)]
pub struct LogStore {
    database: Database,
    file: PathBuf,
    id: ReplicaId,
    bounds: Bounds,
    failed: bool,
}

impl LogStore {
    /// Creates a log in the folder, which is created if it is missing, and generates the VM's incarnation.
    ///
    /// `members` contains the VMs that form the first membership, including this one. If it contains only this VM, the
    /// replica becomes the leader at once. If it is empty, the replica joins existing ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder already holds a log or cannot be written, or if `members` lacks this VM.
    pub fn init(folder: &Path, vm: VmNumber, members: &[VmNumber]) -> Result<ReplicaId> {
        if !members.is_empty() && !members.contains(&vm) {
            return Err(StorageError::NotMember { vm, members: members.to_vec() });
        }
        fs::create_dir_all(folder).map_err(|cause| step_error("create", folder, cause))?;
        let file = folder.join(FILE_NAME);
        if file.exists() {
            return Err(StorageError::AlreadyInitialised { folder: folder.to_owned() });
        }
        let new_file = folder.join(NEW_FILE_NAME);
        if new_file.exists() {
            fs::remove_file(&new_file).map_err(|cause| step_error("remove", &new_file, cause))?;
        }
        let id = ReplicaId::new(vm, generate_incarnation()?);
        let recovered = if members == [vm] {
            RecoveredLog::bootstrapped(ReplicaSet::new(vec![id]))
        } else {
            RecoveredLog::default()
        };
        let header: Header = (FORMAT_NAME.to_owned(), FORMAT_VERSION, id.vm, id.incarnation, members.to_vec());
        let database = database_builder().create(&new_file).map_err(|cause| file_error("create", &new_file, cause))?;
        let mut store =
            Self { database, file: new_file.clone(), id, bounds: (LogIndex::new(1), LogIndex::ZERO), failed: false };
        let first =
            LogWrite { hard_state: Some(recovered.hard_state), entries: recovered.entries, ..LogWrite::default() };
        store.commit(&[first], Some(&header))?;
        drop(store);
        fs::rename(&new_file, &file).map_err(|cause| step_error("rename", &new_file, cause))?;
        let handle = File::open(folder).map_err(|cause| step_error("open", folder, cause))?;
        handle.sync_all().map_err(|cause| step_error("sync", folder, cause))?;
        Ok(id)
    }

    /// Opens the log in the folder and reads all of it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no log, if it is already open, if it is damaged, or if it has another format.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredLog)> {
        let file = folder.join(FILE_NAME);
        let length = match fs::metadata(&file) {
            Ok(metadata) => metadata.len(),
            Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => {
                return Err(StorageError::NotInitialised { folder: folder.to_owned() });
            }
            Err(cause) => return Err(step_error("read", &file, cause)),
        };
        if length == 0 {
            return Err(StorageError::Damaged { file, detail: "the file is empty".to_owned() });
        }
        let (database, id, bounds, recovered) = guard_panics(&file, || read_log(&file))?;
        Ok((Self { database, file, id, bounds, failed: false }, recovered))
    }

    /// Returns the id of the replica that owns the log.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Applies the writes in order in one transaction and syncs once.
    ///
    /// # Errors
    ///
    /// Returns an error if a write leaves a gap in the log or if the disk fails. The store then refuses all further
    /// writes.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<()> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        // Set before the write so that it also applies after a panic.
        self.failed = true;
        let file = self.file.clone();
        guard_panics(&file, || self.commit(writes, None))?;
        self.failed = false;
        Ok(())
    }

    fn commit(&mut self, writes: &[LogWrite], header: Option<&Header>) -> Result<()> {
        let file = self.file.clone();
        let failed = |cause: redb::Error| file_error("write", &file, cause);
        let mut bounds = self.bounds;
        let mut transaction = self.database.begin_write().map_err(|cause| failed(cause.into()))?;
        // With a one-phase commit, damage to the last commit looks like a commit interrupted by a crash: it would be
        // rolled back, and acknowledged entries would be lost without an error. A two-phase commit distinguishes the
        // two.
        transaction.set_two_phase_commit(true);
        if let Some(header) = header {
            put_meta(&transaction, "header", header).map_err(failed)?;
        }
        for write in writes {
            check_sequence(bounds, write)?;
            put_write(&transaction, &mut bounds, write).map_err(failed)?;
        }
        put_meta(&transaction, "bounds", &bounds).map_err(failed)?;
        transaction.commit().map_err(|cause| failed(cause.into()))?;
        self.bounds = bounds;
        Ok(())
    }
}

/// Converts a panic to an error, since the database panics on some kinds of damage to its internal structures.
fn guard_panics<T>(file: &Path, step: impl FnOnce() -> Result<T>) -> Result<T> {
    let damaged = |_| StorageError::Damaged { file: file.to_owned(), detail: "the database panicked".to_owned() };
    catch_unwind(AssertUnwindSafe(step)).map_err(damaged)?
}

type Step<T> = std::result::Result<T, redb::Error>;

fn put_meta<T>(transaction: &WriteTransaction, key: &str, value: &T) -> Step<()>
where
    for<'a> Compat<&'a T>: Encode,
{
    let mut table = transaction.open_table(META)?;
    table.insert(key, encode_record(key, 0, value).as_slice())?;
    Ok(())
}

fn put_write(transaction: &WriteTransaction, bounds: &mut Bounds, write: &LogWrite) -> Step<()> {
    if let Some(hard_state) = &write.hard_state {
        put_meta(transaction, "hard_state", hard_state)?;
    }
    if let Some(snapshot) = &write.snapshot {
        put_snapshot(transaction, snapshot)?;
    }
    let mut table = transaction.open_table(ENTRIES)?;
    if let Some(from) = write.truncate_from {
        for index in from.max(bounds.0).get()..=bounds.1.get() {
            table.remove(index)?;
        }
        bounds.1 = bounds.1.min(from.max(bounds.0).previous());
        // If a snapshot replaces the whole log, the next entry follows the snapshot.
        if let Some(snapshot) = write.snapshot.as_ref().filter(|_| bounds.1 < bounds.0) {
            *bounds = (snapshot.index.next(), snapshot.index);
        }
    }
    for entry in &write.entries {
        let index = entry.index.get();
        table.insert(index, encode_record("entry", index, entry).as_slice())?;
        bounds.1 = entry.index;
    }
    if let Some(to) = write.trim_to {
        let to = to.min(bounds.1);
        for index in bounds.0.get()..=to.get() {
            table.remove(index)?;
        }
        bounds.0 = bounds.0.max(to.next());
    }
    Ok(())
}

fn put_snapshot(transaction: &WriteTransaction, snapshot: &LogSnapshot) -> Step<()> {
    let length = snapshot.payload.len() as u64;
    put_meta(transaction, "snapshot", &(snapshot.index, snapshot.term, snapshot.members.clone(), length))?;
    transaction.delete_table(SNAPSHOT_CHUNKS)?;
    let mut table = transaction.open_table(SNAPSHOT_CHUNKS)?;
    for (part, number) in snapshot.payload.chunks(CHUNK_BYTES).zip(0u64..) {
        // The snapshot's index is part of the record kind, so that chunks of different snapshots cannot be mixed.
        let kind = format!("part {}", snapshot.index);
        table.insert(number, add_checksum(&kind, number, part).as_slice())?;
    }
    Ok(())
}

fn check_sequence(bounds: Bounds, write: &LogWrite) -> Result<()> {
    let Some(first) = write.entries.first() else { return Ok(()) };
    let last = match (write.truncate_from, &write.snapshot) {
        (Some(from), Some(snapshot)) if from <= bounds.0 => snapshot.index,
        (Some(from), _) => bounds.1.min(from.previous()),
        (None, _) => bounds.1,
    };
    let mut expected = last.next();
    for entry in &write.entries {
        if entry.index != expected {
            return Err(StorageError::Sequence { found: entry.index.get(), expected: expected.get() });
        }
        expected = expected.next();
    }
    debug_assert!(first.index > LogIndex::ZERO);
    Ok(())
}

/// Generates an incarnation that is newer than all that were generated for the VM in earlier seconds.
fn generate_incarnation() -> Result<Incarnation> {
    let random = getrandom::u32().map_err(|error| StorageError::Random { detail: error.to_string() })?;
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    // The random low 20 bits distinguish folders that are initialised within one second. Zero is not a valid
    // incarnation.
    Ok(Incarnation::new((seconds << 20 | u64::from(random) >> 12).max(1)))
}

pub(crate) fn step_error(step: &'static str, path: &Path, cause: std::io::Error) -> StorageError {
    StorageError::File { step, path: path.to_owned(), cause }
}
