//! Commands and reports on their way: commands take effect later than they are decided, or never, and reports arrive
//! late. Without delays, everything happens at once.

use std::time::Duration;

use parsleywalk_batch::{BatchCommand, ReportAction, RunEnd, RunOutcome, TaskKey, WorkerReport};
use parsleywalk_units::MonotonicTime;

use super::{FakeFleet, REPORT_INTERVAL, REPORT_TIMEOUT, TestRng};

/// The most steps until a worker that is cut off is declared lost.
const MAX_CUT_STEPS: usize = 200;

/// What waits for a log entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EntryWaiter {
    Caller,
    Plan,
    Maintenance,
    Report(SentReport),
}

/// A report that is to be answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SentReport {
    pub(super) worker: usize,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) sent_at: MonotonicTime,
}

/// What is on its way, and how long it takes.
#[derive(Debug, Default)]
pub(crate) struct Transit {
    /// The longest time until a log entry is committed.
    pub(crate) commit_delay: Duration,
    /// The share of log entries that are refused, in percent.
    pub(crate) refused_percent: u64,
    /// The longest time until a report arrives.
    pub(crate) report_delay: Duration,
    /// The entries that are not yet committed, in order, with the times at which they will be.
    entries: Vec<(MonotonicTime, Vec<BatchCommand>, EntryWaiter)>,
    reports: Vec<(MonotonicTime, WorkerReport, SentReport)>,
}

impl Transit {
    fn is_slow(&self) -> bool {
        self.commit_delay + self.report_delay > Duration::ZERO
    }

    pub(super) fn is_pending(&self, waiter: EntryWaiter) -> bool {
        self.entries.iter().any(|(_, _, known)| *known == waiter)
    }

    /// Returns true if commands take effect at once.
    pub(crate) fn is_instant(&self) -> bool {
        self.entries.is_empty() && self.commit_delay == Duration::ZERO && self.refused_percent == 0
    }

    /// Ends all delays. What is on its way arrives with the next step.
    pub(crate) fn set_instant(&mut self) {
        (self.commit_delay, self.report_delay, self.refused_percent) = (Duration::ZERO, Duration::ZERO, 0);
    }

    /// Loses the entries that are not committed when the leader changes: all of them after a random one.
    pub(super) fn lose_entries(&mut self, rng: &mut TestRng) -> Vec<Vec<BatchCommand>> {
        let entries = std::mem::take(&mut self.entries);
        let kept = if entries.is_empty() { 0 } else { rng.next_below(entries.len() as u64 + 1) };
        entries.into_iter().take(usize::try_from(kept).expect("small")).map(|(_, commands, _)| commands).collect()
    }
}

fn random_delay(rng: &mut TestRng, longest: Duration) -> Duration {
    Duration::from_millis(rng.next_below(u64::try_from(longest.as_millis()).expect("small") + 1))
}

impl FakeFleet {
    pub(super) fn propose(&mut self, commands: Vec<BatchCommand>, waiter: EntryWaiter) {
        if self.transit.refused_percent > 0 && self.rng.chance(self.transit.refused_percent) {
            match waiter {
                EntryWaiter::Maintenance => self.dispatcher.withdraw_losses(),
                EntryWaiter::Report(sent) => self.workers[sent.worker].next_report = self.now + REPORT_INTERVAL,
                EntryWaiter::Caller | EntryWaiter::Plan => {}
            }
            return;
        }
        let mut time = self.now;
        if self.transit.commit_delay > Duration::ZERO {
            time = time + random_delay(&mut self.rng, self.transit.commit_delay);
        }
        let earliest = self.transit.entries.last().map_or(time, |(last, _, _)| time.max(*last));
        self.transit.entries.push((earliest, commands, waiter));
        self.commit_entries(self.now);
    }

    /// Applies the entries that are committed by a time, and answers the reports that wait for them.
    pub(super) fn commit_entries(&mut self, time: MonotonicTime) {
        let committed = self.transit.entries.partition_point(|(due, _, _)| *due <= time);
        let entries: Vec<_> = self.transit.entries.drain(..committed).collect();
        for (_, commands, waiter) in entries {
            for command in &commands {
                self.apply(command);
            }
            if let EntryWaiter::Report(sent) = waiter {
                self.respond(sent);
            }
        }
    }

