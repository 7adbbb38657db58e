//! The store.

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
use crate::record::{FORMAT_NAME, FORMAT_VERSION, Header, seal, seal_bytes};
use crate::{Result, StorageError};

pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");
pub(crate) const ENTRIES: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("entries");
pub(crate) const PARTS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("snapshot");

/// The file within the data folder.
const FILE_NAME: &str = "log.redb";
/// The file while it is being initialised. It is renamed once it is complete, so a crash leaves no half-made log.
const NEW_FILE_NAME: &str = "log.redb.new";
/// Larger values would need large contiguous regions of the file.
const PART_BYTES: usize = 1024 * 1024;
/// The log is read once, when it is opened. The library's default of 1 GiB exceeds a daemon's memory budget.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// Returns the settings with which the database is opened.
pub(crate) fn database_builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// The first and last index of the kept entries; an empty range has `last` just before `first`.
pub(crate) type Bounds = (LogIndex, LogIndex);
/// The index, term, members and payload length of the snapshot.
pub(crate) type SnapshotHead = (LogIndex, parsleywalk_consensus::LogTerm, ReplicaSet, u64);

/// The log of one replica on disk.
///
/// After an error of [`write`](Self::write) the store refuses further writes, since it is unknown what is on disk.
#[derive(Debug)]
pub struct LogStore {
    database: Database,
    file: PathBuf,
    id: ReplicaId,
    bounds: Bounds,
    failed: bool,
}

impl LogStore {
    /// Makes a log in the folder, which is created if it is missing, and draws the VM's incarnation.
    ///
    /// `members` names the VMs that form the first membership together, this one among them. With this VM alone, the
    /// replica leads at once; with none, it joins replicas that exist already.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder holds a log already or cannot be written, or if `members` lacks this VM.
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
        let id = ReplicaId::new(vm, draw_incarnation()?);
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

    /// Opens the folder's log and reads all of it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no log, if it is open already, or if anything in it is damaged or foreign.
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

    /// Returns the replica that the log belongs to.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Carries out the writes in order, in one transaction, and returns after one sync.
    ///
    /// # Errors
    ///
    /// Returns an error if a write does not continue the log or the disk fails. The store then refuses everything.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<()> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        // Holds after a panic as well.
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
        // With one phase, a last commit that was damaged after a crash is taken for one that never finished, and the
        // log would go on without entries that were acknowledged. Two phases tell the two apart.
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

/// Turns a panic into an error, since the database panics on some kinds of damage to its own bookkeeping.
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
    table.insert(key, seal(key, 0, value).as_slice())?;
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
        // A snapshot that replaces the whole log moves the place where it goes on.
        if let Some(snapshot) = write.snapshot.as_ref().filter(|_| bounds.1 < bounds.0) {
            *bounds = (snapshot.index.next(), snapshot.index);
        }
    }
    for entry in &write.entries {
        let index = entry.index.get();
        table.insert(index, seal("entry", index, entry).as_slice())?;
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
    transaction.delete_table(PARTS)?;
    let mut table = transaction.open_table(PARTS)?;
    for (part, number) in snapshot.payload.chunks(PART_BYTES).zip(0u64..) {
        // The index is part of the place, so that parts of two snapshots cannot be mixed.
        let place = format!("part {}", snapshot.index);
        table.insert(number, seal_bytes(&place, number, part).as_slice())?;
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

/// Draws an incarnation that is newer than any that was drawn for the VM in an earlier second.
fn draw_incarnation() -> Result<Incarnation> {
    let random = getrandom::u32().map_err(|error| StorageError::Random { detail: error.to_string() })?;
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    // The low 20 bits tell apart folders that are initialised within one second; zero is not an incarnation.
    Ok(Incarnation::new((seconds << 20 | u64::from(random) >> 12).max(1)))
}

pub(crate) fn step_error(step: &'static str, path: &Path, cause: std::io::Error) -> StorageError {
    StorageError::File { step, path: path.to_owned(), cause }
}
