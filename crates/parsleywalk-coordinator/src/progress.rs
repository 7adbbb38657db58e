//! How far each daemon has applied the log.

use std::time::Duration;

use parsleywalk_consensus::LogIndex;
use parsleywalk_units::{MonotonicTime, VmNumber};

/// A daemon that was not heard from for this long is not waited for.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// One daemon's progress.
#[derive(Debug, Clone, Copy)]
struct DaemonProgress {
    vm: VmNumber,
    applied: LogIndex,
    heard: Option<MonotonicTime>,
}

/// The progress of every other daemon, as its reports say.
#[derive(Debug)]
pub(crate) struct ProgressTable {
    daemons: Vec<DaemonProgress>,
}

impl ProgressTable {
    pub(crate) fn new(vms: impl Iterator<Item = VmNumber>) -> Self {
        let mut daemons: Vec<DaemonProgress> =
            vms.map(|vm| DaemonProgress { vm, applied: LogIndex::default(), heard: None }).collect();
        daemons.sort_by_key(|daemon| daemon.vm);
        Self { daemons }
    }

    /// Starts over as a new leader: nothing is known of any daemon, and each has the freshness span to report.
    pub(crate) fn begin_term(&mut self, now: MonotonicTime) {
        for daemon in &mut self.daemons {
            *daemon = DaemonProgress { vm: daemon.vm, applied: LogIndex::default(), heard: Some(now) };
        }
    }

    /// Records a report. A restarted daemon reports a lower index, which holds.
    pub(crate) fn record(&mut self, now: MonotonicTime, vm: VmNumber, applied: LogIndex) {
        if let Ok(index) = self.daemons.binary_search_by_key(&vm, |daemon| daemon.vm) {
            self.daemons[index] = DaemonProgress { vm, applied, heard: Some(now) };
        }
    }

    /// The daemons that have applied `index`, and those that were not heard from lately.
    pub(crate) fn in_force(&self, now: MonotonicTime, index: LogIndex) -> ConfirmationReport {
        let mut report = ConfirmationReport::default();
        for daemon in &self.daemons {
            let fresh = daemon.heard.is_some_and(|heard| now.since(heard) <= PROGRESS_TIMEOUT);
            if fresh && daemon.applied >= index {
                report.in_force.push(daemon.vm);
            } else if fresh {
                report.waited_for += 1;
                report.not_heard.push(daemon.vm);
            } else {
                report.not_heard.push(daemon.vm);
            }
        }
        report
    }
}

/// Where an entry of the log is in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfirmationReport {
    pub(crate) in_force: Vec<VmNumber>,
    /// Not confirmed: those still waited for included.
    pub(crate) not_heard: Vec<VmNumber>,
    /// Heard from lately and not confirmed yet.
    pub(crate) waited_for: usize,
}
