//! Progress of each daemon in applying the log.

use std::time::Duration;

use parsleywalk_consensus::LogIndex;
use parsleywalk_units::{MonotonicTime, VmNumber};

/// The time without a report after which a daemon counts as unresponsive and is no longer waited for.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// One daemon's progress.
#[derive(Debug, Clone, Copy)]
struct DaemonProgress {
    vm: VmNumber,
    applied: LogIndex,
    last_heard: Option<MonotonicTime>,
}

/// The last reported progress of every other daemon.
#[derive(Debug)]
pub(crate) struct ProgressTable {
    daemons: Vec<DaemonProgress>,
}

impl ProgressTable {
    pub(crate) fn new(vms: impl Iterator<Item = VmNumber>) -> Self {
        let mut daemons: Vec<DaemonProgress> =
            vms.map(|vm| DaemonProgress { vm, applied: LogIndex::default(), last_heard: None }).collect();
        daemons.sort_by_key(|daemon| daemon.vm);
        Self { daemons }
    }

    /// Resets the table at the start of a leader's term. Each daemon then has [`PROGRESS_TIMEOUT`] to report.
    pub(crate) fn begin_term(&mut self, now: MonotonicTime) {
        for daemon in &mut self.daemons {
            *daemon = DaemonProgress { vm: daemon.vm, applied: LogIndex::default(), last_heard: Some(now) };
        }
    }

    /// Records a progress report. A restarted daemon reports a lower index than before, which replaces the higher one.
    pub(crate) fn record(&mut self, now: MonotonicTime, vm: VmNumber, applied: LogIndex) {
        if let Ok(index) = self.daemons.binary_search_by_key(&vm, |daemon| daemon.vm) {
            self.daemons[index] = DaemonProgress { vm, applied, last_heard: Some(now) };
        }
    }

    /// Returns which daemons have reported that they applied the entry at `index`, and which have not.
    pub(crate) fn confirmations(&self, now: MonotonicTime, index: LogIndex) -> ConfirmationReport {
        let mut report = ConfirmationReport::default();
        for daemon in &self.daemons {
            let is_responsive = daemon.last_heard.is_some_and(|last_heard| now.since(last_heard) <= PROGRESS_TIMEOUT);
            if is_responsive && daemon.applied >= index {
                report.confirmed.push(daemon.vm);
            } else if is_responsive {
                report.pending += 1;
                report.unconfirmed.push(daemon.vm);
            } else {
                report.unconfirmed.push(daemon.vm);
            }
        }
        report
    }
}

/// The daemons that have and have not confirmed that they applied an entry of the log.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfirmationReport {
    pub(crate) confirmed: Vec<VmNumber>,
    /// The daemons that have not confirmed, whether responsive or not.
    pub(crate) unconfirmed: Vec<VmNumber>,
    /// The number of responsive daemons that have not confirmed yet.
    pub(crate) pending: usize,
}
