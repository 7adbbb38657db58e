//! The part of a snapshot that holds workspaces.
//!
//! A snapshot begins with the encoding of release 1. If a job or a run has an owner, or workspaces are active, an extension
//! follows: its version as a number, and its content. A snapshot without extension thus equals that of release 1, whose
//! replicas refuse one with an extension.

use std::sync::Arc;

use parsleywalk_units::{WorkerId, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::error::{decode, decode_prefix, encode};
use crate::{BatchError, BatchState, JobId, Result, TaskKey, WorkspaceConfiguration};

/// The version of the extension that this release writes and reads.
const EXTENSION_VERSION: u32 = 1;

/// The workspaces of a snapshot.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SnapshotExtension {
    /// The active workspaces.
    pub(crate) workspaces: Option<Arc<WorkspaceConfiguration>>,
    /// The jobs of each workspace.
    pub(crate) jobs: Vec<(WorkspaceName, Vec<JobId>)>,
    /// The runs that count for another workspace than their job's, or for none, because the job was removed while they
    /// went on. A caller may have submitted another job with its id since.
    pub(crate) runs: Vec<(WorkerId, TaskKey, Option<WorkspaceName>)>,
}

impl SnapshotExtension {
    /// Returns the extension of a state's snapshot, or `None` if it has none.
    pub(crate) fn of(state: &BatchState) -> Option<Self> {
        let mut jobs: Vec<(WorkspaceName, Vec<JobId>)> = Vec::new();
        for (job, workspace) in state.jobs().filter_map(|(job, record)| Some((job, record.workspace.as_ref()?))) {
            match jobs.binary_search_by(|(known, _)| known.cmp(workspace)) {
                Ok(index) => jobs[index].1.push(job),
                Err(index) => jobs.insert(index, (workspace.clone(), vec![job])),
            }
        }
        let mut runs = Vec::new();
        for (worker, record) in state.workers() {
            for (task, run) in record.runs.iter() {
                let owner = state.job(task.job).and_then(|job| job.workspace.as_ref());
                if run.workspace.as_ref() != owner {
                    runs.push((worker.clone(), *task, run.workspace.clone()));
                }
            }
        }
        let extension = Self { workspaces: state.workspaces().cloned(), jobs, runs };
        (extension != Self::default()).then_some(extension)
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(&(EXTENSION_VERSION, self))
    }

    /// Decodes an extension.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an extension of the version that this release reads.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self> {
        let (version, used): (u32, usize) = decode_prefix("snapshot extension", bytes)?;
        if version != EXTENSION_VERSION {
            return Err(error(format!("version {version} is not supported, only {EXTENSION_VERSION} is")));
        }
        decode("snapshot extension", &bytes[used..])
    }
}

/// Returns the error of an extension that does not fit the rest of its snapshot.
pub(crate) fn error(reason: String) -> BatchError {
    BatchError::Decode { step: "snapshot extension", reason }
}
