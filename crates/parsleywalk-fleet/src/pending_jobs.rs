//! Owners of jobs whose commands are being committed.
//!
//! A request is decided by the applied state, which does not show what is being committed. Of two requests with one job
//! id, the second must not cancel or replace what the first stores for another workspace.

use parsleywalk_batch::{JobId, SortedMap};
use parsleywalk_units::WorkspaceName;

#[derive(Debug, Default)]
struct PendingJob {
    owner: Option<WorkspaceName>,
    /// The number of requests whose commands are being committed.
    requests: u32,
}

/// The jobs that callers' requests being committed are about, with the workspaces that these requests act for.
#[derive(Debug, Default)]
pub(crate) struct PendingJobs {
    jobs: SortedMap<JobId, PendingJob>,
}

impl PendingJobs {
    /// Records that commands of a request about the job are being committed. The first owner stays until all requests
    /// about the job have ended.
    pub(crate) fn begin(&mut self, job: JobId, owner: Option<&WorkspaceName>) {
        let pending = self.jobs.entry(job, PendingJob::default);
        pending.requests += 1;
        if pending.owner.is_none() {
            pending.owner = owner.cloned();
        }
    }

    /// Records that the commands of one request are applied or were not committed.
    pub(crate) fn end(&mut self, job: JobId) {
        let Some(pending) = self.jobs.get_mut(&job) else { return };
        pending.requests -= 1;
        if pending.requests == 0 {
            self.jobs.remove(&job);
        }
    }

    /// Returns the workspace for which the job is being stored.
    pub(crate) fn owner(&self, job: JobId) -> Option<&WorkspaceName> {
        self.jobs.get(&job)?.owner.as_ref()
    }
}
