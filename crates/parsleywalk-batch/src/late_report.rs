//! Reports that are handled after their worker has announced its exit.
//!
//! A worker's last report and its announcement are two calls, which may take different ways and arrive in either order.
//! The ends in such a report are recorded while the worker's runs are on record. Otherwise they are lost: the worker does
//! not repeat them, and its runs are declared lost when the lease ends. The report gives no lease, and its response
//! carries no orders and acknowledges nothing.

use parsleywalk_units::MonotonicTime;

use crate::dispatcher::departure_command;
use crate::{BatchState, Dispatcher, ReportAction, WorkerReport};

impl Dispatcher {
    /// Handles a report of a worker's current incarnation, newer than all previous ones, after the worker has announced
    /// its exit.
    pub(crate) fn receive_after_departure(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        report: &WorkerReport,
    ) -> ReportAction {
        log::info!(
            "event=report_after_departure worker={} incarnation={} sequence={} ends={}",
            report.worker,
            report.incarnation,
            report.sequence,
            report.ended.len()
        );
        let record = state.worker(&report.worker).filter(|record| record.incarnation == report.incarnation);
        let Some(view) = self.workers.get_mut(&report.worker) else { return ReportAction::Stale };
        // The time of the newest report stays, since the loss of the remaining runs and the end of the view depend on it.
        let reported_at = view.reported_at;
        let ends = if view.loss_pending { Vec::new() } else { report.unrecorded_ends(record) };
        let lives: Vec<_> = ends.iter().map(|end| view.life(now, &end.task, end.run)).collect();
        view.update(report, now);
        view.reported_at = reported_at;
        let departure = departure_command(&report.worker, view);
        if ends.is_empty() || record.is_none() {
            return ReportAction::Stale;
        }
        self.read_outcomes(now, state, &report.worker, &ends, &lives);
        let mut commands = self.settle(now, state, report, ends);
        self.record_begun(now, report);
        // Takes effect if the worker has no more runs then.
        commands.extend(departure);
        ReportAction::Commit(commands)
    }
}
