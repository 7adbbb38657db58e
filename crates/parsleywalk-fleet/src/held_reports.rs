//! Reports whose responses are held until there are orders for the worker.

use std::collections::VecDeque;

use parsleywalk_batch::SortedMap;
use parsleywalk_units::{MonotonicTime, WorkerId};

use crate::waiter::WaitingReport;

/// The held reports, at most one for each worker.
///
/// A worker keeps its slot once it has had a report, so that holding and answering a report moves no other row. The
/// cost of each method depends on the reports that it returns and not on the number of workers.
#[derive(Debug, Default)]
pub(crate) struct HeldReports {
    slots: SortedMap<WorkerId, Option<WaitingReport>>,
    /// The deadlines in ascending order. An entry without a held report of the same deadline is obsolete.
    deadlines: VecDeque<(MonotonicTime, WorkerId)>,
}

/// Read-only methods.
impl HeldReports {
    /// Returns the earliest deadline, or [`MonotonicTime::NEVER`] if no report is held. The report may have been
    /// answered since.
    pub(crate) fn next_deadline(&self) -> MonotonicTime {
        self.deadlines.front().map_or(MonotonicTime::NEVER, |(deadline, _)| *deadline)
    }
}

/// Methods that change the state.
impl HeldReports {
    /// Holds a report and returns the one that the worker sent before, if it is still held.
    pub(crate) fn insert(&mut self, report: WaitingReport) -> Option<WaitingReport> {
        let deadline = report.hold_until;
        let index = self.deadlines.partition_point(|(known, _)| *known <= deadline);
        self.deadlines.insert(index, (deadline, report.worker.clone()));
        let worker = report.worker.clone();
        self.slots.entry(worker, || None).replace(report)
    }

    /// Removes and returns the worker's held report.
    pub(crate) fn take(&mut self, worker: &WorkerId) -> Option<WaitingReport> {
        self.slots.get_mut(worker)?.take()
    }

    /// Removes and returns the reports whose deadline is not later than `limit`.
    pub(crate) fn take_due(&mut self, limit: MonotonicTime) -> Vec<WaitingReport> {
        let mut due = Vec::new();
        while self.next_deadline() <= limit {
            let Some((deadline, worker)) = self.deadlines.pop_front() else { break };
            let Some(slot) = self.slots.get_mut(&worker) else { continue };
            due.extend(slot.take_if(|report| report.hold_until == deadline));
        }
        due
    }

    /// Removes and returns all held reports and forgets the workers.
    pub(crate) fn take_all(&mut self) -> Vec<WaitingReport> {
        let mut slots = std::mem::take(self).slots;
        slots.iter_mut().filter_map(|(_, slot)| slot.take()).collect()
    }
}

#[cfg(test)]
#[path = "held_reports_tests.rs"]
mod tests;
