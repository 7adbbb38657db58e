//! Errors of the log store.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::io;
use std::path::PathBuf;

use parsleywalk_units::VmNumber;
use quick_error::quick_error;

/// The result of an operation of the log store.
pub type Result<T> = std::result::Result<T, StorageError>;

quick_error! {
    /// An error of the log store. After a failed write, the store refuses further writes.
    #[derive(Debug)]
    pub enum StorageError {
        /// The folder already holds a log.
        AlreadyInitialised { folder: PathBuf } {
            display("folder {} already holds a log", folder.display())
        }
        /// The VMs that form the first membership do not include the VM itself.
        NotMember { vm: VmNumber, members: Vec<VmNumber> } {
            display("first members {} do not include VM {}", list(members), vm)
        }
        /// The folder holds no log.
        NotInitialised { folder: PathBuf } {
            display("folder {} holds no log: initialise it first", folder.display())
        }
        /// The file exists but is not a log of parsleywalk.
        UnknownFormat { file: PathBuf, detail: String } {
            display("file {} is not a log of parsleywalk: {}", file.display(), detail)
        }
        /// The file has another format version.
        Version { file: PathBuf, found: u32, expected: u32 } {
            display("file {} has format version {}: permitted is {}", file.display(), found, expected)
        }
        /// The file is damaged.
        Damaged { file: PathBuf, detail: String } {
            display("file {} is damaged: {}", file.display(), detail)
        }
        /// An operation of the file system failed.
        File { step: &'static str, path: PathBuf, cause: io::Error } {
            display("cannot {} {}: {}", step, path.display(), cause)
            source(cause)
        }
        /// An operation of the database failed.
        Database { step: &'static str, file: PathBuf, cause: Box<redb::Error> } {
            display("cannot {} {}: {}", step, file.display(), cause)
            source(cause)
        }
        /// The operating system returned no random bytes.
        Random { detail: String } {
            display("cannot generate an incarnation: {}", detail)
        }
        /// An entry to write does not follow the last entry of the log.
        Sequence { found: u64, expected: u64 } {
            display("write of entry {} does not continue the log: expected entry {}", found, expected)
        }
        /// An earlier write failed, so the content of the disk is unknown.
        Failed {
            display("an earlier write failed: the process must be restarted")
        }
    }
}

fn list(vms: &[VmNumber]) -> String {
    vms.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