    pub(super) fn report(&mut self, index: usize) {
        let tail_latency_ms = self.tail_latency_ms;
        let report = self.workers[index].build_report(self.now, tail_latency_ms);
        // A worker sends the next report after the response to this one, or gives up on it.
        let wait = if self.transit.is_slow() { REPORT_TIMEOUT } else { REPORT_INTERVAL };
        self.workers[index].next_report = self.now + wait;
        self.send(index, report);
    }

    fn send(&mut self, index: usize, report: WorkerReport) {
        let worker = &self.workers[index];
        if worker.partitioned {
            return;
        }
        let (incarnation, sequence) = (worker.incarnation, report.sequence);
        let sent = SentReport { worker: index, incarnation, sequence, sent_at: self.now };
        if self.transit.report_delay == Duration::ZERO {
            return self.receive(&report, sent);
        }
        let arrival = self.now + random_delay(&mut self.rng, self.transit.report_delay);
        self.transit.reports.push((arrival, report, sent));
    }

    /// Handles the reports that have arrived, in any order.
    pub(super) fn receive_reports(&mut self) {
        let now = self.now;
        for (_, report, sent) in
            self.transit.reports.extract_if(.., |(arrival, _, _)| *arrival <= now).collect::<Vec<_>>()
        {
            self.receive(&report, sent);
        }
    }

    fn receive(&mut self, report: &WorkerReport, sent: SentReport) {
        let action = self.dispatcher.receive(self.now, &self.state, report);
        match action {
            ReportAction::Stale => self.check_stale(report),
            ReportAction::Commit(commands) if commands.is_empty() => self.respond(sent),
            ReportAction::Commit(commands) => self.propose(commands, EntryWaiter::Report(sent)),
        }
        let newest = self.newest.entry(report.worker.clone()).or_default();
        *newest = (report.incarnation, report.sequence).max(*newest);
    }

    /// Checks that a stale report lists no end of a run on record, unless its incarnation is over or its worker is being
    /// declared lost: the worker may not list it again.
    fn check_stale(&self, report: &WorkerReport) {
        let newest = self.newest.get(&report.worker);
        if newest.is_some_and(|newest| *newest >= (report.incarnation, report.sequence)) {
            return;
        }
        let record = self.state.worker(&report.worker).filter(|record| record.incarnation == report.incarnation);
        let is_on_record = |end: &RunEnd| {
            record.and_then(|record| record.runs.get(&end.task)).is_some_and(|entry| entry.run == end.run)
        };
        let is_lost = self.transit.is_pending(EntryWaiter::Maintenance);
        assert!(is_lost || !report.ended.iter().any(is_on_record), "ends of {} are stale", report.worker);
    }

    /// Cuts a worker off, ends a run there, and lets the worker report again some steps after it is declared lost, so that
    /// the end meets the commands of that time. The leader may change meanwhile.
    pub(crate) fn end_run_while_cut(
        &mut self,
        (index, task): (usize, TaskKey),
        outcome: RunOutcome,
        leader_changes: bool,
        steps: usize,
    ) {
        self.workers[index].partitioned = true;
        self.workers[index].was_cut = true;
        self.end_run(index, task, outcome);
        if leader_changes {
            self.change_leader();
        }
        let id = self.workers[index].id.clone();
        for _ in 0..MAX_CUT_STEPS {
            let has_run = self.state.worker(&id).is_some_and(|record| record.runs.contains(&task));
            if !has_run || self.transit.is_pending(EntryWaiter::Maintenance) {
                break;
            }
            self.step();
        }
        for _ in 0..steps {
            self.step();
        }
        self.workers[index].partitioned = false;
        self.workers[index].next_report = self.now;
    }

    /// Makes a worker exit: its runs are stopped, and the announcement of its exit overtakes its last report.
    pub(crate) fn depart(&mut self, index: usize, is_numbered: bool) {
        let broken = self.workers[index].gang_runs(RunOutcome::Stopped);
        self.workers[index].end_all(RunOutcome::Stopped);
        for (task, run, outcome) in broken {
            self.break_gang(&task, run, outcome);
        }
        self.workers[index].draining = true;
        let last = self.workers[index].current_report(self.now);
        let (worker, incarnation) = (last.worker.clone(), is_numbered.then_some(last.incarnation));
        if !self.workers[index].partitioned
            && let Some(command) = self.dispatcher.mark_departed(&self.state, &worker, incarnation)
        {
            self.propose(vec![command], EntryWaiter::Caller);
        }
        self.send(index, last);
        self.workers[index].up = false;
    }
}
