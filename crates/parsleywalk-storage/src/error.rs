//! Errors of the log store.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::io;
use std::path::PathBuf;

use parsleywalk_units::VmNumber;
use quick_error::quick_error;

/// The result of an operation of the log store.
pub type Result<T> = std::result::Result<T, StorageError>;

quick_error! {
    /// Why the log store cannot go on. After a failed write the store must not be used any more.
    #[derive(Debug)]
    pub enum StorageError {
        /// The folder holds a log already.
        AlreadyInitialised { folder: PathBuf } {
            display("folder {} already holds a log", folder.display())
        }
        /// The first members do not include the VM itself.
        NotMember { vm: VmNumber, members: Vec<VmNumber> } {
            display("first members {} do not include VM {}", list(members), vm)
        }
        /// The folder holds no log.
        NotInitialised { folder: PathBuf } {
            display("folder {} holds no log: initialise it first", folder.display())
        }
        /// The file exists and is not a log of this program.
        Foreign { file: PathBuf, detail: String } {
            display("file {} is not a log of parsleywalk: {}", file.display(), detail)
        }
        /// The file was written by another version.
        Version { file: PathBuf, found: u32, expected: u32 } {
            display("file {} has format version {}: permitted is {}", file.display(), found, expected)
        }
        /// The file is damaged.
        Damaged { file: PathBuf, detail: String } {
            display("file {} is damaged: {}", file.display(), detail)
        }
        /// A step on the file system failed.
        File { step: &'static str, path: PathBuf, cause: io::Error } {
            display("cannot {} {}: {}", step, path.display(), cause)
            source(cause)
        }
        /// A step of the database failed.
        Database { step: &'static str, file: PathBuf, cause: Box<redb::Error> } {
            display("cannot {} {}: {}", step, file.display(), cause)
            source(cause)
        }
        /// The operating system gave no random numbers.
        Random { detail: String } {
            display("cannot draw an incarnation: {}", detail)
        }
        /// A write does not continue the log.
        Sequence { found: u64, expected: u64 } {
            display("write of entry {} does not continue the log: expected is entry {}", found, expected)
        }
        /// An earlier write failed, so what is on disk is unknown.
        Failed {
            display("an earlier write failed: the process must be restarted")
        }
    }
}

fn list(vms: &[VmNumber]) -> String {
    vms.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
